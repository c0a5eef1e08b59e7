package io.pineladder.model;

import java.time.Instant;

/**
 * A notification to subscribers that a job has reached its final state.
 *
 * @param number the number among all notifications, starting at 1 without gaps
 * @param endedAt when the job ended, by the wall clock of the leader that stored the final state
 */
public record Notification(
    long number,
    String job,
    String team,
    String jobClass,
    Job.State finalState,
    int tasks,
    Instant endedAt) {}
