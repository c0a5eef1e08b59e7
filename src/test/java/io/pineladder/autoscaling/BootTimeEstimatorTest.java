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

  private final BootTimeEstimator boots = new BootTimeEstimator();
  private int names;

  private Machine rented() {
    Machine machine = new Machine("m-" + ++names, TYPE, "a", false, START);
    machine.rentedByThisLeader = true;
    boots.observe(machine, START);
    return machine;
  }

  private static Instant after(double seconds) {
    return START.plusMillis((long) (seconds * 1000));
  }

  private void comes(Machine machine, double seconds) {
    machine.transitionTo(Machine.State.HEARD);
    boots.observe(machine, after(seconds));
  }

  @Test
  void aMachineThatIsLateCountsHalfAndThenNotAtAll() {
    Machine machine = rented();
    assertEquals(1, boots.weight(machine, after(15)));
    assertEquals(0.5, boots.weight(machine, after(20)));
    assertEquals(0, boots.weight(machine, after(30)));
    assertFalse(boots.hasTimedOut(machine, after(30)));
    assertFalse(boots.hasTimedOut(machine, after(49)));
    assertTrue(boots.hasTimedOut(machine, after(51)));
  }

  /** On the operators' nights all machines came up at several times the nominal time. */
  @Test
  void whenAllBootsAreSlowTheyAreWaitedForAndRoomIsKeptForLonger() {
    for (int i = 0; i < 20; i++) {
      comes(rented(), 40);
    }
    Machine next = rented();
    assertEquals(1, boots.weight(next, after(49)));
    assertEquals(0.5, boots.weight(next, after(51)));
    assertFalse(boots.hasTimedOut(next, after(50)));
    assertTrue(boots.hasTimedOut(next, after(51)));
    assertEquals(Duration.ofSeconds(40), boots.typicalBootTime(TYPE));
    assertFalse(boots.isTypical(TYPE));
  }

  @Test
  void whenHalfNeverComeMoreAreAskedForAndOneLateComerIsNoFailure() {
    for (int i = 0; i < 16; i++) {
      comes(rented(), 10);
      boots.observe(rented(), after(35));
    }
    assertTrue(boots.arrivalShare(TYPE) < 0.65, "part " + boots.arrivalShare(TYPE));
    assertTrue(boots.arrivalShare(TYPE) >= 0.5);
  }

  /**
   * Found on colombo-ops: after a takeover all boots looked slow, from what the old leader rented.
   */
  @Test
  void machinesThatWereUpBeforeDoNotCount() {
    Machine old = new Machine("m-0", TYPE, "a", false, START);
    boots.observe(old, after(300));
    comes(old, 301);
    assertEquals(TYPE.bootTime(), boots.typicalBootTime(TYPE));
    assertFalse(boots.isTypical(TYPE), "nothing has been seen");
    for (int i = 0; i < 4; i++) {
      comes(rented(), 10);
    }
    assertTrue(boots.isTypical(TYPE));
  }
}
