package io.pineladder.store;

import io.pineladder.model.Generation;
import io.pineladder.model.Settings;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.AsyncHttpClient.Outcome;
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
 * Client of the consensus-backed key-value store. Keys are relative to the generation in use; the
 * client adds and removes the prefix of that generation.
 *
 * <p>The controller's own requests are queued within its share of the rate limits. Requests on
 * behalf of users are sent immediately or rejected. Lease renewals and requests that a failover
 * waits for are sent immediately in any case. A reply whose revision is below one that was known
 * when the request was sent shows that the store has lost data; it is reported and not used.
 *
 * <p>Event thread only.
 */
public final class StoreClient {
  private static final Logger log = LoggerFactory.getLogger(StoreClient.class);
  private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(1500);

  /** Time that the client allows for the reply after the wait time of a long poll. */
  private static final Duration LONG_POLL_MARGIN = Duration.ofSeconds(5);

  private final StoreRequestSender sender;
  private final RevisionTracker revisions = new RevisionTracker();
  private final String address;
  private final Settings.StoreLimits limits;

  /**
   * Creates a client of the store at an address.
   *
   * @param limits the rate and size limits of the store, which apply to the whole cluster
   * @param controllers the number of controllers that share the part of the limits for user traffic
   */
  public StoreClient(
      AsyncHttpClient httpClient,
      EventLoop eventLoop,
      String address,
      Settings.StoreLimits limits,
      int controllers) {
    this.sender = new StoreRequestSender(httpClient, eventLoop, limits, controllers);
    this.address = address;
    this.limits = limits;
  }

  // ---- generation and revision

  /** Sets the listener that is called with each revision that shows a rollback of the store. */
  public void setRevisionRollbackListener(LongConsumer listener) {
    revisions.setRollbackListener(listener);
  }

  public Generation generation() {
    return revisions.generation();
  }

  /** Switches to a generation; requests in flight belong to the previous one. */
  public void useGeneration(Generation next) {
    revisions.useGeneration(next);
  }

  /** The highest known revision of the store in the generation in use. */
  public long highestRevision() {
    return revisions.highestRevision();
  }

  /** Takes into account a revision that a peer has seen in the generation with this base. */
  public void observeRevision(long base, long revision) {
    revisions.observeRevision(base, revision);
  }

  /**
   * Checks the revision of a committed transaction. If it is not above the highest revision known
   * when the transaction was sent, reports data loss and returns false.
   */
  public boolean acceptCommitRevision(long highestRevisionWhenSent, long revision) {
    return revisions.acceptCommitRevision(highestRevisionWhenSent, revision);
  }

  /** Creates an empty transaction that fails if another generation is active. */
  public StoreWire.Transaction transaction() {
    return new StoreWire.Transaction(generation().prefix())
        .requireGeneration(generation().recordRevision());
  }

  /** The request path of a key in the generation in use. */
  public String keyPath(String key) {
    return StoreWire.keyPath(generation().prefix() + key);
  }

  // ---- limits and health

  public Settings.StoreLimits limits() {
    return limits;
  }

  /** The budget of changed keys; the sender of a transaction must consume from it. */
  public TokenBucket writeBudget() {
    return sender.writeBudget();
  }

  /** Whether the last reply shows that the store works; rate-limited replies (429) are ignored. */
  public boolean isHealthy() {
    return sender.isHealthy();
  }

  /** The time of the last response to an executed request; null if there was none. */
  public Instant lastResponseAt() {
    return sender.lastResponseAt();
  }

  /** The number of requests sent since the start, except long polls. */
  public long requestCount() {
    return sender.requestCount();
  }

  /** The number of rate-limited requests (429) since the start. */
  public long rateLimitedCount() {
    return sender.rateLimitedCount();
  }

  // ---- requests

  public Request get(String path) {
    return Request.get(address, path, REQUEST_TIMEOUT);
  }

  public Request post(String path, byte[] body) {
    return Request.post(address, path, body, REQUEST_TIMEOUT);
  }

  public Request delete(String path) {
    return new Request(address, "DELETE", path, null, REQUEST_TIMEOUT);
  }

  /** Creates the backoff for retries of one request. */
  public Backoff newBackoff() {
    return sender.newBackoff();
  }

  /** Schedules a retry after the backoff delay, or later if the retry budget is exhausted. */
  public void scheduleRetry(Backoff backoff, Runnable action) {
    sender.scheduleRetry(backoff, action);
  }

  /** Sends when the request budget allows, in the order of the calls. */
  void send(Request request, Consumer<Reply> onReply) {
    sender.send(request, onReply);
  }

  /**
   * Sends immediately, even if the budget is exhausted; for lease renewals, which must not wait.
   */
  public void sendImmediately(Request request, Consumer<Reply> onReply) {
    sender.sendImmediately(request, onReply);
  }

  /**
   * Sends a write on behalf of a user immediately, or rejects it if the budget for user writes is
   * exhausted. User requests are not queued, so they never delay the controller's own. User reads
   * have a separate budget, so polling clients do not cause submissions to be rejected.
   *
   * @param changes the number of puts and deletes in the request
   */
  public void writeForUser(Request request, int changes, Consumer<Reply> onReply) {
    sender.writeForUser(request, changes, onReply);
  }

  // ---- reads of one key

  /**
   * The result of reading one key.
   *
   * @param succeeded whether the read succeeded; if not, the key may or may not exist
   * @param entry the key's entry; null if it does not exist or the read failed
   * @param revision the entry's revision; the store's if the key does not exist; 0 if the read
   *     failed
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
    send(get(keyPath(key)), reply -> onRead.accept(toReadResult(reply, context)));
  }

  /** Reads one key immediately, even if the budget is exhausted; also passes on the reply. */
  public void readImmediately(String key, BiConsumer<ReadResult, Reply> onRead) {
    RequestContext context = revisions.requestContext();
    sendImmediately(get(keyPath(key)), reply -> onRead.accept(toReadResult(reply, context), reply));
  }

