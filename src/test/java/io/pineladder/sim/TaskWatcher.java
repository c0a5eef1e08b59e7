package io.pineladder.sim;

import io.pineladder.sim.FakeFleet.Task;
import io.pineladder.sim.FakeFleet.Worker;

/** Follows what becomes of tasks on workers, and knows what kind of task each is. */
interface TaskWatcher {
  /** Every attempt of the task fails. */
  boolean alwaysFails(Task task);

  boolean isGang(Task task);

  /** How long the task runs; 0 until it is stopped. */
  long runMillis(Task task);

  /** A start was executed. */
  void onStartCommand(Task task, Worker on);

  /** The task is on its machine with its image. */
  void onStarted(Task task, Worker on);

  /** The task is on its machine no more. */
  void onLeft(Task task, Worker from);

  /** A task of a gang waits for the others. */
  void onGangTaskReady(Task task);

  void onCompleted(Task task);
}
