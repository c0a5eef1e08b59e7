package io.pineladder.store;

import io.pineladder.model.Generation;
import io.pineladder.model.Settings;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.AsyncHttpClient.Reply;
import io.pineladder.net.AsyncHttpClient.Request;
import io.pineladder.net.EventLoop;
import io.pineladder.retry.Backoff;
import io.pineladder.retry.RetryBudget;
import io.pineladder.retry.TokenBucket;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.StoreWire;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Requests to the state service, within its rate and with what is known of its health. */
public final class StoreClient {
  private static final Logger log = LoggerFactory.getLogger(StoreClient.class);
  private static final Duration TIMEOUT = Duration.ofMillis(1500);
  private static final Duration FIRST_RETRY = Duration.ofMillis(250);
  private static final Duration MOST_RETRY = Duration.ofMillis(500);

  /** Of the tries again those that a twentieth of the successes do not pay for are paced. */
  private static final double RETRY_SHARE = 0.05;

  private static final double RETRIES_PER_SECOND = 10;
  private static final double MOST_RETRIES = 20;

  /**
   * The limits are the whole cluster's. This part of them is for what all nodes together ask on
   * behalf of users while no leader answers; with more, the leader's commits, its renewals and a
   * new leader's first reads would be refused along with them.
   */
  private static final double USERS_PART = 0.3;

  private final AsyncHttpClient httpClient;
  private final EventLoop eventLoop;
  private final String address;
  private final Settings.StoreLimits limits;
  private final TokenBucket requests;
  private final TokenBucket writes;
  private final TokenBucket userReads;
  private final TokenBucket userWrites;
  private final Deque<Waiting> waiting = new ArrayDeque<>();
  private boolean pumpSet;
  private final RetryBudget retries;
  private long sent;
  private long refusedForRate;
  private Instant answeredAt;
  private boolean healthy;
  private Generation generation = Generation.FIRST;

  /** The highest revision that the service is known to have had in this generation. */
  private long seen;

  private LongConsumer onWentBack = revision -> {};

  private record Waiting(Request request, Consumer<Reply> onReply) {}

  public StoreClient(
      AsyncHttpClient httpClient,
      EventLoop eventLoop,
      String address,
      Settings.StoreLimits limits,
      int nodes) {
    this.httpClient = httpClient;
    this.eventLoop = eventLoop;
    this.address = address;
    this.limits = limits;
    Instant now = eventLoop.now();
    double rps = limits.requestsPerSecond() * (1 - USERS_PART);
    double wps = limits.writesPerSecond() * (1 - USERS_PART);
    requests = new TokenBucket(rps, Math.max(1, rps), now);
    // A whole transaction must fit into the burst, or it would never be sent.
    writes = new TokenBucket(wps, Math.max(limits.transactionOps(), wps), now);
    retries = new RetryBudget(eventLoop, RETRY_SHARE, RETRIES_PER_SECOND, MOST_RETRIES);
    double part = USERS_PART / nodes;
    userReads = userBudget(limits.requestsPerSecond() * part * 0.7, now);
    userWrites = userBudget(limits.writesPerSecond() * part, now);
  }

  private static TokenBucket userBudget(double perSecond, Instant now) {
    return new TokenBucket(perSecond, Math.max(2, 2 * perSecond), now);
  }

  /** Tells of revisions below what the service is known to have had: it has lost data. */
  public void onWentBack(LongConsumer listener) {
    onWentBack = listener;
  }

  /** The generation whose records are read and written. */
  public Generation generation() {
    return generation;
  }

  /**
   * From here on the records of this generation count; what is under way belongs to the one before.
   */
  public void use(Generation next) {
    if (next.base() != generation.base()) {
      seen = next.recordRevision();
    }
    generation = next;
  }

  /** The highest revision that the service is known to have had in this generation. */
  public long seen() {
    return seen;
  }

  /** The service had this revision in the generation with that base, as a peer knows. */
  public void learn(long base, long revision) {
    if (base == generation.base()) {
      seen = Math.max(seen, revision);
    }
  }

  /** What a request was sent with, by which its answer is understood. */
  private final class Sent {
    final Generation in = generation;
    final long before = seen;

    String space() {
      return in.prefix();
    }

    /**
     * The service tells its revision in an answer. It is strongly consistent, so no answer to a
     * request that was sent after a revision was seen can be below that one, unless data was lost.
     */
    boolean isGood(long revision) {
      if (in.base() != generation.base()) {
        return false;
      }
      if (revision < before) {
        onWentBack.accept(revision);
        return false;
      }
      seen = Math.max(seen, revision);
      return true;
    }
  }

