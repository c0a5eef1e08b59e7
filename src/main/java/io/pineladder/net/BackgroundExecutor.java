package io.pineladder.net;

import java.util.function.Consumer;
import java.util.function.Supplier;

/** Does what takes long, or blocks, beside the event thread. */
public interface BackgroundExecutor {
  /** Runs {@code work} elsewhere and hands its result to {@code then} on the event thread. */
  <T> void run(Supplier<T> work, Consumer<T> onResult);
}
