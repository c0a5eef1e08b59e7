package io.pineladder.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;

/**
 * Generates spellings of one JSON object that RFC 8259 allows and that mean the same to a receiver
 * that ignores unknown fields: white space, order, escapes, forms of numbers, fields that nobody
 * knows.
 */
public final class JsonSpellings {
  private final Random random;

  /** Creates a generator; the spellings follow from the seed. */
  public JsonSpellings(long seed) {
    random = new Random(seed);
  }

  /** Returns another spelling of the object with at most this many additional bytes. */
  public String respell(ObjectNode object, int maxAddedBytes) {
    List<String> members = new ArrayList<>();
    for (Map.Entry<String, JsonNode> field : object.properties()) {
      members.add(member(field.getKey(), respellValue(field.getValue())));
    }
    int perField = maxAddedBytes / 4;
    for (int i = random.nextInt(4); i > 0; i--) {
      members.add(member("x_" + i, unknownValue(object, perField)));
    }
    if (random.nextInt(4) == 0) {
      members.add(member("x_" + "n".repeat(perField / 2), "1"));
    }
    Collections.shuffle(members, random);
    return space() + "{" + String.join(",", members) + "}" + space();
  }

  private String member(String name, String value) {
    return space() + text(name) + space() + ":" + space() + value + space();
  }

  private String respellValue(JsonNode value) {
    if (value.isTextual()) {
      return text(value.textValue());
    }
    if (value.isNumber()) {
      return number(value.decimalValue());
    }
    if (value.isArray()) {
      List<String> items = new ArrayList<>();
      value.forEach(item -> items.add(space() + respellValue(item) + space()));
      return "[" + space() + String.join(",", items) + "]";
    }
    if (value.isObject()) {
      return respell((ObjectNode) value, 200);
    }
    return value.toString();
  }

  private String space() {
    return switch (random.nextInt(6)) {
      case 0 -> " ";
      case 1 -> "\t";
      case 2 -> "\r\n  ";
      default -> "";
    };
  }

  private String text(String value) {
    return value.chars().mapToObj(this::character).collect(Collectors.joining("", "\"", "\""));
  }

  private String character(int c) {
    return switch (random.nextInt(4)) {
      case 0 -> String.format("\\u%04x", c);
      case 1 -> String.format("\\u%04X", c);
      default ->
          c == '"' || c == '\\' || (c == '/' && random.nextBoolean())
              ? "\\" + (char) c
              : Character.toString(c);
    };
  }

  /** A form of a number that is equal to it. */
  private String number(BigDecimal value) {
    int shift = random.nextInt(8) - 4;
    String exponent = (random.nextBoolean() ? "e" : "E") + (shift < 0 ? "" : sign()) + shift;
    return switch (random.nextInt(5)) {
      case 0 -> value.movePointLeft(shift).toPlainString() + exponent;
      case 1 -> value.setScale(Math.max(1, value.scale())).toPlainString() + "0".repeat(2_000);
      case 2 -> value.toPlainString() + (value.scale() > 0 ? "0" : ".0");
      case 3 -> (value.signum() == 0 ? "-" : "") + value.toPlainString();
      default -> value.toPlainString();
    };
  }

  private String sign() {
    return List.of("", "+", "+0").get(random.nextInt(3));
  }

  private String unknownValue(ObjectNode known, int maxBytes) {
    int size = Math.max(2, maxBytes / 2);
    return switch (random.nextInt(8)) {
      case 0 -> "[".repeat(size / 2) + "]".repeat(size / 2);
      case 1 -> "{\"a\":".repeat(size / 6) + "0" + "}".repeat(size / 6);
      case 2 -> "1" + "0".repeat(size);
      case 3 -> "0." + "7".repeat(size) + "e-99999999999";
      case 4 -> "1e+99999999999";
      case 5 -> text("\u00e9\ud83d\ude80 " + "y".repeat(size / 8)) + "";
      case 6 -> "\"\\ud800 alone\"";
      default -> known.toString();
    };
  }
}
