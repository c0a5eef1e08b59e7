package io.pineladder.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.model.Attempt;
import io.pineladder.model.ClusterVersion;
import io.pineladder.model.Job;
import io.pineladder.model.JobKind;
import io.pineladder.model.JobSpec;
import io.pineladder.model.Machine;
import io.pineladder.model.MachineType;
import io.pineladder.model.Resources;
import io.pineladder.model.TestJobs;
import io.pineladder.net.ManualEventLoop;
import io.pineladder.store.Mutation.Priority;
import io.pineladder.wire.Json;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.RecordWire;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Compares packed records with a model that tracks the latest version of each entry. */
class RecordPagesTest {
  private static final int VALUE_BYTES = 1024;

  /** Runs timers and transactions on demand; a transaction may fail and be assembled again. */
  private static final class FakeStore extends ManualEventLoop {
    final List<Mutation> pending = new ArrayList<>();
    final Map<String, JsonNode> values = new LinkedHashMap<>();
    int writes;

    /** Puts the first pending mutations into one transaction, which is executed or fails. */
    void runTransaction(int maxMutations, boolean executed) {
      Map<String, JsonNode> batch = new HashMap<>();
      int taken = 0;
      while (taken < maxMutations && taken < pending.size()) {
        Mutation.Write write = pending.get(taken++).writes().get(0);
        JsonNode value = write.value().get();
        assertTrue(Json.bytes(value).length <= VALUE_BYTES, "value exceeds the store's limit");
        assertTrue(batch.put(write.key(), value) == null, "key written twice in one transaction");
      }
      if (executed) {
        List<Mutation> done = List.copyOf(pending.subList(0, taken));
        pending.subList(0, taken).clear();
        values.putAll(batch);
        writes += batch.size();
        done.forEach(mutation -> mutation.onCommitted().run());
      }
    }
  }

  /** An entry with a version that only increases. */
  private static final class Entry {
    final int id;
    int version;
    boolean live = true;

    Entry(int id) {
      this.id = id;
    }
  }

  private static RecordPages<Entry, JsonNode> pages(
      FakeStore store, Map<Integer, Integer> reportedVersions) {
    Map<Integer, Integer> encoded = new HashMap<>();
    return new RecordPages<>(
        new RecordPages.EntryKind<>(
            "page/",
            Priority.PLACEMENT,
            Duration.ZERO,
            entry -> entry.live,
            entry -> {
              encoded.put(entry.id, entry.version);
              return Json.array().add(entry.id).add(entry.version).add("x".repeat(entry.id % 60));
            },
            (entry, encodedEntry) -> encodedEntry,
            entry -> reportedVersions.put(entry.id, encoded.get(entry.id))),
        VALUE_BYTES,
        store,
        store.pending::add);
  }

  private static Map<Integer, Integer> readNewestVersions(FakeStore store)
      throws MalformedMessageException {
    Map<Integer, Integer> newest = new HashMap<>();
    for (JsonNode page : store.values.values()) {
      for (JsonNode entry : RecordWire.entries(page)) {
        newest.merge(entry.get(0).asInt(), entry.get(1).asInt(), Math::max);
      }
    }
    return newest;
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void entriesReportedStoredCanAlwaysBeRead(long seed) throws MalformedMessageException {
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    FakeStore store = new FakeStore();
    Map<Integer, Integer> reportedVersions = new HashMap<>();
    RecordPages<Entry, JsonNode> pages = pages(store, reportedVersions);
    List<Entry> live = new ArrayList<>();
    int nextId = 0;
    int storeCalls = 0;
    for (int step = 0; step < 4000; step++) {
      switch (random.nextInt(6)) {
        case 0, 1 -> {
          Entry entry = new Entry(nextId++);
          live.add(entry);
          pages.store(entry);
          storeCalls++;
        }
        case 2 -> {
          if (!live.isEmpty()) {
            Entry entry = live.get(random.nextInt(live.size()));
            entry.version++;
            pages.store(entry);
            storeCalls++;
          }
        }
        case 3 -> {
          while (live.size() > 40 + random.nextInt(80)) {
            Entry removed = live.remove(random.nextInt(live.size()));
            removed.live = false;
            if (random.nextInt(4) == 0) {
              pages.rewritePagesOf(List.of(removed));
            }
          }
        }
        case 4 -> store.runTimers();
        default -> store.runTransaction(1 + random.nextInt(4), random.nextInt(4) > 0);
      }
      Map<Integer, Integer> read = readNewestVersions(store);
      for (Entry entry : live) {
        if (reportedVersions.containsKey(entry.id)) {
          assertTrue(
              read.getOrDefault(entry.id, -1) >= reportedVersions.get(entry.id),
              "step " + step + ": entry " + entry.id);
        }
      }
    }
    for (int i = 0; i < 200; i++) {
      store.runTimers();
      store.runTransaction(4, true);
    }
    Map<Integer, Integer> read = readNewestVersions(store);
    for (Entry entry : live) {
      assertEquals(entry.version, reportedVersions.get(entry.id));
      assertEquals(entry.version, read.get(entry.id));
    }
    assertTrue(store.writes < storeCalls, store.writes + " writes for " + storeCalls + " changes");
    assertTrue(store.values.size() < 40, store.values.size() + " pages");
  }

  private static Job largeJob() {
    JobSpec spec = TestJobs.smallTasks(JobKind.ARRAY, 100_000);
    return new Job(spec, Instant.EPOCH, Job.State.ACTIVE);
  }

  @Test
  void largeJobCompletionsFitValueLimit() throws MalformedMessageException {
    FakeStore store = new FakeStore();
    Job job = largeJob();
    MachineType type =
        new MachineType(
            "g4", Resources.of(16, 4, 64), 50, 1, 4, 1, Duration.ofSeconds(10), List.of("a"));
    Machine machine = new Machine("m-1", type, "a", false, Instant.EPOCH);
    Records records =
        new Records(
            VALUE_BYTES,
            VALUE_BYTES,
            new ClusterVersion(),
            store,
            store.pending::add,
            new Records.Listener() {
              @Override
              public void onPlacementStored(Attempt attempt) {}

              @Override
              public void onFinalStateStored(Job ended) {}

              @Override
              public void onRemoved(Job removed) {}

              @Override
              public void onUnpagedRecordFound(Job job, Runnable retry) {}
            },
            NotificationLog.DISABLED);
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(7);
    Set<Attempt> done = new LinkedHashSet<>();
    // Completing every other task yields the largest number of ranges.
    for (int task = 0; task < 20_000; task++) {
      if (task < 10_000 ? task % 2 == 1 : random.nextInt(3) == 0) {
        Attempt attempt = new Attempt(job, task, 1, machine, Instant.EPOCH, Attempt.State.RUNNING);
        job.completedTasks.set(task);
        done.add(attempt);
        records.storeCompletion(job, attempt);
      }
    }
    for (int i = 0; i < 2000 && !(store.pending.isEmpty() && store.timers.isEmpty()); i++) {
      store.runTimers();
      store.runTransaction(4, true);
    }
    BitSet read = new BitSet();
    Set<String> chunks = new HashSet<>();
    for (JsonNode page : store.values.values()) {
      for (JsonNode entry : RecordWire.entries(page)) {
        RecordWire.StoredCompletions stored = RecordWire.parseCompletions(entry);
        read.or(stored.completed());
        chunks.add(stored.job() + "/" + stored.chunk());
      }
    }
    assertEquals(job.completedTasks, read);
    assertTrue(chunks.size() > 100, "completions span many entries");
    assertTrue(done.stream().allMatch(attempt -> attempt.endProcessed));
  }
}
