package io.pineladder.reconciliation;

import io.pineladder.failover.TermLoader;
import io.pineladder.model.Job;
import io.pineladder.retry.Backoff;
import io.pineladder.scheduling.ClusterState;
import io.pineladder.store.Committer;
import io.pineladder.store.Mutation;
import io.pineladder.store.RecordKeys;
import io.pineladder.store.Records;
import io.pineladder.store.StoreClient;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.RecordWire;
import io.pineladder.wire.StoreWire;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes up jobs that are in the store and not in the leader's memory: other nodes accepted them.
 */
public final class JobReconciler {
  private static final Logger log = LoggerFactory.getLogger(JobReconciler.class);
  private static final Duration INBOX_WATCH_TIMEOUT = Duration.ofSeconds(20);

  /** What the term does with it. */
  public interface Listener {
    boolean isLeading();

    /** The job's acceptance by this leader is on its way to the store. */
    boolean isAccepting(String id);

    /** A job is taken up. */
    void onJobFound(Job job);

    /** A job was found to be over. */
    void onFinalState(String id, Job.State state);

    /** The final state of a job, as the copy of the records has it; null when it has none. */
    Job.State finalState(String id);

    /** A record of another node was read. */
    void onRecordRead(StoreWire.Entry entry);

    /**
     * Whether a job that nothing is known of may have been lost: then nothing certain can be said.
     */
    boolean recordsMayBeIncomplete();
  }

  private final StoreClient storeClient;
  private final ClusterState cluster;
  private final Committer committer;
  private final Records records;
  private final Listener listener;
  private final Backoff backoff;

  /** How many jobs have left the memory for good; a read that saw one before is too old then. */
  private long removalCount;

  public JobReconciler(
      StoreClient storeClient,
      ClusterState cluster,
      Committer committer,
      Records records,
      Listener listener) {
    this.storeClient = storeClient;
    this.cluster = cluster;
    this.committer = committer;
    this.records = records;
    this.listener = listener;
    this.backoff = storeClient.newBackoff();
  }

  /** A job has left the memory for good. */
  public void onJobRemoved() {
    removalCount++;
  }

  /** Begins with the inbox as it was read, and follows it. */
  public void start(StoreClient.Listing inbox) {
    inbox.entries().forEach(this::reconcileInboxEntry);
    watchInbox(inbox.revision());
  }

  /** Jobs that other nodes accepted while they could reach no leader. */
  private void watchInbox(long after) {
    if (!listener.isLeading()) {
      return;
    }
    storeClient.watch(
        RecordKeys.INBOX,
        after,
        INBOX_WATCH_TIMEOUT,
        followed -> {
          if (!listener.isLeading()) {
            return;
          }
          StoreWire.Changes changes = followed.changes();
          if (changes != null) {
            backoff.reset();
            changes.entries().stream()
                .filter(e -> e.value() != null)
                .forEach(this::reconcileInboxEntry);
            watchInbox(changes.revision());
          } else if (followed.reply().is(410)) {
            storeClient.listAll(
                RecordKeys.INBOX,
                listener::isLeading,
                inbox -> {
                  inbox.entries().forEach(this::reconcileInboxEntry);
                  watchInbox(inbox.revision());
                });
          } else {
            storeClient.scheduleRetry(backoff, () -> watchInbox(after));
          }
        });
  }

  private void reconcileInboxEntry(StoreWire.Entry entry) {
    if (!listener.isLeading()) {
      return;
    }
    String id = entry.key().substring(RecordKeys.INBOX.length());
    committer.restoreRevision(entry.key(), entry.revision());
    listener.onRecordRead(entry);
    lookUp(
        id,
        lookup -> {
          if (lookup == null) {
            // Without a certain answer the job may still be unknown here.
            storeClient.scheduleRetry(backoff, () -> reconcileInboxEntry(entry));
            return;
          }
          if (lookup.finalState() != null) {
            // Stored again after a loss by a node that did not know that it was over.
            deleteJobRecord(id);
          }
          deleteRecord(entry.key());
        });
  }

  private void deleteRecord(String key) {
    committer.submit(
        Mutation.of(
            Mutation.Priority.CLEANUP, List.of(new Mutation.Write(key, () -> null)), () -> {}));
  }

