package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pineladder.membership.Membership;
import io.pineladder.membership.Membership.LocalHealth;
import io.pineladder.membership.Membership.State;
import io.pineladder.model.ClusterVersion;
import io.pineladder.model.Settings;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.EventLoop;
import io.pineladder.net.HttpResponse;
import io.pineladder.wire.GossipWire;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.SettingsReader;
import io.pineladder.wire.SettingsReaderTest;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What controllers make of one another, against a plain model that reads the whole history anew.
 */
class MembershipTest {
  private static final int NODES = 3;

  /** Something that happened at a node. */
  private record Event(Instant at, Kind kind, String peer, GossipWire.Heartbeat told) {}

  private enum Kind {
    ANSWER,
    MISS,
    INBOUND
  }

  /** One controller and all that it has met with. */
  private final class Node {
    final String name;
    final String host;
    final boolean[] alive = {true};
    final List<Event> history = new ArrayList<>();
    final Map<String, State> called = new HashMap<>();
    final EventLoop eventLoop;
    Membership membership;

    Node(int index, String nonce) {
      name = "rung-" + index;
      host = "10.0.0." + (index + 1);
      eventLoop = world.eventLoop(host, () -> alive[0], 1);
      AsyncHttpClient httpClient = world.httpClient(host, () -> alive[0]);
      membership =
          new Membership(
              settings(index),
              nonce,
              eventLoop,
              (address, beat, onAnswer) -> {
                String peer = nameOf(address);
                noteMade(beat);
                httpClient.call(
                    AsyncHttpClient.Request.post(
                        address, GossipWire.PATH, beat, Membership.HEARTBEAT_TIMEOUT),
                    reply -> {
                      byte[] body = reply.hasStatus(200) ? reply.body() : null;
                      record(body == null ? Kind.MISS : Kind.ANSWER, peer, body);
                      onAnswer.accept(body);
                      compare(peer);
                    });
              },
              () ->
                  new Membership.LocalStatus(
                      true, 0, GossipWire.RecordStatus.UNKNOWN, ClusterVersion.SUPPORTED));
      world.serve(
          host + ":8081",
          (method, path, body, answer) -> {
            try {
              String peer = GossipWire.parse(body).member();
              record(Kind.INBOUND, peer, body);
              byte[] own = membership.handle(body);
              noteMade(own);
              compare(peer);
              answer.accept(new HttpResponse(200, own));
            } catch (MalformedMessageException e) {
              throw new AssertionError(e);
            }
          });
      membership.start();
    }

    MembershipTest test() {
      return MembershipTest.this;
    }

    private void noteMade(byte[] own) {
      try {
        GossipWire.Heartbeat beat = GossipWire.parse(own);
        made.put(beat.nonce() + "#" + beat.sequence(), eventLoop.now());
      } catch (MalformedMessageException e) {
        throw new AssertionError(e);
      }
    }

    void record(Kind kind, String peer, byte[] body) {
      try {
        history.add(
            new Event(eventLoop.now(), kind, peer, body == null ? null : GossipWire.parse(body)));
      } catch (MalformedMessageException e) {
        throw new AssertionError(e);
      }
    }

    /** Asks that each verdict has its cause in all that happened until then. */
    void compare(String peer) {
      State state = membership.stateOf(peer);
      if (called.put(peer, state) == state) {
        return;
      }
      // It may have come with the last tick, between the last two events.
      int n = history.size();
      boolean caused = new Model(this, peer, history, eventLoop.now()).allows(state);
      for (int i = Math.max(0, n - 2); i < n && !caused; i++) {
        caused = new Model(this, peer, history.subList(0, n - 1), history.get(i).at).allows(state);
      }
      assertTrue(caused, name + " calls " + peer + " " + state);
    }

    void kill() {
      alive[0] = false;
      world.stop(host + ":8081");
    }
  }

