package io.pineladder.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pineladder.model.JobKind;
import io.pineladder.model.JobSpec;
import io.pineladder.model.TestJobs;
import org.junit.jupiter.api.Test;

/** Jobs and placed tasks within the heap of the deploy file. */
class MemoryBudgetTest {
  private static final long HEAP_BYTES = 92L * 1024 * 1024;
  private static final int MAX_TASKS = 100_000;

  private final MemoryBudget budget = new MemoryBudget(HEAP_BYTES);

  /** Guards against refusing the largest job that the protocol allows. */
  @Test
  void holdsTheLargestJobOfEachKindOnce() {
    for (JobKind kind : JobKind.values()) {
      JobSpec largest = TestJobs.smallTasks(kind, MAX_TASKS);
      assertTrue(budget.hasRoomFor(largest), kind.name());
      budget.reserve(largest);
      assertEquals(kind == JobKind.ARRAY, budget.hasRoomFor(largest), kind.name());
      budget.release(largest);
    }
  }

  /** Guards against arrays that take the memory of services that are accepted already. */
  @Test
  void arraysUseWhatServicesLeave() {
    int left = budget.arrayAttemptsLeft();
    assertTrue(left > MAX_TASKS);
    budget.reserve(TestJobs.smallTasks(JobKind.SERVICE, MAX_TASKS));
    assertTrue(budget.arrayAttemptsLeft() <= left - MAX_TASKS);
    while (budget.arrayAttemptsLeft() > 0) {
      budget.onArrayAttemptAdded();
    }
    assertTrue(
        budget.hasRoomFor(TestJobs.smallTasks(JobKind.ARRAY, 1)),
        "it waits until tasks have ended");
    budget.onArrayAttemptRemoved();
    assertEquals(1, budget.arrayAttemptsLeft());
    budget.reserve(TestJobs.smallTasks(JobKind.SERVICE, MAX_TASKS));
    assertEquals(0, budget.arrayAttemptsLeft());
    assertFalse(budget.hasRoomFor(TestJobs.smallTasks(JobKind.ARRAY, 1)));
  }
}
