package io.pineladder.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pineladder.model.Attempt;
import io.pineladder.model.Job;
import io.pineladder.model.JobKind;
import io.pineladder.model.JobSpec;
import io.pineladder.model.Machine;
import io.pineladder.model.MachineType;
import io.pineladder.model.PriorityClass;
import io.pineladder.model.Resources;
import io.pineladder.net.EventLoop;
import io.pineladder.queue.SchedulingCheck;
import io.pineladder.wire.SettingsReader;
import io.pineladder.wire.SettingsReaderTest;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Compares the placement checks with a reference model that counts the tasks that fit in each zone.
 */
class PlacerTest {
  private static final Instant NOW = Instant.EPOCH.plusSeconds(100);
  private static final double BLUE_GPU_LIMIT = 8;

  private record FixedTime(Instant now) implements EventLoop {
    @Override
    public Instant wallClock() {
      return now;
    }

    @Override
    public RandomGenerator random() {
      throw new AssertionError("placement must not use random numbers");
    }

    @Override
    public void schedule(Duration delay, Runnable action) {
      throw new UnsupportedOperationException();
    }
  }

  private static MachineType type(String name, int cpus, int gpus) {
    return new MachineType(
        name, Resources.of(cpus, gpus, 64), 50, 1, 4, 1, Duration.ofSeconds(10), List.of("a"));
  }

  /** Returns a cluster with an objective: jobs of the class {@code class} finish within 120 s. */
  private static ClusterState clusterWithObjective() throws SettingsReader.BadSettingsException {
    String objective =
        """
        [[deployment.objectives]]
        kind = "finished"
        class = "class"
        within_s = 120.0
        share = 0.9

        [deployment.workers]\
        """;
    return new ClusterState(
        SettingsReader.parse(
            SettingsReaderTest.VALID_SETTINGS.replace("[deployment.workers]", objective)));
  }

  private static JobSpec randomSpec(RandomGenerator random, int id) {
    boolean gang = random.nextInt(3) == 0;
    return new JobSpec(
        "req-" + id,
        "class",
        random.nextBoolean() ? "blue" : "red",
        gang ? JobKind.GANG : JobKind.ARRAY,
        PriorityClass.NORMAL,
        1 + random.nextInt(6),
        Resources.of(1 + random.nextInt(6), random.nextInt(3), 1 + random.nextInt(20)),
        random.nextInt(3) == 0 ? List.of("small") : null,
        random.nextInt(4) == 0 ? "b" : null,
        random.nextInt(4) == 0,
        random.nextInt(4) == 0,
        random.nextBoolean(),
        "img-" + random.nextInt(3),
        1 + random.nextInt(5),
        Duration.ofSeconds(10),
        Duration.ZERO,
        Duration.ZERO,
        null);
  }

  /**
   * Returns how many tasks of the job fit into each zone, counting them one by one on each machine.
   */
  private static Map<String, Integer> tasksFittingByZone(ClusterState cluster, Job job) {
    Map<String, Integer> zones = new HashMap<>();
    for (Machine machine : cluster.machines()) {
      boolean allowed =
          (job.spec.types() == null || job.spec.types().contains(machine.type.name()))
              && (job.spec.zone() == null || job.spec.zone().equals(machine.zone))
              && (job.spec.spotAllowed() || !machine.spot)
              && machine.state() == Machine.State.CONFIRMED
              && !machine.draining;
      double cpus = machine.type.capacity().cpus();
      double gpus = machine.type.capacity().gpus();
      double memoryGb = machine.type.capacity().memoryGb();
      for (Attempt attempt : machine.attempts.values()) {
        cpus -= attempt.job.spec.resourcesPerTask().cpus();
        gpus -= attempt.job.spec.resourcesPerTask().gpus();
        memoryGb -= attempt.job.spec.resourcesPerTask().memoryGb();
      }
      Resources perTask = job.spec.resourcesPerTask();
      while (allowed
          && perTask.cpus() <= cpus
          && perTask.gpus() <= gpus
          && perTask.memoryGb() <= memoryGb) {
        zones.merge(machine.zone, 1, Integer::sum);
        cpus -= perTask.cpus();
        gpus -= perTask.gpus();
        memoryGb -= perTask.memoryGb();
      }
    }
    return zones;
  }

