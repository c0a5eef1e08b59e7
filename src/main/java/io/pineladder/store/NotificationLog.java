package io.pineladder.store;

import io.pineladder.model.Job;
import io.pineladder.model.Notification;

/** Numbers the notifications of final states and receives which of them are stored. */
public interface NotificationLog {
  /** There is no subscriber. */
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

  /** Whether there is a subscriber that may want a notification of any job. */
  boolean hasSubscribers();

  /** A transaction is assembled: numbers allocated since the last commit are free again. */
  void beginTransaction();

  /** Numbers the notification of a job whose final state is stored; null when none is wanted. */
  Notification allocate(Job job);

  /**
   * The transaction with the notification has committed.
   *
   * @param storedBytes what it takes in its page
   * @param removeFromPage leaves the notification out of its page from the next write on
   */
  void onStored(Notification notification, int storedBytes, Runnable removeFromPage);

  /** All notifications of the transaction were passed on; they may have come in any order. */
  void onTransactionCommitted();
}
