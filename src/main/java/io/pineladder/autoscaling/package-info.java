/**
 * The machines that a leader rents from the cloud: failure detection, scale out for pending and
 * forecast work, scale in of what is not needed, and the cloud's list of them. Event thread only.
 */
package io.pineladder.autoscaling;
