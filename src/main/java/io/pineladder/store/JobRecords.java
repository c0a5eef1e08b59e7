package io.pineladder.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.model.Job;
import io.pineladder.store.Mutation.Priority;
import io.pineladder.store.Mutation.Write;
import io.pineladder.wire.RecordWire;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The records of jobs, from acceptance to removal. A job accepted by a leader has a record in a job
 * page. A job accepted by another controller while it could not reach a leader has an unpaged
 * record under its own key. A job submitted to both has both.
 */
final class JobRecords {
  private final Consumer<Mutation> commit;
  private final Records.Listener listener;
  private final NotificationLog notificationLog;
  private final CompletionRecords completions;
  private final JobPages pages;

  /** Jobs that have an unpaged record in addition to the one in a page. */
  private final Set<Job> jobsWithUnpagedRecord = new HashSet<>();

  JobRecords(
      JobPages pages,
      CompletionRecords completions,
      Consumer<Mutation> commit,
      Records.Listener listener,
      NotificationLog notificationLog) {
    this.pages = pages;
    this.completions = completions;
    this.commit = commit;
    this.listener = listener;
    this.notificationLog = notificationLog;
  }

  private static JsonNode encode(Job job) {
    ObjectNode value = RecordWire.job(job.spec, job.acceptedAt, job.state());
    return job.failing ? value.put("at_fault", true) : value;
  }

  private static Write putUnpagedRecord(Job job) {
    return new Write(RecordKeys.UNPAGED_JOB + job.spec.id(), () -> encode(job));
  }

  private static Write deleteUnpagedRecord(Job job) {
    return new Write(RecordKeys.UNPAGED_JOB + job.spec.id(), () -> null);
  }

  private static Write putFinalState(Job job) {
    return new Write(
        RecordKeys.FINAL_STATE + job.spec.id(), () -> RecordWire.finalState(job.state()));
  }

  /** See {@link Records#setHasUnpagedRecord}. */
  void setHasUnpagedRecord(Job job, boolean present) {
    if (present) {
      jobsWithUnpagedRecord.add(job);
    } else {
      jobsWithUnpagedRecord.remove(job);
    }
  }

  /** See {@link Records#storeAcceptance}. */
  void storeAcceptance(Job job, Runnable onStored, Runnable onAlreadyExists) {
    String id = job.spec.id();
    commit.accept(
        Mutation.withPageEdits(
            Priority.ACCEPTANCE,
            List.of(),
            List.of(pages.addRecord(job, () -> encode(job))),
            List.of(RecordKeys.UNPAGED_JOB + id, RecordKeys.FINAL_STATE + id),
            onStored,
            () -> {
              pages.removeJob(job);
              onAlreadyExists.run();
            }));
  }

  /** See {@link Records#storeFaultAttribution}. */
  void storeFaultAttribution(Job job) {
    boolean paged = pages.pageOf(job) != null;
    commit.accept(
        new Mutation(
            Priority.CLEANUP,
            paged ? List.of() : List.of(putUnpagedRecord(job)),
            paged ? List.of(pages.replaceRecord(job, () -> encode(job))) : List.of(),
            List.of(),
            () -> !job.finalStatePending,
            () -> {},
            null));
  }

  /** See {@link Records#storeFinalState}. */
  void storeFinalState(Job job) {
    job.finalStatePending = true;
    if (job.attempts.isEmpty()) {
      remove(job);
      return;
    }
    Runnable onStored =
        () -> {
          finalStateStored(job);
          if (job.attempts.isEmpty()) {
            remove(job);
          }
        };
    if (pages.pageOf(job) == null) {
      commit.accept(
          Mutation.withPageEdits(
              finalStatePriority(job),
              List.of(putUnpagedRecord(job)),
              notificationEdits(job, false),
              List.of(),
              onStored,
              null));
    } else {
      // Controllers without a leader read the final state from its own key.
      storePagedFinalState(
          job,
          () -> prepend(pages.replaceRecord(job, () -> encode(job)), notificationEdits(job, false)),
          onStored);
    }
  }

  /** See {@link Records#removeJob}. */
  void remove(Job job) {
    if (job.recordRemovalPending) {
      return;
    }
    job.recordRemovalPending = true;
    Runnable onStored =
        () -> {
          pages.removeJob(job);
          jobsWithUnpagedRecord.remove(job);
          finalStateStored(job);
          listener.onRemoved(job);
        };
    if (pages.pageOf(job) == null) {
      commit.accept(
          Mutation.withPageEdits(
              finalStatePriority(job),
              List.of(putFinalState(job), deleteUnpagedRecord(job)),
              notificationEdits(job, true),
              List.of(),
              onStored,
              null));
    } else if (job.finalStateStored) {
      commit.accept(
          Mutation.withPageEdits(
              Priority.CLEANUP,
              List.of(),
              List.of(pages.removeRecord(job)),
              List.of(),
              onStored,
              null));
    } else {
      storePagedFinalState(
          job, () -> prepend(pages.removeRecord(job), notificationEdits(job, true)), onStored);
    }
  }

  private static List<JobPageEdit> prepend(JobPageEdit edit, List<JobPageEdit> more) {
    List<JobPageEdit> all = new ArrayList<>(more);
    all.add(0, edit);
    return all;
  }

  /**
   * Returns the edit that adds the notification, for the transaction that first stores the final
   * state, so that neither is committed without the other.
   */
  private List<JobPageEdit> notificationEdits(Job job, boolean removesRecord) {
    return job.finalStateStored || !notificationLog.hasSubscribers()
        ? List.of()
        : List.of(pages.addNotification(job, removesRecord));
  }

  /**
   * Stores the final state of a job in a page and ensures that no unpaged record is left. A
   * controller that could reach the store but not this leader may have stored the job again, and
   * that record would resurrect the job. No controller creates one once the final state is stored.
   */
  private void storePagedFinalState(Job job, Supplier<List<JobPageEdit>> edits, Runnable onStored) {
    boolean hasUnpagedRecord = jobsWithUnpagedRecord.contains(job);
    commit.accept(
        Mutation.withPageEdits(
            finalStatePriority(job),
            hasUnpagedRecord
                ? List.of(putFinalState(job), deleteUnpagedRecord(job))
                : List.of(putFinalState(job)),
            edits.get(),
            hasUnpagedRecord ? List.of() : List.of(RecordKeys.UNPAGED_JOB + job.spec.id()),
            () -> {
              jobsWithUnpagedRecord.remove(job);
              onStored.run();
            },
            () ->
                listener.onUnpagedRecordFound(
                    job, () -> storePagedFinalState(job, edits, onStored))));
  }

  /** A cancellation by dependency can be derived from the prerequisite, so it is not urgent. */
  private static Priority finalStatePriority(Job job) {
    return job.cancelledByDependency ? Priority.CLEANUP : Priority.FINAL_STATE;
  }

  private void finalStateStored(Job job) {
    boolean first = !job.finalStateStored;
    job.finalStateStored = true;
    completions.discard(job);
    if (first) {
      listener.onFinalStateStored(job);
    }
  }

  /** Writes a job page again from memory, because its stored value cannot be read. */
  void rewritePage(String page) {
    commit.accept(
        Mutation.withPageEdits(
            Priority.CLEANUP, List.of(), List.of(pages.rewrite(page)), List.of(), () -> {}, null));
  }
}
