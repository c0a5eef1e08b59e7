package io.pineladder.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.wire.Json;
import io.pineladder.wire.RecordWire;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Records of many small tasks or many jobs, stored as earlier leaders would have left them. */
final class LargeState {
  private static final int MACHINES = 131;
  private static final int PLACEMENTS_PER_PAGE = 90;
  private static final int JOBS_PER_PAGE = 15;

  /** Keeps a page of the listing below 512 KiB. */
  private static final int PAGES_PER_LISTING = 60;

  private static final String SERVICE = "req-000001";

  private LargeState() {}

  /** Stores a service whose tasks are all placed, on machines that the cloud lists as booting. */
  static void storeService(FakeKeyValueStore store, FakeFleet fleet, int tasks) {
    store.pageSize = PAGES_PER_LISTING;
    for (int machine = 0; machine < MACHINES; machine++) {
      String name = machineName(machine);
      fleet.machines.put(
          name, fleet.new Worker(name, address(machine), "g4", zone(machine), false));
    }
    store.prepare("accepted/0", RecordWire.page(Stream.of(record(job(SERVICE, "service", tasks)))));
    for (int first = 0, page = 0; first < tasks; first += PLACEMENTS_PER_PAGE, page++) {
      int end = Math.min(tasks, first + PLACEMENTS_PER_PAGE);
      store.prepare(
          "placed/" + page,
          RecordWire.page(IntStream.range(first, end).mapToObj(LargeState::placement)));
    }
  }

  /** Stores pending jobs that no machine can run. */
  static void storeJobs(FakeKeyValueStore store, int jobs) {
    store.pageSize = PAGES_PER_LISTING;
    for (int first = 0, page = 0; first < jobs; first += JOBS_PER_PAGE, page++) {
      List<JsonNode> records = new ArrayList<>();
      for (int job = first; job < Math.min(jobs, first + JOBS_PER_PAGE); job++) {
        records.add(record(DeliveryProcessTest.unplaceableJob(String.format("req-%06d", job))));
      }
      store.prepare("accepted/" + page, RecordWire.page(records.stream()));
    }
  }

  /** A submission with small tasks, of a kind named as in the protocol. */
  static ObjectNode job(String id, String kind, int tasks) {
    ObjectNode spec =
        DeliveryProcessTest.unplaceableJob(id).put("shape", kind).put("pieces", tasks);
    return spec.put("vcpus", 0.02).put("cards", 0.0).put("memory_gb", 0.05).put("guess_s", 0.0);
  }

  private static JsonNode record(ObjectNode spec) {
    return Json.object()
        .put("accepted_ms", Instant.now().toEpochMilli())
        .put("state", "active")
        .set("spec", spec);
  }

  private static JsonNode placement(int task) {
    int machine = task % MACHINES;
    return Json.array()
        .add(machineName(machine))
        .add(address(machine))
        .add("g4")
        .add(zone(machine))
        .add(false)
        .add(SERVICE)
        .add(task)
        .add(1L << 20);
  }

  private static String machineName(int machine) {
    return String.format("m-%06d", 1 + machine);
  }

  private static String address(int machine) {
    return "10.1.0." + machine + ":9000";
  }

  private static String zone(int machine) {
    return machine % 2 == 0 ? "a" : "b";
  }
}
