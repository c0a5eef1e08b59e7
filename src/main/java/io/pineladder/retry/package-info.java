/** Backoff, circuit breakers, retry budgets and rate limits. Event thread only. */
package io.pineladder.retry;
