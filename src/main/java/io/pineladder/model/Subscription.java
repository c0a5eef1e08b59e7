package io.pineladder.model;

import java.util.List;
import java.util.Set;

/**
 * Somebody who is to be told of jobs that are over.
 *
 * @param name chosen by the administrator
 * @param incarnation tells this one from an earlier one of the same name, which counted from 1 too
 * @param url where notices are posted
 * @param since the number of the last notice that was stored before it was created
 * @param filters which jobs are meant, the earliest first; there is at least one
 * @param secrets the signing secrets, encrypted; two while one replaces the other
 * @param reason why it is parked or has ended, or null
 */
public record Subscription(
    String name,
    String incarnation,
    String url,
    long createdAfterNumber,
    List<Filter> filters,
    List<String> secrets,
    Status status,
    String reason) {

  /** What is done for a subscription. */
  public enum Status {
    ACTIVE,
    /** An operator has stopped it; its notices are kept. */
    PAUSED,
    /** Its receiver refuses notices for good, until an operator resumes it; they are kept. */
    PARKED,
    /** Its receiver wants no more; nothing is kept for it. */
    ENDED
  }

  /**
   * Which jobs are meant.
   *
   * @param after it holds for notices with higher numbers, up to the next filter's
   * @param owners the teams; empty for all
   * @param classes the classes of jobs; empty for all
   */
  public record Filter(long afterNumber, Set<String> teams, Set<String> classes) {
    boolean matches(String team, String jobClass) {
      return (teams.isEmpty() || teams.contains(team))
          && (classes.isEmpty() || classes.contains(jobClass));
    }
  }

  /** Whether the notice is for it. */
  public boolean wants(Notification notification) {
    if (notification.number() <= createdAfterNumber) {
      return false;
    }
    for (int i = filters.size() - 1; i >= 0; i--) {
      if (filters.get(i).afterNumber < notification.number()) {
        return filters.get(i).matches(notification.team(), notification.jobClass());
      }
    }
    return false;
  }

  /** Whether any of its filters, past ones included, is for such a job. */
  public boolean mayWant(String team, String jobClass) {
    return status != Status.ENDED
        && filters.stream().anyMatch(filter -> filter.matches(team, jobClass));
  }

  /** Whether notices are kept for it. */
  public boolean retainsNotifications() {
    return status != Status.ENDED;
  }

  public Filter filter() {
    return filters.get(filters.size() - 1);
  }

  /** What tells its events from all others'. */
  public String source() {
    return "urn:pineladder:subscription:" + name + ":" + incarnation;
  }

  public Subscription with(Status next, String why) {
    return new Subscription(
        name, incarnation, url, createdAfterNumber, filters, secrets, next, why);
  }
}
