package io.pineladder.model;

import java.time.Duration;
import java.util.List;

/**
 * The specification of a job, as submitted by a user.
 *
 * @param types the allowed machine types; null for any
 * @param zone the required zone; null for any
 * @param sameZone whether all tasks must run in the same zone
 * @param spreadAcrossZones whether at most half of the tasks, rounded up, may run in one zone
 * @param spotAllowed whether the tasks may run on spot machines
 * @param imageGb the size of the image in GB
 * @param checkpointInterval the time between two checkpoints; zero if tasks are not checkpointed
 * @param checkpointDuration the time to save a checkpoint
 * @param deadline the time from submission to the required end; null for none
 * @param prerequisites the ids of the jobs that must be done before any task of this job starts
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

  /** Creates a specification without prerequisites. */
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

  /** Whether the tasks may run on machines of that type. */
  public boolean allowsType(String type) {
    return types == null || types.contains(type);
  }

  /** Whether the tasks may run in that zone. */
  public boolean allowsZone(String name) {
    return zone == null || zone.equals(name);
  }

  /** Whether the tasks save checkpoints. */
  public boolean isCheckpointed() {
    return !checkpointInterval.isZero();
  }

  /** Whether the job is a gang with more than one task. */
  public boolean isMultiTaskGang() {
    return kind == JobKind.GANG && tasks > 1;
  }

  /** The resources that the team's limit must leave free before any task can run. */
  public Resources minimumResources() {
    return kind == JobKind.ARRAY ? resourcesPerTask : resourcesPerTask.times(tasks);
  }
}
