package io.pineladder.scheduling;

import io.pineladder.model.Attempt;
import io.pineladder.model.Job;
import io.pineladder.model.Machine;
import io.pineladder.model.MachineType;
import io.pineladder.model.Resources;
import io.pineladder.model.Settings;
import io.pineladder.model.Team;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What the leader knows: teams, types, jobs, machines, and what each of them uses. */
public final class Cluster {
  public final Settings settings;
  public final Map<String, Job> jobs = new LinkedHashMap<>();
  public final Map<String, Machine> machines = new TreeMap<>();
  private final Map<String, Team> teams = new HashMap<>();
  private final Map<String, Resources> usage = new HashMap<>();
  private final Map<String, Map<String, Job>> jobsByTeam = new HashMap<>();
  private final Map<String, MachineType> types = new LinkedHashMap<>();

  public Cluster(Settings settings) {
    this.settings = settings;
    for (Team team : settings.teams()) {
      teams.put(team.name(), team);
    }
  }

  public Team team(String name) {
    return teams.get(name);
  }

  public void setTypes(List<MachineType> known) {
    for (MachineType type : known) {
      types.put(type.name(), type);
    }
  }

  public Collection<MachineType> types() {
    return types.values();
  }

  public MachineType type(String name) {
    return types.get(name);
  }

  public Resources usage(String team) {
    return usage.getOrDefault(team, Resources.NONE);
  }

  public void addJob(Job job) {
    jobs.put(job.spec.id(), job);
    jobsByTeam
        .computeIfAbsent(job.spec.team(), t -> new LinkedHashMap<>())
        .put(job.spec.id(), job);
  }

  public void removeJob(Job job) {
    jobs.remove(job.spec.id());
    Map<String, Job> of = jobsByTeam.get(job.spec.team());
    if (of != null) {
      of.remove(job.spec.id());
    }
  }

  /** Whether the job fits into its team's guarantee together with the team's earlier jobs. */
  public boolean isGuaranteed(Job job) {
    Team team = teams.get(job.spec.team());
    if (team == null || !team.hasGuarantee()) {
      return false;
    }
    Resources sum = Resources.NONE;
    for (Job each : jobsByTeam.getOrDefault(job.spec.team(), Map.of()).values()) {
      if (!each.isActive()) {
        continue;
      }
      sum = sum.plus(each.spec.each().times(each.spec.tasks() - each.done.cardinality()));
      if (!team.guarantees(sum)) {
        return false;
      }
      if (each == job) {
        return true;
      }
    }
    return false;
  }

  /** Counts a new attempt everywhere it counts. */
  public Attempt addAttempt(
      Job job, int task, long number, Machine machine, Instant now, Attempt.State first) {
    Attempt attempt = new Attempt(job, task, number, machine, now, first);
    job.add(attempt);
    machine.attempts.put(Machine.key(job.spec.id(), task, number), attempt);
    machine.used = machine.used.plus(job.spec.each());
    machine.idleSince = null;
    usage.merge(job.spec.team(), job.spec.each(), Resources::plus);
    return attempt;
  }

  /** Changes an attempt's state and, when it ends, gives back what it held. */
  public void move(Attempt attempt, Attempt.State next) {
    boolean held = attempt.holdsRoom();
    attempt.moveTo(next);
    if (held && !attempt.holdsRoom()) {
      Resources each = attempt.job.spec.each();
      attempt.machine.used = attempt.machine.used.minus(each);
      usage.merge(attempt.job.spec.team(), each, Resources::minus);
      attempt.job.remove(attempt);
    }
    if (next == Attempt.State.GONE) {
      attempt.machine.attempts.remove(
          Machine.key(attempt.job.spec.id(), attempt.task, attempt.number));
    }
  }
}
