package io.pineladder.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.model.DeliveryProgress;
import io.pineladder.model.Job;
import io.pineladder.model.Notification;
import io.pineladder.model.Subscription;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Stored subscriptions with their progress, and the events that are delivered to subscribers. */
public final class DeliveryWire {
  /** CloudEvents 1.0, structured mode in JSON. */
  public static final String CONTENT_TYPE = "application/cloudevents+json; charset=utf-8";

  /** The type of an event for a job that is done. */
  public static final String JOB_DONE = "io.pineladder.job.done";

  /** The type of an event for a cancelled job. */
  public static final String JOB_CANCELLED = "io.pineladder.job.cancelled";

  /** The type of an event for notifications that exceeded their retention and were dropped. */
  public static final String NOTIFICATIONS_LOST = "io.pineladder.notices.lost";

  private static final long MAX_NUMBER = Long.MAX_VALUE;

  private DeliveryWire() {}

  // ---- stored records

  private static ArrayNode parseStringSet(Collection<String> values) {
    ArrayNode out = Json.array();
    values.forEach(out::add);
    return out;
  }

  private static List<String> textList(JsonNode node) {
    List<String> out = new ArrayList<>();
    node.forEach(each -> out.add(each.asText()));
    return out;
  }

  /** The texts of a list, each once. */
  public static Set<String> parseStringSet(JsonNode node) {
    return Set.copyOf(textList(node));
  }

  /** The stored form of a subscription. */
  public static ObjectNode subscription(Subscription from) {
    ObjectNode out =
        Json.object()
            .put("name", from.name())
            .put("incarnation", from.incarnation())
            .put("url", from.url())
            .put("since", from.createdAfterNumber());
    ArrayNode filters = out.putArray("filters");
    for (Subscription.Filter filter : from.filters()) {
      ObjectNode one = filters.addObject().put("after", filter.afterNumber());
      one.set("owners", parseStringSet(filter.teams().stream().sorted().toList()));
      one.set("classes", parseStringSet(filter.classes().stream().sorted().toList()));
    }
    out.set("secrets", parseStringSet(from.secrets()));
    out.put("status", from.status().name().toLowerCase(Locale.ROOT));
    return from.reason() == null ? out : out.put("reason", from.reason());
  }

  /** Reads a stored subscription. */
  public static Subscription parseSubscription(JsonNode value) throws MalformedMessageException {
    Fields in = Fields.of(value);
    List<Subscription.Filter> filters = new ArrayList<>();
    for (JsonNode filter : in.node("filters")) {
      filters.add(
          new Subscription.Filter(
              Fields.of(filter).integer("after", 0, MAX_NUMBER),
              parseStringSet(filter.path("owners")),
              parseStringSet(filter.path("classes"))));
    }
    if (filters.isEmpty()) {
      throw new MalformedMessageException("filters is empty");
    }
    Subscription.Status status;
    try {
      status = Subscription.Status.valueOf(in.text("status").toUpperCase(Locale.ROOT));
    } catch (IllegalArgumentException e) {
      throw new MalformedMessageException("unknown status");
    }
    return new Subscription(
        in.text("name"),
        in.text("incarnation"),
        in.text("url"),
        in.integer("since", 0, MAX_NUMBER),
        List.copyOf(filters),
        textList(in.node("secrets")),
        status,
        in.textOr("reason", null));
  }

  /** A page of the delivery progress that subscribers have confirmed, by event source. */
  public static ObjectNode progress(Map<String, DeliveryProgress> entries) {
    ObjectNode out = Json.object();
    ArrayNode list = out.putArray("progress");
    entries.forEach(
        (source, at) ->
            list.addArray()
                .add(source)
                .add(at.lastNumber())
                .add(at.lastSequence())
                .add(at.firstLostSequence()));
    return out;
  }

  /** Reads a page that {@link #progress} wrote. */
  public static Map<String, DeliveryProgress> parseProgress(JsonNode value)
      throws MalformedMessageException {
    Map<String, DeliveryProgress> out = new LinkedHashMap<>();
    for (JsonNode entry : Fields.of(value).node("progress")) {
      if (entry.size() != 4) {
        throw new MalformedMessageException("a subscriber's progress does not have its 4 parts");
      }
      out.put(
          entry.get(0).asText(),
          new DeliveryProgress(
              entry.get(1).asLong(), entry.get(2).asLong(), entry.get(3).asLong()));
    }
    return out;
  }