  private static boolean canPlace(ClusterState cluster, Job job, int taskCount) {
    double gpus = 0;
    Map<String, Integer> attemptsByZone = new HashMap<>();
    for (Machine machine : cluster.machines()) {
      for (Attempt attempt : machine.attempts.values()) {
        if (attempt.job.spec.team().equals(job.spec.team())) {
          gpus += attempt.job.spec.resourcesPerTask().gpus();
        }
        if (attempt.job == job) {
          attemptsByZone.merge(machine.zone, 1, Integer::sum);
        }
      }
    }
    if (job.spec.team().equals("blue")
        && gpus + taskCount * job.spec.resourcesPerTask().gpus() > BLUE_GPU_LIMIT) {
      return false;
    }
    Map<String, Integer> fitting = tasksFittingByZone(cluster, job);
    int maxTasksPerZone =
        job.spec.spreadAcrossZones() ? (job.spec.tasks() + 1) / 2 : Integer.MAX_VALUE;
    int total = 0;
    boolean fitsInOneZone = false;
    for (var zone : fitting.entrySet()) {
      int count =
          Math.min(
              zone.getValue(), maxTasksPerZone - attemptsByZone.getOrDefault(zone.getKey(), 0));
      boolean isOnlyZone =
          attemptsByZone.isEmpty()
              || (attemptsByZone.size() == 1 && attemptsByZone.containsKey(zone.getKey()));
      fitsInOneZone |= isOnlyZone && count >= taskCount;
      total += Math.max(0, count);
    }
    return job.spec.sameZone() ? fitsInOneZone : total >= taskCount;
  }

  /**
   * Without policy, exactly the tasks that the model places are placed; with policy, no others are.
   */
  @ParameterizedTest
  @CsvSource({"1,false", "2,false", "3,false", "4,false", "5,false", "6,true", "7,true", "8,true"})
  void placesTasksExactlyWhenReferenceModelDoes(long seed, boolean withPolicy)
      throws SettingsReader.BadSettingsException {
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    ClusterState cluster =
        new ClusterState(SettingsReader.parse(SettingsReaderTest.VALID_SETTINGS));
    List<MachineType> types = List.of(type("small", 8, 2), type("large", 24, 4));
    for (int i = 0; i < 9; i++) {
      Machine machine =
          new Machine(
              "m-" + i, types.get(i % 2), i % 3 == 0 ? "a" : "b", random.nextInt(4) == 0, NOW);
      machine.transitionTo(i == 8 ? Machine.State.HEARD : Machine.State.CONFIRMED);
      machine.draining = i == 7;
      machine.retiring = withPolicy && i == 3;
      machine.quarantined = withPolicy && i == 4;
      cluster.addMachine(machine);
    }
    if (withPolicy) {
      Job reservationHolder = new Job(randomSpec(random, 1_000), NOW, Job.State.ACTIVE);
      cluster.reserve(cluster.machine("m-1"), reservationHolder, NOW.plusSeconds(60));
    }
    Placer placer = new Placer(cluster, new FixedTime(NOW));
    int deniedByPolicy = 0;
    List<Attempt> attempts = new ArrayList<>();
    int placed = 0;
    int rejected = 0;
    for (int step = 0; step < 400; step++) {
      JobSpec spec = randomSpec(random, step);
      Job job = new Job(spec, NOW, Job.State.ACTIVE);
      int placements = spec.kind() == JobKind.GANG ? 1 : spec.tasks();
      int taskCount = spec.kind() == JobKind.GANG ? spec.tasks() : 1;
      for (int firstTask = 0; firstTask < placements; firstTask++) {
        boolean canPlace = canPlace(cluster, job, taskCount);
        if (withPolicy) {
          job.avoidedMachines.add("m-" + random.nextInt(8));
          boolean placedWithPolicy = placer.place(job, taskCount, NOW).isPlaced();
          assertTrue(canPlace || !placedWithPolicy, spec.toString());
          deniedByPolicy += canPlace && !placedWithPolicy ? 1 : 0;
        }
        Placer.Decision decision =
            withPolicy
                ? placer.placeIgnoringPolicy(job, taskCount, NOW)
                : placer.place(job, taskCount, NOW);
        assertEquals(canPlace, decision.isPlaced(), spec + " " + decision.rejectedBy());
        if (!canPlace) {
          rejected++;
          break;
        }
        placed++;
        assertEquals(taskCount, decision.machines().size());
        for (int i = 0; i < taskCount; i++) {
          attempts.add(
              cluster.addAttempt(
                  job,
                  firstTask + i,
                  step,
                  decision.machines().get(i),
                  NOW,
                  Attempt.State.PLACEMENT_PENDING));
        }
      }
      while (attempts.size() > 12 + random.nextInt(12)) {
        cluster.transition(attempts.remove(random.nextInt(attempts.size())), Attempt.State.GONE);
      }
    }
    assertTrue(placed > 50 && rejected > 50, placed + " placed, " + rejected + " rejected");
    assertTrue(withPolicy == (deniedByPolicy > 20), deniedByPolicy + " denied capacity by policy");
    attempts.forEach(attempt -> cluster.transition(attempt, Attempt.State.GONE));
    assertEquals(Resources.ZERO, cluster.usage("blue"));
  }

