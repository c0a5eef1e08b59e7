package io.pineladder.store;

import io.pineladder.net.EventLoop;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores pages that earlier leaders left larger than a value may be now as pages that are not, at a
 * rate that leaves most of the write budget to what users wait for.
 */
final class OversizedPages {
  private static final Logger log = LoggerFactory.getLogger(OversizedPages.class);

  /** Jobs copied in one change of a page at most. */
  private static final int MAX_COPIES_PER_MUTATION = 64;

  /** Between two checks when no page is too large. */
  private static final Duration CHECK_INTERVAL = Duration.ofSeconds(5);

  /** Between two pages of jobs: their changes yield to those that users wait for. */
  private static final Duration DIVISION_INTERVAL = Duration.ofMillis(200);

  /** Between two pages of placements, completions or images. */
  private static final Duration EVACUATION_INTERVAL = Duration.ofSeconds(3);

  private final EventLoop eventLoop;
  private final Consumer<Mutation> commit;
  private final JobPageDivider divider;

  /** Begins to evacuate one page of another kind than jobs; false when none is too large. */
  private final BooleanSupplier evacuateOne;

  private boolean started;

  OversizedPages(
      EventLoop eventLoop,
      Consumer<Mutation> commit,
      JobPageDivider divider,
      BooleanSupplier evacuateOne) {
    this.eventLoop = eventLoop;
    this.commit = commit;
    this.divider = divider;
    this.evacuateOne = evacuateOne;
  }

  /** See {@link Records#divideOversizedPages}; further calls have no effect. */
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
      // One page at a time: the write budget is needed for service.
      Duration interval = evacuateOne.getAsBoolean() ? EVACUATION_INTERVAL : CHECK_INTERVAL;
      eventLoop.schedule(interval, () -> evacuatePages(stillWanted));
    }
  }
}
