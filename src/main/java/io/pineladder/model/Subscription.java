package io.pineladder.model;

import java.util.List;
import java.util.Set;

/**
 * A webhook subscription to notifications of final job states.
 *
 * @param name the name chosen by the administrator
 * @param incarnation distinguishes this subscription from earlier ones of the same name, whose
 *     sequences also started at 1
 * @param url the URL to which notifications are posted
 * @param createdAfterNumber the number of the last notification stored before the creation
 * @param filters the past filters and the current one, in chronological order; at least one
 * @param secrets the encrypted signing secrets; two during a rotation
 * @param reason why the subscription is parked or ended; otherwise null
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

  /** The status of a subscription. The names are shown to operators. */
  public enum Status {
    /** Notifications are delivered. */
    ACTIVE,

    /** Paused by an operator; notifications are retained. */
    PAUSED,
    /** Suspended because the receiver rejects notifications; they are retained until a resume. */
    PARKED,
    /** Ended by the receiver; notifications are no longer retained. */
    ENDED
  }

  /**
   * Selects the jobs of which a subscription receives notifications.
   *
   * @param afterNumber the filter applies to notifications with higher numbers, up to the {@code
   *     afterNumber} of the next filter
   * @param teams the teams; empty for all
   * @param classes the job classes; empty for all
   */
  public record Filter(long afterNumber, Set<String> teams, Set<String> classes) {
    boolean matches(String team, String jobClass) {
      return (teams.isEmpty() || teams.contains(team))
          && (classes.isEmpty() || classes.contains(jobClass));
    }
  }

  /**
   * Whether the notification is newer than the subscription and matches the filter for its number.
   */
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

  /** Whether any filter, including past ones, matches such a job. */
  public boolean mayMatch(String team, String jobClass) {
    return status != Status.ENDED
        && filters.stream().anyMatch(filter -> filter.matches(team, jobClass));
  }

  /** Whether notifications are retained for this subscription. */
  public boolean retainsNotifications() {
    return status != Status.ENDED;
  }

  /** The current filter. */
  public Filter filter() {
    return filters.get(filters.size() - 1);
  }

  /** The source attribute of its events, unique among all subscriptions. */
  public String source() {
    return "urn:pineladder:subscription:" + name + ":" + incarnation;
  }

  /** A copy with another status and its reason, which may be null. */
  public Subscription withStatus(Status newStatus, String newReason) {
    return new Subscription(
        name, incarnation, url, createdAfterNumber, filters, secrets, newStatus, newReason);
  }
}
