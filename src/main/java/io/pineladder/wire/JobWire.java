package io.pineladder.wire;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.model.JobKind;
import io.pineladder.model.JobSpec;
import io.pineladder.model.PriorityClass;
import io.pineladder.model.Resources;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Jobs of the user API in JSON, which is also their stored form. Only this class maps the field
 * names of the protocol to those of {@link JobSpec}.
 */
public final class JobWire {
  /** Maximum length of a request body. */
  public static final int MAX_BODY_BYTES = 64 * 1024;

  static final int MAX_TASKS = 100_000;
  private static final int MAX_NAME_LENGTH = 200;
  private static final String PREREQUISITES_FIELD = "waits_on";
  private static final double MAX_AMOUNT = 1e6;
  private static final Pattern JOB_ID = Pattern.compile("req-[0-9]{1,120}");
  private static final Map<String, JobKind> JOB_KINDS =
      Map.of("array", JobKind.ARRAY, "group", JobKind.GANG, "service", JobKind.SERVICE);
  private static final Map<String, PriorityClass> PRIORITY_CLASSES =
      Map.of(
          "prod",
          PriorityClass.PRODUCTION,
          "urgent",
          PriorityClass.HIGH,
          "standard",
          PriorityClass.NORMAL,
          "low",
          PriorityClass.LOW);

  private JobWire() {}

  /** Whether a string has the form of a job id. */
  public static boolean isJobId(String id) {
    return JOB_ID.matcher(id).matches();
  }

  /** Reads the body of a submission. */
  public static JobSpec parse(byte[] body) throws MalformedMessageException {
    if (body.length > MAX_BODY_BYTES) {
      throw new MalformedMessageException("longer than 64 KiB");
    }
    return parse(new Fields(Json.parseObject(body)));
  }

  static JobSpec parse(Fields in) throws MalformedMessageException {
    String id = in.string("ref");
    if (!isJobId(id)) {
      throw new MalformedMessageException("ref is not a job id");
    }
    List<String> types = in.stringsOrNull("hulls");
    if (types != null && types.isEmpty()) {
      throw new MalformedMessageException("hulls is empty");
    }
    return new JobSpec(
        id,
        boundedString(in, "jobclass"),
        boundedString(in, "owner"),
        choice(in, "shape", JOB_KINDS),
        choice(in, "rank", PRIORITY_CLASSES),
        (int) in.integer("pieces", 1, MAX_TASKS),
        Resources.of(
            in.number("vcpus", 0, MAX_AMOUNT),
            in.number("cards", 0, MAX_AMOUNT),
            in.number("memory_gb", 0, MAX_AMOUNT)),
        types == null ? null : List.copyOf(types),
        in.stringOr("yard", null),
        // Required: the protocol defines a job without these fields as malformed.
        in.bool("together"),
        in.bool("spread"),
        in.bool("loaners"),
        boundedString(in, "bundle"),
        in.number("image_gb", 0, MAX_AMOUNT),
        in.seconds("guess_s"),
        in.seconds("mark_every_s"),
        in.seconds("stow_s"),
        in.secondsOrNull("due_s"),
        prerequisites(in));
  }

  /** The distinct ids of the jobs that this job depends on; empty if the field is absent. */
  private static List<String> prerequisites(Fields in) throws MalformedMessageException {
    List<String> ids = in.stringsOrNull(PREREQUISITES_FIELD);
    if (ids == null) {
      return List.of();
    }
    for (String id : ids) {
      if (!isJobId(id)) {
        throw new MalformedMessageException(
            PREREQUISITES_FIELD + " holds something that is not a job id");
      }
    }
    return ids.stream().distinct().toList();
  }

  private static String boundedString(Fields in, String field) throws MalformedMessageException {
    String value = in.string(field);
    if (value.length() > MAX_NAME_LENGTH) {
      throw new MalformedMessageException(field + " is too long");
    }
    return value;
  }

  private static <T> T choice(Fields in, String field, Map<String, T> choices)
      throws MalformedMessageException {
    T chosen = choices.get(in.string(field));
    if (chosen == null) {
      throw new MalformedMessageException(field + " is none of " + choices.keySet());
    }
    return chosen;
  }

  static ObjectNode write(JobSpec spec) {
    ObjectNode out = Json.object();
    out.put("ref", spec.id());
    out.put("jobclass", spec.jobClass());
    out.put("owner", spec.team());
    out.put("shape", wireName(JOB_KINDS, spec.kind()));
    out.put("rank", wireName(PRIORITY_CLASSES, spec.priorityClass()));
    out.put("pieces", spec.tasks());
    out.put("vcpus", spec.resourcesPerTask().cpus());
    out.put("cards", spec.resourcesPerTask().gpus());
    out.put("memory_gb", spec.resourcesPerTask().memoryGb());
    if (spec.types() != null) {
      ArrayNode types = out.putArray("hulls");
      spec.types().forEach(types::add);
    }
    if (spec.zone() != null) {
      out.put("yard", spec.zone());
    }
    out.put("together", spec.sameZone());
    out.put("spread", spec.spreadAcrossZones());
    out.put("loaners", spec.spotAllowed());
    out.put("bundle", spec.image());
    out.put("image_gb", spec.imageGb());
    out.put("guess_s", seconds(spec.estimatedRunTime()));
    out.put("mark_every_s", seconds(spec.checkpointInterval()));
    out.put("stow_s", seconds(spec.checkpointDuration()));
    if (spec.deadline() != null) {
      out.put("due_s", seconds(spec.deadline()));
    }
    if (!spec.prerequisites().isEmpty()) {
      ArrayNode prerequisites = out.putArray(PREREQUISITES_FIELD);
      spec.prerequisites().forEach(prerequisites::add);
    }
    return out;
  }

  private static <T> String wireName(Map<String, T> map, T value) {
    return map.entrySet().stream()
        .filter(entry -> entry.getValue().equals(value))
        .findFirst()
        .orElseThrow()
        .getKey();
  }

  static double seconds(Duration duration) {
    return duration.toNanos() / 1e9;
  }

  /** The status of a job in responses to users. */
  public enum Status {
    PENDING("pending"),
    RUNNING("running"),
    DONE("done"),
    CANCELLED("aborted");

    private final String wireName;

    Status(String wireName) {
      this.wireName = wireName;
    }

    /** Whether the job has ended. */
    public boolean isFinal() {
      return this == DONE || this == CANCELLED;
    }
  }

  /** The response body for a job without task counts. */
  public static byte[] view(String id, Status status) {
    return Json.bytes(Json.object().put("ref", id).put("status", status.wireName));
  }

  /** The response body for a job with the counts of its completed and running tasks. */
  public static byte[] view(String id, Status status, int completedTasks, int runningTasks) {
    return Json.bytes(
        Json.object()
            .put("ref", id)
            .put("status", status.wireName)
            .put("done", completedTasks)
            .put("running", runningTasks));
  }

  /** The response body of an error. */
  public static byte[] error(String reason) {
    return Json.bytes(Json.object().put("error", reason));
  }
}
