package io.pineladder.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.delivery.NotificationOutbox;
import io.pineladder.model.ClusterVersion;
import io.pineladder.model.Job;
import io.pineladder.model.JobKind;
import io.pineladder.model.JobSpec;
import io.pineladder.model.MachineType;
import io.pineladder.model.Resources;
import io.pineladder.model.Settings;
import io.pineladder.model.TestJobs;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.ManualEventLoop;
import io.pineladder.scheduling.ClusterState;
import io.pineladder.store.Committer;
import io.pineladder.store.RecordKeys;
import io.pineladder.store.Records;
import io.pineladder.store.StoreClient;
import io.pineladder.wire.Json;
import io.pineladder.wire.RecordWire;
import io.pineladder.wire.SettingsReader;
import io.pineladder.wire.SettingsReaderTest;
import io.pineladder.wire.StoreWire;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The load of a term on an event loop whose clock advances whenever it is read. */
class TermLoaderTest {
  private static final int PAGES = 100;
  private static final int PLACEMENTS_PER_PAGE = 50;
  private static final String JOB = "req-000001";
  private static final MachineType TYPE =
      new MachineType(
          "g4", Resources.of(16, 4, 64), 50, 1, 4, 1, Duration.ofSeconds(10), List.of("a"));

  /** Lets a millisecond pass each time the clock is read, as on a slow processor. */
  private static final class SlowEventLoop extends ManualEventLoop {
    @Override
    public Instant now() {
      now = now.plusMillis(1);
      return now;
    }
  }

  /** Collects the loaded jobs. */
  private static final class LoadListener implements TermLoader.Listener {
    final List<Job> loaded = new ArrayList<>();
    int prefixesRead;
    boolean done;

    @Override
    public boolean isLoading() {
      return true;
    }

    @Override
    public void onConfiguration(List<StoreWire.Entry> entries) {}

    @Override
    public List<MachineType> machineTypes() {
      return List.of(TYPE);
    }

    @Override
    public StoreClient.Listing onPrefixRead(String prefix, StoreClient.Listing listing) {
      prefixesRead++;
      return listing;
    }

    @Override
    public Job.State finalState(String id) {
      return null;
    }

    @Override
    public void onUnreadableRecord(String reason) {
      throw new AssertionError(reason);
    }

    @Override
    public void onLoaded(List<Job> jobs, StoreClient.Listing inbox) {
      loaded.addAll(jobs);
      done = true;
    }
  }

  private final SlowEventLoop eventLoop = new SlowEventLoop();
  private final Map<String, JsonNode> stored = new HashMap<>();
  private final Settings.StoreLimits limits = new Settings.StoreLimits(1_000, 1_000, 8192, 12);
  private final StoreClient storeClient =
      new StoreClient(this::answerListing, eventLoop, "10.2.0.1:2379", limits, 3);
  private final LoadListener listener = new LoadListener();

  private void answerListing(
      AsyncHttpClient.Request request, Consumer<AsyncHttpClient.Reply> onReply) {
    ObjectNode response = Json.object().put("truncated", false).put("epoch", 9);
    ArrayNode entries = response.putArray("entries");
    stored.forEach(
        (key, value) -> {
          String prefix = key.substring(0, key.indexOf('/') + 1);
          if (request.path().contains("prefix=" + prefix + "&")) {
            entries.addObject().put("path", key).put("stamp", 7).set("v", value);
          }
        });
    eventLoop.schedule(
        Duration.ZERO,
        () -> onReply.accept(AsyncHttpClient.Reply.answered(200, Json.bytes(response))));
  }

  private static JsonNode placement(int task, long attempt) {
    return Json.array()
        .add("m-" + task % 20)
        .add("10.1.0.1:9000")
        .add(TYPE.name())
        .add("a")
        .add(false)
        .add(JOB)
        .add(task)
        .add(attempt);
  }

  private void storeRecords() {
    JobSpec spec = TestJobs.smallTasks(JobKind.SERVICE, PAGES * PLACEMENTS_PER_PAGE);
    stored.put(
        RecordKeys.JOB_PAGES + 0,
        RecordWire.page(Stream.of(RecordWire.job(spec, Instant.EPOCH, Job.State.ACTIVE))));
    for (int page = 0; page < PAGES; page++) {
      List<JsonNode> entries = new ArrayList<>();
      for (int i = 0; i < PLACEMENTS_PER_PAGE; i++) {
        entries.add(placement(page * PLACEMENTS_PER_PAGE + i, 2));
      }
      // Obsolete attempts of tasks on this page and on another one.
      entries.add(placement(page * PLACEMENTS_PER_PAGE, 1));
      entries.add(placement((page + 7) * 13 % PAGES, 1));
      stored.put(RecordKeys.PLACEMENTS + page, RecordWire.page(entries.stream()));
    }
  }

  private ClusterState load() throws SettingsReader.BadSettingsException {
    Settings settings = SettingsReader.parse(SettingsReaderTest.VALID_SETTINGS);
    ClusterState cluster = new ClusterState(settings);
    Committer committer = new Committer(storeClient, eventLoop, 8, null);
    NotificationOutbox outbox =
        new NotificationOutbox(100, 8192, eventLoop, committer::submit, () -> {});
    Records records =
        new Records(8192, 8192, new ClusterVersion(), eventLoop, committer::submit, null, outbox);
    new TermLoader(storeClient, eventLoop, cluster, committer, records, outbox, listener).load();
    return cluster;
  }

  /** Guards against two jobs with one id, which start all tasks twice. */
  @Test
  void jobWhoseRecordIsInTwoPagesIsRestoredOnce() throws Exception {
    storeRecords();
    stored.put(RecordKeys.JOB_PAGES + 1, stored.get(RecordKeys.JOB_PAGES + 0));
    load();
    while (!listener.done) {
      eventLoop.timers.poll().run();
    }
    assertEquals(1, listener.loaded.size());
  }

  /** Guards against a leader that loses its lease because it restores all records in one event. */
  @Test
  void renewalsOfTheLeaseRunWhileManyRecordsAreRestored() throws Exception {
    storeRecords();
    ClusterState cluster = load();
    int prefixes = 0;
    Duration longestEvent = Duration.ZERO;
    int eventsAfterLastRead = 0;
    while (!listener.done) {
      eventsAfterLastRead = listener.prefixesRead == prefixes ? eventsAfterLastRead + 1 : 0;
      prefixes = listener.prefixesRead;
      Instant before = eventLoop.now;
      eventLoop.timers.poll().run();
      Duration event = Duration.between(before, eventLoop.now);
      longestEvent = event.compareTo(longestEvent) > 0 ? event : longestEvent;
    }
    assertTrue(
        eventsAfterLastRead >= 5, "events in which all was restored: " + eventsAfterLastRead);
    assertTrue(longestEvent.compareTo(Duration.ofMillis(100)) < 0, "longest " + longestEvent);
    Job job = listener.loaded.get(0);
    assertEquals(PAGES * PLACEMENTS_PER_PAGE, job.attempts.size());
    assertEquals(20, cluster.machines().size());
    job.attempts.values().forEach(each -> assertEquals(2, each.iterator().next().number));
  }
}
