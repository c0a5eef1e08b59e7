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
 * Snapshots in a directory, written in the background, one operation after the other. A disk that
 * is full or gone costs a log line and a count, and never what the controller serves.
 */
public final class SnapshotDirectory implements SnapshotStore {
  private static final Logger log = LoggerFactory.getLogger(SnapshotDirectory.class);

  /** Operations that wait; beyond, a disk that hangs would use up the memory. */
  private static final int MAX_QUEUED_OPERATIONS = 256;

  /** A change of files; runs in the background. */
  private interface FileOperation {
    void run() throws IOException;
  }

  private final Path directory;
  private final BackgroundExecutor backgroundExecutor;
  private final Deque<FileOperation> queue = new ArrayDeque<>();
  private boolean operationRunning;

  /** The last operation failed; the next failure is not logged. */
  private boolean failing;

  private long failures;

  /** Snapshots in that directory, which is created when they are loaded. */
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
            try (Stream<Path> all = Files.list(directory)) {
              files = all.filter(Files::isRegularFile).toList();
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
          Path part = directory.resolve(name + ".part");
          try (FileChannel out =
              FileChannel.open(
                  part,
                  StandardOpenOption.CREATE,
                  StandardOpenOption.WRITE,
                  StandardOpenOption.TRUNCATE_EXISTING)) {
            write(out, bytes);
            out.force(true);
          }
          Files.move(part, directory.resolve(name), StandardCopyOption.ATOMIC_MOVE);
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

  private void submit(FileOperation work) {
    if (queue.size() >= MAX_QUEUED_OPERATIONS) {
      recordFailure("the disk does not keep up");
      return;
    }
    queue.addLast(work);
    runNext();
  }

  private void runNext() {
    FileOperation work = operationRunning ? null : queue.pollFirst();
    if (work == null) {
      return;
    }
    operationRunning = true;
    backgroundExecutor.run(
        () -> {
          try {
            work.run();
            return "";
          } catch (IOException | RuntimeException e) {
            return e.toString();
          }
        },
        failure -> {
          operationRunning = false;
          if (failure.isEmpty()) {
            failing = false;
          } else {
            recordFailure(failure);
          }
          runNext();
        });
  }

  private void recordFailure(String error) {
    failures++;
    if (!failing) {
      failing = true;
      log.warn("Snapshots cannot be written: directory={} error={}", directory, error);
    }
  }
}