  /** A transaction on records of this generation, which fails once another one counts. */
  public StoreWire.Transaction transaction() {
    return new StoreWire.Transaction(generation.prefix())
        .requireGeneration(generation.recordRevision());
  }

  public String keyPath(String key) {
    return StoreWire.keyPath(generation.prefix() + key);
  }

  public Settings.StoreLimits limits() {
    return limits;
  }

  public TokenBucket writes() {
    return writes;
  }

  /** Whether the last answer was one that executed, not a refusal, and came lately. */
  public boolean isHealthy() {
    return healthy;
  }

  /** When the service last answered with anything but a refusal; null for never. */
  public Instant answeredAt() {
    return answeredAt;
  }

  /** Requests sent so far. */
  public long sent() {
    return sent;
  }

  /** Requests that were refused because too many were sent. */
  public long refusedForRate() {
    return refusedForRate;
  }

  private Consumer<Reply> observed(Consumer<Reply> onReply) {
    sent++;
    return reply -> {
      refusedForRate += reply.is(429) ? 1 : 0;
      boolean executed = reply.isAnswered() && reply.status() < 429;
      if (executed) {
        answeredAt = eventLoop.now();
        healthy = true;
        retries.succeeded();
      } else if (!reply.is(429)) {
        healthy = false;
      }
      onReply.accept(reply);
    };
  }

  /** Pauses between tries of one request. */
  public Backoff backoff() {
    return new Backoff(eventLoop, FIRST_RETRY, MOST_RETRY);
  }

  /** Tries something again after a pause, or later when too much is tried again already. */
  public void retry(Backoff backoff, Runnable again) {
    Duration pause = backoff.pause();
    Duration turn = retries.take();
    eventLoop.schedule(turn.compareTo(pause) > 0 ? turn : pause, again);
  }

  /** Sends at once, whatever the budget says: for lease renewals, which everything depends on. */
  public void urgent(Request request, Consumer<Reply> onReply) {
    requests.take(1, eventLoop.now());
    httpClient.call(request, observed(onReply));
  }

  /**
   * Changes something for a user, at once or not at all: a user is told to come back rather than
   * kept waiting, and what users ask for never stands before this node's own requests. Reads have a
   * budget of their own: many poll, and a submission must not wait for them.
   *
   * @param changes puts and deletes in the request
   */
  public void changeForUser(Request request, int changes, Consumer<Reply> onReply) {
    sendForUser(userWrites, changes, request, onReply);
  }

  /** Reads one key afresh for a user, at once or not at all. */
  public void readForUser(String key, Consumer<Read> onRead) {
    Sent sent = new Sent();
    sendForUser(userReads, 1, get(keyPath(key)), reply -> onRead.accept(toRead(reply, sent)));
  }

  /** Reads all keys with a prefix for users, at once or not at all; null when that failed. */
  void listForUser(String prefix, Consumer<Listing> onDone) {
    listForUser(prefix, new Partial(), onDone);
  }

  private void listForUser(String prefix, Partial partial, Consumer<Listing> onDone) {
    sendForUser(
        userReads,
        1,
        get(partial.path(prefix)),
        reply -> {
          if (!partial.take(reply)) {
            onDone.accept(null);
          } else if (partial.complete) {
            onDone.accept(partial.listing());
          } else {
            listForUser(prefix, partial, onDone);
          }
        });
  }

  /** Asks for the changes under a prefix up to now, for users, at once or not at all. */
  void changesForUser(String prefix, long after, Consumer<Followed> onReply) {
    Sent sent = new Sent();
    sendForUser(
        userReads,
        1,
        get(StoreWire.watchPath(sent.space() + prefix, after, Duration.ZERO)),
        reply -> onReply.accept(toFollowed(reply, sent)));
  }

  private void sendForUser(TokenBucket budget, int cost, Request request, Consumer<Reply> onReply) {
    Instant now = eventLoop.now();
    if (budget.available(now) < cost) {
      onReply.accept(Reply.NOT_SENT);
      return;
    }
    budget.take(cost, now);
    httpClient.call(request, observed(onReply));
  }

  /** Sends when the budget allows. */
  void send(Request request, Consumer<Reply> onReply) {
    waiting.addLast(new Waiting(request, onReply));
    pump();
  }

