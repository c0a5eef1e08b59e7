package io.pineladder.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;

/**
 * Mutations that are not part of a transaction: a FIFO queue for each priority, and the mutations
 * that are deferred until a job page is divided.
 */
final class MutationQueue {
  private final EnumMap<Mutation.Priority, Deque<Mutation>> queues =
      new EnumMap<>(Mutation.Priority.class);

  private final Deque<Mutation> deferred = new ArrayDeque<>();

  MutationQueue() {
    for (Mutation.Priority priority : Mutation.Priority.values()) {
      queues.put(priority, new ArrayDeque<>());
    }
  }

  void add(Mutation mutation) {
    queues.get(mutation.priority()).addLast(mutation);
  }

  /** Puts mutations back at the head of their priority's queue, in the given order. */
  void requeue(List<Mutation> mutations) {
    for (int i = mutations.size() - 1; i >= 0; i--) {
      Mutation mutation = mutations.get(i);
      queues.get(mutation.priority()).addFirst(mutation);
    }
  }

  /** Defers a mutation until the page that it changes is divided. */
  void defer(Mutation mutation) {
    mutation.pageEdits().forEach(JobPageEdit::defer);
    deferred.addLast(mutation);
  }

  /** Puts all deferred mutations back at the head of their queues, in their order. */
  void requeueDeferred() {
    List<Mutation> resumed = new ArrayList<>(deferred);
    deferred.clear();
    requeue(resumed);
  }

  /** The modifiable queues, highest priority first. */
  Collection<Deque<Mutation>> byPriority() {
    return queues.values();
  }

  /** The next mutation to send, or null; deferred mutations are not considered. */
  Mutation first() {
    for (Deque<Mutation> queue : queues.values()) {
      if (!queue.isEmpty()) {
        return queue.peekFirst();
      }
    }
    return null;
  }

  /** The number of mutations, including deferred ones. */
  int size() {
    int count = deferred.size();
    for (Deque<Mutation> queue : queues.values()) {
      count += queue.size();
    }
    return count;
  }
}
