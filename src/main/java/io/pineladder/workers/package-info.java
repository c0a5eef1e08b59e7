/**
 * A leader's dealings with the workers: heartbeats are applied to the machines and reconciled with
 * the attempts, and commands are sent with their responses or by requests. Event thread only.
 */
package io.pineladder.workers;
