package io.pineladder.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.model.Attempt;
import io.pineladder.model.EndReason;
import io.pineladder.model.Job;
import io.pineladder.model.JobKind;
import io.pineladder.model.Machine;
import io.pineladder.model.PriorityClass;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.RecordWire;
import io.pineladder.wire.WorkerWire.TaskId;
import io.pineladder.wire.WorkerWire.TaskState;
import io.pineladder.wire.WorkerWire.TaskStatus;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests jobs whose tasks always fail, on healthy machines. */
class FailingJobsTest {
  private static final int MACHINES = 6;

  private final LeaderHarness leader = new LeaderHarness();
  private final Set<Attempt> failed = new HashSet<>();
  private final Set<Job> failingJobs = new HashSet<>();
  private long sequence;

  /** Sends a heartbeat of every machine: tasks of failing jobs have failed, others are running. */
  private void runOneSecond() {
    sequence++;
    for (int i = 0; i < MACHINES; i++) {
      Machine machine = leader.cluster.machine("m-" + i);
      List<TaskStatus> tasks = new ArrayList<>();
      for (Attempt attempt :
          machine == null ? List.<Attempt>of() : List.copyOf(machine.attempts.values())) {
        if (attempt.state() == Attempt.State.PLACEMENT_PENDING) {
          continue;
        }
        boolean fails = failingJobs.contains(attempt.job);
        if (fails) {
          failed.add(attempt);
        }
        tasks.add(
            new TaskStatus(
                new TaskId(attempt.job.spec.id(), attempt.task),
                attempt.number,
                fails ? TaskState.EXITED : TaskState.RUNNING,
                fails ? EndReason.ERROR : null,
                false));
      }
      leader.heartbeat("m-" + i, sequence, tasks.toArray(TaskStatus[]::new));
    }
    leader.sentRequests.clear();
    leader.scheduler.faultAttribution().reviewRunningJobs(leader.now());
    leader.runFor(Duration.ofMillis(700));
  }

  private Job acceptFailing(String id, JobKind kind, int tasks) {
    Job job = leader.accept(LeaderHarness.spec(id, kind, PriorityClass.LOW, tasks, "i"));
    failingJobs.add(job);
    return job;
  }

  /**
   * Guards against releasing machines because faulty jobs failed on them, and against restarting
   * whole arrays of such jobs every second.
   */
  @Test
  void failingJobsBackOffWithoutQuarantiningMachines() {
    runOneSecond();
    Job array = acceptFailing("req-000001", JobKind.ARRAY, 8);
    Job cancelledArray = acceptFailing("req-000002", JobKind.ARRAY, 8);
    acceptFailing("req-000003", JobKind.GANG, 2);
    for (int i = 0; i < 120; i++) {
      runOneSecond();
    }
    for (int i = 0; i < MACHINES; i++) {
      Machine machine = leader.cluster.machine("m-" + i);
      assertTrue(machine.isSchedulable(), machine.name);
    }
    assertTrue(array.failing);
    assertTrue(array.isActive(), "only the user cancels it");
    // One start of every task, then a few probes after each maximum back-off of 10 s.
    assertTrue(failed.size() < 120, "started " + failed.size());
    assertTrue(failed.size() > 40, "still probed: " + failed.size());
    leader.scheduler.cancel(cancelledArray);
    runOneSecond();
    assertTrue(cancelledArray.attempts.isEmpty());
    assertTrue(cancelledArray.finalStateStored);
  }

  @Test
  void failingJobRunsOnFreeCapacityOnly() {
    runOneSecond();
    Job job =
        leader.accept(LeaderHarness.spec("req-000001", JobKind.ARRAY, PriorityClass.HIGH, 8, "i"));
    failingJobs.add(job);
    for (int i = 0; i < 4; i++) {
      runOneSecond();
    }
    assertTrue(job.failing);
    Job low =
        leader.accept(LeaderHarness.spec("req-000002", JobKind.ARRAY, PriorityClass.LOW, 24, "i"));
    for (int i = 0; i < 40; i++) {
      runOneSecond();
    }
    assertTrue(
        low.pendingTasks.cardinality() <= 2, "all but the probes' capacity: " + low.pendingTasks);
    low.attempts.values().forEach(attempts -> attempts.forEach(a -> assertTrue(a.isWanted())));
  }

  @Test
  void recoveredJobGetsFullCapacity() {
    runOneSecond();
    Job job = acceptFailing("req-000001", JobKind.ARRAY, 8);
    for (int i = 0; i < 4; i++) {
      runOneSecond();
    }
    assertTrue(job.failing);
    failingJobs.clear();
    for (int i = 0; i < 30; i++) {
      runOneSecond();
    }
    assertFalse(job.failing, "a job whose tasks keep running is not failing");
    assertEquals(8, job.attempts.size());
  }

  /** Guards against starting the whole array again after each failover. */
  @Test
  void newLeaderStartsFewTasksOfFailingJob() throws MalformedMessageException {
    ObjectNode stored =
        RecordWire.job(
            LeaderHarness.spec("req-000001", JobKind.ARRAY, PriorityClass.LOW, 8, "i"),
            leader.now(),
            Job.State.ACTIVE);
    assertFalse(RecordWire.parseJob(stored).atFault());
    assertTrue(RecordWire.parseJob(stored.put("at_fault", true)).atFault());
    runOneSecond();
    Job job = new Job(RecordWire.parseJob(stored).spec(), leader.now(), Job.State.ACTIVE);
    job.failing = true;
    leader.scheduler.add(job);
    runOneSecond();
    assertEquals(2, job.attempts.size());
  }
}
