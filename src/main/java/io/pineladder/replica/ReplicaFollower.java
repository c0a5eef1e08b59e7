package io.pineladder.replica;

import io.pineladder.net.EventLoop;
import io.pineladder.store.RecordKeys;
import io.pineladder.store.StoreClient;
import io.pineladder.wire.StoreWire;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.function.Consumer;

/**
 * Keeps a controller's copy of the records in step with the store, by a request a second. A
 * leader's copy is fed by its own reads and commits; here only the final states of before are read
 * for it.
 */
public final class ReplicaFollower {
  /** A start and a new term have better things to do first. */
  private static final Duration INITIAL_DELAY = Duration.ofSeconds(5);

  /** Between requests, which also spreads the reading of a large store over the time. */
  private static final Duration REQUEST_INTERVAL = Duration.ofSeconds(1);

  /** A copy that was in step so long ago still tells which jobs are over in time. */
  private static final Duration MAX_STALENESS = Duration.ofSeconds(6);

  /** Between two pages of final states that a leader compares with what it knows. */
  private static final Duration AUDIT_INTERVAL = Duration.ofSeconds(5);

  /** Pages compared at a time. */
  private static final int MAX_COMPARED_PAGES = 100;

  /** Behind by more the changes may take more memory than the records. */
  private static final Duration MAX_LAG = Duration.ofSeconds(10);

  /** Where the copy stands. */
  public enum State {
    /** Nothing is read: the records are not to be trusted now. */
    OFF,
    /** The records are read as a whole. */
    LISTING,
    /** The changes are read. */
    FOLLOWING,
    /** This node leads: only final states are read. */
    LEADING,
    /** This node leads, and its copy is whole; final states are compared with the store. */
    FED
  }

  private final StoreClient storeClient;
  private final EventLoop eventLoop;
  private final Listener listener;
  private RecordReplica replica;
  private State state = State.OFF;
  private long revision;
  private Instant upToDateAt;

  /** Pages that differed when they were last compared, with the revision that this copy had. */
  private final Map<String, Long> mismatchedPages = new HashMap<>();

  /** The last page compared, or null at the beginning. */
  private String lastComparedPage;

  /** The last final state compared, or null at the beginning. */
  private String lastAuditedJob;

  private int stepCount;

  /** Changes with the state, so that late answers are told apart. */
  private int currentSequence;

  /** What the node learns. */
  public interface Listener {
    /** The copy is whole; it may be a new one in the place of the one before. */
    void onReplicaComplete(RecordReplica whole);

    /** A record that was stored and that nobody removes is not there any more, or older. */
    void onRecordMissing(String key);
  }

  public ReplicaFollower(StoreClient storeClient, EventLoop eventLoop, Listener listener) {
    this.storeClient = storeClient;
    this.eventLoop = eventLoop;
    this.listener = listener;
  }

  private void transitionTo(State next) {
    state = next;
    mismatchedPages.clear();
    lastComparedPage = null;
    lastAuditedJob = null;
    currentSequence++;
  }

  public State state() {
    return state;
  }

  /** Whether the copy shows what was stored up to a few seconds ago. */
  public boolean isFresh() {
    return state == State.FOLLOWING
        && replica.base() == storeClient.generation().base()
        && upToDateAt.plus(MAX_STALENESS).isAfter(eventLoop.now());
  }

  /** The records can be trusted, and this node does not lead: they are read and followed. */
  public void follow() {
    transitionTo(State.LISTING);
    int sequence = currentSequence;
    replica = new RecordReplica(storeClient.generation().base());
    revision = -1;
    schedule(INITIAL_DELAY, sequence, () -> readPage(sequence, "", null));
  }

  /**
   * This node leads from now on, and feeds the copy; final states stored before are read for it.
   */
  public void lead(RecordReplica fed) {
    boolean followed = state == State.FOLLOWING && fed == replica;
    replica = fed;
    transitionTo(State.LEADING);
    int sequence = currentSequence;
    if (followed) {
      catchUpFinalStates(sequence);
    } else {
      schedule(REQUEST_INTERVAL, sequence, () -> readPage(sequence, RecordKeys.FINAL_STATE, null));
    }
  }

  /** Final states of the last moments before this node led; all else it has read by itself. */
  private void catchUpFinalStates(int sequence) {
    storeClient.readChanges(
        revision,
        followed -> {
          if (sequence != currentSequence) {
            return;
          }
          StoreWire.Changes changes = followed.changes();
          if (changes == null) {
            schedule(
                REQUEST_INTERVAL, sequence, () -> readPage(sequence, RecordKeys.FINAL_STATE, null));
            return;
          }
          changes.entries().stream()
              .filter(e -> e.key().startsWith(RecordKeys.FINAL_STATE))
              .forEach(e -> replica.put(e.key(), e.value(), e.revision(), false));
          startAudit();
        });
  }

  /** Nothing is read until it is said again. */
  public void stop() {
    transitionTo(State.OFF);
  }

  private void schedule(Duration pause, int sequence, Runnable action) {
    eventLoop.schedule(
        pause,
        () -> {
          if (sequence == currentSequence) {
            action.run();
          }
        });
  }

