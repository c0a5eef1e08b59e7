package io.pineladder.scheduling;

import io.pineladder.model.Job;
import io.pineladder.model.JobSpec;
import io.pineladder.model.Machine;
import io.pineladder.net.Timeline;
import io.pineladder.queue.Check;
import io.pineladder.queue.Event;
import io.pineladder.queue.Hint;
import io.pineladder.queue.HintTable;
import java.util.List;

/** Which events may help which rejections. */
final class Hints {
  private Hints() {}

  /** The hints of all checks. */
  static HintTable table(Cluster cluster, Timeline time) {
    HintTable.HintFunction room =
        (entry, event) -> {
          Machine machine = event.machine();
          Job job = entry.job;
          if (!machine.takesWork()
              || !Placer.isAllowed(job, machine)
              || (machine.surge && Placer.keepsLong(cluster, job, machine, time.timeOfDay()))
              || !job.spec.each().fitsIn(Placer.room(job, machine, time.now()))) {
            return Hint.SKIP;
          }
          boolean waits = job.spec.isGangOfSeveral() && machine.reservedFor != job;
          return waits ? Hint.QUEUE : Hint.QUEUE_AT_ONCE;
        };
    HintTable.HintFunction ownTask =
        (entry, event) -> event.job() == entry.job ? Hint.QUEUE_AT_ONCE : Hint.SKIP;
    HintTable table = new HintTable();
    for (Check check : List.of(Check.PLACE, Check.FIT, Check.SPREAD, Check.TOGETHER)) {
      table.on(check, Event.Kind.ROOM_FREED, room).on(check, Event.Kind.MACHINE_READY, room);
    }
    for (Check check : List.of(Check.SPREAD, Check.TOGETHER, Check.PREDECESSOR)) {
      table.on(check, Event.Kind.ATTEMPT_GONE, ownTask);
    }
    table.on(
        Check.FAILING,
        Event.Kind.ATTEMPT_GONE,
        (entry, event) -> event.job() == entry.job ? Hint.QUEUE : Hint.SKIP);
    return table.on(
        Check.TEAM_LIMIT,
        Event.Kind.TEAM_FREED,
        (entry, event) -> {
          JobSpec spec = entry.job.spec;
          if (!spec.team().equals(event.team())) {
            return Hint.SKIP;
          }
          return cluster.team(spec.team()).allows(cluster.usage(spec.team()).plus(spec.least()))
              ? Hint.QUEUE_AT_ONCE
              : Hint.SKIP;
        });
  }
}
