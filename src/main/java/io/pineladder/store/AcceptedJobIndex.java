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
 * An index of the jobs in leaders' pages, for a node that answers users without a leader. The pages
 * are read as a whole when the first user asks; from then on one request for the changes since
 * serves all callers that come while the one before is in flight.
 */
public final class AcceptedJobIndex {
  private static final Logger log = LoggerFactory.getLogger(AcceptedJobIndex.class);

  /** An index that is not used for this long is dropped, for its memory. */
  private static final Duration IDLE_EXPIRY = Duration.ofSeconds(60);

  /** The state of the index. */
  private enum State {
    /** Nothing is indexed. */
    EMPTY,
    /** The pages, or the changes since, are being read. */
    READING,
    /** Everything up to a revision is indexed. */
    LOADED
  }

  private final StoreClient storeClient;
  private final EventLoop eventLoop;
  private final Map<String, Map<String, IndexedJob>> pages = new HashMap<>();
  private State state = State.EMPTY;
  private long revision;
  private Instant lastUsedAt;

  /** Raised with each change of the generation, so that a late reply is recognized. */
  private int epoch;

  /** One timer checks whether the index is still in use, however often it is read. */
  private boolean expiryScheduled;

  /** Callers that came after the read in flight began, so that it is too early for them. */
  private List<Consumer<Boolean>> waitingCallers = new ArrayList<>();

  /** An empty index. */
  public AcceptedJobIndex(StoreClient storeClient, EventLoop eventLoop) {
    this.storeClient = storeClient;
    this.eventLoop = eventLoop;
  }

  /**
   * Brings the index up to date.
   *
   * @param onDone receives whether {@link #find} now answers as of a moment after this call
   */
  public void refresh(Consumer<Boolean> onDone) {
    lastUsedAt = eventLoop.now();
    waitingCallers.add(onDone);
    if (state != State.READING) {
      read();
    }
  }

  /** A job in a page, with the jobs that it depends on. */
  public record IndexedJob(Job.State state, List<String> prerequisites) {}

  /** The job as of the last refresh, or null when no page holds it. */
  public IndexedJob find(String id) {
    for (Map<String, IndexedJob> page : pages.values()) {
      IndexedJob found = page.get(id);
      if (found != null) {
        return found;
      }
    }
    return null;
  }

  /** Another generation is active: nothing is indexed of it, and a read in flight is of no use. */
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
    boolean empty = state == State.EMPTY;
    transitionTo(State.READING);
    if (empty) {
      readAll(callers);
    } else {
      readChanges(callers);
    }
  }

  private void readAll(List<Consumer<Boolean>> callers) {
    int readEpoch = epoch;
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
  }

  private void readChanges(List<Consumer<Boolean>> callers) {
    int readEpoch = epoch;
    storeClient.readChangesForUser(
        RecordKeys.JOB_PAGES,
        revision,
        response -> {
          if (readEpoch != epoch) {
            callers.forEach(each -> each.accept(false));
            return;
          }
          StoreWire.Changes changes = response.changes();
          if (changes != null) {
            revision = changes.revision();
            finish(indexPages(changes.entries()) ? State.LOADED : State.EMPTY, callers);
            return;
          }
          // 410: the index is too old to be brought up to date.
          finish(response.reply().hasStatus(410) ? State.EMPTY : State.LOADED, callers, false);
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

  /** Replaces the index of these pages; false when one cannot be decoded. */
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
      log.warn("Page of jobs cannot be decoded, index dropped: error={}", e.getMessage());
      return false;
    }
  }
}
