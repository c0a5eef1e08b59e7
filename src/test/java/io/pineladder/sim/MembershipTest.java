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
 * Compares the membership state of each peer with a reference model that evaluates the whole
 * history at every step.
 */
class MembershipTest {
  private static final int NODES = 3;

  /** A heartbeat response, timeout or incoming heartbeat at a node. */
  private record Event(Instant at, Kind kind, String peer, GossipWire.Heartbeat heartbeat) {}

  private enum Kind {
    ANSWER,
    TIMEOUT,
    INBOUND
  }

  /** A controller and the history of its heartbeats. */
  private final class Node {
    final String name;
    final String host;
    final boolean[] alive = {true};
    final List<Event> history = new ArrayList<>();
    final Map<String, State> lastStates = new HashMap<>();
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
                recordCreation(beat);
                httpClient.call(
                    AsyncHttpClient.Request.post(
                        address, GossipWire.PATH, beat, Membership.HEARTBEAT_TIMEOUT),
                    reply -> {
                      byte[] body = reply.hasStatus(200) ? reply.body() : null;
                      record(body == null ? Kind.TIMEOUT : Kind.ANSWER, peer, body);
                      onAnswer.accept(body);
                      assertStateJustified(peer);
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
              recordCreation(own);
              assertStateJustified(peer);
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

    private void recordCreation(byte[] body) {
      try {
        GossipWire.Heartbeat beat = GossipWire.parse(body);
        creationTimes.put(beat.nonce() + "#" + beat.sequence(), eventLoop.now());
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

    /** Asserts that the reference model allows the state of the peer if it has changed. */
    void assertStateJustified(String peer) {
      State state = membership.stateOf(peer);
      if (lastStates.put(peer, state) == state) {
        return;
      }
      // The state may have changed on a tick between the last two events.
      int n = history.size();
      boolean justified = new ReferenceModel(this, peer, history, eventLoop.now()).allows(state);
      for (int i = Math.max(0, n - 2); i < n && !justified; i++) {
        justified =
            new ReferenceModel(this, peer, history.subList(0, n - 1), history.get(i).at)
                .allows(state);
      }
      assertTrue(justified, name + " has no cause to mark " + peer + " " + state);
    }

    void kill() {
      alive[0] = false;
      world.stop(host + ":8081");
    }
  }

  /** The states of a peer that the history of a node allows. */
  private record ReferenceModel(Node node, String peer, List<Event> history, Instant now) {
    boolean allows(State state) {
      return switch (state) {
        case UNKNOWN -> !answeredBefore();
        case UP -> lastProbesAre(2, Kind.ANSWER) || !answeredBefore();
        case SUSPECT -> lastProbesAre(3, Kind.TIMEOUT) || isSilent();
        case APART -> lastProbesAre(3, Kind.TIMEOUT);
        case DOWN -> lastProbesAre(3, Kind.TIMEOUT) && isSilent() && receivesFromOthers();
      };
    }

    private List<Event> directProbes() {
      return history.stream()
          .filter(e -> e.peer.equals(peer) && (e.kind == Kind.ANSWER || e.kind == Kind.TIMEOUT))
          .toList();
    }

    private boolean lastProbesAre(int count, Kind kind) {
      List<Event> direct = directProbes();
      return direct.size() >= count
          && direct.subList(direct.size() - count, direct.size()).stream()
              .allMatch(e -> e.kind == kind);
    }

    boolean answeredBefore() {
      return directProbes().stream().filter(e -> e.kind == Kind.ANSWER).count() > 1;
    }

    /** The time since the creation of the newest heartbeat received from a peer. */
    private Duration age(String sender) {
      Instant newest = Instant.MIN;
      for (Event event : history) {
        if (event.peer.equals(sender) && event.heartbeat != null) {
          Instant createdAt =
              node.test()
                  .creationTimes
                  .get(event.heartbeat.nonce() + "#" + event.heartbeat.sequence());
          newest = createdAt.isAfter(newest) ? createdAt : newest;
        }
      }
      return newest.equals(Instant.MIN) ? Duration.ofDays(1) : Duration.between(newest, now);
    }

    /** No heartbeat that the peer created in the last second was received. */
    boolean isSilent() {
      return age(peer).compareTo(Duration.ofSeconds(1)) >= 0;
    }

    boolean receivesFromOthers() {
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

  /** Creation time of each heartbeat, by nonce and sequence number. */
  private final Map<String, Instant> creationTimes = new HashMap<>();

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
    String validSettings = SettingsReaderTest.VALID_SETTINGS;
    int from = validSettings.indexOf("[[seeds]]");
    int to = validSettings.indexOf("[external]");
    try {
      return SettingsReader.parse(
          (validSettings.substring(0, from) + toml + validSettings.substring(to))
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

  private State state(int node, int peer) {
    return nodes.get(node).membership.stateOf("rung-" + peer);
  }

  private int stateChanges() {
    return nodes.values().stream()
        .flatMap(n -> n.membership.peerStatuses().stream())
        .mapToInt(Membership.PeerStatus::stateChanges)
        .sum();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void changesStateOnlyWithCauseUnderRandomFaults(long seed) {
    begin(seed);
    world.runFor(Duration.ofSeconds(5));
    int before = stateChanges();
    Duration roundDuration = Duration.ofSeconds(6);
    int rounds = 60;
    for (int round = 0; round < rounds; round++) {
      world.lossRate = world.random.nextDouble() * 0.3;
      int a = world.random.nextInt(NODES);
      int b = (a + 1 + world.random.nextInt(NODES - 1)) % NODES;
      String hostA = nodes.get(a).host;
      String hostB = nodes.get(b).host;
      switch (world.random.nextInt(5)) {
        case 0 -> world.freeze(hostA, 1_000 + world.random.nextInt(20_000));
        case 1 -> world.cut(hostA, hostB);
        case 2 -> world.cutOneWay(hostA, hostB);
        case 3 -> world.heal(hostA, hostB);
        default -> {}
      }
      world.runFor(roundDuration);
    }
    // Each of the six pairs of node and peer changes its state at most once in two seconds.
    long maxChanges = 6 * roundDuration.multipliedBy(rounds).toMillis() / 2_000;
    assertTrue(stateChanges() - before > 20, "expected more than 20 state changes");
    assertTrue(stateChanges() - before <= maxChanges, stateChanges() + " changes");
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
  void toleratesTwoLostHeartbeats() {
    begin(21);
    world.runFor(Duration.ofSeconds(5));
    int before = stateChanges();
    world.cutOneWay("10.0.0.1", "10.0.0.2");
    world.runFor(Duration.ofMillis(1_900));
    world.heal("10.0.0.1", "10.0.0.2");
    world.runFor(Duration.ofSeconds(5));
    assertEquals(before, stateChanges());
  }

  @Test
  void marksKilledPeerDown() {
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
  void frozenOrIsolatedNodeMarksNoPeerDown() {
    begin(23);
    world.runFor(Duration.ofSeconds(5));
    world.freeze("10.0.0.1", 30_000);
    world.runFor(Duration.ofSeconds(20));
    assertEquals(State.DOWN, state(1, 0), "the frozen node is down at the others");
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
  void marksPeerApartWhenOthersReachIt() {
    begin(24);
    world.runFor(Duration.ofSeconds(5));
    world.cutOneWay("10.0.0.1", "10.0.0.2");
    world.runFor(Duration.ofSeconds(10));
    assertEquals(State.APART, state(0, 1), "its heartbeats are still received");
    assertEquals(State.UP, state(1, 0));
    assertTrue(nodes.get(0).membership.isUnreachable("rung-1"));
    world.cut("10.0.0.1", "10.0.0.2");
    world.runFor(Duration.ofSeconds(10));
    assertEquals(State.APART, state(0, 1), "the third node receives its heartbeats");
    assertEquals(List.of("10.0.0.3:8081"), nodes.get(0).membership.candidateAddresses());
  }
}
