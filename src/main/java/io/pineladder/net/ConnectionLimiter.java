package io.pineladder.net;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Limits the open sockets of the process. At the file descriptor limit of the operating system no
 * connection of any kind could be opened, including health probes and requests to the key-value
 * store. Each traffic class therefore has a number of reserved sockets and a maximum; the remaining
 * sockets are available first come, first served. Invariant: the open sockets plus the unused
 * reserved sockets never exceed the limit.
 *
 * <p>A class without capacity closes its longest idle socket if that socket is stale, which means
 * that the peer has probably disappeared without closing the connection. If none is stale, it
 * closes the socket that waits longest for its peer to send the rest of a request. If there is none
 * either, an accepted connection is closed after one response, and an outgoing call waits for a
 * socket of its class. A request that does not arrive in time, and a response that is not taken in
 * time, end their socket in any case. Event thread only.
 */
public final class ConnectionLimiter {
  private static final Logger log = LoggerFactory.getLogger(ConnectionLimiter.class);

  /**
   * File descriptors used by listeners, selectors and standard streams; deducted from the limit.
   */
  private static final int RUNTIME_FILE_DESCRIPTORS = 16;

  /** How long a request may take to arrive; its user waits no longer for the answer. */
  private static final Duration RECEIVE_TIMEOUT = Duration.ofSeconds(5);

  /** How long a request may be incomplete while its class has capacity for no other socket. */
  private static final Duration RECEIVE_TIMEOUT_AT_LIMIT = Duration.ofMillis(250);

  /** How long a peer may take to read a response. */
  private static final Duration SEND_TIMEOUT = Duration.ofSeconds(20);

  /** What a socket is used for. The administration API exposes these names. */
  public enum TrafficClass {
    /** Accepted connections that have not sent a request yet. */
    ARRIVING(0.06, 0.2, Duration.ofSeconds(5)),
    /** Requests of users. */
    USERS(0.12, 0.4, Duration.ofSeconds(20)),
    /** Heartbeats of workers. */
    REPORTS(0.2, 0.75, null),
    /** Connections to and from other controllers, and requests of administrators. */
    PEERS(0.06, 0.15, Duration.ofSeconds(30)),
    /** Connections to the key-value store and the cloud API. */
    SERVICES(0.04, 0.12, Duration.ofSeconds(20)),
    /** Commands to workers. */
    ORDERS(0.08, 0.15, Duration.ofSeconds(20)),
    /** Notifications to subscribers: the lowest priority, so no socket is reserved. */
    NOTICES(0, 0.03, Duration.ofSeconds(20));

    private final double reservedRatio;
    private final double maxRatio;

    /** Idle time after which a socket is stale; null means just over two heartbeat intervals. */
    private final Duration staleAfter;

    TrafficClass(double reservedRatio, double maxRatio, Duration staleAfter) {
      this.reservedRatio = reservedRatio;
      this.maxRatio = maxRatio;
      this.staleAfter = staleAfter;
    }
  }

  /**
   * Socket counts of one traffic class.
   *
   * @param open open sockets
   * @param idle open sockets without a request in progress
   * @param peak highest number of sockets open at once
   * @param maxOpen maximum number of open sockets
   * @param refused number of attempts to open or reclassify a socket that lacked capacity
   */
  public record Usage(int open, int idle, int peak, int maxOpen, long refused) {}

  /** The limits and counts of one traffic class. */
  private static final class SocketQuota {
    final int reserved;
    final int maxOpen;
    final Duration staleAfter;
    final Map<Socket, Instant> idleSince = new LinkedHashMap<>();

