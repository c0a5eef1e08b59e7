package io.pineladder.sim;

import io.pineladder.sim.FakeFleet.Task;
import io.pineladder.sim.FakeFleet.Worker;

/** Receives the events of tasks on workers and describes how each task behaves. */
interface TaskWatcher {
  /** Whether every attempt of the task fails. */
  boolean alwaysFails(Task task);

  boolean isGang(Task task);

  /** The run time of the task in milliseconds; 0 if it runs until it is stopped. */
  long runMillis(Task task);

  /** A worker has executed a start command for the task. */
  void onStartCommand(Task task, Worker worker);

  /** The image of the task is on its machine, and the task occupies its resources. */
  void onStarted(Task task, Worker worker);

  /** The task no longer occupies its machine. */
  void onLeft(Task task, Worker worker);

  /** A gang task is ready and waits for the other tasks of its gang. */
  void onGangTaskReady(Task task);

  void onCompleted(Task task);
}
