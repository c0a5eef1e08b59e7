package io.pineladder.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.net.AsyncHttpClient.Outcome;
import io.pineladder.net.AsyncHttpClient.Reply;
import io.pineladder.net.EventLoop;
import io.pineladder.retry.Backoff;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.StoreWire;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Group commit of a leader's changes to the store. At most one compare-and-swap transaction is in
 * flight, and each is fenced by the leader's key.
 *
 * <p>A transaction requires that the leader's key still has the revision of this term and that
 * every key it writes has its last known revision. Transactions of a deposed leader therefore never
 * apply, and a transaction without a reply can be resent unchanged: at most one of its copies is
 * executed, the others fail on their conditions.
 *
 * <p>Event thread only.
 */
public final class Committer {
  private static final Logger log = LoggerFactory.getLogger(Committer.class);

  /** Lets the mutations that result from one message share a transaction. */
  private static final Duration GROUPING_DELAY = Duration.ofMillis(1);

  private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(100);
  private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(1);

  private enum State {
    /** No transaction is pending and no timer is set. */
    IDLE,
    /** A timer is set for grouping, the write budget or a retry. */
    WAITING,
    /** A transaction was sent and its reply is outstanding. */
    IN_FLIGHT,
    /** Records are being read to find out whether a transaction without a reply was executed. */
    RESOLVING,
    /** The term has ended; nothing is sent. */
    CLOSED
  }

  private final StoreClient storeClient;
  private final EventLoop eventLoop;
  private final long fencingToken;
  private final Listener listener;

  /** Last known revision of each key, except final states, which are never rewritten. */
  private final TreeMap<String, Long> revisions = new TreeMap<>();

  private final MutationQueue queue = new MutationQueue();
  private final Backoff backoff;
  private State state = State.IDLE;

  /** The transaction whose outcome is not known yet; null when there is none. */
  private PendingTransaction pending;

  /** The number of mutations to send one by one, to find the one that the store refuses. */
  private int mutationsToIsolate;

  private NotificationLog notificationLog = NotificationLog.DISABLED;

  /** Receives outcomes that affect the whole term. The first three close the committer. */
  public interface Listener {
    /** Another leader or generation is active, or the store rejects this leader's writes. */
    void onFenced(String reason);

    /** The leader's key no longer exists or belongs to another controller. */
    void onLeaderKeyGone();

    /**
     * The store has lost data: a record that only this leader writes differs from what it stored,
     * although its leader's key still exists.
     */
    void onDataLoss(String reason);

    /**
     * The store rejected a value that its earlier, higher limits allowed: lower ones are in force.
     */
    void onLimitsLowered();

    /** A transaction of the term was committed; the leader key still existed at this revision. */
    void onCommitted(long revision);

    /** The value is committed; it is null for a deleted key. */
    void onStored(String key, JsonNode value, long revision);
  }

  /**
   * Creates the committer of one term.
   *
   * @param fencingToken the revision of the leader's key in this term
   */
  public Committer(
      StoreClient storeClient, EventLoop eventLoop, long fencingToken, Listener listener) {
    this.storeClient = storeClient;
    this.eventLoop = eventLoop;
    this.fencingToken = fencingToken;
    this.listener = listener;
    this.backoff = new Backoff(eventLoop, INITIAL_RETRY_DELAY, MAX_RETRY_DELAY);
  }

  /** Changes the state; {@link State#CLOSED} is final. */
  private void transitionTo(State next) {
    if (state != State.CLOSED) {
      state = next;
    }
  }

  /** Sets the log that numbers notifications in the order in which transactions include them. */
  public void setNotificationLog(NotificationLog log) {
    notificationLog = log;
  }

  /** Sets the last known revision of a key that was read at the start of the term. */
  public void restoreRevision(String key, long revision) {
    revisions.put(key, revision);
  }

  /** Queues a mutation. Its callbacks run later on the event loop, never within this call. */
  public void submit(Mutation mutation) {
    queue.add(mutation);
    scheduleIfIdle();
  }

