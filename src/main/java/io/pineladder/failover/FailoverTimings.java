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

/** How long this node's takeovers took, phase by phase. */
public final class FailoverTimings {
  private static final Logger log = LoggerFactory.getLogger(FailoverTimings.class);
  private static final long MAX_PHASE_MILLIS = TimeUnit.HOURS.toMillis(1);
  private static final int HISTORY_SIZE = 10;

  /** A takeover that is not complete by then is logged as it is. */
  private static final Duration LOG_DELAY = Duration.ofSeconds(60);

  /** What a takeover goes through. All but the first are counted from the election. */
  public enum Phase {
    /** From the last sign of the leader before to the election. */
    ELECTED,
    /** What earlier leaders stored has been read. */
    STORE_READ,
    /** The first report got an answer of a leader that decides. */
    FIRST_REPORT,
    /** The first request of a user was answered as the leader. */
    FIRST_ANSWER,
    /** The first placement was stored. */
    FIRST_PLACEMENT,
    /** Nine tenths of the machines with recorded placements were heard. */
    FLEET_HEARD;

    public String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** One takeover: its term and what it has gone through so far. */
  public record CompletedFailover(long term, Map<Phase, Duration> phases) {}

  private final EventLoop eventLoop;
  private final Map<Phase, Histogram> histograms = new EnumMap<>(Phase.class);
  private final Deque<CompletedFailover> latest = new ArrayDeque<>();

  public FailoverTimings(EventLoop eventLoop) {
    this.eventLoop = eventLoop;
  }

  /**
   * This node was elected.
   *
   * @param before when the leader before was last known to live; null if none was known
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

  /** How long a phase took in the takeovers so far, in milliseconds; null before the first. */
  public Histogram histogram(Phase phase) {
    return histograms.get(phase);
  }

  /** The latest takeovers, the newest first. */
  public List<CompletedFailover> latest() {
    return new ArrayList<>(latest);
  }

  /** One takeover under way. */
  public final class OngoingFailover {
    private final long term;
    private final Instant electedAt = eventLoop.now();
    private final Map<Phase, Duration> phases = new EnumMap<>(Phase.class);
    private int expectedMachines = -1;
    private int reportedMachines;
    private boolean closed;

    private OngoingFailover(long term) {
      this.term = term;
      latest.addFirst(new CompletedFailover(term, phases));
      if (latest.size() > HISTORY_SIZE) {
        latest.removeLast();
      }
    }

    /** A phase is over now; only the first time counts. */
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

    /** Reports of so many machines are waited for. */
    public void expectReports(int machines) {
      expectedMachines = machines;
      checkFleetHeard();
    }

    /** Whether reports still count for {@link Phase#FLEET_HEARD}. */
    public boolean expectsMoreReports() {
      return expectedMachines >= 0 && !phases.containsKey(Phase.FLEET_HEARD);
    }

    /** One more of the awaited machines has been heard. */
    public void onMachineReported() {
      reportedMachines++;
      checkFleetHeard();
    }

    private void checkFleetHeard() {
      if (expectsMoreReports() && reportedMachines * 10 >= expectedMachines * 9) {
        recordPhase(Phase.FLEET_HEARD);
      }
    }

    /** The term is over, or the takeover is: it is logged once. */
    public void close() {
      if (closed) {
        return;
      }
      closed = true;
      List<String> passed = new ArrayList<>();
      phases.forEach((phase, took) -> passed.add(phase.label() + " " + took.toMillis() + " ms"));
      log.info("takeover of term {}: {}", term, String.join(", ", passed));
    }
  }
}
