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

/** The queue against a slow reference model: one list that is searched from end to end. */
class SchedulingQueueTest {
  private static final Instant ORIGIN = Instant.EPOCH.plusSeconds(1000);
  private static final OperatorSettings SETTINGS = OperatorSettings.DEFAULTS;

  /** Team events give QUEUE_IMMEDIATELY for the team named, and capacity events QUEUE. */
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

  static Job job(String id, String team, PriorityClass rank, Instant acceptedAt) {
    JobSpec spec =
        new JobSpec(
            id,
            "class",
            team,
            JobKind.ARRAY,
            rank,
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
    QueueEntry.State place = QueueEntry.State.ACTIVE;
    SchedulingCheck by;
    int tries;
    Instant triedAt;
    Instant until;

    ReferenceEntry(QueueEntry entry) {
      this.entry = entry;
    }

    /** The back-off, doubled step by step. */
    void backOff() {
      double seconds = Math.min(10, Math.pow(2, tries - 1));
      double end = Duration.between(Instant.EPOCH, triedAt).toMillis() / 1000.0 + seconds;
      until = Instant.EPOCH.plusSeconds((long) Math.ceil(end - 1e-9));
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void matchesTheReferenceModel(long seed) {
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    SchedulingQueue queue = queue();
    List<ReferenceEntry> model = new ArrayList<>();
    Instant now = ORIGIN;
    for (int step = 0; step < 3000; step++) {
      now = now.plusMillis(random.nextInt(400));
      switch (random.nextInt(6)) {
        case 0 -> {
          PriorityClass rank = PriorityClass.values()[random.nextInt(4)];
          QueueEntry entry = new QueueEntry(job("req-" + step, "t" + random.nextInt(3), rank, now));
          queue.add(entry);
          model.add(new ReferenceEntry(entry));
        }
        case 1, 2 -> {
          QueueEntry popped = queue.pop(now);
          ReferenceEntry first =
              model.stream()
                  .filter(p -> p.place == QueueEntry.State.ACTIVE)
                  .min(
                      Comparator.<ReferenceEntry, PriorityClass>comparing(
                              p -> p.entry.job.spec.priorityClass())
                          .thenComparing(p -> p.entry.job.acceptedAt)
                          .thenComparing(p -> p.entry.arrivalNumber))
                  .orElse(null);
          if (first == null) {
            assertNull(popped);
            break;
          }
          assertSame(first.entry, popped);
          first.tries++;
          first.triedAt = now;
          int fate = random.nextInt(4);
          if (fate == 0) {
            queue.remove(popped);
            model.remove(first);
          } else if (fate == 1) {
            queue.backOffAfterError(popped, popped.attempts(), now);
            first.backOff();
            first.place = QueueEntry.State.BACKOFF_ERROR;
          } else {
            first.by = fate == 2 ? SchedulingCheck.TEAM_LIMIT : SchedulingCheck.FIT;
            queue.markUnschedulable(popped, first.by, now);
            first.backOff();
            first.place = QueueEntry.State.UNSCHEDULABLE;
          }
        }
        case 3 -> {
          String team = "t" + random.nextInt(3);
          queue.onEvent(ClusterEvent.teamUsageReduced(team), now);
          for (ReferenceEntry p : model) {
            boolean waits =
                p.place == QueueEntry.State.UNSCHEDULABLE
                    || p.place == QueueEntry.State.BACKOFF_REJECTED;
            if (waits
                && p.by == SchedulingCheck.TEAM_LIMIT
                && p.entry.job.spec.team().equals(team)) {
              p.place = QueueEntry.State.ACTIVE;
            }
          }
        }
        case 4 -> {
          queue.onEvent(ClusterEvent.capacityFreed(null, null, Long.MAX_VALUE), now);
          for (ReferenceEntry p : model) {
            if (p.place == QueueEntry.State.UNSCHEDULABLE && p.by == SchedulingCheck.FIT) {
              p.place =
                  p.until.isAfter(now)
                      ? QueueEntry.State.BACKOFF_REJECTED
                      : QueueEntry.State.ACTIVE;
            }
          }
        }
        default -> {
          queue.activateExpired(now);
          for (ReferenceEntry p : model) {
            boolean backingOff =
                p.place == QueueEntry.State.BACKOFF_REJECTED
                    || p.place == QueueEntry.State.BACKOFF_ERROR;
            if (backingOff && !p.until.isAfter(now)) {
              p.place = QueueEntry.State.ACTIVE;
            }
          }
        }
      }
      for (ReferenceEntry p : model) {
        assertEquals(p.place, p.entry.state(), "step " + step + " of " + p.entry);
      }
    }
  }

  @Test
  void anEventDuringACycleAppliesWhenTheEntryIsRejected() {
    SchedulingQueue queue = queue();
    QueueEntry entry = new QueueEntry(job("req-1", "t", PriorityClass.NORMAL, ORIGIN));
    queue.add(entry);
    queue.pop(ORIGIN);
    queue.onEvent(ClusterEvent.teamUsageReduced("t"), ORIGIN);
    queue.markUnschedulable(entry, SchedulingCheck.TEAM_LIMIT, ORIGIN);
    assertEquals(QueueEntry.State.ACTIVE, entry.state());
  }

  @Test
  void anEventWithoutHintFunctionActivatesNothing() {
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
