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
 * Real controllers beside hollow workers, stand-ins of state service and cloud and a load of jobs,
 * all on loopback: measured by role, and judged by the rules over the whole history.
 */
@Command(
    name = "scale-run",
    mixinStandardHelpOptions = true,
    description =
        "Runs controllers with hollow workers and a load of jobs on this machine, and reports what"
            + " each role takes. Exit codes: 0 good, 1 a rule broken or a failure, 2 a bad"
            + " argument.")
public final class ScaleRun implements Callable<Integer> {
  private static final int EXIT_OK = 0;
  private static final int EXIT_FAILURE = 1;
  private static final int EXIT_USAGE = 2;
  private static final Duration START = Duration.ofSeconds(90);
  private static final Duration PATIENCE = Duration.ofSeconds(4);
  private static final int DRAIN_SECONDS = 4;
  private static final int MOST_PROCESSES = 200;
  private static final int MOST_SOCKETS = 18_000;
  private static final long BACK_MILLIS = 6_000;

  @Mixin private ScaleOptions options = new ScaleOptions();

  private final AtomicReference<Throwable> failure = new AtomicReference<>();
  private final Traffic ownTraffic = new Traffic();
  private final ScaleReport report = new ScaleReport();
  private final List<Double> startsEachSecond = new ArrayList<>();
  private final List<Double> runningEachSecond = new ArrayList<>();
  private final Map<Long, ProcessFigures> before = new LinkedHashMap<>();
  private final Map<Long, Long> mostResident = new LinkedHashMap<>();
  private long mostTogether;
  private long startsBefore;
  private long begunNanos;
  private int requestsBefore;
  private Map<String, Integer> changesBefore = Map.of();

  /** Runs it. */
  public static void main(String[] args) {
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error");
    System.setProperty("org.jboss.logging.provider", "slf4j");
    CommandLine commandLine = new CommandLine(new ScaleRun());
    commandLine.setParameterExceptionHandler(
        (fault, given) -> {
          System.err.println(fault.getMessage());
          return EXIT_USAGE;
        });
    System.exit(commandLine.execute(args));
  }

  /** What was measured, after {@link #call}. */
  ObjectNode results() {
    return report.json();
  }

  /** What ended the run, or null. */
  Throwable failure() {
    return failure.get();
  }

  ScaleOptions options() {
    return options;
  }

  @Override
  public Integer call() throws IOException {
    String fault = options.validationError();
    if (fault == null && options.processes() + options.controllers + 1 > MOST_PROCESSES) {
      fault = "--per-process: more than " + MOST_PROCESSES + " processes";
    }
    if (fault != null) {
      System.err.println(fault);
      return EXIT_USAGE;
    }
    Path folder = Files.createTempDirectory("scale-run");
    RealTimeWorld real = new RealTimeWorld(1, MOST_SOCKETS, ownTraffic);
    ScaleCluster cluster = new ScaleCluster(options, folder, real, this::fail);
    try (cluster) {
      run(cluster);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      fail(e);
    } catch (IOException | ExecutionException | TimeoutException | RuntimeException e) {
      fail(e);
    }
    if (failure.get() == null) {
      remove(folder);
    } else {
      say("logs of the processes: " + folder);
      say("FAILED: " + failure.get());
    }
    report.json().put("rules_broken", failure.get() == null ? 0 : 1);
    if (options.out != null) {
      report.write(options.out);
    }
    System.out.println(report.markdown());
    return failure.get() == null ? EXIT_OK : EXIT_FAILURE;
  }

  private void fail(Throwable with) {
    failure.compareAndSet(null, with);
  }

  private static void say(String text) {
    System.err.println(text);
  }

  private static void remove(Path folder) throws IOException {
    try (Stream<Path> all = Files.walk(folder)) {
      for (Path each : all.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(each);
      }
    }
  }

