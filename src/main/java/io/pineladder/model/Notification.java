package io.pineladder.model;

import java.time.Instant;

/**
 * What subscribers are told of a job that is over.
 *
 * @param number its place among all notices, from 1 without a gap
 * @param at when it ended, by the time of day of the leader that stored it
 */
public record Notification(
    long number,
    String job,
    String team,
    String jobClass,
    Job.State finalState,
    int tasks,
    Instant endedAt) {}
