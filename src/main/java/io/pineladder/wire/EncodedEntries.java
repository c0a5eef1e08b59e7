package io.pineladder.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * A response of the key-value store with a list of entries. The values of the entries are copied as
 * encoded JSON instead of being parsed: a value of many small parts takes about eight times its
 * size as a tree, and a response may hold all records.
 */
final class EncodedEntries {
  private static final String VALUE_FIELD = "v";

  private final byte[] body;
  private final ObjectNode fields = Json.object();
  private List<Item> items;

  private EncodedEntries(byte[] body) {
    this.body = body;
  }

  /**
   * One entry of the list.
   *
   * @param fields the fields of the entry without its value
   * @param value the encoded value; null if it is absent or null
   */
  record Item(Fields fields, byte[] value) {
    byte[] requiredValue() throws MalformedMessageException {
      if (value == null) {
        throw new MalformedMessageException(VALUE_FIELD + " is missing");
      }
      return value;
    }
  }

  /**
   * Reads a response.
   *
   * @param listField the field with the list of entries
   */
  static EncodedEntries read(byte[] body, String listField) throws MalformedMessageException {
    return Json.read(body, parser -> read(body, parser, listField));
  }

  private static EncodedEntries read(byte[] body, JsonParser parser, String listField)
      throws IOException, MalformedMessageException {
    EncodedEntries response = new EncodedEntries(body);
    response.readFields(parser, listField);
    if (response.items == null) {
      throw new MalformedMessageException(listField + " is missing");
    }
    return response;
  }

  /** The fields of the response without the list. */
  Fields fields() {
    return new Fields(fields);
  }

  /** The entries in their order. */
  List<Item> items() {
    return items;
  }

  private void readFields(JsonParser parser, String listField)
      throws IOException, MalformedMessageException {
    requireObject(parser.nextToken());
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      JsonToken token = parser.nextToken();
      if (!name.equals(listField)) {
        fields.set(name, Json.tree(parser));
      } else if (token == JsonToken.START_ARRAY) {
        items = readItems(parser);
      } else {
        throw new MalformedMessageException(listField + " is not a list");
      }
    }
    if (parser.nextToken() != null) {
      throw new MalformedMessageException("not JSON");
    }
  }

  private List<Item> readItems(JsonParser parser) throws IOException, MalformedMessageException {
    List<Item> read = new ArrayList<>();
    for (JsonToken token = parser.nextToken();
        token != JsonToken.END_ARRAY;
        token = parser.nextToken()) {
      requireObject(token);
      read.add(readItem(parser));
    }
    return read;
  }

  private Item readItem(JsonParser parser) throws IOException {
    ObjectNode itemFields = Json.object();
    byte[] value = null;
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      parser.nextToken();
      if (name.equals(VALUE_FIELD)) {
        value = readValue(parser);
      } else {
        itemFields.set(name, Json.tree(parser));
      }
    }
    return new Item(new Fields(itemFields), value);
  }

  private byte[] readValue(JsonParser parser) throws IOException {
    long from = parser.currentTokenLocation().getByteOffset();
    if (from < 0 || !parser.currentToken().isStructStart()) {
      // The offsets of other tokens, and of text that is not UTF-8, are not those of the bytes.
      JsonNode value = Json.tree(parser);
      return value.isNull() ? null : Json.bytes(value);
    }
    parser.skipChildren();
    return Arrays.copyOfRange(body, (int) from, (int) parser.currentLocation().getByteOffset());
  }

  private static void requireObject(JsonToken token) throws MalformedMessageException {
    if (token != JsonToken.START_OBJECT) {
      throw new MalformedMessageException("not an object");
    }
  }
}
