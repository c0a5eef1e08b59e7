package io.pineladder.store;

import io.pineladder.model.Generation;
import io.pineladder.model.Settings;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.AsyncHttpClient.Reply;
import io.pineladder.net.AsyncHttpClient.Request;
import io.pineladder.net.EventLoop;
import io.pineladder.retry.Backoff;
import io.pineladder.retry.TokenBucket;
import io.pineladder.store.RevisionTracker.RequestContext;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.StoreWire;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Client of the consensus-backed key-value store. Keys are names within the generation in use; the
 * prefix of that generation is added and removed here.
 *
 * <p>Requests of this node wait for its share of the rate limits; those for users are sent at once
 * or refused; lease renewals and what a failover waits for are sent at once in any case. Replies
 * whose revision is below one that was known when the request was sent show that the store has lost
 * data: they are reported and not used.
 *
 * <p>Event thread only.
 */
public final class StoreClient {
  private static final Logger log = LoggerFactory.getLogger(StoreClient.class);
  private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(1500);

  /** A long poll times out this long after the service should have ended it. */
  private static final Duration LONG_POLL_MARGIN = Duration.ofSeconds(5);

  private final StoreRequestSender sender;
  private final RevisionTracker revisions = new RevisionTracker();
  private final String address;
  private final Settings.StoreLimits limits;

  /**
   * A client of the store at an address.
   *
   * @param limits the rate and size limits of the store, which hold for the whole cluster
   * @param nodes the number of controllers that share the users' part of the limits
   */
  public StoreClient(
      AsyncHttpClient httpClient,
      EventLoop eventLoop,
      String address,
      Settings.StoreLimits limits,
      int nodes) {
    this.sender = new StoreRequestSender(httpClient, eventLoop, limits, nodes);
    this.address = address;
    this.limits = limits;
  }

  // ---- generation and revision

  /** Sets what is called with a revision that shows that the store has lost data. */
  public void setRevisionRollbackListener(LongConsumer listener) {
    revisions.onRollback(listener);
  }

  /** The generation whose records are read and written. */
  public Generation generation() {
    return revisions.generation();
  }

  /** Switches to a generation; requests that are under way belong to the one before. */
  public void useGeneration(Generation next) {
    revisions.useGeneration(next);
  }

  /** The highest revision that the store is known to have had in this generation. */
  public long highestRevision() {
    return revisions.highestRevision();
  }

  /** The store had this revision in the generation with that base, as a peer knows. */
  public void observeRevision(long base, long revision) {
    revisions.observe(base, revision);
  }

  /**
   * A transaction has committed at this revision; false, and reported as a loss of data, when that
   * is not above the highest revision that was known when it was sent.
   */
  public boolean acceptCommitRevision(long highestRevisionWhenSent, long revision) {
    return revisions.acceptCommit(highestRevisionWhenSent, revision);
  }

  /** A transaction on records of this generation, which fails once another one is active. */
  public StoreWire.Transaction transaction() {
    return new StoreWire.Transaction(generation().prefix())
        .requireGeneration(generation().recordRevision());
  }

  /** The request path of a key of this generation. */
  public String keyPath(String key) {
    return StoreWire.keyPath(generation().prefix() + key);
  }

  // ---- limits and health

  /** The announced limits of the store. */
  public Settings.StoreLimits limits() {
    return limits;
  }

  /** The budget of changed keys, from which the sender of a transaction takes. */
  public TokenBucket writeBudget() {
    return sender.writeBudget();
  }

  /** Whether the last request was executed; a refusal for the rate (429) does not count. */
  public boolean isHealthy() {
    return sender.isHealthy();
  }

  /** When the last response came that was not a refusal; null for never. */
  public Instant lastResponseAt() {
    return sender.lastResponseAt();
  }

  /** Requests sent since the start, long polls excepted. */
  public long requestCount() {
    return sender.requestCount();
  }

  /** Requests that the store refused for their rate (429) since the start. */
  public long rateLimitedCount() {
    return sender.rateLimitedCount();
  }

  // ---- requests

  /** A GET request to the store. */
  public Request get(String path) {
    return Request.get(address, path, REQUEST_TIMEOUT);
  }

  /** A POST request to the store. */
  public Request post(String path, byte[] body) {
    return Request.post(address, path, body, REQUEST_TIMEOUT);
  }

  /** A DELETE request to the store. */
  public Request delete(String path) {
    return new Request(address, "DELETE", path, null, REQUEST_TIMEOUT);
  }

  /** A new back-off between retries of one request. */
  public Backoff newBackoff() {
    return sender.newBackoff();
  }

  /** Schedules a retry after the back-off delay, or later when the retry budget is used. */
  public void scheduleRetry(Backoff backoff, Runnable action) {
    sender.scheduleRetry(backoff, action);
  }

  /** Sends when the request budget allows. */
  void send(Request request, Consumer<Reply> onReply) {
    sender.send(request, onReply);
  }

