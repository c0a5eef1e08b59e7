package io.pineladder.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.model.Machine;
import io.pineladder.net.AsyncHttpClient.Reply;
import io.pineladder.wire.CloudWire;
import io.pineladder.wire.Json;
import io.pineladder.wire.MalformedMessageException;
import java.time.Duration;
import java.util.List;
import java.util.NavigableSet;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests a leader with more machines than the largest supported clusters have. */
class LargeFleetTest {
  private static final int MACHINES = 4_200;

  private final LeaderHarness leader = new LeaderHarness();

  /** The machines that the cloud lists. */
  private final NavigableSet<String> listed = new TreeSet<>();

  /** The released machines, which the cloud's list still includes. */
  private final NavigableSet<String> released = new TreeSet<>();

  @BeforeEach
  void listMachines() {
    for (int i = 0; i < MACHINES; i++) {
      listed.add(String.format("m-%04d", i));
    }
  }

  private void runFor(int seconds) throws MalformedMessageException {
    for (int tenth = 0; tenth < 10 * seconds; tenth++) {
      while (!leader.sentRequests.isEmpty()) {
        LeaderHarness.SentRequest sent = leader.sentRequests.poll();
        String path = sent.request().path();
        if (path.equals("/rentals/release")) {
          for (JsonNode name : Json.parseObject(sent.request().body()).get("hosts")) {
            released.add(name.textValue());
          }
          sent.onReply().accept(Reply.answered(200, Json.bytes(Json.object())));
        } else if (path.startsWith("/rentals?page=")) {
          sent.onReply().accept(Reply.answered(200, page(path)));
        }
      }
      leader.runFor(Duration.ofMillis(100));
    }
  }

  private byte[] page(String path) {
    int since = path.indexOf("&since=");
    String after = since < 0 ? "" : path.substring(since + "&since=".length());
    ObjectNode page = Json.object();
    ArrayNode hosts = page.putArray("hosts");
    List<String> remaining = List.copyOf(listed.tailSet(after, false));
    for (String name : remaining.subList(0, Math.min(CloudWire.PAGE_SIZE, remaining.size()))) {
      hosts
          .addObject()
          .put("ref", name)
          .put("hull", LeaderHarness.TYPE.name())
          .put("yard", "a")
          .put("loaners", false)
          .put("status", "booting")
          .put("age_s", 1.0);
    }
    boolean more = remaining.size() > CloudWire.PAGE_SIZE;
    return Json.bytes(page.put("truncated", more));
  }

  /** Guards against adding released machines again from a list that still includes them. */
  @Test
  void remembersAllReleasedMachinesOfLargeFleet() throws MalformedMessageException {
    for (String name : listed) {
      leader.cluster.addMachine(new Machine(name, LeaderHarness.TYPE, "a", false, leader.now()));
    }
    List.copyOf(leader.cluster.machines()).forEach(leader.autoscaler::release);
    leader.autoscaler.start();
    runFor(60);
    assertEquals(MACHINES, released.size());
    for (String name : listed) {
      assertTrue(leader.autoscaler.wasReleased(name), name);
    }
    assertEquals(0, leader.cluster.machines().size());
  }

  /** Guards against restarting a list that has more pages than the rate limit allows at once. */
  @Test
  void readsWholeMachineListDespiteRateLimit() throws MalformedMessageException {
    leader.autoscaler.start();
    runFor(10);
    assertEquals(MACHINES, leader.cluster.machines().size());
    // Later lists are read to the end as well: a machine added at the end is found.
    listed.add("n-0000");
    runFor(20);
    assertNotNull(leader.cluster.machine("n-0000"));
  }
}
