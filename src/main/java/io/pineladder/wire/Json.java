package io.pineladder.wire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/** Reads and writes JSON as trees; reflective data binding would slow down the start-up. */
public final class Json {
  private static final ObjectMapper MAPPER =
      new ObjectMapper()
          .enable(com.fasterxml.jackson.databind.DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private Json() {}

  public static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  public static ArrayNode array() {
    return JsonNodeFactory.instance.arrayNode();
  }

  /** Encodes a tree as JSON in UTF-8. */
  public static byte[] bytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Reads a single JSON object; any other value or trailing content is malformed. */
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
