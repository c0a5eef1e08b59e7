package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What becomes of a transaction by the answer that it gets. */
class CommitterTest {
  private record Sent(Request request, Consumer<Reply> onReply) {}

  private final SimulatedWorld world = new SimulatedWorld(1);
  private final EventLoop eventLoop = world.eventLoop("10.0.0.1", () -> true, 1);
  private final ArrayDeque<Sent> sent = new ArrayDeque<>();
  private final List<String> ended = new ArrayList<>();
  private int made;
  private int stored;

  private Sent next() {
    while (sent.isEmpty()) {
      world.runFor(Duration.ofMillis(10));
    }
    return sent.poll();
  }

  private static Reply answer(int status, String body) {
    return Reply.answered(status, body.getBytes(StandardCharsets.UTF_8));
  }

  private JsonNode value() {
    return Json.object().put("made", ++made);
  }

  private final class Listener implements Committer.Listener {
    @Override
    public void onFenced(String reason) {
      ended.add(reason);
    }

    @Override
    public void onLeaderKeyGone() {
      ended.add("key gone");
    }

    @Override
    public void onDataLoss(String reason) {
      ended.add(reason);
    }

    @Override
    public void onLimitsLowered() {
      ended.add("limits lowered");
    }

    @Override
    public void onStored(String key, JsonNode value, long revision) {}
  }

  /**
   * Whether the same bytes go out again, so that the first copy and the second exclude one another.
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
  void onlyARefusalThatTheProtocolNamesLetsItBePutTogetherAnew(int status, boolean unchanged) {
    StoreClient storeClient =
        new StoreClient(
            (request, onReply) -> sent.add(new Sent(request, onReply)),
            eventLoop,
            "10.2.0.1:2379",
            new Settings.StoreLimits(100, 40, 8192, 12),
            3);
    Committer committer = new Committer(storeClient, eventLoop, 5, new Listener());
    committer.submit(
        Mutation.of(
            Mutation.Priority.PLACEMENT,
            List.of(new Mutation.Write("placed/1", this::value)),
            () -> stored++));
    Sent first = next();
    first.onReply.accept(
        status == 0 ? Reply.UNKNOWN : status < 0 ? Reply.NOT_SENT : answer(status, "?"));
    Sent second = next();
    assertEquals(0, stored, "nothing is told of it yet");
    if (unchanged) {
      assertArrayEquals(first.request.body(), second.request.body());
    }
    assertEquals(unchanged ? 1 : 2, made);
    second.onReply.accept(answer(200, "{\"epoch\":9}"));
    assertEquals(1, stored);
    assertTrue(ended.isEmpty(), "no answer of these ends a term: " + ended);
  }
}
