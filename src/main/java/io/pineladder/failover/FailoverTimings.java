package io.pineladder.failover;

import io.pineladder.net.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Measures the phases of this controller's failovers. Event thread only. */
public final class FailoverTimings {
  private static final Logger log = LoggerFactory.getLogger(FailoverTimings.class);
  private static final long MAX_PHASE_MILLIS = TimeUnit.HOURS.toMillis(1);
  private static final int HISTORY_SIZE = 10;

  /** The time after the election at which a failover is logged, whether complete or not. */
  private static final Duration LOG_DELAY = Duration.ofSeconds(60);

  /**
   * The phases of a failover; all but the first are measured from the election. The names are
   * exposed by the administration API.
   */
  public enum Phase {
    /** From the last contact with the previous leader to the election. */
    ELECTED,
    /** The records of earlier leaders were read. */
    STORE_READ,
    /** The first heartbeat was answered after the records were read. */
    FIRST_REPORT,
    /** The first user request was answered by the new leader. */
    FIRST_ANSWER,
    /** The first placement was stored. */
    FIRST_PLACEMENT,
    /** 90 % of the machines with stored placements have sent a heartbeat. */
    FLEET_HEARD;

    /** The name in the administration API, in metrics and in the log. */
    public String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /**
   * The phases of one failover.
   *
   * @param phases the phases that have ended so far; grows while the failover is in progress
   */
  public record FailoverSummary(long term, Map<Phase, Duration> phases) {}

  private final EventLoop eventLoop;
  private final Map<Phase, Histogram> histograms = new EnumMap<>(Phase.class);
  private final Deque<FailoverSummary> recent = new ArrayDeque<>();

  /** Creates empty timings. */
  public FailoverTimings(EventLoop eventLoop) {
    this.eventLoop = eventLoop;
  }

  /**
   * Begins a failover when this controller was elected.
   *
   * @param previousLeaderSeenAt when the previous leader was last known to be alive; null if none
   *     was known
   */
  public OngoingFailover begin(long term, Instant previousLeaderSeenAt) {
    OngoingFailover failover = new OngoingFailover(term);
    if (previousLeaderSeenAt != null) {
      failover.recordPhase(
          Phase.ELECTED, Duration.between(previousLeaderSeenAt, failover.electedAt));
    }
    eventLoop.schedule(LOG_DELAY, failover::close);
    return failover;
  }

  /** The durations of a phase in milliseconds over all failovers; null before the first. */
  public Histogram histogram(Phase phase) {
    return histograms.get(phase);
  }

  /** The most recent failovers, the newest first. */
  public List<FailoverSummary> recentFailovers() {
    return new ArrayList<>(recent);
  }

  /** One failover in progress. */
  public final class OngoingFailover {
    private final long term;
    private final Instant electedAt = eventLoop.now();
    private final Map<Phase, Duration> phases = new EnumMap<>(Phase.class);
    private int expectedMachines = -1;
    private int machinesWithHeartbeat;
    private boolean closed;

    private OngoingFailover(long term) {
      this.term = term;
      recent.addFirst(new FailoverSummary(term, phases));
      if (recent.size() > HISTORY_SIZE) {
        recent.removeLast();
      }
    }

    /** Records that a phase has ended now; only the first call for each phase counts. */
    public void recordPhase(Phase phase) {
      if (!phases.containsKey(phase)) {
        recordPhase(phase, Duration.between(electedAt, eventLoop.now()));
      }
    }

    private void recordPhase(Phase phase, Duration duration) {
      phases.put(phase, duration);
      histograms
          .computeIfAbsent(phase, p -> new Histogram(MAX_PHASE_MILLIS, 2))
          .recordValue(Math.min(MAX_PHASE_MILLIS, Math.max(0, duration.toMillis())));
    }

    /** Sets the number of machines from which heartbeats are expected. */
    public void expectHeartbeats(int machines) {
      expectedMachines = machines;
      checkFleetHeard();
    }

    /** Whether {@link Phase#FLEET_HEARD} has not been reached yet. */
    public boolean expectsMoreHeartbeats() {
      return expectedMachines >= 0 && !phases.containsKey(Phase.FLEET_HEARD);
    }

    /** Counts one more of the expected machines that has sent a heartbeat. */
    public void onMachineHeartbeat() {
      machinesWithHeartbeat++;
      checkFleetHeard();
    }

    private void checkFleetHeard() {
      if (expectsMoreHeartbeats() && machinesWithHeartbeat * 10 >= expectedMachines * 9) {
        recordPhase(Phase.FLEET_HEARD);
      }
    }

    /** Logs the failover; further calls have no effect. */
    public void close() {
      if (closed) {
        return;
      }
      closed = true;
      List<String> durations = new ArrayList<>();
      phases.forEach(
          (phase, duration) -> durations.add(phase.label() + "Ms=" + duration.toMillis()));
      log.info("Failover timings: term={} {}", term, String.join(" ", durations));
    }
  }
}
