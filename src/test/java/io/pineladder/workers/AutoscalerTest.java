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

/** Which machines are rented and which are kept. */
class AutoscalerTest {
  private final LeaderHarness leader = new LeaderHarness();

  /**
   * The other type's spot machines come before dear ones of the type that is cheapest by list
   * price.
   */
  @Test
  void spotMachinesOfAllTypesAreRentedBeforeAnyOnDemandOne() {
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
    List<String> asked = new ArrayList<>();
    for (int second = 0; second < 6; second++) {
      leader.runFor(Duration.ofSeconds(1));
      for (var sent = leader.sent.poll(); sent != null; sent = leader.sent.poll()) {
        if (sent.request().path().equals("/rentals")) {
          String body = LeaderHarness.text(sent.request().body());
          String type = body.contains("\"big\"") ? "big" : "g4";
          asked.add(type + (body.contains("\"loaners\":true") ? " spot" : ""));
          byte[] refusal = "{\"error\":\"no capacity\"}".getBytes(StandardCharsets.UTF_8);
          sent.onReply().accept(AsyncHttpClient.Reply.answered(503, refusal));
        } else {
          sent.onReply().accept(AsyncHttpClient.Reply.answered(200, LeaderHarness.machineList()));
        }
      }
    }
    int ordinary = asked.indexOf("g4") < 0 ? asked.indexOf("big") : asked.indexOf("g4");
    assertTrue(asked.contains("g4 spot") && asked.contains("big spot"), asked.toString());
    assertTrue(ordinary < 0 || ordinary > asked.lastIndexOf("big spot"), asked.toString());
  }

  /**
   * Found on the first laval: right after a takeover images were taken for small, and idle machines
   * whose images take minutes to fetch were returned as if any other were as good.
   */
  @Test
  void aNewLeaderKeepsIdleMachinesWhereImagesAreSlowToFetch() {
    leader.accept(
        LeaderHarness.spec("req-000001", JobKind.SERVICE, PriorityClass.PRODUCTION, 1, "i"));
    leader.autoscaler.start();
    for (int second = 0; second < 40; second++) {
      for (int i = 0; i < 6; i++) {
        Machine machine = leader.cluster.machine("m-" + i);
        TaskStatus[] tasks = machine == null ? new TaskStatus[0] : LeaderHarness.running(machine);
        leader.heartbeat("m-" + i, 1 + second, tasks);
      }
      leader.runFor(Duration.ofMillis(640));
    }
    for (int i = 0; i < 6; i++) {
      // 5 GB at 0.1 GB a second and 10 s of booting: having one ready again takes a minute.
      assertEquals(Machine.State.CONFIRMED, leader.cluster.machine("m-" + i).state());
    }
  }

