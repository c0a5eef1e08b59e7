package io.pineladder.queue;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import io.pineladder.model.Job;
import io.pineladder.model.JobKind;
import io.pineladder.model.JobSpec;
import io.pineladder.model.OperatorSettings;
import io.pineladder.model.PriorityClass;
import io.pineladder.model.Resources;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Compares the queue with a reference model: a single list with linear search. */
class SchedulingQueueTest {
  private static final Instant ORIGIN = Instant.EPOCH.plusSeconds(1000);
  private static final OperatorSettings SETTINGS = OperatorSettings.DEFAULTS;

  /** Team events return QUEUE_IMMEDIATELY for entries of the team, capacity events QUEUE. */
  private static QueueingHintTable hints() {
    return new QueueingHintTable()
        .register(
            SchedulingCheck.TEAM_LIMIT,
            ClusterEvent.Kind.TEAM_USAGE_REDUCED,
            (entry, event) ->
                entry.job.spec.team().equals(event.team())
                    ? QueueingHint.QUEUE_IMMEDIATELY
                    : QueueingHint.SKIP)
        .register(
            SchedulingCheck.FIT,
            ClusterEvent.Kind.CAPACITY_FREED,
            (entry, event) -> QueueingHint.QUEUE);
  }

  static Job job(String id, String team, PriorityClass priorityClass, Instant acceptedAt) {
    JobSpec spec =
        new JobSpec(
            id,
            "class",
            team,
            JobKind.ARRAY,
            priorityClass,
            1,
            Resources.of(1, 0, 1),
            null,
            null,
            false,
            false,
            false,
            "image",
            1,
            Duration.ofSeconds(10),
            Duration.ZERO,
            Duration.ZERO,
            null);
    return new Job(spec, acceptedAt, Job.State.ACTIVE);
  }

  private static final SchedulingQueue.Ordering BY_ACCEPTANCE =
      new SchedulingQueue.Ordering() {
        @Override
        public boolean isGuaranteed(QueueEntry entry) {
          return false;
        }

        @Override
        public Instant dueAt(QueueEntry entry) {
          return entry.job.acceptedAt;
        }
      };

  private static SchedulingQueue queue() {
    return new SchedulingQueue(hints(), BY_ACCEPTANCE, SETTINGS);
  }

  /** An entry in the reference model. */
  private static final class ReferenceEntry {
    final QueueEntry entry;
    QueueEntry.State state = QueueEntry.State.ACTIVE;
    SchedulingCheck rejectedBy;
    int attempts;
    Instant lastCycleAt;
    Instant backoffExpiry;

    ReferenceEntry(QueueEntry entry) {
      this.entry = entry;
    }

