package io.pineladder.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.model.Attempt;
import io.pineladder.model.Generation;
import io.pineladder.model.Job;
import io.pineladder.model.JobSpec;
import io.pineladder.model.Machine;
import io.pineladder.model.MachineType;
import io.pineladder.model.Notification;
import io.pineladder.model.OperatorSettings;
import java.nio.charset.CharsetEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** The form of the records in the consensus-backed key-value store. */
public final class RecordWire {
  private static final long MAX_NUMBER = Long.MAX_VALUE;

  /** Names the page that a record was copied from; the page takes precedence while it exists. */
  private static final String COPIED_FROM = "copied_from";

  private RecordWire() {}

  /**
   * A stored job; the completions of its tasks are stored separately.
   *
   * @param atFault whether the failures of its tasks are attributed to the job itself
   */
  public record StoredJob(JobSpec spec, Instant acceptedAt, Job.State state, boolean atFault) {}

  /** A stored placement of a task, with the data needed to reach its machine. */
  public record Placement(
      String machine,
      String address,
      String type,
      String zone,
      boolean spot,
      String job,
      int task,
      long attempt) {}

  /**
   * The stored completed tasks of one chunk of a job.
   *
   * @param chunkTasks number of tasks per chunk of the job; 0 if the entry does not contain it
   * @param json the stored entry
   */
  public record StoredCompletions(
      String job, int chunk, BitSet completed, int chunkTasks, JsonNode json) {}

  /** Container images in a machine's cache, with their sizes in GB. */
  public record StoredImages(String machine, Map<String, Double> images) {}

  /** The value of the leader key; {@code nonce} identifies the process. */
  public record LeaderRecord(String controllerName, String address, String nonce) {}

  /** The name of a job's state in records and in events to subscribers. */
  public static String wireName(Job.State state) {
    return switch (state) {
      case ACTIVE -> "active";
      case CANCELLED -> "cancelled";
      case DONE -> "done";
    };
  }

  private static Job.State parseState(String name) throws MalformedMessageException {
    return switch (name) {
      case "active" -> Job.State.ACTIVE;
      case "cancelled" -> Job.State.CANCELLED;
      case "done" -> Job.State.DONE;
      default -> throw new MalformedMessageException("unknown job state");
    };
  }

  /** The record of a job. */
  public static ObjectNode job(JobSpec spec, Instant acceptedAt, Job.State state) {
    ObjectNode out = Json.object();
    out.set("spec", JobWire.write(spec));
    out.put("accepted_ms", acceptedAt.toEpochMilli());
    out.put("state", wireName(state));
    return out;
  }

  /** Reads the record of a job. */
  public static StoredJob parseJob(JsonNode value) throws MalformedMessageException {
    Fields in = Fields.of(value);
    return new StoredJob(
        JobWire.parse(Fields.of(in.node("spec"))),
        Instant.ofEpochMilli(in.integer("accepted_ms", 0, MAX_NUMBER)),
        parseState(in.string("state")),
        value.path("at_fault").asBoolean(false));
  }

  /** The copy of a job's record that is written while its page is split. */
  public static JsonNode copiedRecord(JsonNode record, String page) {
    return ((ObjectNode) record).deepCopy().put(COPIED_FROM, page);
  }

  /** A job's record without the name of the page from which it was copied. */
  public static JsonNode withoutCopySource(JsonNode record) {
    return record.has(COPIED_FROM) ? ((ObjectNode) record).deepCopy().without(COPIED_FROM) : record;
  }

  /** The page from which a job's record was copied; null if it was not copied. */
  public static String copySource(JsonNode record) {
    return record.path(COPIED_FROM).textValue();
  }

  /** The completed tasks in {@code [from, from + count)}, as inclusive ranges. */
  public static ArrayNode ranges(BitSet completed, int from, int count) {
    ArrayNode out = Json.array();
    int end = from + count;
    int first = completed.nextSetBit(from);
    while (first >= 0 && first < end) {
      int last = Math.min(completed.nextClearBit(first), end) - 1;
      out.addArray().add(first).add(last);
      first = completed.nextSetBit(last + 1);
    }
    return out;
  }

