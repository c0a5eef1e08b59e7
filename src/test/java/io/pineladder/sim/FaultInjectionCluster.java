package io.pineladder.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.wire.Json;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** A configurable cluster with more kinds of faults, and a user workload that runs meanwhile. */
abstract class FaultInjectionCluster extends ConfigurableCluster {
  /** The probability that an open job is cancelled in one step. */
  private static final double CANCEL_PROBABILITY = 0.08;

  /** When the requests of a burst are sent, relative to its start. */
  private static final long[] BURST_DELAYS_MILLIS = {0, 2, 7, 20, 60, 200, 800};

  /** Whether users query all nodes in a burst after an answer that shows a new job state. */
  boolean sendsRequestBursts;

  /** The fraction of jobs that are cancelled at the moment of their completion. */
  double cancelAtEndRate;

  /** A random number from {@code min}, inclusive, to {@code max}, exclusive. */
  long randomBetween(long min, long max) {
    return min + world.random.nextLong(max - min);
  }

  void schedule(long millis, Runnable action) {
    world.after(millis, action);
  }

  void killLeader(long downtimeMillis) {
    kill(controllers.get(leaderHost().charAt(leaderHost().length() - 1) - '1'), downtimeMillis);
  }

  void rejectLeaderAtStore(long millis) {
    String rejected = leaderHost();
    world.setRejected(rejected, "10.2.0.1", true);
    schedule(millis, () -> world.setRejected(rejected, "10.2.0.1", false));
  }

  void storeOutage(long millis) {
    store.outage = true;
    schedule(millis, store::endOutage);
  }

  /** The hosts of running workers, each selected with a probability of 1 in {@code oneIn}. */
  List<String> randomMachines(int oneIn) {
    return fleet.runningWorkers().stream()
        .map(w -> SimulatedWorld.host(w.address))
        .filter(h -> world.random.nextInt(oneIn) == 0)
        .toList();
  }

  void makeUnreachable(List<String> hosts, long millis) {
    world.unreachableHosts.addAll(hosts);
    schedule(millis, () -> hosts.forEach(world.unreachableHosts::remove));
  }

  /** Submits a job, cancels and queries random jobs, and runs for two seconds. */
  void runWorkloadStep(int number) {
    String shape = number % 5 == 0 ? "service" : number % 5 == 3 ? "group" : "array";
    ObjectNode spec = simpleJobSpec(shape, 1 + world.random.nextInt(shape.equals("group") ? 3 : 5));
    boolean together = shape.equals("group") && number % 2 == 0;
    spec.put("together", together).put("spread", !together && number % 7 == 0);
    if (number % 2 == 0 && !shape.equals("service")) {
      // Long enough to run from before the faults until after them.
      spec.put("guess_s", randomBetween(30, 110));
    }
    if (number % 3 == 0 && !shape.equals("service")) {
      // Services never finish and would permanently use up the quota of this team.
      spec.put("owner", "blue");
    }
    submit(spec);
    sendUnusualRequests();
    for (SafetyRules.TrackedJob job : new ArrayList<>(rules.jobs.values())) {
      maybeCancel(job, CANCEL_PROBABILITY);
      if (world.random.nextInt(10) == 0) {
        queryStatus(job);
      }
    }
    world.runFor(Duration.ofSeconds(2));
  }

  /** Cancels an accepted, unfinished job with the given probability. */
  private void maybeCancel(SafetyRules.TrackedJob job, double probability) {
    if (job.accepted
        && !job.cancelRequested
        && !job.isFinished()
        && world.random.nextDouble() < probability) {
      cancel(job);
    }
  }

  void cancelRandomJobs(double probability) {
    List.copyOf(rules.jobs.values()).forEach(job -> maybeCancel(job, probability));
  }

  @Override
  void onStateAdvanced(SafetyRules.TrackedJob job) {
    if (sendsRequestBursts) {
      sendRequestBurst(job);
    }
  }

