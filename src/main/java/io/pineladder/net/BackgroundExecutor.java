package io.pineladder.net;

import java.util.function.Consumer;
import java.util.function.Supplier;

/** Runs long or blocking work outside the event thread. */
public interface BackgroundExecutor {
  /** Runs {@code work} in the background, then calls {@code onResult} on the event thread. */
  <T> void run(Supplier<T> work, Consumer<T> onResult);
}
