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
  private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(1500);
  private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(250);
  private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(500);

  /** Of the tries again those that a twentieth of the successes do not pay for are paced. */
  private static final double RETRY_TO_SUCCESS_RATIO = 0.05;

  private static final double RETRIES_PER_SECOND = 10;
  private static final double MAX_RETRY_BURST = 20;

  /**
   * The limits are the whole cluster's. This part of them is for what all nodes together ask on
   * behalf of users while no leader answers; with more, the leader's commits, its renewals and a
   * new leader's first reads would be refused along with them.
   */
  private static final double USER_TRAFFIC_SHARE = 0.3;

  private final AsyncHttpClient httpClient;
  private final EventLoop eventLoop;
  private final String address;
  private final Settings.StoreLimits limits;
  private final TokenBucket requestBudget;
  private final TokenBucket writeBudget;
  private final TokenBucket userReadBudget;
  private final TokenBucket userWriteBudget;
  private final Deque<QueuedRequest> queue = new ArrayDeque<>();
  private boolean drainScheduled;
  private final RetryBudget retryBudget;
  private long requestCount;
  private long rateLimitedCount;
  private Instant lastResponseAt;
  private boolean healthy;
  private Generation generation = Generation.FIRST;

  /** The highest revision that the service is known to have had in this generation. */
  private long highestRevision;

  private LongConsumer revisionRollbackListener = revision -> {};

  private record QueuedRequest(Request request, Consumer<Reply> onReply) {}

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
    double rps = limits.requestsPerSecond() * (1 - USER_TRAFFIC_SHARE);
    double wps = limits.writesPerSecond() * (1 - USER_TRAFFIC_SHARE);
    requestBudget = new TokenBucket(rps, Math.max(1, rps), now);
    // A whole transaction must fit into the burst, or it would never be sent.
    writeBudget = new TokenBucket(wps, Math.max(limits.transactionOps(), wps), now);
    retryBudget =
        new RetryBudget(eventLoop, RETRY_TO_SUCCESS_RATIO, RETRIES_PER_SECOND, MAX_RETRY_BURST);
    double part = USER_TRAFFIC_SHARE / nodes;
    userReadBudget = userBudget(limits.requestsPerSecond() * part * 0.7, now);
    userWriteBudget = userBudget(limits.writesPerSecond() * part, now);
  }

  private static TokenBucket userBudget(double perSecond, Instant now) {
    return new TokenBucket(perSecond, Math.max(2, 2 * perSecond), now);
  }

  /** Tells of revisions below what the service is known to have had: it has lost data. */
  public void onRevisionRollback(LongConsumer listener) {
    revisionRollbackListener = listener;
  }

  /** The generation whose records are read and written. */
  public Generation generation() {
    return generation;
  }

  /**
   * From here on the records of this generation count; what is under way belongs to the one before.
   */
  public void useGeneration(Generation next) {
    if (next.base() != generation.base()) {
      highestRevision = next.recordRevision();
    }
    generation = next;
  }

  /** The highest revision that the service is known to have had in this generation. */
  public long highestRevision() {
    return highestRevision;
  }

  /** The service had this revision in the generation with that base, as a peer knows. */
  public void observeRevision(long base, long revision) {
    if (base == generation.base()) {
      highestRevision = Math.max(highestRevision, revision);
    }
  }

  /** What a request was sent with, by which its answer is understood. */
  private final class RequestContext {
    final Generation requestGeneration = generation;
    final long highestRevisionWhenSent = highestRevision;

    String keyspace() {
      return requestGeneration.prefix();
    }

    /**
     * The service tells its revision in an answer. It is strongly consistent, so no answer to a
     * request that was sent after a revision was seen can be below that one, unless data was lost.
     */
    boolean acceptRevision(long revision) {
      if (requestGeneration.base() != generation.base()) {
        return false;
      }
      if (revision < highestRevisionWhenSent) {
        revisionRollbackListener.accept(revision);
        return false;
      }
      highestRevision = Math.max(highestRevision, revision);
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

  public TokenBucket writeBudget() {
    return writeBudget;
  }

  /** Whether the last answer was one that executed, not a refusal, and came lately. */
  public boolean isHealthy() {
    return healthy;
  }

  /** When the service last answered with anything but a refusal; null for never. */
  public Instant lastResponseAt() {
    return lastResponseAt;
  }

  /** Requests sent so far. */
  public long requestCount() {
    return requestCount;
  }

  /** Requests that were refused because too many were sent. */
  public long rateLimitedCount() {
    return rateLimitedCount;
  }

  private Consumer<Reply> observing(Consumer<Reply> onReply) {
    requestCount++;
    return reply -> {
      rateLimitedCount += reply.is(429) ? 1 : 0;
      boolean executed = reply.isAnswered() && reply.status() < 429;
      if (executed) {
        lastResponseAt = eventLoop.now();
        healthy = true;
        retryBudget.onSuccess();
      } else if (!reply.is(429)) {
        healthy = false;
      }
      onReply.accept(reply);
    };
  }

  /** Pauses between tries of one request. */
  public Backoff newBackoff() {
    return new Backoff(eventLoop, INITIAL_RETRY_DELAY, MAX_RETRY_DELAY);
  }

  /** Tries something again after a pause, or later when too much is tried again already. */
  public void scheduleRetry(Backoff backoff, Runnable action) {
    Duration backoffDelay = backoff.nextDelay();
    Duration budgetDelay = retryBudget.acquireDelay();
    eventLoop.schedule(
        budgetDelay.compareTo(backoffDelay) > 0 ? budgetDelay : backoffDelay, action);
  }

  /** Sends at once, whatever the budget says: for lease renewals, which everything depends on. */
  public void sendImmediately(Request request, Consumer<Reply> onReply) {
    requestBudget.consume(1, eventLoop.now());
    httpClient.call(request, observing(onReply));
  }

  /**
   * Changes something for a user, at once or not at all: a user is told to come back rather than
   * kept waiting, and what users ask for never stands before this node's own requests. Reads have a
   * budget of their own: many poll, and a submission must not wait for them.
   *
   * @param changes puts and deletes in the request
   */
  public void writeForUser(Request request, int changes, Consumer<Reply> onReply) {
    sendForUser(userWriteBudget, changes, request, onReply);
  }

  /** Reads one key afresh for a user, at once or not at all. */
  public void readForUser(String key, Consumer<Read> onRead) {
    RequestContext sent = new RequestContext();
    sendForUser(userReadBudget, 1, get(keyPath(key)), reply -> onRead.accept(toRead(reply, sent)));
  }

  /** Reads all keys with a prefix for users, at once or not at all; null when that failed. */
  void listForUser(String prefix, Consumer<Listing> onDone) {
    listForUser(prefix, new PrefixScan(), onDone);
  }

  private void listForUser(String prefix, PrefixScan scan, Consumer<Listing> onDone) {
    sendForUser(
        userReadBudget,
        1,
        get(scan.nextPath(prefix)),
        reply -> {
          if (!scan.addPage(reply)) {
            onDone.accept(null);
          } else if (scan.complete) {
            onDone.accept(scan.listing());
          } else {
            listForUser(prefix, scan, onDone);
          }
        });
  }

  /** Asks for the changes under a prefix up to now, for users, at once or not at all. */
  void readChangesForUser(String prefix, long after, Consumer<ChangesReply> onReply) {
    RequestContext sent = new RequestContext();
    sendForUser(
        userReadBudget,
        1,
        get(StoreWire.watchPath(sent.keyspace() + prefix, after, Duration.ZERO)),
        reply -> onReply.accept(toChangesReply(reply, sent)));
  }

  private void sendForUser(TokenBucket budget, int cost, Request request, Consumer<Reply> onReply) {
    Instant now = eventLoop.now();
    if (budget.available(now) < cost) {
      onReply.accept(Reply.NOT_SENT);
      return;
    }
    budget.consume(cost, now);
    httpClient.call(request, observing(onReply));
  }

  /** Sends when the budget allows. */
  void send(Request request, Consumer<Reply> onReply) {
    queue.addLast(new QueuedRequest(request, onReply));
    drainQueue();
  }

  private void drainQueue() {
    Instant now = eventLoop.now();
    while (!queue.isEmpty() && requestBudget.available(now) >= 1) {
      QueuedRequest next = queue.pollFirst();
      requestBudget.consume(1, now);
      httpClient.call(next.request, observing(next.onReply));
    }
    if (!queue.isEmpty() && !drainScheduled) {
      drainScheduled = true;
      eventLoop.schedule(
          requestBudget.delayUntilAvailable(1, now).plusMillis(1),
          () -> {
            drainScheduled = false;
            drainQueue();
          });
    }
  }

  public Request get(String path) {
    return Request.get(address, path, REQUEST_TIMEOUT);
  }

  public Request post(String path, byte[] body) {
    return Request.post(address, path, body, REQUEST_TIMEOUT);
  }

  public Request delete(String path) {
    return new Request(address, "DELETE", path, null, REQUEST_TIMEOUT);
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
    RequestContext sent = new RequestContext();
    send(get(keyPath(key)), reply -> onRead.accept(toRead(reply, sent)));
  }

  /** Reads one key at once, whatever the budget says; told with the reply itself. */
  public void readImmediately(String key, BiConsumer<Read, Reply> onRead) {
    RequestContext sent = new RequestContext();
    sendImmediately(get(keyPath(key)), reply -> onRead.accept(toRead(reply, sent), reply));
  }

  /**
   * Reads which generation counts, at once: everything waits for that. That the service went back
   * makes this answer no less certain, since whoever rebuilds has to know what stands there now.
   */
  public void readGeneration(Consumer<Read> onRead) {
    RequestContext sent = new RequestContext();
    sendImmediately(
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

  private static Read toRead(Reply reply, RequestContext sent) {
    try {
      if (reply.is(200)) {
        StoreWire.Entry entry = StoreWire.parseEntry(reply.body(), sent.keyspace());
        return new Read(true, entry, entry.revision());
      }
      if (reply.is(404)) {
        long revision = StoreWire.parseRevision(reply.body());
        return sent.acceptRevision(revision) ? new Read(true, null, revision) : Read.FAILED;
      }
    } catch (MalformedMessageException e) {
      return Read.FAILED;
    }
    return Read.FAILED;
  }

  /** Everything under {@code prefix}, and the revision from which changes are to be followed. */
  public record Listing(List<StoreWire.Entry> entries, long revision) {}

  /** Reads all keys with a prefix, trying again until it succeeds or {@code wanted} says no. */
  public void listAll(String prefix, BooleanSupplier stillWanted, Consumer<Listing> onDone) {
    listNextPage(prefix, new PrefixScan(), stillWanted, newBackoff(), onDone);
  }

  private void listNextPage(
      String prefix,
      PrefixScan scan,
      BooleanSupplier stillWanted,
      Backoff backoff,
      Consumer<Listing> onDone) {
    if (!stillWanted.getAsBoolean()) {
      return;
    }
    Runnable next = () -> listNextPage(prefix, scan, stillWanted, backoff, onDone);
    send(
        get(scan.nextPath(prefix)),
        reply -> {
          if (!stillWanted.getAsBoolean()) {
            return;
          }
          if (!scan.addPage(reply)) {
            scheduleRetry(backoff, next);
            return;
          }
          backoff.reset();
          if (scan.complete) {
            onDone.accept(scan.listing());
          } else {
            next.run();
          }
        });
  }

  /** What has been read of a prefix so far. */
  private final class PrefixScan {
    private RequestContext context;
    final List<StoreWire.Entry> entries = new ArrayList<>();
    long revision = -1;

    /** The last key read, after which the next page begins; null before the first. */
    String lastKey;

    boolean complete;

    /** The request for the next page. */
    String nextPath(String prefix) {
      context = new RequestContext();
      return StoreWire.listPath(
          context.keyspace() + prefix, lastKey == null ? null : context.keyspace() + lastKey);
    }

    /** Takes in an answer; false when it is no page. */
    boolean addPage(Reply reply) {
      if (!reply.is(200)) {
        return false;
      }
      try {
        StoreWire.Page page = StoreWire.parsePage(reply.body(), context.keyspace());
        if (!context.acceptRevision(page.revision())) {
          return false;
        }
        entries.addAll(page.entries());
        // Changes made while later pages are read are seen again by following from the first.
        revision = revision < 0 ? page.revision() : revision;
        lastKey = page.nextPageAfter();
        complete = lastKey == null;
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
  public record ChangesReply(Reply reply, StoreWire.Changes changes) {}

  private static ChangesReply toChangesReply(Reply reply, RequestContext sent) {
    try {
      if (reply.is(200)) {
        StoreWire.Changes changes = StoreWire.parseChanges(reply.body(), sent.keyspace());
        return new ChangesReply(reply, sent.acceptRevision(changes.revision()) ? changes : null);
      }
    } catch (MalformedMessageException e) {
      log.warn("what the store tells of changes is malformed: {}", e.getMessage());
    }
    return new ChangesReply(reply, null);
  }

  /** Waits for changes under a prefix. */
  public void watch(String prefix, long after, Duration wait, Consumer<ChangesReply> onReply) {
    RequestContext sent = new RequestContext();
    longPoll(
        sent.keyspace() + prefix,
        after,
        wait,
        reply -> onReply.accept(toChangesReply(reply, sent)));
  }

  /** Waits for another generation to count; the reply says no more than that it is time to look. */
  public void watchGeneration(long after, Duration wait, Consumer<Reply> onReply) {
    longPoll(RecordKeys.GENERATION_PREFIX, after, wait, onReply);
  }

  private void longPoll(String path, long after, Duration wait, Consumer<Reply> onReply) {
    requestBudget.consume(1, eventLoop.now());
    httpClient.call(
        Request.get(address, StoreWire.watchPath(path, after, wait), wait.plusSeconds(5)), onReply);
  }

  /** Everything that changed up to now, for a node that keeps a copy; when the budget allows. */
  public void readChanges(long after, Consumer<ChangesReply> onReply) {
    RequestContext sent = new RequestContext();
    send(
        get(StoreWire.watchPath(sent.keyspace(), after, Duration.ZERO)),
        reply -> onReply.accept(toChangesReply(reply, sent)));
  }

  /** One page of everything under a prefix, when the budget allows; null when that failed. */
  public void readPage(String prefix, String after, Consumer<StoreWire.Page> onPage) {
    readPage(prefix, after, false, onPage);
  }

  /** One page of whatever the service still holds of this generation after it lost data. */
  public void readPageAfterDataLoss(String after, Consumer<StoreWire.Page> onPage) {
    readPage("", after, true, onPage);
  }

  /** One page of all keys of all generations, under their whole names. */
  public void readPageOfAllGenerations(String after, Consumer<StoreWire.Page> onPage) {
    readPage("", "", after, false, onPage);
  }

  private void readPage(
      String prefix, String after, boolean anyRevision, Consumer<StoreWire.Page> onPage) {
    readPage(generation.prefix(), prefix, after, anyRevision, onPage);
  }

  private void readPage(
      String space,
      String prefix,
      String after,
      boolean anyRevision,
      Consumer<StoreWire.Page> onPage) {
    RequestContext sent = new RequestContext();
    send(
        get(StoreWire.listPath(space + prefix, after == null ? null : space + after)),
        reply -> {
          try {
            if (reply.is(200)) {
              StoreWire.Page page = StoreWire.parsePage(reply.body(), space);
              onPage.accept(anyRevision || sent.acceptRevision(page.revision()) ? page : null);
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
  public void checkConditions(StoreWire.Transaction compare, Consumer<List<String>> onDone) {
    RequestContext sent = new RequestContext();
    send(
        post("/multi", compare.bytes()),
        reply -> {
          try {
            if (reply.is(200)) {
              onDone.accept(List.of());
              return;
            }
            if (reply.is(409)) {
              onDone.accept(StoreWire.parseFailedConditions(reply.body(), sent.keyspace()));
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
  public boolean acceptCommitRevision(long before, long revision) {
    if (revision <= before) {
      revisionRollbackListener.accept(revision);
      return false;
    }
    highestRevision = Math.max(highestRevision, revision);
    return true;
  }
}
