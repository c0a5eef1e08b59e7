/**
 * The interface for users, workers and the load balancer, and for requests that controllers forward
 * to one another. Event thread only.
 */
package io.pineladder.api;
