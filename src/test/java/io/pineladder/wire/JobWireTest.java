package io.pineladder.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.pineladder.model.Job;
import io.pineladder.model.JobSpec;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.BitSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class JobWireTest {
  private static final String VALID_JOB =
      """
      {"ref":"req-000412","jobclass":"train","owner":"vision","shape":"group","rank":"urgent",
       "pieces":16,"vcpus":8.5,"cards":1.0,"memory_gb":64.0,"bundle":"img-07","image_gb":6.2,
       "hulls":["g8"],"yard":null,"together":true,"spread":false,"loaners":true,"guess_s":240.0,
       "mark_every_s":30.0,"stow_s":4.0,"due_s":900.0,"novelty":[1]}\
      """;

  private static byte[] utf8(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void roundTripsStoredJob() throws MalformedMessageException {
    JobSpec spec = JobWire.parse(utf8(VALID_JOB));
    BitSet completed = new BitSet();
    completed.set(3);
    completed.set(5, 9);
    var stored =
        RecordWire.parseJob(RecordWire.job(spec, Instant.ofEpochMilli(77), Job.State.CANCELLED));
    assertEquals(spec, stored.spec());
    var completions =
        RecordWire.parseCompletions(RecordWire.completions("req-1", completed, 0, 100));
    assertEquals(completed, completions.completed());
    assertEquals(Job.State.CANCELLED, stored.state());
    assertEquals(Instant.ofEpochMilli(77), stored.acceptedAt());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "\"pieces\":16|\"pieces\":0",
        "\"pieces\":16|\"pieces\":100001",
        "\"pieces\":16|\"pieces\":1.5",
        "\"pieces\":16|\"pieces\":\"16\"",
        "\"vcpus\":8.5|\"vcpus\":-1",
        "\"vcpus\":8.5|\"vcpus\":null",
        "\"shape\":\"group\"|\"shape\":\"heap\"",
        "\"rank\":\"urgent\"|\"rank\":7",
        "\"ref\":\"req-000412\"|\"ref\":\"job-1\"",
        "\"ref\":\"req-000412\"|\"ref\":\"req-a/b\"",
        "\"hulls\":[\"g8\"]|\"hulls\":[8]",
        "\"together\":true|\"together\":1",
        "\"due_s\":900.0|\"due_s\":\"soon\"",
        "\"bundle\":\"img-07\"|\"bundle\":\"\"",
        "{\"ref\"|[{\"ref\"",
      })
  void rejectsMalformedJob(String original, String replacement) {
    String malformed = VALID_JOB.replace(original, replacement);
    assertThrows(MalformedMessageException.class, () -> JobWire.parse(utf8(malformed)), malformed);
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "7", "null", "[]", "{", "{} x"})
  void rejectsBodyThatIsNotAnObject(String body) {
    assertThrows(MalformedMessageException.class, () -> JobWire.parse(utf8(body)));
  }

  @Test
  void rejectsBodyOver64KiB() {
    String padded = VALID_JOB.replace("[1]", "\"" + "x".repeat(JobWire.MAX_BODY_BYTES) + "\"");
    assertThrows(MalformedMessageException.class, () -> JobWire.parse(utf8(padded)));
  }
}