  /** Queues the deferred mutations again, because a page was divided. */
  public void requeueDeferred() {
    queue.requeueDeferred();
    scheduleIfIdle();
  }

  private void scheduleIfIdle() {
    if (state == State.IDLE) {
      transitionTo(State.WAITING);
      eventLoop.schedule(GROUPING_DELAY, this::sendNext);
    }
  }

  /** The number of mutations that are queued, deferred or of unknown outcome. */
  public int pendingMutations() {
    return queue.size() + (pending == null ? 0 : pending.mutations().size());
  }

  /** Closes the committer: no transaction is sent and no callback runs from here on. */
  public void close() {
    transitionTo(State.CLOSED);
  }

  // ---- sending

  private void sendNext() {
    if (state == State.CLOSED) {
      return;
    }
    if (pending == null) {
      Instant now = eventLoop.now();
      pending = assemble(now);
      if (pending == null) {
        awaitBudget(now);
        return;
      }
    }
    send();
  }

  private PendingTransaction assemble(Instant now) {
    int limit = storeClient.limits().transactionOps();
    int maxOperations = Math.min(limit, storeClient.writeBudget().available(now));
    int maxMutations = mutationsToIsolate > 0 ? 1 : Integer.MAX_VALUE;
    notificationLog.beginTransaction();
    return new TransactionAssembler(fencedTransaction(), revisions, maxOperations, limit)
        .assemble(queue, maxMutations);
  }

  private StoreWire.Transaction fencedTransaction() {
    return storeClient.transaction().require(RecordKeys.LEADER, fencingToken);
  }

  private void awaitBudget(Instant now) {
    Mutation first = queue.first();
    if (first == null) {
      transitionTo(State.IDLE);
      return;
    }
    transitionTo(State.WAITING);
    int operations = TransactionAssembler.operations(first);
    eventLoop.schedule(
        storeClient.writeBudget().delayUntilAvailable(operations, now).plusMillis(1),
        this::sendNext);
  }

  private void send() {
    transitionTo(State.IN_FLIGHT);
    pending.markSent(storeClient.highestRevision());
    storeClient.writeBudget().consume(pending.values().size(), eventLoop.now());
    storeClient.send(storeClient.post("/multi", pending.body()), this::onReply);
  }

  private void retryLater() {
    transitionTo(State.WAITING);
    storeClient.scheduleRetry(backoff, this::sendNext);
  }

  // ---- replies

  private void onReply(Reply reply) {
    if (state == State.CLOSED) {
      return;
    }
    try {
      if (reply.hasStatus(200)) {
        onExecuted(StoreWire.parseRevision(reply.body()));
        return;
      }
      if (reply.hasStatus(409)) {
        onConflict(
            StoreWire.parseFailedConditions(reply.body(), storeClient.generation().prefix()));
        return;
      }
    } catch (MalformedMessageException e) {
      log.warn("Malformed transaction reply, outcome unknown: reply={}", reply);
    }
    if (reply.hasStatus(400)) {
      onBadRequest(reply);
    } else {
      onNoOutcome(reply);
    }
  }

  private void onExecuted(long revision) {
    if (storeClient.acceptCommitRevision(pending.highestRevisionWhenSent(), revision)) {
      committed(revision);
    } else {
      dataLost("revision rollback in a transaction reply: revision=" + revision);
    }
  }

  private void onConflict(List<String> failed) {
    if (endedByFencing(failed)) {
      return;
    }
    if (pending.isAmbiguous()) {
      resolveAmbiguity();
    } else {
      conditionsFailed(failed);
    }
  }

  private void onBadRequest(Reply reply) {
    int limit = storeClient.limits().valueBytes();
    if (pending.isAmbiguous()) {
      fenced("transaction refused as malformed: reply=" + reply);
    } else if (pending.hasValueLargerThan(limit)) {
      // An earlier leader stored the value when the limits were higher.
      log.warn("Transaction refused, a value exceeds the announced limit: limitBytes={}", limit);
      abandon();
      transitionTo(State.WAITING);
      listener.onLimitsLowered();
      storeClient.scheduleRetry(backoff, this::sendNext);
    } else {
      isolateRefusedMutation(reply);
    }
  }

