package io.pineladder.model;

import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The attempts that were recently started on a machine by a request. The network may deliver a copy
 * of such a request after the first was executed. As long as the worker lists the attempt, the copy
 * has no effect; once it was told to forget the attempt, the copy would start the task again.
 */
public final class DirectStarts {
  /** How late a copy may arrive. The worker lists an ended attempt for as long. */
  public static final Duration MAX_COPY_DELAY = Duration.ofSeconds(20);

  /** Attempts on one machine, the latest ones, since a heartbeat has at most 64 KiB. */
  static final int MAX_ATTEMPTS = 32;

  /** When the start of each attempt was last sent, by attempt key, the earliest first. */
  private final Map<String, Instant> sentAt = new LinkedHashMap<>();

  /** Records that the start of an attempt is being sent in a request. */
  public void record(String attemptKey, Instant now) {
    sentAt.remove(attemptKey);
    sentAt.put(attemptKey, now);
    if (sentAt.size() > MAX_ATTEMPTS) {
      sentAt.remove(sentAt.keySet().iterator().next());
    }
  }

  /** Whether no copy of a start of the attempt may arrive any more. */
  public boolean mayForget(String attemptKey, Instant now) {
    removeExpired(now);
    return !sentAt.containsKey(attemptKey);
  }

  private void removeExpired(Instant now) {
    Iterator<Instant> earliest = sentAt.values().iterator();
    while (earliest.hasNext() && earliest.next().plus(MAX_COPY_DELAY).isBefore(now)) {
      earliest.remove();
    }
  }
}
