package io.pineladder.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.net.AsyncHttpClient.Outcome;
import io.pineladder.net.AsyncHttpClient.Reply;
import io.pineladder.net.EventLoop;
import io.pineladder.retry.Backoff;
import io.pineladder.wire.Json;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.StoreWire;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One leader's changes to the store, one transaction under way at a time.
 *
 * <p>Each transaction asks that the leader's key still has this term's revision and that every key
 * it writes has the revision last known. So a transaction of an older leader never applies, and one
 * that got no reply can be sent again unchanged: if the first copy was executed the second fails,
 * and whichever of the two comes late fails as well.
 */
public final class Committer {
  private static final Logger log = LoggerFactory.getLogger(Committer.class);

  /** The service takes 64 KiB; the rest is for conditions. */
  private static final int MAX_TRANSACTION_BYTES = 48 * 1024;

  private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(100);
  private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(1);

  /** Records compared at a time; more would take the processor from what waits. */
  private static final int MAX_AUDITED_RECORDS = 100;

  /** Where the committer stands. */
  private enum State {
    IDLE,
    /** Waiting for the write budget or before another try. */
    WAITING,
    IN_FLIGHT,
    /** Reading back what a transaction without a reply did. */
    RESOLVING,
    CLOSED
  }

  private final StoreClient storeClient;
  private final EventLoop eventLoop;
  private final long fencingToken;
  private final Listener listener;
  private final TreeMap<String, Long> revisions = new TreeMap<>();
  private final EnumMap<Mutation.Priority, Deque<Mutation>> queues =
      new EnumMap<>(Mutation.Priority.class);

  /** Mutations of pages that are being divided. */
  private final Deque<Mutation> deferred = new ArrayDeque<>();

  private State state = State.IDLE;
  private PendingTransaction pending;
  private final Backoff backoff;
  private NotificationLog notificationLog = NotificationLog.DISABLED;

  /** What the owner of the records learns. */
  public interface Listener {
    /** Another holds the store, or this one can write no more. */
    void onFenced(String reason);

    /** Our key as the leader is gone or another's. */
    void onLeaderKeyGone();

    /**
     * A record that only this leader writes is not as it stored it, though its key as the leader
     * still stands: the state service has lost data.
     */
    void onDataLoss(String reason);

    /** A value that the limits before allowed was refused: the announced limits are in force. */
    void onLimitsLowered();

    /** This value is stored; null for a key that is gone. */
    void onStored(String key, JsonNode value, long revision);
  }

  private static final class PendingTransaction {
    final List<Mutation> mutations = new ArrayList<>();
    final Map<String, JsonNode> values = new HashMap<>();

    /** Pages of jobs that it changes, with what its mutations change there. */
    final Map<JobPages.Page, List<JobPages.Edit>> pageEdits = new LinkedHashMap<>();

    byte[] body;

    /** A copy of it was sent and not answered. */
    boolean ambiguous;

    /** The highest revision that was seen when it was sent last. */
    long highestRevisionWhenSent;
  }

  /**
   * The changes of one leader.
   *
   * @param version the revision of its key
   */
  public Committer(
      StoreClient storeClient, EventLoop eventLoop, long fencingToken, Listener listener) {
    this.storeClient = storeClient;
    this.eventLoop = eventLoop;
    this.fencingToken = fencingToken;
    this.listener = listener;
    this.backoff = new Backoff(eventLoop, INITIAL_RETRY_DELAY, MAX_RETRY_DELAY);
    for (Mutation.Priority priority : Mutation.Priority.values()) {
      queues.put(priority, new ArrayDeque<>());
    }
  }

  private void transitionTo(State next) {
    if (state != State.CLOSED) {
      state = next;
    }
  }

  /** Has notices numbered by the book, in the order in which they go into transactions. */
  public void setNotificationLog(NotificationLog log) {
    notificationLog = log;
  }

  /** Tells the revision of a key that was read. */
  public void restoreRevision(String key, long revision) {
    revisions.put(key, revision);
  }

  public void submit(Mutation mutation) {
    queues.get(mutation.priority()).addLast(mutation);
    if (state == State.IDLE) {
      // Changes decided by one message go together.
      transitionTo(State.WAITING);
      eventLoop.schedule(Duration.ofMillis(1), this::sendNext);
    }
  }

  public int pendingMutations() {
    int count = deferred.size() + (pending == null ? 0 : pending.mutations.size());
    for (Deque<Mutation> queue : queues.values()) {
      count += queue.size();
    }
    return count;
  }