  /** Adds ranges written by {@link #ranges} to {@code completed}. */
  public static void addRanges(JsonNode value, BitSet completed) throws MalformedMessageException {
    if (!value.isArray()) {
      throw new MalformedMessageException("done is not a list");
    }
    for (JsonNode range : value) {
      if (!range.isArray() || range.size() != 2) {
        throw new MalformedMessageException("done holds something that is not a range");
      }
      int first = taskNumber(range.get(0));
      int last = taskNumber(range.get(1));
      if (last < first) {
        throw new MalformedMessageException("done holds a range that ends before it begins");
      }
      completed.set(first, last + 1);
    }
  }

  private static int taskNumber(JsonNode value) throws MalformedMessageException {
    return (int) wholeNumber(value, JobWire.MAX_TASKS - 1);
  }

  private static long wholeNumber(JsonNode value, long max) throws MalformedMessageException {
    if (!value.isIntegralNumber()
        || !value.canConvertToLong()
        || value.longValue() < 0
        || value.longValue() > max) {
      throw new MalformedMessageException("an entry holds no whole number in range");
    }
    return value.longValue();
  }

  private static String text(JsonNode value) throws MalformedMessageException {
    if (!value.isTextual()) {
      throw new MalformedMessageException("an entry holds something that is not a text");
    }
    return value.textValue();
  }

  /** A page with the given entries. */
  public static ObjectNode page(Stream<JsonNode> entries) {
    ObjectNode page = Json.object();
    ArrayNode list = page.putArray("entries");
    entries.forEach(list::add);
    return page;
  }

  /** A page of jobs, with notifications for ended jobs. */
  public static ObjectNode page(Stream<JsonNode> entries, Collection<Notification> notifications) {
    ObjectNode page = page(entries);
    if (!notifications.isEmpty()) {
      ArrayNode list = page.putArray("notices");
      notifications.forEach(notification -> list.add(notification(notification)));
    }
    return page;
  }

  /** The entry for a notification in a page of jobs. */
  public static JsonNode notification(Notification notification) {
    return Json.array()
        .add(notification.number())
        .add(notification.job())
        .add(notification.team())
        .add(notification.jobClass())
        .add(wireName(notification.finalState()))
        .add(notification.tasks())
        .add(notification.endedAt().toEpochMilli());
  }

  /** The notifications in a page of jobs; empty if it has none. */
  public static List<Notification> parseNotifications(JsonNode page)
      throws MalformedMessageException {
    List<Notification> notifications = new ArrayList<>();
    JsonNode list = page.path("notices");
    if (!list.isArray() && !list.isMissingNode()) {
      throw new MalformedMessageException("notices is not a list");
    }
    for (JsonNode entry : list) {
      requireSize(entry, 7);
      notifications.add(
          new Notification(
              wholeNumber(entry.get(0), MAX_NUMBER),
              text(entry.get(1)),
              text(entry.get(2)).intern(),
              text(entry.get(3)).intern(),
              parseState(text(entry.get(4))),
              (int) wholeNumber(entry.get(5), Integer.MAX_VALUE),
              Instant.ofEpochMilli(wholeNumber(entry.get(6), MAX_NUMBER))));
    }
    return notifications;
  }

  /**
   * The entries of a page, written by {@link #placement}, {@link #completions} or {@link #images}.
   */
  public static List<JsonNode> entries(JsonNode page) throws MalformedMessageException {
    JsonNode list = Fields.of(page).node("entries");
    if (!list.isArray()) {
      throw new MalformedMessageException("entries is not a list");
    }
    List<JsonNode> entries = new ArrayList<>(list.size());
    list.forEach(entries::add);
    return entries;
  }

  private static JsonNode requireSize(JsonNode entry, int size) throws MalformedMessageException {
    if (!entry.isArray() || entry.size() != size) {
      throw new MalformedMessageException("an entry does not have its " + size + " parts");
    }
    return entry;
  }

