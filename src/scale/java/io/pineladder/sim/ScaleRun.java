package io.pineladder.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.wire.Json;
import io.pineladder.wire.MalformedMessageException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Stream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * Runs real controllers with hollow workers, a fake key-value store and cloud, and generated load,
 * all on loopback. Reports resource usage by role, and checks the safety rules over the whole task
 * history.
 */
@Command(
    name = "scale-run",
    mixinStandardHelpOptions = true,
    description =
        "Runs controllers with hollow workers and generated load on this machine, and reports the"
            + " resource usage of each role. Exit codes: 0 success, 1 a broken safety rule or"
            + " another failure, 2 an invalid argument.")
public final class ScaleRun implements Callable<Integer> {
  private static final int EXIT_OK = 0;
  private static final int EXIT_FAILURE = 1;
  private static final int EXIT_USAGE = 2;
  private static final Duration START_TIMEOUT = Duration.ofSeconds(90);
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(4);
  private static final int DRAIN_SECONDS = 4;
  private static final int MAX_PROCESSES = 200;
  private static final int MAX_SOCKETS = 18_000;
  private static final long RESTART_DELAY_MILLIS = 6_000;

  @Mixin private ScaleOptions options = new ScaleOptions();

  private final AtomicReference<Throwable> failure = new AtomicReference<>();
  private final TrafficCounters ownTraffic = new TrafficCounters();
  private final ScaleReport report = new ScaleReport();
  private final List<Double> startsPerSecond = new ArrayList<>();
  private final List<Double> runningTasksPerSecond = new ArrayList<>();
  private final Map<Long, ProcessStats> initialStats = new LinkedHashMap<>();
  private final Map<Long, Long> peakResidentBytes = new LinkedHashMap<>();
  private long peakTotalResidentBytes;
  private long previousStartCount;
  private long measurementStartNanos;
  private int initialStoreRequests;
  private Map<String, Integer> initialStoreChanges = Map.of();

  /** Runs the command and exits with its exit code. */
  public static void main(String[] args) {
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error");
    System.setProperty("org.jboss.logging.provider", "slf4j");
    CommandLine commandLine = new CommandLine(new ScaleRun());
    commandLine.setParameterExceptionHandler(
        (exception, commandArguments) -> {
          System.err.println(exception.getMessage());
          return EXIT_USAGE;
        });
    System.exit(commandLine.execute(args));
  }

  /** Returns the results after {@link #call}. */
  ObjectNode results() {
    return report.json();
  }

  /** Returns the error that ended the run, or null. */
  Throwable failure() {
    return failure.get();
  }

  ScaleOptions options() {
    return options;
  }

  @Override
  public Integer call() throws IOException {
    String error = options.validationError();
    if (error == null && options.workerProcesses() + options.controllers + 1 > MAX_PROCESSES) {
      error = "--per-process: the run needs more than " + MAX_PROCESSES + " processes";
    }
    if (error != null) {
      System.err.println(error);
      return EXIT_USAGE;
    }
    Path directory = Files.createTempDirectory("scale-run");
    RealTimeWorld realTimeWorld = new RealTimeWorld(1, MAX_SOCKETS, ownTraffic);
    ScaleCluster cluster = new ScaleCluster(options, directory, realTimeWorld, this::fail);
    try (cluster) {
      run(cluster);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      fail(e);
    } catch (IOException | ExecutionException | TimeoutException | RuntimeException e) {
      fail(e);
    }
    if (failure.get() == null) {
      deleteRecursively(directory);
    } else {
      printStatus("Logs of the processes: " + directory);
      printStatus("FAILED: " + failure.get());
    }
    report.json().put("rules_broken", failure.get() == null ? 0 : 1);
    if (options.out != null) {
      report.write(options.out);
    }
    System.out.println(report.markdown());
    return failure.get() == null ? EXIT_OK : EXIT_FAILURE;
  }

  private void fail(Throwable cause) {
    failure.compareAndSet(null, cause);
  }

  private static void printStatus(String text) {
    System.err.println(text);
  }

  static void deleteRecursively(Path directory) throws IOException {
    try (Stream<Path> all = Files.walk(directory)) {
      for (Path each : all.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(each);
      }
    }
  }

