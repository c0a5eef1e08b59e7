package io.pineladder.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pineladder.model.Settings;
import io.pineladder.net.HttpCaller;
import io.pineladder.net.Timeline;
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
  void whatUsersAskForNeverStandsBeforeTheNodesOwnRequests() {
    List<String> sent = new ArrayList<>();
    HttpCaller http = (request, onReply) -> sent.add(request.path());
    Timeline time =
        new Timeline() {
          @Override
          public Instant now() {
            return Instant.EPOCH;
          }

          private final RandomGenerator random =
              RandomGeneratorFactory.of("L64X128MixRandom").create(1);

          @Override
          public Instant timeOfDay() {
            return Instant.EPOCH;
          }

          @Override
          public RandomGenerator random() {
            return random;
          }

          @Override
          public void after(Duration delay, Runnable action) {}
        };
    StoreClient store =
        new StoreClient(
            http, time, "10.2.0.1:2379", new Settings.StoreLimits(100, 40, 8192, 12), 3);
    int[] refused = new int[1];
    for (int i = 0; i < 1000; i++) {
      store.readForUser(
          "job/req-" + i,
          read -> {
            assertFalse(read.certain());
            refused[0]++;
          });
    }
    int served = sent.size();
    assertEquals(1000, served + refused[0]);
    assertTrue(served >= 5 && served <= 20, "a node's part of the limit, not " + served);
    store.list("job/", () -> true, listing -> {});
    assertEquals(served + 1, sent.size());
    // Found there too: while peers refused each other, polls used up what submissions needed.
    store.changeForUser(store.post("/multi", new byte[0]), 2, reply -> {});
    assertEquals(served + 2, sent.size());
  }
}
