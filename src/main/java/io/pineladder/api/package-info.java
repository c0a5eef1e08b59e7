/**
 * The HTTP API for users, workers and the load balancer, and the handling of requests that
 * controllers forward to each other. Event thread only.
 */
package io.pineladder.api;
