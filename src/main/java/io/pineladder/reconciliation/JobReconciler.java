package io.pineladder.reconciliation;

import io.pineladder.failover.TermLoader;
import io.pineladder.model.Job;
import io.pineladder.net.DetachableCallback;
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
 * Reconciles the jobs in the store with those in the leader's memory: adds jobs that other
 * controllers accepted without a leader, and removes their inbox entries and obsolete records.
 * Event thread only.
 */
public final class JobReconciler {
  private static final Logger log = LoggerFactory.getLogger(JobReconciler.class);
  private static final Duration INBOX_WATCH_TIMEOUT = Duration.ofSeconds(20);

  /** The term whose jobs are reconciled. */
  public interface Listener {
    /** Whether the term continues; reconciliation ends otherwise. */
    boolean isLeading();

    /** Whether this leader's write of the job's acceptance is pending. */
    boolean isAccepting(String id);

    /** A job was found in the store and must be added to memory. */
    void onJobFound(Job job);

    /** A job that is not in memory was found to have a final state. */
    void onFinalState(String id, Job.State state);

    /** A job's final state in this controller's replica; null when there is none. */
    Job.State finalState(String id);

    /** A record that another controller stored was read. */
    void onRecordRead(StoreWire.Entry entry);

    /** Whether records may be missing from the store, so that a job without any is uncertain. */
    boolean recordsMayBeIncomplete();
  }

  private final StoreClient storeClient;
  private final ClusterState cluster;
  private final Committer committer;
  private final Records records;
  private final Listener listener;
  private final Backoff backoff;

  /** The open watch of the inbox; null before the first. */
  private DetachableCallback<StoreClient.ChangesReply> inboxWatch;

  /** Number of jobs removed from memory; a read that began before a removal may be outdated. */
  private long removalCount;

  /** Creates a reconciler; {@link #start} starts to watch the inbox. */
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

  public void onJobRemoved() {
    removalCount++;
  }

  /** Reconciles the entries of the inbox and watches it for later ones. */
  public void start(StoreClient.Listing inbox) {
    inbox.entries().forEach(this::reconcileInboxEntry);
    watchInbox(inbox.revision());
  }

  /** Watches for jobs that other controllers accept without a leader. */
  private void watchInbox(long after) {
    if (!listener.isLeading()) {
      return;
    }
    inboxWatch = new DetachableCallback<>(reply -> onInboxChanges(after, reply));
    storeClient.watch(RecordKeys.INBOX, after, INBOX_WATCH_TIMEOUT, inboxWatch);
  }

  private void onInboxChanges(long after, StoreClient.ChangesReply reply) {
    if (!listener.isLeading()) {
      return;
    }
    StoreWire.Changes changes = reply.changes();
    if (changes != null) {
      backoff.reset();
      changes.entries().stream()
          .filter(entry -> !entry.isDeletion())
          .forEach(this::reconcileInboxEntry);
      watchInbox(changes.revision());
    } else if (reply.requiresListing()) {
      storeClient.listAll(RecordKeys.INBOX, listener::isLeading, this::start);
    } else {
      storeClient.scheduleRetry(backoff, () -> watchInbox(after));
    }
  }

  /** Stops to watch, after the term has ended. */
  public void close() {
    if (inboxWatch != null) {
      inboxWatch.detach();
    }
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
            // Retains the entry until the lookup has a certain result.
            storeClient.scheduleRetry(backoff, () -> reconcileInboxEntry(entry));
            return;
          }
          if (lookup instanceof JobLookup.Ended) {
            // A controller that lacked the final state submitted the job again after a data loss.
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

  /** Reads one key of the store. */
  private interface KeyReader {
    void read(String key, Consumer<StoreClient.ReadResult> onRead);
  }

  /** Looks a job up in memory, in the final states of the replica, and by reads of the store. */
  public void lookUp(String id, Consumer<JobLookup> onDone) {
    lookUp(id, storeClient::read, onDone);
  }

  /** Looks a job up for a user; uncertain if too many users' reads wait for other requests. */
  public void lookUpForUser(String id, Consumer<JobLookup> onDone) {
    lookUp(id, storeClient::readAfterOthers, onDone);
  }

  private void lookUp(String id, KeyReader reader, Consumer<JobLookup> onDone) {
    if (cluster.jobs.containsKey(id)) {
      onDone.accept(new JobLookup.Found(cluster.jobs.get(id)));
      return;
    }
    if (listener.isAccepting(id)) {
      // Until the commit ends it is unknown whether an unpaged record of the job is a duplicate.
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
    reader.read(
        RecordKeys.UNPAGED_JOB + id,
        read -> onRecordRead(id, reader, read, removalsBefore, onDone));
  }

  private void onRecordRead(
      String id,
      KeyReader reader,
      StoreClient.ReadResult read,
      long removalsBefore,
      Consumer<JobLookup> onDone) {
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
      // The job may have been removed during the read, and must not be added and ended again.
      lookUp(id, reader, onDone);
      return;
    }
    if (!read.found()) {
      lookUpFinalState(id, reader, onDone);
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
   * Determines whether another controller has stored an unpaged record of the job, so that it is
   * removed together with the job.
   *
   * @param onDone called when that is determined, unless the term has ended
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

  /** Runs the callback if the store certainly has neither a record nor a final state of the job. */
  public void ifUnknown(String id, Runnable onUnknown) {
    if (cluster.jobs.containsKey(id)
        || listener.isAccepting(id)
        || listener.finalState(id) != null) {
      return;
    }
    storeClient.read(
        RecordKeys.UNPAGED_JOB + id,
        recordRead -> {
          if (recordRead.found() || !recordRead.succeeded() || !listener.isLeading()) {
            return;
          }
          storeClient.read(
              RecordKeys.FINAL_STATE + id,
              finalStateRead -> {
                boolean unknown =
                    finalStateRead.succeeded() && !finalStateRead.found() && listener.isLeading();
                if (unknown && !cluster.jobs.containsKey(id)) {
                  onUnknown.run();
                }
              });
        });
  }

  private void lookUpFinalState(String id, KeyReader reader, Consumer<JobLookup> onDone) {
    reader.read(
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
