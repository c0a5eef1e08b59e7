package io.pineladder.sim;

import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.HttpResponse;
import io.pineladder.sim.ConfigurableCluster.Layout;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.DigestOutputStream;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.Provider;
import java.security.SecureRandomSpi;
import java.security.Security;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * Runs a fixed set of simulated scenarios and prints for each a SHA-256 digest of all messages that
 * the controllers send: each request (time, host, address, method, path, timeout, body) and each
 * answer (time, address, method, path, status, {@code Retry-After}, body), in order. The last line
 * is a digest over all scenarios. A change that is meant to preserve behaviour must not change the
 * digests. Class names, log lines and metrics are not part of them.
 *
 * <p>Arguments: {@code --record DIR} writes the traffic of each scenario as text to a file in that
 * directory, so that two versions can be compared line by line; any other argument selects the
 * scenarios whose name starts with it. The scenarios are test methods and include their assertions;
 * the program exits with status 1 if one fails.
 *
 * <p>{@link java.security.SecureRandom}, which the encryption of subscribers' secrets uses, is
 * replaced by a generator with a fixed seed, so that all bodies are reproducible. The digests must
 * not depend on the iteration order of hash tables, which can differ between versions and between
 * processes; a run with {@code -XX:hashCode=2} must print the same.
 */
final class BehaviourDigest {
  /** Only addresses of controllers start with this. */
  private static final String CONTROLLER_ADDRESS_PREFIX = "10.0.0.";

  /** Runs a scenario on a cluster. */
  private interface ScenarioBody<C extends SimulatedCluster> {
    void run(C cluster) throws Exception;
  }

  /** A named scenario; its traffic goes to the observer. */
  private record Scenario(String name, Runner runner) {
    private interface Runner {
      void run(TrafficObserver observer) throws Exception;
    }
  }

  private final List<Scenario> scenarios = new ArrayList<>();

  private <C extends SimulatedCluster> void add(
      String name, Supplier<C> newCluster, ScenarioBody<C> body) {
    scenarios.add(
        new Scenario(
            name,
            observer -> {
              C cluster = newCluster.get();
              cluster.trafficObserver = observer;
              body.run(cluster);
            }));
  }

