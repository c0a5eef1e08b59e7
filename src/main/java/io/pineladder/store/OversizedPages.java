package io.pineladder.store;

import io.pineladder.net.EventLoop;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Divides and evacuates pages that exceed the value limit because earlier leaders wrote them under
 * a higher one. The rate is low, so that most of the write budget remains for users' changes.
 */
final class OversizedPages {
  private static final Logger log = LoggerFactory.getLogger(OversizedPages.class);

  private static final int MAX_COPIES_PER_MUTATION = 64;

  /** Interval between checks while no page is oversized. */
  private static final Duration CHECK_INTERVAL = Duration.ofSeconds(5);

  /** Pause after a job page is divided. */
  private static final Duration DIVISION_INTERVAL = Duration.ofMillis(200);

  /** Interval between evacuations of pages of placements, completions or images. */
  private static final Duration EVACUATION_INTERVAL = Duration.ofSeconds(3);

  private final EventLoop eventLoop;
  private final Consumer<Mutation> commit;
  private final JobPageDivider divider;

  /** Starts to evacuate an oversized page of another kind; false when there is none. */
  private final BooleanSupplier evacuateNextPage;

  private boolean started;

  OversizedPages(
      EventLoop eventLoop,
      Consumer<Mutation> commit,
      JobPageDivider divider,
      BooleanSupplier evacuateNextPage) {
    this.eventLoop = eventLoop;
    this.commit = commit;
    this.divider = divider;
    this.evacuateNextPage = evacuateNextPage;
  }

  /** See {@link Records#divideOversizedPages}. Calls after the first have no effect. */
  void start(BooleanSupplier stillWanted, Runnable onDivided) {
    if (started) {
      return;
    }
    started = true;
    divider.markOversizedPages();
    divideJobPages(stillWanted, onDivided);
    evacuatePages(stillWanted);
  }

  private void divideJobPages(BooleanSupplier stillWanted, Runnable onDivided) {
    if (!stillWanted.getAsBoolean()) {
      return;
    }
    JobPage page = divider.nextOversizedPage();
    if (page == null) {
      eventLoop.schedule(CHECK_INTERVAL, () -> divideJobPages(stillWanted, onDivided));
      return;
    }
    log.info("Dividing a page of jobs that exceeds the value limit: key={}", page.key);
    divider.divide(
        page,
        MAX_COPIES_PER_MUTATION,
        commit,
        () -> {
          onDivided.run();
          eventLoop.schedule(DIVISION_INTERVAL, () -> divideJobPages(stillWanted, onDivided));
        });
  }

  private void evacuatePages(BooleanSupplier stillWanted) {
    if (stillWanted.getAsBoolean()) {
      Duration interval = evacuateNextPage.getAsBoolean() ? EVACUATION_INTERVAL : CHECK_INTERVAL;
      eventLoop.schedule(interval, () -> evacuatePages(stillWanted));
    }
  }
}