  private void run(ScaleCluster cluster)
      throws IOException, InterruptedException, ExecutionException, TimeoutException {
    RealTimeWorld real = cluster.real();
    on(real, () -> cluster.startServices());
    cluster.startControllers();
    cluster.startHollowWorkers();
    waitFor(cluster, "controllers", () -> isReady(cluster));
    on(real, () -> cluster.bootWorkers());
    waitFor(cluster, "workers", () -> get(real, cluster::workersUp) == options.workers);
    Thread.sleep(2 * options.report().toMillis());
    say(options.workers + " workers report");
    SettingsChanges settings = new SettingsChanges(real, cluster.clusters());
    LoadGenerator load =
        new LoadGenerator(options, real, cluster.rules(), cluster.history(), cluster.fronts());
    on(real, () -> apply(cluster));
    on(real, () -> settings.start(options.settingsPerMinute));
    on(real, load::start);
    pass(cluster, options.warmUp, false);
    begin(cluster);
    if (options.killLeader > 0) {
      pass(cluster, Math.min(options.killLeader, options.seconds), true);
      int leader = leader(cluster);
      say("controller " + leader + " leads and is killed");
      on(real, () -> cluster.killController(leader, BACK_MILLIS));
      pass(cluster, Math.max(0, options.seconds - options.killLeader), true);
    } else {
      pass(cluster, options.seconds, true);
    }
    collect(cluster, load, settings);
    on(real, load::stop);
    on(real, settings::stop);
    pass(cluster, DRAIN_SECONDS, false);
    on(real, () -> cluster.history().apply());
  }

  /** Has the rules see what has its place in the order, again and again. */
  private void apply(ScaleCluster cluster) {
    try {
      cluster.history().apply();
      cluster.rules().checkCancelledJobs();
    } catch (AssertionError e) {
      fail(e);
      return;
    }
    cluster.real().world().after(100, () -> apply(cluster));
  }

  // ---- the event thread

  private static void on(RealTimeWorld real, Runnable action)
      throws InterruptedException, ExecutionException, TimeoutException {
    CompletableFuture<Void> over = new CompletableFuture<>();
    real.runtime()
        .execute(
            () -> {
              try {
                action.run();
                over.complete(null);
              } catch (RuntimeException | AssertionError e) {
                over.completeExceptionally(e);
              }
            });
    over.get(60, TimeUnit.SECONDS);
  }

  private static <T> T get(RealTimeWorld real, Supplier<T> what) {
    CompletableFuture<T> got = new CompletableFuture<>();
    real.runtime().execute(() -> got.complete(what.get()));
    return got.join();
  }

  private static AsyncHttpClient.Reply ask(RealTimeWorld real, String address, String path) {
    CompletableFuture<AsyncHttpClient.Reply> got = new CompletableFuture<>();
    real.runtime()
        .execute(
            () ->
                real.httpClient()
                    .call(AsyncHttpClient.Request.get(address, path, PATIENCE), got::complete));
    return got.join();
  }

