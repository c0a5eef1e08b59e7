package io.pineladder.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Typed reads of the fields of one JSON object; the exception names the field that is wrong. A
 * field that is null counts as absent.
 */
final class Fields {
  private static final double MAX_SECONDS = 1e9;

  private final ObjectNode object;

  Fields(ObjectNode object) {
    this.object = object;
  }

  static Fields of(JsonNode node) throws MalformedMessageException {
    if (!(node instanceof ObjectNode object)) {
      throw new MalformedMessageException("not an object");
    }
    return new Fields(object);
  }

  private JsonNode present(String name) {
    JsonNode node = object.get(name);
    return node == null || node.isNull() ? null : node;
  }

  private JsonNode required(String name) throws MalformedMessageException {
    JsonNode node = present(name);
    if (node == null) {
      throw new MalformedMessageException(name + " is missing");
    }
    return node;
  }

  String text(String name) throws MalformedMessageException {
    JsonNode node = required(name);
    if (!node.isTextual() || node.textValue().isEmpty()) {
      throw new MalformedMessageException(name + " is not a text");
    }
    return node.textValue();
  }

  String textOr(String name, String fallback) throws MalformedMessageException {
    return present(name) == null ? fallback : text(name);
  }

  boolean bool(String name) throws MalformedMessageException {
    JsonNode node = required(name);
    if (!node.isBoolean()) {
      throw new MalformedMessageException(name + " is not true or false");
    }
    return node.booleanValue();
  }

  boolean boolOr(String name, boolean fallback) throws MalformedMessageException {
    return present(name) == null ? fallback : bool(name);
  }

  long integer(String name, long min, long max) throws MalformedMessageException {
    JsonNode node = required(name);
    if (!node.isIntegralNumber() || !node.canConvertToLong()) {
      throw new MalformedMessageException(name + " is not a whole number");
    }
    long value = node.longValue();
    if (value < min || value > max) {
      throw new MalformedMessageException(name + " is out of range");
    }
    return value;
  }

  double number(String name, double min, double max) throws MalformedMessageException {
    JsonNode node = required(name);
    if (!node.isNumber()) {
      throw new MalformedMessageException(name + " is not a number");
    }
    double value = node.doubleValue();
    if (!(value >= min && value <= max)) {
      throw new MalformedMessageException(name + " is out of range");
    }
    return value;
  }

  Duration seconds(String name) throws MalformedMessageException {
    return Duration.ofNanos(Math.round(number(name, 0, MAX_SECONDS) * 1e9));
  }

  Duration secondsOrNull(String name) throws MalformedMessageException {
    return present(name) == null ? null : seconds(name);
  }

  /** The texts of a list, or null when the field is absent. */
  List<String> textsOrNull(String name) throws MalformedMessageException {
    JsonNode node = present(name);
    if (node == null) {
      return null;
    }
    if (!node.isArray()) {
      throw new MalformedMessageException(name + " is not a list");
    }
    List<String> texts = new ArrayList<>();
    for (JsonNode item : node) {
      if (!item.isTextual()) {
        throw new MalformedMessageException(name + " holds something that is not a text");
      }
      texts.add(item.textValue());
    }
    return texts;
  }

  List<Fields> objects(String name) throws MalformedMessageException {
    JsonNode node = required(name);
    if (!node.isArray()) {
      throw new MalformedMessageException(name + " is not a list");
    }
    List<Fields> items = new ArrayList<>(node.size());
    for (JsonNode item : node) {
      items.add(of(item));
    }
    return items;
  }

  JsonNode node(String name) throws MalformedMessageException {
    return required(name);
  }
}