  @Test
  void rejectsGangAboveTeamLimit() throws SettingsReader.BadSettingsException {
    ClusterState cluster =
        new ClusterState(SettingsReader.parse(SettingsReaderTest.VALID_SETTINGS));
    JobSpec spec =
        new JobSpec(
            "req-1",
            "class",
            "blue",
            JobKind.GANG,
            PriorityClass.NORMAL,
            9,
            Resources.of(1, 1, 1),
            null,
            null,
            false,
            false,
            true,
            "i",
            1,
            Duration.ZERO,
            Duration.ZERO,
            Duration.ZERO,
            null);
    Placer.Decision decision =
        new Placer(cluster, new FixedTime(NOW)).place(new Job(spec, NOW, Job.State.ACTIVE), 9, NOW);
    assertEquals(SchedulingCheck.TEAM_LIMIT, decision.rejectedBy());
  }

  /** A job that cannot lose a task and still meet its objective must not use spot machines. */
  @Test
  void avoidsSpotMachineWhenReclaimWouldMissObjective() throws SettingsReader.BadSettingsException {
    ClusterState cluster = clusterWithObjective();
    MachineType type = type("large", 24, 4);
    cluster.setTypes(List.of(type));
    for (boolean spot : List.of(true, false)) {
      Machine machine = new Machine(spot ? "m-spot" : "m-on-demand", type, "a", spot, NOW);
      machine.transitionTo(Machine.State.CONFIRMED);
      machine.touchImage("img", 1);
      cluster.addMachine(machine);
    }
    Placer placer = new Placer(cluster, new FixedTime(NOW));
    for (int i = 0; i < 200; i++) {
      cluster.spotRisk.observe(10, NOW.plusSeconds(i));
      if (i % 20 == 0) {
        cluster.spotRisk.recordReclaim();
      }
    }
    for (int seconds : List.of(20, 80, 130)) {
      JobSpec spec =
          new JobSpec(
              "req-1",
              "class",
              "red",
              JobKind.ARRAY,
              PriorityClass.NORMAL,
              12,
              Resources.of(1, 1, 1),
              null,
              null,
              false,
              false,
              true,
              "img",
              1,
              Duration.ofSeconds(seconds),
              Duration.ZERO,
              Duration.ZERO,
              null);
      Placer.Decision decision = placer.place(new Job(spec, NOW, Job.State.ACTIVE), 1, NOW);
      // The short job can be restarted in time, and the longest job misses its objective anyway.
      assertEquals(seconds != 80, decision.machines().get(0).spot, seconds + " s");
    }
  }

  /** Arrays that can wait for other capacity must not preempt jobs with an objective. */
  @Test
  void preemptsWorkWithObjectiveOnlyWhenArrayLacksStartSlack()
      throws SettingsReader.BadSettingsException {
    for (boolean victimHasObjective : List.of(true, false)) {
      for (int age : List.of(0, 60, 100)) {
        ClusterState cluster = clusterWithObjective();
        MachineType type = type("large", 24, 4);
        cluster.setTypes(List.of(type));
        Machine machine = new Machine("m-1", type, "a", true, NOW);
        machine.transitionTo(Machine.State.CONFIRMED);
        cluster.addMachine(machine);
        Job low = job("req-1", victimHasObjective ? "class" : "other", PriorityClass.LOW, NOW);
        cluster.addJob(low);
        cluster.addAttempt(low, 0, 1, machine, NOW, Attempt.State.PLACEMENT_PENDING);
        Job high = job("req-2", "class", PriorityClass.NORMAL, NOW);
        high.pendingTasks.set(0);
        cluster.addJob(high);
        Instant now = NOW.plusSeconds(age);
        List<Attempt> preempted = new ArrayList<>();
        new PreemptionPolicy(cluster, new FixedTime(now), preempted::add)
            .preemptFor(high, Double.MAX_VALUE, now);
        // The job takes 10 s of the 120 s allowed, and another machine is ready after 11 s.
        assertEquals(
            !victimHasObjective || age == 100,
            !preempted.isEmpty(),
            victimHasObjective + " at " + age);
      }
    }
  }

  private static Job job(
      String id, String jobClass, PriorityClass priorityClass, Instant acceptedAt) {
    JobSpec spec =
        new JobSpec(
            id,
            jobClass,
            "red",
            JobKind.ARRAY,
            priorityClass,
            1,
            Resources.of(24, 4, 1),
            null,
            null,
            false,
            false,
            true,
            "img",
            1,
            Duration.ofSeconds(10),
            Duration.ZERO,
            Duration.ZERO,
            null);
    return new Job(spec, acceptedAt, Job.State.ACTIVE);
  }
}
