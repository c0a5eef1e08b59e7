/** Delays, circuit breakers and budgets for retries and request rates. Event thread only. */
package io.pineladder.retry;
