package io.pineladder.store;

import io.pineladder.model.Settings;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.AsyncHttpClient.Outcome;
import io.pineladder.net.AsyncHttpClient.Reply;
import io.pineladder.net.AsyncHttpClient.Request;
import io.pineladder.net.EventLoop;
import io.pineladder.retry.Backoff;
import io.pineladder.retry.RetryBudget;
import io.pineladder.retry.TokenBucket;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Sends requests to the store within this controller's share of the rate limits, and derives the
 * store's health and the retry budget from the responses.
 */
final class StoreRequestSender {
  private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(250);
  private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(500);

  /** Retries beyond this share of the successful requests are limited in rate and burst. */
  private static final double RETRY_TO_SUCCESS_RATIO = 0.05;

  private static final double RETRIES_PER_SECOND = 10;
  private static final double MAX_RETRY_BURST = 20;

  /**
   * Share of the cluster-wide limits for the requests that all controllers together send on behalf
   * of users while no leader answers. The rest is reserved for the leader's commits, lease renewals
   * and the reads of a new leader.
   */
  private static final double USER_TRAFFIC_SHARE = 0.3;

  /** Share of reads in the user requests; the rest is for submissions. */
  private static final double USER_READ_SHARE = 0.7;

  /** Requests of the budget of user reads that are left for shared reads. */
  private static final int RESERVED_SHARED_READS = 1;

  /** User reads that wait for the leader's other requests; about two seconds' worth. */
  private static final int MAX_WAITING_USER_READS = 200;

  private record QueuedRequest(Request request, Consumer<Reply> onReply) {}

  private record SharedRead(Request request, List<Consumer<Reply>> callbacks) {}

  private final AsyncHttpClient httpClient;
  private final EventLoop eventLoop;
  private final TokenBucket requestBudget;
  private final TokenBucket writeBudget;
  private final TokenBucket userReadBudget;
  private final TokenBucket userWriteBudget;
  private final RetryBudget retryBudget;
  private final Deque<QueuedRequest> queue = new ArrayDeque<>();

  /** The callbacks of reads by path that are sent once the queue is empty, the oldest first. */
  private final Map<String, SharedRead> waitingUserReads = new LinkedHashMap<>();

  private boolean drainScheduled;
  private long requestCount;
  private long rateLimitedCount;
  private Instant lastResponseAt;
  private boolean healthy;

  StoreRequestSender(
      AsyncHttpClient httpClient,
      EventLoop eventLoop,
      Settings.StoreLimits limits,
      int controllers) {
    this.httpClient = httpClient;
    this.eventLoop = eventLoop;
    Instant now = eventLoop.now();
    double requestsPerSecond = limits.requestsPerSecond() * (1 - USER_TRAFFIC_SHARE);
    double writesPerSecond = limits.writesPerSecond() * (1 - USER_TRAFFIC_SHARE);
    requestBudget = new TokenBucket(requestsPerSecond, Math.max(1, requestsPerSecond), now);
    // The burst must admit a transaction of maximum size, or it would never be sent.
    writeBudget =
        new TokenBucket(writesPerSecond, Math.max(limits.transactionOps(), writesPerSecond), now);
    retryBudget =
        new RetryBudget(eventLoop, RETRY_TO_SUCCESS_RATIO, RETRIES_PER_SECOND, MAX_RETRY_BURST);
    double controllerShare = USER_TRAFFIC_SHARE / controllers;
    userReadBudget =
        userBudget(limits.requestsPerSecond() * controllerShare * USER_READ_SHARE, now);
    userWriteBudget = userBudget(limits.writesPerSecond() * controllerShare, now);
  }

  private static TokenBucket userBudget(double perSecond, Instant now) {
    return new TokenBucket(perSecond, Math.max(2, 2 * perSecond), now);
  }

  TokenBucket writeBudget() {
    return writeBudget;
  }

  boolean isHealthy() {
    return healthy;
  }

  Instant lastResponseAt() {
    return lastResponseAt;
  }

  long requestCount() {
    return requestCount;
  }

  long rateLimitedCount() {
    return rateLimitedCount;
  }

  /** Sends when the request budget allows, in the order of the calls. */
  void send(Request request, Consumer<Reply> onReply) {
    queue.addLast(new QueuedRequest(request, onReply));
    drainQueue();
  }

  /**
   * Sends a read of a leader's user after all other requests. Users who ask for the same share a
   * read that has not been sent, so that no answer is older than its question. Passes {@link
   * Reply#NOT_SENT} if too many wait.
   */
  void readAfterOthers(Request request, Consumer<Reply> onReply) {
    SharedRead waiting = waitingUserReads.get(request.path());
    if (waiting != null) {
      waiting.callbacks.add(onReply);
      return;
    }
    if (waitingUserReads.size() >= MAX_WAITING_USER_READS) {
      onReply.accept(Reply.NOT_SENT);
      return;
    }
    waitingUserReads.put(
        request.path(), new SharedRead(request, new ArrayList<>(List.of(onReply))));
    drainQueue();
  }

