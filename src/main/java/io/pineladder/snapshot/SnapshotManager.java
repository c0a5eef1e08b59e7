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
  private static final Duration EVERY = Duration.ofSeconds(30);

  /** Changes gather so long before they are written. */
  private static final Duration GATHER = Duration.ofMillis(20);

  /** Snapshots kept, with the changes that follow each. */
  private static final int KEPT = 3;

  /** Changes in bytes after which a snapshot is made sooner. */
  private static final long MOST_CHANGES = 16L << 20;

  private static final Pattern NAME = Pattern.compile("(snapshot|changes)-([0-9]{19})-([0-9]{19})");

  /** What was read back: a snapshot, and the changes after it in their order. */
  public record Found(Snapshot snapshot, List<ChangeRecord> changes) {}

  private final SnapshotStore snapshotStore;
  private final BackgroundExecutor backgroundExecutor;
  private final EventLoop eventLoop;
  private final String cluster;
  private final Supplier<Snapshot> source;
  private final TreeSet<String> names = new TreeSet<>(BY_AGE);
  private String changes;
  private long changed;
  private ByteArrayOutputStream gathered = new ByteArrayOutputStream();
  private boolean flushSet;
  private boolean encoding;

  /** The copy has changed while a snapshot of the one before was made. */
  private boolean again;

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
    eventLoop.schedule(EVERY, this::tick);
  }

  public void stop() {
    stopped = true;
  }

  /** How many snapshots are on the shelf. */
  public int kept() {
    return (int) names.stream().filter(n -> n.startsWith("snapshot")).count();
  }

  public long failures() {
    return snapshotStore.failures();
  }

  private static String name(String kind, Snapshot of) {
    return String.format("%s-%019d-%019d", kind, of.base(), of.revision());
  }

  /** A record has changed in the store, as this controller sees it. */
  public void changed(String key, long version, Supplier<byte[]> json) {
    if (changes == null || stopped) {
      return;
    }
    byte[] bytes = new ChangeRecord(key, version, json.get()).encode();
    gathered.writeBytes(bytes);
    changed += bytes.length;
    if (!flushSet) {
      flushSet = true;
      eventLoop.schedule(GATHER, this::flush);
    }
    if (changed > MOST_CHANGES && !encoding) {
      make();
    }
  }

  private void flush() {
    flushSet = false;
    if (gathered.size() > 0 && changes != null) {
      snapshotStore.append(changes, gathered.toByteArray());
    }
    gathered = new ByteArrayOutputStream();
  }

  private void tick() {
    if (stopped) {
      return;
    }
    if (!encoding && (changes == null || changed > 0)) {
      make();
    }
    eventLoop.schedule(EVERY, this::tick);
  }

  /** The copy is another one from here on, so a new snapshot is made of it. */
  public void renew() {
    // Changes of the new copy must not follow a snapshot of the one before.
    flush();
    changes = null;
    if (encoding) {
      again = true;
    } else if (!stopped) {
      make();
    }
  }

  private void make() {
    Snapshot snapshot = source.get();
    if (snapshot == null) {
      return;
    }
    flush();
    // From here on changes follow this snapshot; if it is never whole they follow the one before.
    changes = name("changes", snapshot);
    changed = 0;
    encoding = true;
    backgroundExecutor.run(
        snapshot::encode,
        bytes -> {
          encoding = false;
          String name = name("snapshot", snapshot);
          snapshotStore.put(name, bytes);
          names.add(name);
          names.add(name("changes", snapshot));
          dropOld();
          if (again && !stopped) {
            again = false;
            make();
          }
        });
  }

  private void dropOld() {
    // A snapshot comes before the changes that follow it.
    while (kept() > KEPT || !names.isEmpty() && names.first().startsWith("changes")) {
      snapshotStore.remove(names.pollFirst());
    }
  }

  /**
   * Reads the newest snapshot that is whole and of this cluster, with all changes since.
   *
   * @param onFound told null when there is none
   */
  public void load(Consumer<Found> onFound) {
    snapshotStore.load(files -> onFound.accept(newest(files)));
  }

  private Found newest(Map<String, byte[]> files) {
    for (String name : files.keySet()) {
      Matcher of = NAME.matcher(name);
      if (of.matches()) {
        names.add(name);
      }
    }
    for (String name : names.descendingSet()) {
      if (!name.startsWith("snapshot")) {
        continue;
      }
      try {
        Snapshot snapshot = Snapshot.decode(files.get(name));
        snapshot.requireOf(cluster);
        List<ChangeRecord> since = new ArrayList<>();
        String first = name("changes", snapshot);
        for (String each : names.tailSet(first, true)) {
          // Changes of another generation do not follow from this snapshot.
          boolean same = each.startsWith(first.substring(0, first.lastIndexOf('-')));
          if (each.startsWith("changes") && same) {
            since.addAll(ChangeRecord.decode(files.get(each)));
          }
        }
        log.info("{} is read, with {} changes since", name, since.size());
        return new Found(snapshot, since);
      } catch (MalformedMessageException e) {
        log.warn("{} is left out: {}", name, e.getMessage());
      }
    }
    return null;
  }
}
