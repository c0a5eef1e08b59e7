package io.pineladder.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.wire.Json;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * A laid out cluster with the troubles that are not one controller's, and users who go on
 * meanwhile.
 */
abstract class FaultInjectionCluster extends ConfigurableCluster {
  /** The part of the open jobs that are cancelled, a step. */
  private static final double CANCELS = 0.08;

  /** Between two of the questions that follow one another closely, in milliseconds. */
  private static final long[] CLOSELY = {0, 2, 7, 20, 60, 200, 800};

  /** Users ask at all nodes, again and again, right after an answer that says something new. */
  boolean sendsRequestBursts;

  /** The part of the jobs that end by themselves which are cancelled at that moment. */
  double cancelAtEndRate;

  long randomBetween(long least, long most) {
    return least + world.random.nextLong(most - least);
  }

  void schedule(long millis, Runnable action) {
    world.after(millis, action);
  }

  void killLeader(long backMillis) {
    kill(controllers.get(leaderHost().charAt(leaderHost().length() - 1) - '1'), backMillis);
  }

  void rejectLeaderAtStore(long millis) {
    String refused = leaderHost();
    world.answerRefused(refused, "10.2.0.1", true);
    schedule(millis, () -> world.answerRefused(refused, "10.2.0.1", false));
  }

  void storeOutage(long millis) {
    store.outage = true;
    schedule(millis, store::endOutage);
  }

  List<String> randomMachines(int oneOf) {
    return fleet.runningWorkers().stream()
        .map(w -> SimulatedWorld.host(w.address))
        .filter(h -> world.random.nextInt(oneOf) == 0)
        .toList();
  }

  void makeUnreachable(List<String> hosts, long millis) {
    world.unreachableHosts.addAll(hosts);
    schedule(millis, () -> hosts.forEach(world.unreachableHosts::remove));
  }

  void runStep(int number) {
    String shape = number % 5 == 0 ? "service" : number % 5 == 3 ? "group" : "array";
    ObjectNode spec = simpleJobSpec(shape, 1 + world.random.nextInt(shape.equals("group") ? 3 : 5));
    boolean together = shape.equals("group") && number % 2 == 0;
    spec.put("together", together).put("spread", !together && number % 7 == 0);
    if (number % 2 == 0 && !shape.equals("service")) {
      // Long enough to be there from before the troubles until after them.
      spec.put("guess_s", randomBetween(30, 110));
    }
    if (number % 3 == 0 && !shape.equals("service")) {
      // Services run on, and would fill this team's limit for good.
      spec.put("owner", "blue");
    }
    submit(spec);
    oddRequests();
    for (SafetyRules.TrackedJob job : new ArrayList<>(rules.jobs.values())) {
      perhapsCancel(job, CANCELS);
      if (world.random.nextInt(10) == 0) {
        queryStatus(job);
      }
    }
    world.runFor(Duration.ofSeconds(2));
  }

  /** So likely cancels a job whose user may think of it. */
  private void perhapsCancel(SafetyRules.TrackedJob job, double likely) {
    if (job.accepted && !job.cancelRequested && !job.isFinished() && world.random.nextDouble() < likely) {
      cancel(job);
    }
  }

  void cancelRandomJobs(double part) {
    List.copyOf(rules.jobs.values()).forEach(job -> perhapsCancel(job, part));
  }

  @Override
  void onNews(SafetyRules.TrackedJob job) {
    if (sendsRequestBursts) {
      lookClosely(job);
    }
  }

  /**
   * Asks at every node within milliseconds, submits again, and cancels some that were just
   * accepted.
   */
  void lookClosely(SafetyRules.TrackedJob job) {
    boolean cancels =
        job.reportedState() == SafetyRules.ReportedState.ACCEPTED && !job.cancelRequested && world.random.nextInt(4) == 0;
    for (String node : apiAddresses) {
      for (long millis : CLOSELY) {
        schedule(millis, () -> send(job, node, "GET", "/v1/jobs/" + job.id, null, good -> {}));
      }
      schedule(randomBetween(0, 50), () -> send(job, node, "POST", "/v1/jobs", Json.bytes(job.spec), good -> {}));
    }
    if (cancels) {
      schedule(randomBetween(0, 30), () -> cancel(job));
    }
  }

  /**
   * Each of the jobs that end may be cancelled, asked for and submitted again within that very
   * moment.
   */
  void cancelJobsAtEnd() {
    rules.onLastDone =
        job -> {
          if (world.random.nextDouble() < cancelAtEndRate) {
            schedule(randomBetween(0, 1_000), () -> lookClosely(job));
            job.cancelRequested = true;
            for (int i = 0; i < 2; i++) {
              String path = "/v1/jobs/" + job.id + "/cancel";
              schedule(randomBetween(0, 700), () -> send(job, "POST", path, null));
            }
          }
        };
  }

  /**
   * What users should not send: jobs that can't run or lack a field, repeats of jobs, cancels of
   * those done.
   */
  void oddRequests() {
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
    SafetyRules.TrackedJob unfit = new SafetyRules.TrackedJob(spec.get("ref").asText(), spec);
    unfit.invalid = true;
    send(unfit, "POST", "/v1/jobs", Json.bytes(spec));
    for (SafetyRules.TrackedJob job : List.copyOf(rules.jobs.values())) {
      if (job.accepted && world.random.nextInt(10) == 0) {
        String node = apiAddresses.get(world.random.nextInt(apiAddresses.size()));
        send(job, node, "POST", "/v1/jobs", Json.bytes(job.spec), good -> {});
        if (job.done) {
          send(job, node, "POST", "/v1/jobs/" + job.id + "/cancel", null, good -> {});
        }
      }
    }
  }

  /** These machines can open connections to no controller; direct commands reach them. */
  void blockOutgoing(List<String> machines, long millis) {
    for (String machine : machines) {
      for (String node : controllerHosts()) {
        world.cutOneWay(machine, node);
        schedule(millis, () -> world.heal(machine, node));
      }
    }
  }

  /**
   * A zone's workers and controllers are cut off from all others and from the regional services.
   */
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
