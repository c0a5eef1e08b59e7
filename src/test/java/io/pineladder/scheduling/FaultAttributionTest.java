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

/** Attributions compared with a reference model that derives them from the whole history. */
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
            public void onJobFailingChanged(Job job, boolean is) {
              setMembership(failingJobs, job, is);
            }

            @Override
            public void onQuarantineChanged(Machine machine, boolean is) {
              setMembership(quarantined, machine, is);
            }

            @Override
            public void onMachineFaulty(Machine machine) {
              quarantined.remove(machine);
              faulty.add(machine);
            }
          });

  private static <T> void setMembership(Set<T> all, T one, boolean isMember) {
    if (isMember) {
      all.add(one);
    } else {
      all.remove(one);
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

  /** Which jobs failed on which machines, and which succeeded: all else follows from it. */
  private static final class ReferenceModel {
    final Map<Job, Set<Machine>> failedMachines = new LinkedHashMap<>();
    final Set<Job> succeeded = new HashSet<>();
    final Set<Machine> faulty = new HashSet<>();

    boolean isFailing(Job job) {
      Set<Machine> on = new HashSet<>(failedMachines.getOrDefault(job, Set.of()));
      on.removeAll(faulty);
      return !succeeded.contains(job) && on.size() >= FaultAttribution.FAULT_THRESHOLD;
    }

    List<Job> jobsNotFailingOn(Machine machine) {
      return failedMachines.keySet().stream()
          .filter(j -> failedMachines.get(j).contains(machine) && !isFailing(j))
          .toList();
    }

    boolean isQuarantined(Machine machine) {
      return !faulty.contains(machine)
          && jobsNotFailingOn(machine).size() >= FaultAttribution.FAULT_THRESHOLD;
    }

    /** Another machine may be faulty once one is, since jobs are no longer failing then. */
    void findFaulty(List<Machine> machines) {
      boolean changed = true;
      while (changed) {
        changed = false;
        for (Machine machine : machines) {
          boolean proven =
              isQuarantined(machine)
                  && jobsNotFailingOn(machine).stream().anyMatch(succeeded::contains);
          changed |= proven && faulty.add(machine);
        }
      }
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void attributionsMatchTheReferenceModel(long seed) {
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    ReferenceModel model = new ReferenceModel();
    List<Machine> machines = new ArrayList<>();
    List<Job> jobs = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      machines.add(machine(i));
      jobs.add(job(i));
    }
    for (int step = 0; step < 300; step++) {
      int at = random.nextInt(jobs.size());
      Job job = jobs.get(at);
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
          jobs.set(at, job(100 + step));
        }
        default -> {
          Machine machine = machines.get(random.nextInt(machines.size()));
          fail(job, machine);
          if (!job.completedTasks.isEmpty()) {
            model.succeeded.add(job);
          }
          Set<Machine> on = model.failedMachines.computeIfAbsent(job, j -> new LinkedHashSet<>());
          if (!model.faulty.contains(machine)) {
            on.add(machine);
          }
        }
      }
      model.findFaulty(machines);
      assertEquals(model.faulty, faulty, "step " + step);
      for (Job each : jobs) {
        assertEquals(model.isFailing(each), failingJobs.contains(each), "step " + step);
      }
      for (Machine each : machines) {
        assertEquals(model.isQuarantined(each), quarantined.contains(each), "step " + step);
      }
    }
  }

  /** Several jobs with a mistake of their own, each failing on machine after machine. */
  @Test
  void failingJobsQuarantineNoMachine() {
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
  void aJobWhoseFirstMachinesWereFaultyIsNotFailing() {
    Machine bad = machine(0);
    Machine worse = machine(1);
    Job unlucky = job(0);
    fail(unlucky, bad);
    fail(unlucky, worse);
    assertEquals(Set.of(unlucky), failingJobs);
    Job other = job(1);
    Job third = job(2);
    fail(other, bad);
    fail(third, bad);
    assertEquals(Set.of(bad), quarantined, "whose fault it is is not known yet");
    complete(other);
    assertEquals(Set.of(bad), faulty);
    assertEquals(Set.of(), quarantined);
    assertEquals(Set.of(), failingJobs, "failures on a faulty machine no longer count");
  }
}
