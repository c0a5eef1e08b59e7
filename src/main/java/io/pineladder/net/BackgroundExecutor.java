package io.pineladder.net;

import java.util.function.Consumer;
import java.util.function.Supplier;

/** Runs work that takes long or blocks outside the event thread. */
public interface BackgroundExecutor {
  /** Runs {@code work} in the background and passes its result on the event thread. */
  <T> void run(Supplier<T> work, Consumer<T> onResult);
}
