package io.pineladder.wire;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.model.EndReason;
import io.pineladder.model.Machine;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Heartbeats of workers and orders to workers. On the wire, a fencing token is called {@code
 * baton}, an agent epoch {@code shift}, a machine {@code host} and a task {@code piece}.
 */
public final class WorkerWire {
  private static final Map<String, TaskState> TASK_STATES =
      Map.of(
          "fetching", TaskState.FETCHING_IMAGE,
          "gathering", TaskState.WAITING_FOR_GANG,
          "running", TaskState.RUNNING,
          "flushing", TaskState.SAVING_CHECKPOINT,
          "ended", TaskState.EXITED);
  private static final Map<String, EndReason> END_REASONS =
      Map.of(
          "done", EndReason.DONE,
          "stopped", EndReason.STOPPED,
          "peers", EndReason.GANG_PEER_ENDED,
          "incomplete", EndReason.GANG_INCOMPLETE,
          "error", EndReason.ERROR,
          "full", EndReason.NO_CAPACITY,
          "busy", EndReason.MACHINE_BUSY,
          "unknown", EndReason.UNKNOWN_JOB);

  private WorkerWire() {}

  /** The state of a task in a heartbeat. */
  public enum TaskState {
    FETCHING_IMAGE,
    WAITING_FOR_GANG,
    RUNNING,
    SAVING_CHECKPOINT,
    EXITED
  }

  /** Identifies a task of a job. */
  public record TaskId(String job, int index) {
    static TaskId parse(String id) throws MalformedMessageException {
      int slash = id.lastIndexOf('/');
      if (slash <= 0 || slash == id.length() - 1 || id.length() - slash > 8) {
        throw new MalformedMessageException("piece is not a task");
      }
      int index = 0;
      for (int i = slash + 1; i < id.length(); i++) {
        char c = id.charAt(i);
        if (c < '0' || c > '9') {
          throw new MalformedMessageException("piece is not a task");
        }
        index = index * 10 + (c - '0');
      }
      return new TaskId(id.substring(0, slash), index);
    }

    @Override
    public String toString() {
      return job + "/" + index;
    }
  }

  /**
   * The status of one task in a heartbeat.
   *
   * @param endReason null unless the task has exited
   * @param checkpointSaved whether a checkpoint was saved before the task exited
   */
  public record TaskStatus(
      TaskId task, long attempt, TaskState state, EndReason endReason, boolean checkpointSaved) {

    /** The attempt's key among the attempts of its machine. */
    public String attemptKey() {
      return Machine.attemptKey(task.job, task.index, attempt);
    }
  }

  /**
   * A heartbeat with the status of a machine.
   *
   * @param agentEpoch changes when the agent restarts
   * @param sequence sequence number within the agent epoch
   * @param token the highest fencing token that the worker has seen
   * @param reclaimNotice time until the cloud reclaims the spot machine; null if no reclaim is
   *     announced
   */
  public record Heartbeat(
      String machine,
      String address,
      String type,
      String zone,
      boolean spot,
      long agentEpoch,
      long sequence,
      long token,
      Duration reclaimNotice,
      List<TaskStatus> tasks) {}

  /** Reads a heartbeat. */
  public static Heartbeat parseHeartbeat(byte[] body) throws MalformedMessageException {
    Fields in = new Fields(Json.parseObject(body));
    List<TaskStatus> tasks = new ArrayList<>();
    for (Fields task : in.objects("pieces")) {
      TaskState state = TASK_STATES.get(task.string("status"));
      if (state == null) {
        throw new MalformedMessageException("status is not known");
      }
      // An unknown end reason counts as a failure of the task.
      EndReason endReason =
          state == TaskState.EXITED
              ? END_REASONS.getOrDefault(task.stringOr("cause", "error"), EndReason.ERROR)
              : null;
      tasks.add(
          new TaskStatus(
              TaskId.parse(task.string("piece")),
              task.integer("try", 0, Long.MAX_VALUE),
              state,
              endReason,
              task.boolOr("stored", false)));
    }
    return new Heartbeat(
        in.string("host"),
        in.string("addr"),
        in.string("hull"),
        in.string("yard"),
        in.boolOr("loaners", false),
        in.integer("shift", 0, Long.MAX_VALUE),
        in.integer("tally", 0, Long.MAX_VALUE),
        in.integer("baton", 0, Long.MAX_VALUE),
        in.secondsOrNull("recall_s"),
        tasks);
  }

  /** Orders to a worker, in the order of execution. */
  public static final class Orders {
    private final ArrayNode list = Json.array();

    private ObjectNode add(String verb, String job, int index, long attempt) {
      return list.addObject().put("verb", verb).put("piece", job + "/" + index).put("try", attempt);
    }

    /** Adds an order to start an attempt. */
    public void start(String job, int index, long attempt) {
      add("start", job, index, attempt);
    }

    /** Adds an order to end an attempt, with a grace period for saving a checkpoint. */
    public void kill(String job, int index, long attempt, Duration grace) {
      add("kill", job, index, attempt).put("wind_down_s", JobWire.seconds(grace));
    }

    /** Adds an order to omit an exited attempt from further heartbeats. */
    public void forget(String job, int index, long attempt) {
      add("forget", job, index, attempt);
    }

    public boolean isEmpty() {
      return list.isEmpty();
    }
  }

  /** The response to a heartbeat. */
  public static byte[] heartbeatResponse(long token, Orders orders) {
    ObjectNode out = Json.object().put("baton", token);
    out.set("orders", orders.list);
    return Json.bytes(out);
  }

  /** The body of a request that sends orders to a worker outside of a heartbeat response. */
  public static byte[] command(long token, long agentEpoch, Orders orders) {
    ObjectNode out = Json.object().put("baton", token).put("shift", agentEpoch);
    out.set("orders", orders.list);
    return Json.bytes(out);
  }

  /** The body of a response that redirects a worker to {@code leader}; null if none is known. */
  public static byte[] redirect(String leader) {
    ObjectNode out = Json.object();
    if (leader != null) {
      out.put("foreman", leader);
    }
    return Json.bytes(out);
  }
}
