/**
 * What a new leader does before it may decide: it loads what earlier leaders stored, and each phase
 * of the failover is measured. Event thread only.
 */
package io.pineladder.failover;