  private void readPage(int sequence, String prefix, String after) {
    storeClient.readPage(
        prefix,
        after,
        page -> {
          if (sequence != currentSequence) {
            return;
          }
          if (page == null) {
            schedule(REQUEST_INTERVAL, sequence, () -> readPage(sequence, prefix, after));
            return;
          }
          boolean own = state == State.LISTING;
          revision = revision < 0 ? page.revision() : revision;
          page.entries().forEach(e -> replica.put(e.key(), e.value(), e.revision(), own));
          if (page.nextPageAfter() != null) {
            schedule(
                REQUEST_INTERVAL, sequence, () -> readPage(sequence, prefix, page.nextPageAfter()));
            return;
          }
          replica.finalStatesLoaded();
          if (own) {
            replica.recordsLoaded();
            listener.onReplicaComplete(replica);
            upToDateAt = eventLoop.now();
            transitionTo(State.FOLLOWING);
            int now = currentSequence;
            schedule(REQUEST_INTERVAL, now, () -> step(now));
          } else {
            startAudit();
          }
        });
  }

  /** All is read; from here on final states are compared with the store, a page at a time. */
  private void startAudit() {
    transitionTo(State.FED);
    listener.onReplicaComplete(replica);
    int sequence = currentSequence;
    schedule(AUDIT_INTERVAL, sequence, () -> audit(sequence, null));
  }

  private void audit(int sequence, String from) {
    auditPage(
        sequence, from, next -> schedule(AUDIT_INTERVAL, sequence, () -> audit(sequence, next)));
  }

  /**
   * Compares a page of final states.
   *
   * @param then told after which the next page begins; null for the first
   */
  private void auditPage(int sequence, String after, Consumer<String> then) {
    storeClient.readPage(
        RecordKeys.FINAL_STATE,
        after == null ? null : RecordKeys.FINAL_STATE + after,
        page -> {
          if (sequence != currentSequence) {
            return;
          }
          String last = after;
          if (page != null) {
            Set<String> there = new HashSet<>();
            page.entries()
                .forEach(e -> there.add(e.key().substring(RecordKeys.FINAL_STATE.length())));
            String next = page.nextPageAfter();
            last = next == null ? null : next.substring(RecordKeys.FINAL_STATE.length());
            for (String job : replica.finalStatesBetween(after, last)) {
              if (!there.contains(job)) {
                // It may have been stored after the page was read.
                confirmMissing(sequence, RecordKeys.FINAL_STATE + job, 1);
                break;
              }
            }
          }
          then.accept(last);
        });
  }

  /** Every third request compares pages or final states in place of following. */
  private void step(int sequence) {
    stepCount = (stepCount + 1) % 6;
    if (stepCount == 0) {
      comparePages(sequence);
    } else if (stepCount == 3) {
      auditPage(
          sequence,
          lastAuditedJob,
          next -> {
            lastAuditedJob = next;
            schedule(REQUEST_INTERVAL, sequence, () -> step(sequence));
          });
    } else {
      readChanges(sequence);
    }
  }

  /**
   * Compares pages with the store in a transaction that changes nothing. One that differs was
   * written meanwhile, or is lost: what differs twice while this copy has no newer one is read.
   */
  private void comparePages(int sequence) {
    int most = Math.min(MAX_COMPARED_PAGES, 4 * storeClient.limits().transactionOps() - 1);
    SortedMap<String, Long> asked = replica.neverRemovedPages(lastComparedPage, most);
    lastComparedPage = asked.size() < most ? null : asked.lastKey();
    StoreWire.Transaction compare = storeClient.transaction();
    asked.forEach(compare::require);
    storeClient.checkConditions(
        compare,
        failed -> {
          if (sequence != currentSequence) {
            return;
          }
          for (String key : failed == null ? List.<String>of() : failed) {
            Long before = mismatchedPages.put(key, asked.getOrDefault(key, 0L));
            if (before != null && before == replica.versionOf(key) && asked.containsKey(key)) {
              confirmMissing(sequence, key, replica.versionOf(key));
            }
          }
          if (failed != null) {
            mismatchedPages.keySet().removeIf(k -> asked.containsKey(k) && !failed.contains(k));
          }
          schedule(REQUEST_INTERVAL, sequence, () -> step(sequence));
        });
  }

  /**
   * Reads a record that seems to be older than this revision, or missing; what it tells is certain.
   */
  private void confirmMissing(int sequence, String key, long known) {
    storeClient.read(
        key,
        read -> {
          long found = read.found() ? read.entry().revision() : 0;
          if (sequence == currentSequence && read.certain() && found < known) {
            listener.onRecordMissing(key);
          }
        });
  }

  private void readChanges(int sequence) {
    Instant sent = eventLoop.now();
    storeClient.readChanges(
        revision,
        followed -> {
          if (sequence != currentSequence) {
            return;
          }
          StoreWire.Changes changes = followed.changes();
          if (changes != null) {
            revision = changes.revision();
            upToDateAt = sent;
            changes.entries().forEach(e -> replica.put(e.key(), e.value(), e.revision(), true));
            replica.advanceTo(revision);
          } else if (followed.reply().is(410)
              || upToDateAt.plus(MAX_LAG).isBefore(eventLoop.now()) && storeClient.isHealthy()) {
            follow();
            return;
          }
          schedule(REQUEST_INTERVAL, sequence, () -> step(sequence));
        });
  }
}
