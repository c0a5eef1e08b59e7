package io.pineladder.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.model.Job;
import io.pineladder.net.EventLoop;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.RecordWire;
import io.pineladder.wire.StoreWire;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Where the jobs stand that leaders accepted into pages, for a node that answers users without a
 * leader. The pages are read as a whole when the first user asks; from then on one request for the
 * changes since makes all answers fresh that are asked for while the one before is under way.
 */
public final class AcceptedJobIndex {
  private static final Logger log = LoggerFactory.getLogger(AcceptedJobIndex.class);

  /** Not asked for so long, it is given up, for its memory. */
  private static final Duration IDLE_EXPIRY = Duration.ofSeconds(60);

  /** Where the index stands. */
  private enum State {
    /** Nothing is known. */
    EMPTY,
    /** The pages, or the changes since, are being read. */
    READING,
    /** Everything up to a revision is known. */
    LOADED
  }

  private final StoreClient storeClient;
  private final EventLoop eventLoop;
  private final Map<String, Map<String, IndexedJob>> pages = new HashMap<>();
  private State state = State.EMPTY;
  private long revision;
  private Instant lastUsedAt;

  /** Changes with the generation that counts, so that a late answer is told apart. */
  private int epoch;

  /** One timer looks whether the index is still in use, however often it is read. */
  private boolean expiryScheduled;

  /** Those whose answer the read under way began too early for. */
  private List<Consumer<Boolean>> waitingCallers = new ArrayList<>();

  public AcceptedJobIndex(StoreClient storeClient, EventLoop eventLoop) {
    this.storeClient = storeClient;
    this.eventLoop = eventLoop;
  }

  /**
   * Makes the index fresh.
   *
   * @param onDone told whether {@link #find} now answers as of a moment after this call
   */
  public void refresh(Consumer<Boolean> onDone) {
    lastUsedAt = eventLoop.now();
    waitingCallers.add(onDone);
    if (state != State.READING) {
      read();
    }
  }

  /** A job in a page, with the jobs that it needs. */
  public record IndexedJob(Job.State state, List<String> prerequisites) {}

  /** The job as last read, or null when no page holds it. */
  public IndexedJob find(String id) {
    for (Map<String, IndexedJob> page : pages.values()) {
      IndexedJob found = page.get(id);
      if (found != null) {
        return found;
      }
    }
    return null;
  }

  /** Another generation counts: nothing is known of it, and what is being read is of no use. */
  public void invalidate() {
    epoch++;
    List<Consumer<Boolean>> callers = waitingCallers;
    waitingCallers = new ArrayList<>();
    transitionTo(State.EMPTY);
    callers.forEach(each -> each.accept(false));
  }

  private void transitionTo(State to) {
    if (to == State.EMPTY) {
      pages.clear();
    }
    state = to;
  }

  private void read() {
    List<Consumer<Boolean>> callers = waitingCallers;
    waitingCallers = new ArrayList<>();
    boolean whole = state == State.EMPTY;
    int readEpoch = epoch;
    transitionTo(State.READING);
    if (whole) {
      storeClient.listForUser(
          RecordKeys.JOB_PAGES,
          listing -> {
            if (readEpoch != epoch) {
              callers.forEach(each -> each.accept(false));
              return;
            }
            if (listing == null) {
              finish(State.EMPTY, callers);
              return;
            }
            revision = listing.revision();
            if (!indexPages(listing.entries())) {
              finish(State.EMPTY, callers);
              return;
            }
            // A job may have moved between pages while they were read one after another.
            transitionTo(State.LOADED);
            waitingCallers.addAll(0, callers);
            read();
          });
      return;
    }
    storeClient.readChangesForUser(
        RecordKeys.JOB_PAGES,
        revision,
        followed -> {
          if (readEpoch != epoch) {
            callers.forEach(each -> each.accept(false));
            return;
          }
          StoreWire.Changes changes = followed.changes();
          if (changes != null) {
            revision = changes.revision();
            finish(indexPages(changes.entries()) ? State.LOADED : State.EMPTY, callers);
            return;
          }
          // 410: what is known is too old to be brought up to date.
          finish(followed.reply().is(410) ? State.EMPTY : State.LOADED, callers, false);
        });
  }

  private void finish(State to, List<Consumer<Boolean>> callers) {
    finish(to, callers, to == State.LOADED);
  }

  private void finish(State to, List<Consumer<Boolean>> callers, boolean fresh) {
    transitionTo(to);
    callers.forEach(each -> each.accept(fresh));
    if (!waitingCallers.isEmpty() && state != State.READING) {
      read();
    } else if (state == State.LOADED && !expiryScheduled) {
      expiryScheduled = true;
      eventLoop.schedule(IDLE_EXPIRY, this::expire);
    }
  }

  private void expire() {
    Instant due = lastUsedAt.plus(IDLE_EXPIRY);
    if (due.isAfter(eventLoop.now())) {
      eventLoop.schedule(Duration.between(eventLoop.now(), due), this::expire);
      return;
    }
    expiryScheduled = false;
    if (state == State.LOADED) {
      transitionTo(State.EMPTY);
    }
  }

  private boolean indexPages(List<StoreWire.Entry> entries) {
    try {
      for (StoreWire.Entry entry : entries) {
        Map<String, IndexedJob> jobs = new HashMap<>();
        if (entry.value() != null) {
          for (JsonNode record : RecordWire.entries(entry.value())) {
            RecordWire.StoredJob job = RecordWire.parseJob(record);
            jobs.put(job.spec().id(), new IndexedJob(job.state(), job.spec().prerequisites()));
          }
        }
        pages.put(entry.key(), jobs);
      }
      return true;
    } catch (MalformedMessageException e) {
      log.warn("a page of accepted jobs cannot be read: {}", e.getMessage());
      return false;
    }
  }
}
