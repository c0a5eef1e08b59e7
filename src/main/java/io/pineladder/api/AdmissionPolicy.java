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
 * Which jobs are accepted. Leader and followers apply the same policy, so that a job gets the same
 * answer from either.
 */
final class AdmissionPolicy {
  /** Why a job with prerequisites is not accepted before all controllers support them. */
  static final String NOT_UPGRADED = "not all controllers are upgraded";

  static final String UNKNOWN_PREREQUISITE = "it waits for a job that was never accepted";

  private final ControllerNode node;

  AdmissionPolicy(ControllerNode node) {
    this.node = node;
  }

  /** Why a job can never run, in the words of the response; empty for a job that can. */
  Optional<String> rejectionReason(JobSpec spec) {
    // Sent to the store it would be refused as malformed, and the leader with it.
    if (!Records.fits(spec, node.settings().storeLimits().valueBytes())) {
      return Optional.of("the description is too long to be stored");
    }
    Team team = null;
    for (Team each : node.settings().teams()) {
      if (each.name().equals(spec.team())) {
        team = each;
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
      // A gang runs all at once, with at most half of its tasks in one zone: accepted, this job
      // would stay pending for ever.
      return Optional.of("all of its tasks can't be in one zone and spread over several");
    }
    return team.allows(spec.minimumResources())
        ? Optional.empty()
        : Optional.of("beyond the team's limit");
  }
}
