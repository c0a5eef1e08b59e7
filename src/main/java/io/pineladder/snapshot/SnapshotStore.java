package io.pineladder.snapshot;

import java.util.Map;
import java.util.function.Consumer;

/**
 * Stores the files of snapshots: a directory, or a fake of the tests. No call waits for a disk;
 * calls take effect in their order. A failure is logged and counted here and not reported.
 */
public interface SnapshotStore {
  /** Reads all files, by name; an empty map when there are none or they cannot be read. */
  void loadAll(Consumer<Map<String, byte[]>> onLoaded);

  /** Writes or replaces a file, whole or not at all. */
  void replace(String name, byte[] bytes);

  /** Appends to a file; its end may be cut short if the process ends meanwhile. */
  void append(String name, byte[] bytes);

  /** Removes a file, if it exists. */
  void remove(String name);

  /** The number of calls that have failed. */
  long failures();
}
