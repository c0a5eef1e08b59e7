package io.pineladder.snapshot;

import java.util.Comparator;
import java.util.regex.Pattern;

/**
 * Names of snapshot files and of the files with the changes after them. A name contains the base of
 * the generation and the revision of the snapshot.
 */
final class SnapshotFileNames {
  private static final String SNAPSHOT = "snapshot";
  private static final String CHANGES = "changes";

  private static final Pattern PATTERN =
      Pattern.compile("(" + SNAPSHOT + "|" + CHANGES + ")-([0-9]{19})-([0-9]{19})");

  /** Orders by base and revision; a snapshot precedes its change file. */
  static final Comparator<String> BY_AGE =
      Comparator.comparing((String name) -> name.substring(name.indexOf('-')))
          .thenComparing(Comparator.reverseOrder());

  private SnapshotFileNames() {}

  static String ofSnapshot(Snapshot snapshot) {
    return name(SNAPSHOT, snapshot);
  }

  /** The name of the file with the changes after a snapshot. */
  static String ofChanges(Snapshot snapshot) {
    return name(CHANGES, snapshot);
  }

  private static String name(String kind, Snapshot snapshot) {
    return String.format("%s-%019d-%019d", kind, snapshot.generationBase(), snapshot.revision());
  }

  /** Whether this is the name of a snapshot or change file; other files are ignored. */
  static boolean isValid(String name) {
    return PATTERN.matcher(name).matches();
  }

  static boolean isSnapshot(String name) {
    return name.startsWith(SNAPSHOT);
  }

  static boolean isChanges(String name) {
    return name.startsWith(CHANGES);
  }

  /** Whether {@code name} is a change file of the same generation as {@code changeFile}. */
  static boolean isSameKindAndGeneration(String name, String changeFile) {
    return name.startsWith(changeFile.substring(0, changeFile.lastIndexOf('-')));
  }
}
