package io.pineladder.api;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.pineladder.ControllerNode;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.AsyncHttpClient.Reply;
import io.pineladder.net.ManualEventLoop;
import io.pineladder.store.RecordKeys;
import io.pineladder.wire.Json;
import io.pineladder.wire.RecordWire;
import io.pineladder.wire.SettingsReader;
import io.pineladder.wire.SettingsReaderTest;
import io.pineladder.wire.StoreWire;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Heartbeats from a fleet above the largest supported size to a controller that does not lead; the
 * entries of workers must not be evicted while they are needed.
 */
class HeartbeatHandlerTest {
  private static final int WORKERS = 4_200;

  /** The leader in the key-value store; null if the store does not respond. */
  private RecordWire.LeaderRecord leader;

  private final List<byte[]> forwarded = new ArrayList<>();
  private final ManualEventLoop eventLoop = new ManualEventLoop();

  private void serveLeaderKey(AsyncHttpClient.Request request, Consumer<Reply> onReply) {
    if (leader != null && request.path().equals(StoreWire.keyPath(RecordKeys.LEADER))) {
      onReply.accept(
          Reply.answered(
              200,
              Json.bytes(
                  Json.object()
                      .put("path", RecordKeys.LEADER)
                      .put("stamp", 5)
                      .set("v", RecordWire.leader(leader)))));
    }
  }

  private ControllerNode createNode() {
    try {
      return new ControllerNode(
          SettingsReader.parse(SettingsReaderTest.VALID_SETTINGS),
          eventLoop,
          this::serveLeaderKey,
          "nonce",
          null,
          null,
          null);
    } catch (SettingsReader.BadSettingsException e) {
      throw new AssertionError(e);
    }
  }

  private HeartbeatHandler createHandler(ControllerNode node) {
    return new HeartbeatHandler(
        node, (addresses, request, answer, onUndecided) -> forwarded.add(request.body()));
  }

  private static byte[] heartbeat(int worker, long token) {
    String json =
        """
        {"host":"m-%d","addr":"10.1.0.1:9000","hull":"g4","yard":"a","loaners":false,"shift":1,
         "tally":1,"baton":%d,"recall_s":null,"pieces":[]}\
        """;
    return json.formatted(worker, token).getBytes(StandardCharsets.UTF_8);
  }

  /** A controller partitioned with its zone redirects each worker once per search interval. */
  @Test
  void redirectsEachWorkerOfLargeFleetAtSearchInterval() {
    ControllerNode node = createNode();
    HeartbeatHandler heartbeats = createHandler(node);
    eventLoop.now = eventLoop.now.plusSeconds(60);
    int[] redirects = new int[WORKERS];
    for (int second = 0; second < 90; second += 3) {
      for (int worker = 0; worker < WORKERS; worker++) {
        int index = worker;
        heartbeats.handle(
            heartbeat(worker, 1), false, http -> redirects[index] += http.status() == 421 ? 1 : 0);
      }
      eventLoop.now = eventLoop.now.plusSeconds(3);
    }
    int workersWithoutSearch = 0;
    for (int count : redirects) {
      // Two or three: 90 seconds, a search interval of 40 seconds, a heartbeat every 3 seconds.
      workersWithoutSearch += count < 2 ? 1 : 0;
    }
    assertEquals(0, workersWithoutSearch, "workers redirected less than twice");
  }

  /** Workers that return soon after a redirect are not redirected again. */
  @Test
  void forwardsHeartbeatWhenWorkerReturnsSoonAfterRedirect() {
    leader = new RecordWire.LeaderRecord("rung-1", "10.0.0.2:8081", "leader-nonce");
    ControllerNode node = createNode();
    node.election().start();
    HeartbeatHandler heartbeats = createHandler(node);
    int[] redirects = new int[1];
    for (int round = 0; round < 2; round++) {
      for (int worker = 0; worker < WORKERS; worker++) {
        heartbeats.handle(
            heartbeat(worker, 0), false, http -> redirects[0] += http.status() == 421 ? 1 : 0);
      }
      eventLoop.now = eventLoop.now.plusSeconds(3);
    }
    assertEquals(WORKERS, redirects[0]);
    assertEquals(WORKERS, forwarded.size());
  }
}
