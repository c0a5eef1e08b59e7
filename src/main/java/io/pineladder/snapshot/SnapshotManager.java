package io.pineladder.snapshot;

import io.pineladder.net.BackgroundExecutor;
import io.pineladder.net.EventLoop;
import io.pineladder.wire.MalformedMessageException;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A controller's snapshots of its replica: one at an interval, and between them each change as it
 * is seen stored, so that what is loaded lacks the last moments only.
 *
 * <p>Event thread only; encoding runs in the background.
 */
public final class SnapshotManager {
  private static final Logger log = LoggerFactory.getLogger(SnapshotManager.class);

  /** Between two snapshots, when something has changed. */
  private static final Duration SNAPSHOT_INTERVAL = Duration.ofSeconds(30);

  /** Changes are collected so long before they are written. */
  private static final Duration CHANGE_FLUSH_DELAY = Duration.ofMillis(20);

  /** Snapshots retained, with the changes that follow each. */
  private static final int MAX_SNAPSHOTS = 3;

  /** Bytes of changes after which a snapshot is made before the interval has passed. */
  private static final long MAX_CHANGE_BYTES = 16L << 20;

  /** A snapshot that was loaded, and the changes after it in their order. */
  public record LoadedSnapshot(Snapshot snapshot, List<ChangeRecord> changes) {}

  /** Whether a snapshot is being encoded. */
  private enum EncodingState {
    /** None is. */
    IDLE,
    /** One is, in the background. */
    ENCODING,
    /** One is, of a replica that has been replaced since: another one has to follow. */
    OUTDATED
  }

  private final SnapshotStore snapshotStore;
  private final BackgroundExecutor backgroundExecutor;
  private final EventLoop eventLoop;
  private final String cluster;
  private final Supplier<Snapshot> source;

  /** The files in the store, the oldest first. */
  private final TreeSet<String> fileNames = new TreeSet<>(SnapshotFileNames.BY_AGE);

  private EncodingState encodingState = EncodingState.IDLE;

  /** The file to which changes are appended; null while no snapshot precedes them. */
  private String changeFile;

  /** Bytes of changes since the last snapshot. */
  private long changeBytes;

  private ByteArrayOutputStream bufferedChanges = new ByteArrayOutputStream();
  private boolean flushScheduled;
  private boolean stopped;

  /**
   * Snapshots of one controller.
   *
   * @param cluster the name of the cluster, which a snapshot must have to be loaded
   * @param source makes a snapshot; null while the replica is not complete
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

  /** Begins to make snapshots. */
  public void start() {
    eventLoop.schedule(SNAPSHOT_INTERVAL, this::tick);
  }

  /** Makes no snapshots and takes no changes any more; buffered changes are still written. */
  public void stop() {
    stopped = true;
  }

  /** The number of snapshots in the store. */
  public int snapshotCount() {
    return (int) fileNames.stream().filter(SnapshotFileNames::isSnapshot).count();
  }

  /** Writes that have failed since the start. */
  public long failures() {
    return snapshotStore.failures();
  }

  /**
   * A record has changed in the store, as this controller sees it.
   *
   * @param json supplies the new value, or null for a deleted key; called at once or not at all
   */
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
    if (changeBytes > MAX_CHANGE_BYTES && encodingState == EncodingState.IDLE) {
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
    if (encodingState == EncodingState.IDLE && (changeFile == null || changeBytes > 0)) {
      createSnapshot();
    }
    eventLoop.schedule(SNAPSHOT_INTERVAL, this::tick);
  }

  /** The replica was replaced by another one, of which a snapshot is made. */
  public void onReplicaReplaced() {
    // Changes of the new replica must not follow a snapshot of the one before.
    flush();
    changeFile = null;
    if (encodingState != EncodingState.IDLE) {
      transitionTo(EncodingState.OUTDATED);
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
    changeFile = SnapshotFileNames.ofChanges(snapshot);
    changeBytes = 0;
    transitionTo(EncodingState.ENCODING);
    backgroundExecutor.run(snapshot::encode, bytes -> onEncoded(snapshot, bytes));
  }

  private void onEncoded(Snapshot snapshot, byte[] bytes) {
    boolean outdated = encodingState == EncodingState.OUTDATED;
    transitionTo(EncodingState.IDLE);
    String name = SnapshotFileNames.ofSnapshot(snapshot);
    snapshotStore.replace(name, bytes);
    fileNames.add(name);
    fileNames.add(SnapshotFileNames.ofChanges(snapshot));
    removeExpired();
    if (outdated && !stopped) {
      createSnapshot();
    }
  }

  private void transitionTo(EncodingState next) {
    encodingState = next;
  }

  private void removeExpired() {
    // A snapshot comes before the changes that follow it.
    while (snapshotCount() > MAX_SNAPSHOTS
        || (!fileNames.isEmpty() && SnapshotFileNames.isChanges(fileNames.first()))) {
      snapshotStore.remove(fileNames.pollFirst());
    }
  }

  /**
   * Loads the newest snapshot that is whole and of this cluster, with all changes since.
   *
   * @param onLoaded receives null when there is none
   */
  public void load(Consumer<LoadedSnapshot> onLoaded) {
    snapshotStore.loadAll(files -> onLoaded.accept(newestValid(files)));
  }

  private LoadedSnapshot newestValid(Map<String, byte[]> files) {
    for (String name : files.keySet()) {
      if (SnapshotFileNames.isValid(name)) {
        fileNames.add(name);
      }
    }
    for (String name : fileNames.descendingSet()) {
      if (!SnapshotFileNames.isSnapshot(name)) {
        continue;
      }
      try {
        Snapshot snapshot = Snapshot.decode(files.get(name));
        snapshot.requireCluster(cluster);
        List<ChangeRecord> changes = changesSince(snapshot, files);
        log.info("Snapshot loaded: file={} changes={}", name, changes.size());
        return new LoadedSnapshot(snapshot, changes);
      } catch (MalformedMessageException e) {
        log.warn("Snapshot ignored: file={} error={}", name, e.getMessage());
      }
    }
    return null;
  }

  private List<ChangeRecord> changesSince(Snapshot snapshot, Map<String, byte[]> files) {
    List<ChangeRecord> changes = new ArrayList<>();
    String first = SnapshotFileNames.ofChanges(snapshot);
    for (String name : fileNames.tailSet(first, true)) {
      // Changes of another generation do not follow from this snapshot.
      if (SnapshotFileNames.isSameKindAndGeneration(name, first)) {
        changes.addAll(ChangeRecord.decode(files.get(name)));
      }
    }
    return changes;
  }
}
