package io.pineladder.snapshot;

import java.util.Map;
import java.util.function.Consumer;

/**
 * Where snapshots are put: a directory, or what the tests have for one. Nothing here waits for a
 * disk; calls take effect in their order. What fails is logged and counted where it happens.
 */
public interface SnapshotStore {
  /** Reads all files, by name; an empty map when there are none or they cannot be read. */
  void loadAll(Consumer<Map<String, byte[]>> onLoaded);

  /** Puts a file there whole, or not at all. */
  void replace(String name, byte[] bytes);

  /** Adds to a file's end, which may be cut short if the process ends meanwhile. */
  void append(String name, byte[] bytes);

  void remove(String name);

  /** How many calls have failed. */
  long failures();
}