  /** Sends the mutations of a malformed transaction one by one, and drops the one at fault. */
  private void isolateRefusedMutation(Reply reply) {
    if (pending.mutations().size() > 1) {
      log.warn(
          "Transaction refused as malformed, sent in parts: keys={} reply={}",
          pending.changedKeys(),
          reply);
      mutationsToIsolate = pending.mutations().size();
      abandon();
    } else {
      log.error(
          "Write refused as malformed and dropped: keys={} bytes={} reply={}",
          pending.changedKeys(),
          pending.body().length,
          reply);
      onMutationIsolated();
      pending = null;
    }
    retryLater();
  }

  private void onMutationIsolated() {
    mutationsToIsolate = Math.max(0, mutationsToIsolate - 1);
  }

  /** Handles rejection before execution, a missing reply, and an unexpected status. */
  private void onNoOutcome(Reply reply) {
    boolean notExecuted =
        reply.hasStatus(503) || reply.hasStatus(429) || reply.outcome() == Outcome.NOT_SENT;
    if (!notExecuted) {
      // It may have been executed, or may still be.
      pending.markAmbiguous();
    } else if (!pending.isAmbiguous()) {
      // No copy was executed, so its mutations may go into a new transaction.
      abandon();
    }
    retryLater();
  }

  /** Queues the mutations of the pending transaction again; it was not executed. */
  private void abandon() {
    queue.requeue(pending.mutations());
    pending = null;
  }

  private void committed(long revision) {
    PendingTransaction committed = pending;
    pending = null;
    onMutationIsolated();
    backoff.reset();
    listener.onCommitted(revision);
    committed
        .values()
        .forEach(
            (key, value) -> {
              // Final states are never rewritten, so their revisions are not needed.
              if (value == null || key.startsWith(RecordKeys.FINAL_STATE)) {
                revisions.remove(key);
              } else {
                revisions.put(key, revision);
              }
              listener.onStored(key, value, revision);
            });
    transitionTo(State.WAITING);
    committed.pageEdits().forEach((page, edits) -> page.onCommitted(edits));
    notificationLog.onTransactionCommitted();
    for (Mutation mutation : committed.mutations()) {
      mutation.onCommitted().run();
    }
    sendNext();
  }

  /** Handles a transaction that was not executed because these conditions do not hold. */
  private void conditionsFailed(List<String> failed) {
    PendingTransaction rejected = pending;
    pending = null;
    List<Mutation> retried = new ArrayList<>();
    List<Mutation> alreadyExisting = new ArrayList<>();
    for (Mutation mutation : rejected.mutations()) {
      boolean changed =
          mutation.writes().stream().anyMatch(w -> failed.contains(w.key()))
              || mutation.pageEdits().stream().anyMatch(e -> failed.contains(e.page().key));
      if (changed) {
        String reason = "records differ from their last known revisions: keys=" + failed;
        if (impliesDataLoss(failed)) {
          dataLost(reason);
        } else {
          fenced(reason);
        }
        return;
      }
      boolean exists = mutation.mustNotExist().stream().anyMatch(failed::contains);
      (exists ? alreadyExisting : retried).add(mutation);
    }
    if (!alreadyExisting.isEmpty()) {
      log.info(
          "Transaction refused, records of other controllers exist: keys={} expectedRevision=0"
              + " highestRevision={}",
          failed,
          storeClient.highestRevision());
    }
    queue.requeue(retried);
    transitionTo(State.WAITING);
    alreadyExisting.forEach(mutation -> mutation.onAlreadyExists().run());
    sendNext();
  }

  // ---- transactions without a reply

  /**
   * Finds out whether an earlier copy of the pending transaction, which got no reply, was executed.
   * Every transaction writes a record that only this leader writes, and the revision of that record
   * shows it.
   */
  private void resolveAmbiguity() {
    transitionTo(State.RESOLVING);
    String key = pending.evidenceKey();
    storeClient.read(key, read -> onOwnRecordRead(key, read));
  }

