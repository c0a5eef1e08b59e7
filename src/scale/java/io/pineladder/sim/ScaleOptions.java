package io.pineladder.sim;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import picocli.CommandLine.Option;

/** The sizes of a scale run. */
final class ScaleOptions {
  @Option(
      names = "--controllers",
      description = "controllers, from 2 to 9 (default: ${DEFAULT-VALUE})")
  int controllers = 3;

  @Option(
      names = "--workers",
      description = "hollow workers, up to 4,000 (default: ${DEFAULT-VALUE})")
  int workers = 200;

  @Option(
      names = "--per-process",
      description = "hollow workers in one process (default: ${DEFAULT-VALUE})")
  int perProcess = 400;

  @Option(
      names = "--single",
      description =
          "of the workers so many have a process of their own (default: ${DEFAULT-VALUE})")
  int single = 2;

  @Option(names = "--zones", description = "zones, from 1 to 20 (default: ${DEFAULT-VALUE})")
  int zones = 2;

  @Option(names = "--teams", description = "teams with quotas (default: ${DEFAULT-VALUE})")
  int teams = 4;

  @Option(names = "--running", description = "tasks running at a time (default: ${DEFAULT-VALUE})")
  int running = 500;

  @Option(names = "--starts", description = "task starts a second (default: ${DEFAULT-VALUE})")
  double starts = 20;

  @Option(
      names = "--run-seconds",
      description = "how long a task of an array or a gang runs (default: ${DEFAULT-VALUE})")
  double runSeconds = 10;

  @Option(names = "--tasks", description = "tasks of an array (default: ${DEFAULT-VALUE})")
  int tasks = 25;

  @Option(
      names = "--gang",
      description = "tasks of a gang, 0 for no gangs (default: ${DEFAULT-VALUE})")
  int gang = 4;

  @Option(
      names = "--gang-share",
      description = "the part of the starts that are of gangs (default: ${DEFAULT-VALUE})")
  double gangShare = 0.1;

  @Option(
      names = "--kept",
      description =
          "jobs that are accepted and wait for one that never ends (default: ${DEFAULT-VALUE})")
  int kept = 0;

  @Option(
      names = "--settings-per-minute",
      description = "changes of the operators' settings a minute (default: ${DEFAULT-VALUE})")
  double settingsPerMinute = 6;

  @Option(
      names = "--cancelled",
      description = "the part of the jobs that are cancelled (default: ${DEFAULT-VALUE})")
  double cancelled = 0.02;

  @Option(
      names = "--report-seconds",
      description = "how often a worker reports (default: ${DEFAULT-VALUE})")
  double reportSeconds = 5;

  @Option(names = "--lease-seconds", description = "a worker's lease (default: ${DEFAULT-VALUE})")
  double leaseSeconds = 30;

  @Option(
      names = "--store-changes",
      description = "changes a second that the state service takes (default: ${DEFAULT-VALUE})")
  double storeChanges = 1000;

  @Option(
      names = "--store-requests",
      description = "requests a second that it takes (default: ${DEFAULT-VALUE})")
  double storeRequests = 2000;

  @Option(
      names = "--value-kb",
      description = "KiB of a value at the most (default: ${DEFAULT-VALUE})")
  double valueKb = 32;

  @Option(
      names = "--txn-ops",
      description = "changes of a transaction at the most (default: ${DEFAULT-VALUE})")
  int txnOps = 32;

  @Option(
      names = "--seconds",
      description = "how long the load lasts, after it has built up (default: ${DEFAULT-VALUE})")
  int seconds = 30;

  @Option(
      names = "--warm-up",
      description = "seconds from the first job until it is measured (default: ${DEFAULT-VALUE})")
  int warmUp = 20;

  @Option(
      names = "--kill-leader",
      description =
          "so many seconds after the warm-up the leader is killed; 0 for never (default:"
              + " ${DEFAULT-VALUE})")
  int killLeader = 0;

  @Option(
      names = "--memory-mb",
      description =
          "resident memory of all processes together at the most (default: ${DEFAULT-VALUE})")
  int memoryMb = 11_000;

  @Option(
      names = "--heap-mb",
      description = "a controller's heap at the most (default: ${DEFAULT-VALUE})")
  int heapMb = 512;

  @Option(
      names = "--port",
      description =
          "the first of the ports on loopback, for runs beside one another (default:"
              + " ${DEFAULT-VALUE})")
  int port = 21_000;

  @Option(
      names = "--jar",
      description = "the packaged controller; without it this program's own classes are started")
  Path jar;

  @Option(
      names = "--out",
      description = "a folder for the report as JSON, as a table and as a plot")
  Path out;

  /** The first fault of the sizes, naming its argument; null when there is none. */
  String validationError() {
    if (controllers < 2 || controllers > 9) {
      return "--controllers: from 2 to 9";
    }
    if (workers < 1 || workers > 4_000) {
      return "--workers: from 1 to 4000";
    }
    if (single < 0 || single > Math.min(workers, 32)) {
      return "--single: from 0 to 32, and no more than workers";
    }
    if (perProcess < 1 || perProcess > 1_000) {
      return "--per-process: from 1 to 1000";
    }
    if (zones < 1 || zones > 20) {
      return "--zones: from 1 to 20";
    }
    if (teams < 1 || teams > 500) {
      return "--teams: from 1 to 500";
    }
    if (!(starts > 0 && starts <= 5_000)) {
      return "--starts: above 0, 5000 at most";
    }
    if (!(runSeconds >= 1 && runSeconds <= 600)) {
      return "--run-seconds: from 1 to 600";
    }
    if (running < starts * runSeconds * 0.9) {
      return "--running: below what --starts and --run-seconds make";
    }
    if (tasks < 1 || gang < 0 || gang > 512 || kept < 0) {
      return "--tasks, --gang or --kept is out of range";
    }
    if (seconds < 1 || seconds > 1_800 || warmUp < 0 || warmUp > 600) {
      return "--seconds: from 1 to 1800; --warm-up: from 0 to 600";
    }
    if (memoryMb < 500 || memoryMb > 12_000) {
      return "--memory-mb: from 500 to 12000";
    }
    if (jar != null && !Files.isRegularFile(jar)) {
      return "--jar: " + jar + " is not there";
    }
    return null;
  }

  /** How many processes of hollow workers there are. */
  int processes() {
    return single + (workers - single + perProcess - 1) / perProcess;
  }

  /** Tasks that run until they are cancelled. */
  int replicas() {
    return (int) Math.max(0, running - starts * runSeconds);
  }

  Duration report() {
    return Duration.ofMillis((long) (reportSeconds * 1000));
  }
}
