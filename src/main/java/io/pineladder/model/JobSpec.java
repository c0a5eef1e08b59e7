package io.pineladder.model;

import java.time.Duration;
import java.util.List;

/**
 * What a user submitted. {@code types} is null for any type, {@code zone} null for any zone, {@code
 * deadline} null for none; {@code checkpointEvery} zero means that the task never saves; {@code
 * prerequisites} are the ids of the jobs that have to be done before any task of this one starts.
 */
public record JobSpec(
    String id,
    String jobClass,
    String team,
    Shape shape,
    Rank rank,
    int tasks,
    Resources each,
    List<String> types,
    String zone,
    boolean together,
    boolean spread,
    boolean spotAllowed,
    String image,
    double imageGb,
    Duration estimate,
    Duration checkpointEvery,
    Duration saveTime,
    Duration deadline,
    List<String> prerequisites) {

  /** A job that waits for no other. */
  public JobSpec(
      String id,
      String jobClass,
      String team,
      Shape shape,
      Rank rank,
      int tasks,
      Resources each,
      List<String> types,
      String zone,
      boolean together,
      boolean spread,
      boolean spotAllowed,
      String image,
      double imageGb,
      Duration estimate,
      Duration checkpointEvery,
      Duration saveTime,
      Duration deadline) {
    this(
        id,
        jobClass,
        team,
        shape,
        rank,
        tasks,
        each,
        types,
        zone,
        together,
        spread,
        spotAllowed,
        image,
        imageGb,
        estimate,
        checkpointEvery,
        saveTime,
        deadline,
        List.of());
  }

  public boolean allowsType(String type) {
    return types == null || types.contains(type);
  }

  public boolean allowsZone(String name) {
    return zone == null || zone.equals(name);
  }

  public boolean savesWork() {
    return !checkpointEvery.isZero();
  }

  /** All of its tasks run at the same time or none does, and there is more than one. */
  public boolean isGangOfSeveral() {
    return shape == Shape.GANG && tasks > 1;
  }

  /** What must be free of the team's limit before any of it can run. */
  public Resources least() {
    return shape == Shape.ARRAY ? each : each.times(tasks);
  }
}
