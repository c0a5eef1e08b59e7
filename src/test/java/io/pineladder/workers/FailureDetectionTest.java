package io.pineladder.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pineladder.model.JobKind;
import io.pineladder.model.Machine;
import io.pineladder.model.PriorityClass;
import io.pineladder.net.AsyncHttpClient;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests failure detection for machines, zones and the leader's own connectivity. */
class FailureDetectionTest {
  private final LeaderHarness leader = new LeaderHarness();

  /**
   * Adds ten machines and lets the first six, in zone a, become silent.
   *
   * @param otherZone the zone of the other four machines
   * @param duration how long the other machines go on sending heartbeats
   */
  private void silenceSixOfTenMachines(String otherZone, Duration duration) {
    leader.autoscaler.start();
    for (int i = 0; i < 10; i++) {
      leader.heartbeat(i < 6 ? "a" : otherZone, "m-" + i, 1);
      leader.runFor(Duration.ofMillis(300));
    }
    for (int second = 0; second < duration.toSeconds(); second++) {
      leader.runFor(Duration.ofSeconds(1));
      for (int i = 6; i < 10; i++) {
        leader.heartbeat(otherZone, "m-" + i, 2 + second);
      }
    }
  }

  /** Guards against releasing the machines of an unreachable zone one by one. */
  @Test
  void keepsMachinesOfUnreachableZoneWhileLeasesMayBeValid() {
    silenceSixOfTenMachines("b", Duration.ofSeconds(25));
    for (int i = 0; i < 6; i++) {
      assertEquals(Machine.State.SILENT, leader.cluster.machine("m-" + i).state());
    }
    leader.runFor(Duration.ofSeconds(1));
    assertTrue(leader.resignations.isEmpty());
  }

  /**
   * Guards against releasing the remaining silent machines when the first ones send heartbeats
   * again after an outage.
   */
  @Test
  void keepsSilentMachinesWhileZoneRecovers() {
    silenceSixOfTenMachines("b", Duration.ofSeconds(25));
    for (int i = 0; i < 3; i++) {
      leader.heartbeat("a", "m-" + i, 2);
    }
    for (int second = 0; second < 6; second++) {
      leader.runFor(Duration.ofSeconds(1));
      for (int i = 6; i < 10; i++) {
        leader.heartbeat("b", "m-" + i, 100 + second);
      }
      for (int i = 0; i < 3; i++) {
        leader.heartbeat("a", "m-" + i, 3 + second);
      }
    }
    for (int i = 3; i < 6; i++) {
      assertEquals(Machine.State.SILENT, leader.cluster.machine("m-" + i).state());
    }
  }

  /**
   * Guards against treating many silent machines as a zone outage although heartbeats arrive from
   * other machines of the zone.
   */
  @Test
  void releasesManySilentMachinesOfReachableZone() {
    silenceSixOfTenMachines("a", Duration.ofSeconds(14));
    for (int i = 0; i < 6; i++) {
      assertEquals(Machine.State.RELEASING, leader.cluster.machine("m-" + i).state());
    }
  }

  /**
   * Machines that hang may recover within their lease, so they are waited for if replacing them is
   * slow.
   */
  @Test
  void waitsForLeaseExpiryWhenReplacementsAreSlow() {
    leader.accept(LeaderHarness.spec("req-1", JobKind.SERVICE, PriorityClass.LOW, 1, "i"));
    silenceSixOfTenMachines("a", Duration.ofSeconds(14));
    for (int i = 0; i < 6; i++) {
      assertEquals(Machine.State.SILENT, leader.cluster.machine("m-" + i).state());
    }
    leader.runFor(Duration.ofSeconds(8));
    for (int i = 0; i < 6; i++) {
      assertEquals(Machine.State.RELEASING, leader.cluster.machine("m-" + i).state());
    }
  }

  /** A leader that no worker reaches resigns, but only if it received heartbeats before. */
  @Test
  void resignsWhenAllPreviouslySeenWorkersAreSilent() {
    leader.autoscaler.start();
    for (int i = 0; i < 3; i++) {
      Machine machine = new Machine("m-" + i, LeaderHarness.TYPE, "a", false, leader.now());
      machine.knownFromPlacements = true;
      machine.listedRunning = true;
      leader.cluster.addMachine(machine);
    }
    leader.runFor(Duration.ofSeconds(30));
    assertTrue(leader.resignations.isEmpty());
    leader.runFor(Duration.ofSeconds(20));
    assertEquals(Machine.State.RELEASING, leader.cluster.machine("m-0").state());
    LeaderHarness otherLeader = new LeaderHarness();
    otherLeader.autoscaler.start();
    otherLeader.heartbeat("m-1", 1);
    otherLeader.heartbeat("m-2", 1);
    otherLeader.runFor(Duration.ofSeconds(14));
    assertTrue(otherLeader.resignations.contains("no worker heartbeats received"));
  }