  private static JsonNode askJson(RealTimeWorld real, String address, String path) {
    try {
      AsyncHttpClient.Reply reply = ask(real, address, path);
      return reply.hasStatus(200) ? Json.parseObject(reply.body()) : null;
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  private boolean isReady(ScaleCluster cluster) {
    return cluster.fronts().stream().allMatch(front -> ask(cluster.real(), front, "/ready").hasStatus(200))
        && leader(cluster) >= 0;
  }

  private static int leader(ScaleCluster cluster) {
    for (int i = 0; i < cluster.clusters().size(); i++) {
      JsonNode status = askJson(cluster.real(), cluster.clusters().get(i), "/admin/v1/status");
      if (status != null && status.path("leadership").asText().equals("leading")) {
        return i;
      }
    }
    return -1;
  }

  private void waitFor(ScaleCluster cluster, String what, BooleanSupplier there)
      throws InterruptedException {
    long until = System.nanoTime() + START.toNanos();
    while (!there.getAsBoolean()) {
      check(cluster);
      if (System.nanoTime() > until) {
        throw new IllegalStateException(what + " were not there after " + START.toSeconds() + " s");
      }
      Thread.sleep(200);
    }
  }

  // ---- measuring

  private void check(ScaleCluster cluster) {
    if (failure.get() != null) {
      throw new IllegalStateException(failure.get());
    }
    String ended = cluster.endedByItself();
    if (ended != null) {
      throw new IllegalStateException(ended + " ended by itself");
    }
  }

  private void pass(ScaleCluster cluster, int seconds, boolean measured)
      throws InterruptedException, ExecutionException, TimeoutException {
    for (int second = 0; second < seconds; second++) {
      Thread.sleep(1_000);
      check(cluster);
      long[] starts = new long[1];
      on(
          cluster.real(),
          () -> {
            cluster.history().sample();
            starts[0] = cluster.history().starts();
          });
      startsEachSecond.add((double) (starts[0] - startsBefore));
      runningEachSecond.add((double) get(cluster.real(), cluster.history()::running));
      startsBefore = starts[0];
      sampleMemory(cluster);
      if (second % 5 == 4) {
        say(
            (measured ? "measured " : "warm-up ")
                + (second + 1)
                + " s: "
                + startsEachSecond.get(startsEachSecond.size() - 1).intValue()
                + " starts a second, "
                + runningEachSecond.get(runningEachSecond.size() - 1).intValue()
                + " running, "
                + mostTogether / (1 << 20)
                + " MB");
      }
    }
  }

  private void sampleMemory(ScaleCluster cluster) {
    long together = 0;
    for (List<Long> pids : cluster.pids().values()) {
      for (long pid : pids) {
        long resident = ProcessFigures.of(pid).residentBytes();
        mostResident.merge(pid, resident, Math::max);
        together += resident;
      }
    }
    mostTogether = Math.max(mostTogether, together);
    if (together > (long) options.memoryMb << 20) {
      throw new IllegalStateException(
          "--memory-mb: the processes hold " + together / (1 << 20) + " MB");
    }
  }

  private void begin(ScaleCluster cluster)
      throws InterruptedException, ExecutionException, TimeoutException {
    begunNanos = System.nanoTime();
    cluster
        .pids()
        .values()
        .forEach(all -> all.forEach(pid -> before.put(pid, ProcessFigures.of(pid))));
    on(
        cluster.real(),
        () -> {
          cluster.workerTraffic().clear();
          cluster.storeTraffic().clear();
          requestsBefore = cluster.store().requestCount;
          changesBefore = Map.copyOf(cluster.store().changesByPrefix);
          cluster.history().measure(true);
        });
  }

  private void collect(ScaleCluster cluster, LoadGenerator load, SettingsChanges settings)
      throws InterruptedException, ExecutionException, TimeoutException {
    double seconds = (System.nanoTime() - begunNanos) / 1e9;
    int leader = leader(cluster);
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
    on(
        cluster.real(),
        () -> {
          TaskHistory history = cluster.history();
          history.measure(false);
          out.put("starts_a_second", history.measuredStarts() / seconds);
          out.put("tasks_running", history.meanRunning());
          out.put("jobs_submitted", load.submitted());
          out.put("answers_missing", load.unanswered());
          out.put("store_requests_a_second", (cluster.store().requestCount - requestsBefore) / seconds);
          ObjectNode changes = out.putObject("store_changes_a_second");
          double[] all = new double[1];
          cluster
              .store()
              .changesByPrefix
              .forEach(
                  (kind, count) -> {
                    double rate = (count - changesBefore.getOrDefault(kind, 0)) / seconds;
                    all[0] += rate;
                    changes.put(kind, rate);
                  });
          changes.put("all", all[0]);
          ObjectNode waits = out.putObject("submission_to_start_s");
          history.waits().forEach((rank, times) -> waits.set(rank, ScaleReport.seconds(times)));
          out.set("submission_to_acceptance_s", ScaleReport.seconds(load.accepted()));
          out.set("settings_in_force_s", ScaleReport.seconds(settings.inForce()));
          out.put("settings_pending", settings.pending());
          addTraffic(out.putObject("workers_a_second"), cluster.workerTraffic(), seconds);
          addTraffic(out.putObject("services_a_second"), cluster.storeTraffic(), seconds);
        });
    JsonNode takeovers =
        leader < 0
            ? null
            : askJson(cluster.real(), cluster.clusters().get(leader), "/admin/v1/takeovers");
    if (takeovers != null) {
      out.set("takeovers", takeovers.get("latest"));
    }
    out.put("resident_mb_together", mostTogether / (1 << 20));
    report.series("starts", startsEachSecond);
    report.series(
        "tasks running / 10", runningEachSecond.stream().map(value -> value / 10).toList());
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
    ProcessFigures now = ProcessFigures.of(pid);
    ProcessFigures then = before.getOrDefault(pid, now);
    out.put("cores", (now.cpuSeconds() - then.cpuSeconds()) / seconds)
        .put("resident_mb", mostResident.getOrDefault(pid, 0L) / (1 << 20))
        .put("sockets", now.sockets());
  }

  private static void addTraffic(ObjectNode out, Traffic traffic, double seconds) {
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