    /** Computes the end of the back-off from the number of attempts. */
    void backOff() {
      double seconds = Math.min(10, Math.pow(2, attempts - 1));
      double end = Duration.between(Instant.EPOCH, lastCycleAt).toMillis() / 1000.0 + seconds;
      backoffExpiry = Instant.EPOCH.plusSeconds((long) Math.ceil(end - 1e-9));
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void matchesReferenceModel(long seed) {
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    SchedulingQueue queue = queue();
    List<ReferenceEntry> model = new ArrayList<>();
    Instant now = ORIGIN;
    for (int step = 0; step < 3000; step++) {
      now = now.plusMillis(random.nextInt(400));
      switch (random.nextInt(6)) {
        case 0 -> {
          PriorityClass priorityClass = PriorityClass.values()[random.nextInt(4)];
          QueueEntry entry =
              new QueueEntry(job("req-" + step, "t" + random.nextInt(3), priorityClass, now));
          queue.add(entry);
          model.add(new ReferenceEntry(entry));
        }
        case 1, 2 -> {
          QueueEntry popped = queue.pop(now);
          ReferenceEntry first =
              model.stream()
                  .filter(modelEntry -> modelEntry.state == QueueEntry.State.ACTIVE)
                  .min(
                      Comparator.<ReferenceEntry, PriorityClass>comparing(
                              modelEntry -> modelEntry.entry.job.spec.priorityClass())
                          .thenComparing(modelEntry -> modelEntry.entry.job.acceptedAt)
                          .thenComparing(modelEntry -> modelEntry.entry.arrivalNumber))
                  .orElse(null);
          if (first == null) {
            assertNull(popped);
            break;
          }
          assertSame(first.entry, popped);
          first.attempts++;
          first.lastCycleAt = now;
          int outcome = random.nextInt(4);
          if (outcome == 0) {
            queue.remove(popped);
            model.remove(first);
          } else if (outcome == 1) {
            queue.backOffAfterError(popped, popped.attempts(), now);
            first.backOff();
            first.state = QueueEntry.State.BACKOFF_ERROR;
          } else {
            first.rejectedBy = outcome == 2 ? SchedulingCheck.TEAM_LIMIT : SchedulingCheck.FIT;
            queue.markUnschedulable(popped, first.rejectedBy, now);
            first.backOff();
            first.state = QueueEntry.State.UNSCHEDULABLE;
          }
        }
        case 3 -> {
          String team = "t" + random.nextInt(3);
          queue.onEvent(ClusterEvent.teamUsageReduced(team), now);
          for (ReferenceEntry modelEntry : model) {
            boolean isRejected =
                modelEntry.state == QueueEntry.State.UNSCHEDULABLE
                    || modelEntry.state == QueueEntry.State.BACKOFF_REJECTED;
            if (isRejected
                && modelEntry.rejectedBy == SchedulingCheck.TEAM_LIMIT
                && modelEntry.entry.job.spec.team().equals(team)) {
              modelEntry.state = QueueEntry.State.ACTIVE;
            }
          }
        }
        case 4 -> {
          queue.onEvent(ClusterEvent.capacityFreed(null, null, Long.MAX_VALUE), now);
          for (ReferenceEntry modelEntry : model) {
            if (modelEntry.state == QueueEntry.State.UNSCHEDULABLE
                && modelEntry.rejectedBy == SchedulingCheck.FIT) {
              modelEntry.state =
                  modelEntry.backoffExpiry.isAfter(now)
                      ? QueueEntry.State.BACKOFF_REJECTED
                      : QueueEntry.State.ACTIVE;
            }
          }
        }
        default -> {
          queue.activateExpired(now);
          for (ReferenceEntry modelEntry : model) {
            boolean isInBackoff =
                modelEntry.state == QueueEntry.State.BACKOFF_REJECTED
                    || modelEntry.state == QueueEntry.State.BACKOFF_ERROR;
            if (isInBackoff && !modelEntry.backoffExpiry.isAfter(now)) {
              modelEntry.state = QueueEntry.State.ACTIVE;
            }
          }
        }
      }
      for (ReferenceEntry modelEntry : model) {
        assertEquals(
            modelEntry.state, modelEntry.entry.state(), "step " + step + " of " + modelEntry.entry);
      }
    }
  }

  @Test
  void appliesEventReceivedDuringCycleOnRejection() {
    SchedulingQueue queue = queue();
    QueueEntry entry = new QueueEntry(job("req-1", "t", PriorityClass.NORMAL, ORIGIN));
    queue.add(entry);
    queue.pop(ORIGIN);
    queue.onEvent(ClusterEvent.teamUsageReduced("t"), ORIGIN);
    queue.markUnschedulable(entry, SchedulingCheck.TEAM_LIMIT, ORIGIN);
    assertEquals(QueueEntry.State.ACTIVE, entry.state());
  }

  @Test
  void ignoresEventWithoutHintFunction() {
    SchedulingQueue queue = queue();
    QueueEntry entry = new QueueEntry(job("req-1", "t", PriorityClass.NORMAL, ORIGIN));
    queue.add(entry);
    queue.pop(ORIGIN);
    queue.markUnschedulable(entry, SchedulingCheck.PREDECESSOR, ORIGIN);
    queue.onEvent(ClusterEvent.capacityFreed(null, null, Long.MAX_VALUE), ORIGIN.plusSeconds(60));
    queue.onEvent(ClusterEvent.teamUsageReduced("t"), ORIGIN.plusSeconds(60));
    assertEquals(QueueEntry.State.UNSCHEDULABLE, entry.state());
    assertEquals(1, queue.unschedulableByCheck().get(SchedulingCheck.PREDECESSOR));
  }
}