    /** Sockets that wait for their peer: for the rest of a request, or to take a response. */
    final Set<Socket> waitingForPeer = new LinkedHashSet<>();

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
   * Creates the connection limiter of a process.
   *
   * @param maxSockets how many sockets the process may have open, at least 64
   * @param heartbeatInterval heartbeat interval of the workers; an idle worker connection is stale
   *     after two intervals plus 2 s
   */
  public ConnectionLimiter(int maxSockets, Duration heartbeatInterval, EventLoop eventLoop) {
    this.eventLoop = eventLoop;
    this.maxSockets = maxSockets - RUNTIME_FILE_DESCRIPTORS;
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

  /** A socket, counted from before it is opened until it is closed. */
  public final class Socket {
    private final Runnable close;
    private TrafficClass trafficClass;
    private boolean open = true;

    /** When the request in progress began to arrive; null unless it is incomplete. */
    private Instant receivingSince;

    /** When the response was passed to the socket; null unless it is not sent completely. */
    private Instant sendingSince;

    private Socket(TrafficClass trafficClass, Runnable close) {
      this.trafficClass = trafficClass;
      this.close = close;
    }

    /** Returns the class that the socket currently counts for. */
    public TrafficClass trafficClass() {
      return trafficClass;
    }

    /**
     * Moves the socket to another class, once its use is known.
     *
     * @return false if that class has no capacity; the socket then keeps its class
     */
    public boolean reclassify(TrafficClass next) {
      if (next == trafficClass || !open) {
        return true;
      }
      if (!ensureCapacity(next)) {
        return false;
      }
      SocketQuota quota = quotas.get(trafficClass);
      quota.idleSince.remove(this);
      boolean waitsForPeer = quota.waitingForPeer.remove(this);
      adjustOpenCount(trafficClass, -1);
      trafficClass = next;
      adjustOpenCount(next, 1);
      if (waitsForPeer) {
        quotas.get(next).waitingForPeer.add(this);
      }
      return true;
    }

    /** Records that the socket waits for a request, or for the rest of one. */
    public void markReceiving() {
      if (open) {
        quotas.get(trafficClass).idleSince.remove(this);
        receivingSince = receivingSince == null ? eventLoop.now() : receivingSince;
        quotas.get(trafficClass).waitingForPeer.add(this);
      }
    }

    /** Records that data of the peer has arrived and is not read yet. */
    void markReadable() {
      quotas.get(trafficClass).waitingForPeer.remove(this);
    }

    /** Records that all data that arrived is read; the socket may wait for the peer again. */
    void markRead() {
      if (open && receivingSince != null) {
        quotas.get(trafficClass).waitingForPeer.add(this);
      }
    }

    /** Records that a request has arrived and is in progress on the socket. */
    public void markBusy() {
      receivingSince = null;
      quotas.get(trafficClass).idleSince.remove(this);
      quotas.get(trafficClass).waitingForPeer.remove(this);
    }

    /** Records that a response is being sent. */
    void markSending() {
      if (open) {
        sendingSince = eventLoop.now();
        quotas.get(trafficClass).waitingForPeer.add(this);
      }
    }

    /** Records that no request is in progress on the socket. */
    public void markIdle() {
      receivingSince = null;
      sendingSince = null;
      if (open) {
        SocketQuota quota = quotas.get(trafficClass);
        quota.waitingForPeer.remove(this);
        quota.idleSince.remove(this);
        quota.idleSince.put(this, eventLoop.now());
      }
    }

    private boolean isOverdue(Instant now, Duration receiveTimeout) {
      return (receivingSince != null && !receivingSince.plus(receiveTimeout).isAfter(now))
          || (sendingSince != null && !sendingSince.plus(SEND_TIMEOUT).isAfter(now));
    }

    /** Records that the socket is closed; further calls have no effect. */
    public void markClosed() {
      if (open) {
        open = false;
        quotas.get(trafficClass).idleSince.remove(this);
        quotas.get(trafficClass).waitingForPeer.remove(this);
        adjustOpenCount(trafficClass, -1);
      }
    }
  }

  /**
   * Counts a socket that is about to be opened.
   *
   * @param close closes the socket; may call {@link Socket#markClosed}
   * @return the socket, or null if the class has no capacity
   */
  public Socket tryOpen(TrafficClass trafficClass, Runnable close) {
    if (!ensureCapacity(trafficClass)) {
      return null;
    }
    adjustOpenCount(trafficClass, 1);
    return new Socket(trafficClass, close);
  }

  /** Returns whether the class may open another socket; closes a stale one if necessary. */
  private boolean ensureCapacity(TrafficClass trafficClass) {
    SocketQuota quota = quotas.get(trafficClass);
    if (hasCapacity(quota)
        || (closeLongestIdleIfStale(trafficClass) && hasCapacity(quota))
        || (closeFirstIncomplete(quota) && hasCapacity(quota))) {
      return true;
    }
    quota.refused++;
    if (!quota.atLimit) {
      quota.atLimit = true;
      log.warn("Socket limit reached: trafficClass={} open={}", trafficClass, describeOpenCounts());
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

  /** Closes the longest idle socket of the class if it is stale; returns whether it did. */
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
    close(longest.getKey());
    return true;
  }

  /** Closes the socket that waits longest for its peer, if overdue; returns whether it did. */
  private boolean closeFirstIncomplete(SocketQuota quota) {
    Iterator<Socket> waiting = quota.waitingForPeer.iterator();
    if (!waiting.hasNext()) {
      return false;
    }
    Socket first = waiting.next();
    if (!first.isOverdue(eventLoop.now(), RECEIVE_TIMEOUT_AT_LIMIT)) {
      return false;
    }
    close(first);
    return true;
  }

  private static void close(Socket socket) {
    socket.close.run();
    socket.markClosed();
  }

  /**
   * Closes all sockets that are stale or whose peer is overdue. Called periodically, so that they
   * do not accumulate.
   */
  public void closeStaleSockets() {
    Instant now = eventLoop.now();
    for (TrafficClass trafficClass : TrafficClass.values()) {
      while (closeLongestIdleIfStale(trafficClass)) {
        // The next socket may be stale as well.
      }
      List.copyOf(quotas.get(trafficClass).waitingForPeer).stream()
          .filter(socket -> socket.isOverdue(now, RECEIVE_TIMEOUT))
          .forEach(ConnectionLimiter::close);
    }
  }

  private void adjustOpenCount(TrafficClass trafficClass, int delta) {
    SocketQuota quota = quotas.get(trafficClass);
    quota.open += delta;
    quota.peakOpen = Math.max(quota.peakOpen, quota.open);
    // Hysteresis: one socket that is closed and opened again must not log both lines each time.
    if (quota.atLimit && quota.open * 10 < quota.maxOpen * 9 && hasCapacity(quota)) {
      quota.atLimit = false;
      log.info(
          "Socket limit no longer reached: trafficClass={} open={}",
          trafficClass,
          describeOpenCounts());
    }
  }

  /** Returns the current usage of each class. */
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

  private String describeOpenCounts() {
    List<String> openCounts = new ArrayList<>();
    quotas.forEach((trafficClass, quota) -> openCounts.add(trafficClass + " " + quota.open));
    return String.join(", ", openCounts) + " of " + maxSockets;
  }
}
