/**
 * The leader's side of the worker protocol: applies heartbeats to the machines, reconciles the
 * attempts with them, and sends commands in heartbeat responses or in requests. All code runs on
 * the event loop.
 */
package io.pineladder.workers;
