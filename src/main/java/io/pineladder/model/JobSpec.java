package io.pineladder.model;

import java.time.Duration;
import java.util.List;

/**
 * What a user submitted.
 *
 * @param types the machine types allowed; null for any
 * @param zone the zone required; null for any
 * @param sameZone all tasks must run in one zone
 * @param spreadAcrossZones at most half of the tasks, rounded up, may run in one zone
 * @param spotAllowed the tasks may run on spot machines
 * @param imageGb the size of the image
 * @param checkpointInterval between two checkpoints; zero when a task saves none
 * @param checkpointDuration how long a checkpoint takes
 * @param deadline from the submission to the end; null for none
 * @param prerequisites the ids of the jobs that must be done before any task of this one starts
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

  /** A job without prerequisites. */
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

  /** Whether its tasks may run on machines of that type. */
  public boolean allowsType(String type) {
    return types == null || types.contains(type);
  }

  /** Whether its tasks may run in that zone. */
  public boolean allowsZone(String name) {
    return zone == null || zone.equals(name);
  }

  /** Whether its tasks save their progress. */
  public boolean isCheckpointed() {
    return !checkpointInterval.isZero();
  }

  /** Whether it is a gang of more than one task. */
  public boolean isMultiTaskGang() {
    return kind == JobKind.GANG && tasks > 1;
  }

  /** What the team's limit must allow before any task can run. */
  public Resources minimumResources() {
    return kind == JobKind.ARRAY ? resourcesPerTask : resourcesPerTask.times(tasks);
  }
}
