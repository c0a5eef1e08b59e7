package io.pineladder.snapshot;

import io.pineladder.net.BackgroundExecutor;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores snapshot files in a directory, by sequential operations in the background. A failure, such
 * as a full disk, is logged and counted and does not affect the service of the controller.
 */
public final class SnapshotDirectory implements SnapshotStore {
  private static final Logger log = LoggerFactory.getLogger(SnapshotDirectory.class);

  /** Bounds the memory of queued operations while the disk does not respond. */
  private static final int MAX_QUEUED_OPERATIONS = 256;

  /** A file operation; runs in the background. */
  private interface FileOperation {
    void run() throws IOException;
  }

  private final Path directory;
  private final BackgroundExecutor backgroundExecutor;
  private final Deque<FileOperation> queue = new ArrayDeque<>();
  private boolean operationRunning;

  /** Whether the last operation failed; only the first of consecutive failures is logged. */
  private boolean lastOperationFailed;

  private long failures;

  /** Creates a store for this directory, which is created when snapshots are loaded. */
  public SnapshotDirectory(Path directory, BackgroundExecutor backgroundExecutor) {
    this.directory = directory;
    this.backgroundExecutor = backgroundExecutor;
  }

  @Override
  public long failures() {
    return failures;
  }

  @Override
  public void loadAll(Consumer<Map<String, byte[]>> onLoaded) {
    backgroundExecutor.run(
        () -> {
          Map<String, byte[]> found = new HashMap<>();
          try {
            Files.createDirectories(directory);
            List<Path> files;
            try (Stream<Path> paths = Files.list(directory)) {
              files = paths.filter(Files::isRegularFile).toList();
            }
            for (Path file : files) {
              found.put(file.getFileName().toString(), Files.readAllBytes(file));
            }
          } catch (IOException e) {
            log.warn("Snapshots cannot be read: directory={} error={}", directory, e.toString());
          }
          return found;
        },
        onLoaded);
  }

  @Override
  public void replace(String name, byte[] bytes) {
    submit(
        () -> {
          Path temporaryFile = directory.resolve(name + ".part");
          try (FileChannel out =
              FileChannel.open(
                  temporaryFile,
                  StandardOpenOption.CREATE,
                  StandardOpenOption.WRITE,
                  StandardOpenOption.TRUNCATE_EXISTING)) {
            write(out, bytes);
            out.force(true);
          }
          Files.move(temporaryFile, directory.resolve(name), StandardCopyOption.ATOMIC_MOVE);
        });
  }

  @Override
  public void append(String name, byte[] bytes) {
    submit(
        () -> {
          try (FileChannel out =
              FileChannel.open(
                  directory.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
            write(out, bytes);
          }
        });
  }

  private static void write(FileChannel out, byte[] bytes) throws IOException {
    ByteBuffer remaining = ByteBuffer.wrap(bytes);
    while (remaining.hasRemaining()) {
      out.write(remaining);
    }
  }

  @Override
  public void remove(String name) {
    submit(() -> Files.deleteIfExists(directory.resolve(name)));
  }

  private void submit(FileOperation operation) {
    if (queue.size() >= MAX_QUEUED_OPERATIONS) {
      recordFailure("operation dropped: " + queue.size() + " operations are queued");
      return;
    }
    queue.addLast(operation);
    runNext();
  }

  private void runNext() {
    FileOperation operation = operationRunning ? null : queue.pollFirst();
    if (operation == null) {
      return;
    }
    operationRunning = true;
    backgroundExecutor.run(
        () -> {
          try {
            operation.run();
            return "";
          } catch (IOException | RuntimeException e) {
            return e.toString();
          }
        },
        failure -> {
          operationRunning = false;
          if (failure.isEmpty()) {
            lastOperationFailed = false;
          } else {
            recordFailure(failure);
          }
          runNext();
        });
  }

  private void recordFailure(String error) {
    failures++;
    if (!lastOperationFailed) {
      lastOperationFailed = true;
      log.warn("Snapshots cannot be written: directory={} error={}", directory, error);
    }
  }
}
