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

/** Jobs that were submitted with a mistake, among machines that are sound. */
class FailingJobsTest {
  private static final int MACHINES = 6;

  private final LeaderHarness leader = new LeaderHarness();
  private final Set<Attempt> failed = new HashSet<>();
  private final Set<Job> broken = new HashSet<>();
  private long sequence;

  /** Every machine reports; what a broken job runs has failed, and everything else runs. */
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
        boolean fails = broken.contains(attempt.job);
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
    leader.sent.clear();
    leader.scheduler.faultAttribution().reviewRunningJobs(leader.now());
    leader.runFor(Duration.ofMillis(700));
  }

  private Job acceptBroken(String id, JobKind kind, int tasks) {
    Job job = leader.accept(LeaderHarness.spec(id, kind, PriorityClass.LOW, tasks, "i"));
    broken.add(job);
    return job;
  }

  /**
   * Found on colombo-ops: machines on which two jobs with a mistake had failed were returned, and
   * the jobs' whole arrays were started again every second.
   */
  @Test
  void failingJobsCostNoMachineAndFewStarts() {
    runOneSecond();
    Job array = acceptBroken("req-000001", JobKind.ARRAY, 8);
    Job other = acceptBroken("req-000002", JobKind.ARRAY, 8);
    acceptBroken("req-000003", JobKind.GANG, 2);
    for (int i = 0; i < 120; i++) {
      runOneSecond();
    }
    for (int i = 0; i < MACHINES; i++) {
      Machine machine = leader.cluster.machine("m-" + i);
      assertTrue(machine.isSchedulable(), machine.name);
    }
    assertTrue(array.failing);
    assertTrue(array.isActive(), "it is the user's to cancel");
    // One wave of each, then a few probes each time the longest back-off of 10 s is over.
    assertTrue(failed.size() < 120, "started " + failed.size());
    assertTrue(failed.size() > 40, "still tried now and then: " + failed.size());
    leader.scheduler.cancel(other);
    runOneSecond();
    assertTrue(other.attempts.isEmpty());
    assertTrue(other.finalStateStored);
  }

  @Test
  void aFailingJobPreemptsNothingAndIsTriedWhereCapacityIsFree() {
    runOneSecond();
    Job job =
        leader.accept(LeaderHarness.spec("req-000001", JobKind.ARRAY, PriorityClass.HIGH, 8, "i"));
    broken.add(job);
    for (int i = 0; i < 4; i++) {
      runOneSecond();
    }
    assertTrue(job.failing);
    Job low =
        leader.accept(LeaderHarness.spec("req-000002", JobKind.ARRAY, PriorityClass.LOW, 24, "i"));
    for (int i = 0; i < 40; i++) {
      runOneSecond();
    }
    assertTrue(low.pendingTasks.cardinality() <= 2, "all but the probes' room: " + low.pendingTasks);
    low.attempts.values().forEach(all -> all.forEach(a -> assertTrue(a.isWanted())));
  }

  @Test
  void aJobThatRecoversGetsAllItsCapacity() {
    runOneSecond();
    Job job = acceptBroken("req-000001", JobKind.ARRAY, 8);
    for (int i = 0; i < 4; i++) {
      runOneSecond();
    }
    assertTrue(job.failing);
    broken.clear();
    for (int i = 0; i < 30; i++) {
      runOneSecond();
    }
    assertFalse(job.failing, "what runs on for long is not at fault");
    assertEquals(8, job.attempts.size());
  }

  /** Each takeover would start the whole array once more if a new leader had to find out anew. */
  @Test
  void aNewLeaderStartsFewTasksOfAFailingJob() throws MalformedMessageException {
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