  private BehaviourDigest() {
    add("quiet", ClusterSimulationTest::new, ClusterSimulationTest::servesJobsWithoutFaults);
    add(
        "cut-leader",
        ClusterSimulationTest::new,
        ClusterSimulationTest::resignsOnceWhenWorkersCannotReachLeader);
    add(
        "cut-follower",
        ClusterSimulationTest::new,
        ClusterSimulationTest::storesSubmissionThroughPeerWhenCutFromLeaderAndStore);
    for (long seed : new long[] {1, 2, 3145}) {
      add(
          "faults-" + seed,
          ClusterSimulationTest::new,
          cluster -> cluster.keepsRulesUnderRandomFaults(seed));
    }
    for (Layout layout : Layout.values()) {
      int number = layout.ordinal();
      add(
          "upgrade-" + number,
          ChainedJobsTest::new,
          cluster -> cluster.keepsRulesDuringRollingUpgrade(layout, number % 2));
    }
    add("chain-input", ChainedJobsTest::new, ChainedJobsTest::rejectsInvalidDependencies);
    add("chain-cancelled", ChainedJobsTest::new, ChainedJobsTest::cancelsDependentsTransitively);
    add(
        "chain-version",
        ChainedJobsTest::new,
        ChainedJobsTest::raisesVersionOnceAllControllersSupportIt);
    add("too-old", ChainedJobsTest::new, ChainedJobsTest::outdatedControllerRejectsRequests);
    for (StateLossTest.Loss loss : StateLossTest.Loss.values()) {
      int number = loss.ordinal();
      add(
          "loss-" + number,
          StateLossTest::new,
          cluster -> {
            switch (number % 3) {
              case 0 -> cluster.recoversFromReplicasOfAllControllers(loss, 1);
              case 1 -> cluster.recoversFromReplicasOfFollowers(loss, 1);
              default -> cluster.recoversFromSnapshots(loss, 1);
            }
          });
    }
    add("loss-twice", StateLossTest::new, StateLossTest::recoversFromSecondLossAfterFirst);
    add("loss-hand-in", StateLossTest::new, StateLossTest::recoversFromImportedSnapshot);
    add("loss-cleared", StateLossTest::new, StateLossTest::deletesKeysOfEarlierGenerations);
    add("loss-early", StateLossTest::new, cluster -> cluster.recoversFromLossInFirstSeconds(3));
    for (long seed : new long[] {0, 4}) {
      add(
          "zone-cut-" + seed,
          ZoneSimulationTest::new,
          cluster -> cluster.keepsTasksOfPartitionedZone(seed));
    }
    add(
        "zones-parted",
        ZoneSimulationTest::new,
        cluster -> cluster.keepsTasksWhenZonesCannotReachEachOther(1));
    add(
        "zone-cancelled",
        ZoneSimulationTest::new,
        ZoneSimulationTest::reportsCancellationOnceZoneIsReachable);
    add("zone-lost", ZoneSimulationTest::new, ZoneSimulationTest::recoversFromLossOfZone);
    for (int i = 0; i < FaultCombinationsTest.Combination.values().length; i += 2) {
      int first = i;
      add(
          "combination-" + first,
          FaultCombinationsTest::new,
          cluster -> cluster.keepsRulesUnderThreeFaultCombinations(first, 0));
    }
    add(
        "repeated-writes",
        FaultCombinationsTest::new,
        FaultCombinationsTest::ignoresRepeatedTransactions);
    add(
        "lost-answers",
        FaultCombinationsTest::new,
        FaultCombinationsTest::toleratesLostStoreAnswers);
    for (RandomFaultsTest.Fault fault : RandomFaultsTest.Fault.values()) {
      for (RandomFaultsTest.SecondFault secondFault : RandomFaultsTest.SecondFault.values()) {
        if ((fault.ordinal() + secondFault.ordinal()) % 2 == 0) {
          add(
              "unlisted-" + fault.ordinal() + "-" + secondFault.ordinal(),
              RandomFaultsTest::new,
              cluster -> cluster.servesAllJobsUnderTwoFaults(fault, secondFault, 0));
        }
      }
    }
    add("gang", RandomFaultsTest::new, RandomFaultsTest::startsGangDespiteStreamOfSmallTasks);
    for (long seed : new long[] {1, 2}) {
      add(
          "delivery-" + seed,
          DeliverySimulationTest::new,
          cluster -> cluster.deliversEachEndOnceUnderRandomFaults(seed));
    }
    add(
        "delivery-wanted",
        DeliverySimulationTest::new,
        DeliverySimulationTest::deliversEachEndOnceToMatchingSubscribers);
    add(
        "delivery-refused",
        DeliverySimulationTest::new,
        DeliverySimulationTest::rejectionsAffectOnlyTheirSubscription);
    add(
        "delivery-administered",
        DeliverySimulationTest::new,
        DeliverySimulationTest::keepsSubscriptionChangesAcrossFailover);
    add(
        "delivery-backlog",
        DeliverySimulationTest::new,
        DeliverySimulationTest::movesOldNotificationsToBacklogPages);
    add(
        "delivery-outage",
        DeliverySimulationTest::new,
        DeliverySimulationTest::recoversFromStoreOutageWithoutLoss);
    add(
        "delivery-secrets",
        DeliverySimulationTest::new,
        DeliverySimulationTest::rotatesSecretsDuringDelivery);
    add(
        "starved-chance",
        StarvationTest::new,
        StarvationTest::retriesJobThatFailedOnAllMachinesWithCapacity);
    add(
        "starved-pressed",
        StarvationTest::new,
        cluster -> cluster.starvesNoJobUnderOverload(Layout.PAIR, 1));
    add(
        "recovery-burst",
        RecoverySimulationTest::new,
        RecoverySimulationTest::batchesBurstOfSubmissionsIntoFewStoreChanges);
    add(
        "recovery-pages",
        RecoverySimulationTest::new,
        RecoverySimulationTest::nodeWithoutLeaderAnswersForJobsInPages);
    add(
        "pile-up",
        CascadingFaultsSimulationTest::new,
        CascadingFaultsSimulationTest::recoversFromCascadingFaults);
  }

  /** Hashes what controllers send, and also writes it as text if there is a writer. */
  private static final class Recorder implements TrafficObserver {
    private final MessageDigest digest = sha256();
    private final DataOutputStream out =
        new DataOutputStream(new DigestOutputStream(OutputStream.nullOutputStream(), digest));
    private final PrintWriter lines;
    private int requests;
    private int answers;

    Recorder(PrintWriter lines) {
      this.lines = lines;
    }

