package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pineladder.leadership.Election;
import io.pineladder.model.Settings;
import io.pineladder.net.AsyncHttpClient.Reply;
import io.pineladder.net.AsyncHttpClient.Request;
import io.pineladder.net.EventLoop;
import io.pineladder.store.StoreClient;
import io.pineladder.wire.RecordWire.LeaderRecord;
import io.pineladder.wire.SettingsReader;
import io.pineladder.wire.SettingsReaderTest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** A claim of the leader key that gets no answer and is executed in a later election round. */
class LateElectionClaimTest {
  private final SimulatedWorld world = new SimulatedWorld(1);
  private final FakeKeyValueStore store = new FakeKeyValueStore(world, 12, 8192);
  private final List<Request> claims = new ArrayList<>();
  private final List<Long> terms = new ArrayList<>();

  private void forward(Request request, Reply replacement, Consumer<Reply> onReply) {
    if (replacement != null) {
      world.after(50, () -> onReply.accept(replacement));
      return;
    }
    store.handle(
        request.method(),
        request.path(),
        request.body(),
        answer ->
            world.after(5, () -> onReply.accept(Reply.answered(answer.status(), answer.body()))));
  }

  /** Loses the first claim, rejects the second and its lease revocation, loses the third. */
  private void unreliableStore(Request request, Consumer<Reply> onReply) {
    Reply rejected = Reply.answered(503, new byte[0]);
    Reply replacement = null;
    if (request.path().equals("/multi")) {
      claims.add(request);
      replacement =
          switch (claims.size()) {
            case 1 -> Reply.UNKNOWN;
            case 2 -> rejected;
            case 3 -> {
              // Executes the first claim, whose lease has not expired yet.
              Request late = claims.get(0);
              store.handle(
                  late.method(),
                  late.path(),
                  late.body(),
                  answer -> assertEquals(200, answer.status()));
              yield Reply.UNKNOWN;
            }
            default -> null;
          };
    } else if (request.method().equals("DELETE") && claims.size() == 2) {
      replacement = rejected;
    }
    forward(request, replacement, onReply);
  }

  @Test
  void lateClaimOfEarlierRoundDoesNotElect() throws Exception {
    Settings settings = SettingsReader.parse(SettingsReaderTest.VALID_SETTINGS);
    EventLoop eventLoop = world.eventLoop("10.0.0.1", () -> true, 1);
    StoreClient client =
        new StoreClient(
            this::unreliableStore, eventLoop, settings.storeAddress(), settings.storeLimits(), 3);
    Election election =
        new Election(
            client,
            eventLoop,
            settings,
            "nonce",
            () -> true,
            new Election.Listener() {
              @Override
              public void onElected(long term, long leaderKeyRevision) {
                terms.add(term);
              }

              @Override
              public void onLeaseNotFound() {}

              @Override
              public void onLeaseConfirmed() {}

              @Override
              public void onLeadershipLost(String reason) {}

              @Override
              public void onLeaderRead(LeaderRecord leader) {}
            });
    election.start();
    world.runFor(Duration.ofMillis(1_800));
    assertTrue(claims.size() >= 4, "the late claim was executed");
    assertFalse(election.holdsTerm(), "the key is bound to the lease of an earlier round");
    world.runFor(Duration.ofSeconds(12));
    assertTrue(election.isLeaseValid(), "elected once that lease has expired");
    assertEquals(1, terms.size());
    assertTrue(store.value("lead/holder") != null, "the leader key is stored");
  }
}
