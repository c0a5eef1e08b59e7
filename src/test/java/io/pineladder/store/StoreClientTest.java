package io.pineladder.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pineladder.model.Settings;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;

class StoreClientTest {
  /** Found on the grown colombo: a new leader's reads waited half a minute behind users' polls. */
  @Test
  void userRequestsAreNeverQueuedAheadOfTheNodesOwn() {
    List<String> sent = new ArrayList<>();
    AsyncHttpClient httpClient = (request, onReply) -> sent.add(request.path());
    EventLoop eventLoop =
        new EventLoop() {
          @Override
          public Instant now() {
            return Instant.EPOCH;
          }

          private final RandomGenerator random =
              RandomGeneratorFactory.of("L64X128MixRandom").create(1);

          @Override
          public Instant wallClock() {
            return Instant.EPOCH;
          }

          @Override
          public RandomGenerator random() {
            return random;
          }

          @Override
          public void schedule(Duration delay, Runnable action) {}
        };
    StoreClient storeClient =
        new StoreClient(
            httpClient, eventLoop, "10.2.0.1:2379", new Settings.StoreLimits(100, 40, 8192, 12), 3);
    int[] refused = new int[1];
    for (int i = 0; i < 1000; i++) {
      storeClient.readForUser(
          "job/req-" + i,
          read -> {
            assertFalse(read.succeeded());
            refused[0]++;
          });
    }
    int served = sent.size();
    assertEquals(1000, served + refused[0]);
    assertTrue(served >= 5 && served <= 20, "a node's part of the limit, not " + served);
    storeClient.listAll("job/", () -> true, listing -> {});
    assertEquals(served + 1, sent.size());
    // Found there too: while peers refused each other, polls used up what submissions needed.
    storeClient.writeForUser(storeClient.post("/multi", new byte[0]), 2, reply -> {});
    assertEquals(served + 2, sent.size());
  }
}
