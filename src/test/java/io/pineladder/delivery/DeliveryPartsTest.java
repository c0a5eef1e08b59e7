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

/**
 * Webhook signatures, encryption of secrets, the destination policy and the subscription schema.
 */
class DeliveryPartsTest {
  /** The test vector of the Standard Webhooks reference implementations. */
  @Test
  void signsLikeStandardWebhooks() {
    byte[] secret = WebhookSignature.parseSecret("whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw");
    byte[] body = "{\"test\": 2432232314}".getBytes(StandardCharsets.UTF_8);
    String id = "msg_p5jXN8AQM9LWM0D4loKWxJek";
    String signed =
        WebhookSignature.sign(List.of(secret), id, Instant.ofEpochSecond(1614265330), body);
    assertEquals("v1,g0hM9SsE+OTPJTGt/tmIKtSyZlE3uFJELVlNIOLJ1OE=", signed);
  }

  /** Guards against a secret rotation that breaks receivers which know only one of the secrets. */
  @Test
  void verifiesWithEitherSecretDuringRotation() {
    byte[] old = new byte[24];
    byte[] replacement = new byte[32];
    replacement[0] = 1;
    byte[] body = {1, 2, 3};
    String signed =
        WebhookSignature.sign(List.of(old, replacement), "id", Instant.ofEpochSecond(9), body);
    assertTrue(WebhookSignature.verify(List.of(old), "id", "9", body, signed));
    assertTrue(WebhookSignature.verify(List.of(replacement), "id", "9", body, signed));
    assertFalse(
        WebhookSignature.verify(
            List.of("another secret".getBytes(StandardCharsets.UTF_8)), "id", "9", body, signed));
    assertFalse(WebhookSignature.verify(List.of(old), "id", "8", body, signed));
    assertFalse(WebhookSignature.verify(List.of(old), "id", "9", body, "v1,*** v2,AAAA"));
  }

  @Test
  void decryptsOnlyForSamePurposeAndKey() {
    SecretCipher cipher = new SecretCipher(new byte[32]);
    byte[] secret = {1, 2, 3};
    String encrypted = cipher.encrypt("desk", secret);
    assertArrayEquals(secret, cipher.decrypt("desk", encrypted));
    assertThrows(IllegalArgumentException.class, () -> cipher.decrypt("other", encrypted));
    byte[] key = new byte[32];
    key[31] = 1;
    assertThrows(
        IllegalArgumentException.class, () -> new SecretCipher(key).decrypt("desk", encrypted));
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
  void rejectsNonCanonicalNetwork(String text) {
    assertThrows(
        IllegalArgumentException.class, () -> new DestinationPolicy(List.of(text), Set.of()), text);
  }

  private static boolean allows(DestinationPolicy policy, String address)
      throws UnknownHostException {
    return policy.allows(InetAddress.getByName(address));
  }

  @Test
  void allowsOnlyListedNetworks() throws UnknownHostException {
    DestinationPolicy none = new DestinationPolicy(List.of(), Set.of());
    assertFalse(allows(none, "192.0.2.1"));
    DestinationPolicy policy =
        new DestinationPolicy(List.of("192.0.2.0/24", "2001:db8::/32", "198.51.100.7"), Set.of());
    assertTrue(allows(policy, "192.0.2.255"));
    assertTrue(allows(policy, "::ffff:192.0.2.1"));
    assertTrue(allows(policy, "2001:db8::1"));
    assertTrue(allows(policy, "198.51.100.7"));
    assertFalse(allows(policy, "198.51.100.8"));
    assertFalse(allows(policy, "2001:db9::1"));
  }

  /** Guards against a wide network that exposes addresses which only a controller can reach. */
  @Test
  void deniesLocalAndClusterAddressesUnlessListedExplicitly() throws UnknownHostException {
    List<String> allAddresses = List.of("0.0.0.0/0", "::/0");
    DestinationPolicy wide = new DestinationPolicy(allAddresses, Set.of("10.0.0.1"));
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
    SubscriptionSchema.validate(Json.parseObject(json.getBytes(StandardCharsets.UTF_8)))
        .forEach(fault -> pointers.add(fault.pointer()));
    return pointers;
  }

  @Test
  void reportsEachViolationWithItsPointer() throws MalformedMessageException {
    assertEquals(Set.of(), faults("{\"url\":\"https://example.org/x?y=z\",\"owners\":[\"red\"]}"));
    assertEquals(Set.of("/url"), faults("{}"));
    assertEquals(
        Set.of("/url", "/owners/1", "/secrets/0", "/colour"),
        faults(
            "{\"url\":\"http://user@example.org/\",\"owners\":[\"red\",7],"
                + "\"secrets\":[\"hunter2\"],\"colour\":\"red\"}"));
  }
}
