package io.pineladder.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pineladder.model.Settings;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.ManualEventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

class StoreClientTest {
  private final List<String> sent = new ArrayList<>();
  private final List<Consumer<AsyncHttpClient.Reply>> unanswered = new ArrayList<>();
  private final ManualEventLoop eventLoop = new ManualEventLoop();

  private final StoreClient storeClient =
      new StoreClient(
          (request, onReply) -> {
            sent.add(request.path());
            unanswered.add(onReply);
          },
          eventLoop,
          "10.2.0.1:2379",
          new Settings.StoreLimits(100, 40, 8192, 12),
          3);

  /** Lets the time pass in which a number of requests are allowed, and runs the timers. */
  private void passTimeFor(int requests) {
    eventLoop.now = eventLoop.now.plusMillis(15L * requests);
    eventLoop.runTimers();
  }

  /** Guards against users' questions that keep accepted jobs from being stored. */
  @Test
  void transactionsGoBeforeReadsOfUsersWhichAreBounded() {
    int[] refused = new int[1];
    for (int i = 0; i < 1_000; i++) {
      storeClient.readAfterOthers("job/req-" + i, read -> refused[0] += read.succeeded() ? 0 : 1);
    }
    int sentAtOnce = sent.size();
    assertTrue(sentAtOnce < 100, "sent at once: " + sentAtOnce);
    assertEquals(1_000 - sentAtOnce - 200, refused[0]);
    storeClient.send(storeClient.post("/multi", new byte[0]), reply -> {});
    passTimeFor(3);
    assertEquals("/multi", sent.get(sentAtOnce));
    assertTrue(sent.size() > sentAtOnce + 1, "reads go on after it");
  }

  /** Guards against an answer that is older than its question. */
  @Test
  void usersShareReadsThatWaitAndNoneThatWasSent() {
    int[] answered = new int[1];
    Consumer<StoreClient.ReadResult> onRead = read -> answered[0]++;
    storeClient.readAfterOthers("job/req-1", onRead);
    storeClient.readAfterOthers("job/req-1", onRead);
    assertEquals(2, sent.size(), "a read that was sent is not shared");
    while (eventLoop.timers.isEmpty()) {
      storeClient.readAfterOthers("job/req-" + sent.size(), read -> {});
    }
    int sentBefore = sent.size();
    for (int i = 0; i < 5; i++) {
      storeClient.readAfterOthers("job/req-9999", onRead);
    }
    passTimeFor(20);
    assertEquals(1, sent.stream().filter(path -> path.endsWith("req-9999")).count());
    unanswered
        .subList(sentBefore, unanswered.size())
        .forEach(each -> each.accept(AsyncHttpClient.Reply.UNKNOWN));
    assertEquals(5, answered[0]);
  }

  /** Guards against user polls that delay the reads of a new leader or starve submissions. */
  @Test
  void userReadsDoNotDelayOwnRequestsOrSubmissions() {
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
    assertTrue(
        served >= 5 && served <= 20, "expected the controller's share of the limit, got " + served);
    storeClient.listAll("job/", () -> true, listing -> {});
    assertEquals(served + 1, sent.size());
    // User writes have a budget of their own.
    storeClient.writeForUser(storeClient.post("/multi", new byte[0]), 2, reply -> {});
    assertEquals(served + 2, sent.size());
  }
}
