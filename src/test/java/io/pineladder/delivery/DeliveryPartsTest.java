package io.pineladder.delivery;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pineladder.wire.Json;
import io.pineladder.wire.MalformedMessageException;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Signatures, secrets, destinations and the schema. */
class DeliveryPartsTest {
  /** The example that the implementations of Standard Webhooks are tested with. */
  @Test
  void signaturesAreThoseOfStandardWebhooks() {
    byte[] secret = WebhookSignature.parseSecret("whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw");
    byte[] body = "{\"test\": 2432232314}".getBytes(StandardCharsets.UTF_8);
    String id = "msg_p5jXN8AQM9LWM0D4loKWxJek";
    String signed =
        WebhookSignature.sign(List.of(secret), id, Instant.ofEpochSecond(1614265330), body);
    assertEquals("v1,g0hM9SsE+OTPJTGt/tmIKtSyZlE3uFJELVlNIOLJ1OE=", signed);
  }

  /** While one secret replaces the other, a receiver that knows either takes the notice. */
  @Test
  void eitherOfTwoSecretsIsGood() {
    byte[] old = new byte[24];
    byte[] fresh = new byte[32];
    fresh[0] = 1;
    byte[] body = {1, 2, 3};
    String signed =
        WebhookSignature.sign(List.of(old, fresh), "id", Instant.ofEpochSecond(9), body);
    assertTrue(WebhookSignature.verify(List.of(old), "id", "9", body, signed));
    assertTrue(WebhookSignature.verify(List.of(fresh), "id", "9", body, signed));
    assertFalse(
        WebhookSignature.verify(
            List.of("another secret".getBytes(StandardCharsets.UTF_8)), "id", "9", body, signed));
    assertFalse(WebhookSignature.verify(List.of(old), "id", "8", body, signed));
    assertFalse(WebhookSignature.verify(List.of(old), "id", "9", body, "v1,*** v2,AAAA"));
  }

  @Test
  void aSealedSecretOpensForItsPurposeOnly() {
    SecretCipher box = new SecretCipher(new byte[32]);
    byte[] secret = {1, 2, 3};
    String encrypted = box.seal("desk", secret);
    assertArrayEquals(secret, box.open("desk", encrypted));
    assertThrows(IllegalArgumentException.class, () -> box.open("other", encrypted));
    byte[] key = new byte[32];
    key[31] = 1;
    assertThrows(
        IllegalArgumentException.class, () -> new SecretCipher(key).open("desk", encrypted));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "10.1.2.3/24",
        "010.0.0.0/8",
        "10.0.0.0/8 ",
        "2001:DB8::/32",
        "2001:db8:0::/48",
        "*",
        "",
        "10.*.*.*",
        "10.0.0.0/255.0.0.0",
        "example.org",
        "::ffff:10.0.0.1/33",
        "0x7f.1",
        "10.1",
        "0.0.0.0",
        "10.0.0.0/33"
      })
  void whatIsNoNetworkInCanonicalFormIsRefused(String text) {
    assertThrows(
        IllegalArgumentException.class, () -> new DestinationPolicy(List.of(text), Set.of()), text);
  }

  private static boolean allows(DestinationPolicy of, String address) throws UnknownHostException {
    return of.allows(InetAddress.getByName(address));
  }

  @Test
  void onlyListedNetworksAreSentTo() throws UnknownHostException {
    DestinationPolicy none = new DestinationPolicy(List.of(), Set.of());
    assertFalse(allows(none, "192.0.2.1"));
    DestinationPolicy some =
        new DestinationPolicy(List.of("192.0.2.0/24", "2001:db8::/32", "198.51.100.7"), Set.of());
    assertTrue(allows(some, "192.0.2.255"));
    assertTrue(allows(some, "::ffff:192.0.2.1"));
    assertTrue(allows(some, "2001:db8::1"));
    assertTrue(allows(some, "198.51.100.7"));
    assertFalse(allows(some, "198.51.100.8"));
    assertFalse(allows(some, "2001:db9::1"));
  }

  /** A wide network is no leave to reach what only a controller reaches. */
  @Test
  void ownAndLocalAddressesMustBeListedByThemselves() throws UnknownHostException {
    List<String> all = List.of("0.0.0.0/0", "::/0");
    DestinationPolicy wide = new DestinationPolicy(all, Set.of("10.0.0.1"));
    assertTrue(allows(wide, "10.0.0.2"));
    for (String denied :
        List.of(
            "10.0.0.1",
            "127.0.0.1",
            "127.8.8.8",
            "::1",
            "169.254.169.254",
            "fe80::1",
            "0.0.0.0",
            "::",
            "224.0.0.1",
            "ff02::1",
            "::ffff:127.0.0.1")) {
      assertFalse(allows(wide, denied), denied);
    }
    DestinationPolicy listed =
        new DestinationPolicy(List.of("10.0.0.1", "127.0.0.0/8"), Set.of("10.0.0.1"));
    assertTrue(allows(listed, "10.0.0.1"));
    assertTrue(allows(listed, "127.8.8.8"));
  }

  private static Set<String> faults(String json) throws MalformedMessageException {
    Set<String> pointers = new TreeSet<>();
    SubscriptionSchema.check(Json.parseObject(json.getBytes(StandardCharsets.UTF_8)))
        .forEach(fault -> pointers.add(fault.pointer()));
    return pointers;
  }

  @Test
  void everyFaultIsNamedAtItsPointer() throws MalformedMessageException {
    assertEquals(Set.of(), faults("{\"url\":\"https://example.org/x?y=z\",\"owners\":[\"red\"]}"));
    assertEquals(Set.of("/url"), faults("{}"));
    assertEquals(
        Set.of("/url", "/owners/1", "/secrets/0", "/colour"),
        faults(
            "{\"url\":\"http://user@example.org/\",\"owners\":[\"red\",7],"
                + "\"secrets\":[\"hunter2\"],\"colour\":\"red\"}"));
  }
}
