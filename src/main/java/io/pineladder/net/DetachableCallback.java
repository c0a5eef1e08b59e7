package io.pineladder.net;

import java.util.function.Consumer;

/**
 * The callback of a request that may take long. Once detached it does nothing, and the request no
 * longer retains what the callback refers to. Event thread only.
 */
public final class DetachableCallback<T> implements Consumer<T> {
  private Consumer<T> callback;

  /** Creates a callback that passes results on until it is detached. */
  public DetachableCallback(Consumer<T> callback) {
    this.callback = callback;
  }

  /** Ignores the result from here on. */
  public void detach() {
    callback = null;
  }

  @Override
  public void accept(T result) {
    if (callback != null) {
      callback.accept(result);
    }
  }
}
