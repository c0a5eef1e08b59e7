package io.pineladder.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.model.Attempt;
import io.pineladder.model.Job;
import io.pineladder.model.Machine;
import io.pineladder.store.Mutation.Priority;
import io.pineladder.store.Mutation.Write;
import io.pineladder.wire.RecordWire;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Keeps the durable records in step with the leader's memory. A record that changes again before
 * its turn comes is written once.
 */
public final class Records {
  /** The longest range of completions in JSON, with its commas. */
  private static final int RANGE_BYTES = 16;

  /** Room for a job's description in the record that also holds its first page. */
  private static final int SPEC_BYTES = 2500;

  /** Images named in a machine's record, the most recently used ones. */
  public static final int IMAGES_KEPT = 8;

  private final Consumer<Mutation> commit;
  private final Consumer<Attempt> onPlacementStored;
  private final Consumer<Job> onEndStored;
  private final int pageTasks;
  private final Map<String, Completions> completions = new HashMap<>();
  private final Set<String> storedPages = new HashSet<>();

  /** Completions of one page that wait to be stored. */
  private static final class Completions {
    List<Attempt> waiting = new ArrayList<>();
    List<Attempt> included = List.of();
    boolean queued;
  }

  public Records(
      int valueBytes,
      Consumer<Mutation> commit,
      Consumer<Attempt> onPlacementStored,
      Consumer<Job> onEndStored) {
    this.commit = commit;
    this.onPlacementStored = onPlacementStored;
    this.onEndStored = onEndStored;
    this.pageTasks = pageTasks(valueBytes);
  }

  /** Tasks of a page, such that no pattern of completions outgrows a value. */
  public static int pageTasks(int valueBytes) {
    return Math.max(16, (valueBytes - SPEC_BYTES) / RANGE_BYTES);
  }

  /** Tells of a page read at the start of a term. */
  public void knownPage(String key) {
    storedPages.add(key);
  }

  /** The machine's placements have changed. */
  public void machineDue(Machine machine) {
    if (machine.recordDue) {
      return;
    }
    machine.recordDue = true;
    List<Attempt> included = new ArrayList<>();
    commit.accept(
        Mutation.of(
            Priority.PLACE,
            List.of(new Write(Keys.MACHINE + machine.name, () -> machineValue(machine, included))),
            () -> {
              machine.recordDue = false;
              machine.recorded = true;
              for (Attempt attempt : included) {
                if (attempt.state() == Attempt.State.STORING) {
                  onPlacementStored.accept(attempt);
                }
              }
              boolean more =
                  machine.attempts.values().stream()
                      .anyMatch(a -> a.state() == Attempt.State.STORING);
              if (more && machine.state() != Machine.State.GONE) {
                machineDue(machine);
              }
            }));
  }

  private static JsonNode machineValue(Machine machine, List<Attempt> included) {
    included.clear();
    List<RecordWire.Placement> placements = new ArrayList<>();
    for (Attempt attempt : machine.attempts.values()) {
      if (attempt.holdsRoom()) {
        included.add(attempt);
        placements.add(
            new RecordWire.Placement(attempt.job.spec.id(), attempt.task, attempt.number));
      }
    }
    // Which images are there is worth much to the next leader, and costs no write of its own.
    Map<String, Double> images = new LinkedHashMap<>();
    List<String> cached = new ArrayList<>(machine.images.keySet());
    int from = Math.max(0, cached.size() - IMAGES_KEPT);
    cached.subList(from, cached.size()).forEach(i -> images.put(i, machine.images.get(i)));
    return RecordWire.machine(
        machine.address, machine.type.name(), machine.zone, machine.spot, placements, images);
  }

  /** The machine is gone for good. */
  public void machineGone(Machine machine) {
    if (machine.recorded || machine.recordDue) {
      commit.accept(
          Mutation.of(
              Priority.TIDY,
              List.of(new Write(Keys.MACHINE + machine.name, () -> null)),
              () -> {}));
    }
  }

  /** A task of the job is complete, as {@code attempt} reported. */
  public void taskDone(Job job, Attempt attempt) {
    int page = attempt.task / pageTasks;
    String key = page == 0 ? Keys.JOB + job.spec.id() : Keys.page(job.spec.id(), page);
    Completions of = completions.computeIfAbsent(key, k -> new Completions());
    of.waiting.add(attempt);
    if (!of.queued && !job.ending) {
      queueCompletions(job, page, key, of);
    }
  }

  private void queueCompletions(Job job, int page, String key, Completions of) {
    of.queued = true;
    commit.accept(
        Mutation.onlyIf(
            () -> !job.ending,
            Priority.COMPLETE,
            List.of(
                new Write(
                    key,
                    () -> {
                      of.included = List.copyOf(of.waiting);
                      return page == 0
                          ? jobValue(job)
                          : RecordWire.page(job.done, page * pageTasks, pageTasks);
                    })),
            () -> {
              of.queued = false;
              if (page > 0) {
                storedPages.add(key);
              }
              of.included.forEach(a -> a.forgettable = true);
              of.waiting.removeAll(of.included);
              if (of.waiting.isEmpty()) {
                completions.remove(key);
              } else if (!job.ending) {
                queueCompletions(job, page, key, of);
              }
            }));
  }

  private JsonNode jobValue(Job job) {
    return RecordWire.job(job.spec, job.acceptedAt, job.state(), job.done, pageTasks);
  }

  public Write newJob(Job job) {
    return new Write(Keys.JOB + job.spec.id(), () -> jobValue(job));
  }

  /** The job is over. While tasks of it may be somewhere its record stays, with the final state. */
  public void end(Job job) {
    job.ending = true;
    String key = Keys.JOB + job.spec.id();
    if (job.attempts.isEmpty()) {
      remove(job);
      return;
    }
    commit.accept(
        Mutation.of(
            Priority.END,
            List.of(new Write(key, () -> jobValue(job))),
            () -> {
              endStored(job);
              if (job.attempts.isEmpty()) {
                remove(job);
              }
            }));
  }

  /** Nothing of an ended job is anywhere any more: only its final state is kept. */
  public void remove(Job job) {
    if (job.removing) {
      return;
    }
    job.removing = true;
    commit.accept(
        Mutation.of(
            Priority.END,
            List.of(
                new Write(Keys.END + job.spec.id(), () -> RecordWire.end(job.state())),
                new Write(Keys.JOB + job.spec.id(), () -> null)),
            () -> {
              endStored(job);
              dropPages(job);
            }));
  }

  private void endStored(Job job) {
    boolean first = !job.endStored;
    job.endStored = true;
    for (int page = 0; page * pageTasks < job.spec.tasks(); page++) {
      String key = page == 0 ? Keys.JOB + job.spec.id() : Keys.page(job.spec.id(), page);
      Completions of = completions.remove(key);
      if (of != null) {
        of.waiting.forEach(a -> a.forgettable = true);
      }
    }
    if (first) {
      onEndStored.accept(job);
    }
  }

  private void dropPages(Job job) {
    for (int page = 1; page * pageTasks < job.spec.tasks(); page++) {
      String key = Keys.page(job.spec.id(), page);
      if (storedPages.remove(key)) {
        commit.accept(
            Mutation.of(Priority.TIDY, List.of(new Write(key, () -> null)), () -> {}));
      }
    }
  }
}
