package io.pineladder.queue;

import io.pineladder.model.Job;
import io.pineladder.model.Machine;

/** Something that may let a parked entry be placed; the fields that do not apply are null. */
public record Event(Kind kind, Machine machine, Job job, String team) {
  /** What happened. */
  public enum Kind {
    ROOM_FREED,
    MACHINE_READY,
    TEAM_FREED,
    ATTEMPT_GONE
  }

  public static Event roomFreed(Machine machine) {
    return new Event(Kind.ROOM_FREED, machine, null, null);
  }

  public static Event machineReady(Machine machine) {
    return new Event(Kind.MACHINE_READY, machine, null, null);
  }

  public static Event teamFreed(String team) {
    return new Event(Kind.TEAM_FREED, null, null, team);
  }

  public static Event attemptGone(Job job) {
    return new Event(Kind.ATTEMPT_GONE, null, job, null);
  }
}
