package io.pineladder.delivery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pineladder.delivery.receiver.NotificationJournal;
import io.pineladder.delivery.receiver.Receiver;
import io.pineladder.model.Job;
import io.pineladder.model.Notification;
import io.pineladder.model.Subscription;
import io.pineladder.wire.DeliveryWire;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A receiver with its journal, ended in the middle of a write and otherwise mistreated. */
class NotificationJournalTest {
  private static final byte[] SECRET = new byte[24];
  private static final Instant NOW = Instant.parse("2026-01-02T03:04:05Z");
  private static final Subscription DESK =
      new Subscription(
          "desk",
          "1",
          "http://192.0.2.1/",
          0,
          List.of(new Subscription.Filter(0, Set.of(), Set.of())),
          List.of(),
          Subscription.Status.ACTIVE,
          null);

  @TempDir Path folder;

  private static byte[] event(long sequence) {
    return DeliveryWire.event(
        DESK,
        sequence,
        new Notification(sequence, "job-" + sequence, "red", "würfel", Job.State.DONE, 1, NOW));
  }

  private static Receiver.Reply send(
      Receiver receiver, String id, byte[] body, Instant signedAt, byte[] secret) {
    Map<String, String> headers =
        Map.of(
            WebhookSignature.ID, id,
            WebhookSignature.TIMESTAMP, Long.toString(signedAt.getEpochSecond()),
            WebhookSignature.SIGNATURE, WebhookSignature.sign(List.of(secret), id, signedAt, body));
    return receiver.receive(headers::get, body);
  }

  private static Receiver.Reply send(Receiver receiver, long sequence) {
    return send(receiver, DeliveryWire.eventId(DESK, sequence), event(sequence), NOW, SECRET);
  }

  private static Receiver receiver(NotificationJournal journal) {
    return new Receiver(List.of(SECRET), journal, Clock.fixed(NOW, ZoneOffset.UTC));
  }

  @Test
  void eachNoticeIsTakenOnceAndInOrder() throws IOException {
    Path file = folder.resolve("journal");
    try (NotificationJournal journal = new NotificationJournal(file)) {
      Receiver receiver = receiver(journal);
      assertEquals(200, send(receiver, 1).status());
      assertEquals(409, send(receiver, 3).status());
      assertEquals(1, DeliveryWire.parsePosition(send(receiver, 3).body()));
      assertEquals(200, send(receiver, 2).status());
      Receiver.Reply repeat = send(receiver, 1);
      assertEquals(200, repeat.status());
      assertEquals(2, DeliveryWire.parsePosition(repeat.body()));
      assertThrows(IOException.class, () -> new NotificationJournal(file), "it is in use");
      byte[] lost = DeliveryWire.lostEvent(DESK, 2, 5);
      assertEquals(200, send(receiver, DeliveryWire.eventId(DESK, 5), lost, NOW, SECRET).status());
    }
    try (NotificationJournal journal = new NotificationJournal(file)) {
      assertEquals(5, journal.lastSequence(DESK.source()));
    }
    assertEquals(3, Files.readAllLines(file).size());
  }

  /**
   * Whatever part of the last line a crash leaves, the lines before it stand and it is sent again.
   */
  @Test
  void aTornLastLineIsCutOff() throws IOException {
    Path file = folder.resolve("journal");
    try (NotificationJournal journal = new NotificationJournal(file)) {
      Receiver receiver = receiver(journal);
      send(receiver, 1);
      send(receiver, 2);
    }
    byte[] whole = Files.readAllBytes(file);
    int first = new String(whole, java.nio.charset.StandardCharsets.ISO_8859_1).indexOf('\n') + 1;
    for (int length = first; length < whole.length; length++) {
      Files.write(file, Arrays.copyOf(whole, length));
      try (NotificationJournal journal = new NotificationJournal(file)) {
        assertEquals(1, journal.lastSequence(DESK.source()), length + " bytes");
        send(receiver(journal), 2);
      }
      assertEquals(whole.length, Files.size(file));
    }
  }

  @Test
  void damageElsewhereIsRefusedWithItsPlace() throws IOException {
    Path file = folder.resolve("journal");
    try (NotificationJournal journal = new NotificationJournal(file)) {
      Receiver receiver = receiver(journal);
      send(receiver, 1);
      send(receiver, 2);
      send(receiver, 3);
    }
    byte[] whole = Files.readAllBytes(file);
    whole[whole.length / 2] ^= 1;
    Files.write(file, whole);
    IOException refused = assertThrows(IOException.class, () -> new NotificationJournal(file));
    assertTrue(refused.getMessage().contains("line 2, byte "), refused.getMessage());
  }

  @Test
  void whatIsNotFromTheSenderOrNotOfNowIsRefused() throws IOException {
    try (NotificationJournal journal = new NotificationJournal(folder.resolve("journal"))) {
      Receiver receiver = receiver(journal);
      String id = DeliveryWire.eventId(DESK, 1);
      assertEquals(401, send(receiver, id, event(1), NOW, new byte[] {1}).status());
      Duration bound = Receiver.TOLERANCE;
      assertEquals(
          425, send(receiver, id, event(1), NOW.plus(bound).plusSeconds(1), SECRET).status());
      assertEquals(
          425, send(receiver, id, event(1), NOW.minus(bound).minusSeconds(1), SECRET).status());
      assertEquals(400, send(receiver, "another", event(1), NOW, SECRET).status());
      assertEquals(400, receiver.receive(name -> null, event(1)).status());
      assertEquals(0, journal.lastSequence(DESK.source()));
      assertEquals(200, send(receiver, id, event(1), NOW.plus(bound), SECRET).status());
      assertEquals(200, send(receiver, id, event(1), NOW.minus(bound), SECRET).status());
    }
  }
}
