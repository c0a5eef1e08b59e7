package io.pineladder.store;

import io.pineladder.model.Job;
import io.pineladder.model.Notification;

/** Numbers the notices of final states, and is told which are stored. */
public interface NotificationLog {
  /** Nobody is to be told anything. */
  NotificationLog NONE =
      new NotificationLog() {
        @Override
        public boolean isWanted() {
          return false;
        }

        @Override
        public void begin() {}

        @Override
        public Notification next(Job job) {
          return null;
        }

        @Override
        public void stored(Notification notification, int bytes, Runnable drop) {}

        @Override
        public void committed() {}
      };

  /** Whether anybody may want to be told of any job. */
  boolean isWanted();

  /** A transaction is put together: numbers given since the last commit are free again. */
  void begin();

  /** The next notice, for a job whose end goes into the transaction; null when nobody wants it. */
  Notification next(Job job);

  /**
   * The transaction with the notice has committed.
   *
   * @param bytes what it takes in its page
   * @param drop takes the notice out of its page, with the page's next write
   */
  void stored(Notification notification, int bytes, Runnable drop);

  /** All notices of the transaction have been told; they may have come in any order. */
  void committed();
}
