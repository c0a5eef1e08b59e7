package io.pineladder.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Responses of the store with encoded values, compared with the parsed responses. */
class StoreResponsesTest {
  private static final int SPELLINGS = 300;
  private static final int MAX_ADDED_BYTES = 20_000;

  private static ObjectNode response(String list, String key) {
    ObjectNode response = Json.object().put("epoch", 431).put("truncated", true);
    ArrayNode entries = response.putArray(list);
    for (JsonNode value :
        List.of(
            Json.object().put("text", "a \"b\" \\ {[é\u2028]}").set("list", Json.array().add(1)),
            Json.array().add("x").add(Json.object()),
            Json.object(),
            Json.array().add(7).get(0),
            Json.array().add("text").get(0))) {
      entries.addObject().put(key, "g7/k/" + entries.size()).put("stamp", 400).set("v", value);
    }
    return response;
  }

  private static void assertSameEntries(
      byte[] body, String list, String key, List<StoreWire.Entry> read)
      throws MalformedMessageException {
    JsonNode expected = Json.parseObject(body).get(list);
    assertEquals(expected.size(), read.size());
    for (int i = 0; i < read.size(); i++) {
      assertEquals(expected.get(i).get(key).asText(), "g7/" + read.get(i).key());
      assertEquals(expected.get(i).get("v"), read.get(i).value());
      assertEquals(400, read.get(i).revision());
    }
  }

  @Test
  void valuesAreThoseOfParsedResponsesInAnySpelling() throws MalformedMessageException {
    JsonSpellings spellings = new JsonSpellings(59);
    ObjectNode page = response("entries", "path");
    ObjectNode changes = response("log", "write");
    for (int i = 0; i < SPELLINGS; i++) {
      byte[] pageBody = bytes(spellings.respell(page, MAX_ADDED_BYTES));
      StoreWire.Page readPage = StoreWire.parsePage(pageBody, "g7/");
      assertSameEntries(pageBody, "entries", "path", readPage.entries());
      assertEquals(431, readPage.revision());
      assertTrue(readPage.hasMore());
      byte[] changesBody = bytes(spellings.respell(changes, MAX_ADDED_BYTES));
      assertSameEntries(
          changesBody, "log", "write", StoreWire.parseChanges(changesBody, "g7/").entries());
    }
  }

  @Test
  void deletionHasNoValue() throws MalformedMessageException {
    String body = "{\"epoch\":5,\"log\":[{\"remove\":\"a/b\",\"stamp\":5}]}";
    StoreWire.Entry deletion = StoreWire.parseChanges(bytes(body), "").entries().get(0);
    assertTrue(deletion.isDeletion());
    assertNull(deletion.value());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "[]",
        "{\"epoch\":5,\"log\":[{\"write\":\"a\",\"v\":{},\"stamp\":5}]",
        "{\"epoch\":5,\"log\":[{\"write\":\"a\",\"v\":{\"b\":[1}],\"stamp\":5}]}",
        "{\"epoch\":5,\"log\":[{\"write\":\"a\",\"stamp\":5}]}",
        "{\"epoch\":5,\"log\":[{\"write\":\"a\",\"v\":null,\"stamp\":5}]}",
        "{\"epoch\":5,\"log\":[7]}",
        "{\"epoch\":5,\"log\":{}}",
        "{\"epoch\":5}",
        "{\"epoch\":5,\"log\":[]} 7"
      })
  void refusesMalformedResponse(String body) {
    assertThrows(
        MalformedMessageException.class, () -> StoreWire.parseChanges(bytes(body), ""), body);
  }

  private static byte[] bytes(String json) {
    return json.getBytes(StandardCharsets.UTF_8);
  }
}
