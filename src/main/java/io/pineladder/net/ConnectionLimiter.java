package io.pineladder.net;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Owner of the process's sockets. A process at its limit refuses whoever comes next, be it a probe,
 * a user or the state service, so each part of the traffic has a share that is kept for it and a
 * most that it may take; what nobody has a share of goes to whoever comes first. So the sockets in
 * use and those kept never exceed the limit, and no part can take another's.
 *
 * <p>A part at its bound closes the longest idle of its own sockets if that one is stale, which
 * means that its peer has most likely gone without a word. If none is, an accepted connection gets
 * its answer and is closed, and a call waits for one of its part's to end.
 */
public final class ConnectionLimiter {
  private static final Logger log = LoggerFactory.getLogger(ConnectionLimiter.class);

  /** Sockets of the runtime's own: listeners, selectors, standard streams. */
  private static final int RUNTIME_SOCKETS = 16;

  /** What a socket is for. */
  public enum TrafficClass {
    /** Accepted, and it does not show yet who it is. */
    ARRIVING(0.06, 0.2, Duration.ofSeconds(5)),
    USERS(0.12, 0.4, Duration.ofSeconds(20)),
    /** Workers' reports. */
    REPORTS(0.2, 0.75, null),
    /** To and from other controllers, and administrators. */
    PEERS(0.06, 0.15, Duration.ofSeconds(30)),
    /** To the state service and the cloud. */
    SERVICES(0.04, 0.12, Duration.ofSeconds(20)),
    /** Commands straight to workers. */
    ORDERS(0.08, 0.15, Duration.ofSeconds(20)),
    /** To subscribers, who come after everybody else: nothing is kept for them. */
    NOTICES(0, 0.03, Duration.ofSeconds(20));

    private final double reservedRatio;
    private final double maxRatio;

    /** An idle socket is stale after that; null: after two reports. */
    private final Duration staleAfter;

    TrafficClass(double reservedRatio, double maxRatio, Duration staleAfter) {
      this.reservedRatio = reservedRatio;
      this.maxRatio = maxRatio;
      this.staleAfter = staleAfter;
    }
  }

  /** How a part stands. */
  public record Usage(int open, int idle, int peak, int maxOpen, long refused) {}

  private static final class SocketQuota {
    final int reserved;
    final int maxOpen;
    final Duration staleAfter;
    final Map<Socket, Instant> idleSince = new LinkedHashMap<>();
    int open;
    int peakOpen;
    long refused;
    boolean atLimit;

    SocketQuota(int reserved, int maxOpen, Duration staleAfter) {
      this.reserved = reserved;
      this.maxOpen = maxOpen;
      this.staleAfter = staleAfter;
    }
  }

  private final EventLoop eventLoop;
  private final int maxSockets;
  private final Map<TrafficClass, SocketQuota> quotas = new EnumMap<>(TrafficClass.class);

  /**
   * The sockets of one process.
   *
   * @param limit how many it may have, at least 64
   * @param report how often a worker reports; one silent for two reports has gone
   */
  public ConnectionLimiter(int maxSockets, Duration heartbeatInterval, EventLoop eventLoop) {
    this.eventLoop = eventLoop;
    this.maxSockets = maxSockets - RUNTIME_SOCKETS;
    Duration heartbeatTimeout = heartbeatInterval.multipliedBy(2).plusSeconds(2);
    for (TrafficClass trafficClass : TrafficClass.values()) {
      int reserved =
          trafficClass.reservedRatio == 0
              ? 0
              : Math.max(4, (int) (this.maxSockets * trafficClass.reservedRatio));
      int maxOpen =
          Math.max(Math.max(1, reserved), (int) (this.maxSockets * trafficClass.maxRatio));
      quotas.put(
          trafficClass,
          new SocketQuota(
              reserved,
              maxOpen,
              trafficClass.staleAfter == null ? heartbeatTimeout : trafficClass.staleAfter));
    }
  }

  /** One socket, from before it is opened until after it is closed. */
  public final class Socket {
    private final Runnable close;
    private TrafficClass trafficClass;
    private boolean open = true;

    private Socket(TrafficClass trafficClass, Runnable close) {
      this.trafficClass = trafficClass;
      this.close = close;
    }

    public TrafficClass trafficClass() {
      return trafficClass;
    }