  public void close() {
    transitionTo(State.CLOSED);
  }

  private void sendNext() {
    if (state == State.CLOSED) {
      return;
    }
    if (pending == null) {
      Instant now = eventLoop.now();
      int maxOperations =
          Math.min(storeClient.limits().transactionOps(), storeClient.writeBudget().available(now));
      pending = assemble(maxOperations);
      if (pending == null) {
        Integer cost = firstWaitingCost();
        if (cost == null) {
          transitionTo(State.IDLE);
        } else {
          transitionTo(State.WAITING);
          eventLoop.schedule(
              storeClient.writeBudget().delayUntilAvailable(cost, now).plusMillis(1),
              this::sendNext);
        }
        return;
      }
    }
    sendBatch();
  }

  /** A page was divided: what waited for that goes on, in the order in which it came. */
  public void requeueDeferred() {
    List<Mutation> resumed = new ArrayList<>(deferred);
    deferred.clear();
    requeue(resumed);
    if (state == State.IDLE) {
      transitionTo(State.WAITING);
      eventLoop.schedule(Duration.ofMillis(1), this::sendNext);
    }
  }

  private Integer firstWaitingCost() {
    for (Deque<Mutation> queue : queues.values()) {
      if (!queue.isEmpty()) {
        return operationCost(queue.peekFirst(), Collections.emptyMap());
      }
    }
    return null;
  }

  /** How many keys the mutation changes that the transaction does not change already. */
  private static int operationCost(
      Mutation mutation, Map<JobPages.Page, List<JobPages.Edit>> includedPages) {
    long additionalPages =
        mutation.pageEdits().stream()
            .map(JobPages.Edit::page)
            .filter(page -> !includedPages.containsKey(page))
            .distinct()
            .count();
    return mutation.writes().size() + (int) additionalPages;
  }

  private PendingTransaction assemble(int maxOperations) {
    PendingTransaction assembled = new PendingTransaction();
    notificationLog.beginTransaction();
    StoreWire.Transaction transaction =
        storeClient.transaction().require(RecordKeys.LEADER, fencingToken);
    Set<String> writtenKeys = new HashSet<>();
    int remainingOperations = maxOperations;
    int bytes = 0;
    int remainingConditions = 4 * storeClient.limits().transactionOps() - 2;
    for (Deque<Mutation> queue : queues.values()) {
      while (!queue.isEmpty()) {
        Mutation mutation = queue.peekFirst();
        if (!mutation.stillWanted().getAsBoolean()) {
          queue.pollFirst();
          continue;
        }
        if (mutation.pageEdits().stream().anyMatch(JobPages.Edit::mustWait)) {
          // Whoever divides the page has it tried again; what does not touch the page need not
          // wait.
          mutation.pageEdits().forEach(JobPages.Edit::defer);
          deferred.addLast(queue.pollFirst());
          continue;
        }
        int cost = operationCost(mutation, assembled.pageEdits);
        boolean repeats = mutation.writes().stream().anyMatch(w -> writtenKeys.contains(w.key()));
        if (cost > remainingOperations
            || repeats
            || cost + mutation.mustNotExist().size() > remainingConditions) {
          // Nothing of lower priority may overtake it, or it could starve.
          return assembled.mutations.isEmpty() ? null : seal(assembled, transaction);
        }
        int size = 0;
        Map<String, JsonNode> values = new HashMap<>();
        for (Mutation.Write write : mutation.writes()) {
          JsonNode value = write.value().get();
          values.put(write.key(), value);
          size += value == null ? 0 : Json.bytes(value).length;
        }
        for (JobPages.Edit edit : mutation.pageEdits()) {
          size += assembled.pageEdits.containsKey(edit.page()) ? 0 : edit.page().maxValueBytes();
        }
        if (!assembled.mutations.isEmpty() && bytes + size > MAX_TRANSACTION_BYTES) {
          return seal(assembled, transaction);
        }
        queue.pollFirst();
        bytes += size;
        remainingOperations -= cost;
        remainingConditions -= cost + mutation.mustNotExist().size();
        assembled.mutations.add(mutation);
        assembled.values.putAll(values);
        for (JobPages.Edit edit : mutation.pageEdits()) {
          edit.prepare();
          assembled.pageEdits.computeIfAbsent(edit.page(), p -> new ArrayList<>()).add(edit);
        }
        for (String key : mutation.mustNotExist()) {
          transaction.require(key, 0);
        }
        for (Mutation.Write write : mutation.writes()) {
          writtenKeys.add(write.key());
          transaction.require(write.key(), revisions.getOrDefault(write.key(), 0L));
          JsonNode value = values.get(write.key());
          if (value == null) {
            transaction.delete(write.key());
          } else {
            transaction.put(write.key(), value);
          }
        }
      }
    }
    return assembled.mutations.isEmpty() ? null : seal(assembled, transaction);
  }