  /** The stored form of the allowed destination networks. */
  public static ObjectNode networks(Collection<String> networks) {
    ObjectNode out = Json.object();
    out.set("networks", parseStringSet(networks));
    return out;
  }

  /** Reads a list of networks; their notation is not checked here. */
  public static List<String> parseNetworks(JsonNode value) throws MalformedMessageException {
    JsonNode list = Fields.of(value).node("networks");
    if (!list.isArray()) {
      throw new MalformedMessageException("networks is not a list");
    }
    for (JsonNode each : list) {
      if (!each.isTextual()) {
        throw new MalformedMessageException("networks holds something that is not a text");
      }
    }
    return textList(list);
  }

  // ---- events

  /** The unique id of an event; the same on every repeated delivery. */
  public static String eventId(Subscription subscription, long sequence) {
    return subscription.name() + "." + subscription.incarnation() + "." + sequence;
  }

  private static ObjectNode event(Subscription subscription, long sequence, String type) {
    return Json.object()
        .put("specversion", "1.0")
        .put("id", eventId(subscription, sequence))
        .put("source", subscription.source())
        .put("type", type);
  }

  /** The event for a notification; byte for byte the same on every repeated delivery. */
  public static byte[] event(Subscription subscription, long sequence, Notification notification) {
    ObjectNode event =
        event(
                subscription,
                sequence,
                notification.finalState() == Job.State.DONE ? JOB_DONE : JOB_CANCELLED)
            .put("subject", notification.job())
            .put("time", notification.endedAt().toString())
            .put("datacontenttype", "application/json")
            // The sequence extension: a text whose order is that of the numbers.
            .put("sequence", String.format(Locale.ROOT, "%019d", sequence));
    event
        .putObject("data")
        .put("job", notification.job())
        .put("owner", notification.team())
        .put("class", notification.jobClass())
        .put("answer", RecordWire.wireName(notification.finalState()))
        .put("tasks", notification.tasks());
    return Json.bytes(event);
  }

  /** The event for a range of sequence numbers that will never be delivered. */
  public static byte[] lostEvent(Subscription subscription, long firstSequence, long lastSequence) {
    ObjectNode event =
        event(subscription, lastSequence, NOTIFICATIONS_LOST)
            .put("datacontenttype", "application/json")
            .put("sequence", String.format(Locale.ROOT, "%019d", lastSequence));
    event.putObject("data").put("first", firstSequence).put("last", lastSequence);
    return Json.bytes(event);
  }

  /**
   * An event at its receiver.
   *
   * @param firstSequence the first lost sequence number; for other events the same as {@code
   *     sequence}
   */
  public record Event(
      String source, String type, long firstSequence, long sequence, ObjectNode json) {}

  /** Reads an event; the exception names the field that is wrong. */
  public static Event parseEvent(byte[] body) throws MalformedMessageException {
    ObjectNode json = Json.parseObject(body);
    Fields in = Fields.of(json);
    if (!in.text("specversion").equals("1.0")) {
      throw new MalformedMessageException("specversion is not 1.0");
    }
    in.text("id");
    String source = in.text("source");
    String type = in.text("type");
    long sequence;
    try {
      sequence = Long.parseLong(in.text("sequence"));
    } catch (NumberFormatException e) {
      throw new MalformedMessageException("sequence is not a number");
    }
    long firstSequence =
        type.equals(NOTIFICATIONS_LOST)
            ? Fields.of(in.node("data")).integer("first", 1, sequence)
            : sequence;
    if (sequence < 1) {
      throw new MalformedMessageException("sequence is below 1");
    }
    return new Event(source, type, firstSequence, sequence, json);
  }

  /** A receiver's response: the last sequence number that it has stored. */
  public static byte[] positionResponse(long position) {
    return Json.bytes(Json.object().put("position", position));
  }

  /** The position in a receiver's response; -1 when it names none. */
  public static long parsePosition(byte[] body) {
    try {
      JsonNode position = Json.parseObject(body).path("position");
      return position.canConvertToLong() && position.asLong() >= 0 && position.isIntegralNumber()
          ? position.asLong()
          : -1;
    } catch (MalformedMessageException e) {
      return -1;
    }
  }
}