  private void run(ScaleCluster cluster)
      throws IOException, InterruptedException, ExecutionException, TimeoutException {
    RealTimeWorld realTimeWorld = cluster.realTimeWorld();
    runOnEventThread(realTimeWorld, () -> cluster.startServices());
    cluster.startControllers();
    cluster.startHollowWorkers();
    waitFor(cluster, "controllers", () -> isReady(cluster));
    runOnEventThread(realTimeWorld, () -> cluster.bootWorkers());
    waitFor(
        cluster,
        "workers",
        () -> getOnEventThread(realTimeWorld, cluster::runningWorkers) == options.workers);
    Thread.sleep(2 * options.heartbeatInterval().toMillis());
    printStatus(options.workers + " workers send heartbeats");
    SettingsChangeGenerator settings =
        new SettingsChangeGenerator(realTimeWorld, cluster.clusterAddresses());
    LoadGenerator load =
        new LoadGenerator(
            options, realTimeWorld, cluster.rules(), cluster.history(), cluster.apiAddresses());
    runOnEventThread(realTimeWorld, () -> applyHistory(cluster));
    runOnEventThread(realTimeWorld, () -> settings.start(options.settingsPerMinute));
    runOnEventThread(realTimeWorld, load::start);
    runPhase(cluster, options.warmUp, false);
    startMeasurement(cluster);
    if (options.killLeader > 0) {
      runPhase(cluster, Math.min(options.killLeader, options.seconds), true);
      int leader = leaderIndex(cluster);
      printStatus("Killing controller " + leader + ", the leader");
      runOnEventThread(realTimeWorld, () -> cluster.killController(leader, RESTART_DELAY_MILLIS));
      runPhase(cluster, Math.max(0, options.seconds - options.killLeader), true);
    } else {
      runPhase(cluster, options.seconds, true);
    }
    collectResults(cluster, load, settings);
    runOnEventThread(realTimeWorld, load::stop);
    runOnEventThread(realTimeWorld, settings::stop);
    runPhase(cluster, DRAIN_SECONDS, false);
    runOnEventThread(realTimeWorld, () -> cluster.history().applyCompleteEvents());
  }

  /** Checks the events that are complete against the safety rules, every 100 ms. */
  private void applyHistory(ScaleCluster cluster) {
    try {
      cluster.history().applyCompleteEvents();
      cluster.rules().checkCancelledJobs();
    } catch (AssertionError e) {
      fail(e);
      return;
    }
    cluster.realTimeWorld().world().after(100, () -> applyHistory(cluster));
  }

  static void runOnEventThread(RealTimeWorld realTimeWorld, Runnable action)
      throws InterruptedException, ExecutionException, TimeoutException {
    CompletableFuture<Void> done = new CompletableFuture<>();
    realTimeWorld
        .eventLoop()
        .execute(
            () -> {
              try {
                action.run();
                done.complete(null);
              } catch (RuntimeException | AssertionError e) {
                done.completeExceptionally(e);
              }
            });
    done.get(60, TimeUnit.SECONDS);
  }

  static <T> T getOnEventThread(RealTimeWorld realTimeWorld, Supplier<T> supplier) {
    CompletableFuture<T> received = new CompletableFuture<>();
    realTimeWorld.eventLoop().execute(() -> received.complete(supplier.get()));
    return received.join();
  }

  private static AsyncHttpClient.Reply httpGet(
      RealTimeWorld realTimeWorld, String address, String path) {
    CompletableFuture<AsyncHttpClient.Reply> received = new CompletableFuture<>();
    realTimeWorld
        .eventLoop()
        .execute(
            () ->
                realTimeWorld
                    .httpClient()
                    .call(
                        AsyncHttpClient.Request.get(address, path, REQUEST_TIMEOUT),
                        received::complete));
    return received.join();
  }