  /** Guards against a leader that keeps its term while its workers reach only other controllers. */
  @Test
  void transfersLeadershipWhenMostWorkersReachPeersOnly() {
    leader.autoscaler.start();
    for (int second = 0; second < 30; second++) {
      for (int i = 0; i < 5; i++) {
        leader.heartbeat("m-" + i, 1 + second);
        // Forwarding is expected right after a failover, and for a minority of machines.
        boolean forwardsMost = second < 10 || second >= 25;
        leader.cluster.machine("m-" + i).reachedThroughPeer = i < (forwardsMost ? 4 : 2);
      }
      leader.runFor(Duration.ofMillis(700));
      assertEquals(second < 25, leader.resignations.isEmpty(), "second " + second);
    }
  }

  /**
   * Guards against releasing machines whose heartbeats were not applied while the leader's lease
   * was uncertain.
   */
  @Test
  void keepsMachinesAfterLongUncertainLease() {
    leader.autoscaler.start();
    for (int second = 0; second < 5; second++) {
      for (int i = 0; i < 12; i++) {
        leader.heartbeat("m-" + i, 1 + second);
      }
      leader.runFor(Duration.ofMillis(280));
    }
    // All machines have tasks, so none is released as idle.
    leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 48, "i"));
    assertEquals(48, leader.attempts().size());
    leader.leaseCertain = false;
    leader.runFor(Duration.ofSeconds(68));
    leader.leaseCertain = true;
    // Some send heartbeats at once, the others within the heartbeat timeout.
    for (int i = 0; i < 4; i++) {
      leader.heartbeat("m-" + i, 20);
    }
    leader.runFor(Duration.ofSeconds(6));
    assertTrue(leader.resignations.isEmpty(), leader.resignations.toString());
    for (int i = 0; i < 12; i++) {
      assertEquals(Machine.State.CONFIRMED, leader.cluster.machine("m-" + i).state());
    }
    leader.runFor(Duration.ofSeconds(60));
    assertTrue(
        leader.cluster.machine("m-11") == null
            || leader.cluster.machine("m-11").state() != Machine.State.CONFIRMED,
        "a machine that stays silent is released");
  }

  /**
   * A paused leader may keep its lease, and after the pause timers fire before queued heartbeats
   * are read. Guards against releasing machines because of the leader's own pause.
   */
  @Test
  void keepsMachinesAfterProcessPause() {
    leader.autoscaler.start();
    for (int second = 0; second < 5; second++) {
      for (int i = 0; i < 4; i++) {
        leader.heartbeat("m-" + i, 1 + second);
      }
      leader.runFor(Duration.ofMillis(760));
    }
    leader.pauseProcessFor(Duration.ofSeconds(20));
    leader.runFor(Duration.ofSeconds(3));
    assertTrue(leader.resignations.isEmpty(), leader.resignations.toString());
    for (int i = 0; i < 4; i++) {
      assertEquals(Machine.State.CONFIRMED, leader.cluster.machine("m-" + i).state());
    }
  }

  /** Guards against waiting for the heartbeat timeout of machines reclaimed without notice. */
  @Test
  void releasesUnlistedMachineBeforeHeartbeatTimeout() {
    leader.autoscaler.start();
    boolean wasListed = false;
    for (int second = 0; second < 30; second++) {
      leader.heartbeat("m-1", 1 + second);
      leader.heartbeat("m-2", 1 + second);
      leader.runFor(Duration.ofSeconds(1));
      for (var sent = leader.sentRequests.poll(); sent != null; sent = leader.sentRequests.poll()) {
        if (sent.request().path().startsWith("/rentals?")) {
          // A machine missing from a list is released only if the list is newer than its first
          // listing.
          boolean isFirstList = !wasListed;
          byte[] list =
              isFirstList
                  ? LeaderHarness.machineList("m-1", "m-2")
                  : LeaderHarness.machineList("m-2");
          wasListed = true;
          sent.onReply().accept(AsyncHttpClient.Reply.answered(200, list));
        }
      }
      if (second == 4) {
        assertEquals(Machine.State.CONFIRMED, leader.cluster.machine("m-1").state());
      }
      if (second == 20) {
        assertEquals(Machine.State.RELEASING, leader.cluster.machine("m-1").state());
        assertEquals(Machine.State.CONFIRMED, leader.cluster.machine("m-2").state());
        return;
      }
    }
  }

  @Test
  void releasesSingleSilentMachine() {
    leader.autoscaler.start();
    for (int second = 0; second < 14; second++) {
      leader.runFor(Duration.ofSeconds(1));
      for (int i = 0; i < 5; i++) {
        if (i > 0 || second == 0) {
          leader.heartbeat("m-" + i, 1 + second);
        }
      }
    }
    assertEquals(Machine.State.RELEASING, leader.cluster.machine("m-0").state());
    assertEquals(Machine.State.CONFIRMED, leader.cluster.machine("m-1").state());
  }
}
