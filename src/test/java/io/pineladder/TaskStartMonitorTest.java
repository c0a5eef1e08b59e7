package io.pineladder;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.pineladder.TaskStartMonitor.Observation;
import io.pineladder.TaskStartMonitor.Reason;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class TaskStartMonitorTest {
  private static final Instant START = Instant.EPOCH;

  private final TaskStartMonitor monitor = new TaskStartMonitor();

  private void observe(Reason reason, int afterSeconds) {
    monitor.observe(new Observation(reason, () -> "term=1"), START.plusSeconds(afterSeconds));
  }

  @Test
  void reasonLastsFromItsFirstObservation() {
    observe(Reason.NO_LEADER, 0);
    observe(Reason.NO_LEADER, 40);
    assertEquals(Reason.NO_LEADER, monitor.reason());
    assertEquals(Duration.ofSeconds(50), monitor.lasted(START.plusSeconds(50)));

    observe(Reason.LEASE_IN_DOUBT, 50);
    assertEquals(Duration.ofSeconds(10), monitor.lasted(START.plusSeconds(60)));

    observe(Reason.NONE, 60);
    observe(Reason.LEASE_IN_DOUBT, 62);
    assertEquals(Reason.LEASE_IN_DOUBT, monitor.reason());
    assertEquals(Duration.ZERO, monitor.lasted(START.plusSeconds(62)));
  }
}
