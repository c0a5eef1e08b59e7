package io.pineladder.model;

import java.time.Duration;
import java.util.List;

/** A kind of machine that the cloud rents. */
public record MachineType(
    String name,
    Resources size,
    double cacheGb,
    double fetchGbPerSecond,
    double price,
    double spotPrice,
    Duration boot,
    List<String> zones) {}
