/**
 * Manages the machines that a leader rents from the cloud: scale out for pending and forecast work,
 * scale in of idle machines, failure detection and the machine inventory. All code runs on the
 * event loop.
 */
package io.pineladder.autoscaling;
