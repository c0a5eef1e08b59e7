package io.pineladder.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pineladder.model.Job;
import io.pineladder.model.JobKind;
import io.pineladder.model.JobSpec;
import io.pineladder.model.Machine;
import io.pineladder.model.MachineType;
import io.pineladder.model.PriorityClass;
import io.pineladder.model.Resources;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.wire.WorkerWire.TaskStatus;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests which machines the autoscaler rents, keeps and releases. */
class AutoscalerTest {
  private final LeaderHarness leader = new LeaderHarness();

  /**
   * Guards against renting on-demand machines of the cheapest type while spot machines of another
   * type are available.
   */
  @Test
  void rentsSpotMachinesOfAllTypesBeforeOnDemandMachines() {
    leader.cluster.setTypes(
        List.of(
            new MachineType(
                "big",
                Resources.of(64, 16, 256),
                50,
                1,
                15,
                3.9,
                Duration.ofSeconds(20),
                List.of("a"))));
    leader.autoscaler.start();
    leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.NORMAL, 8, "i"));
    List<String> requested = new ArrayList<>();
    for (int second = 0; second < 6; second++) {
      leader.runFor(Duration.ofSeconds(1));
      for (var sent = leader.sentRequests.poll(); sent != null; sent = leader.sentRequests.poll()) {
        if (sent.request().path().equals("/rentals")) {
          String body = LeaderHarness.bodyText(sent.request().body());
          String type = body.contains("\"big\"") ? "big" : "g4";
          requested.add(type + (body.contains("\"loaners\":true") ? " spot" : ""));
          byte[] refusal = "{\"error\":\"no capacity\"}".getBytes(StandardCharsets.UTF_8);
          sent.onReply().accept(AsyncHttpClient.Reply.answered(503, refusal));
        } else {
          sent.onReply().accept(AsyncHttpClient.Reply.answered(200, LeaderHarness.machineList()));
        }
      }
    }
    int firstOnDemand =
        requested.indexOf("g4") < 0 ? requested.indexOf("big") : requested.indexOf("g4");
    assertTrue(
        requested.contains("g4 spot") && requested.contains("big spot"), requested.toString());
    assertTrue(
        firstOnDemand < 0 || firstOnDemand > requested.lastIndexOf("big spot"),
        requested.toString());
  }

  /**
   * Guards against a new leader that assumes small images and releases idle machines whose
   * replacements take minutes to fetch an image.
   */
  @Test
  void newLeaderKeepsIdleMachinesWhenImagesAreSlowToFetch() {
    leader.accept(
        LeaderHarness.spec("req-000001", JobKind.SERVICE, PriorityClass.PRODUCTION, 1, "i"));
    leader.autoscaler.start();
    for (int second = 0; second < 40; second++) {
      for (int i = 0; i < 6; i++) {
        Machine machine = leader.cluster.machine("m-" + i);
        TaskStatus[] tasks =
            machine == null ? new TaskStatus[0] : LeaderHarness.runningStatuses(machine);
        leader.heartbeat("m-" + i, 1 + second, tasks);
      }
      leader.runFor(Duration.ofMillis(640));
    }
    for (int i = 0; i < 6; i++) {
      // Fetching 5 GB at 0.1 GB/s plus 10 s of booting: a replacement takes a minute.
      assertEquals(Machine.State.CONFIRMED, leader.cluster.machine("m-" + i).state());
    }
  }

  /** Guards against idle machines that stay rented after the last job. */
  @Test
  void releasesIdleMachinesWhenThereAreNoJobs() {
    leader.autoscaler.start();
    for (int second = 0; second < 40; second++) {
      leader.heartbeat("m-1", 1 + second);
      leader.heartbeat("m-2", 1 + second);
      leader.runFor(Duration.ofSeconds(1));
    }
    assertEquals(Machine.State.RELEASING, leader.cluster.machine("m-1").state());
    assertEquals(Machine.State.RELEASING, leader.cluster.machine("m-2").state());
  }

  /**
   * Guards against renting the same capacity again after a price change, because booting machines
   * have a type with the old price.
   */
  @Test
  void countsBootingMachinesAfterPriceChange() {
    leader.autoscaler.start();
    leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 4, "i"));
    assertEquals(1, countRentals());
    MachineType oldType = LeaderHarness.TYPE;
    leader.cluster.setTypes(
        List.of(
            new MachineType(
                oldType.name(),
                oldType.capacity(),
                oldType.cacheGb(),
                oldType.fetchGbPerSecond(),
                oldType.onDemandPrice(),
                oldType.spotPrice() * 1.1,
                oldType.bootTime(),
                oldType.zones())));
    leader.runFor(Duration.ofSeconds(3));
    assertEquals(0, countRentals());
  }

  /** Guards against renting on-demand machines for jobs that should run on idle capacity. */
  @Test
  void idleCapacityJobRentsOnDemandMachinesOnlyAfterLongWait() {
    leader.autoscaler.start();
    leader.accept(LeaderHarness.spec("req-000001", JobKind.ARRAY, PriorityClass.LOW, 8, "i"));
    assertEquals(Set.of(true), requestedMarkets(Duration.ofSeconds(60)));
    leader.accept(LeaderHarness.spec("req-000002", JobKind.ARRAY, PriorityClass.NORMAL, 8, "i"));
    assertEquals(Set.of(true, false), requestedMarkets(Duration.ofSeconds(60)));
    LeaderHarness otherLeader = new LeaderHarness();
    otherLeader.autoscaler.start();
    otherLeader.accept(LeaderHarness.spec("req-000001", JobKind.ARRAY, PriorityClass.LOW, 8, "i"));
    assertEquals(Set.of(true, false), requestedMarkets(otherLeader, Duration.ofMinutes(11)));
  }

  /** Guards against jobs that should run on idle capacity keeping on-demand machines rented. */
  @Test
  void drainsOnDemandMachineThatRunsIdleCapacityJobsOnly() {
    for (int i = 0; i < 2; i++) {
      leader.heartbeat("m-" + i, 1);
    }
    JobSpec spec = LeaderHarness.spec("req-000002", JobKind.ARRAY, PriorityClass.LOW, 7, "i");
    leader.accept(
        LeaderHarness.spec("req-000001", JobKind.SERVICE, PriorityClass.PRODUCTION, 1, "i"));
    Job filler =
        leader.accept(
            new JobSpec(
                spec.id(),
                spec.jobClass(),
                spec.team(),
                spec.kind(),
                spec.priorityClass(),
                7,
                spec.resourcesPerTask(),
                null,
                null,
                false,
                false,
                true,
                "i",
                5,
                Duration.ofSeconds(300),
                Duration.ofSeconds(30),
                Duration.ofSeconds(3),
                null));
    leader.autoscaler.start();
    assertTrue(filler.pendingTasks.isEmpty());
    for (int second = 0; second < 70; second++) {
      for (int i = 0; i < 2; i++) {
        leader.heartbeat(
            "m-" + i, 2 + second, LeaderHarness.runningStatuses(leader.cluster.machine("m-" + i)));
      }
      leader.runFor(Duration.ofMillis(880));
    }
    int keptMachine = leader.cluster.machine("m-0").draining ? 1 : 0;
    assertTrue(
        leader.cluster.machine("m-" + (1 - keptMachine)).draining, "runs idle-capacity tasks only");
    assertTrue(leader.cluster.machine("m-" + keptMachine).isSchedulable(), "a replica runs there");
    assertEquals(
        4,
        filler.attempts.values().stream().filter(LeaderHarness::isStopped).count(),
        "the tasks on the drained machine are preempted");
  }

  private Set<Boolean> requestedMarkets(Duration within) {
    return requestedMarkets(leader, within);
  }

  /** Refuses all rentals; returns true for spot and false for on-demand if any were requested. */
  private static Set<Boolean> requestedMarkets(LeaderHarness harness, Duration within) {
    Set<Boolean> markets = new HashSet<>();
    for (long second = 0; second < within.toSeconds(); second++) {
      harness.runFor(Duration.ofSeconds(1));
      for (var sent = harness.sentRequests.poll();
          sent != null;
          sent = harness.sentRequests.poll()) {
        if (sent.request().path().equals("/rentals")) {
          markets.add(LeaderHarness.bodyText(sent.request().body()).contains("\"loaners\":true"));
          byte[] refusal = "{\"error\":\"no capacity\"}".getBytes(StandardCharsets.UTF_8);
          sent.onReply().accept(AsyncHttpClient.Reply.answered(503, refusal));
        } else {
          sent.onReply().accept(AsyncHttpClient.Reply.answered(200, LeaderHarness.machineList()));
        }
      }
    }
    return markets;
  }

  /** Answers the cloud requests of 3 s and returns the number of rental requests. */
  private int countRentals() {
    int rentals = 0;
    for (int second = 0; second < 3; second++) {
      leader.runFor(Duration.ofSeconds(1));
      for (var sent = leader.sentRequests.poll(); sent != null; sent = leader.sentRequests.poll()) {
        if (sent.request().path().equals("/rentals")) {
          rentals++;
          byte[] names = "{\"hosts\":[\"m-1\"]}".getBytes(StandardCharsets.UTF_8);
          sent.onReply().accept(AsyncHttpClient.Reply.answered(200, names));
        } else {
          sent.onReply().accept(AsyncHttpClient.Reply.answered(200, LeaderHarness.machineList()));
        }
      }
    }
    return rentals;
  }
}
