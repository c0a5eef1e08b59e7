package io.pineladder.replica;

import io.pineladder.model.Settings.StoreLimits;
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
 * Keeps a controller's replica up to date with the store, with one request per second, and compares
 * the two to detect lost records. A leader updates its replica by its own reads and commits; for it
 * only the final states of earlier terms are read here. Event thread only.
 */
public final class ReplicaFollower {
  /** Delay of the first request; leaves the request budget to the start of a controller or term. */
  private static final Duration INITIAL_DELAY = Duration.ofSeconds(5);

  /** The interval between requests; spreads the reading of a large store over time. */
  private static final Duration REQUEST_INTERVAL = Duration.ofSeconds(1);

  /** The maximum age of a replica that counts as fresh. */
  private static final Duration MAX_STALENESS = Duration.ofSeconds(6);

  /** The interval at which a leader compares pages of final states with the store. */
  private static final Duration AUDIT_INTERVAL = Duration.ofSeconds(5);

  /** Maximum number of pages in one comparison. */
  private static final int MAX_COMPARED_PAGES = 100;

  /** After a longer lag all records are listed again: the missed changes may take more memory. */
  private static final Duration MAX_LAG = Duration.ofSeconds(10);

  /** A follower's {@link #step} runs in cycles; steps without a constant read changes. */
  private static final int STEPS_PER_CYCLE = 6;

  private static final int COMPARE_STEP = 0;
  private static final int AUDIT_STEP = 3;

  /** How the replica is kept up to date. The admin API shows the names. */
  public enum State {
    /** Nothing is read because the records are not trusted. */
    OFF,
    /** All records are being read. */
    LISTING,
    /** Changes are read, and pages and final states are compared with the store. */
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

  /** Pages that differed in their latest comparison, with their version in the replica. */
  private final Map<String, Long> mismatchedPages = new HashMap<>();

  /** The page after which the next comparison begins; null for the first. */
  private String lastComparedPage;

  /** The job after which the next audit of final states begins; null for the first. */
  private String lastAuditedJob;

  private int stepCount;

  /** Incremented with each state change, to invalidate pending replies and timers. */
  private int currentSequence;

  /** Receives complete replicas and detected losses. */
  public interface Listener {
    /** The replica is complete; it may replace an earlier one. */
    void onReplicaComplete(RecordReplica complete);

    /** A record that is never removed is missing in the store or older than in the replica. */
    void onRecordMissing(String key);
  }

  /** Creates a follower in state {@link State#OFF}. */
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

  /** Whether the replica contains everything that was stored until {@link #MAX_STALENESS} ago. */
  public boolean isFresh() {
    return state == State.FOLLOWING
        && replica.base() == storeClient.generation().base()
        && upToDateAt.plus(MAX_STALENESS).isAfter(eventLoop.now());
  }

  /** The token of the revision up to which the replica has all changes; 0 if it is incomplete. */
  public long followedToken() {
    boolean complete =
        state == State.FOLLOWING && replica.base() == storeClient.generation().base();
    return complete ? storeClient.generation().token(revision) : 0;
  }

  /** Reads all records into a new replica, then follows the changes; for a non-leader. */
  public void follow() {
    transitionTo(State.LISTING);
    int sequence = currentSequence;
    replica = new RecordReplica(storeClient.generation().base());
    revision = -1;
    schedule(INITIAL_DELAY, sequence, () -> readPage(sequence, "", null));
  }

  /**
   * Prepares the replica of a new term of this controller.
   *
   * @param termReplica the replica that the term updates; final states of earlier terms are read
   *     into it
   */
  public void lead(RecordReplica termReplica) {
    boolean wasFollowing = state == State.FOLLOWING && termReplica == replica;
    replica = termReplica;
    transitionTo(State.LEADING);
    int sequence = currentSequence;
    if (wasFollowing) {
      catchUpFinalStates(sequence);
    } else {
      schedule(REQUEST_INTERVAL, sequence, () -> readPage(sequence, RecordKeys.FINAL_STATE, null));
    }
  }

