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

/** The duration of each phase of this controller's failovers. Event thread only. */
public final class FailoverTimings {
  private static final Logger log = LoggerFactory.getLogger(FailoverTimings.class);
  private static final long MAX_PHASE_MILLIS = TimeUnit.HOURS.toMillis(1);
  private static final int HISTORY_SIZE = 10;

  /** When a failover is logged, complete or not. */
  private static final Duration LOG_DELAY = Duration.ofSeconds(60);

  /**
   * The phases of a failover; all but the first are measured from the election. The admin API shows
   * the names.
   */
  public enum Phase {
    /** From the last sign of life of the previous leader to the election. */
    ELECTED,
    /** What earlier leaders stored has been read. */
    STORE_READ,
    /** The first heartbeat was answered with orders. */
    FIRST_REPORT,
    /** The first user request was answered as the leader. */
    FIRST_ANSWER,
    /** The first placement was stored. */
    FIRST_PLACEMENT,
    /** Nine tenths of the machines with stored placements have sent a heartbeat. */
    FLEET_HEARD;

    /** The name in the admin API, in the meters and in the log. */
    public String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** The phases of one failover so far, by its term. */
  public record FailoverSummary(long term, Map<Phase, Duration> phases) {}

  private final EventLoop eventLoop;
  private final Map<Phase, Histogram> histograms = new EnumMap<>(Phase.class);
  private final Deque<FailoverSummary> recentFailovers = new ArrayDeque<>();

  /** Timings without a failover yet. */
  public FailoverTimings(EventLoop eventLoop) {
    this.eventLoop = eventLoop;
  }

  /**
   * This controller was elected.
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

  /** The durations of a phase in all failovers, in milliseconds; null before the first. */
  public Histogram histogram(Phase phase) {
    return histograms.get(phase);
  }

  /** The latest failovers, the newest first. */
  public List<FailoverSummary> recentFailovers() {
    return new ArrayList<>(recentFailovers);
  }

  /** One failover in progress. */
  public final class OngoingFailover {
    private final long term;
    private final Instant electedAt = eventLoop.now();
    private final Map<Phase, Duration> phases = new EnumMap<>(Phase.class);
    private int expectedMachines = -1;
    private int reportedMachines;
    private boolean closed;

    private OngoingFailover(long term) {
      this.term = term;
      recentFailovers.addFirst(new FailoverSummary(term, phases));
      if (recentFailovers.size() > HISTORY_SIZE) {
        recentFailovers.removeLast();
      }
    }

    /** A phase has ended now; only the first call for each phase counts. */
    public void recordPhase(Phase phase) {
      if (!phases.containsKey(phase)) {
        recordPhase(phase, Duration.between(electedAt, eventLoop.now()));
      }
    }

    private void recordPhase(Phase phase, Duration took) {
      phases.put(phase, took);
      histograms
          .computeIfAbsent(phase, p -> new Histogram(MAX_PHASE_MILLIS, 2))
          .recordValue(Math.min(MAX_PHASE_MILLIS, Math.max(0, took.toMillis())));
    }

    /** Heartbeats of this many machines are expected. */
    public void expectReports(int machines) {
      expectedMachines = machines;
      checkFleetHeard();
    }

    /** Whether heartbeats still count for {@link Phase#FLEET_HEARD}. */
    public boolean expectsMoreReports() {
      return expectedMachines >= 0 && !phases.containsKey(Phase.FLEET_HEARD);
    }

    /** One more of the expected machines has sent a heartbeat. */
    public void onMachineReported() {
      reportedMachines++;
      checkFleetHeard();
    }

    private void checkFleetHeard() {
      if (expectsMoreReports() && reportedMachines * 10 >= expectedMachines * 9) {
        recordPhase(Phase.FLEET_HEARD);
      }
    }

    /** The term or the failover has ended; logs it once. */
    public void close() {
      if (closed) {
        return;
      }
      closed = true;
      List<String> durations = new ArrayList<>();
      phases.forEach((phase, took) -> durations.add(phase.label() + "Ms=" + took.toMillis()));
      log.info("Failover timings: term={} {}", term, String.join(" ", durations));
    }
  }
}
