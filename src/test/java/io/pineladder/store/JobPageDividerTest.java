package io.pineladder.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.model.Job;
import io.pineladder.model.JobKind;
import io.pineladder.model.JobSpec;
import io.pineladder.model.Notification;
import io.pineladder.model.PriorityClass;
import io.pineladder.model.Resources;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.RecordWire;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the division of job pages that exceed a lowered value limit. */
class JobPageDividerTest {
  private static final int VALUE_BYTES = 2048;

  /** A log with one subscriber, which wants a notification of each final state. */
  private static final NotificationLog ONE_SUBSCRIBER =
      new NotificationLog() {
        @Override
        public boolean hasSubscribers() {
          return true;
        }

        @Override
        public void beginTransaction() {}

        @Override
        public Notification allocate(Job job) {
          return new Notification(
              1, job.spec.id(), "red", "work", Job.State.DONE, 1, Instant.EPOCH);
        }

        @Override
        public void onStored(Notification notification, int storedBytes, Runnable removeFromPage) {}

        @Override
        public void onTransactionCommitted() {}
      };

  private final JobPages pages = new JobPages(VALUE_BYTES, ONE_SUBSCRIBER);
  private final JobPageDivider divider = new JobPageDivider(pages);
  private final List<Job> jobs = new ArrayList<>();
  private final JobPage large = pages.restore("accepted/7");

  private static JsonNode record(Job job) {
    return RecordWire.job(job.spec, Instant.EPOCH, job.state());
  }

  private void restoreJobs() {
    for (int i = 0; i < 12; i++) {
      JobSpec spec =
          new JobSpec(
              "req-" + i,
              "work",
              "red",
              JobKind.ARRAY,
              PriorityClass.NORMAL,
              1,
              Resources.of(1, 0, 1),
              null,
              null,
              false,
              false,
              true,
              "img",
              1,
              Duration.ofSeconds(5),
              Duration.ZERO,
              Duration.ZERO,
              null);
      Job job = new Job(spec, Instant.EPOCH, Job.State.ACTIVE);
      jobs.add(job);
      pages.restore(large, job, record(job));
    }
  }

  /** Applies a mutation as if its transaction were committed. */
  private static void commit(Mutation mutation) {
    mutation.pageEdits().forEach(JobPageEdit::prepare);
    mutation.pageEdits().forEach(edit -> edit.page().onCommitted(List.of(edit)));
    mutation.onCommitted().run();
  }

  @Test
  void dividesOversizedPageInSteps() throws MalformedMessageException {
    restoreJobs();
    JobPageEdit removal = pages.removeRecord(jobs.get(3));
    assertFalse(removal.mustBeDeferred(), "pages are not marked as oversized yet");
    divider.markOversizedPages();
    assertTrue(removal.mustBeDeferred());
    assertSame(large, divider.nextOversizedPage());
    List<Mutation> steps = new ArrayList<>();
    boolean[] divided = new boolean[1];
    divider.divide(large, 64, steps::add, () -> divided[0] = true);
    for (Mutation step : steps) {
      assertFalse(divided[0]);
      assertTrue(removal.mustBeDeferred());
      for (JobPageEdit edit : step.pageEdits()) {
        edit.prepare();
        assertTrue(edit.page().maxValueBytes() <= VALUE_BYTES);
        JsonNode copies = edit.page().render(List.of(edit));
        for (JsonNode copy : RecordWire.entries(copies)) {
          assertEquals("accepted/7", RecordWire.copySource(copy));
        }
      }
      commit(step);
    }
    assertTrue(divided[0]);
    assertFalse(removal.mustBeDeferred());
    assertNotSame(large, removal.page());
    assertNull(divider.nextOversizedPage());
    for (JsonNode entry : RecordWire.entries(removal.page().render(List.of()))) {
      assertNull(RecordWire.copySource(entry));
    }
  }

  /** Guards against a final state that stays deferred forever because of its notification. */
  @Test
  void relocatesDeferredNotification() {
    restoreJobs();
    JobPageEdit notification = pages.addNotification(jobs.get(0), true);
    assertSame(large, notification.page());
    divider.markOversizedPages();
    notification.defer();
    assertNotNull(divider.nextOversizedPage());
    divider.divide(large, 64, mutation -> {}, () -> {});
    assertNotSame(large, notification.page());
    assertFalse(notification.mustBeDeferred());
  }

  /** Guards against deleting a notification together with the page. */
  @Test
  void doesNotDividePageWithNotificationInFlight() {
    restoreJobs();
    JobPageEdit notification = pages.addNotification(jobs.get(0), true);
    notification.prepare();
    divider.markOversizedPages();
    assertNull(divider.nextOversizedPage());
    large.onCommitted(List.of(notification));
    assertNull(divider.nextOversizedPage(), "the notification is in the page now");
  }
}
