package io.pineladder.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.model.Generation;
import io.pineladder.model.Job;
import io.pineladder.snapshot.Snapshot;
import io.pineladder.snapshot.SnapshotManager;
import io.pineladder.store.RecordKeys;
import io.pineladder.wire.Json;
import io.pineladder.wire.RecordWire;
import io.pineladder.wire.StoreWire.Entry;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Compares the merging of records with a reference model, and tests the detection of lost ones. */
class RecordReplicaTest {
  private static final List<String> PAGES =
      List.of("accepted/0", "accepted/1", "done/0", "done/1", "placed/0", "placed/1", "conf/types");

  private final RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(31);

  /** The expected records: the highest revision of each key, and all final states. */
  private static final class ReferenceModel {
    final Map<String, Entry> records = new TreeMap<>();
    final Map<String, Job.State> finalStates = new TreeMap<>();

    void put(Entry entry) {
      if (entry.key().startsWith(RecordKeys.FINAL_STATE)) {
        finalStates.putIfAbsent(
            entry.key().substring(RecordKeys.FINAL_STATE.length()),
            state(Json.decode(entry.json())));
      } else {
        records.merge(entry.key(), entry, (a, b) -> b.revision() > a.revision() ? b : a);
      }
    }
  }

  private static Job.State state(JsonNode value) {
    return value.get("state").asText().equals("done") ? Job.State.DONE : Job.State.CANCELLED;
  }

  /** The changes of a store in order; each source contains a subset of them. */
  private List<Entry> history() {
    List<Entry> all = new ArrayList<>();
    for (long revision = 1; revision <= 60; revision++) {
      if (random.nextInt(3) == 0) {
        Job.State state = random.nextBoolean() ? Job.State.DONE : Job.State.CANCELLED;
        all.add(
            Entry.of(
                RecordKeys.FINAL_STATE + "req-" + revision,
                RecordWire.finalState(state),
                revision));
      } else {
        JsonNode value = Json.object().put("n", "r" + revision).set("entries", Json.array());
        all.add(Entry.of(PAGES.get(random.nextInt(PAGES.size())), value, revision));
      }
    }
    return all;
  }

  private static Map<String, JsonNode> records(RecordReplica replica) {
    Map<String, JsonNode> found = new TreeMap<>();
    for (Entry entry : replica.generationEntries()) {
      if (!entry.key().startsWith(RecordKeys.ARCHIVED_FINAL_STATES)) {
        found.put(entry.key(), Json.decode(entry.json()));
      }
    }
    return found;
  }

  private static Map<String, Job.State> finalStates(RecordReplica replica) throws Exception {
    Map<String, Job.State> found = new TreeMap<>();
    for (Entry entry : replica.generationEntries()) {
      if (entry.key().startsWith(RecordKeys.ARCHIVED_FINAL_STATES)) {
        for (String job : RecordWire.parseFinalStates(entry.value())) {
          assertNull(found.put(job, state(entry.value())), job + " has two final states");
        }
      }
    }
    return found;
  }

  @Test
  void mergesSourcesLikeReferenceModel() throws Exception {
    for (int round = 0; round < 300; round++) {
      RecordReplica replica = new RecordReplica(0);
      ReferenceModel model = new ReferenceModel();
      List<Entry> surviving = new ArrayList<>();
      int replicaRevision = random.nextInt(60);
      for (Entry entry : history()) {
        if (entry.revision() <= replicaRevision) {
          replica.put(entry, RecordSource.CHANGES);
          model.put(entry);
        }
        // After a data loss the store may hold any subset, older or newer.
        if (random.nextInt(2) == 0) {
          surviving.add(entry);
          model.put(entry);
        }
      }
      replica.mergeSurviving(surviving);
      Map<String, JsonNode> expected = new TreeMap<>();
      model.records.forEach((key, entry) -> expected.put(key, Json.decode(entry.json())));
      assertEquals(expected, records(replica));
      assertEquals(model.finalStates, finalStates(replica));

      // A snapshot restores the same records, also after a rebase to another generation.
      Snapshot decoded = Snapshot.decode(replica.snapshot("c", Instant.EPOCH).encode());
      RecordReplica restored =
          RecordReplica.fromSnapshot(new SnapshotManager.LoadedSnapshot(decoded, List.of()));
      assertEquals(replica.generationEntries(), restored.generationEntries());
      restored.rebaseTo(
          new Generation(
              1L << 30, 5, Generation.Phase.COMPLETE, true, new Generation.Writer("m", "n")));
      assertEquals(expected, records(restored));
      assertEquals(model.finalStates, finalStates(restored));
    }
  }

