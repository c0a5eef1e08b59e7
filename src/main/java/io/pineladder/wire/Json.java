package io.pineladder.wire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/** Reads and writes JSON as trees; data binding by reflection would slow the start-up. */
public final class Json {
  private static final ObjectMapper MAPPER =
      new ObjectMapper()
          .enable(com.fasterxml.jackson.databind.DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private Json() {}

  /** An empty object. */
  public static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  /** An empty array. */
  public static ArrayNode array() {
    return JsonNodeFactory.instance.arrayNode();
  }

  /** The UTF-8 text of a tree. */
  public static byte[] bytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Reads one JSON object; anything else, or trailing text, is malformed. */
  public static ObjectNode parseObject(byte[] body) throws MalformedMessageException {
    JsonNode node;
    try {
      node = MAPPER.readTree(body);
    } catch (IOException e) {
      throw new MalformedMessageException("not JSON");
    }
    if (!(node instanceof ObjectNode object)) {
      throw new MalformedMessageException("not an object");
    }
    return object;
  }
}