  /**
   * The entry for the placement of an attempt.
   *
   * @param address the address of its machine at the time of the placement; null if unknown
   */
  public static JsonNode placement(Attempt attempt, String address) {
    Machine machine = attempt.machine;
    return Json.array()
        .add(machine.name)
        .add(address)
        .add(machine.type.name())
        .add(machine.zone)
        .add(machine.spot)
        .add(attempt.job.spec.id())
        .add(attempt.task)
        .add(attempt.number);
  }

  /** Reads an entry written by {@link #placement}. */
  public static Placement parsePlacement(JsonNode entry) throws MalformedMessageException {
    requireSize(entry, 8);
    return new Placement(
        text(entry.get(0)),
        entry.get(1).isNull() ? null : text(entry.get(1)),
        text(entry.get(2)),
        text(entry.get(3)),
        entry.get(4).asBoolean(),
        text(entry.get(5)),
        taskNumber(entry.get(6)),
        wholeNumber(entry.get(7), MAX_NUMBER));
  }

  /** The entry for the completed tasks of one chunk of {@code chunkTasks} tasks. */
  public static JsonNode completions(String job, BitSet completed, int chunk, int chunkTasks) {
    return Json.array().add(job).add(chunk).add(ranges(completed, chunk * chunkTasks, chunkTasks));
  }

  /** Like {@link #completions}, with the chunk size appended; since cluster version 2. */
  public static JsonNode completionsWithChunkSize(
      String job, BitSet completed, int chunk, int chunkTasks) {
    return ((ArrayNode) completions(job, completed, chunk, chunkTasks)).add(chunkTasks);
  }

  /** Reads an entry written by {@link #completions} or {@link #completionsWithChunkSize}. */
  public static StoredCompletions parseCompletions(JsonNode entry)
      throws MalformedMessageException {
    boolean hasChunkSize = entry.isArray() && entry.size() == 4;
    requireSize(entry, hasChunkSize ? 4 : 3);
    BitSet completed = new BitSet();
    addRanges(entry.get(2), completed);
    int chunkTasks = hasChunkSize ? (int) wholeNumber(entry.get(3), Integer.MAX_VALUE) : 0;
    if (hasChunkSize && chunkTasks < 1) {
      throw new MalformedMessageException("a chunk has no tasks");
    }
    return new StoredCompletions(
        text(entry.get(0)), taskNumber(entry.get(1)), completed, chunkTasks, entry);
  }

  /**
   * The entry for the cached images of a machine, with their sizes in GB. Leaves out names that are
   * not Unicode text, which readers of earlier versions do not accept as field names.
   */
  public static JsonNode images(String machine, Map<String, Double> images) {
    CharsetEncoder unicode = StandardCharsets.UTF_8.newEncoder();
    ObjectNode cached = Json.object();
    images.forEach(
        (name, gigabytes) -> {
          if (unicode.canEncode(name)) {
            cached.put(name, gigabytes);
          }
        });
    return Json.array().add(machine).add(cached);
  }

  /** Reads an entry written by {@link #images}. */
  public static StoredImages parseImages(JsonNode entry) throws MalformedMessageException {
    requireSize(entry, 2);
    Map<String, Double> images = new LinkedHashMap<>();
    if (!entry.get(1).isObject()) {
      throw new MalformedMessageException("the images of a machine are not an object");
    }
    for (var image : entry.get(1).properties()) {
      if (!image.getValue().isNumber()) {
        throw new MalformedMessageException("the size of an image is not a number");
      }
      images.put(image.getKey(), image.getValue().asDouble());
    }
    return new StoredImages(text(entry.get(0)), images);
  }

  /** The record of the current cluster version. */
  public static ObjectNode version(int version) {
    return Json.object().put("version", version);
  }

  /** Reads the record of the current cluster version. */
  public static int parseVersion(JsonNode value) throws MalformedMessageException {
    return (int) Fields.of(value).integer("version", 1, Integer.MAX_VALUE);
  }

  /** The record of the final state of a job. */
  public static ObjectNode finalState(Job.State state) {
    return Json.object().put("state", wireName(state));
  }

  /** Reads the state from a record written by {@link #finalState} or {@link #finalStates}. */
  public static Job.State parseFinalState(JsonNode value) throws MalformedMessageException {
    return parseState(Fields.of(value).string("state"));
  }

