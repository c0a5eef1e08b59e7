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
 * Reconciles the jobs in the store with those in the leader's memory: jobs that other controllers
 * accepted without a leader are added, and their inbox entries and duplicate records removed. Event
 * thread only.
 */
public final class JobReconciler {
  private static final Logger log = LoggerFactory.getLogger(JobReconciler.class);
  private static final Duration INBOX_WATCH_TIMEOUT = Duration.ofSeconds(20);

  /** The term whose jobs are reconciled. */
  public interface Listener {
    /** Whether the term goes on; all work ends otherwise. */
    boolean isLeading();

    /** Whether this leader is storing the acceptance of the job. */
    boolean isAccepting(String id);

    /** A job was found in the store and is to be added to the memory. */
    void onJobFound(Job job);

    /** A job that is not in memory was found to have a final state. */
    void onFinalState(String id, Job.State state);

    /** A job's final state in this controller's replica; null when it has none. */
    Job.State finalState(String id);

    /** A record that another controller stored was read. */
    void onRecordRead(StoreWire.Entry entry);

    /** Whether a job without any record may have been lost, so that it is not certain. */
    boolean recordsMayBeIncomplete();
  }

  private final StoreClient storeClient;
  private final ClusterState cluster;
  private final Committer committer;
  private final Records records;
  private final Listener listener;
  private final Backoff backoff;

  /** Counts removals from memory; a read that began before the latest one may be outdated. */
  private long removalCount;

  /** Creates a reconciler; {@link #start} begins to watch the inbox. */
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

  /** A job was removed from memory. */
  public void onJobRemoved() {
    removalCount++;
  }

  /** Reconciles the inbox as it was read, and watches it from then on. */
  public void start(StoreClient.Listing inbox) {
    inbox.entries().forEach(this::reconcileInboxEntry);
    watchInbox(inbox.revision());
  }

  /** Watches for jobs that other controllers accept while they reach no leader. */
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
          } else if (followed.reply().hasStatus(410)) {
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
          if (lookup instanceof JobLookup.Uncertain) {
            // The entry stays until the job is certainly known here.
            storeClient.scheduleRetry(backoff, () -> reconcileInboxEntry(entry));
            return;
          }
          if (lookup instanceof JobLookup.Ended) {
            // Stored again after a data loss by a controller that did not know its final state.
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

  /** Looks a job up in memory, in the replica's final states and then, afresh, in the store. */
  public void lookUp(String id, Consumer<JobLookup> onDone) {
    if (cluster.jobs.containsKey(id)) {
      onDone.accept(new JobLookup.Found(cluster.jobs.get(id)));
      return;
    }
    if (listener.isAccepting(id)) {
      // The commit will show whether it is stored in a page; a record of its own may be a
      // duplicate.
      onDone.accept(JobLookup.UNCERTAIN);
      return;
    }
    Job.State finalState = listener.finalState(id);
    if (finalState != null) {
      listener.onFinalState(id, finalState);
      onDone.accept(new JobLookup.Ended(finalState));
      return;
    }
    long removalsBefore = removalCount;
    storeClient.read(
        RecordKeys.UNPAGED_JOB + id, read -> onRecordRead(id, read, removalsBefore, onDone));
  }

  private void onRecordRead(
      String id, StoreClient.ReadResult read, long removalsBefore, Consumer<JobLookup> onDone) {
    if (!listener.isLeading() || !read.succeeded() || listener.isAccepting(id)) {
      onDone.accept(JobLookup.UNCERTAIN);
      return;
    }
    Job known = cluster.jobs.get(id);
    if (known != null) {
      onDone.accept(new JobLookup.Found(known));
      return;
    }
    if (read.found() && removalCount != removalsBefore) {
      // The record may be of a job removed meanwhile, which must not end a second time.
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
      log.debug("Job accepted by another controller: job={}", id);
      onDone.accept(new JobLookup.Found(job));
    } catch (MalformedMessageException e) {
      log.error("Unreadable job record: job={} detail=\"{}\"", id, e.getMessage());
      onDone.accept(JobLookup.UNCERTAIN);
    }
  }

  /**
   * Reads whether another controller has stored a record of the job too, which is then removed with
   * the job.
   *
   * @param onDone called once that is known, while this controller leads
   */
  public void findDuplicateRecord(Job job, Runnable onDone) {
    String key = RecordKeys.UNPAGED_JOB + job.spec.id();
    storeClient.read(
        key,
        read -> {
          if (!listener.isLeading()) {
            return;
          }
          if (!read.succeeded()) {
            storeClient.scheduleRetry(backoff, () -> findDuplicateRecord(job, onDone));
            return;
          }
          if (read.found()) {
            committer.restoreRevision(key, read.entry().revision());
          }
          records.setHasUnpagedRecord(job, read.found());
          onDone.run();
        });
  }

  /** Calls back when the store certainly has neither a record nor a final state of the job. */
  public void ifUnknown(String id, Runnable onUnknown) {
    if (cluster.jobs.containsKey(id)
        || listener.isAccepting(id)
        || listener.finalState(id) != null) {
      return;
    }
    storeClient.read(
        RecordKeys.UNPAGED_JOB + id,
        own -> {
          if (own.found() || !own.succeeded() || !listener.isLeading()) {
            return;
          }
          storeClient.read(
              RecordKeys.FINAL_STATE + id,
              end -> {
                boolean gone = end.succeeded() && !end.found() && listener.isLeading();
                if (gone && !cluster.jobs.containsKey(id)) {
                  onUnknown.run();
                }
              });
        });
  }

  private void lookUpFinalState(String id, Consumer<JobLookup> onDone) {
    storeClient.read(
        RecordKeys.FINAL_STATE + id,
        read -> {
          if (!read.succeeded()) {
            onDone.accept(JobLookup.UNCERTAIN);
            return;
          }
          if (!read.found()) {
            onDone.accept(
                listener.recordsMayBeIncomplete() ? JobLookup.UNCERTAIN : JobLookup.NOT_FOUND);
            return;
          }
          try {
            Job.State finalState = RecordWire.parseFinalState(read.entry().value());
            listener.onFinalState(id, finalState);
            onDone.accept(new JobLookup.Ended(finalState));
          } catch (MalformedMessageException e) {
            log.error("Unreadable final state: job={} detail=\"{}\"", id, e.getMessage());
            onDone.accept(JobLookup.UNCERTAIN);
          }
        });
  }
}
