package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.model.Settings;
import io.pineladder.net.AsyncHttpClient.Reply;
import io.pineladder.net.AsyncHttpClient.Request;
import io.pineladder.net.EventLoop;
import io.pineladder.store.Committer;
import io.pineladder.store.Mutation;
import io.pineladder.store.StoreClient;
import io.pineladder.wire.Json;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How the committer handles each answer to a transaction. */
class CommitterTest {
  private record SentRequest(Request request, Consumer<Reply> onReply) {}

  private final SimulatedWorld world = new SimulatedWorld(1);
  private final EventLoop eventLoop = world.eventLoop("10.0.0.1", () -> true, 1);
  private final ArrayDeque<SentRequest> sent = new ArrayDeque<>();
  private final List<String> terminations = new ArrayList<>();
  private int valuesBuilt;
  private int confirmations;

  private SentRequest nextRequest() {
    for (int i = 0; i < 1_000 && sent.isEmpty(); i++) {
      world.runFor(Duration.ofMillis(10));
    }
    assertFalse(sent.isEmpty(), "nothing is sent any more");
    return sent.poll();
  }

  private static Reply answer(int status, String body) {
    return Reply.answered(status, body.getBytes(StandardCharsets.UTF_8));
  }

  private JsonNode value() {
    return Json.object().put("made", ++valuesBuilt);
  }

  private final class Listener implements Committer.Listener {
    @Override
    public void onFenced(String reason) {
      terminations.add(reason);
    }

    @Override
    public void onLeaderKeyGone() {
      terminations.add("leader key gone");
    }

    @Override
    public void onDataLoss(String reason) {
      terminations.add(reason);
    }

    @Override
    public void onLimitsLowered() {
      terminations.add("limits lowered");
    }

    @Override
    public void onCommitted(long revision) {}

    @Override
    public void onStored(String key, JsonNode value, long revision) {}
  }

  /**
   * Guards against double execution: after an ambiguous answer the same bytes must be sent again,
   * so that at most one copy is applied. A transaction is rebuilt only after a definite rejection
   * or if it was not sent.
   */
  @ParameterizedTest
  @CsvSource({
    "500, true",
    "502, true",
    "504, true",
    "404, true",
    "421, true",
    "200, true",
    "409, true",
    "0, true",
    "503, false",
    "429, false",
    "-1, false"
  })
  void rebuildsTransactionOnlyAfterDefiniteRejection(int status, boolean sameBytes) {
    Committer committer = newCommitter();
    committer.submit(placement("placed/1"));
    SentRequest first = nextRequest();
    first.onReply.accept(
        status == 0 ? Reply.UNKNOWN : status < 0 ? Reply.NOT_SENT : answer(status, "?"));
    SentRequest second = nextRequest();
    assertEquals(0, confirmations, "not confirmed yet");
    if (sameBytes) {
      assertArrayEquals(first.request.body(), second.request.body());
    }
    assertEquals(sameBytes ? 1 : 2, valuesBuilt);
    second.onReply.accept(answer(200, "{\"epoch\":9}"));
    assertEquals(1, confirmations);
    assertTrue(terminations.isEmpty(), "none of these answers ends the term: " + terminations);
  }

  private Committer newCommitter() {
    StoreClient storeClient =
        new StoreClient(
            (request, onReply) -> sent.add(new SentRequest(request, onReply)),
            eventLoop,
            "10.2.0.1:2379",
            new Settings.StoreLimits(100, 40, 8192, 12),
            3);
    return new Committer(storeClient, eventLoop, 5, new Listener());
  }

  private Mutation placement(String key) {
    return Mutation.of(
        Mutation.Priority.PLACEMENT,
        List.of(new Mutation.Write(key, this::value)),
        () -> confirmations++);
  }

  /** Guards against one write that the store calls malformed ending term after term. */
  @Test
  void refusedWriteNeverStopsOthersOrTheTerm() {
    Committer committer = newCommitter();
    List.of("placed/1", "placed/bad", "placed/2", "placed/3")
        .forEach(key -> committer.submit(placement(key)));
    int requests = 0;
    while (confirmations < 3 && requests < 20) {
      SentRequest next = nextRequest();
      boolean refused =
          new String(next.request.body(), StandardCharsets.UTF_8).contains("placed/bad");
      next.onReply.accept(
          refused ? answer(400, "{}") : answer(200, "{\"epoch\":" + (10 + requests) + "}"));
      requests++;
    }
    assertEquals(3, confirmations, "all but the refused write are committed");
    assertEquals(0, committer.pendingMutations());
    assertTrue(terminations.isEmpty(), "the term goes on: " + terminations);
  }
}