  private void deleteJobRecord(String id) {
    String key = RecordKeys.UNPAGED_JOB + id;
    storeClient.read(
        key,
        read -> {
          if (listener.isLeading() && read.found()) {
            committer.restoreRevision(key, read.entry().revision());
            deleteRecord(key);
          }
        });
  }

  /** Reads a job that is in the store but not in memory; null is no certain answer. */
  public void lookUp(String id, Consumer<Lookup> onDone) {
    if (cluster.jobs.containsKey(id)) {
      onDone.accept(new Lookup(cluster.jobs.get(id), null));
      return;
    }
    if (listener.isAccepting(id)) {
      // Whether it is stored in a page will show; a record of its own may be a second copy.
      onDone.accept(null);
      return;
    }
    Job.State ended = listener.finalState(id);
    if (ended != null) {
      listener.onFinalState(id, ended);
      onDone.accept(new Lookup(null, ended));
      return;
    }
    long before = removalCount;
    storeClient.read(
        RecordKeys.UNPAGED_JOB + id,
        read -> {
          if (!listener.isLeading() || !read.certain() || listener.isAccepting(id)) {
            onDone.accept(null);
            return;
          }
          Job known = cluster.jobs.get(id);
          if (known != null) {
            onDone.accept(new Lookup(known, null));
            return;
          }
          if (read.found() && removalCount != before) {
            // It may be a job that has left meanwhile: taken up again it would end twice.
            lookUp(id, onDone);
            return;
          }
          if (!read.found()) {
            lookUpFinalState(id, onDone);
            return;
          }
          try {
            Job job = TermLoader.toJob(read.entry().value());
            committer.restoreRevision(read.entry().key(), read.entry().revision());
            listener.onRecordRead(read.entry());
            listener.onJobFound(job);
            log.debug("job {} was accepted elsewhere", id);
            onDone.accept(new Lookup(job, null));
          } catch (MalformedMessageException e) {
            log.error("job {} cannot be read: {}", id, e.getMessage());
            onDone.accept(null);
          }
        });
  }

  /** Looks for the copy of a job's record that another node has stored, so that it goes too. */
  public void findDuplicateRecord(Job job, Runnable again) {
    String key = RecordKeys.UNPAGED_JOB + job.spec.id();
    storeClient.read(
        key,
        read -> {
          if (!listener.isLeading()) {
            return;
          }
          if (!read.certain()) {
            storeClient.scheduleRetry(backoff, () -> findDuplicateRecord(job, again));
            return;
          }
          if (read.found()) {
            committer.restoreRevision(key, read.entry().revision());
          }
          records.setHasUnpagedRecord(job, read.found());
          again.run();
        });
  }

  /** Tells when the store has no record of a job that is not in memory, nor of its end. */
  public void ifUnknown(String id, Runnable onUnknown) {
    if (cluster.jobs.containsKey(id)
        || listener.isAccepting(id)
        || listener.finalState(id) != null) {
      return;
    }
    storeClient.read(
        RecordKeys.UNPAGED_JOB + id,
        own -> {
          if (own.found() || !own.certain() || !listener.isLeading()) {
            return;
          }
          storeClient.read(
              RecordKeys.FINAL_STATE + id,
              end -> {
                boolean gone = end.certain() && !end.found() && listener.isLeading();
                if (gone && !cluster.jobs.containsKey(id)) {
                  onUnknown.run();
                }
              });
        });
  }

  /** What a look into the store gave: a live job, a final state, or neither. */
  public record Lookup(Job job, Job.State finalState) {}

  private void lookUpFinalState(String id, Consumer<Lookup> onDone) {
    storeClient.read(
        RecordKeys.FINAL_STATE + id,
        read -> {
          if (!read.certain()) {
            onDone.accept(null);
            return;
          }
          if (!read.found()) {
            onDone.accept(listener.recordsMayBeIncomplete() ? null : new Lookup(null, null));
            return;
          }
          try {
            Job.State ended = RecordWire.parseFinalState(read.entry().value());
            listener.onFinalState(id, ended);
            onDone.accept(new Lookup(null, ended));
          } catch (MalformedMessageException e) {
            onDone.accept(null);
          }
        });
  }
}
