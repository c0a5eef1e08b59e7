import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: what was sent, answered and run, with the seconds since its begin. */
final class Record {
  private final PrintWriter out;
  private final long begin = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  synchronized void add(String line) {
    out.printf("%8.3f %s%n", (System.nanoTime() - begin) / 1e9, line);
    out.flush();
  }

  /** Adds a line and shows it. */
  void say(String line) {
    add(line);
    System.out.println(line);
  }

  double seconds() {
    return (System.nanoTime() - begin) / 1e9;
  }
}
