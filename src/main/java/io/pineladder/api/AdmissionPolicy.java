package io.pineladder.api;

import io.pineladder.ControllerNode;
import io.pineladder.model.JobSpec;
import io.pineladder.model.MachineType;
import io.pineladder.model.Team;
import io.pineladder.store.Records;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which jobs are accepted. The leader and the followers apply the same policy, so that a
 * submission gets the same answer from each of them.
 */
final class AdmissionPolicy {
  /** Reason for refusing a job with prerequisites until all controllers support them. */
  static final String CONTROLLERS_NOT_UPGRADED = "not all controllers are upgraded";

  static final String UNKNOWN_PREREQUISITE = "it waits for a job that was never accepted";

  private final ControllerNode node;

  AdmissionPolicy(ControllerNode node) {
    this.node = node;
  }

  /** The reason, as sent to the user, why a job can never run; empty if it can run. */
  Optional<String> rejectionReason(JobSpec spec) {
    // The store would reject the record as malformed, and a leader that gets this reply resigns.
    if (!Records.fits(spec, node.settings().storeLimits().valueBytes())) {
      return Optional.of("the description is too long to be stored");
    }
    Team team = null;
    for (Team candidate : node.settings().teams()) {
      if (candidate.name().equals(spec.team())) {
        team = candidate;
      }
    }
    if (team == null) {
      return Optional.of("unknown team");
    }
    Set<String> zones = new HashSet<>();
    for (MachineType type : node.machineTypes()) {
      if (spec.allowsType(type.name()) && spec.resourcesPerTask().fitsIn(type.capacity())) {
        type.zones().stream().filter(spec::allowsZone).forEach(zones::add);
      }
    }
    if (zones.isEmpty()) {
      return Optional.of("a task fits no allowed machine type");
    }
    if (spec.isMultiTaskGang()
        && spec.spreadAcrossZones()
        && (spec.sameZone() || zones.size() == 1)) {
      // All tasks of a gang run at the same time, and spreading allows at most half of them in one
      // zone, so this job could never be placed.
      return Optional.of("all of its tasks can't be in one zone and spread over several");
    }
    return team.allows(spec.minimumResources())
        ? Optional.empty()
        : Optional.of("beyond the team's limit");
  }
}