  private static JsonNode httpGetJson(RealTimeWorld realTimeWorld, String address, String path) {
    try {
      AsyncHttpClient.Reply reply = httpGet(realTimeWorld, address, path);
      return reply.hasStatus(200) ? Json.parseObject(reply.body()) : null;
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  private boolean isReady(ScaleCluster cluster) {
    return cluster.apiAddresses().stream()
            .allMatch(address -> httpGet(cluster.realTimeWorld(), address, "/ready").hasStatus(200))
        && leaderIndex(cluster) >= 0;
  }

  private static int leaderIndex(ScaleCluster cluster) {
    for (int i = 0; i < cluster.clusterAddresses().size(); i++) {
      JsonNode status =
          httpGetJson(
              cluster.realTimeWorld(), cluster.clusterAddresses().get(i), "/admin/v1/status");
      if (status != null && status.path("leadership").asText().equals("leading")) {
        return i;
      }
    }
    return -1;
  }

  private void waitFor(ScaleCluster cluster, String description, BooleanSupplier condition)
      throws InterruptedException {
    long deadlineNanos = System.nanoTime() + START_TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      checkForFailure(cluster);
      if (System.nanoTime() > deadlineNanos) {
        throw new IllegalStateException(
            description + " not ready within " + START_TIMEOUT.toSeconds() + " s");
      }
      Thread.sleep(200);
    }
  }

  private void checkForFailure(ScaleCluster cluster) {
    if (failure.get() != null) {
      throw new IllegalStateException(failure.get());
    }
    String exited = cluster.exitedWorkerProcess();
    if (exited != null) {
      throw new IllegalStateException(exited + " exited unexpectedly");
    }
  }

  private void runPhase(ScaleCluster cluster, int seconds, boolean measured)
      throws InterruptedException, ExecutionException, TimeoutException {
    for (int second = 0; second < seconds; second++) {
      Thread.sleep(1_000);
      checkForFailure(cluster);
      long[] starts = new long[1];
      runOnEventThread(
          cluster.realTimeWorld(),
          () -> {
            cluster.history().sampleRunningTasks();
            starts[0] = cluster.history().startCount();
          });
      startsPerSecond.add((double) (starts[0] - previousStartCount));
      runningTasksPerSecond.add(
          (double) getOnEventThread(cluster.realTimeWorld(), cluster.history()::runningTaskCount));
      previousStartCount = starts[0];
      sampleMemory(cluster);
      if (second % 5 == 4) {
        printStatus(
            (measured ? "measured " : "warm-up ")
                + (second + 1)
                + " s: "
                + startsPerSecond.get(startsPerSecond.size() - 1).intValue()
                + " starts/s, "
                + runningTasksPerSecond.get(runningTasksPerSecond.size() - 1).intValue()
                + " running tasks, "
                + peakTotalResidentBytes / (1 << 20)
                + " MB");
      }
    }
  }

  private void sampleMemory(ScaleCluster cluster) {
    long totalBytes = 0;
    for (List<Long> pids : cluster.pids().values()) {
      for (long pid : pids) {
        long resident = ProcessStats.read(pid).residentBytes();
        peakResidentBytes.merge(pid, resident, Math::max);
        totalBytes += resident;
      }
    }
    peakTotalResidentBytes = Math.max(peakTotalResidentBytes, totalBytes);
    if (totalBytes > (long) options.memoryMb << 20) {
      throw new IllegalStateException(
          "--memory-mb: resident memory limit of "
              + options.memoryMb
              + " MB exceeded: "
              + totalBytes / (1 << 20)
              + " MB");
    }
  }

  private void startMeasurement(ScaleCluster cluster)
      throws InterruptedException, ExecutionException, TimeoutException {
    measurementStartNanos = System.nanoTime();
    cluster
        .pids()
        .values()
        .forEach(pids -> pids.forEach(pid -> initialStats.put(pid, ProcessStats.read(pid))));
    runOnEventThread(
        cluster.realTimeWorld(),
        () -> {
          cluster.workerTraffic().clear();
          cluster.servicesTraffic().clear();
          initialStoreRequests = cluster.store().requestCount;
          initialStoreChanges = Map.copyOf(cluster.store().changesByPrefix);
          cluster.history().setMeasuring(true);
        });
  }

  private void collectResults(
      ScaleCluster cluster, LoadGenerator load, SettingsChangeGenerator settings)
      throws InterruptedException, ExecutionException, TimeoutException {
    double seconds = (System.nanoTime() - measurementStartNanos) / 1e9;
    int leader = leaderIndex(cluster);
    ObjectNode out = report.json();
    addSizes(out);
    ObjectNode roles = out.putObject("roles");
    cluster
        .pids()
        .forEach(
            (role, pids) -> {
              for (int i = 0; i < pids.size(); i++) {
                String name = role.equals("controller") && i == leader ? "leader" : role + "-" + i;
                addProcess(roles.putObject(name), pids.get(i), seconds);
              }
            });
    runOnEventThread(
        cluster.realTimeWorld(),
        () -> {
          TaskHistory history = cluster.history();
          history.setMeasuring(false);
          out.put("starts_a_second", history.measuredStartCount() / seconds);
          out.put("tasks_running", history.meanRunningTasks());
          out.put("jobs_submitted", load.submittedJobs());
          out.put("answers_missing", load.failedRequests());
          out.put(
              "store_requests_a_second",
              (cluster.store().requestCount - initialStoreRequests) / seconds);
          ObjectNode changes = out.putObject("store_changes_a_second");
          double[] total = new double[1];
          cluster
              .store()
              .changesByPrefix
              .forEach(
                  (kind, count) -> {
                    double rate = (count - initialStoreChanges.getOrDefault(kind, 0)) / seconds;
                    total[0] += rate;
                    changes.put(kind, rate);
                  });
          changes.put("all", total[0]);
          ObjectNode waits = out.putObject("submission_to_start_s");
          history
              .startDelays()
              .forEach(
                  (jobClass, delays) ->
                      waits.set(jobClass, ScaleReport.percentilesInSeconds(delays)));
          out.set(
              "submission_to_acceptance_s",
              ScaleReport.percentilesInSeconds(load.acceptanceTimes()));
          out.set(
              "settings_in_force_s", ScaleReport.percentilesInSeconds(settings.activationTimes()));
          out.put("settings_pending", settings.pendingChanges());
          addTraffic(out.putObject("workers_a_second"), cluster.workerTraffic(), seconds);
          addTraffic(out.putObject("services_a_second"), cluster.servicesTraffic(), seconds);
        });
    JsonNode failovers =
        leader < 0
            ? null
            : httpGetJson(
                cluster.realTimeWorld(),
                cluster.clusterAddresses().get(leader),
                "/admin/v1/takeovers");
    if (failovers != null) {
      out.set("takeovers", failovers.get("latest"));
    }
    out.put("resident_mb_together", peakTotalResidentBytes / (1 << 20));
    report.addSeries("starts", startsPerSecond);
    report.addSeries(
        "tasks running / 10", runningTasksPerSecond.stream().map(value -> value / 10).toList());
  }

  private void addSizes(ObjectNode out) {
    out.putObject("sizes")
        .put("controllers", options.controllers)
        .put("workers", options.workers)
        .put("zones", options.zones)
        .put("teams", options.teams)
        .put("running", options.running)
        .put("starts", options.starts)
        .put("tasks", options.tasks)
        .put("gang", options.gang)
        .put("kept", options.kept)
        .put("value_kb", options.valueKb)
        .put("settings_per_minute", options.settingsPerMinute)
        .put("seconds", options.seconds);
  }

  private void addProcess(ObjectNode out, long pid, double seconds) {
    ProcessStats current = ProcessStats.read(pid);
    ProcessStats initial = initialStats.getOrDefault(pid, current);
    out.put("cores", (current.cpuSeconds() - initial.cpuSeconds()) / seconds)
        .put("resident_mb", peakResidentBytes.getOrDefault(pid, 0L) / (1 << 20))
        .put("sockets", current.sockets());
  }

  private static void addTraffic(ObjectNode out, TrafficCounters traffic, double seconds) {
    traffic
        .json()
        .properties()
        .forEach(
            kind -> {
              ObjectNode each = out.putObject(kind.getKey());
              kind.getValue()
                  .properties()
                  .forEach(
                      figure -> each.put(figure.getKey(), figure.getValue().asLong() / seconds));
            });
  }
}