  private void pump() {
    Instant now = eventLoop.now();
    while (!waiting.isEmpty() && requests.available(now) >= 1) {
      Waiting next = waiting.pollFirst();
      requests.take(1, now);
      httpClient.call(next.request, observed(next.onReply));
    }
    if (!waiting.isEmpty() && !pumpSet) {
      pumpSet = true;
      eventLoop.schedule(
          requests.until(1, now).plusMillis(1),
          () -> {
            pumpSet = false;
            pump();
          });
    }
  }

  public Request get(String path) {
    return Request.get(address, path, TIMEOUT);
  }

  public Request post(String path, byte[] body) {
    return Request.post(address, path, body, TIMEOUT);
  }

  public Request delete(String path) {
    return new Request(address, "DELETE", path, null, TIMEOUT);
  }

  /** What one read of a key gave. */
  public record Read(boolean certain, StoreWire.Entry entry, long revision) {
    static final Read FAILED = new Read(false, null, 0);

    public boolean found() {
      return entry != null;
    }
  }

  /** Reads one key afresh; without certainty nothing may be concluded. */
  public void read(String key, Consumer<Read> onRead) {
    Sent sent = new Sent();
    send(get(keyPath(key)), reply -> onRead.accept(toRead(reply, sent)));
  }

  /** Reads one key at once, whatever the budget says; told with the reply itself. */
  public void urgentRead(String key, BiConsumer<Read, Reply> onRead) {
    Sent sent = new Sent();
    urgent(get(keyPath(key)), reply -> onRead.accept(toRead(reply, sent), reply));
  }

  /**
   * Reads which generation counts, at once: everything waits for that. That the service went back
   * makes this answer no less certain, since whoever rebuilds has to know what stands there now.
   */
  public void readGeneration(Consumer<Read> onRead) {
    Sent sent = new Sent();
    urgent(
        get(StoreWire.keyPath(RecordKeys.GENERATION)),
        reply -> {
          Read read = toRead(reply, sent);
          try {
            if (!read.certain() && reply.is(404)) {
              read = new Read(true, null, StoreWire.parseRevision(reply.body()));
            }
          } catch (MalformedMessageException e) {
            log.warn("the store's answer on the generation is malformed");
          }
          onRead.accept(read);
        });
  }

  private static Read toRead(Reply reply, Sent sent) {
    try {
      if (reply.is(200)) {
        StoreWire.Entry entry = StoreWire.parseEntry(reply.body(), sent.space());
        return new Read(true, entry, entry.version());
      }
      if (reply.is(404)) {
        long revision = StoreWire.parseRevision(reply.body());
        return sent.isGood(revision) ? new Read(true, null, revision) : Read.FAILED;
      }
    } catch (MalformedMessageException e) {
      return Read.FAILED;
    }
    return Read.FAILED;
  }

  /** Everything under {@code prefix}, and the revision from which changes are to be followed. */
  public record Listing(List<StoreWire.Entry> entries, long revision) {}

  /** Reads all keys with a prefix, trying again until it succeeds or {@code wanted} says no. */
  public void list(String prefix, BooleanSupplier wanted, Consumer<Listing> onDone) {
    listPage(prefix, new Partial(), wanted, backoff(), onDone);
  }

  private void listPage(
      String prefix,
      Partial partial,
      BooleanSupplier wanted,
      Backoff backoff,
      Consumer<Listing> onDone) {
    if (!wanted.getAsBoolean()) {
      return;
    }
    Runnable next = () -> listPage(prefix, partial, wanted, backoff, onDone);
    send(
        get(partial.path(prefix)),
        reply -> {
          if (!wanted.getAsBoolean()) {
            return;
          }
          if (!partial.take(reply)) {
            retry(backoff, next);
            return;
          }
          backoff.reset();
          if (partial.complete) {
            onDone.accept(partial.listing());
          } else {
            next.run();
          }
        });
  }

  /** What has been read of a prefix so far. */
  private final class Partial {
    private Sent sent;
    final List<StoreWire.Entry> entries = new ArrayList<>();
    long revision = -1;

    /** The last key read, after which the next page begins; null before the first. */
    String after;

    boolean complete;

    /** The request for the next page. */
    String path(String prefix) {
      sent = new Sent();
      return StoreWire.listPath(sent.space() + prefix, after == null ? null : sent.space() + after);
    }

    /** Takes in an answer; false when it is no page. */
    boolean take(Reply reply) {
      if (!reply.is(200)) {
        return false;
      }
      try {
        StoreWire.Page page = StoreWire.parsePage(reply.body(), sent.space());
        if (!sent.isGood(page.revision())) {
          return false;
        }
        entries.addAll(page.entries());
        // Changes made while later pages are read are seen again by following from the first.
        revision = revision < 0 ? page.revision() : revision;
        after = page.next();
        complete = after == null;
        return true;
      } catch (MalformedMessageException e) {
        return false;
      }
    }

