package io.pineladder.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.pineladder.model.Job;
import io.pineladder.model.JobKind;
import io.pineladder.model.JobSpec;
import io.pineladder.model.Machine;
import io.pineladder.model.MachineType;
import io.pineladder.model.PriorityClass;
import io.pineladder.model.Resources;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Compares attributions with a reference model that derives them from the whole history. */
class FaultAttributionTest {
  private static final MachineType TYPE =
      new MachineType(
          "g4", Resources.of(16, 4, 64), 50, 0.1, 4, 1, Duration.ofSeconds(10), List.of("a"));

  private final Set<Job> failingJobs = new HashSet<>();
  private final Set<Machine> quarantined = new HashSet<>();
  private final Set<Machine> faulty = new HashSet<>();
  private final FaultAttribution faultAttribution =
      new FaultAttribution(
          new FaultAttribution.Listener() {
            @Override
            public void onJobFailingChanged(Job job, boolean failing) {
              setMembership(failingJobs, job, failing);
            }

            @Override
            public void onQuarantineChanged(Machine machine, boolean isQuarantined) {
              setMembership(quarantined, machine, isQuarantined);
            }

            @Override
            public void onMachineFaulty(Machine machine) {
              quarantined.remove(machine);
              faulty.add(machine);
            }
          });

  private static <T> void setMembership(Set<T> set, T item, boolean isMember) {
    if (isMember) {
      set.add(item);
    } else {
      set.remove(item);
    }
  }

  private static Job job(int number) {
    return new Job(
        new JobSpec(
            "req-" + number,
            "class",
            "red",
            JobKind.ARRAY,
            PriorityClass.LOW,
            4,
            Resources.of(2, 1, 4),
            null,
            null,
            false,
            false,
            true,
            "i",
            5,
            Duration.ofSeconds(30),
            Duration.ZERO,
            Duration.ZERO,
            null),
        Instant.EPOCH,
        Job.State.ACTIVE);
  }

  private static Machine machine(int number) {
    return new Machine("m-" + number, TYPE, "a", false, Instant.EPOCH);
  }

  private void fail(Job job, Machine machine) {
    faultAttribution.recordFailure(job, machine, Duration.ZERO, Instant.EPOCH);
  }

  private void complete(Job job) {
    job.completedTasks.set(0);
    faultAttribution.recordSuccess(job);
  }

  /** The history of failures and successes, from which the expected attributions are derived. */
  private static final class ReferenceModel {
    final Map<Job, Set<Machine>> failedMachines = new LinkedHashMap<>();
    final Set<Job> succeeded = new HashSet<>();
    final Set<Machine> faulty = new HashSet<>();

    boolean isFailing(Job job) {
      Set<Machine> machines = new HashSet<>(failedMachines.getOrDefault(job, Set.of()));
      machines.removeAll(faulty);
      return !succeeded.contains(job) && machines.size() >= FaultAttribution.FAULT_THRESHOLD;
    }

    List<Job> jobsNotFailingOn(Machine machine) {
      return failedMachines.keySet().stream()
          .filter(job -> failedMachines.get(job).contains(machine) && !isFailing(job))
          .toList();
    }

    boolean isQuarantined(Machine machine) {
      return !faulty.contains(machine)
          && jobsNotFailingOn(machine).size() >= FaultAttribution.FAULT_THRESHOLD;
    }

    /**
     * Finds faulty machines repeatedly, because each may clear failing jobs whose failures then
     * count against other machines.
     */
    void findFaulty(List<Machine> machines) {
      boolean changed = true;
      while (changed) {
        changed = false;
        for (Machine machine : machines) {
          boolean isFaulty =
              isQuarantined(machine)
                  && jobsNotFailingOn(machine).stream().anyMatch(succeeded::contains);
          changed |= isFaulty && faulty.add(machine);
        }
      }
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void matchesReferenceModel(long seed) {
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    ReferenceModel model = new ReferenceModel();
    List<Machine> machines = new ArrayList<>();
    List<Job> jobs = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      machines.add(machine(i));
      jobs.add(job(i));
    }
    for (int step = 0; step < 300; step++) {
      int index = random.nextInt(jobs.size());
      Job job = jobs.get(index);
      switch (random.nextInt(12)) {
        case 0 -> {
          if (model.failedMachines.containsKey(job)) {
            model.succeeded.add(job);
          }
          complete(job);
        }
        case 1, 2 -> {
          faultAttribution.remove(job);
          model.failedMachines.remove(job);
          failingJobs.remove(job);
          jobs.set(index, job(100 + step));
        }
        default -> {
          Machine machine = machines.get(random.nextInt(machines.size()));
          fail(job, machine);
          if (!job.completedTasks.isEmpty()) {
            model.succeeded.add(job);
          }
          Set<Machine> failedMachines =
              model.failedMachines.computeIfAbsent(job, j -> new LinkedHashSet<>());
          if (!model.faulty.contains(machine)) {
            failedMachines.add(machine);
          }
        }
      }
      model.findFaulty(machines);
      assertEquals(model.faulty, faulty, "step " + step);
      for (Job other : jobs) {
        assertEquals(model.isFailing(other), failingJobs.contains(other), "step " + step);
      }
      for (Machine machine : machines) {
        assertEquals(model.isQuarantined(machine), quarantined.contains(machine), "step " + step);
      }
    }
  }

  /** Jobs that fail on every machine must not cause machines to be quarantined. */
  @Test
  void doesNotQuarantineMachinesOfFailingJobs() {
    List<Machine> machines = List.of(machine(0), machine(1), machine(2), machine(3));
    List<Job> jobs = List.of(job(0), job(1), job(2));
    for (Machine machine : machines) {
      jobs.forEach(job -> fail(job, machine));
    }
    assertEquals(new HashSet<>(jobs), failingJobs);
    assertEquals(Set.of(), quarantined);
    assertEquals(Set.of(), faulty);
  }

  @Test
  void clearsFailingJobWhenItsMachinesAreFaulty() {
    Machine faultyMachine = machine(0);
    Machine otherMachine = machine(1);
    Job failingJob = job(0);
    fail(failingJob, faultyMachine);
    fail(failingJob, otherMachine);
    assertEquals(Set.of(failingJob), failingJobs);
    Job secondJob = job(1);
    Job thirdJob = job(2);
    fail(secondJob, faultyMachine);
    fail(thirdJob, faultyMachine);
    assertEquals(Set.of(faultyMachine), quarantined, "machine is not proven faulty yet");
    complete(secondJob);
    assertEquals(Set.of(faultyMachine), faulty);
    assertEquals(Set.of(), quarantined);
    assertEquals(Set.of(), failingJobs, "failures on a faulty machine no longer count");
  }
}
