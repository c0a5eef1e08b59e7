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

/** Pages of jobs that an earlier leader left larger than a value may be now. */
class JobPagesTest {
  private static final int VALUE_BYTES = 2048;

  /** Somebody is told of each job that is over. */
  private static final NotificationLog WANTED =
      new NotificationLog() {
        @Override
        public boolean isWanted() {
          return true;
        }

        @Override
        public void begin() {}

        @Override
        public Notification next(Job job) {
          return new Notification(
              1, job.spec.id(), "red", "work", Job.State.DONE, 1, Instant.EPOCH);
        }

        @Override
        public void stored(Notification notification, int bytes, Runnable drop) {}

        @Override
        public void committed() {}
      };

  private final JobPages pages = new JobPages(VALUE_BYTES, WANTED);
  private final List<Job> jobs = new ArrayList<>();
  private final JobPages.Page large = pages.known("accepted/7");

  private static JsonNode record(Job job) {
    return RecordWire.job(job.spec, Instant.EPOCH, job.state());
  }

  private void begin() {
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
      pages.known(large, job, record(job));
    }
  }

  /** Carries out a mutation as a committed transaction would. */
  private static void commit(Mutation mutation) {
    mutation.edits().forEach(JobPages.Edit::fix);
    mutation.edits().forEach(edit -> edit.page().committed(List.of(edit)));
    mutation.onCommitted().run();
  }

  @Test
  void aPageThatIsTooLargeIsDividedInStepsAndItsCopiesCountAtTheEnd()
      throws MalformedMessageException {
    begin();
    JobPages.Edit waits = pages.remove(jobs.get(3));
    assertFalse(waits.mustWait(), "the limits before still hold");
    pages.shrink();
    assertTrue(waits.mustWait());
    assertSame(large, pages.tooLarge());
    List<Mutation> steps = new ArrayList<>();
    boolean[] divided = new boolean[1];
    pages.divide(large, 64, steps::add, () -> divided[0] = true);
    for (Mutation step : steps) {
      assertFalse(divided[0]);
      assertTrue(waits.mustWait());
      for (JobPages.Edit edit : step.edits()) {
        edit.fix();
        assertTrue(edit.page().bytes() <= VALUE_BYTES);
        JsonNode copies = edit.page().render(List.of(edit));
        for (JsonNode copy : RecordWire.entries(copies)) {
          assertEquals("accepted/7", RecordWire.source(copy));
        }
      }
      commit(step);
    }
    assertTrue(divided[0]);
    assertFalse(waits.mustWait());
    assertNotSame(large, waits.page());
    assertNull(pages.tooLarge());
    for (JsonNode entry : RecordWire.entries(waits.page().render(List.of()))) {
      assertNull(RecordWire.source(entry));
    }
  }

  /** Found by reading: the end of a job whose notice had its place in the page waited for ever. */
  @Test
  void aNoticeThatWaitsForThePageGoesElsewhere() {
    begin();
    JobPages.Edit note = pages.note(jobs.get(0), true);
    assertSame(large, note.page());
    pages.shrink();
    note.held();
    assertNotNull(pages.tooLarge());
    pages.divide(large, 64, mutation -> {}, () -> {});
    assertNotSame(large, note.page());
    assertFalse(note.mustWait());
  }

  /** Found by reading: a notice stored in the page as its division began went with the page. */
  @Test
  void aPageIsNotDividedWhileANoticeIsOnItsWayThere() {
    begin();
    JobPages.Edit note = pages.note(jobs.get(0), true);
    note.fix();
    pages.shrink();
    assertNull(pages.tooLarge());
    large.committed(List.of(note));
    assertNull(pages.tooLarge(), "the notice is in the page now");
  }
}
