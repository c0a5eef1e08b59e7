package io.pineladder.scheduling;

import io.pineladder.model.Job;
import io.pineladder.model.JobSpec;
import io.pineladder.model.Machine;
import io.pineladder.net.EventLoop;
import io.pineladder.queue.ClusterEvent;
import io.pineladder.queue.QueueingHint;
import io.pineladder.queue.QueueingHintTable;
import io.pineladder.queue.SchedulingCheck;
import java.util.List;

/** Which events may help which rejections. */
final class QueueingHints {
  private QueueingHints() {}

  /** The hints of all checks. */
  static QueueingHintTable table(ClusterState cluster, EventLoop eventLoop) {
    QueueingHintTable.HintFunction room =
        (entry, event) -> {
          Machine machine = event.machine();
          Job job = entry.job;
          if (!machine.isSchedulable()
              || !Placer.isAllowed(job, machine)
              || (machine.rentedForDeadlines
                  && Placer.keepsLong(cluster, job, machine, eventLoop.wallClock()))
              || !job.spec.resourcesPerTask().fitsIn(Placer.room(job, machine, eventLoop.now()))) {
            return QueueingHint.SKIP;
          }
          boolean waits = job.spec.isMultiTaskGang() && machine.reservedFor != job;
          return waits ? QueueingHint.QUEUE : QueueingHint.QUEUE_AT_ONCE;
        };
    QueueingHintTable.HintFunction ownTask =
        (entry, event) -> event.job() == entry.job ? QueueingHint.QUEUE_AT_ONCE : QueueingHint.SKIP;
    QueueingHintTable table = new QueueingHintTable();
    for (SchedulingCheck check :
        List.of(
            SchedulingCheck.PLACE,
            SchedulingCheck.FIT,
            SchedulingCheck.SPREAD,
            SchedulingCheck.TOGETHER)) {
      table
          .on(check, ClusterEvent.Kind.ROOM_FREED, room)
          .on(check, ClusterEvent.Kind.MACHINE_READY, room);
    }
    for (SchedulingCheck check :
        List.of(SchedulingCheck.SPREAD, SchedulingCheck.TOGETHER, SchedulingCheck.PREDECESSOR)) {
      table.on(check, ClusterEvent.Kind.ATTEMPT_GONE, ownTask);
    }
    table.on(
        SchedulingCheck.FAILING,
        ClusterEvent.Kind.ATTEMPT_GONE,
        (entry, event) -> event.job() == entry.job ? QueueingHint.QUEUE : QueueingHint.SKIP);
    return table.on(
        SchedulingCheck.TEAM_LIMIT,
        ClusterEvent.Kind.TEAM_FREED,
        (entry, event) -> {
          JobSpec spec = entry.job.spec;
          if (!spec.team().equals(event.team())) {
            return QueueingHint.SKIP;
          }
          return cluster
                  .team(spec.team())
                  .allows(cluster.usage(spec.team()).plus(spec.minimumResources()))
              ? QueueingHint.QUEUE_AT_ONCE
              : QueueingHint.SKIP;
        });
  }
}
