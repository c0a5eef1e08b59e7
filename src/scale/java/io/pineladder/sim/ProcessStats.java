package io.pineladder.sim;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** Resource usage of a process, read from {@code /proc}; all zero if the process has exited. */
record ProcessStats(double cpuSeconds, long residentBytes, int sockets) {
  private static final double CLOCK_TICKS_PER_SECOND = 100;

  /** Positions in {@code /proc/PID/stat} after the command name. */
  private static final int UTIME_FIELD = 11;

  private static final int STIME_FIELD = 12;
  private static final ProcessStats EXITED = new ProcessStats(0, 0, 0);

  static ProcessStats read(long pid) {
    Path directory = Path.of("/proc", Long.toString(pid));
    try {
      String stat = Files.readString(directory.resolve("stat"));
      String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", 0);
      double ticks =
          Double.parseDouble(fields[UTIME_FIELD]) + Double.parseDouble(fields[STIME_FIELD]);
      long resident = 0;
      for (String line : Files.readAllLines(directory.resolve("status"))) {
        if (line.startsWith("VmRSS:")) {
          resident = 1024 * Long.parseLong(line.replaceAll("[^0-9]", ""));
        }
      }
      return new ProcessStats(ticks / CLOCK_TICKS_PER_SECOND, resident, countSockets(directory));
    } catch (IOException e) {
      return EXITED;
    }
  }

  private static int countSockets(Path directory) throws IOException {
    try (Stream<Path> open = Files.list(directory.resolve("fd"))) {
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
