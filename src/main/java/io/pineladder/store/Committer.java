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
 * Group commit of one leader's changes to the store: one compare-and-swap transaction in flight at
 * a time, fenced by the leader's key.
 *
 * <p>Each transaction requires that the leader's key still has this term's revision and that every
 * key it writes has the revision last known. So a transaction of an older leader never applies, and
 * one that got no reply can be sent again unchanged: if the first copy was executed the second
 * fails, and whichever of the two comes late fails as well.
 *
 * <p>Event thread only.
 */
public final class Committer {
  private static final Logger log = LoggerFactory.getLogger(Committer.class);

  /** Mutations that are decided by one message go into one transaction. */
  private static final Duration GROUPING_DELAY = Duration.ofMillis(1);

  private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(100);
  private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(1);

  /** The state of the committer. */
  private enum State {
    /** No transaction is pending and no timer is set. */
    IDLE,
    /** A timer is set: for grouping, for the write budget or for a retry. */
    WAITING,
    /** A transaction was sent and is not answered. */
    IN_FLIGHT,
    /** Records are read to find out what a transaction without a reply did. */
    RESOLVING,
    /** Nothing is sent any more. */
    CLOSED
  }

  private final StoreClient storeClient;
  private final EventLoop eventLoop;
  private final long fencingToken;
  private final Listener listener;

  /** The revision of each key as last known; final states, which are never rewritten, excepted. */
  private final TreeMap<String, Long> revisions = new TreeMap<>();

  private final MutationQueue queue = new MutationQueue();
  private final Backoff backoff;
  private State state = State.IDLE;

  /** The transaction whose outcome is not known yet, or null. */
  private PendingTransaction pending;

  private NotificationLog notificationLog = NotificationLog.DISABLED;

  /** Outcomes that concern the whole term. The committer is closed when the first three come. */
  public interface Listener {
    /** Another leader or generation is active, or the store refuses what this leader writes. */
    void onFenced(String reason);

    /** The leader's key is gone or another controller's. */
    void onLeaderKeyGone();

    /**
     * A record that only this leader writes differs from what it stored, though its leader's key
     * still exists: the state service has lost data.
     */
    void onDataLoss(String reason);

    /** A value that earlier limits allowed was refused: the announced limits are in force. */
    void onLimitsLowered();

    /** The value is stored; null for a deleted key. */
    void onStored(String key, JsonNode value, long revision);
  }

  /**
   * The changes of one leader.
   *
   * @param fencingToken the revision of its leader's key
   */
  public Committer(
      StoreClient storeClient, EventLoop eventLoop, long fencingToken, Listener listener) {
    this.storeClient = storeClient;
    this.eventLoop = eventLoop;
    this.fencingToken = fencingToken;
    this.listener = listener;
    this.backoff = new Backoff(eventLoop, INITIAL_RETRY_DELAY, MAX_RETRY_DELAY);
  }

  /** The one place where the state changes; {@code CLOSED} is final. */
  private void transitionTo(State next) {
    if (state != State.CLOSED) {
      state = next;
    }
  }

  /** Sets what numbers notifications, in the order in which they go into transactions. */
  public void setNotificationLog(NotificationLog log) {
    notificationLog = log;
  }

  /** Takes over the revision of a key that was read. */
  public void restoreRevision(String key, long revision) {
    revisions.put(key, revision);
  }

  /** Queues a mutation; its callbacks come from the event loop, never from within this call. */
  public void submit(Mutation mutation) {
    queue.add(mutation);
    scheduleIfIdle();
  }

  /** A page was divided: the mutations that were deferred for it are queued again. */
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

  /** Mutations that are not known to be committed. */
  public int pendingMutations() {
    return queue.size() + (pending == null ? 0 : pending.mutations().size());
  }

