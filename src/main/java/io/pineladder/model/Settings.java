package io.pineladder.model;

import java.time.Duration;
import java.util.List;

/** The platform's settings file, checked. */
public record Settings(
    String member,
    String zone,
    String frontAddress,
    String clusterAddress,
    List<Peer> peers,
    String cloudAddress,
    String storeAddress,
    List<String> zones,
    List<Team> teams,
    List<Objective> objectives,
    WorkerTimes workers,
    StoreLimits store,
    CloudLimits cloud,
    int maxSockets,
    double coreShare) {

  /** Another controller. */
  public record Peer(String member, String zone, String address) {}

  /**
   * What is expected of a class of jobs; {@code within} and {@code jobClass} may be null. Without
   * {@code within} it is about {@code times} the job's own deadline.
   */
  public record Objective(
      String kind, String jobClass, Duration within, double share, double times) {}

  /** The times that workers keep to. */
  public record WorkerTimes(
      Duration report, Duration lease, Duration gangWait, Duration gangPeer, Duration cancel) {}

  /** What the state service lets through. */
  public record StoreLimits(
      double requestsPerSecond, double writesPerSecond, int valueBytes, int transactionOps) {}

  /** What the cloud lets through, and how late its list is. */
  public record CloudLimits(double requestsPerSecond, Duration listLag) {}
}
