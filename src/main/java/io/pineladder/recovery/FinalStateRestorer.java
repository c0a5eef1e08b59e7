package io.pineladder.recovery;

import io.pineladder.model.Job;
import io.pineladder.net.EventLoop;
import io.pineladder.store.RecordKeys;
import io.pineladder.store.StoreClient;
import io.pineladder.wire.RecordWire;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * Stores final states that this controller has seen and that a rebuilt generation lacks, one after
 * the other. Final states are never undone, so those of all controllers are merged.
 */
final class FinalStateRestorer {
  /** The interval between two writes; a rebuild lacks the latest few final states at most. */
  private static final Duration WRITE_INTERVAL = Duration.ofMillis(100);

  private final StoreClient storeClient;
  private final EventLoop eventLoop;
  private final BooleanSupplier isActive;

  /**
   * Creates a restorer.
   *
   * @param isActive whether the store is trusted and this process goes on; all work ends otherwise
   */
  FinalStateRestorer(StoreClient storeClient, EventLoop eventLoop, BooleanSupplier isActive) {
    this.storeClient = storeClient;
    this.eventLoop = eventLoop;
    this.isActive = isActive;
  }

  /** Stores the final states of these jobs, unless a job has one in the store. */
  void store(Map<String, Job.State> finalStates) {
    storeNext(new ArrayDeque<>(finalStates.entrySet()));
  }

  private void storeNext(Deque<Map.Entry<String, Job.State>> remaining) {
    Map.Entry<String, Job.State> next = remaining.peekFirst();
    if (next == null || !isActive.getAsBoolean()) {
      return;
    }
    String key = RecordKeys.FINAL_STATE + next.getKey();
    byte[] body =
        storeClient
            .transaction()
            .require(key, 0)
            .put(key, RecordWire.finalState(next.getValue()))
            .bytes();
    storeClient.writeForUser(
        storeClient.post("/multi", body),
        1,
        reply -> {
          if (reply.hasStatus(200) || reply.hasStatus(409)) {
            remaining.pollFirst();
          }
          eventLoop.schedule(WRITE_INTERVAL, () -> storeNext(remaining));
        });
  }
}
