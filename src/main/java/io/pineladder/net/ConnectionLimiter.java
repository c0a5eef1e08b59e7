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
  private static final int RESERVED = 16;

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

    private final double kept;
    private final double most;

    /** An idle socket is stale after that; null: after two reports. */
    private final Duration stale;

    TrafficClass(double kept, double most, Duration stale) {
      this.kept = kept;
      this.most = most;
      this.stale = stale;
    }
  }

  /** How a part stands. */
  public record Usage(int open, int idle, int peak, int most, long refused) {}

  private static final class Share {
    final int kept;
    final int most;
    final Duration stale;
    final Map<Socket, Instant> idle = new LinkedHashMap<>();
    int open;
    int peak;
    long refused;
    boolean full;

    Share(int kept, int most, Duration stale) {
      this.kept = kept;
      this.most = most;
      this.stale = stale;
    }
  }

  private final EventLoop eventLoop;
  private final int limit;
  private final Map<TrafficClass, Share> shares = new EnumMap<>(TrafficClass.class);

  /**
   * The sockets of one process.
   *
   * @param limit how many it may have, at least 64
   * @param report how often a worker reports; one silent for two reports has gone
   */
  public ConnectionLimiter(int limit, Duration report, EventLoop eventLoop) {
    this.eventLoop = eventLoop;
    this.limit = limit - RESERVED;
    Duration silent = report.multipliedBy(2).plusSeconds(2);
    for (TrafficClass part : TrafficClass.values()) {
      int kept = part.kept == 0 ? 0 : Math.max(4, (int) (this.limit * part.kept));
      int most = Math.max(Math.max(1, kept), (int) (this.limit * part.most));
      shares.put(part, new Share(kept, most, part.stale == null ? silent : part.stale));
    }
  }

  /** One socket, from before it is opened until after it is closed. */
  public final class Socket {
    private final Runnable close;
    private TrafficClass part;
    private boolean open = true;

    private Socket(TrafficClass part, Runnable close) {
      this.part = part;
      this.close = close;
    }

    public TrafficClass part() {
      return part;
    }

    /** It shows what the socket is for; false when that part has no room, and it stays as it is. */
    public boolean moveTo(TrafficClass next) {
      if (next == part || !open) {
        return true;
      }
      if (!hasRoom(next)) {
        return false;
      }
      shares.get(part).idle.remove(this);
      count(part, -1);
      part = next;
      count(next, 1);
      return true;
    }

    /** Something is under way on it. */
    public void busy() {
      shares.get(part).idle.remove(this);
    }

    /** Nothing is under way on it. */
    public void idle() {
      if (open) {
        Share share = shares.get(part);
        share.idle.remove(this);
        share.idle.put(this, eventLoop.now());
      }
    }

    /** It is closed; told once or more. */
    public void closed() {
      if (open) {
        open = false;
        shares.get(part).idle.remove(this);
        count(part, -1);
      }
    }
  }

  /**
   * A socket about to be opened, or null when its part has no room for it.
   *
   * @param close closes it; {@link Socket#closed} is to be told as a consequence, or here
   */
  public Socket open(TrafficClass part, Runnable close) {
    if (!hasRoom(part)) {
      return null;
    }
    count(part, 1);
    return new Socket(part, close);
  }

  /** Whether the part may have one more, if need be in place of a stale one. */
  private boolean hasRoom(TrafficClass part) {
    Share share = shares.get(part);
    if (isFree(share) || (closeStale(part) && isFree(share))) {
      return true;
    }
    share.refused++;
    if (!share.full) {
      share.full = true;
      log.warn("sockets of {} are at their bound: {}", part, describe());
    }
    return false;
  }

  private boolean isFree(Share share) {
    if (share.open >= share.most) {
      return false;
    }
    if (share.open < share.kept) {
      return true;
    }
    int claimed = 0;
    for (Share each : shares.values()) {
      claimed += Math.max(each.open, each.kept);
    }
    return claimed < limit;
  }

  /** Closes the part's longest idle socket if it is stale; tells whether it was. */
  private boolean closeStale(TrafficClass part) {
    Share share = shares.get(part);
    Iterator<Map.Entry<Socket, Instant>> idle = share.idle.entrySet().iterator();
    if (!idle.hasNext()) {
      return false;
    }
    Map.Entry<Socket, Instant> longest = idle.next();
    if (longest.getValue().plus(share.stale).isAfter(eventLoop.now())) {
      return false;
    }
    Socket socket = longest.getKey();
    socket.close.run();
    socket.closed();
    return true;
  }

  /** Closes what its peer has most likely left without a word, so that it adds up to nothing. */
  public void sweep() {
    for (TrafficClass part : TrafficClass.values()) {
      while (closeStale(part)) {
        // The next longest idle one may be stale as well.
      }
    }
  }

  private void count(TrafficClass part, int more) {
    Share share = shares.get(part);
    share.open += more;
    share.peak = Math.max(share.peak, share.open);
    // Not at once again at each that comes and goes.
    if (share.full && share.open * 10 < share.most * 9 && isFree(share)) {
      share.full = false;
      log.info("sockets of {} are below their bound again: {}", part, describe());
    }
  }

  /** How each part stands. */
  public Map<TrafficClass, Usage> usage() {
    Map<TrafficClass, Usage> usage = new EnumMap<>(TrafficClass.class);
    shares.forEach(
        (part, share) ->
            usage.put(
                part,
                new Usage(share.open, share.idle.size(), share.peak, share.most, share.refused)));
    return usage;
  }

  private String describe() {
    List<String> parts = new ArrayList<>();
    shares.forEach((part, share) -> parts.add(part + " " + share.open));
    return String.join(", ", parts) + " of " + limit;
  }
}
