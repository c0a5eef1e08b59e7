package io.pineladder.sim;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.random.RandomGeneratorFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Runs real controllers on loopback under random faults, and checks from outside that the rules
 * hold and that tasks start again once the faults are over.
 */
@Command(
    name = "soak-run",
    description = "Randomized faults on real controllers, one run for each seed.",
    mixinStandardHelpOptions = true)
public final class SoakRun implements Callable<Integer> {
  private static final int MAX_SOCKETS = 8_000;
  private static final Duration START_TIME = Duration.ofSeconds(8);
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);

  /** After the faults a job is answered within 75 s and starts within 90 s; both end by then. */
  private static final Duration MAX_SETTLE_TIME = Duration.ofSeconds(150);

  @Option(names = "--seed", description = "the first seed (default: ${DEFAULT-VALUE})")
  long seed = 1;

  @Option(names = "--seeds", description = "number of seeds (default: ${DEFAULT-VALUE})")
  int seeds = 1;

  @Option(
      names = "--fault-seconds",
      description = "time in which faults begin (default: ${DEFAULT-VALUE})")
  int faultSeconds = 25;

  @Option(names = "--workers", description = "workers (default: ${DEFAULT-VALUE})")
  int workers = 40;

  @Option(
      names = "--job-millis",
      description = "mean time between two submissions (default: ${DEFAULT-VALUE})")
  int jobMillis = 400;

  @Option(names = "--port", description = "the first port on loopback (default: ${DEFAULT-VALUE})")
  int port = 17_000;

  @Option(
      names = "--jar",
      description = "packaged controller; by default the class path of this program is used")
  Path jar;

  /** The violations of each failed seed. */
  private final List<String> failures = new ArrayList<>();

  /** Runs the command and exits with 0 if all seeds passed, otherwise 1. */
  public static void main(String[] args) {
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error");
    System.setProperty("org.jboss.logging.provider", "slf4j");
    System.exit(new CommandLine(new SoakRun()).execute(args));
  }

  List<String> failures() {
    return failures;
  }

  @Override
  public Integer call() throws Exception {
    int passed = 0;
    for (long each = seed; each < seed + seeds; each++) {
      List<String> violations = run(each);
      if (violations.isEmpty()) {
        passed++;
      } else {
        failures.add("seed " + each + ": " + violations);
      }
    }
    System.out.printf("%d passed, %d failed%n", passed, failures.size());
    failures.forEach(System.out::println);
    return failures.isEmpty() ? 0 : 1;
  }

  private ScaleOptions options() {
    ScaleOptions options = new ScaleOptions();
    options.workers = workers;
    options.zones = 2;
    options.teams = 3;
    options.running = 8 * workers;
    options.tasks = 8;
    options.gang = 8;
    options.reportSeconds = 2;
    options.leaseSeconds = 20;
    options.port = port;
    options.jar = jar;
    return options;
  }

  private List<String> run(long runSeed) throws Exception {
    SoakPlan plan = SoakPlan.random(runSeed, Duration.ofSeconds(faultSeconds), 3);
    System.out.println(plan);
    Path directory = Files.createTempDirectory("soak-run");
    RealTimeWorld realTimeWorld = new RealTimeWorld(runSeed, MAX_SOCKETS, new TrafficCounters());
    SoakScenario scenario =
        new SoakScenario(
            options(),
            plan,
            directory,
            realTimeWorld,
            RandomGeneratorFactory.of("L64X128MixRandom").create(runSeed));
    SoakInvariants invariants = scenario.invariants();
    try (SoakCluster cluster = scenario.cluster()) {
      ScaleRun.runOnEventThread(realTimeWorld, cluster::start);
      Thread.sleep(START_TIME.toMillis());
      ScaleRun.runOnEventThread(realTimeWorld, () -> scenario.begin(jobMillis));
      Thread.sleep(Math.max(plan.end().toMillis(), 1_000L * faultSeconds));
      ScaleRun.runOnEventThread(realTimeWorld, scenario::onFaultsEnded);
      long deadline = System.nanoTime() + MAX_SETTLE_TIME.toNanos();
      while (!ScaleRun.getOnEventThread(realTimeWorld, scenario::isSettled)
          && System.nanoTime() < deadline) {
        Thread.sleep(CHECK_INTERVAL.toMillis());
      }
      ScaleRun.runOnEventThread(realTimeWorld, invariants::onEnd);
    }
    if (invariants.violations().isEmpty()) {
      System.out.println("seed " + runSeed + " passed: " + scenario.summary());
      ScaleRun.deleteRecursively(directory);
    } else {
      reportFailure(runSeed, invariants, directory);
    }
    return invariants.violations();
  }

  private void reportFailure(long runSeed, SoakInvariants invariants, Path directory)
      throws IOException {
    Path history = directory.resolve("history.txt");
    Files.write(history, invariants.history());
    System.out.println("seed " + runSeed + " FAILED: " + invariants.violations());
    System.out.println("history and logs of the controllers: " + directory);
    System.out.println(
        "to repeat: mvn -q -B test-compile exec:exec@soak-run -Dsoak.args=\"--seed "
            + runSeed
            + " --workers "
            + workers
            + " --fault-seconds "
            + faultSeconds
            + " --job-millis "
            + jobMillis
            + "\"");
  }
}
