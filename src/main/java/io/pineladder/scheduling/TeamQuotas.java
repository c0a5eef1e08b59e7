package io.pineladder.scheduling;

import io.pineladder.model.Job;
import io.pineladder.model.Resources;
import io.pineladder.model.Team;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Tracks the resource usage of each team, and which of its jobs its guaranteed quota covers. */
final class TeamQuotas {
  private final Map<String, Team> teams = new HashMap<>();
  private final Map<String, Resources> usage = new HashMap<>();
  private final Map<String, TeamJobs> jobsByTeam = new HashMap<>();

  /**
   * The jobs of a team in order of acceptance, and those that its guaranteed quota covers. The
   * latter are recomputed on demand after changes.
   */
  private static final class TeamJobs {
    final Map<String, Job> jobs = new LinkedHashMap<>();
    final Set<Job> guaranteed = new LinkedHashSet<>();
    boolean stale = true;
  }

  TeamQuotas(List<Team> teams) {
    for (Team team : teams) {
      this.teams.put(team.name(), team);
    }
  }

  /** The team of that name; null if the settings do not define it. */
  Team team(String name) {
    return teams.get(name);
  }

  /** The resources held by the team's attempts on all machines. */
  Resources usage(String team) {
    return usage.getOrDefault(team, Resources.ZERO);
  }

  /** Adds the resources of an attempt that starts to hold them. */
  void addUsage(String team, Resources resources) {
    usage.merge(team, resources, Resources::plus);
  }

  /** Subtracts the resources of an attempt that no longer holds them. */
  void removeUsage(String team, Resources resources) {
    usage.merge(team, resources, Resources::minus);
  }

  void addJob(Job job) {
    TeamJobs teamJobs = jobsByTeam.computeIfAbsent(job.spec.team(), team -> new TeamJobs());
    teamJobs.jobs.put(job.spec.id(), job);
    teamJobs.stale = true;
  }

  void removeJob(Job job) {
    TeamJobs teamJobs = jobsByTeam.get(job.spec.team());
    if (teamJobs != null) {
      teamJobs.jobs.remove(job.spec.id());
      teamJobs.stale = true;
    }
  }

  /** Handles a change of the job's current or total demand on its team's quota. */
  void onQuotaDemandChanged(Job job) {
    TeamJobs teamJobs = jobsByTeam.get(job.spec.team());
    if (teamJobs != null) {
      teamJobs.stale = true;
    }
  }

  /**
   * Whether the job fits into its team's guaranteed quota together with the team's earlier jobs.
   */
  boolean isGuaranteed(Job job) {
    Team team = teams.get(job.spec.team());
    if (team == null || !team.hasGuarantee()) {
      return false;
    }
    TeamJobs teamJobs = jobsByTeam.get(job.spec.team());
    if (teamJobs == null) {
      return false;
    }
    if (teamJobs.stale) {
      updateGuaranteed(team, teamJobs);
    }
    return teamJobs.guaranteed.contains(job);
  }

  private static void updateGuaranteed(Team team, TeamJobs teamJobs) {
    teamJobs.stale = false;
    teamJobs.guaranteed.clear();
    Resources demand = Resources.ZERO;
    for (Job job : teamJobs.jobs.values()) {
      if (!job.isActive() || job.blockedByDependencies) {
        continue;
      }
      int remainingTasks = job.spec.tasks() - job.completedTasks.cardinality();
      demand = demand.plus(job.spec.resourcesPerTask().times(remainingTasks));
      if (!team.guarantees(demand)) {
        break;
      }
      teamJobs.guaranteed.add(job);
    }
  }
}
