package io.pineladder.generation;

import io.pineladder.model.Generation;
import io.pineladder.net.EventLoop;
import io.pineladder.store.RecordKeys;
import io.pineladder.store.StoreClient;
import io.pineladder.wire.StoreWire;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Removes the keys of earlier generations, for one leader. Each step deletes a few keys in a
 * transaction that requires the leader's key and the generation, so a leader that was replaced
 * deletes nothing, and its successor continues. Event thread only.
 */
public final class GenerationGarbageCollector {
  private static final Logger log = LoggerFactory.getLogger(GenerationGarbageCollector.class);

  /** How long the records of before a rebuild remain for inspection. */
  static final Duration RETENTION = Duration.ofMinutes(10);

  private static final Duration STEP_INTERVAL = Duration.ofSeconds(1);

  /** Late transactions of earlier generations may have stored keys again. */
  private static final Duration RESCAN_INTERVAL = Duration.ofHours(1);

  /** The divisor of the store's write rate; the rest is for the service. */
  private static final int WRITE_RATE_DIVISOR = 8;

  /** Keys of the first generation; any other key belongs to somebody else. */
  private static final Pattern FIRST_GENERATION_KEY =
      Pattern.compile(
          "(accepted|job|done|end|placed|images|inbox|conf|backlog|delivered|damaged|apart|lead)/.*");

  private static final Pattern LATER_GENERATION_KEY = Pattern.compile("g([0-9]{1,18})/.*");

  private final StoreClient storeClient;
  private final EventLoop eventLoop;
  private final long leaderKeyRevision;
  private final BooleanSupplier isLeading;
  private long removedCount;

  /**
   * Creates the collector of one term.
   *
   * @param leaderKeyRevision the revision of the leader's key
   * @param isLeading whether the term goes on; the collector ends otherwise
   */
  public GenerationGarbageCollector(
      StoreClient storeClient,
      EventLoop eventLoop,
      long leaderKeyRevision,
      BooleanSupplier isLeading) {
    this.storeClient = storeClient;
    this.eventLoop = eventLoop;
    this.leaderKeyRevision = leaderKeyRevision;
    this.isLeading = isLeading;
  }

  /** Starts after the retention, if there is an earlier generation. */
  public void start() {
    if (storeClient.generation().base() != 0) {
      eventLoop.schedule(RETENTION, () -> scanPage(null));
    }
  }

  private void scanPage(String after) {
    if (!isLeading.getAsBoolean()) {
      return;
    }
    storeClient.readPageOfAllGenerations(
        after,
        page -> {
          if (!isLeading.getAsBoolean()) {
            return;
          }
          if (page == null) {
            eventLoop.schedule(STEP_INTERVAL, () -> scanPage(after));
            return;
          }
          List<String> obsoleteKeys = new ArrayList<>();
          String lastKey = after;
          Generation present = storeClient.generation();
          int maxDeletes = maxDeletes();
          for (StoreWire.Entry entry : page.entries()) {
            if (isObsolete(entry.key(), present)) {
              if (obsoleteKeys.size() == maxDeletes) {
                break;
              }
              obsoleteKeys.add(entry.key());
            }
            lastKey = entry.key();
          }
          if (lastKey != null && lastKey.startsWith(present.prefix())) {
            // Skips the keys of the present generation: '0' follows '/'.
            lastKey = "g" + present.base() + "0";
          }
          boolean more = page.hasMore() || !obsoleteKeys.isEmpty();
          deleteAndContinue(obsoleteKeys, lastKey, more);
        });
  }

  private int maxDeletes() {
    int share = (int) Math.max(1, storeClient.limits().writesPerSecond() / WRITE_RATE_DIVISOR);
    return Math.min(share, storeClient.limits().transactionOps());
  }

  /** Whether a key is of an earlier generation. */
  static boolean isObsolete(String key, Generation present) {
    Matcher later = LATER_GENERATION_KEY.matcher(key);
    return later.matches()
        ? Long.parseLong(later.group(1)) < present.base()
        : FIRST_GENERATION_KEY.matcher(key).matches();
  }

  private void deleteAndContinue(List<String> obsoleteKeys, String lastKey, boolean more) {
    if (obsoleteKeys.isEmpty()) {
      if (!more && removedCount > 0) {
        log.info("Keys of earlier generations removed: count={}", removedCount);
        removedCount = 0;
      }
      eventLoop.schedule(
          more ? STEP_INTERVAL : RESCAN_INTERVAL, () -> scanPage(more ? lastKey : null));
      return;
    }
    Generation present = storeClient.generation();
    StoreWire.Transaction remove =
        new StoreWire.Transaction("")
            .requireGeneration(present.recordRevision())
            .require(present.prefix() + RecordKeys.LEADER, leaderKeyRevision);
    obsoleteKeys.forEach(remove::delete);
    storeClient.writeBudget().consume(obsoleteKeys.size(), eventLoop.now());
    storeClient.sendImmediately(
        storeClient.post("/multi", remove.bytes()),
        reply -> {
          removedCount += reply.hasStatus(200) ? obsoleteKeys.size() : 0;
          // After a failure the scan begins again and finds what was not removed.
          eventLoop.schedule(STEP_INTERVAL, () -> scanPage(reply.hasStatus(200) ? lastKey : null));
        });
  }
}
