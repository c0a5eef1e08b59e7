package io.pineladder.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Typed access to the fields of a JSON object; exceptions name the invalid field. A null field
 * counts as absent.
 */
final class Fields {
  private static final double MAX_SECONDS = 1e9;

  /** Up to this value, every whole number has a double of its own. */
  private static final double MAX_EXACT_DOUBLE = 0x1p53;

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

  private JsonNode presentNode(String name) {
    JsonNode node = object.get(name);
    return node == null || node.isNull() ? null : node;
  }

  private JsonNode requiredNode(String name) throws MalformedMessageException {
    JsonNode node = presentNode(name);
    if (node == null) {
      throw new MalformedMessageException(name + " is missing");
    }
    return node;
  }

  String string(String name) throws MalformedMessageException {
    JsonNode node = requiredNode(name);
    if (!node.isTextual() || node.textValue().isEmpty()) {
      throw new MalformedMessageException(name + " is not a text");
    }
    return node.textValue();
  }

  String stringOr(String name, String defaultValue) throws MalformedMessageException {
    return presentNode(name) == null ? defaultValue : string(name);
  }

  boolean bool(String name) throws MalformedMessageException {
    JsonNode node = requiredNode(name);
    if (!node.isBoolean()) {
      throw new MalformedMessageException(name + " is not true or false");
    }
    return node.booleanValue();
  }

  boolean boolOr(String name, boolean defaultValue) throws MalformedMessageException {
    return presentNode(name) == null ? defaultValue : bool(name);
  }

  long integer(String name, long min, long max) throws MalformedMessageException {
    JsonNode node = requiredNode(name);
    if (!isWholeNumber(node)) {
      throw new MalformedMessageException(name + " is not a whole number");
    }
    long value = node.longValue();
    if (value < min || value > max) {
      throw new MalformedMessageException(name + " is out of range");
    }
    return value;
  }

  /** Whether the value is whole, also if it is written with a fraction of zero or an exponent. */
  private static boolean isWholeNumber(JsonNode node) {
    if (node.isIntegralNumber()) {
      return node.canConvertToLong();
    }
    double value = node.isNumber() ? node.doubleValue() : Double.NaN;
    return value == Math.rint(value) && Math.abs(value) <= MAX_EXACT_DOUBLE;
  }

  double number(String name, double min, double max) throws MalformedMessageException {
    JsonNode node = requiredNode(name);
    if (!node.isNumber()) {
      throw new MalformedMessageException(name + " is not a number");
    }
    double value = node.doubleValue();
    if (!(value >= min && value <= max)) {
      throw new MalformedMessageException(name + " is out of range");
    }
    // Turns -0.0 into 0.0.
    return value + 0.0;
  }

  Duration seconds(String name) throws MalformedMessageException {
    return Duration.ofNanos(Math.round(number(name, 0, MAX_SECONDS) * 1e9));
  }

  Duration secondsOrNull(String name) throws MalformedMessageException {
    return presentNode(name) == null ? null : seconds(name);
  }

  /** The strings of a list, or null if the field is absent. */
  List<String> stringsOrNull(String name) throws MalformedMessageException {
    JsonNode node = presentNode(name);
    if (node == null) {
      return null;
    }
    if (!node.isArray()) {
      throw new MalformedMessageException(name + " is not a list");
    }
    List<String> strings = new ArrayList<>();
    for (JsonNode item : node) {
      if (!item.isTextual()) {
        throw new MalformedMessageException(name + " holds something that is not a text");
      }
      strings.add(item.textValue());
    }
    return strings;
  }

  List<Fields> objects(String name) throws MalformedMessageException {
    JsonNode node = requiredNode(name);
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
    return requiredNode(name);
  }
}
