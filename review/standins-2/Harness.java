import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
final class Harness {
  private static final int LIMIT_SECONDS = 118;

  /** A case. */
  interface Body {
    /** Runs the case; returns whether the rule held. Any exception means that it could not run. */
    boolean run(Record record, Path folder, boolean trouble) throws Exception;
  }

  /** A condition that is waited for. */
  interface Condition {
    boolean holds() throws Exception;
  }

  private Harness() {}

  /**
   * Runs a case and ends the process.
   *
   * @param arguments the file for the record
   */
  static void run(String[] arguments, Body body) throws IOException {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path folder = Files.createTempDirectory("case-");
    Runtime.getRuntime().addShutdownHook(new Thread(() -> delete(folder)));
    Record record = new Record(Path.of(arguments[0]));
    record.say(trouble ? "with the disruption" : "without the disruption");
    Thread limit =
        new Thread(
            () -> {
              try {
                Thread.sleep(LIMIT_SECONDS * 1_000L);
                record.say("could not run: not over after " + LIMIT_SECONDS + " s");
                System.exit(2);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    limit.setDaemon(true);
    limit.start();
    int code = 2;
    try {
      code = body.run(record, folder, trouble) ? 0 : 1;
    } catch (Exception | Error e) {
      record.say("could not run: " + e);
      e.printStackTrace();
    }
    record.say("exit " + code);
    System.exit(code);
  }

  private static void delete(Path folder) {
    if (System.getenv("KEEP") != null) {
      return;
    }
    try {
      // The processes of the controllers end in another hook.
      Thread.sleep(1_000);
      try (Stream<Path> files = Files.walk(folder)) {
        files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
      }
    } catch (IOException e) {
      System.err.println("not deleted: " + folder);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits for a condition; throws if it does not hold in time. */
  static void await(String what, double seconds, Condition condition) throws Exception {
    if (!holdsWithin(seconds, condition)) {
      throw new IllegalStateException("not in time: " + what);
    }
  }

  /** Waits for a condition; returns whether it held in time. */
  static boolean holdsWithin(double seconds, Condition condition) throws Exception {
    long until = System.nanoTime() + (long) (seconds * 1e9);
    while (!condition.holds()) {
      if (System.nanoTime() > until) {
        return false;
      }
      Thread.sleep(20);
    }
    return true;
  }
}