  /** The record that names the current generation. */
  public static ObjectNode generation(Generation generation) {
    return Json.object()
        .put("base", generation.base())
        .put("whole", generation.phase() == Generation.Phase.COMPLETE)
        .put("exact", generation.exact())
        .put("member", generation.writer().controllerName())
        .put("nonce", generation.writer().nonce());
  }

  /**
   * Reads the record of the current generation.
   *
   * @param revision the record's revision, which is part of the generation
   */
  public static Generation parseGeneration(JsonNode value, long revision)
      throws MalformedMessageException {
    Fields in = Fields.of(value);
    return new Generation(
        in.integer("base", 1, MAX_NUMBER),
        revision,
        value.path("whole").asBoolean(false)
            ? Generation.Phase.COMPLETE
            : Generation.Phase.REBUILDING,
        value.path("exact").asBoolean(false),
        new Generation.Writer(in.string("member"), in.string("nonce")));
  }

  /** The record of several jobs with the same final state. */
  public static ObjectNode finalStates(Job.State state, List<String> ids) {
    ObjectNode out = finalState(state);
    ArrayNode list = out.putArray("jobs");
    ids.forEach(list::add);
    return out;
  }

  /** The job ids in a record written by {@link #finalStates}. */
  public static List<String> parseFinalStates(JsonNode value) throws MalformedMessageException {
    List<String> ids = Fields.of(value).stringsOrNull("jobs");
    if (ids == null) {
      throw new MalformedMessageException("no list of jobs");
    }
    return ids;
  }

  /** The value of the leader key. */
  public static ObjectNode leader(LeaderRecord leader) {
    return Json.object()
        .put("member", leader.controllerName())
        .put("address", leader.address())
        .put("nonce", leader.nonce());
  }

  /** Reads the value of the leader key. */
  public static LeaderRecord parseLeader(JsonNode value) throws MalformedMessageException {
    Fields in = Fields.of(value);
    return new LeaderRecord(in.string("member"), in.string("address"), in.string("nonce"));
  }

  /** The record of the machine types that can be rented. */
  public static ObjectNode machineTypes(List<MachineType> types) {
    return CloudWire.writeTypes(types);
  }

  /** Reads the record of the machine types. */
  public static List<MachineType> parseMachineTypes(JsonNode value)
      throws MalformedMessageException {
    return CloudWire.readTypes(Fields.of(value));
  }

  /** The record of all operator settings. */
  public static ObjectNode operatorSettings(OperatorSettings settings) {
    return Json.object()
        .put("initial_backoff_s", JobWire.seconds(settings.initialBackoff()))
        .put("max_backoff_s", JobWire.seconds(settings.maxBackoff()))
        .put("backoff_window_s", JobWire.seconds(settings.backoffWindow()))
        .put("idle_release_s", JobWire.seconds(settings.idleReleaseAfter()));
  }

  /** Reads operator settings; absent fields keep their current values. */
  public static OperatorSettings parseOperatorSettings(JsonNode value, OperatorSettings current)
      throws MalformedMessageException {
    ObjectNode merged = operatorSettings(current);
    if (!(value instanceof ObjectNode object)) {
      throw new MalformedMessageException("not an object");
    }
    for (var field : object.properties()) {
      if (!merged.has(field.getKey())) {
        throw new MalformedMessageException(field.getKey() + " is no setting");
      }
      merged.set(field.getKey(), field.getValue());
    }
    Fields in = new Fields(merged);
    OperatorSettings settings =
        new OperatorSettings(
            boundedSeconds(in, "initial_backoff_s", 0.01, 60),
            boundedSeconds(in, "max_backoff_s", 0.01, 3600),
            boundedSeconds(in, "backoff_window_s", 0, 60),
            boundedSeconds(in, "idle_release_s", 0, 86_400));
    if (settings.maxBackoff().compareTo(settings.initialBackoff()) < 0) {
      throw new MalformedMessageException("max_backoff_s is below initial_backoff_s");
    }
    return settings;
  }

  private static Duration boundedSeconds(Fields in, String name, double min, double max)
      throws MalformedMessageException {
    return Duration.ofNanos(Math.round(in.number(name, min, max) * 1e9));
  }
}
