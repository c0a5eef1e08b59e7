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
  private static final long MOST_MILLIS = TimeUnit.HOURS.toMillis(1);
  private static final int KEPT = 10;

  /** A takeover that is not complete by then is logged as it is. */
  private static final Duration LOGGED_AFTER = Duration.ofSeconds(60);

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

    public String word() {
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
  public OngoingFailover begin(long term, Instant before) {
    OngoingFailover takeover = new OngoingFailover(term);
    if (before != null) {
      takeover.passed(Phase.ELECTED, Duration.between(before, takeover.electedAt));
    }
    eventLoop.schedule(LOGGED_AFTER, takeover::close);
    return takeover;
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
    private int awaited = -1;
    private int heard;
    private boolean closed;

    private OngoingFailover(long term) {
      this.term = term;
      latest.addFirst(new CompletedFailover(term, phases));
      if (latest.size() > KEPT) {
        latest.removeLast();
      }
    }

    /** A phase is over now; only the first time counts. */
    public void passed(Phase phase) {
      if (!phases.containsKey(phase)) {
        passed(phase, Duration.between(electedAt, eventLoop.now()));
      }
    }

    private void passed(Phase phase, Duration took) {
      phases.put(phase, took);
      histograms
          .computeIfAbsent(phase, p -> new Histogram(MOST_MILLIS, 2))
          .recordValue(Math.min(MOST_MILLIS, Math.max(0, took.toMillis())));
    }

    /** Reports of so many machines are waited for. */
    public void awaits(int machines) {
      awaited = machines;
      reviewHeard();
    }

    /** Whether reports still count for {@link Phase#FLEET_HEARD}. */
    public boolean awaitsMore() {
      return awaited >= 0 && !phases.containsKey(Phase.FLEET_HEARD);
    }

    /** One more of the awaited machines has been heard. */
    public void heard() {
      heard++;
      reviewHeard();
    }

    private void reviewHeard() {
      if (awaitsMore() && heard * 10 >= awaited * 9) {
        passed(Phase.FLEET_HEARD);
      }
    }

    /** The term is over, or the takeover is: it is logged once. */
    public void close() {
      if (closed) {
        return;
      }
      closed = true;
      List<String> passed = new ArrayList<>();
      phases.forEach((phase, took) -> passed.add(phase.word() + " " + took.toMillis() + " ms"));
      log.info("takeover of term {}: {}", term, String.join(", ", passed));
    }
  }
}
