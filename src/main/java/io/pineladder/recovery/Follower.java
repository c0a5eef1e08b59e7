package io.pineladder.recovery;

import io.pineladder.net.Timeline;
import io.pineladder.store.Keys;
import io.pineladder.store.StoreClient;
import io.pineladder.wire.StoreWire;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Set;

/**
 * Keeps a controller's copy of the records in step with the store, by a request a second. A leader's
 * copy is fed by its own reads and commits; here only the final states of before are read for it.
 */
public final class Follower {
  /** A start and a new term have better things to do first. */
  private static final Duration SOON = Duration.ofSeconds(5);

  /** Between requests, which also spreads the reading of a large store over the time. */
  private static final Duration PACE = Duration.ofSeconds(1);

  /** Between two pages of final states that a leader compares with what it knows. */
  private static final Duration AUDIT = Duration.ofSeconds(5);

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

  private final StoreClient store;
  private final Timeline time;
  private final Listener listener;
  private LiveCopy copy;
  private State state = State.OFF;
  private long revision;
  private Instant readAt;

  /** Changes with the state, so that late answers are told apart. */
  private int round;

  /** What the node learns. */
  public interface Listener {
    /** A whole new copy takes the place of the one before. */
    void onCopy(LiveCopy whole);

    /** A final state that was stored is not there any more: they are never removed. */
    void onMissing(String job);
  }

  public Follower(StoreClient store, Timeline time, Listener listener) {
    this.store = store;
    this.time = time;
    this.listener = listener;
  }

  private void moveTo(State next) {
    state = next;
    round++;
  }

  public State state() {
    return state;
  }

  /** The records can be trusted, and this node does not lead: they are read and followed. */
  public void follow() {
    moveTo(State.LISTING);
    int of = round;
    copy = new LiveCopy(store.generation().base());
    revision = -1;
    after(SOON, of, () -> list(of, "", null));
  }

  /** This node leads from now on, and feeds the copy; final states stored before are read for it. */
  public void lead(LiveCopy fed) {
    boolean followed = state == State.FOLLOWING && fed == copy;
    copy = fed;
    if (!followed && fed.knowsEnds()) {
      fed();
      return;
    }
    moveTo(State.LEADING);
    int of = round;
    if (followed) {
      catchUp(of);
    } else {
      after(SOON, of, () -> list(of, Keys.END, null));
    }
  }

  /** Final states of the last moments before this node led; all else it has read by itself. */
  private void catchUp(int of) {
    store.changes(
        revision,
        followed -> {
          if (of != round) {
            return;
          }
          StoreWire.Changes changes = followed.changes();
          if (changes == null) {
            after(PACE, of, () -> list(of, Keys.END, null));
            return;
          }
          changes.entries().stream()
              .filter(e -> e.key().startsWith(Keys.END))
              .forEach(e -> copy.put(e.key(), e.value(), e.version(), false));
          fed();
        });
  }

  /** Nothing is read until it is said again. */
  public void stop() {
    moveTo(State.OFF);
  }

  private void after(Duration pause, int of, Runnable action) {
    time.after(
        pause,
        () -> {
          if (of == round) {
            action.run();
          }
        });
  }

  private void list(int of, String prefix, String after) {
    store.page(
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
          page.entries().forEach(e -> copy.put(e.key(), e.value(), e.version(), own));
          if (page.more() && !page.entries().isEmpty()) {
            String last = page.entries().get(page.entries().size() - 1).key();
            after(PACE, of, () -> list(of, prefix, last));
            return;
          }
          copy.endsRead();
          if (own) {
            copy.recordsRead();
            listener.onCopy(copy);
            readAt = time.now();
            moveTo(State.FOLLOWING);
            int now = round;
            after(PACE, now, () -> changes(now));
          } else {
            fed();
          }
        });
  }

  /** All is read; from here on final states are compared with the store, a page at a time. */
  private void fed() {
    moveTo(State.FED);
    int of = round;
    after(AUDIT, of, () -> audit(of, null));
  }

  private void audit(int of, String after) {
    store.page(
        Keys.END,
        after == null ? null : Keys.END + after,
        page -> {
          if (of != round) {
            return;
          }
          String last = after;
          if (page != null) {
            Set<String> there = new HashSet<>();
            page.entries().forEach(e -> there.add(e.key().substring(Keys.END.length())));
            boolean more = page.more() && !page.entries().isEmpty();
            last =
                more
                    ? page.entries()
                        .get(page.entries().size() - 1)
                        .key()
                        .substring(Keys.END.length())
                    : null;
            for (String job : copy.endsBetween(after, last)) {
              if (!there.contains(job)) {
                confirmMissing(of, job);
                break;
              }
            }
          }
          String next = last;
          after(AUDIT, of, () -> audit(of, next));
        });
  }

  /** It may have been stored after the page was read; what it tells now is certain. */
  private void confirmMissing(int of, String job) {
    store.read(
        Keys.END + job,
        read -> {
          if (of == round && read.certain() && !read.found()) {
            listener.onMissing(job);
          }
        });
  }

  private void changes(int of) {
    Instant sent = time.now();
    store.changes(
        revision,
        followed -> {
          if (of != round) {
            return;
          }
          StoreWire.Changes changes = followed.changes();
          if (changes != null) {
            revision = changes.revision();
            readAt = sent;
            changes.entries().forEach(e -> copy.put(e.key(), e.value(), e.version(), true));
            copy.reached(revision);
          } else if (followed.reply().is(410)
              || readAt.plus(MOST_BEHIND).isBefore(time.now()) && store.isHealthy()) {
            follow();
            return;
          }
          after(PACE, of, () -> changes(of));
        });
  }
}
