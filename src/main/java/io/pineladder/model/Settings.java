package io.pineladder.model;

import java.time.Duration;
import java.util.List;

/**
 * The validated contents of the settings file.
 *
 * @param controllerName the name of this controller
 * @param apiAddress the address to which users and workers connect
 * @param clusterAddress the address to which other controllers connect
 * @param storeLimits the limits that every request to the key-value store respects: the current
 *     ones and, if a change is announced, also the future ones
 * @param currentStoreLimits the limits of the store until the announced change takes effect
 * @param maxSockets the maximum number of open sockets of this process
 * @param coreShare the CPU time that this process may use, in cores
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
   * @param kind what is bounded: the wait for the start, or the time until the end
   * @param jobClass the job class; null if the settings name none, and then no job is affected
   * @param latestAfter the bound; null if it is the job's own deadline times {@code deadlineFactor}
   * @param share the fraction of jobs that must meet the objective
   */
  public record Objective(
      String kind, String jobClass, Duration latestAfter, double share, double deadlineFactor) {}

  /** The intervals and timeouts of the worker protocol. */
  public record WorkerTimes(
      Duration heartbeatInterval,
      Duration leaseDuration,
      Duration gangStartTimeout,
      Duration gangPeerTimeout,
      Duration cancellationBound) {}

  /** The rate and size limits of the key-value store. */
  public record StoreLimits(
      double requestsPerSecond, double writesPerSecond, int valueBytes, int transactionOps) {
    /** The store allows this many conditions per key that a transaction may change. */
    public static final int CONDITIONS_PER_OPERATION = 4;

    /** The lower value of each limit. */
    public StoreLimits strictest(StoreLimits other) {
      return new StoreLimits(
          Math.min(requestsPerSecond, other.requestsPerSecond),
          Math.min(writesPerSecond, other.writesPerSecond),
          Math.min(valueBytes, other.valueBytes),
          Math.min(transactionOps, other.transactionOps));
    }
  }

  /** The rate limit of the cloud API, and the lag of its machine list. */
  public record CloudLimits(double requestsPerSecond, Duration listLag) {}
}