  @Test
  void reportsMissingOrOutdatedPages() {
    RecordReplica replica = new RecordReplica(0);
    JsonNode page = Json.object().set("entries", Json.array());
    replica.put("placed/0", page, 7);
    replica.put("placed/1", page, 9);
    replica.markRecordsLoaded();
    List<Entry> complete = List.of(Entry.of("placed/0", page, 8), Entry.of("placed/1", page, 9));
    assertNull(
        replica.firstMissingKey(RecordKeys.PLACEMENTS, complete), "newer versions are not missing");
    assertEquals(
        "placed/1", replica.firstMissingKey(RecordKeys.PLACEMENTS, complete.subList(0, 1)));
    assertEquals(
        "placed/0",
        replica.firstMissingKey(
            RecordKeys.PLACEMENTS,
            List.of(Entry.of("placed/0", page, 6), Entry.of("placed/1", page, 9))));
  }

  /** Guards against a replica that takes over a value that no leader can load. */
  @ParameterizedTest
  @EnumSource(RecordSource.class)
  void unreadableValueNeverReplacesReadableOne(RecordSource source) {
    JsonNode page = Json.object().set("entries", Json.array());
    JsonNode damaged = Json.object().set("entries", Json.array().addNull());
    RecordReplica replica = new RecordReplica(0);
    RecordReplica unread = new RecordReplica(0);
    for (String key : List.of("accepted/0", "done/0", "images/0", "placed/0")) {
      replica.put(Entry.of(key, page, 5), source);
      replica.put(Entry.of(key, damaged, 6), source);
      unread.put(Entry.of(key, damaged, 6), source);
    }
    List.of(replica, unread)
        .forEach(
            each -> {
              each.markRecordsLoaded();
              each.markFinalStatesLoaded();
              assertFalse(each.isCompleteAndReadable(), "a peer with the values goes first");
            });
    assertEquals(4, replica.generationEntries().size());
    replica.generationEntries().forEach(entry -> assertTrue(RecordKind.isReadable(entry)));
    assertEquals(List.of(), unread.generationEntries());
    unread.retainReadableOf(replica);
    assertEquals(replica.generationEntries(), unread.generationEntries());

    RecordReplica other = new RecordReplica(0);
    other.markRecordsLoaded();
    other.markFinalStatesLoaded();
    other.put(Entry.of("end/req-1", damaged, 8), source);
    assertTrue(other.isCompleteAndReadable(), "no rebuild brings this value back");

    Map<String, Snapshot.Entry> stored =
        Map.of("placed/0", new StoredValue(6, Json.bytes(damaged)));
    Snapshot snapshot = new Snapshot("c", 0, 6, Instant.EPOCH, new TreeMap<>(stored), Map.of());
    RecordReplica restored =
        RecordReplica.fromSnapshot(new SnapshotManager.LoadedSnapshot(snapshot, List.of()));
    assertEquals(List.of(), restored.generationEntries());
  }

  /** Guards against jobs that are lost because one entry of a newer page is damaged. */
  @Test
  void readableEntriesOfDamagedPageAreAddedToEarlierOnes() throws Exception {
    RecordReplica replica = new RecordReplica(0);
    replica.put(Entry.of("placed/0", page(placement(1), placement(2)), 5), RecordSource.CHANGES);
    replica.put(Entry.of("placed/0", page(placement(3), Json.array()), 6), RecordSource.CHANGES);
    List<Integer> tasks = new ArrayList<>();
    for (JsonNode entry : RecordWire.entries(replica.generationEntries().get(0).value())) {
      tasks.add(RecordWire.parsePlacement(entry).task());
    }
    assertEquals(List.of(3, 1, 2), tasks);
  }

  private static JsonNode page(JsonNode... entries) {
    return RecordWire.page(Stream.of(entries));
  }

  private static JsonNode placement(int task) {
    return Json.array()
        .add("m-1")
        .add("10.1.0.1:9000")
        .add("g8")
        .add("a")
        .add(false)
        .add("req-1")
        .add(task)
        .add(7);
  }
}
