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
 * Keeps a controller's replica up to date with the store, by one request a second, and compares it
 * with the store to detect lost records. A leader's replica is fed by its own reads and commits;
 * for it only the final states of earlier terms are read here. Event thread only.
 */
public final class ReplicaFollower {
  /** Leaves the request budget to the start of a controller or of a term first. */
  private static final Duration INITIAL_DELAY = Duration.ofSeconds(5);

  /** Between requests; also spreads the reading of a large store over time. */
  private static final Duration REQUEST_INTERVAL = Duration.ofSeconds(1);

  /** The age up to which a replica shows in time which jobs have ended. */
  private static final Duration MAX_STALENESS = Duration.ofSeconds(6);

  /** Between two pages of final states that a leader compares with the store. */
  private static final Duration AUDIT_INTERVAL = Duration.ofSeconds(5);

  /** The number of pages in one comparison. */
  private static final int MAX_COMPARED_PAGES = 100;

  /** After a longer lag the changes may take more memory than the records. */
  private static final Duration MAX_LAG = Duration.ofSeconds(10);

  /** What a follower's {@link #step} does, in turn; all other steps read changes. */
  private static final int STEPS_PER_CYCLE = 6;

  private static final int COMPARE_STEP = 0;
  private static final int AUDIT_STEP = 3;

  /** How the replica is kept up to date. The admin API shows the names. */
  public enum State {
    /** Nothing is read, since the records are not trusted. */
    OFF,
    /** All records are being read. */
    LISTING,
    /** Changes are read, and pages and final states compared with the store. */
    FOLLOWING,
    /** This controller leads; the final states of earlier terms are being read. */
    LEADING,
    /** This controller leads with a complete replica; final states are compared with the store. */
    FED
  }

  private final StoreClient storeClient;
  private final EventLoop eventLoop;
  private final Listener listener;
  private RecordReplica replica;
  private State state = State.OFF;
  private long revision;
  private Instant upToDateAt;

  /** Pages that differed in their latest comparison, with the version in the replica then. */
  private final Map<String, Long> mismatchedPages = new HashMap<>();

  /** The page after which the next comparison begins; null for the first. */
  private String lastComparedPage;

  /** The job after which the next audit of final states begins; null for the first. */
  private String lastAuditedJob;

  private int stepCount;

  /** Incremented with each change of the state, which invalidates replies and timers. */
  private int currentSequence;

  /** Receives the replica and what it shows. */
  public interface Listener {
    /** The replica is complete; it may replace an earlier one. */
    void onReplicaComplete(RecordReplica complete);

    /** A record that is never removed is missing in the store, or older than it was seen. */
    void onRecordMissing(String key);
  }

  /** Creates a follower, which is off. */
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

  /** The current state. */
  public State state() {
    return state;
  }

  /** Whether the replica shows everything stored up to a few seconds ago. */
  public boolean isFresh() {
    return state == State.FOLLOWING
        && replica.base() == storeClient.generation().base()
        && upToDateAt.plus(MAX_STALENESS).isAfter(eventLoop.now());
  }

  /** Reads all records into a new replica and then follows the changes; for a non-leader. */
  public void follow() {
    transitionTo(State.LISTING);
    int sequence = currentSequence;
    replica = new RecordReplica(storeClient.generation().base());
    revision = -1;
    schedule(INITIAL_DELAY, sequence, () -> readPage(sequence, "", null));
  }

  /**
   * This controller leads from now on.
   *
   * @param fed the replica that the term feeds; final states of earlier terms are read into it
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

  /** Reads the latest changes before the term; only the final states are not read by the term. */
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

  /** Stops reading until {@link #follow} or {@link #lead}. */
  public void stop() {
    transitionTo(State.OFF);
  }

