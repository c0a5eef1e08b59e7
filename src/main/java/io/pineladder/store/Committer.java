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
  private static final int MAX_BYTES = 48 * 1024;

  private static final Duration FIRST_RETRY = Duration.ofMillis(100);
  private static final Duration MOST_RETRY = Duration.ofSeconds(1);

  /** Records compared at a time; more would take the processor from what waits. */
  private static final int MOST_AUDITED = 100;

  /** Where the committer stands. */
  private enum State {
    IDLE,
    /** Waiting for the write budget or before another try. */
    WAITING,
    IN_FLIGHT,
    /** Reading back what a transaction without a reply did. */
    SETTLING,
    CLOSED
  }

  private final StoreClient storeClient;
  private final EventLoop eventLoop;
  private final long version;
  private final Listener listener;
  private final TreeMap<String, Long> versions = new TreeMap<>();
  private final EnumMap<Mutation.Priority, Deque<Mutation>> queues =
      new EnumMap<>(Mutation.Priority.class);

  /** Mutations of pages that are being divided. */
  private final Deque<Mutation> held = new ArrayDeque<>();

  private State state = State.IDLE;
  private Batch batch;
  private final Backoff retry;
  private NotificationLog notificationLog = NotificationLog.NONE;

  /** What the owner of the records learns. */
  public interface Listener {
    /** Another holds the store, or this one can write no more. */
    void onFenced(String reason);

    /** Our key as the leader is gone or another's. */
    void onKeyGone();

    /**
     * A record that only this leader writes is not as it stored it, though its key as the leader
     * still stands: the state service has lost data.
     */
    void onLost(String reason);

    /** A value that the limits before allowed was refused: the announced limits are in force. */
    void onLimitsLowered();

    /** This value is stored; null for a key that is gone. */
    void onStored(String key, JsonNode value, long revision);
  }

  private static final class Batch {
    final List<Mutation> mutations = new ArrayList<>();
    final Map<String, JsonNode> values = new HashMap<>();

    /** Pages of jobs that it changes, with what its mutations change there. */
    final Map<JobPages.Page, List<JobPages.Edit>> pages = new LinkedHashMap<>();

    byte[] body;

    /** A copy of it was sent and not answered. */
    boolean ambiguous;

    /** The highest revision that was seen when it was sent last. */
    long seen;
  }

  /**
   * The changes of one leader.
   *
   * @param version the revision of its key
   */
  public Committer(StoreClient storeClient, EventLoop eventLoop, long version, Listener listener) {
    this.storeClient = storeClient;
    this.eventLoop = eventLoop;
    this.version = version;
    this.listener = listener;
    this.retry = new Backoff(eventLoop, FIRST_RETRY, MOST_RETRY);
    for (Mutation.Priority priority : Mutation.Priority.values()) {
      queues.put(priority, new ArrayDeque<>());
    }
  }

  private void moveTo(State next) {
    if (state != State.CLOSED) {
      state = next;
    }
  }

  /** Has notices numbered by the book, in the order in which they go into transactions. */
  public void number(NotificationLog by) {
    notificationLog = by;
  }

  /** Tells the revision of a key that was read. */
  public void known(String key, long version) {
    versions.put(key, version);
  }

  public void submit(Mutation mutation) {
    queues.get(mutation.priority()).addLast(mutation);
    if (state == State.IDLE) {
      // Changes decided by one message go together.
      moveTo(State.WAITING);
      eventLoop.schedule(Duration.ofMillis(1), this::next);
    }
  }

  public int waiting() {
    int count = held.size() + (batch == null ? 0 : batch.mutations.size());
    for (Deque<Mutation> queue : queues.values()) {
      count += queue.size();
    }
    return count;
  }

  public void close() {
    moveTo(State.CLOSED);
  }

  private void next() {
    if (state == State.CLOSED) {
      return;
    }
    if (batch == null) {
      Instant now = eventLoop.now();
      int ops =
          Math.min(storeClient.limits().transactionOps(), storeClient.writes().available(now));
      batch = gather(ops);
      if (batch == null) {
        Integer least = leastWaiting();
        if (least == null) {
          moveTo(State.IDLE);
        } else {
          moveTo(State.WAITING);
          eventLoop.schedule(storeClient.writes().until(least, now).plusMillis(1), this::next);
        }
        return;
      }
    }
    sendBatch();
  }

  /** A page was divided: what waited for that goes on, in the order in which it came. */
  public void releaseHeld() {
    List<Mutation> released = new ArrayList<>(held);
    held.clear();
    requeue(released);
    if (state == State.IDLE) {
      moveTo(State.WAITING);
      eventLoop.schedule(Duration.ofMillis(1), this::next);
    }
  }

  private Integer leastWaiting() {
    for (Deque<Mutation> queue : queues.values()) {
      if (!queue.isEmpty()) {
        return cost(queue.peekFirst(), Collections.emptyMap());
      }
    }
    return null;
  }

  /** How many keys the mutation changes that the transaction does not change already. */
  private static int cost(Mutation mutation, Map<JobPages.Page, List<JobPages.Edit>> pages) {
    long more =
        mutation.edits().stream()
            .map(JobPages.Edit::page)
            .filter(page -> !pages.containsKey(page))
            .distinct()
            .count();
    return mutation.writes().size() + (int) more;
  }

  private Batch gather(int ops) {
    Batch made = new Batch();
    notificationLog.begin();
    StoreWire.Transaction transaction =
        storeClient.transaction().require(RecordKeys.LEADER, version);
    Set<String> keys = new HashSet<>();
    int left = ops;
    int bytes = 0;
    int conditions = 4 * storeClient.limits().transactionOps() - 2;
    for (Deque<Mutation> queue : queues.values()) {
      while (!queue.isEmpty()) {
        Mutation mutation = queue.peekFirst();
        if (!mutation.wanted().getAsBoolean()) {
          queue.pollFirst();
          continue;
        }
        if (mutation.edits().stream().anyMatch(JobPages.Edit::mustWait)) {
          // Whoever divides the page has it tried again; what does not touch the page need not
          // wait.
          mutation.edits().forEach(JobPages.Edit::held);
          held.addLast(queue.pollFirst());
          continue;
        }
        int wants = cost(mutation, made.pages);
        boolean repeats = mutation.writes().stream().anyMatch(w -> keys.contains(w.key()));
        if (wants > left || repeats || wants + mutation.absent().size() > conditions) {
          // Nothing of lower priority may overtake it, or it could starve.
          return made.mutations.isEmpty() ? null : finish(made, transaction);
        }
        int size = 0;
        Map<String, JsonNode> values = new HashMap<>();
        for (Mutation.Write write : mutation.writes()) {
          JsonNode value = write.value().get();
          values.put(write.key(), value);
          size += value == null ? 0 : Json.bytes(value).length;
        }
        for (JobPages.Edit edit : mutation.edits()) {
          size += made.pages.containsKey(edit.page()) ? 0 : edit.page().bytes();
        }
        if (!made.mutations.isEmpty() && bytes + size > MAX_BYTES) {
          return finish(made, transaction);
        }
        queue.pollFirst();
        bytes += size;
        left -= wants;
        conditions -= wants + mutation.absent().size();
        made.mutations.add(mutation);
        made.values.putAll(values);
        for (JobPages.Edit edit : mutation.edits()) {
          edit.fix();
          made.pages.computeIfAbsent(edit.page(), p -> new ArrayList<>()).add(edit);
        }
        for (String key : mutation.absent()) {
          transaction.require(key, 0);
        }
        for (Mutation.Write write : mutation.writes()) {
          keys.add(write.key());
          transaction.require(write.key(), versions.getOrDefault(write.key(), 0L));
          JsonNode value = values.get(write.key());
          if (value == null) {
            transaction.delete(write.key());
          } else {
            transaction.put(write.key(), value);
          }
        }
      }
    }
    return made.mutations.isEmpty() ? null : finish(made, transaction);
  }

  private Batch finish(Batch made, StoreWire.Transaction transaction) {
    made.pages.forEach(
        (page, edits) -> {
          JsonNode value = page.render(edits);
          made.values.put(page.key, value);
          transaction.require(page.key, versions.getOrDefault(page.key, 0L));
          transaction.put(page.key, value);
        });
    made.body = transaction.bytes();
    return made;
  }

  private void sendBatch() {
    moveTo(State.IN_FLIGHT);
    batch.seen = storeClient.seen();
    storeClient.writes().take(batch.values.size(), eventLoop.now());
    storeClient.send(storeClient.post("/multi", batch.body), this::onReply);
  }

  private void onReply(Reply reply) {
    if (state == State.CLOSED) {
      return;
    }
    try {
      if (reply.is(200)) {
        long revision = StoreWire.parseRevision(reply.body());
        if (!storeClient.isAhead(batch.seen, revision)) {
          lost("the revision went back to " + revision);
          return;
        }
        committed(revision);
        return;
      }
      if (reply.is(409)) {
        List<String> failed =
            StoreWire.parseFailed(reply.body(), storeClient.generation().prefix());
        if (failed.contains(RecordKeys.GENERATION)) {
          fenced("another generation of the records counts");
        } else if (failed.contains(RecordKeys.LEADER)) {
          moveTo(State.CLOSED);
          listener.onKeyGone();
        } else if (batch.ambiguous) {
          settle();
        } else {
          refused(failed);
        }
        return;
      }
    } catch (MalformedMessageException e) {
      log.warn("the store answered {}", reply);
    }
    if (reply.is(400) && exceedsLimits()) {
      // A value as an earlier leader left it: the announced limits are in force by now.
      log.warn("the store refused a transaction that exceeds the announced limits");
      requeue(batch.mutations);
      batch = null;
      moveTo(State.WAITING);
      listener.onLimitsLowered();
      storeClient.retry(retry, this::next);
      return;
    }
    if (reply.is(400)) {
      fenced("the store refused a transaction as malformed: " + reply);
      return;
    }
    boolean notExecuted = reply.is(503) || reply.is(429) || reply.outcome() == Outcome.NOT_SENT;
    if (!notExecuted) {
      // No answer, or one that the protocol does not name: it may have been executed, or be yet.
      batch.ambiguous = true;
    } else if (!batch.ambiguous) {
      // Not executed, so what waits may be put together anew when the store is back.
      requeue(batch.mutations);
      batch = null;
    }
    moveTo(State.WAITING);
    storeClient.retry(retry, this::next);
  }

  /** Whether the transaction under way holds more than the announced limits allow. */
  private boolean exceedsLimits() {
    return !batch.ambiguous
        && batch.values.values().stream()
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
    Batch over = batch;
    batch = null;
    retry.reset();
    over.values.forEach(
        (key, value) -> {
          // Final records are never written again; remembering them all would cost memory.
          if (value == null || key.startsWith(RecordKeys.END)) {
            versions.remove(key);
          } else {
            versions.put(key, revision);
          }
          listener.onStored(key, value, revision);
        });
    moveTo(State.WAITING);
    over.pages.forEach((page, edits) -> page.committed(edits));
    notificationLog.committed();
    for (Mutation mutation : over.mutations) {
      mutation.onCommitted().run();
    }
    next();
  }

  /** Nothing was executed: some conditions did not hold. */
  private void refused(List<String> failed) {
    Batch over = batch;
    batch = null;
    List<Mutation> again = new ArrayList<>();
    List<Mutation> existing = new ArrayList<>();
    for (Mutation mutation : over.mutations) {
      boolean changed =
          mutation.writes().stream().anyMatch(w -> failed.contains(w.key()))
              || mutation.edits().stream().anyMatch(e -> failed.contains(e.page().key));
      if (changed) {
        String reason = "a record changed under its owner: " + failed;
        if (onlyByLoss(failed)) {
          lost(reason);
        } else {
          fenced(reason);
        }
        return;
      }
      boolean exists = mutation.absent().stream().anyMatch(failed::contains);
      (exists ? existing : again).add(mutation);
    }
    requeue(again);
    moveTo(State.WAITING);
    existing.forEach(mutation -> mutation.onExists().run());
    next();
  }

  /**
   * A copy without a reply came before this refusal. Only this leader writes its own records, and
   * every transaction writes one, so any of them tells whether that copy was executed.
   */
  private void settle() {
    moveTo(State.SETTLING);
    String own = null;
    for (Map.Entry<String, JsonNode> change : batch.values.entrySet()) {
      // A deletion leaves no version to compare, unless there is nothing else.
      own = own == null || change.getValue() != null ? change.getKey() : own;
    }
    String key = own;
    storeClient.read(key, read -> onOwnRead(key, read));
  }

  private void onOwnRead(String key, StoreClient.Read read) {
    if (state == State.CLOSED) {
      return;
    }
    if (!read.certain()) {
      storeClient.retry(retry, this::settle);
      return;
    }
    long found = read.found() ? read.entry().version() : 0;
    long known = versions.getOrDefault(key, 0L);
    if (found < known && batch.values.get(key) != null) {
      lost(key + " is missing or older than it was stored");
      return;
    }
    if (found != known) {
      confirmOwn(read.revision());
      return;
    }
    // Not executed: put together anew, the next refusal names what stands in the way.
    batch.ambiguous = false;
    refused(List.of());
  }

  /**
   * A record of ours has changed. That was our copy only if no later leader can have written it: if
   * the leader's key, read after it, is still ours.
   */
  private void confirmOwn(long revision) {
    storeClient.read(
        RecordKeys.LEADER,
        read -> {
          if (state == State.CLOSED) {
            return;
          }
          if (!read.certain()) {
            storeClient.retry(retry, this::settle);
          } else if (read.found() && read.entry().version() == version) {
            committed(revision);
          } else {
            fenced("another leader holds the store");
          }
        });
  }

  private void fenced(String reason) {
    moveTo(State.CLOSED);
    listener.onFenced(reason);
  }

  private void lost(String reason) {
    moveTo(State.CLOSED);
    listener.onLost(reason);
  }

  /**
   * Whether a record of these can only differ because data was lost. Other nodes create jobs' own
   * records and notes of them; all else is written by the leader alone.
   */
  private static boolean onlyByLoss(List<String> keys) {
    return keys.stream()
        .anyMatch(k -> !k.startsWith(RecordKeys.JOB) && !k.startsWith(RecordKeys.INBOX));
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
    StoreWire.Transaction compare = storeClient.transaction().require(RecordKeys.LEADER, version);
    int most = Math.min(MOST_AUDITED, 4 * storeClient.limits().transactionOps() - 2);
    var rest = after == null ? versions : versions.tailMap(after, false);
    for (Map.Entry<String, Long> each : rest.entrySet()) {
      if (asked.size() == most) {
        break;
      }
      if (!isUnderWay(each.getKey())) {
        asked.put(each.getKey(), each.getValue());
        compare.require(each.getKey(), each.getValue());
      }
    }
    String last = asked.size() < most ? null : asked.lastKey();
    storeClient.compare(
        compare,
        failed -> {
          if (state == State.CLOSED) {
            return;
          }
          onDone.accept(failed == null ? after : last);
          if (failed != null) {
            audited(asked, failed);
          }
        });
  }

  private boolean isUnderWay(String key) {
    return batch != null && batch.values.containsKey(key);
  }

  private void audited(Map<String, Long> asked, List<String> failed) {
    if (failed.contains(RecordKeys.GENERATION)) {
      fenced("another generation of the records counts");
      return;
    }
    if (failed.contains(RecordKeys.LEADER)) {
      moveTo(State.CLOSED);
      listener.onKeyGone();
      return;
    }
    // What was written meanwhile differs, as it should.
    List<String> differ =
        failed.stream()
            .filter(k -> !isUnderWay(k) && asked.get(k).equals(versions.get(k)))
            .toList();
    if (onlyByLoss(differ)) {
      lost("records are missing or older than they were stored: " + differ);
    }
  }
}
