package io.pineladder.model;

import java.time.Instant;

/**
 * A notification to subscribers that a job is over.
 *
 * @param number its number among all notifications, from 1 without a gap
 * @param endedAt when the job ended, by the time of day of the leader that stored it
 */
public record Notification(
    long number,
    String job,
    String team,
    String jobClass,
    Job.State finalState,
    int tasks,
    Instant endedAt) {}
