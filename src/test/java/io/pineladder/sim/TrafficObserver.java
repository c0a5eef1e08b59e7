package io.pineladder.sim;

import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.HttpResponse;
import java.time.Instant;

/**
 * Observes each request that a host of the simulated network sends and each answer that a handler
 * gives, in order. Implementations must not change their arguments or draw random numbers.
 */
interface TrafficObserver {
  TrafficObserver NONE =
      new TrafficObserver() {
        @Override
        public void onRequest(Instant time, String from, AsyncHttpClient.Request request) {}

        @Override
        public void onAnswer(Instant time, AsyncHttpClient.Request request, HttpResponse answer) {}
      };

  /** A host sends a request, which may get lost. */
  void onRequest(Instant time, String from, AsyncHttpClient.Request request);

  /** The handler at the request's address gives an answer, which may get lost. */
  void onAnswer(Instant time, AsyncHttpClient.Request request, HttpResponse answer);
}
