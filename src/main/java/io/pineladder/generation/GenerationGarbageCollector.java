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
 * Clears away what earlier generations of the records have left, for one leader. Each step removes
 * a few keys in a transaction that asks for the leader's key and the generation, so a leader that
 * was replaced removes nothing, and its successor goes on from whatever is left.
 */
public final class GenerationGarbageCollector {
  private static final Logger log = LoggerFactory.getLogger(GenerationGarbageCollector.class);

  /** So long what was there before a rebuild may be looked at. */
  static final Duration KEPT = Duration.ofMinutes(10);

  private static final Duration PACE = Duration.ofSeconds(1);

  /** What late transactions of before have brought back is looked for now and then. */
  private static final Duration AGAIN = Duration.ofHours(1);

  /** A part of the changes a second, which service needs more. */
  private static final int PART = 8;

  /** Keys of the first generation; what else there may be is not ours to remove. */
  private static final Pattern FIRST =
      Pattern.compile(
          "(accepted|job|done|end|placed|images|inbox|conf|backlog|delivered|damaged|apart|lead)/.*");

  private static final Pattern LATER = Pattern.compile("g([0-9]{1,18})/.*");

  private final StoreClient storeClient;
  private final EventLoop eventLoop;
  private final long version;
  private final BooleanSupplier leads;
  private long removed;

  /**
   * The clearing of one term.
   *
   * @param version the revision of the leader's key
   */
  public GenerationGarbageCollector(
      StoreClient storeClient, EventLoop eventLoop, long version, BooleanSupplier leads) {
    this.storeClient = storeClient;
    this.eventLoop = eventLoop;
    this.version = version;
    this.leads = leads;
  }

  /** Begins after a while, if there is anything to clear. */
  public void start() {
    if (storeClient.generation().base() != 0) {
      eventLoop.schedule(KEPT, () -> step(null));
    }
  }

  private void step(String after) {
    if (!leads.getAsBoolean()) {
      return;
    }
    storeClient.readPageOfAllGenerations(
        after,
        page -> {
          if (!leads.getAsBoolean()) {
            return;
          }
          if (page == null) {
            eventLoop.schedule(PACE, () -> step(after));
            return;
          }
          List<String> old = new ArrayList<>();
          String last = after;
          Generation present = storeClient.generation();
          int most = most();
          for (StoreWire.Entry entry : page.entries()) {
            if (isOld(entry.key(), present)) {
              if (old.size() == most) {
                break;
              }
              old.add(entry.key());
            }
            last = entry.key();
          }
          if (last != null && last.startsWith(present.prefix())) {
            // Nothing of the present generation need be read: '0' follows '/'.
            last = "g" + present.base() + "0";
          }
          boolean more = page.more() || !old.isEmpty();
          next(old, last, more);
        });
  }

  private int most() {
    int share = (int) Math.max(1, storeClient.limits().writesPerSecond() / PART);
    return Math.min(share, storeClient.limits().transactionOps());
  }

  /** Whether a key is of an earlier generation. */
  static boolean isOld(String key, Generation present) {
    Matcher later = LATER.matcher(key);
    return later.matches()
        ? Long.parseLong(later.group(1)) < present.base()
        : FIRST.matcher(key).matches();
  }

  private void next(List<String> old, String last, boolean more) {
    if (old.isEmpty()) {
      if (!more && removed > 0) {
        log.info("{} keys of earlier generations are cleared away", removed);
        removed = 0;
      }
      eventLoop.schedule(more ? PACE : AGAIN, () -> step(more ? last : null));
      return;
    }
    Generation present = storeClient.generation();
    StoreWire.Transaction remove =
        new StoreWire.Transaction("")
            .requireGeneration(present.recordRevision())
            .require(present.prefix() + RecordKeys.LEADER, version);
    old.forEach(remove::delete);
    storeClient.writeBudget().take(old.size(), eventLoop.now());
    storeClient.sendImmediately(
        storeClient.post("/multi", remove.bytes()),
        reply -> {
          removed += reply.is(200) ? old.size() : 0;
          // What was not removed is found again from the beginning.
          eventLoop.schedule(PACE, () -> step(reply.is(200) ? last : null));
        });
  }
}
