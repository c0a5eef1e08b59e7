package io.pineladder.model;

import java.time.Duration;
import java.util.List;

/**
 * The platform's settings file, validated.
 *
 * @param controllerName this controller's name
 * @param apiAddress where users and workers connect
 * @param clusterAddress where other controllers connect
 * @param storeLimits the limits that every request to the key-value store respects: those in force
 *     and, where a change of them is announced, those to come as well
 * @param currentStoreLimits the limits of the store that are in force until the announced change
 * @param maxSockets how many sockets this process may have open
 * @param coreShare the processor time that this process may use, in cores
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
   * A service-level objective of a job class.
   *
   * @param kind which time is meant: the wait for the start, or the end
   * @param jobClass the class; may be null
   * @param latestAfter the bound; null when it is the job's own deadline times {@code
   *     deadlineFactor}
   * @param share the part of the jobs that must meet it
   */
  public record Objective(
      String kind, String jobClass, Duration latestAfter, double share, double deadlineFactor) {}

  /** The times of the worker protocol. */
  public record WorkerTimes(
      Duration heartbeatInterval,
      Duration leaseDuration,
      Duration gangStartTimeout,
      Duration gangPeerTimeout,
      Duration cancellationBound) {}

  /** The rate and size limits of the key-value store. */
  public record StoreLimits(
      double requestsPerSecond, double writesPerSecond, int valueBytes, int transactionOps) {
    /** The stricter of each limit. */
    public StoreLimits strictest(StoreLimits others) {
      return new StoreLimits(
          Math.min(requestsPerSecond, others.requestsPerSecond),
          Math.min(writesPerSecond, others.writesPerSecond),
          Math.min(valueBytes, others.valueBytes),
          Math.min(transactionOps, others.transactionOps));
    }
  }

  /** The rate limit of the cloud's API, and how late its machine list is. */
  public record CloudLimits(double requestsPerSecond, Duration listLag) {}
}
