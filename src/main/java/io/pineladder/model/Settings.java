package io.pineladder.model;

import java.time.Duration;
import java.util.List;

/**
 * The platform's settings file, checked.
 *
 * @param store the limits that every request to the state service keeps to: those in force and,
 *     where a change of them is announced, those to come as well
 * @param storeInForce the limits of the state service that are in force until the announced change
 */
public record Settings(
    String controllerName,
    String zone,
    String apiAddress,
    String clusterAddress,
    List<Peer> peers,
    String cloudAddress,
    String storeAddress,
    List<String> zones,
    List<Team> teams,
    List<Objective> objectives,
    WorkerTimes workerTimes,
    StoreLimits storeLimits,
    StoreLimits currentStoreLimits,
    CloudLimits cloudLimits,
    int maxSockets,
    double coreShare) {

  /** Another controller. */
  public record Peer(String controllerName, String zone, String address) {}

  /**
   * What is expected of a class of jobs; {@code within} and {@code jobClass} may be null. Without
   * {@code within} it is about {@code times} the job's own deadline.
   */
  public record Objective(
      String kind, String jobClass, Duration latestAfter, double share, double deadlineFactor) {}

  /** The times that workers keep to. */
  public record WorkerTimes(
      Duration heartbeatInterval,
      Duration leaseDuration,
      Duration gangStartTimeout,
      Duration gangPeerTimeout,
      Duration cancellationBound) {}

  /** What the state service lets through. */
  public record StoreLimits(
      double requestsPerSecond, double writesPerSecond, int valueBytes, int transactionOps) {
    /** The limits that keep to both these and the others. */
    public StoreLimits strictest(StoreLimits others) {
      return new StoreLimits(
          Math.min(requestsPerSecond, others.requestsPerSecond),
          Math.min(writesPerSecond, others.writesPerSecond),
          Math.min(valueBytes, others.valueBytes),
          Math.min(transactionOps, others.transactionOps));
    }
  }

  /** What the cloud lets through, and how late its list is. */
  public record CloudLimits(double requestsPerSecond, Duration listLag) {}
}