  private QueuedRequest pollNext() {
    if (!queue.isEmpty()) {
      return queue.pollFirst();
    }
    Iterator<SharedRead> oldest = waitingUserReads.values().iterator();
    SharedRead next = oldest.next();
    oldest.remove();
    return new QueuedRequest(
        next.request, reply -> next.callbacks.forEach(callback -> callback.accept(reply)));
  }

  private boolean isAnyWaiting() {
    return !queue.isEmpty() || !waitingUserReads.isEmpty();
  }

  private void drainQueue() {
    Instant now = eventLoop.now();
    while (isAnyWaiting() && requestBudget.available(now) >= 1) {
      QueuedRequest next = pollNext();
      requestBudget.consume(1, now);
      httpClient.call(next.request, observing(next.onReply));
    }
    if (isAnyWaiting() && !drainScheduled) {
      drainScheduled = true;
      eventLoop.schedule(
          requestBudget.delayUntilAvailable(1, now).plusMillis(1),
          () -> {
            drainScheduled = false;
            drainQueue();
          });
    }
  }

  /** Sends immediately and charges the budget, even if that overdraws it. */
  void sendImmediately(Request request, Consumer<Reply> onReply) {
    requestBudget.consume(1, eventLoop.now());
    httpClient.call(request, observing(onReply));
  }

  /**
   * Sends a request that the store answers when something has changed. The budget is charged as by
   * {@link #sendImmediately}, but the reply does not affect the health status.
   */
  void sendLongPoll(Request request, Consumer<Reply> onReply) {
    requestBudget.consume(1, eventLoop.now());
    httpClient.call(request, onReply);
  }

  /**
   * Sends the read of one user, or passes {@link Reply#NOT_SENT} if the budget is exhausted. One
   * request of the budget is left for reads that many users share.
   */
  void readForUser(Request request, Consumer<Reply> onReply) {
    if (userReadBudget.available(eventLoop.now()) <= RESERVED_SHARED_READS) {
      onReply.accept(Reply.NOT_SENT);
      return;
    }
    sendForUser(userReadBudget, 1, request, onReply);
  }

  /** Sends a read that many users share, as soon as the budget of user reads allows. */
  void readForUsers(Request request, Consumer<Reply> onReply) {
    runWhenUserReadAllowed(() -> sendForUser(userReadBudget, 1, request, onReply));
  }

  /** Runs the action as soon as the budget of user reads allows a shared read; perhaps at once. */
  void runWhenUserReadAllowed(Runnable action) {
    Duration delay = userReadBudget.delayUntilAvailable(1, eventLoop.now());
    if (delay.isZero()) {
      action.run();
    } else {
      eventLoop.schedule(delay.plusMillis(1), () -> runWhenUserReadAllowed(action));
    }
  }

  /** Sends a user's write, or passes {@link Reply#NOT_SENT} if the budget is exhausted. */
  void writeForUser(Request request, int changes, Consumer<Reply> onReply) {
    sendForUser(userWriteBudget, changes, request, onReply);
  }

  private void sendForUser(TokenBucket budget, int cost, Request request, Consumer<Reply> onReply) {
    Instant now = eventLoop.now();
    if (budget.available(now) < cost) {
      onReply.accept(Reply.NOT_SENT);
      return;
    }
    budget.consume(cost, now);
    httpClient.call(request, observing(onReply));
  }

  private Consumer<Reply> observing(Consumer<Reply> onReply) {
    requestCount++;
    return reply -> {
      rateLimitedCount += reply.hasStatus(429) ? 1 : 0;
      boolean executed =
          reply.outcome() == Outcome.TOO_LARGE || (reply.isAnswered() && reply.status() < 429);
      if (executed) {
        lastResponseAt = eventLoop.now();
        healthy = true;
        retryBudget.onSuccess();
      } else if (!reply.hasStatus(429)) {
        healthy = false;
      }
      onReply.accept(reply);
    };
  }

  Backoff newBackoff() {
    return new Backoff(eventLoop, INITIAL_RETRY_DELAY, MAX_RETRY_DELAY);
  }

  /** Schedules a retry after the backoff delay, or later if the retry budget is exhausted. */
  void scheduleRetry(Backoff backoff, Runnable action) {
    Duration backoffDelay = backoff.nextDelay();
    Duration budgetDelay = retryBudget.acquireDelay();
    eventLoop.schedule(
        budgetDelay.compareTo(backoffDelay) > 0 ? budgetDelay : backoffDelay, action);
  }
}
