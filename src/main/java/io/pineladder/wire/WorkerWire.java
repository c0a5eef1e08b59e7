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
 * Heartbeats of workers and orders to them. On the wire a fencing token is a baton, an agent epoch
 * a shift, a machine a host and a task a piece; these words are mapped here and nowhere else.
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

  /** A task of a job. */
  public record TaskId(String job, int index) {
    static TaskId parse(String text) throws MalformedMessageException {
      int slash = text.lastIndexOf('/');
      if (slash <= 0 || slash == text.length() - 1 || text.length() - slash > 8) {
        throw new MalformedMessageException("piece is not a task");
      }
      int index = 0;
      for (int i = slash + 1; i < text.length(); i++) {
        char c = text.charAt(i);
        if (c < '0' || c > '9') {
          throw new MalformedMessageException("piece is not a task");
        }
        index = index * 10 + (c - '0');
      }
      return new TaskId(text.substring(0, slash), index);
    }

    @Override
    public String toString() {
      return job + "/" + index;
    }
  }

  /**
   * One task in a heartbeat.
   *
   * @param endReason null unless the task has exited
   * @param checkpointSaved whether its checkpoint was saved before it exited
   */
  public record TaskStatus(
      TaskId task, long attempt, TaskState state, EndReason endReason, boolean checkpointSaved) {

    /** The key of the attempt in its machine's list of attempts. */
    public String attemptKey() {
      return Machine.attemptKey(task.job, task.index, attempt);
    }
  }

  /**
   * A heartbeat with the status of a machine.
   *
   * @param agentEpoch changes when the agent restarts
   * @param sequence numbers the heartbeats of an agent epoch
   * @param token the highest fencing token that the worker has seen
   * @param reclaimNotice time until the cloud reclaims the spot machine; null unless it does
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
      TaskState state = TASK_STATES.get(task.text("status"));
      if (state == null) {
        throw new MalformedMessageException("status is not known");
      }
      // An end reason that this version does not know counts as a failure of the task.
      EndReason endReason =
          state == TaskState.EXITED
              ? END_REASONS.getOrDefault(task.textOr("cause", "error"), EndReason.ERROR)
              : null;
      tasks.add(
          new TaskStatus(
              TaskId.parse(task.text("piece")),
              task.integer("try", 0, Long.MAX_VALUE),
              state,
              endReason,
              task.boolOr("stored", false)));
    }
    return new Heartbeat(
        in.text("host"),
        in.text("addr"),
        in.text("hull"),
        in.text("yard"),
        in.boolOr("loaners", false),
        in.integer("shift", 0, Long.MAX_VALUE),
        in.integer("tally", 0, Long.MAX_VALUE),
        in.integer("baton", 0, Long.MAX_VALUE),
        in.secondsOrNull("recall_s"),
        tasks);
  }

  /** Orders in the sequence in which the worker is to execute them. */
  public static final class Orders {
    private final ArrayNode list = Json.array();

    private ObjectNode add(String verb, String job, int index, long attempt) {
      return list.addObject().put("verb", verb).put("piece", job + "/" + index).put("try", attempt);
    }

    /** Adds an order to start an attempt. */
    public void start(String job, int index, long attempt) {
      add("start", job, index, attempt);
    }

    /** Adds an order to end an attempt, with a grace period for its checkpoint. */
    public void kill(String job, int index, long attempt, Duration grace) {
      add("kill", job, index, attempt).put("wind_down_s", JobWire.seconds(grace));
    }

    /** Adds an order to drop an exited attempt from the heartbeats. */
    public void forget(String job, int index, long attempt) {
      add("forget", job, index, attempt);
    }

    /** Whether there is no order. */
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

  /** Orders that are sent to a worker outside the response to a heartbeat. */
  public static byte[] command(long token, long agentEpoch, Orders orders) {
    ObjectNode out = Json.object().put("baton", token).put("shift", agentEpoch);
    out.set("orders", orders.list);
    return Json.bytes(out);
  }

  /** Redirects a worker to {@code leader}; null when no leader is known. */
  public static byte[] redirect(String leader) {
    ObjectNode out = Json.object();
    if (leader != null) {
      out.put("foreman", leader);
    }
    return Json.bytes(out);
  }
}
