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
    JobKind kind,
    PriorityClass priorityClass,
    int tasks,
    Resources resourcesPerTask,
    List<String> types,
    String zone,
    boolean sameZone,
    boolean spreadAcrossZones,
    boolean spotAllowed,
    String image,
    double imageGb,
    Duration estimatedRunTime,
    Duration checkpointInterval,
    Duration checkpointDuration,
    Duration deadline,
    List<String> prerequisites) {

  /** A job that waits for no other. */
  public JobSpec(
      String id,
      String jobClass,
      String team,
      JobKind kind,
      PriorityClass priorityClass,
      int tasks,
      Resources resourcesPerTask,
      List<String> types,
      String zone,
      boolean sameZone,
      boolean spreadAcrossZones,
      boolean spotAllowed,
      String image,
      double imageGb,
      Duration estimatedRunTime,
      Duration checkpointInterval,
      Duration checkpointDuration,
      Duration deadline) {
    this(
        id,
        jobClass,
        team,
        kind,
        priorityClass,
        tasks,
        resourcesPerTask,
        types,
        zone,
        sameZone,
        spreadAcrossZones,
        spotAllowed,
        image,
        imageGb,
        estimatedRunTime,
        checkpointInterval,
        checkpointDuration,
        deadline,
        List.of());
  }

  public boolean allowsType(String type) {
    return types == null || types.contains(type);
  }

  public boolean allowsZone(String name) {
    return zone == null || zone.equals(name);
  }

  public boolean isCheckpointed() {
    return !checkpointInterval.isZero();
  }

  /** All of its tasks run at the same time or none does, and there is more than one. */
  public boolean isMultiTaskGang() {
    return kind == JobKind.GANG && tasks > 1;
  }

  /** What must be free of the team's limit before any of it can run. */
  public Resources minimumResources() {
    return kind == JobKind.ARRAY ? resourcesPerTask : resourcesPerTask.times(tasks);
  }
}