  /** Found by the bench's run of real processes: idle machines stayed rented after the last job. */
  @Test
  void withoutAnyJobIdleMachinesAreReleasedSoon() {
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
   * Found on laval-ops: after each change of the spot prices no machine counted as booting or spare
   * any more, and room was rented once again.
   */
  @Test
  void bootingMachinesAreNotRentedAgainAtNewPrices() {
    leader.autoscaler.start();
    leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 4, "i"));
    assertEquals(1, countRentals());
    MachineType was = LeaderHarness.TYPE;
    leader.cluster.setTypes(
        List.of(
            new MachineType(
                was.name(),
                was.capacity(),
                was.cacheGb(),
                was.fetchGbPerSecond(),
                was.onDemandPrice(),
                was.spotPrice() * 1.1,
                was.bootTime(),
                was.zones())));
    leader.runFor(Duration.ofSeconds(3));
    assertEquals(0, countRentals());
  }

  /** Found on colombo-ops: a guest's work for idle time had every ordinary machine rented. */
  @Test
  void idleCapacityWorkRentsNoOnDemandMachineUntilItHasWaitedForLong() {
    leader.autoscaler.start();
    leader.accept(LeaderHarness.spec("req-000001", JobKind.ARRAY, PriorityClass.LOW, 8, "i"));
    assertEquals(Set.of(true), requestedMarkets(Duration.ofSeconds(60)));
    leader.accept(LeaderHarness.spec("req-000002", JobKind.ARRAY, PriorityClass.NORMAL, 8, "i"));
    assertEquals(Set.of(true, false), requestedMarkets(Duration.ofSeconds(60)));
    LeaderHarness other = new LeaderHarness();
    other.autoscaler.start();
    other.accept(LeaderHarness.spec("req-000001", JobKind.ARRAY, PriorityClass.LOW, 8, "i"));
    assertEquals(Set.of(true, false), requestedMarkets(other, Duration.ofMinutes(11)));
  }

  /**
   * Found on colombo-ops: a guest's work for idle time kept a thousand machines from being
   * returned.
   */
  @Test
  void idleCapacityWorkDoesNotKeepAnOnDemandMachine() {
    for (int i = 0; i < 2; i++) {
      leader.heartbeat("m-" + i, 1);
    }
    JobSpec like = LeaderHarness.spec("req-000002", JobKind.ARRAY, PriorityClass.LOW, 7, "i");
    leader.accept(
        LeaderHarness.spec("req-000001", JobKind.SERVICE, PriorityClass.PRODUCTION, 1, "i"));
    Job filler =
        leader.accept(
            new JobSpec(
                like.id(),
                like.jobClass(),
                like.team(),
                like.kind(),
                like.priorityClass(),
                7,
                like.resourcesPerTask(),
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
            "m-" + i, 2 + second, LeaderHarness.running(leader.cluster.machine("m-" + i)));
      }
      leader.runFor(Duration.ofMillis(880));
    }
    int kept = leader.cluster.machine("m-0").draining ? 1 : 0;
    assertTrue(leader.cluster.machine("m-" + (1 - kept)).draining, "only filled");
    assertTrue(leader.cluster.machine("m-" + kept).isSchedulable(), "a replica runs there");
    assertEquals(
        4,
        filler.attempts.values().stream().filter(LeaderHarness::isStopped).count(),
        "what filled the one makes way");
  }

  private Set<Boolean> requestedMarkets(Duration within) {
    return requestedMarkets(leader, within);
  }

  /** Refuses all rentals and tells whether spot machines (true) and others were asked for. */
  private static Set<Boolean> requestedMarkets(LeaderHarness of, Duration within) {
    Set<Boolean> kinds = new HashSet<>();
    for (long second = 0; second < within.toSeconds(); second++) {
      of.runFor(Duration.ofSeconds(1));
      for (var sent = of.sent.poll(); sent != null; sent = of.sent.poll()) {
        if (sent.request().path().equals("/rentals")) {
          kinds.add(LeaderHarness.text(sent.request().body()).contains("\"loaners\":true"));
          byte[] refusal = "{\"error\":\"no capacity\"}".getBytes(StandardCharsets.UTF_8);
          sent.onReply().accept(AsyncHttpClient.Reply.answered(503, refusal));
        } else {
          sent.onReply().accept(AsyncHttpClient.Reply.answered(200, LeaderHarness.machineList()));
        }
      }
    }
    return kinds;
  }

  /** Answers what the fleet asks of the cloud and counts the machines it wants rented. */
  private int countRentals() {
    int wanted = 0;
    for (int second = 0; second < 3; second++) {
      leader.runFor(Duration.ofSeconds(1));
      for (var sent = leader.sent.poll(); sent != null; sent = leader.sent.poll()) {
        if (sent.request().path().equals("/rentals")) {
          wanted++;
          byte[] names = "{\"hosts\":[\"m-1\"]}".getBytes(StandardCharsets.UTF_8);
          sent.onReply().accept(AsyncHttpClient.Reply.answered(200, names));
        } else {
          sent.onReply().accept(AsyncHttpClient.Reply.answered(200, LeaderHarness.machineList()));
        }
      }
    }
    return wanted;
  }
}
