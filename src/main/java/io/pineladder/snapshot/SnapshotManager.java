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
 * Takes periodic snapshots of a controller's replica and appends the changes in between to a file,
 * so that only the changes of the last moments are lost when the process ends.
 *
 * <p>Event thread only; encoding runs in the background.
 */
public final class SnapshotManager {
  private static final Logger log = LoggerFactory.getLogger(SnapshotManager.class);

  /** The interval between snapshots, if the replica has changed. */
  private static final Duration SNAPSHOT_INTERVAL = Duration.ofSeconds(30);

  /** How long changes are buffered before they are written. */
  private static final Duration CHANGE_FLUSH_DELAY = Duration.ofMillis(20);

  /** Number of snapshots retained, each with its change file. */
  private static final int MAX_SNAPSHOTS = 3;

  /** Size of a change file at which a snapshot is taken before the interval has passed. */
  private static final long MAX_CHANGE_BYTES = 16L << 20;

  /** A snapshot loaded from the store, with the later changes in order. */
  public record LoadedSnapshot(Snapshot snapshot, List<ChangeRecord> changes) {}

  /** The state of the encoding of a snapshot in the background. */
  private enum EncodingState {
    /** No snapshot is being encoded. */
    IDLE,
    /** A snapshot is being encoded. */
    ENCODING,
    /** A snapshot of a replica that has since been replaced is being encoded. */
    OUTDATED
  }

  private final SnapshotStore snapshotStore;
  private final BackgroundExecutor backgroundExecutor;
  private final EventLoop eventLoop;
  private final String cluster;
  private final Supplier<Snapshot> source;

  /** The names of the files in the store, the oldest first. */
  private final TreeSet<String> fileNames = new TreeSet<>(SnapshotFileNames.BY_AGE);

  private EncodingState encodingState = EncodingState.IDLE;

  /** The file to which changes are appended; null before the first snapshot of the replica. */
  private String changeFile;

  /** Bytes of changes since the latest snapshot. */
  private long changeBytes;

  private ByteArrayOutputStream bufferedChanges = new ByteArrayOutputStream();
  private boolean flushScheduled;
  private boolean stopped;

  /**
   * Creates the manager; {@link #start} begins to take snapshots.
   *
   * @param cluster the identity of the cluster; snapshots of other clusters are not loaded
   * @param source supplies a snapshot, or null while the replica is incomplete
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

  /** Ends snapshots and ignores later changes; buffered changes are still written. */
  public void stop() {
    stopped = true;
  }

  /** The number of snapshots in the store. */
  public int snapshotCount() {
    return (int) fileNames.stream().filter(SnapshotFileNames::isSnapshot).count();
  }

  /** The number of store operations that have failed since the process started. */
  public long failures() {
    return snapshotStore.failures();
  }

  /**
   * Appends a change of the replica.
   *
   * @param json the new value, encoded; null for a deleted key
   */
  public void appendChange(String key, long version, byte[] json) {
    if (changeFile == null || stopped) {
      return;
    }
    byte[] bytes = new ChangeRecord(key, version, json).encode();
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

  /** The replica was replaced by another one; takes a snapshot of it. */
  public void onReplicaReplaced() {
    // Changes of the new replica must not be appended to those of the previous one.
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
    // Later changes go to the file of this snapshot. If the snapshot is never stored, they still
    // follow the previous one: loading reads all later change files of the generation.
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
    removeOldFiles();
    if (outdated && !stopped) {
      createSnapshot();
    }
  }

  private void transitionTo(EncodingState next) {
    encodingState = next;
  }

  private void removeOldFiles() {
    // Also removes change files whose snapshot was removed; snapshots precede their change files.
    while (snapshotCount() > MAX_SNAPSHOTS
        || (!fileNames.isEmpty() && SnapshotFileNames.isChanges(fileNames.first()))) {
      snapshotStore.remove(fileNames.pollFirst());
    }
  }

  /**
   * Loads the newest valid snapshot of this cluster, with all later changes.
   *
   * @param onLoaded receives the snapshot; null when there is none
   */
  public void load(Consumer<LoadedSnapshot> onLoaded) {
    snapshotStore.loadAll(files -> onLoaded.accept(newestValidSnapshot(files)));
  }

  private LoadedSnapshot newestValidSnapshot(Map<String, byte[]> files) {
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
      // Changes of another generation do not apply to this snapshot.
      if (SnapshotFileNames.isSameKindAndGeneration(name, first)) {
        changes.addAll(ChangeRecord.decode(files.get(name)));
      }
    }
    return changes;
  }
}
