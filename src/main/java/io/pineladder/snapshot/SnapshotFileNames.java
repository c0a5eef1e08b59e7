package io.pineladder.snapshot;

import java.util.Comparator;
import java.util.regex.Pattern;

/**
 * Names of the files of snapshots and of the changes that follow them, which state the generation's
 * base and the revision of the snapshot.
 */
final class SnapshotFileNames {
  private static final String SNAPSHOT = "snapshot";
  private static final String CHANGES = "changes";

  private static final Pattern PATTERN =
      Pattern.compile("(" + SNAPSHOT + "|" + CHANGES + ")-([0-9]{19})-([0-9]{19})");

  /** By base and revision; a snapshot comes before the changes that follow it. */
  static final Comparator<String> BY_AGE =
      Comparator.comparing((String name) -> name.substring(name.indexOf('-')))
          .thenComparing(Comparator.reverseOrder());

  private SnapshotFileNames() {}

  static String ofSnapshot(Snapshot snapshot) {
    return name(SNAPSHOT, snapshot);
  }

  /** The file of the changes that follow a snapshot. */
  static String ofChanges(Snapshot snapshot) {
    return name(CHANGES, snapshot);
  }

  private static String name(String kind, Snapshot snapshot) {
    return String.format("%s-%019d-%019d", kind, snapshot.generationBase(), snapshot.revision());
  }

  /** Whether a file in the store is one of these; others are left alone. */
  static boolean isValid(String name) {
    return PATTERN.matcher(name).matches();
  }

  static boolean isSnapshot(String name) {
    return name.startsWith(SNAPSHOT);
  }

  static boolean isChanges(String name) {
    return name.startsWith(CHANGES);
  }

  /** Whether both are changes of the same generation, given that {@code changes} are changes. */
  static boolean isSameKindAndGeneration(String name, String changes) {
    return name.startsWith(changes.substring(0, changes.lastIndexOf('-')));
  }
}
