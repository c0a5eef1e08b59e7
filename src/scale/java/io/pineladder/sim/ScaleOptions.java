package io.pineladder.sim;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import picocli.CommandLine.Option;

/** The command-line options of a scale run. */
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
      description = "hollow workers with a separate process each (default: ${DEFAULT-VALUE})")
  int single = 2;

  @Option(names = "--zones", description = "zones, from 1 to 20 (default: ${DEFAULT-VALUE})")
  int zones = 2;

  @Option(
      names = "--teams",
      description = "number of teams with quotas (default: ${DEFAULT-VALUE})")
  int teams = 4;

  @Option(
      names = "--running",
      description = "tasks running at the same time (default: ${DEFAULT-VALUE})")
  int running = 500;

  @Option(names = "--starts", description = "task starts per second (default: ${DEFAULT-VALUE})")
  double starts = 20;

  @Option(
      names = "--run-seconds",
      description = "run time of an array or gang task, in seconds (default: ${DEFAULT-VALUE})")
  double runSeconds = 10;

  @Option(
      names = "--tasks",
      description = "number of tasks of an array (default: ${DEFAULT-VALUE})")
  int tasks = 25;

  @Option(
      names = "--gang",
      description = "number of tasks of a gang, 0 for no gangs (default: ${DEFAULT-VALUE})")
  int gang = 4;

  @Option(
      names = "--gang-share",
      description = "fraction of the task starts that belong to gangs (default: ${DEFAULT-VALUE})")
  double gangShare = 0.1;

  @Option(
      names = "--kept",
      description =
          "accepted jobs that depend on a job that never ends (default: ${DEFAULT-VALUE})")
  int kept = 0;

  @Option(
      names = "--settings-per-minute",
      description = "changes of an operator setting per minute (default: ${DEFAULT-VALUE})")
  double settingsPerMinute = 6;

  @Option(
      names = "--cancelled",
      description = "fraction of the jobs that are cancelled (default: ${DEFAULT-VALUE})")
  double cancelled = 0.02;

  @Option(
      names = "--report-seconds",
      description = "heartbeat interval of a worker, in seconds (default: ${DEFAULT-VALUE})")
  double reportSeconds = 5;

  @Option(
      names = "--lease-seconds",
      description = "lease duration of a worker, in seconds (default: ${DEFAULT-VALUE})")
  double leaseSeconds = 30;

  @Option(
      names = "--store-changes",
      description =
          "limit of changes per second of the key-value store (default: ${DEFAULT-VALUE})")
  double storeChanges = 1000;

  @Option(
      names = "--store-requests",
      description =
          "limit of requests per second of the key-value store (default: ${DEFAULT-VALUE})")
  double storeRequests = 2000;

  @Option(
      names = "--value-kb",
      description = "maximum size of a stored value, in KiB (default: ${DEFAULT-VALUE})")
  double valueKb = 32;

  @Option(
      names = "--txn-ops",
      description = "maximum number of changes in a transaction (default: ${DEFAULT-VALUE})")
  int txnOps = 32;

  @Option(
      names = "--seconds",
      description = "measuring time after the warm-up, in seconds (default: ${DEFAULT-VALUE})")
  int seconds = 30;

  @Option(
      names = "--warm-up",
      description = "time before the measurement starts, in seconds (default: ${DEFAULT-VALUE})")
  int warmUp = 20;

  @Option(
      names = "--kill-leader",
      description =
          "time from the end of the warm-up until the leader is killed, in seconds; 0 for never"
              + " (default: ${DEFAULT-VALUE})")
  int killLeader = 0;

  @Option(
      names = "--memory-mb",
      description = "maximum resident memory of all processes, in MB (default: ${DEFAULT-VALUE})")
  int memoryMb = 11_000;

  @Option(
      names = "--heap-mb",
      description = "maximum heap size of a controller, in MB (default: ${DEFAULT-VALUE})")
  int heapMb = 512;

  @Option(
      names = "--port",
      description =
          "first port on loopback; concurrent runs need separate ranges (default:"
              + " ${DEFAULT-VALUE})")
  int port = 21_000;

  @Option(
      names = "--jar",
      description = "packaged controller; by default the class path of this program is used")
  Path jar;

  @Option(
      names = "--out",
      description = "directory for the report as JSON, as a table and as a plot")
  Path out;

  /** Returns a message that names the first invalid option, or null if all are valid. */
  String validationError() {
    if (controllers < 2 || controllers > 9) {
      return "--controllers: must be from 2 to 9, got " + controllers;
    }
    if (workers < 1 || workers > 4_000) {
      return "--workers: must be from 1 to 4000, got " + workers;
    }
    if (single < 0 || single > Math.min(workers, 32)) {
      return "--single: must be from 0 to 32 and at most --workers, got " + single;
    }
    if (perProcess < 1 || perProcess > 1_000) {
      return "--per-process: must be from 1 to 1000, got " + perProcess;
    }
    if (zones < 1 || zones > 20) {
      return "--zones: must be from 1 to 20, got " + zones;
    }
    if (teams < 1 || teams > 500) {
      return "--teams: must be from 1 to 500, got " + teams;
    }
    if (!(starts > 0 && starts <= 5_000)) {
      return "--starts: must be above 0 and at most 5000, got " + starts;
    }
    if (!(runSeconds >= 1 && runSeconds <= 600)) {
      return "--run-seconds: must be from 1 to 600, got " + runSeconds;
    }
    if (running < starts * runSeconds * 0.9) {
      return "--running: must be at least 0.9 * --starts * --run-seconds, got " + running;
    }
    if (tasks < 1 || gang < 0 || gang > 512 || kept < 0) {
      return "--tasks, --gang, --kept: --tasks must be at least 1, --gang from 0 to 512 and --kept"
          + " at least 0";
    }
    if (seconds < 1 || seconds > 1_800 || warmUp < 0 || warmUp > 600) {
      return "--seconds: must be from 1 to 1800; --warm-up: must be from 0 to 600";
    }
    if (memoryMb < 500 || memoryMb > 12_000) {
      return "--memory-mb: must be from 500 to 12000, got " + memoryMb;
    }
    if (jar != null && !Files.isRegularFile(jar)) {
      return "--jar: " + jar + " is not a regular file";
    }
    return null;
  }

  /** Returns the number of hollow worker processes. */
  int workerProcesses() {
    return single + (workers - single + perProcess - 1) / perProcess;
  }

  /** Returns the number of tasks that run until they are cancelled. */
  int serviceTasks() {
    return (int) Math.max(0, running - starts * runSeconds);
  }

  Duration heartbeatInterval() {
    return Duration.ofMillis((long) (reportSeconds * 1000));
  }
}
