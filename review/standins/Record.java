import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: what was sent, answered and run, with seconds since its start. */
final class Record implements AutoCloseable {
  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  double seconds() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  synchronized void line(String text) {
    out.printf(Locale.ROOT, "%8.3f %s%n", seconds(), text);
  }

  /** Writes a line here and to standard output. */
  void say(String text) {
    line(text);
    System.out.println(String.format(Locale.ROOT, "%8.3f %s", seconds(), text));
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