  /** What is true of a peer at a node, read off everything that ever happened there. */
  private record Model(Node node, String peer, List<Event> history, Instant now) {
    boolean allows(State state) {
      return switch (state) {
        case UNKNOWN -> !answeredBefore();
        case UP -> last(2, Kind.ANSWER) || !answeredBefore();
        case SUSPECT -> last(3, Kind.MISS) || isSilent();
        case APART -> last(3, Kind.MISS);
        case DOWN -> last(3, Kind.MISS) && isSilent() && hearsOthers();
      };
    }

    private List<Event> direct() {
      return history.stream()
          .filter(e -> e.peer.equals(peer) && (e.kind == Kind.ANSWER || e.kind == Kind.MISS))
          .toList();
    }

    private boolean last(int count, Kind kind) {
      List<Event> direct = direct();
      return direct.size() >= count
          && direct.subList(direct.size() - count, direct.size()).stream()
              .allMatch(e -> e.kind == kind);
    }

    boolean answeredBefore() {
      return direct().stream().filter(e -> e.kind == Kind.ANSWER).count() > 1;
    }

    /** The youngest thing heard of a peer was made so long ago, whenever it came in. */
    private Duration age(String of) {
      Instant newest = Instant.MIN;
      for (Event event : history) {
        if (event.peer.equals(of) && event.told != null) {
          Instant made = node.test().made.get(event.told.nonce() + "#" + event.told.sequence());
          newest = made.isAfter(newest) ? made : newest;
        }
      }
      return newest.equals(Instant.MIN) ? Duration.ofDays(1) : Duration.between(newest, now);
    }

    /** Nothing that it made in the last second has come here. */
    boolean isSilent() {
      return age(peer).compareTo(Duration.ofSeconds(1)) >= 0;
    }

    boolean hearsOthers() {
      for (int i = 0; i < NODES; i++) {
        String other = "rung-" + i;
        if (!other.equals(peer)
            && !other.equals(node.name)
            && age(other).compareTo(Duration.ofMillis(2_500)) < 0) {
          return true;
        }
      }
      return false;
    }
  }

  /** When each beat was made, by process and number. */
  private final Map<String, Instant> made = new HashMap<>();

  private SimulatedWorld world;
  private final Map<Integer, Node> nodes = new HashMap<>();

  private static Settings settings(int index) {
    StringBuilder toml = new StringBuilder();
    for (int i = 0; i < NODES; i++) {
      if (i != index) {
        toml.append("[[seeds]]\nmember = \"rung-" + i + "\"\narea = \"a\"\n");
        toml.append("address = \"10.0.0." + (i + 1) + ":8081\"\n");
      }
    }
    String good = SettingsReaderTest.VALID_SETTINGS;
    int from = good.indexOf("[[seeds]]");
    int to = good.indexOf("[external]");
    try {
      return SettingsReader.parse(
          (good.substring(0, from) + toml + good.substring(to))
              .replaceFirst("member = \"rung-0\"", "member = \"rung-" + index + "\""));
    } catch (SettingsReader.BadSettingsException e) {
      throw new AssertionError(e);
    }
  }

  private static String nameOf(String address) {
    return "rung-" + (address.charAt("10.0.0.".length()) - '1');
  }

  private void begin(long seed) {
    world = new SimulatedWorld(seed);
    for (int i = 0; i < NODES; i++) {
      nodes.put(i, new Node(i, "first-" + i));
    }
  }

  private State state(int of, int peer) {
    return nodes.get(of).membership.stateOf("rung-" + peer);
  }

