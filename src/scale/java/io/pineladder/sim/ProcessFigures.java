package io.pineladder.sim;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** What the operating system tells of a process; zero for one that is gone. */
record ProcessFigures(double cpuSeconds, long residentBytes, int sockets) {
  private static final double TICKS_A_SECOND = 100;
  private static final int USER_TIME = 11;
  private static final int SYSTEM_TIME = 12;
  private static final ProcessFigures GONE = new ProcessFigures(0, 0, 0);

  static ProcessFigures of(long pid) {
    Path folder = Path.of("/proc", Long.toString(pid));
    try {
      String stat = Files.readString(folder.resolve("stat"));
      String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", 0);
      double ticks =
          Double.parseDouble(fields[USER_TIME]) + Double.parseDouble(fields[SYSTEM_TIME]);
      long resident = 0;
      for (String line : Files.readAllLines(folder.resolve("status"))) {
        if (line.startsWith("VmRSS:")) {
          resident = 1024 * Long.parseLong(line.replaceAll("[^0-9]", ""));
        }
      }
      return new ProcessFigures(ticks / TICKS_A_SECOND, resident, sockets(folder));
    } catch (IOException e) {
      return GONE;
    }
  }

  private static int sockets(Path folder) throws IOException {
    try (Stream<Path> open = Files.list(folder.resolve("fd"))) {
      return (int)
          open.filter(
                  file -> {
                    try {
                      return Files.readSymbolicLink(file).toString().startsWith("socket:");
                    } catch (IOException e) {
                      return false;
                    }
                  })
              .count();
    }
  }
}
