package io.pineladder.store;

import io.pineladder.model.Job;
import io.pineladder.model.Notification;

/** Numbers the notices of final states, and is told which are stored. */
public interface NotificationLog {
  /** Nobody is to be told anything. */
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

  /** Whether anybody may want to be told of any job. */
  boolean hasSubscribers();

  /** A transaction is put together: numbers given since the last commit are free again. */
  void beginTransaction();

  /** The next notice, for a job whose end goes into the transaction; null when nobody wants it. */
  Notification allocate(Job job);

  /**
   * The transaction with the notice has committed.
   *
   * @param bytes what it takes in its page
   * @param drop takes the notice out of its page, with the page's next write
   */
  void onStored(Notification notification, int storedBytes, Runnable removeFromPage);

  /** All notices of the transaction have been told; they may have come in any order. */
  void onTransactionCommitted();
}
