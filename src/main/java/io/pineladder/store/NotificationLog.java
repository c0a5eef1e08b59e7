package io.pineladder.store;

import io.pineladder.model.Job;
import io.pineladder.model.Notification;

/** Numbers the notifications of final states and keeps track of which are committed. */
public interface NotificationLog {
  /** The log used when there are no subscribers. */
  NotificationLog DISABLED =
      new NotificationLog() {
        @Override
        public boolean hasSubscribers() {
          return false;
        }

        @Override
        public void beginTransaction() {}

        @Override
        public Notification allocate(Job job) {
          return null;
        }

        @Override
        public void onStored(Notification notification, int storedBytes, Runnable removeFromPage) {}

        @Override
        public void onTransactionCommitted() {}
      };

  /** Whether any subscriber may want notifications. */
  boolean hasSubscribers();

  /** Begins the assembly of a transaction; numbers allocated since the last commit are reused. */
  void beginTransaction();

  /** Numbers the notification of a job's final state; null when no subscriber wants it. */
  Notification allocate(Job job);

  /**
   * Handles the commit of a notification.
   *
   * @param storedBytes the size of the notification in its page
   * @param removeFromPage omits the notification from subsequent writes of its page
   */
  void onStored(Notification notification, int storedBytes, Runnable removeFromPage);

  /** Called after {@link #onStored} for all notifications of a transaction, in any order. */
  void onTransactionCommitted();
}
