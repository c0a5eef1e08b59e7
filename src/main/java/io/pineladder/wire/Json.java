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
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Reader;
import java.nio.charset.StandardCharsets;

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

  private static final ObjectReader WHOLE_TEXT_READER = MAPPER.reader();

  private static final ObjectReader VALUE_READER =
      MAPPER.reader().without(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private Json() {}

  /** Reads a JSON text token by token. */
  interface TokenReader<T> {
    T read(JsonParser parser) throws IOException, MalformedMessageException;
  }

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

  /** Reads a text with a parser; the reader may be called twice and must not retain any state. */
  static <T> T read(byte[] json, TokenReader<T> reader) throws MalformedMessageException {
    try (JsonParser parser = MAPPER.createParser(json)) {
      return reader.read(parser);
    } catch (IOException e) {
      return readAsCharacters(json, reader);
    }
  }

  /**
   * Reads a text that the parser of bytes does not accept: field names with an escaped surrogate
   * that has no partner are valid JSON, but only the parser of characters reads them.
   */
  private static <T> T readAsCharacters(byte[] json, TokenReader<T> reader)
      throws MalformedMessageException {
    Reader characters =
        new InputStreamReader(new ByteArrayInputStream(json), StandardCharsets.UTF_8.newDecoder());
    try (JsonParser parser = MAPPER.createParser(characters)) {
      return reader.read(parser);
    } catch (IOException e) {
      throw new MalformedMessageException("not JSON");
    }
  }

  /** Reads the value at the parser's current token, within a body that goes on after it. */
  static JsonNode tree(JsonParser parser) throws IOException {
    return VALUE_READER.readTree(parser);
  }

  /** Reads a single JSON value; trailing content is malformed. */
  public static JsonNode parse(byte[] json) throws MalformedMessageException {
    JsonNode value = read(json, WHOLE_TEXT_READER::readTree);
    if (value == null || value.isMissingNode()) {
      throw new MalformedMessageException("not JSON");
    }
    return value;
  }

  /** Reads JSON that {@link #bytes} has encoded or that was parsed before. */
  public static JsonNode decode(byte[] json) {
    try {
      return parse(json);
    } catch (MalformedMessageException e) {
      throw new IllegalStateException("encoded JSON cannot be read back", e);
    }
  }

  /** Reads a single JSON object; any other value or trailing content is malformed. */
  public static ObjectNode parseObject(byte[] body) throws MalformedMessageException {
    if (!(parse(body) instanceof ObjectNode object)) {
      throw new MalformedMessageException("not an object");
    }
    return object;
  }
}
