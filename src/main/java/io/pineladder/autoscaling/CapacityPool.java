package io.pineladder.autoscaling;

/** Machines that the cloud may refuse on their own: of one type, in one zone, spot or on-demand. */
record CapacityPool(String type, String zone, boolean spot) {}