  /** Sends at once, whatever the budget: for lease renewals, which everything depends on. */
  public void sendImmediately(Request request, Consumer<Reply> onReply) {
    sender.sendImmediately(request, onReply);
  }

  /**
   * Changes something for a user, at once or not at all: a user is refused rather than kept
   * waiting, and users' requests never wait before this node's own. Reads have a budget of their
   * own: many clients poll, and a submission must not wait for them.
   *
   * @param changes puts and deletes in the request
   */
  public void writeForUser(Request request, int changes, Consumer<Reply> onReply) {
    sender.writeForUser(request, changes, onReply);
  }

  // ---- reads of one key

  /**
   * The outcome of a read of one key.
   *
   * @param succeeded whether the read succeeded; if not, nothing may be concluded
   * @param entry the key's entry; null when it does not exist, or the read failed
   * @param revision the entry's revision, or the store's when there is no entry
   */
  public record ReadResult(boolean succeeded, StoreWire.Entry entry, long revision) {
    static final ReadResult FAILED = new ReadResult(false, null, 0);

    /** Whether the key exists. */
    public boolean found() {
      return entry != null;
    }
  }

  /** Reads one key when the budget allows. */
  public void read(String key, Consumer<ReadResult> onRead) {
    RequestContext context = revisions.requestContext();
    send(get(keyPath(key)), reply -> onRead.accept(toRead(reply, context)));
  }

  /** Reads one key at once, whatever the budget; the reply itself is passed on as well. */
  public void readImmediately(String key, BiConsumer<ReadResult, Reply> onRead) {
    RequestContext context = revisions.requestContext();
    sendImmediately(get(keyPath(key)), reply -> onRead.accept(toRead(reply, context), reply));
  }

  /** Reads one key for a user, at once or not at all. */
  public void readForUser(String key, Consumer<ReadResult> onRead) {
    RequestContext context = revisions.requestContext();
    sender.readForUser(get(keyPath(key)), reply -> onRead.accept(toRead(reply, context)));
  }

  /**
   * Reads which generation is active, at once: everything waits for that. A revision rollback makes
   * this answer no less certain, since whoever rebuilds has to know what the store holds now.
   */
  public void readGeneration(Consumer<ReadResult> onRead) {
    RequestContext context = revisions.requestContext();
    sendImmediately(
        get(StoreWire.keyPath(RecordKeys.GENERATION)),
        reply -> {
          ReadResult read = toRead(reply, context);
          try {
            if (!read.succeeded() && reply.hasStatus(404)) {
              read = new ReadResult(true, null, StoreWire.parseRevision(reply.body()));
            }
          } catch (MalformedMessageException e) {
            log.warn("Malformed store reply: request=generation error={}", e.getMessage());
          }
          onRead.accept(read);
        });
  }

  private static ReadResult toRead(Reply reply, RequestContext context) {
    try {
      if (reply.hasStatus(200)) {
        StoreWire.Entry entry = StoreWire.parseEntry(reply.body(), context.keyspace());
        return new ReadResult(true, entry, entry.revision());
      }
      if (reply.hasStatus(404)) {
        long revision = StoreWire.parseRevision(reply.body());
        return context.acceptRevision(revision) ? new ReadResult(true, null, revision) : ReadResult.FAILED;
      }
    } catch (MalformedMessageException e) {
      return ReadResult.FAILED;
    }
    return ReadResult.FAILED;
  }

  // ---- reads of a prefix

  /** All keys with a prefix, and the revision from which changes are to be followed. */
  public record Listing(List<StoreWire.Entry> entries, long revision) {}

  /** Reads all keys with a prefix; retries until it succeeds or is no longer wanted. */
  public void listAll(String prefix, BooleanSupplier stillWanted, Consumer<Listing> onDone) {
    listNextPage(new PrefixScan(revisions, prefix), stillWanted, newBackoff(), onDone);
  }

  private void listNextPage(
      PrefixScan scan, BooleanSupplier stillWanted, Backoff backoff, Consumer<Listing> onDone) {
    if (!stillWanted.getAsBoolean()) {
      return;
    }
    Runnable next = () -> listNextPage(scan, stillWanted, backoff, onDone);
    send(
        get(scan.nextPath()),
        reply -> {
          if (!stillWanted.getAsBoolean()) {
            return;
          }
          if (!scan.addPage(reply)) {
            scheduleRetry(backoff, next);
            return;
          }
          backoff.reset();
          if (scan.isComplete()) {
            onDone.accept(scan.listing());
          } else {
            next.run();
          }
        });
  }

  /** Reads all keys with a prefix for users, at once or not at all; null when that failed. */
  void listForUser(String prefix, Consumer<Listing> onDone) {
    listNextPageForUser(new PrefixScan(revisions, prefix), onDone);
  }

