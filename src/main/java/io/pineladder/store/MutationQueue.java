package io.pineladder.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;

/**
 * Mutations that are in no transaction yet: a first-in, first-out queue for each priority, and
 * beside them those that are deferred until a page of jobs has been divided.
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

  /** Puts mutations back before all others of their priority, in the given order. */
  void requeue(List<Mutation> mutations) {
    for (int i = mutations.size() - 1; i >= 0; i--) {
      Mutation mutation = mutations.get(i);
      queues.get(mutation.priority()).addFirst(mutation);
    }
  }

  /** Sets a mutation aside that changes a page which is being divided. */
  void defer(Mutation mutation) {
    mutation.pageEdits().forEach(JobPageEdit::defer);
    deferred.addLast(mutation);
  }

  /** Puts all deferred mutations back, in the order in which they were deferred. */
  void requeueDeferred() {
    List<Mutation> resumed = new ArrayList<>(deferred);
    deferred.clear();
    requeue(resumed);
  }

  /** The queues themselves, of the highest priority first. */
  Collection<Deque<Mutation>> byPriority() {
    return queues.values();
  }

  /** The mutation that is sent next, or null when none waits but deferred ones. */
  Mutation first() {
    for (Deque<Mutation> queue : queues.values()) {
      if (!queue.isEmpty()) {
        return queue.peekFirst();
      }
    }
    return null;
  }

  /** The number of mutations, deferred ones included. */
  int size() {
    int count = deferred.size();
    for (Deque<Mutation> queue : queues.values()) {
      count += queue.size();
    }
    return count;
  }
}
