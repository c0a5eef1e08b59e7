package io.pineladder.net;

import io.pineladder.net.ConnectionLimiter.TrafficClass;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Limits the time that inbound requests of users and workers take of the event thread before timers
 * run and replies of the key-value store are read. Without a limit, XNIO serves every connection
 * that is accepted or has data first, so that under a flood of heartbeats no timer runs for longer
 * than the leader's lease, and no controller is elected or keeps leading.
 *
 * <p>Each {@link Lane} has one {@link #TIME_SLICE} between two timers. Connections that become
 * ready after that wait in the order of their arrival, and are served in the slices that follow. A
 * connection that has waited for so long that its peer has given up the request is closed, since
 * handling it would only delay the others. Event thread only.
 */
public final class InboundScheduler {
  private static final Logger log = LoggerFactory.getLogger(InboundScheduler.class);

  /** Several rounds, each with a slice for every lane, fit into the shortest lease. */
  static final Duration TIME_SLICE = Duration.ofMillis(40);

  /** A timer of no delay would run before the next pass of the event loop. */
  private static final Duration DRAIN_DELAY = Duration.ofMillis(1);

  /** Requests that share a time slice. */
  public enum Lane {
    /** New connections; a worker's waits 4 s for the answer to its first request. */
    ARRIVALS(Duration.ofSeconds(3)),
    /** Heartbeats of workers, which wait 4 s for an answer. */
    HEARTBEATS(Duration.ofSeconds(3)),
    /** Requests of users, which wait up to 5 s. */
    REQUESTS(Duration.ofSeconds(4));

    private final Duration maxWait;

    Lane(Duration maxWait) {
      this.maxWait = maxWait;
    }

    static Lane of(TrafficClass trafficClass) {
      return switch (trafficClass) {
        case ARRIVING -> ARRIVALS;
        case REPORTS -> HEARTBEATS;
        default -> REQUESTS;
      };
    }
  }

  /** A connection that is new or has data to read. */
  interface Connection {
    /** The traffic class of the connection's latest request. */
    TrafficClass trafficClass();

    /** Handles the first request, or the data. */
    void serve();

    /** Stops reading until {@link #serve} or {@link #discard} is called. */
    void pause();

    /** Closes the connection. */
    void discard();
  }

  /**
   * Counts of one lane.
   *
   * @param waiting connections that wait now
   * @param delayed connections that had to wait since the start
   * @param discarded connections that were closed because they had waited for too long
   */
  public record Usage(int waiting, long delayed, long discarded) {}

  private record Waiting(Connection connection, long since) {}

  /**
   * New connections that wait before no more are accepted. The others wait in the operating system,
   * which costs no processor time.
   */
  private static final int MAX_WAITING_ARRIVALS = 32;

  /** When so few new connections wait, more are accepted again. */
  private static final int RESUME_WAITING_ARRIVALS = 8;

  private static final class LaneState {
    final Deque<Waiting> waiting = new ArrayDeque<>();
    long usedNanos;
    long delayed;
    long discarded;
    long discardedWhenLogged;
  }

  private final LongSupplier nanoTime;
  private final EventLoop eventLoop;
  private final Map<Lane, LaneState> lanes = new EnumMap<>(Lane.class);
  private final List<Runnable> resumeAccepts = new ArrayList<>();
  private boolean drainScheduled;

  /**
   * Creates a scheduler.
   *
   * @param nanoTime reads a monotonic clock, in nanoseconds
   */
  InboundScheduler(EventLoop eventLoop, LongSupplier nanoTime) {
    this.eventLoop = eventLoop;
    this.nanoTime = nanoTime;
    for (Lane lane : Lane.values()) {
      lanes.put(lane, new LaneState());
    }
  }

  /** Serves a connection that is ready, or lets it wait until its lane has time again. */
  void onReady(Connection connection) {
    LaneState lane = lanes.get(Lane.of(connection.trafficClass()));
    if (lane.waiting.isEmpty() && hasTime(lane)) {
      run(lane, connection::serve);
      return;
    }
    connection.pause();
    lane.delayed++;
    lane.waiting.add(new Waiting(connection, nanoTime.getAsLong()));
    scheduleDrain();
  }

  /** Whether so many new connections wait that no more should be accepted. */
  boolean isSaturated() {
    return lanes.get(Lane.ARRIVALS).waiting.size() >= MAX_WAITING_ARRIVALS;
  }

  /** Runs an action once, when more connections should be accepted again. */
  void onceUnsaturated(Runnable action) {
    resumeAccepts.add(action);
  }

  /** Begins new time slices; called when a timer runs, which no connection can delay. */
  void onTimer() {
    lanes.values().forEach(lane -> lane.usedNanos = 0);
  }

  /** Returns the counts of a lane. */
  public Usage usage(Lane lane) {
    LaneState state = lanes.get(lane);
    return new Usage(state.waiting.size(), state.delayed, state.discarded);
  }

  private static boolean hasTime(LaneState lane) {
    return lane.usedNanos < TIME_SLICE.toNanos();
  }

  private void run(LaneState lane, Runnable action) {
    long startedAt = nanoTime.getAsLong();
    action.run();
    lane.usedNanos += nanoTime.getAsLong() - startedAt;
  }

  private void scheduleDrain() {
    if (!drainScheduled) {
      drainScheduled = true;
      eventLoop.schedule(DRAIN_DELAY, this::drain);
    }
  }

  private void drain() {
    drainScheduled = false;
    boolean empty = true;
    for (Map.Entry<Lane, LaneState> entry : lanes.entrySet()) {
      drain(entry.getKey(), entry.getValue());
      empty &= entry.getValue().waiting.isEmpty();
    }
    if (!empty) {
      scheduleDrain();
    }
    if (lanes.get(Lane.ARRIVALS).waiting.size() <= RESUME_WAITING_ARRIVALS) {
      List<Runnable> actions = List.copyOf(resumeAccepts);
      resumeAccepts.clear();
      actions.forEach(Runnable::run);
    }
  }

  private void drain(Lane lane, LaneState state) {
    while (!state.waiting.isEmpty() && hasTime(state)) {
      Waiting next = state.waiting.poll();
      if (nanoTime.getAsLong() - next.since > lane.maxWait.toNanos()) {
        state.discarded++;
        run(state, next.connection::discard);
      } else {
        run(state, next.connection::serve);
      }
    }
    if (state.waiting.isEmpty() && state.discarded > state.discardedWhenLogged) {
      log.warn(
          "Overload over, requests discarded: lane={} discarded={}",
          lane.name().toLowerCase(Locale.ROOT),
          state.discarded - state.discardedWhenLogged);
      state.discardedWhenLogged = state.discarded;
    }
  }
}
