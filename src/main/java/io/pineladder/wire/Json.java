package io.pineladder.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/** Reads and writes JSON as trees; reflective data binding would slow down the start-up. */
public final class Json {
  /**
   * Valid JSON of any depth and with names and numbers of any length is accepted, since unknown
   * fields may hold anything; the size of the body bounds them all.
   */
  private static final StreamReadConstraints NO_LIMITS =
      StreamReadConstraints.builder()
          .maxNestingDepth(Integer.MAX_VALUE)
          .maxNameLength(Integer.MAX_VALUE)
          .maxNumberLength(Integer.MAX_VALUE)
          .build();

  private static final ObjectMapper MAPPER =
      new ObjectMapper(
              JsonFactory.builder()
                  .streamReadConstraints(NO_LIMITS)
                  // The parsers of the JDK take time quadratic in the number of digits.
                  .enable(StreamReadFeature.USE_FAST_BIG_NUMBER_PARSER)
                  .enable(StreamReadFeature.USE_FAST_DOUBLE_PARSER)
                  // Names are chosen by clients, so interning them would let memory grow.
                  .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
                  .build())
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private static final ObjectReader VALUE_READER =
      MAPPER.reader().without(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

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

  /** Creates a parser for a body that is read token by token. */
  static JsonParser parser(byte[] body) throws IOException {
    return MAPPER.createParser(body);
  }

  /** Reads the value at the parser's current token, within a body that goes on after it. */
  static JsonNode tree(JsonParser parser) throws IOException {
    return VALUE_READER.readTree(parser);
  }

  /** Reads a JSON value; a missing node if the bytes are not JSON. */
  public static JsonNode parseOrMissing(byte[] json) {
    try {
      return MAPPER.readTree(json);
    } catch (IOException e) {
      return MissingNode.getInstance();
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
