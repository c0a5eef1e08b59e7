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
  private static final Duration SOON = Duration.ofSeconds(5);

  /** Between requests, which also spreads the reading of a large store over the time. */
  private static final Duration PACE = Duration.ofSeconds(1);

  /** A copy that was in step so long ago still tells which jobs are over in time. */
  private static final Duration FRESH = Duration.ofSeconds(6);

  /** Between two pages of final states that a leader compares with what it knows. */
  private static final Duration AUDIT = Duration.ofSeconds(5);

  /** Pages compared at a time. */
  private static final int MOST_COMPARED = 100;

  /** Behind by more the changes may take more memory than the records. */
  private static final Duration MOST_BEHIND = Duration.ofSeconds(10);

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
  private Instant readAt;

  /** Pages that differed when they were last compared, with the revision that this copy had. */
  private final Map<String, Long> differed = new HashMap<>();

  /** The last page compared, or null at the beginning. */
  private String comparedTo;

  /** The last final state compared, or null at the beginning. */
  private String endsTo;

  private int turn;

  /** Changes with the state, so that late answers are told apart. */
  private int round;

  /** What the node learns. */
  public interface Listener {
    /** The copy is whole; it may be a new one in the place of the one before. */
    void onCopy(RecordReplica whole);

    /** A record that was stored and that nobody removes is not there any more, or older. */
    void onMissing(String key);
  }

  public ReplicaFollower(StoreClient storeClient, EventLoop eventLoop, Listener listener) {
    this.storeClient = storeClient;
    this.eventLoop = eventLoop;
    this.listener = listener;
  }

  private void moveTo(State next) {
    state = next;
    differed.clear();
    comparedTo = null;
    endsTo = null;
    round++;
  }

  public State state() {
    return state;
  }

  /** Whether the copy shows what was stored up to a few seconds ago. */
  public boolean isFresh() {
    return state == State.FOLLOWING
        && replica.base() == storeClient.generation().base()
        && readAt.plus(FRESH).isAfter(eventLoop.now());
  }

  /** The records can be trusted, and this node does not lead: they are read and followed. */
  public void follow() {
    moveTo(State.LISTING);
    int of = round;
    replica = new RecordReplica(storeClient.generation().base());
    revision = -1;
    after(SOON, of, () -> list(of, "", null));
  }

  /**
   * This node leads from now on, and feeds the copy; final states stored before are read for it.
   */
  public void lead(RecordReplica fed) {
    boolean followed = state == State.FOLLOWING && fed == replica;
    replica = fed;
    moveTo(State.LEADING);
    int of = round;
    if (followed) {
      catchUp(of);
    } else {
      after(PACE, of, () -> list(of, RecordKeys.FINAL_STATE, null));
    }
  }

  /** Final states of the last moments before this node led; all else it has read by itself. */
  private void catchUp(int of) {
    storeClient.readChanges(
        revision,
        followed -> {
          if (of != round) {
            return;
          }
          StoreWire.Changes changes = followed.changes();
          if (changes == null) {
            after(PACE, of, () -> list(of, RecordKeys.FINAL_STATE, null));
            return;
          }
          changes.entries().stream()
              .filter(e -> e.key().startsWith(RecordKeys.FINAL_STATE))
              .forEach(e -> replica.put(e.key(), e.value(), e.version(), false));
          fed();
        });
  }

  /** Nothing is read until it is said again. */
  public void stop() {
    moveTo(State.OFF);
  }

  private void after(Duration pause, int of, Runnable action) {
    eventLoop.schedule(
        pause,
        () -> {
          if (of == round) {
            action.run();
          }
        });
  }

  private void list(int of, String prefix, String after) {
    storeClient.readPage(
        prefix,
        after,
        page -> {
          if (of != round) {
            return;
          }
          if (page == null) {
            after(PACE, of, () -> list(of, prefix, after));
            return;
          }
          boolean own = state == State.LISTING;
          revision = revision < 0 ? page.revision() : revision;
          page.entries().forEach(e -> replica.put(e.key(), e.value(), e.version(), own));
          if (page.next() != null) {
            after(PACE, of, () -> list(of, prefix, page.next()));
            return;
          }
          replica.endsRead();
          if (own) {
            replica.recordsRead();
            listener.onCopy(replica);
            readAt = eventLoop.now();
            moveTo(State.FOLLOWING);
            int now = round;
            after(PACE, now, () -> step(now));
          } else {
            fed();
          }
        });
  }

  /** All is read; from here on final states are compared with the store, a page at a time. */
  private void fed() {
    moveTo(State.FED);
    listener.onCopy(replica);
    int of = round;
    after(AUDIT, of, () -> audit(of, null));
  }

  private void audit(int of, String from) {
    auditPage(of, from, next -> after(AUDIT, of, () -> audit(of, next)));
  }

  /**
   * Compares a page of final states.
   *
   * @param then told after which the next page begins; null for the first
   */
  private void auditPage(int of, String after, Consumer<String> then) {
    storeClient.readPage(
        RecordKeys.FINAL_STATE,
        after == null ? null : RecordKeys.FINAL_STATE + after,
        page -> {
          if (of != round) {
            return;
          }
          String last = after;
          if (page != null) {
            Set<String> there = new HashSet<>();
            page.entries()
                .forEach(e -> there.add(e.key().substring(RecordKeys.FINAL_STATE.length())));
            String next = page.next();
            last = next == null ? null : next.substring(RecordKeys.FINAL_STATE.length());
            for (String job : replica.endsBetween(after, last)) {
              if (!there.contains(job)) {
                // It may have been stored after the page was read.
                confirm(of, RecordKeys.FINAL_STATE + job, 1);
                break;
              }
            }
          }
          then.accept(last);
        });
  }

  /** Every third request compares pages or final states in place of following. */
  private void step(int of) {
    turn = (turn + 1) % 6;
    if (turn == 0) {
      compare(of);
    } else if (turn == 3) {
      auditPage(
          of,
          endsTo,
          next -> {
            endsTo = next;
            after(PACE, of, () -> step(of));
          });
    } else {
      changes(of);
    }
  }

  /**
   * Compares pages with the store in a transaction that changes nothing. One that differs was
   * written meanwhile, or is lost: what differs twice while this copy has no newer one is read.
   */
  private void compare(int of) {
    int most = Math.min(MOST_COMPARED, 4 * storeClient.limits().transactionOps() - 1);
    SortedMap<String, Long> asked = replica.pages(comparedTo, most);
    comparedTo = asked.size() < most ? null : asked.lastKey();
    StoreWire.Transaction compare = storeClient.transaction();
    asked.forEach(compare::require);
    storeClient.checkConditions(
        compare,
        failed -> {
          if (of != round) {
            return;
          }
          for (String key : failed == null ? List.<String>of() : failed) {
            Long before = differed.put(key, asked.getOrDefault(key, 0L));
            if (before != null && before == replica.version(key) && asked.containsKey(key)) {
              confirm(of, key, replica.version(key));
            }
          }
          if (failed != null) {
            differed.keySet().removeIf(k -> asked.containsKey(k) && !failed.contains(k));
          }
          after(PACE, of, () -> step(of));
        });
  }

  /**
   * Reads a record that seems to be older than this revision, or missing; what it tells is certain.
   */
  private void confirm(int of, String key, long known) {
    storeClient.read(
        key,
        read -> {
          long found = read.found() ? read.entry().version() : 0;
          if (of == round && read.certain() && found < known) {
            listener.onMissing(key);
          }
        });
  }

  private void changes(int of) {
    Instant sent = eventLoop.now();
    storeClient.readChanges(
        revision,
        followed -> {
          if (of != round) {
            return;
          }
          StoreWire.Changes changes = followed.changes();
          if (changes != null) {
            revision = changes.revision();
            readAt = sent;
            changes.entries().forEach(e -> replica.put(e.key(), e.value(), e.version(), true));
            replica.reached(revision);
          } else if (followed.reply().is(410)
              || readAt.plus(MOST_BEHIND).isBefore(eventLoop.now()) && storeClient.isHealthy()) {
            follow();
            return;
          }
          after(PACE, of, () -> step(of));
        });
  }
}