  private void onOwnRecordRead(String key, StoreClient.ReadResult read) {
    if (state == State.CLOSED) {
      return;
    }
    if (!read.succeeded()) {
      storeClient.scheduleRetry(backoff, this::resolveAmbiguity);
      return;
    }
    long storedRevision = read.found() ? read.entry().revision() : 0;
    long knownRevision = revisions.getOrDefault(key, 0L);
    if (storedRevision < knownRevision && pending.values().get(key) != null) {
      dataLost("record missing or older than stored: key=" + key);
      return;
    }
    if (storedRevision != knownRevision) {
      confirmLeadership(read.revision());
      return;
    }
    // Not executed. If its mutations are rejected again, the reply names the failed conditions.
    pending.markNotExecuted();
    conditionsFailed(List.of());
  }

  /**
   * Treats the pending transaction as committed if this controller still holds the leader's key. A
   * record that it writes has changed, and as the key is read after the record, no later leader can
   * have written it.
   */
  private void confirmLeadership(long revision) {
    storeClient.read(
        RecordKeys.LEADER,
        read -> {
          if (state == State.CLOSED) {
            return;
          }
          if (!read.succeeded()) {
            storeClient.scheduleRetry(backoff, this::resolveAmbiguity);
          } else if (read.found() && read.entry().revision() == fencingToken) {
            committed(revision);
          } else {
            fenced("another controller is the leader");
          }
        });
  }

  // ---- the end of the term

  /** Closes the committer if a fencing condition is among the failed ones. */
  private boolean endedByFencing(List<String> failed) {
    if (failed.contains(RecordKeys.GENERATION)) {
      fenced("another generation of the records is active");
      return true;
    }
    if (failed.contains(RecordKeys.LEADER)) {
      transitionTo(State.CLOSED);
      listener.onLeaderKeyGone();
      return true;
    }
    return false;
  }

  private void fenced(String reason) {
    transitionTo(State.CLOSED);
    listener.onFenced(reason);
  }

  private void dataLost(String reason) {
    transitionTo(State.CLOSED);
    listener.onDataLoss(reason);
  }

  /**
   * Whether a difference in one of these records means that data was lost. Other controllers may
   * create unpaged job records and inbox entries; only the leader writes the rest.
   */
  private static boolean impliesDataLoss(List<String> keys) {
    return keys.stream()
        .anyMatch(k -> !k.startsWith(RecordKeys.UNPAGED_JOB) && !k.startsWith(RecordKeys.INBOX));
  }

  // ---- the audit

  /**
   * Compares the revisions of a bounded number of records with the last known ones, in a
   * transaction that changes nothing. A failed fencing condition or lost record ends the term.
   *
   * @param after the last key of the previous step; null to begin
   * @param onDone receives the last key of this step; null when the audit is complete
   */
  public void audit(String after, Consumer<String> onDone) {
    if (state == State.CLOSED) {
      return;
    }
    int maxConditions = TransactionAssembler.maxConditions(storeClient.limits().transactionOps());
    RecordAudit step = new RecordAudit(revisions, this::isInFlight, after, maxConditions);
    String last = step.lastKey();
    storeClient.checkConditions(
        step.addConditionsTo(fencedTransaction()),
        failed -> {
          if (state == State.CLOSED) {
            return;
          }
          onDone.accept(failed == null ? after : last);
          if (failed != null) {
            onAudited(step, failed);
          }
        });
  }

  private boolean isInFlight(String key) {
    return pending != null && pending.changesKey(key);
  }

  private void onAudited(RecordAudit step, List<String> failed) {
    if (endedByFencing(failed)) {
      return;
    }
    List<String> differing = step.differing(failed);
    if (!failed.isEmpty() && differing.isEmpty()) {
      log.debug(
          "Records were written during the audit: keys={} knownRevisions={}",
          failed,
          failed.stream().map(revisions::get).toList());
    }
    if (impliesDataLoss(differing)) {
      dataLost("records missing or older than stored: keys=" + differing);
    }
  }
}
