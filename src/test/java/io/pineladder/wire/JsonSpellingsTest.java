package io.pineladder.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** All spellings of the same values give the same job and the same heartbeat. */
class JsonSpellingsTest {
  private static final int SPELLINGS = 400;
  private static final int MAX_ADDED_BYTES = 30_000;
  private static final int SMALL_STACK_BYTES = 128 * 1024;

  private static ObjectNode job() throws MalformedMessageException {
    return object(
        "{'ref':'req-118439','jobclass':'trip/rebuild','owner':'fortcrew','shape':'array',"
            + "'rank':'standard','pieces':3,'vcpus':8.0,'cards':0.0,'memory_gb':9.3,"
            + "'bundle':'img-300','image_gb':0.3,'hulls':['g4','g8'],'yard':null,'together':false,"
            + "'spread':false,'loaners':true,'guess_s':12.0,'mark_every_s':0.0,'stow_s':0.0,"
            + "'due_s':900.5,'waits_on':['req-7','req-8']}");
  }

  private static ObjectNode heartbeat() throws MalformedMessageException {
    return object(
        "{'host':'m-000231','addr':'10.1.0.232:9000','hull':'g8','yard':'a','loaners':true,"
            + "'shift':1,'tally':88,'baton':41,'recall_s':null,"
            + "'pieces':[{'piece':'req-000412/3','try':512753701,'status':'running'},"
            + "{'piece':'req-000398/0','try':1,'status':'ended','cause':'done'}]}");
  }

  private static ObjectNode object(String json) throws MalformedMessageException {
    return Json.parseObject(bytes(json.replace('\'', '"')));
  }

  private static byte[] bytes(String json) {
    return json.getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void neverRefusesOrChangesJobForItsSpelling() throws MalformedMessageException {
    ObjectNode job = job();
    JsonSpellings spellings = new JsonSpellings(57);
    for (int i = 0; i < SPELLINGS; i++) {
      byte[] body = bytes(spellings.respell(job, MAX_ADDED_BYTES));
      assertTrue(body.length <= JobWire.MAX_BODY_BYTES, body.length + " bytes");
      assertEquals(JobWire.parse(Json.bytes(job)), JobWire.parse(body));
    }
  }

  @Test
  void neverRefusesOrChangesHeartbeatForItsSpelling() throws MalformedMessageException {
    ObjectNode heartbeat = heartbeat();
    JsonSpellings spellings = new JsonSpellings(58);
    for (int i = 0; i < SPELLINGS; i++) {
      byte[] body = bytes(spellings.respell(heartbeat, MAX_ADDED_BYTES));
      assertEquals(
          WorkerWire.parseHeartbeat(Json.bytes(heartbeat)), WorkerWire.parseHeartbeat(body));
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"1.5", "0.0", "1e6", "3e-1", "1e99999999999", "\"3\"", "true"})
  void refusesCountThatIsNoWholeNumberInRange(String count) throws MalformedMessageException {
    String body = job().toString().replace("\"pieces\":3", "\"pieces\":" + count);
    assertThrows(MalformedMessageException.class, () -> JobWire.parse(bytes(body)));
  }

  /** The deepest and longest values that fit, parsed with a small stack in bounded time. */
  @ParameterizedTest
  @ValueSource(strings = {"[", "{\"a\":", "9", "0.9", "\"", "[9,"})
  void parsesLargestUnknownValueWithSmallStack(String repeated) throws Exception {
    int count = 60_000 / repeated.length();
    String value =
        switch (repeated) {
          case "[" -> "[".repeat(count / 2) + "]".repeat(count / 2);
          case "{\"a\":" -> repeated.repeat(count / 2) + "1" + "}".repeat(count / 2);
          case "0.9" -> "0." + "9".repeat(60_000);
          case "\"" -> '"' + "a".repeat(60_000) + '"';
          case "[9," -> "[" + "9,".repeat(29_000) + "9]";
          default -> "9".repeat(60_000);
        };
    byte[] body = bytes(job().toString().replace("{\"ref\"", "{\"x_deep\":" + value + ",\"ref\""));
    Throwable[] failure = new Throwable[1];
    Thread thread =
        new Thread(
            null,
            () -> {
              try {
                for (int i = 0; i < 50; i++) {
                  JobWire.parse(body);
                }
              } catch (MalformedMessageException | StackOverflowError e) {
                failure[0] = e;
              }
            },
            "parser",
            SMALL_STACK_BYTES);
    thread.start();
    thread.join(Duration.ofSeconds(20).toMillis());
    assertTrue(!thread.isAlive(), "not parsed in time");
    assertNull(failure[0]);
  }
}
