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

/** Defines which cluster events may let an entry pass the check that rejected it. */
final class QueueingHints {
  private QueueingHints() {}

  /** Returns the hint functions of all checks that an event can help to pass. */
  static QueueingHintTable createTable(ClusterState cluster, EventLoop eventLoop) {
    QueueingHintTable.HintFunction onCapacity =
        (entry, event) -> {
          Machine machine = event.machine();
          Job job = entry.job;
          if (!machine.isSchedulable()
              || !Placer.isAllowed(job, machine)
              || (machine.provisionedForDeadlines
                  && Placer.wouldBlockDeadlineMachine(cluster, job, machine, eventLoop.wallClock()))
              || !job.spec
                  .resourcesPerTask()
                  .fitsIn(Placer.availableCapacity(job, machine, eventLoop.now()))) {
            return QueueingHint.SKIP;
          }
          boolean needsOtherMachines = job.spec.isMultiTaskGang() && machine.reservedFor() != job;
          return needsOtherMachines ? QueueingHint.QUEUE : QueueingHint.QUEUE_IMMEDIATELY;
        };
    QueueingHintTable.HintFunction onOwnAttemptEnded =
        (entry, event) ->
            event.job() == entry.job ? QueueingHint.QUEUE_IMMEDIATELY : QueueingHint.SKIP;
    QueueingHintTable table = new QueueingHintTable();
    for (SchedulingCheck check :
        List.of(
            SchedulingCheck.PLACE,
            SchedulingCheck.FIT,
            SchedulingCheck.SPREAD,
            SchedulingCheck.TOGETHER)) {
      table
          .register(check, ClusterEvent.Kind.CAPACITY_FREED, onCapacity)
          .register(check, ClusterEvent.Kind.MACHINE_READY, onCapacity);
    }
    for (SchedulingCheck check :
        List.of(SchedulingCheck.SPREAD, SchedulingCheck.TOGETHER, SchedulingCheck.PREDECESSOR)) {
      table.register(check, ClusterEvent.Kind.ATTEMPT_ENDED, onOwnAttemptEnded);
    }
    table.register(
        SchedulingCheck.FAILING,
        ClusterEvent.Kind.ATTEMPT_ENDED,
        (entry, event) -> event.job() == entry.job ? QueueingHint.QUEUE : QueueingHint.SKIP);
    return table.register(
        SchedulingCheck.TEAM_LIMIT,
        ClusterEvent.Kind.TEAM_USAGE_REDUCED,
        (entry, event) -> {
          JobSpec spec = entry.job.spec;
          if (!spec.team().equals(event.team())) {
            return QueueingHint.SKIP;
          }
          return cluster
                  .team(spec.team())
                  .allows(cluster.usage(spec.team()).plus(spec.minimumResources()))
              ? QueueingHint.QUEUE_IMMEDIATELY
              : QueueingHint.SKIP;
        });
  }
}