  /** Reads the final states in the latest changes before the term; the term reads all others. */
  private void catchUpFinalStates(int sequence) {
    storeClient.readChanges(
        revision,
        result -> {
          if (sequence != currentSequence) {
            return;
          }
          StoreWire.Changes changes = result.changes();
          if (changes == null) {
            schedule(
                REQUEST_INTERVAL, sequence, () -> readPage(sequence, RecordKeys.FINAL_STATE, null));
            return;
          }
          changes.entries().stream()
              .filter(e -> e.key().startsWith(RecordKeys.FINAL_STATE))
              .forEach(e -> replica.put(e, RecordSource.CHANGES));
          startAudit();
        });
  }

  /** Stops reading until {@link #follow} or {@link #lead}. */
  public void stop() {
    transitionTo(State.OFF);
  }

  /** Schedules an action that is dropped if the state changes before it runs. */
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
          page.entries().forEach(e -> replica.put(e, RecordSource.FOLLOWER_LISTING));
          if (page.nextPageAfter() != null) {
            schedule(
                REQUEST_INTERVAL, sequence, () -> readPage(sequence, prefix, page.nextPageAfter()));
            return;
          }
          replica.markFinalStatesLoaded();
          if (listing) {
            replica.markRecordsLoaded();
            listener.onReplicaComplete(replica);
            upToDateAt = eventLoop.now();
            transitionTo(State.FOLLOWING);
            int followSequence = currentSequence;
            schedule(REQUEST_INTERVAL, followSequence, () -> step(followSequence));
          } else {
            startAudit();
          }
        });
  }

  /** Marks the leader's replica as complete and starts to compare final states with the store. */
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
   * @param after the job after which the page begins; null for the first page
   * @param onDone receives the job after which the next page begins; null for the first page
   */
  private void auditPage(int sequence, String after, Consumer<String> onDone) {
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
                // The state may have been stored after the page was read.
                confirmMissing(sequence, RecordKeys.FINAL_STATE + job, 1);
                break;
              }
            }
          }
          onDone.accept(lastJob);
        });
  }

  /** Sends one request; every third step compares pages or final states with the store. */
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
   * Compares the versions of pages with the store by a transaction that only has conditions. A page
   * that differs was written in the meantime or is lost; a page that differs in two comparisons
   * while its version in the replica is unchanged is read again.
   */
  private void comparePages(int sequence) {
    // One condition is used for the generation.
    int maxPages =
        Math.min(
            MAX_COMPARED_PAGES,
            StoreLimits.CONDITIONS_PER_OPERATION * storeClient.limits().transactionOps() - 1);
    SortedMap<String, Long> pages = replica.permanentPages(lastComparedPage, maxPages);
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
            Long previousVersion = mismatchedPages.put(key, pages.getOrDefault(key, 0L));
            if (previousVersion != null
                && previousVersion == replica.versionOf(key)
                && pages.containsKey(key)) {
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
   * Reads a record again and notifies the listener if it is missing or older.
   *
   * @param knownVersion the version in the replica
   */
  private void confirmMissing(int sequence, String key, long knownVersion) {
    storeClient.read(
        key,
        read -> {
          long storedVersion = read.found() ? read.entry().revision() : 0;
          if (sequence == currentSequence && read.succeeded() && storedVersion < knownVersion) {
            listener.onRecordMissing(key);
          }
        });
  }

  private void readChanges(int sequence) {
    Instant sentAt = eventLoop.now();
    storeClient.readChanges(
        revision,
        result -> {
          if (sequence != currentSequence) {
            return;
          }
          StoreWire.Changes changes = result.changes();
          if (changes != null) {
            revision = changes.revision();
            upToDateAt = sentAt;
            changes.entries().forEach(e -> replica.put(e, RecordSource.CHANGES));
            replica.advanceTo(revision);
          } else if (result.requiresListing()
              || (upToDateAt.plus(MAX_LAG).isBefore(eventLoop.now()) && storeClient.isHealthy())) {
            follow();
            return;
          }
          schedule(REQUEST_INTERVAL, sequence, () -> step(sequence));
        });
  }
}
