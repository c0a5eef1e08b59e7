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

/** What each team uses, and which of its jobs its guaranteed quota covers. */
final class TeamQuotas {
  private final Map<String, Team> teams = new HashMap<>();
  private final Map<String, Resources> usage = new HashMap<>();
  private final Map<String, TeamJobs> jobsByTeam = new HashMap<>();

  /**
   * A team's jobs in the order of their acceptance, and those that the guarantee covers. These are
   * computed when they are asked for, once after any number of changes.
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

  /** The team of that name; null when the settings name none. */
  Team team(String name) {
    return teams.get(name);
  }

  /** What the team's attempts hold, wherever they may be. */
  Resources usage(String team) {
    return usage.getOrDefault(team, Resources.ZERO);
  }

  /** An attempt of the team begins to hold resources. */
  void addUsage(String team, Resources resources) {
    usage.merge(team, resources, Resources::plus);
  }

  /** An attempt of the team no longer holds resources. */
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

  /** What the job demands of its team's quota, now or in total, has changed. */
  void onDemandChanged(Job job) {
    TeamJobs teamJobs = jobsByTeam.get(job.spec.team());
    if (teamJobs != null) {
      teamJobs.stale = true;
    }
  }

  /** Whether the job fits into its team's guarantee together with the team's earlier jobs. */
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
