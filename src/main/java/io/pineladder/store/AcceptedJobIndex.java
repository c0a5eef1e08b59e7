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
 * Index of the jobs in the job pages, for a controller that serves users while there is no leader.
 * The first refresh reads all pages; later ones read only the changes since. Callers that arrive
 * while a read is in flight share the next one, which waits until the budget of user reads allows
 * it.
 */
public final class AcceptedJobIndex {
  private static final Logger log = LoggerFactory.getLogger(AcceptedJobIndex.class);

  /** An index that is not used for this long is dropped to free its memory. */
  private static final Duration IDLE_EXPIRY = Duration.ofSeconds(60);

  private enum State {
    /** Nothing is indexed. */
    EMPTY,
    /** The pages, or the changes since, are being read. */
    READING,
    /** The index covers everything up to the last revision read. */
    LOADED
  }

  private final StoreClient storeClient;
  private final EventLoop eventLoop;
  private final Map<String, Map<String, IndexedJob>> pages = new HashMap<>();
  private State state = State.EMPTY;
  private long revision;
  private Instant lastUsedAt;

  /** Incremented when the generation changes, so that replies from an earlier one are ignored. */
  private int generationEpoch;

  /** Whether a read is due once the budget allows; it serves all callers until then. */
  private boolean readScheduled;

  /** Whether the expiry timer is set; at most one is. */
  private boolean expiryScheduled;

  /** Callers that arrived after the read in flight began; the next read serves them. */
  private List<Consumer<Boolean>> waitingCallers = new ArrayList<>();

  /** Creates an empty index. */
  public AcceptedJobIndex(StoreClient storeClient, EventLoop eventLoop) {
    this.storeClient = storeClient;
    this.eventLoop = eventLoop;
  }

  /**
   * Brings the index up to date.
   *
   * @param onDone receives whether the index now reflects a state no older than this call
   */
  public void refresh(Consumer<Boolean> onDone) {
    lastUsedAt = eventLoop.now();
    waitingCallers.add(onDone);
    if (state != State.READING) {
      scheduleRead();
    }
  }

  /** A job in a page, with the IDs of the jobs that it depends on. */
  public record IndexedJob(Job.State state, List<String> prerequisites) {}

  /** The revision that the index reflects. */
  public long revision() {
    return revision;
  }

  /** Returns the job as of the last refresh, or null when no page contains it. */
  public IndexedJob find(String id) {
    for (Map<String, IndexedJob> page : pages.values()) {
      IndexedJob found = page.get(id);
      if (found != null) {
        return found;
      }
    }
    return null;
  }

  /** Clears the index and fails waiting callers, because another generation is active. */
  public void invalidate() {
    generationEpoch++;
    List<Consumer<Boolean>> callers = waitingCallers;
    waitingCallers = new ArrayList<>();
    transitionTo(State.EMPTY);
    callers.forEach(caller -> caller.accept(false));
  }

  private void transitionTo(State to) {
    if (to == State.EMPTY) {
      pages.clear();
    }
    state = to;
  }

  private void scheduleRead() {
    if (!readScheduled) {
      readScheduled = true;
      storeClient.runWhenUserReadAllowed(
          () -> {
            readScheduled = false;
            if (state != State.READING && !waitingCallers.isEmpty()) {
              read();
            }
          });
    }
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
    int readEpoch = generationEpoch;
    storeClient.listForUsers(
        RecordKeys.JOB_PAGES,
        listing -> {
          if (readEpoch != generationEpoch) {
            callers.forEach(caller -> caller.accept(false));
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
          log.info(
              "Job pages read without a leader: pages={} jobs={} revision={}",
              pages.size(),
              pages.values().stream().mapToInt(Map::size).sum(),
              revision);
          // The pages are not read atomically: a job may have moved between two reads.
          transitionTo(State.LOADED);
          waitingCallers.addAll(0, callers);
          read();
        });
  }

  private void readChanges(List<Consumer<Boolean>> callers) {
    int readEpoch = generationEpoch;
    storeClient.readChangesForUsers(
        RecordKeys.JOB_PAGES,
        revision,
        response -> {
          if (readEpoch != generationEpoch) {
            callers.forEach(caller -> caller.accept(false));
            return;
          }
          StoreWire.Changes changes = response.changes();
          if (changes != null) {
            revision = changes.revision();
            finish(indexPages(changes.entries()) ? State.LOADED : State.EMPTY, callers);
            return;
          }
          finish(response.requiresListing() ? State.EMPTY : State.LOADED, callers, false);
        });
  }

  private void finish(State to, List<Consumer<Boolean>> callers) {
    finish(to, callers, to == State.LOADED);
  }

  private void finish(State to, List<Consumer<Boolean>> callers, boolean fresh) {
    transitionTo(to);
    callers.forEach(caller -> caller.accept(fresh));
    if (!waitingCallers.isEmpty() && state != State.READING) {
      scheduleRead();
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

  /** Indexes these pages again; returns false when one of them cannot be decoded. */
  private boolean indexPages(List<StoreWire.Entry> entries) {
    try {
      for (StoreWire.Entry entry : entries) {
        Map<String, IndexedJob> jobs = new HashMap<>();
        if (!entry.isDeletion()) {
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
