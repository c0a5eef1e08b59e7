package io.pineladder.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pineladder.model.Machine;
import io.pineladder.model.MachineType;
import io.pineladder.model.Resources;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;

class BootTimeEstimatorTest {
  private static final MachineType TYPE =
      new MachineType(
          "g4", Resources.of(16, 4, 64), 50, 0.1, 4, 1, Duration.ofSeconds(10), List.of("a"));
  private static final Instant START = Instant.EPOCH;

  private final BootTimeEstimator estimator = new BootTimeEstimator();
  private int machineCount;

  private Machine rentMachine() {
    Machine machine = new Machine("m-" + ++machineCount, TYPE, "a", false, START);
    machine.requestedInThisTerm = true;
    estimator.observe(machine, START);
    return machine;
  }

  private static Instant secondsAfterStart(double seconds) {
    return START.plusMillis((long) (seconds * 1000));
  }

  private void finishBoot(Machine machine, double seconds) {
    machine.transitionTo(Machine.State.HEARD);
    estimator.observe(machine, secondsAfterStart(seconds));
  }

  @Test
  void weightDecreasesWhenBootIsLate() {
    Machine machine = rentMachine();
    assertEquals(1, estimator.weight(machine, secondsAfterStart(15)));
    assertEquals(0.5, estimator.weight(machine, secondsAfterStart(20)));
    assertEquals(0, estimator.weight(machine, secondsAfterStart(30)));
    assertFalse(estimator.hasTimedOut(machine, secondsAfterStart(30)));
    assertFalse(estimator.hasTimedOut(machine, secondsAfterStart(49)));
    assertTrue(estimator.hasTimedOut(machine, secondsAfterStart(51)));
  }

  /** Guards against giving up all machines when boots are slow in general. */
  @Test
  void adaptsToSlowBoots() {
    for (int i = 0; i < 20; i++) {
      finishBoot(rentMachine(), 40);
    }
    Machine next = rentMachine();
    assertEquals(1, estimator.weight(next, secondsAfterStart(49)));
    assertEquals(0.5, estimator.weight(next, secondsAfterStart(51)));
    assertFalse(estimator.hasTimedOut(next, secondsAfterStart(50)));
    assertTrue(estimator.hasTimedOut(next, secondsAfterStart(51)));
    assertEquals(Duration.ofSeconds(40), estimator.typicalBootTime(TYPE));
    assertFalse(estimator.isTypical(TYPE));
  }

  @Test
  void arrivalShareReflectsFailedBoots() {
    for (int i = 0; i < 16; i++) {
      finishBoot(rentMachine(), 10);
      estimator.observe(rentMachine(), secondsAfterStart(35));
    }
    assertTrue(
        estimator.arrivalShare(TYPE) < 0.65, "arrival share: " + estimator.arrivalShare(TYPE));
    assertTrue(estimator.arrivalShare(TYPE) >= 0.5);
  }

  /**
   * Guards against estimating slow boots after a failover, from machines that booted before the
   * term.
   */
  @Test
  void ignoresMachinesRentedByEarlierLeader() {
    Machine old = new Machine("m-0", TYPE, "a", false, START);
    estimator.observe(old, secondsAfterStart(300));
    finishBoot(old, 301);
    assertEquals(TYPE.bootTime(), estimator.typicalBootTime(TYPE));
    assertFalse(estimator.isTypical(TYPE), "no boots have been observed");
    for (int i = 0; i < 4; i++) {
      finishBoot(rentMachine(), 10);
    }
    assertTrue(estimator.isTypical(TYPE));
  }
}
