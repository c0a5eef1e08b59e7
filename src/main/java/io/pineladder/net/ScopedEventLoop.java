package io.pineladder.net;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * The event loop of a component that ends before the process does. Closing it drops the actions
 * that are still scheduled, so that a timer with a long delay does not retain the component. Event
 * thread only.
 */
public final class ScopedEventLoop implements EventLoop {
  private final EventLoop delegate;
  private final Set<ScheduledAction> scheduled = new HashSet<>();
  private boolean closed;

  /** Creates a scope; its actions run on the thread of the delegate. */
  public ScopedEventLoop(EventLoop delegate) {
    this.delegate = delegate;
  }

  @Override
  public Instant now() {
    return delegate.now();
  }

  @Override
  public Instant wallClock() {
    return delegate.wallClock();
  }

  @Override
  public RandomGenerator random() {
    return delegate.random();
  }

  /** Schedules an action; it does not run if the scope is closed before. */
  @Override
  public void schedule(Duration delay, Runnable action) {
    if (closed) {
      return;
    }
    ScheduledAction entry = new ScheduledAction(scheduled, action);
    scheduled.add(entry);
    delegate.schedule(delay, entry);
  }

  /** Drops all scheduled actions; nothing is scheduled from here on. */
  public void close() {
    closed = true;
    scheduled.forEach(ScheduledAction::drop);
    scheduled.clear();
  }

  /** An action that the delegate retains until it is due, although it may have been dropped. */
  private static final class ScheduledAction implements Runnable {
    private Set<ScheduledAction> scheduled;
    private Runnable action;

    ScheduledAction(Set<ScheduledAction> scheduled, Runnable action) {
      this.scheduled = scheduled;
      this.action = action;
    }

    void drop() {
      scheduled = null;
      action = null;
    }

    @Override
    public void run() {
      if (action != null) {
        scheduled.remove(this);
        action.run();
      }
    }
  }
}