  private void listNextPageForUser(PrefixScan scan, Consumer<Listing> onDone) {
    sender.readForUser(
        get(scan.nextPath()),
        reply -> {
          if (!scan.addPage(reply)) {
            onDone.accept(null);
          } else if (scan.isComplete()) {
            onDone.accept(scan.listing());
          } else {
            listNextPageForUser(scan, onDone);
          }
        });
  }

  /** One page of the keys with a prefix, when the budget allows; null when that failed. */
  public void readPage(String prefix, String after, Consumer<StoreWire.Page> onPage) {
    readPage(generation().prefix(), prefix, after, false, onPage);
  }

  /** One page of whatever the store still holds of this generation after it lost data. */
  public void readPageAfterDataLoss(String after, Consumer<StoreWire.Page> onPage) {
    readPage(generation().prefix(), "", after, true, onPage);
  }

  /** One page of all keys of all generations, under their whole names; null when that failed. */
  public void readPageOfAllGenerations(String after, Consumer<StoreWire.Page> onPage) {
    readPage("", "", after, false, onPage);
  }

  private void readPage(
      String keyspace,
      String prefix,
      String after,
      boolean anyRevision,
      Consumer<StoreWire.Page> onPage) {
    RequestContext context = revisions.requestContext();
    send(
        get(StoreWire.listPath(keyspace + prefix, after == null ? null : keyspace + after)),
        reply -> {
          try {
            if (reply.hasStatus(200)) {
              StoreWire.Page page = StoreWire.parsePage(reply.body(), keyspace);
              boolean accepted = anyRevision || context.acceptRevision(page.revision());
              onPage.accept(accepted ? page : null);
              return;
            }
          } catch (MalformedMessageException e) {
            log.warn("Malformed store reply: request=page error={}", e.getMessage());
          }
          onPage.accept(null);
        });
  }

  // ---- changes

  /**
   * The reply to a request for changes.
   *
   * @param changes the changes; null when the reply holds none that can be used
   */
  public record ChangesReply(Reply reply, StoreWire.Changes changes) {}

  /** Waits for changes under a prefix, for a given time at most. */
  public void watch(String prefix, long after, Duration wait, Consumer<ChangesReply> onReply) {
    RequestContext context = revisions.requestContext();
    longPoll(
        context.keyspace() + prefix,
        after,
        wait,
        reply -> onReply.accept(toChangesReply(reply, context)));
  }

  /** Waits for another generation; the reply says no more than that it is time to read. */
  public void watchGeneration(long after, Duration wait, Consumer<Reply> onReply) {
    longPoll(RecordKeys.GENERATION_PREFIX, after, wait, onReply);
  }

  private void longPoll(String path, long after, Duration wait, Consumer<Reply> onReply) {
    Duration timeout = wait.plus(LONG_POLL_MARGIN);
    sender.sendLongPoll(
        Request.get(address, StoreWire.watchPath(path, after, wait), timeout), onReply);
  }

  /** All changes of this generation up to now, when the budget allows. */
  public void readChanges(long after, Consumer<ChangesReply> onReply) {
    RequestContext context = revisions.requestContext();
    send(
        get(StoreWire.watchPath(context.keyspace(), after, Duration.ZERO)),
        reply -> onReply.accept(toChangesReply(reply, context)));
  }

  /** The changes under a prefix up to now, for users, at once or not at all. */
  void readChangesForUser(String prefix, long after, Consumer<ChangesReply> onReply) {
    RequestContext context = revisions.requestContext();
    sender.readForUser(
        get(StoreWire.watchPath(context.keyspace() + prefix, after, Duration.ZERO)),
        reply -> onReply.accept(toChangesReply(reply, context)));
  }

  private static ChangesReply toChangesReply(Reply reply, RequestContext context) {
    try {
      if (reply.hasStatus(200)) {
        StoreWire.Changes changes = StoreWire.parseChanges(reply.body(), context.keyspace());
        return new ChangesReply(reply, context.acceptRevision(changes.revision()) ? changes : null);
      }
    } catch (MalformedMessageException e) {
      log.warn("Malformed store reply: request=changes error={}", e.getMessage());
    }
    return new ChangesReply(reply, null);
  }

  // ---- conditions

  /**
   * Sends a transaction that changes nothing, when the budget allows.
   *
   * @param onDone receives the keys whose conditions do not hold; null when that is not known
   */
  public void checkConditions(StoreWire.Transaction conditions, Consumer<List<String>> onDone) {
    RequestContext context = revisions.requestContext();
    send(
        post("/multi", conditions.bytes()),
        reply -> {
          try {
            if (reply.hasStatus(200)) {
              onDone.accept(List.of());
              return;
            }
            if (reply.hasStatus(409)) {
              onDone.accept(StoreWire.parseFailedConditions(reply.body(), context.keyspace()));
              return;
            }
          } catch (MalformedMessageException e) {
            log.warn("Malformed store reply: request=conditions error={}", e.getMessage());
          }
          onDone.accept(null);
        });
  }
}