    @Override
    public void onRequest(Instant time, String from, AsyncHttpClient.Request request) {
      if (from.startsWith(CONTROLLER_ADDRESS_PREFIX)) {
        requests++;
        String timeout = Long.toString(request.timeout().toMillis());
        record("request", time, from, request, timeout, request.body());
      }
    }

    @Override
    public void onAnswer(Instant time, AsyncHttpClient.Request request, HttpResponse answer) {
      if (request.address().startsWith(CONTROLLER_ADDRESS_PREFIX)) {
        answers++;
        String status = answer.status() + " " + answer.retryAfterSeconds();
        record("answer", time, "", request, status, answer.body());
      }
    }

    private void record(
        String kind,
        Instant time,
        String from,
        AsyncHttpClient.Request request,
        String detail,
        byte[] body) {
      byte[] bytes = body == null ? new byte[0] : body;
      String head =
          String.join(
              "\t",
              Long.toString(time.toEpochMilli()),
              kind,
              from,
              request.address(),
              request.method(),
              request.path(),
              detail);
      try {
        byte[] headBytes = head.getBytes(StandardCharsets.UTF_8);
        out.writeInt(headBytes.length);
        out.write(headBytes);
        out.writeInt(body == null ? -1 : bytes.length);
        out.write(bytes);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
      if (lines != null) {
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        lines.println(head + "\t" + text.replaceAll("[^ -~]", "."));
      }
    }
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new AssertionError(e);
    }
  }

  /** Random bytes from a fixed seed, which is reset before each scenario. */
  public static final class SeededRandom extends SecureRandomSpi {
    private static SplittableRandom random = new SplittableRandom(1);

    static void reset() {
      random = new SplittableRandom(1);
    }

    @Override
    protected void engineSetSeed(byte[] seed) {}

    @Override
    protected void engineNextBytes(byte[] bytes) {
      random.nextBytes(bytes);
    }

    @Override
    protected byte[] engineGenerateSeed(int count) {
      byte[] bytes = new byte[count];
      random.nextBytes(bytes);
      return bytes;
    }
  }

  /** Makes {@link SeededRandom} the default implementation of secure random generators. */
  private static final class SeededProvider extends Provider {
    private static final long serialVersionUID = 1;

    SeededProvider() {
      super("Seeded", "1", "random bytes that follow a fixed seed");
      put("SecureRandom.Seeded", SeededRandom.class.getName());
    }
  }

  /** Runs the selected scenarios, all by default, and prints their digests. */
  public static void main(String[] arguments) throws IOException {
    Security.insertProviderAt(new SeededProvider(), 1);
    List<String> selected = new ArrayList<>(Arrays.asList(arguments));
    Path directory = null;
    int option = selected.indexOf("--record");
    if (option >= 0) {
      selected.remove(option);
      directory = Files.createDirectories(Path.of(selected.remove(option)));
    }
    long startNanos = System.nanoTime();
    MessageDigest total = sha256();
    int count = 0;
    int failed = 0;
    for (Scenario scenario : new BehaviourDigest().scenarios) {
      if (selected.isEmpty() || selected.stream().anyMatch(scenario.name()::startsWith)) {
        count++;
        String line = run(scenario, directory);
        failed += line.endsWith("failed") ? 1 : 0;
        System.out.println(line);
        total.update((line + "\n").getBytes(StandardCharsets.UTF_8));
      }
    }
    System.out.println(HexFormat.of().formatHex(total.digest()) + "  total of " + count);
    System.err.println(Duration.ofNanos(System.nanoTime() - startNanos).toSeconds() + " s");
    System.exit(failed == 0 && count > 0 ? 0 : 1);
  }

  private static String run(Scenario scenario, Path directory) throws IOException {
    SeededRandom.reset();
    long startNanos = System.nanoTime();
    String suffix = "";
    Recorder recorder;
    try (PrintWriter lines =
        directory == null
            ? null
            : new PrintWriter(
                Files.newBufferedWriter(directory.resolve(scenario.name() + ".txt")))) {
      recorder = new Recorder(lines);
      try {
        scenario.runner().run(recorder);
      } catch (Exception | AssertionError e) {
        e.printStackTrace();
        suffix = " failed";
      }
    }
    System.err.println(
        scenario.name() + " " + (System.nanoTime() - startNanos) / 1_000_000 + " ms");
    return String.format(
        "%s  %s  %d requests, %d answers%s",
        HexFormat.of().formatHex(recorder.digest.digest()),
        scenario.name(),
        recorder.requests,
        recorder.answers,
        suffix);
  }
}
