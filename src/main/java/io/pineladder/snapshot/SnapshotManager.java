package io.pineladder.snapshot;

import io.pineladder.net.BackgroundExecutor;
import io.pineladder.net.EventLoop;
import io.pineladder.wire.MalformedMessageException;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A controller's snapshots: one now and then, and between them each change as it is seen stored, so
 * that what is read back lacks the last moments only.
 */
public final class SnapshotManager {
  private static final Logger log = LoggerFactory.getLogger(SnapshotManager.class);

  /** Between two snapshots, when something has changed. */
  private static final Duration SNAPSHOT_INTERVAL = Duration.ofSeconds(30);

  /** Changes gather so long before they are written. */
  private static final Duration CHANGE_FLUSH_DELAY = Duration.ofMillis(20);

  /** Snapshots kept, with the changes that follow each. */
  private static final int MAX_SNAPSHOTS = 3;

  /** Changes in bytes after which a snapshot is made sooner. */
  private static final long MAX_CHANGE_BYTES = 16L << 20;

  private static final Pattern FILE_NAME =
      Pattern.compile("(snapshot|changes)-([0-9]{19})-([0-9]{19})");

  /** What was read back: a snapshot, and the changes after it in their order. */
  public record LoadedSnapshot(Snapshot snapshot, List<ChangeRecord> changes) {}

  private final SnapshotStore snapshotStore;
  private final BackgroundExecutor backgroundExecutor;
  private final EventLoop eventLoop;
  private final String cluster;
  private final Supplier<Snapshot> source;
  private final TreeSet<String> fileNames = new TreeSet<>(BY_AGE);
  private String changeFile;
  private long changeBytes;
  private ByteArrayOutputStream bufferedChanges = new ByteArrayOutputStream();
  private boolean flushScheduled;
  private boolean encoding;

  /** The copy has changed while a snapshot of the one before was made. */
  private boolean snapshotOutdated;

  private boolean stopped;

  private static final Comparator<String> BY_AGE =
      Comparator.comparing((String name) -> name.substring(name.indexOf('-')))
          .thenComparing(Comparator.reverseOrder());

  /**
   * Snapshots of one controller.
   *
   * @param source makes a snapshot; null while there is nothing whole to make one of
   */
  public SnapshotManager(
      SnapshotStore snapshotStore,
      BackgroundExecutor backgroundExecutor,
      EventLoop eventLoop,
      String cluster,
      Supplier<Snapshot> source) {
    this.snapshotStore = snapshotStore;
    this.backgroundExecutor = backgroundExecutor;
    this.eventLoop = eventLoop;
    this.cluster = cluster;
    this.source = source;
  }

  public void start() {
    eventLoop.schedule(SNAPSHOT_INTERVAL, this::tick);
  }

  public void stop() {
    stopped = true;
  }

  /** How many snapshots are on the shelf. */
  public int snapshotCount() {
    return (int) fileNames.stream().filter(n -> n.startsWith("snapshot")).count();
  }

  public long failures() {
    return snapshotStore.failures();
  }

  private static String fileName(String kind, Snapshot of) {
    return String.format("%s-%019d-%019d", kind, of.generationBase(), of.revision());
  }

  /** A record has changed in the store, as this controller sees it. */
  public void recordChange(String key, long version, Supplier<byte[]> json) {
    if (changeFile == null || stopped) {
      return;
    }
    byte[] bytes = new ChangeRecord(key, version, json.get()).encode();
    bufferedChanges.writeBytes(bytes);
    changeBytes += bytes.length;
    if (!flushScheduled) {
      flushScheduled = true;
      eventLoop.schedule(CHANGE_FLUSH_DELAY, this::flush);
    }
    if (changeBytes > MAX_CHANGE_BYTES && !encoding) {
      createSnapshot();
    }
  }

  private void flush() {
    flushScheduled = false;
    if (bufferedChanges.size() > 0 && changeFile != null) {
      snapshotStore.append(changeFile, bufferedChanges.toByteArray());
    }
    bufferedChanges = new ByteArrayOutputStream();
  }

  private void tick() {
    if (stopped) {
      return;
    }
    if (!encoding && (changeFile == null || changeBytes > 0)) {
      createSnapshot();
    }
    eventLoop.schedule(SNAPSHOT_INTERVAL, this::tick);
  }

  /** The copy is another one from here on, so a new snapshot is made of it. */
  public void onReplicaReplaced() {
    // Changes of the new copy must not follow a snapshot of the one before.
    flush();
    changeFile = null;
    if (encoding) {
      snapshotOutdated = true;
    } else if (!stopped) {
      createSnapshot();
    }
  }

  private void createSnapshot() {
    Snapshot snapshot = source.get();
    if (snapshot == null) {
      return;
    }
    flush();
    // From here on changes follow this snapshot; if it is never whole they follow the one before.
    changeFile = fileName("changes", snapshot);
    changeBytes = 0;
    encoding = true;
    backgroundExecutor.run(
        snapshot::encode,
        bytes -> {
          encoding = false;
          String name = fileName("snapshot", snapshot);
          snapshotStore.replace(name, bytes);
          fileNames.add(name);
          fileNames.add(fileName("changes", snapshot));
          removeExpired();
          if (snapshotOutdated && !stopped) {
            snapshotOutdated = false;
            createSnapshot();
          }
        });
  }

  private void removeExpired() {
    // A snapshot comes before the changes that follow it.
    while (snapshotCount() > MAX_SNAPSHOTS
        || !fileNames.isEmpty() && fileNames.first().startsWith("changes")) {
      snapshotStore.remove(fileNames.pollFirst());
    }
  }

  /**
   * Reads the newest snapshot that is whole and of this cluster, with all changes since.
   *
   * @param onFound told null when there is none
   */
  public void load(Consumer<LoadedSnapshot> onFound) {
    snapshotStore.loadAll(files -> onFound.accept(newestValid(files)));
  }

  private LoadedSnapshot newestValid(Map<String, byte[]> files) {
    for (String name : files.keySet()) {
      Matcher of = FILE_NAME.matcher(name);
      if (of.matches()) {
        fileNames.add(name);
      }
    }
    for (String name : fileNames.descendingSet()) {
      if (!name.startsWith("snapshot")) {
        continue;
      }
      try {
        Snapshot snapshot = Snapshot.decode(files.get(name));
        snapshot.requireCluster(cluster);
        List<ChangeRecord> since = new ArrayList<>();
        String first = fileName("changes", snapshot);
        for (String each : fileNames.tailSet(first, true)) {
          // Changes of another generation do not follow from this snapshot.
          boolean same = each.startsWith(first.substring(0, first.lastIndexOf('-')));
          if (each.startsWith("changes") && same) {
            since.addAll(ChangeRecord.decode(files.get(each)));
          }
        }
        log.info("{} is read, with {} changes since", name, since.size());
        return new LoadedSnapshot(snapshot, since);
      } catch (MalformedMessageException e) {
        log.warn("{} is left out: {}", name, e.getMessage());
      }
    }
    return null;
  }
}