  private PendingTransaction seal(PendingTransaction made, StoreWire.Transaction transaction) {
    made.pageEdits.forEach(
        (page, edits) -> {
          JsonNode value = page.render(edits);
          made.values.put(page.key, value);
          transaction.require(page.key, revisions.getOrDefault(page.key, 0L));
          transaction.put(page.key, value);
        });
    made.body = transaction.bytes();
    return made;
  }

  private void sendBatch() {
    transitionTo(State.IN_FLIGHT);
    pending.highestRevisionWhenSent = storeClient.highestRevision();
    storeClient.writeBudget().consume(pending.values.size(), eventLoop.now());
    storeClient.send(storeClient.post("/multi", pending.body), this::onReply);
  }

  private void onReply(Reply reply) {
    if (state == State.CLOSED) {
      return;
    }
    try {
      if (reply.is(200)) {
        long revision = StoreWire.parseRevision(reply.body());
        if (!storeClient.acceptCommitRevision(pending.highestRevisionWhenSent, revision)) {
          dataLost("the revision went back to " + revision);
          return;
        }
        committed(revision);
        return;
      }
      if (reply.is(409)) {
        List<String> failed =
            StoreWire.parseFailedConditions(reply.body(), storeClient.generation().prefix());
        if (failed.contains(RecordKeys.GENERATION)) {
          fenced("another generation of the records counts");
        } else if (failed.contains(RecordKeys.LEADER)) {
          transitionTo(State.CLOSED);
          listener.onLeaderKeyGone();
        } else if (pending.ambiguous) {
          resolveAmbiguity();
        } else {
          conditionsFailed(failed);
        }
        return;
      }
    } catch (MalformedMessageException e) {
      log.warn("the store answered {}", reply);
    }
    if (reply.is(400) && exceedsLimits()) {
      // A value as an earlier leader left it: the announced limits are in force by now.
      log.warn("the store refused a transaction that exceeds the announced limits");
      requeue(pending.mutations);
      pending = null;
      transitionTo(State.WAITING);
      listener.onLimitsLowered();
      storeClient.scheduleRetry(backoff, this::sendNext);
      return;
    }
    if (reply.is(400)) {
      fenced("the store refused a transaction as malformed: " + reply);
      return;
    }
    boolean notExecuted = reply.is(503) || reply.is(429) || reply.outcome() == Outcome.NOT_SENT;
    if (!notExecuted) {
      // No answer, or one that the protocol does not name: it may have been executed, or be yet.
      pending.ambiguous = true;
    } else if (!pending.ambiguous) {
      // Not executed, so what waits may be put together anew when the store is back.
      requeue(pending.mutations);
      pending = null;
    }
    transitionTo(State.WAITING);
    storeClient.scheduleRetry(backoff, this::sendNext);
  }

  /** Whether the transaction under way holds more than the announced limits allow. */
  private boolean exceedsLimits() {
    return !pending.ambiguous
        && pending.values.values().stream()
            .anyMatch(
                value ->
                    value != null && Json.bytes(value).length > storeClient.limits().valueBytes());
  }

  private void requeue(List<Mutation> mutations) {
    for (int i = mutations.size() - 1; i >= 0; i--) {
      Mutation mutation = mutations.get(i);
      queues.get(mutation.priority()).addFirst(mutation);
    }
  }

