package io.pineladder.autoscaling;

/** The unit in which the cloud grants or refuses capacity: a type, a zone, and a market. */
record CapacityPool(String type, String zone, boolean spot) {}