  /** Ends the term: nothing is sent and no callback comes any more. */
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
    notificationLog.beginTransaction();
    return new TransactionAssembler(fencedTransaction(), revisions, maxOperations, limit)
        .assemble(queue);
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
    if (pending.isAmbiguous() || !pending.hasValueLargerThan(limit)) {
      fenced("transaction refused as malformed: reply=" + reply);
      return;
    }
    // A value as an earlier leader left it: the announced limits are in force by now.
    log.warn("Transaction refused, a value exceeds the announced limit: limitBytes={}", limit);
    abandon();
    transitionTo(State.WAITING);
    listener.onLimitsLowered();
    storeClient.scheduleRetry(backoff, this::sendNext);
  }

  /** A refusal before execution, no reply, or one that the protocol does not name. */
  private void onNoOutcome(Reply reply) {
    boolean notExecuted = reply.hasStatus(503) || reply.hasStatus(429) || reply.outcome() == Outcome.NOT_SENT;
    if (!notExecuted) {
      // It may have been executed, or be yet.
      pending.markAmbiguous();
    } else if (!pending.isAmbiguous()) {
      // Mutations may be assembled anew when the store is back.
      abandon();
    }
    retryLater();
  }

  /** The pending transaction was not executed: its mutations are queued again. */
  private void abandon() {
    queue.requeue(pending.mutations());
    pending = null;
  }

  private void committed(long revision) {
    PendingTransaction committed = pending;
    pending = null;
    backoff.reset();
    committed
        .values()
        .forEach(
            (key, value) -> {
              // Final states are never written again; their revisions would only cost memory.
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

  /** Nothing was executed: some conditions did not hold. */
  private void conditionsFailed(List<String> failed) {
    PendingTransaction refused = pending;
    pending = null;
    List<Mutation> retried = new ArrayList<>();
    List<Mutation> existing = new ArrayList<>();
    for (Mutation mutation : refused.mutations()) {
      boolean changed =
          mutation.writes().stream().anyMatch(w -> failed.contains(w.key()))
              || mutation.pageEdits().stream().anyMatch(e -> failed.contains(e.page().key));
      if (changed) {
        String reason = "records changed under their owner: keys=" + failed;
        if (impliesDataLoss(failed)) {
          dataLost(reason);
        } else {
          fenced(reason);
        }
        return;
      }
      boolean exists = mutation.mustNotExist().stream().anyMatch(failed::contains);
      (exists ? existing : retried).add(mutation);
    }
    queue.requeue(retried);
    transitionTo(State.WAITING);
    existing.forEach(mutation -> mutation.onAlreadyExists().run());
    sendNext();
  }

  // ---- transactions without a reply

  /**
   * A copy without a reply came before this refusal. Only this leader writes its own records, and
   * every transaction writes one, so any of them shows whether that copy was executed.
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
    long found = read.found() ? read.entry().revision() : 0;
    long known = revisions.getOrDefault(key, 0L);
    if (found < known && pending.values().get(key) != null) {
      dataLost("record missing or older than stored: key=" + key);
      return;
    }
    if (found != known) {
      confirmLeadership(read.revision());
      return;
    }
    // Not executed: assembled anew, the next refusal names the conditions that fail.
    pending.markNotExecuted();
    conditionsFailed(List.of());
  }

  /**
   * A record of ours has changed. That was our copy only if no later leader can have written it: if
   * the leader's key, read after it, is still ours.
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

  /** Closes the committer if the conditions that fence it are among the failed ones. */
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
   * Whether a record of these can only differ because data was lost. Other nodes create jobs' own
   * records and inbox entries; all else is written by the leader alone.
   */
  private static boolean impliesDataLoss(List<String> keys) {
    return keys.stream()
        .anyMatch(k -> !k.startsWith(RecordKeys.UNPAGED_JOB) && !k.startsWith(RecordKeys.INBOX));
  }

  // ---- the audit

  /**
   * Compares a bounded number of records with what was stored, in a transaction that changes
   * nothing. A difference ends the term like a refused transaction does.
   *
   * @param after the last key compared before, or null to begin
   * @param onDone receives the last key compared now, or null at the end
   */
  public void audit(String after, Consumer<String> onDone) {
    if (state == State.CLOSED) {
      return;
    }
    int maxConditions = TransactionAssembler.maxConditions(storeClient.limits().transactionOps());
    RecordAudit step = new RecordAudit(revisions, this::isInFlight, after, maxConditions);
    String last = step.lastKey();
    storeClient.checkConditions(
        step.addTo(fencedTransaction()),
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
    return pending != null && pending.changes(key);
  }

  private void onAudited(RecordAudit step, List<String> failed) {
    if (endedByFencing(failed)) {
      return;
    }
    List<String> differing = step.differing(failed);
    if (impliesDataLoss(differing)) {
      dataLost("records missing or older than stored: keys=" + differing);
    }
  }
}
