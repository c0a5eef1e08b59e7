package io.pineladder.sim;

import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.HttpResponse;
import java.time.Instant;

/**
 * Is told of each request that a host of the simulated network sends and of each answer that a
 * handler gives, in order. It must neither change what it is given nor draw random numbers.
 */
interface TrafficObserver {
  /** Does nothing. */
  TrafficObserver NONE =
      new TrafficObserver() {
        @Override
        public void onRequest(Instant time, String from, AsyncHttpClient.Request request) {}

        @Override
        public void onAnswer(Instant time, AsyncHttpClient.Request request, HttpResponse answer) {}
      };

  /** A host sends a request, whether it arrives or not. */
  void onRequest(Instant time, String from, AsyncHttpClient.Request request);

  /** The handler at the request's address answers it, whether the answer arrives or not. */
  void onAnswer(Instant time, AsyncHttpClient.Request request, HttpResponse answer);
}