  /**
   * Queries the job at every node within a second and submits it again; may cancel a job that was
   * just accepted.
   */
  void sendRequestBurst(SafetyRules.TrackedJob job) {
    boolean cancel =
        job.reportedState() == SafetyRules.ReportedState.ACCEPTED
            && !job.cancelRequested
            && world.random.nextInt(4) == 0;
    for (String node : apiAddresses) {
      for (long millis : BURST_DELAYS_MILLIS) {
        schedule(millis, () -> send(job, node, "GET", "/v1/jobs/" + job.id, null, succeeded -> {}));
      }
      schedule(
          randomBetween(0, 50),
          () -> send(job, node, "POST", "/v1/jobs", Json.bytes(job.spec), succeeded -> {}));
    }
    if (cancel) {
      schedule(randomBetween(0, 30), () -> cancel(job));
    }
  }

  /** Makes random jobs be cancelled, queried and submitted again around their completion. */
  void cancelJobsAtEnd() {
    rules.onLastTaskCompleted =
        job -> {
          if (world.random.nextDouble() < cancelAtEndRate) {
            schedule(randomBetween(0, 1_000), () -> sendRequestBurst(job));
            job.cancelRequested = true;
            for (int i = 0; i < 2; i++) {
              String path = "/v1/jobs/" + job.id + "/cancel";
              schedule(randomBetween(0, 700), () -> send(job, "POST", path, null));
            }
          }
        };
  }

  /**
   * Sends requests that a client should not send: invalid or incomplete jobs, repeated submissions,
   * and cancellations of completed jobs.
   */
  void sendUnusualRequests() {
    ObjectNode spec = simpleJobSpec("array", 2);
    rules.jobs.remove(spec.get("ref").asText());
    switch (world.random.nextInt(8)) {
      case 0 -> spec.put("owner", "nobody");
      case 1 -> spec.put("vcpus", 1e5);
      case 2 -> spec.put("yard", "nowhere");
      case 3 -> spec.put("pieces", 0);
      case 4 -> spec.put("shape", "group").put("owner", "blue").put("pieces", 9);
      case 5 -> spec.put("shape", "group").put("together", true).put("spread", true);
      default -> {
        List<String> required = new ArrayList<>();
        spec.fieldNames().forEachRemaining(required::add);
        required.remove("ref");
        spec.remove(required.get(world.random.nextInt(required.size())));
      }
    }
    SafetyRules.TrackedJob invalid = new SafetyRules.TrackedJob(spec.get("ref").asText(), spec);
    invalid.invalid = true;
    send(invalid, "POST", "/v1/jobs", Json.bytes(spec));
    for (SafetyRules.TrackedJob job : List.copyOf(rules.jobs.values())) {
      if (job.accepted && world.random.nextInt(10) == 0) {
        String node = apiAddresses.get(world.random.nextInt(apiAddresses.size()));
        send(job, node, "POST", "/v1/jobs", Json.bytes(job.spec), succeeded -> {});
        if (job.done) {
          send(job, node, "POST", "/v1/jobs/" + job.id + "/cancel", null, succeeded -> {});
        }
      }
    }
  }

  /**
   * Blocks requests from these machines to all controllers; those from controllers still arrive.
   */
  void blockOutgoing(List<String> machines, long millis) {
    for (String machine : machines) {
      for (String node : controllerHosts()) {
        world.cutOneWay(machine, node);
        schedule(millis, () -> world.heal(machine, node));
      }
    }
  }

  /** Cuts a zone's workers and controllers off from other zones, regional services and users. */
  void cutZone(String zone, long millis) {
    List<String> inside = new ArrayList<>();
    List<String> outside = new ArrayList<>(List.of("10.2.0.1", "10.2.0.2", "user"));
    for (int i = 0; i < layout.nodes; i++) {
      (zoneOf(i).equals(zone) ? inside : outside).add(host(i));
    }
    for (FakeFleet.Worker worker : fleet.runningWorkers()) {
      (worker.zone.equals(zone) ? inside : outside).add(SimulatedWorld.host(worker.address));
    }
    cutTemporarily(inside, outside, millis);
  }
}