  private void committed(long revision) {
    PendingTransaction committed = pending;
    pending = null;
    backoff.reset();
    committed.values.forEach(
        (key, value) -> {
          // Final records are never written again; remembering them all would cost memory.
          if (value == null || key.startsWith(RecordKeys.FINAL_STATE)) {
            revisions.remove(key);
          } else {
            revisions.put(key, revision);
          }
          listener.onStored(key, value, revision);
        });
    transitionTo(State.WAITING);
    committed.pageEdits.forEach((page, edits) -> page.onCommitted(edits));
    notificationLog.onTransactionCommitted();
    for (Mutation mutation : committed.mutations) {
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
    for (Mutation mutation : refused.mutations) {
      boolean changed =
          mutation.writes().stream().anyMatch(w -> failed.contains(w.key()))
              || mutation.pageEdits().stream().anyMatch(e -> failed.contains(e.page().key));
      if (changed) {
        String reason = "a record changed under its owner: " + failed;
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
    requeue(retried);
    transitionTo(State.WAITING);
    existing.forEach(mutation -> mutation.onAlreadyExists().run());
    sendNext();
  }

  /**
   * A copy without a reply came before this refusal. Only this leader writes its own records, and
   * every transaction writes one, so any of them tells whether that copy was executed.
   */
  private void resolveAmbiguity() {
    transitionTo(State.RESOLVING);
    String ownKey = null;
    for (Map.Entry<String, JsonNode> change : pending.values.entrySet()) {
      // A deletion leaves no version to compare, unless there is nothing else.
      ownKey = ownKey == null || change.getValue() != null ? change.getKey() : ownKey;
    }
    String key = ownKey;
    storeClient.read(key, read -> onOwnRecordRead(key, read));
  }

  private void onOwnRecordRead(String key, StoreClient.Read read) {
    if (state == State.CLOSED) {
      return;
    }
    if (!read.certain()) {
      storeClient.scheduleRetry(backoff, this::resolveAmbiguity);
      return;
    }
    long found = read.found() ? read.entry().revision() : 0;
    long known = revisions.getOrDefault(key, 0L);
    if (found < known && pending.values.get(key) != null) {
      dataLost(key + " is missing or older than it was stored");
      return;
    }
    if (found != known) {
      confirmLeadership(read.revision());
      return;
    }
    // Not executed: put together anew, the next refusal names what stands in the way.
    pending.ambiguous = false;
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
          if (!read.certain()) {
            storeClient.scheduleRetry(backoff, this::resolveAmbiguity);
          } else if (read.found() && read.entry().revision() == fencingToken) {
            committed(revision);
          } else {
            fenced("another leader holds the store");
          }
        });
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
   * records and notes of them; all else is written by the leader alone.
   */
  private static boolean impliesDataLoss(List<String> keys) {
    return keys.stream()
        .anyMatch(k -> !k.startsWith(RecordKeys.UNPAGED_JOB) && !k.startsWith(RecordKeys.INBOX));
  }

  // ---- the audit

  /**
   * Compares records with what was stored, some at a time, in a transaction that changes nothing.
   *
   * @param after the last key compared before, or null
   * @param onDone told the last key compared now, or null at the end
   */
  public void audit(String after, Consumer<String> onDone) {
    if (state == State.CLOSED) {
      return;
    }
    TreeMap<String, Long> asked = new TreeMap<>();
    StoreWire.Transaction compare =
        storeClient.transaction().require(RecordKeys.LEADER, fencingToken);
    int most = Math.min(MAX_AUDITED_RECORDS, 4 * storeClient.limits().transactionOps() - 2);
    var rest = after == null ? revisions : revisions.tailMap(after, false);
    for (Map.Entry<String, Long> each : rest.entrySet()) {
      if (asked.size() == most) {
        break;
      }
      if (!isInFlight(each.getKey())) {
        asked.put(each.getKey(), each.getValue());
        compare.require(each.getKey(), each.getValue());
      }
    }
    String last = asked.size() < most ? null : asked.lastKey();
    storeClient.checkConditions(
        compare,
        failed -> {
          if (state == State.CLOSED) {
            return;
          }
          onDone.accept(failed == null ? after : last);
          if (failed != null) {
            onAudited(asked, failed);
          }
        });
  }

  private boolean isInFlight(String key) {
    return pending != null && pending.values.containsKey(key);
  }

  private void onAudited(Map<String, Long> asked, List<String> failed) {
    if (failed.contains(RecordKeys.GENERATION)) {
      fenced("another generation of the records counts");
      return;
    }
    if (failed.contains(RecordKeys.LEADER)) {
      transitionTo(State.CLOSED);
      listener.onLeaderKeyGone();
      return;
    }
    // What was written meanwhile differs, as it should.
    List<String> differ =
        failed.stream()
            .filter(k -> !isInFlight(k) && asked.get(k).equals(revisions.get(k)))
            .toList();
    if (impliesDataLoss(differ)) {
      dataLost("records are missing or older than they were stored: " + differ);
    }
  }
}