    Listing listing() {
      return new Listing(entries, revision);
    }
  }

  /**
   * How changes were followed: the reply, and what changed, or null when it tells of no changes.
   */
  public record Followed(Reply reply, StoreWire.Changes changes) {}

  private static Followed toFollowed(Reply reply, Sent sent) {
    try {
      if (reply.is(200)) {
        StoreWire.Changes changes = StoreWire.parseChanges(reply.body(), sent.space());
        return new Followed(reply, sent.isGood(changes.revision()) ? changes : null);
      }
    } catch (MalformedMessageException e) {
      log.warn("what the store tells of changes is malformed: {}", e.getMessage());
    }
    return new Followed(reply, null);
  }

  /** Waits for changes under a prefix. */
  public void watch(String prefix, long after, Duration wait, Consumer<Followed> onReply) {
    Sent sent = new Sent();
    follow(sent.space() + prefix, after, wait, reply -> onReply.accept(toFollowed(reply, sent)));
  }

  /** Waits for another generation to count; the reply says no more than that it is time to look. */
  public void watchGeneration(long after, Duration wait, Consumer<Reply> onReply) {
    follow(RecordKeys.GENERATION_PREFIX, after, wait, onReply);
  }

  private void follow(String path, long after, Duration wait, Consumer<Reply> onReply) {
    requests.take(1, eventLoop.now());
    httpClient.call(
        Request.get(address, StoreWire.watchPath(path, after, wait), wait.plusSeconds(5)), onReply);
  }

  /** Everything that changed up to now, for a node that keeps a copy; when the budget allows. */
  public void changes(long after, Consumer<Followed> onReply) {
    Sent sent = new Sent();
    send(
        get(StoreWire.watchPath(sent.space(), after, Duration.ZERO)),
        reply -> onReply.accept(toFollowed(reply, sent)));
  }

  /** One page of everything under a prefix, when the budget allows; null when that failed. */
  public void page(String prefix, String after, Consumer<StoreWire.Page> onPage) {
    page(prefix, after, false, onPage);
  }

  /** One page of whatever the service still holds of this generation after it lost data. */
  public void rest(String after, Consumer<StoreWire.Page> onPage) {
    page("", after, true, onPage);
  }

  /** One page of all keys of all generations, under their whole names. */
  public void pageOfAll(String after, Consumer<StoreWire.Page> onPage) {
    page("", "", after, false, onPage);
  }

  private void page(
      String prefix, String after, boolean anyRevision, Consumer<StoreWire.Page> onPage) {
    page(generation.prefix(), prefix, after, anyRevision, onPage);
  }

  private void page(
      String space,
      String prefix,
      String after,
      boolean anyRevision,
      Consumer<StoreWire.Page> onPage) {
    Sent sent = new Sent();
    send(
        get(StoreWire.listPath(space + prefix, after == null ? null : space + after)),
        reply -> {
          try {
            if (reply.is(200)) {
              StoreWire.Page page = StoreWire.parsePage(reply.body(), space);
              onPage.accept(anyRevision || sent.isGood(page.revision()) ? page : null);
              return;
            }
          } catch (MalformedMessageException e) {
            log.warn("a page of the store is malformed: {}", e.getMessage());
          }
          onPage.accept(null);
        });
  }

  /**
   * Sends a transaction that changes nothing, when the budget allows.
   *
   * @param onDone told the keys whose conditions do not hold; null when that is not known
   */
  public void compare(StoreWire.Transaction compare, Consumer<List<String>> onDone) {
    Sent sent = new Sent();
    send(
        post("/multi", compare.bytes()),
        reply -> {
          try {
            if (reply.is(200)) {
              onDone.accept(List.of());
              return;
            }
            if (reply.is(409)) {
              onDone.accept(StoreWire.parseFailed(reply.body(), sent.space()));
              return;
            }
          } catch (MalformedMessageException e) {
            log.warn("the store's answer to a comparison is malformed");
          }
          onDone.accept(null);
        });
  }

  /**
   * A transaction has committed at this revision; false when that is not above all that was seen.
   */
  public boolean isAhead(long before, long revision) {
    if (revision <= before) {
      onWentBack.accept(revision);
      return false;
    }
    seen = Math.max(seen, revision);
    return true;
  }
}