  /** Reads one key on behalf of a user; fails immediately if the budget is exhausted. */
  public void readForUser(String key, Consumer<ReadResult> onRead) {
    RequestContext context = revisions.requestContext();
    sender.readForUser(get(keyPath(key)), reply -> onRead.accept(toReadResult(reply, context)));
  }

  /**
   * Reads one key on behalf of a user of the leader, after all other requests that wait; fails
   * immediately if too many do.
   */
  public void readAfterOthers(String key, Consumer<ReadResult> onRead) {
    RequestContext context = revisions.requestContext();
    sender.readAfterOthers(get(keyPath(key)), reply -> onRead.accept(toReadResult(reply, context)));
  }

  /**
   * Reads the record that names the active generation, immediately. The read succeeds even if the
   * reply shows a revision rollback, because a rebuild needs to know what the store contains now.
   */
  public void readGeneration(Consumer<ReadResult> onRead) {
    RequestContext context = revisions.requestContext();
    sendImmediately(
        get(StoreWire.keyPath(RecordKeys.GENERATION)),
        reply -> {
          ReadResult read = toReadResult(reply, context);
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

  private static ReadResult toReadResult(Reply reply, RequestContext context) {
    try {
      if (reply.hasStatus(200)) {
        StoreWire.Entry entry = StoreWire.parseEntry(reply.body(), context.keyspace());
        return new ReadResult(true, entry, entry.revision());
      }
      if (reply.hasStatus(404)) {
        long revision = StoreWire.parseRevision(reply.body());
        return context.acceptRevision(revision)
            ? new ReadResult(true, null, revision)
            : ReadResult.FAILED;
      }
    } catch (MalformedMessageException e) {
      return ReadResult.FAILED;
    }
    return ReadResult.FAILED;
  }

  // ---- reads of a prefix

  /** All entries with a key prefix, and the revision from which to watch for changes. */
  public record Listing(List<StoreWire.Entry> entries, long revision) {}

  /** Reads all keys with a prefix; retries until it succeeds or {@code stillWanted} is false. */
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

  /** Runs the action as soon as the budget allows a read that many users share. */
  void runWhenUserReadAllowed(Runnable action) {
    sender.runWhenUserReadAllowed(action);
  }

  /**
   * Reads all keys with a prefix on behalf of many users, each page when the budget allows; passes
   * null if a read fails.
   */
  void listForUsers(String prefix, Consumer<Listing> onDone) {
    listNextPageForUsers(new PrefixScan(revisions, prefix), onDone);
  }

  private void listNextPageForUsers(PrefixScan scan, Consumer<Listing> onDone) {
    sender.readForUsers(
        get(scan.nextPath()),
        reply -> {
          if (!scan.addPage(reply)) {
            onDone.accept(null);
          } else if (scan.isComplete()) {
            onDone.accept(scan.listing());
          } else {
            listNextPageForUsers(scan, onDone);
          }
        });
  }

  /** Reads one page of the keys with a prefix; passes null if that fails. */
  public void readPage(String prefix, String after, Consumer<StoreWire.Page> onPage) {
    readPage(generation().prefix(), prefix, after, false, onPage);
  }

  /** Reads one page of the generation in use, whatever its revision; passes null if that fails. */
  public void readPageAfterDataLoss(String after, Consumer<StoreWire.Page> onPage) {
    readPage(generation().prefix(), "", after, true, onPage);
  }

  /** Reads one page of all generations, with absolute keys; passes null if that fails. */
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
   * @param changes the changes; null if the request failed or the reply cannot be used
   */
  public record ChangesReply(Reply reply, StoreWire.Changes changes) {
    /** Whether the changes cannot be had: too old or too many, so the records are listed again. */
    public boolean requiresListing() {
      return reply.hasStatus(410) || reply.outcome() == Outcome.TOO_LARGE;
    }
  }

  /** Waits for changes under a prefix after a revision, at most for the given time. */
  public void watch(String prefix, long after, Duration wait, Consumer<ChangesReply> onReply) {
    RequestContext context = revisions.requestContext();
    longPoll(
        context.keyspace() + prefix,
        after,
        wait,
        reply -> onReply.accept(toChangesReply(reply, context)));
  }

  /** Waits for a change of the generation, which has to be read after the reply. */
  public void watchGeneration(long after, Duration wait, Consumer<Reply> onReply) {
    longPoll(RecordKeys.GENERATION_PREFIX, after, wait, onReply);
  }

  private void longPoll(String path, long after, Duration wait, Consumer<Reply> onReply) {
    Duration timeout = wait.plus(LONG_POLL_MARGIN);
    sender.sendLongPoll(
        Request.get(address, StoreWire.watchPath(path, after, wait), timeout), onReply);
  }

  /** Reads all changes in the generation in use after a revision, without waiting for more. */
  public void readChanges(long after, Consumer<ChangesReply> onReply) {
    RequestContext context = revisions.requestContext();
    send(
        get(StoreWire.watchPath(context.keyspace(), after, Duration.ZERO)),
        reply -> onReply.accept(toChangesReply(reply, context)));
  }

  /**
   * Reads the changes under a prefix after a revision, on behalf of many users, when the budget
   * allows.
   */
  void readChangesForUsers(String prefix, long after, Consumer<ChangesReply> onReply) {
    RequestContext context = revisions.requestContext();
    sender.readForUsers(
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
   * Checks conditions by a transaction that changes nothing.
   *
   * @param onDone receives the keys whose conditions do not hold; null if the request failed
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
