package io.pineladder.model;

import java.util.List;
import java.util.Set;

/**
 * A webhook subscription to notifications of jobs that are over.
 *
 * @param name chosen by the administrator
 * @param incarnation distinguishes it from an earlier one of the same name, whose sequence began
 *     with 1 too
 * @param url where notifications are posted
 * @param createdAfterNumber the number of the last notification stored before it was created
 * @param filters which jobs it is for, the earliest first; there is at least one
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

  /** The status of a subscription. Shown to operators by these names. */
  public enum Status {
    /** Notifications are delivered. */
    ACTIVE,

    /** An operator has paused it; its notifications are retained. */
    PAUSED,
    /** Its receiver refuses notifications until an operator resumes it; they are retained. */
    PARKED,
    /** Its receiver wants no more; nothing is retained for it. */
    ENDED
  }

  /**
   * Which jobs a subscription is for.
   *
   * @param afterNumber it applies to notifications with higher numbers, up to the next filter's
   * @param teams the teams; empty for all
   * @param classes the job classes; empty for all
   */
  public record Filter(long afterNumber, Set<String> teams, Set<String> classes) {
    boolean matches(String team, String jobClass) {
      return (teams.isEmpty() || teams.contains(team))
          && (classes.isEmpty() || classes.contains(jobClass));
    }
  }

  /** Whether the notification is for it. */
  public boolean matches(Notification notification) {
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
  public boolean mayMatch(String team, String jobClass) {
    return status != Status.ENDED
        && filters.stream().anyMatch(filter -> filter.matches(team, jobClass));
  }

  /** Whether notifications are retained for it. */
  public boolean retainsNotifications() {
    return status != Status.ENDED;
  }

  /** The filter in force. */
  public Filter filter() {
    return filters.get(filters.size() - 1);
  }

  /** The source of its events, unique among all subscriptions. */
  public String source() {
    return "urn:pineladder:subscription:" + name + ":" + incarnation;
  }

  /** The subscription with another status, and the reason for it or null. */
  public Subscription withStatus(Status next, String why) {
    return new Subscription(
        name, incarnation, url, createdAfterNumber, filters, secrets, next, why);
  }
}
