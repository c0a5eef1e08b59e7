package io.pineladder.snapshot;

import java.util.Map;
import java.util.function.Consumer;

/**
 * Stores snapshot files. Calls do not block and take effect in order. A failure is logged and
 * counted by the store and not reported to the caller.
 */
public interface SnapshotStore {
  /** Reads all files by name; the map is incomplete or empty when they cannot be read. */
  void loadAll(Consumer<Map<String, byte[]>> onLoaded);

  /** Writes or replaces a file atomically. */
  void replace(String name, byte[] bytes);

  /** Appends to a file; the end may be truncated if the process ends during the write. */
  void append(String name, byte[] bytes);

  /** Removes a file, if it exists. */
  void remove(String name);

  /** The number of operations that have failed. */
  long failures();
}