    /** It shows what the socket is for; false when that part has no room, and it stays as it is. */
    public boolean reclassify(TrafficClass next) {
      if (next == trafficClass || !open) {
        return true;
      }
      if (!ensureCapacity(next)) {
        return false;
      }
      quotas.get(trafficClass).idleSince.remove(this);
      adjustOpenCount(trafficClass, -1);
      trafficClass = next;
      adjustOpenCount(next, 1);
      return true;
    }

    /** Something is under way on it. */
    public void markBusy() {
      quotas.get(trafficClass).idleSince.remove(this);
    }

    /** Nothing is under way on it. */
    public void markIdle() {
      if (open) {
        SocketQuota quota = quotas.get(trafficClass);
        quota.idleSince.remove(this);
        quota.idleSince.put(this, eventLoop.now());
      }
    }

    /** It is closed; told once or more. */
    public void markClosed() {
      if (open) {
        open = false;
        quotas.get(trafficClass).idleSince.remove(this);
        adjustOpenCount(trafficClass, -1);
      }
    }
  }

  /**
   * A socket about to be opened, or null when its part has no room for it.
   *
   * @param close closes it; {@link Socket#markClosed} is to be told as a consequence, or here
   */
  public Socket tryOpen(TrafficClass trafficClass, Runnable close) {
    if (!ensureCapacity(trafficClass)) {
      return null;
    }
    adjustOpenCount(trafficClass, 1);
    return new Socket(trafficClass, close);
  }

  /** Whether the part may have one more, if need be in place of a stale one. */
  private boolean ensureCapacity(TrafficClass trafficClass) {
    SocketQuota quota = quotas.get(trafficClass);
    if (hasCapacity(quota) || (closeLongestIdleIfStale(trafficClass) && hasCapacity(quota))) {
      return true;
    }
    quota.refused++;
    if (!quota.atLimit) {
      quota.atLimit = true;
      log.warn("sockets of {} are at their bound: {}", trafficClass, describe());
    }
    return false;
  }

  private boolean hasCapacity(SocketQuota quota) {
    if (quota.open >= quota.maxOpen) {
      return false;
    }
    if (quota.open < quota.reserved) {
      return true;
    }
    int committed = 0;
    for (SocketQuota each : quotas.values()) {
      committed += Math.max(each.open, each.reserved);
    }
    return committed < maxSockets;
  }

  /** Closes the part's longest idle socket if it is stale; tells whether it was. */
  private boolean closeLongestIdleIfStale(TrafficClass trafficClass) {
    SocketQuota quota = quotas.get(trafficClass);
    Iterator<Map.Entry<Socket, Instant>> idle = quota.idleSince.entrySet().iterator();
    if (!idle.hasNext()) {
      return false;
    }
    Map.Entry<Socket, Instant> longest = idle.next();
    if (longest.getValue().plus(quota.staleAfter).isAfter(eventLoop.now())) {
      return false;
    }
    Socket socket = longest.getKey();
    socket.close.run();
    socket.markClosed();
    return true;
  }

  /** Closes what its peer has most likely left without a word, so that it adds up to nothing. */
  public void closeStaleSockets() {
    for (TrafficClass trafficClass : TrafficClass.values()) {
      while (closeLongestIdleIfStale(trafficClass)) {
        // The next longest idle one may be stale as well.
      }
    }
  }

  private void adjustOpenCount(TrafficClass trafficClass, int delta) {
    SocketQuota quota = quotas.get(trafficClass);
    quota.open += delta;
    quota.peakOpen = Math.max(quota.peakOpen, quota.open);
    // Not at once again at each that comes and goes.
    if (quota.atLimit && quota.open * 10 < quota.maxOpen * 9 && hasCapacity(quota)) {
      quota.atLimit = false;
      log.info("sockets of {} are below their bound again: {}", trafficClass, describe());
    }
  }

  /** How each part stands. */
  public Map<TrafficClass, Usage> usage() {
    Map<TrafficClass, Usage> usage = new EnumMap<>(TrafficClass.class);
    quotas.forEach(
        (trafficClass, quota) ->
            usage.put(
                trafficClass,
                new Usage(
                    quota.open,
                    quota.idleSince.size(),
                    quota.peakOpen,
                    quota.maxOpen,
                    quota.refused)));
    return usage;
  }

  private String describe() {
    List<String> openCounts = new ArrayList<>();
    quotas.forEach((trafficClass, quota) -> openCounts.add(trafficClass + " " + quota.open));
    return String.join(", ", openCounts) + " of " + maxSockets;
  }
}