  private int changes() {
    return nodes.values().stream()
        .flatMap(n -> n.membership.peerStatuses().stream())
        .mapToInt(Membership.PeerStatus::stateChanges)
        .sum();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void lossFreezesAndCutsLeadToNoVerdictWithoutCause(long seed) {
    begin(seed);
    world.runFor(Duration.ofSeconds(5));
    int before = changes();
    Duration each = Duration.ofSeconds(6);
    int rounds = 60;
    for (int round = 0; round < rounds; round++) {
      world.lossRate = world.random.nextDouble() * 0.3;
      int a = world.random.nextInt(NODES);
      int b = (a + 1 + world.random.nextInt(NODES - 1)) % NODES;
      String one = nodes.get(a).host;
      String other = nodes.get(b).host;
      switch (world.random.nextInt(5)) {
        case 0 -> world.freeze(one, 1_000 + world.random.nextInt(20_000));
        case 1 -> world.cut(one, other);
        case 2 -> world.cutOneWay(one, other);
        case 3 -> world.heal(one, other);
        default -> {}
      }
      world.runFor(each);
    }
    // At least two seconds between changes of one peer at one node, of which there are six pairs.
    long most = 6 * each.multipliedBy(rounds).toMillis() / 2_000;
    assertTrue(changes() - before > 20, "something happened");
    assertTrue(changes() - before <= most, changes() + " changes");
    world.lossRate = 0;
    for (int a = 0; a < NODES; a++) {
      for (int b = 0; b < NODES; b++) {
        world.heal(nodes.get(a).host, nodes.get(b).host);
      }
    }
    world.runFor(Duration.ofSeconds(30));
    for (int a = 0; a < NODES; a++) {
      for (int b = 0; b < NODES; b++) {
        assertEquals(a == b ? State.UNKNOWN : State.UP, state(a, b));
      }
      assertEquals(LocalHealth.HEALTHY, nodes.get(a).membership.localHealth());
    }
  }

  @Test
  void twoLostMessagesAreNoVerdict() {
    begin(21);
    world.runFor(Duration.ofSeconds(5));
    int before = changes();
    world.cutOneWay("10.0.0.1", "10.0.0.2");
    world.runFor(Duration.ofMillis(1_900));
    world.heal("10.0.0.1", "10.0.0.2");
    world.runFor(Duration.ofSeconds(5));
    assertEquals(before, changes());
  }

  @Test
  void aProcessThatEndedIsCalledDownByThoseThatHearEachOther() {
    begin(22);
    world.runFor(Duration.ofSeconds(5));
    nodes.get(2).kill();
    world.runFor(Duration.ofSeconds(9));
    assertEquals(State.DOWN, state(0, 2));
    assertEquals(State.DOWN, state(1, 2));
    assertEquals(State.UP, state(0, 1));
    nodes.put(2, new Node(2, "second"));
    world.runFor(Duration.ofSeconds(4));
    assertEquals(State.UP, state(0, 2));
    assertEquals(State.UP, state(2, 0));
  }

  @Test
  void aNodeThatStoodStillOrIsCutOffCallsNobodyDown() {
    begin(23);
    world.runFor(Duration.ofSeconds(5));
    world.freeze("10.0.0.1", 30_000);
    world.runFor(Duration.ofSeconds(20));
    assertEquals(State.DOWN, state(1, 0), "to the others it is gone");
    for (int i = 0; i < 200; i++) {
      world.runFor(Duration.ofMillis(100));
      assertNotEquals(State.DOWN, state(0, 1));
      assertNotEquals(State.DOWN, state(0, 2));
    }
    assertEquals(State.UP, state(0, 1));
    world.cut("10.0.0.1", "10.0.0.2");
    world.cut("10.0.0.1", "10.0.0.3");
    world.runFor(Duration.ofSeconds(20));
    assertEquals(LocalHealth.DEGRADED, nodes.get(0).membership.localHealth());
    assertNotEquals(State.DOWN, state(0, 1));
    assertEquals(State.DOWN, state(1, 0));
    assertEquals(LocalHealth.HEALTHY, nodes.get(1).membership.localHealth());
  }

  @Test
  void aPeerThatOthersHearIsApartAndNotDown() {
    begin(24);
    world.runFor(Duration.ofSeconds(5));
    world.cutOneWay("10.0.0.1", "10.0.0.2");
    world.runFor(Duration.ofSeconds(10));
    assertEquals(State.APART, state(0, 1), "its own beats still come");
    assertEquals(State.UP, state(1, 0));
    assertTrue(nodes.get(0).membership.isUnreachable("rung-1"));
    world.cut("10.0.0.1", "10.0.0.2");
    world.runFor(Duration.ofSeconds(10));
    assertEquals(State.APART, state(0, 1), "the third hears it");
    assertEquals(List.of("10.0.0.3:8081"), nodes.get(0).membership.candidateAddresses());
  }
}