  /** Schedules an action, which is dropped when the state has changed by then. */
  private void schedule(Duration delay, int sequence, Runnable action) {
    eventLoop.schedule(
        delay,
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
          boolean listing = state == State.LISTING;
          revision = revision < 0 ? page.revision() : revision;
          page.entries().forEach(e -> replica.put(e.key(), e.value(), e.revision(), listing));
          if (page.nextPageAfter() != null) {
            schedule(
                REQUEST_INTERVAL, sequence, () -> readPage(sequence, prefix, page.nextPageAfter()));
            return;
          }
          replica.finalStatesLoaded();
          if (listing) {
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

  /** The leader's replica is complete; compares final states with the store from now on. */
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
   * Compares one page of final states with the store.
   *
   * @param after the job after which the page begins; null for the first
   * @param then receives the job after which the next page begins; null for the first
   */
  private void auditPage(int sequence, String after, Consumer<String> then) {
    storeClient.readPage(
        RecordKeys.FINAL_STATE,
        after == null ? null : RecordKeys.FINAL_STATE + after,
        page -> {
          if (sequence != currentSequence) {
            return;
          }
          String lastJob = after;
          if (page != null) {
            Set<String> storedJobs = new HashSet<>();
            page.entries()
                .forEach(e -> storedJobs.add(e.key().substring(RecordKeys.FINAL_STATE.length())));
            String next = page.nextPageAfter();
            lastJob = next == null ? null : next.substring(RecordKeys.FINAL_STATE.length());
            for (String job : replica.finalStatesBetween(after, lastJob)) {
              if (!storedJobs.contains(job)) {
                // It may have been stored after the page was read, so it is read again.
                confirmMissing(sequence, RecordKeys.FINAL_STATE + job, 1);
                break;
              }
            }
          }
          then.accept(lastJob);
        });
  }

  /** One request; every third compares pages or final states instead of reading changes. */
  private void step(int sequence) {
    stepCount = (stepCount + 1) % STEPS_PER_CYCLE;
    if (stepCount == COMPARE_STEP) {
      comparePages(sequence);
    } else if (stepCount == AUDIT_STEP) {
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
   * Compares the versions of pages with the store in a transaction that changes nothing. A page
   * that differs was written meanwhile or is lost; one that differs twice, without a newer version
   * in the replica, is read.
   */
  private void comparePages(int sequence) {
    int maxPages = Math.min(MAX_COMPARED_PAGES, 4 * storeClient.limits().transactionOps() - 1);
    SortedMap<String, Long> pages = replica.neverRemovedPages(lastComparedPage, maxPages);
    lastComparedPage = pages.size() < maxPages ? null : pages.lastKey();
    StoreWire.Transaction compare = storeClient.transaction();
    pages.forEach(compare::require);
    storeClient.checkConditions(
        compare,
        failed -> {
          if (sequence != currentSequence) {
            return;
          }
          for (String key : failed == null ? List.<String>of() : failed) {
            Long before = mismatchedPages.put(key, pages.getOrDefault(key, 0L));
            if (before != null && before == replica.versionOf(key) && pages.containsKey(key)) {
              confirmMissing(sequence, key, replica.versionOf(key));
            }
          }
          if (failed != null) {
            mismatchedPages.keySet().removeIf(k -> pages.containsKey(k) && !failed.contains(k));
          }
          schedule(REQUEST_INTERVAL, sequence, () -> step(sequence));
        });
  }

  /**
   * Reads a record afresh and reports it when it is missing or older.
   *
   * @param known the version that the replica has seen
   */
  private void confirmMissing(int sequence, String key, long known) {
    storeClient.read(
        key,
        read -> {
          long found = read.found() ? read.entry().revision() : 0;
          if (sequence == currentSequence && read.succeeded() && found < known) {
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
          } else if (followed.reply().hasStatus(410)
              || (upToDateAt.plus(MAX_LAG).isBefore(eventLoop.now()) && storeClient.isHealthy())) {
            follow();
            return;
          }
          schedule(REQUEST_INTERVAL, sequence, () -> step(sequence));
        });
  }
}
