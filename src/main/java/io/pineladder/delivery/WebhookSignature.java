package io.pineladder.delivery;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.time.Instant;
import java.util.Base64;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Signatures as Standard Webhooks has them: HMAC-SHA256 of id, time and body. */
public final class WebhookSignature {
  public static final String ID = "webhook-id";
  public static final String TIMESTAMP = "webhook-timestamp";
  public static final String SIGNATURE = "webhook-signature";

  /** What a secret's text begins with; the rest is Base64 of 24 to 64 bytes. */
  public static final String SECRET_PREFIX = "whsec_";

  private static final String ALGORITHM = "HmacSHA256";
  private static final String VERSION = "v1,";

  private WebhookSignature() {}

  /**
   * A secret's bytes.
   *
   * @throws IllegalArgumentException when the text is no secret; the message does not repeat it
   */
  public static byte[] parseSecret(String text) {
    if (!text.startsWith(SECRET_PREFIX)) {
      throw new IllegalArgumentException("does not begin with " + SECRET_PREFIX);
    }
    byte[] secret;
    try {
      secret = Base64.getDecoder().decode(text.substring(SECRET_PREFIX.length()));
    } catch (IllegalArgumentException e) {
      throw new IllegalArgumentException("is not Base64 after " + SECRET_PREFIX);
    }
    if (secret.length < 24 || secret.length > 64) {
      throw new IllegalArgumentException("has not 24 to 64 bytes");
    }
    return secret;
  }

  private static byte[] mac(byte[] secret, String id, String seconds, byte[] body) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(secret, ALGORITHM));
      mac.update((id + "." + seconds + ".").getBytes(StandardCharsets.UTF_8));
      return mac.doFinal(body);
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException(e);
    }
  }

  /** The signature header: one signature for each secret, so that either may be known yet. */
  public static String sign(List<byte[]> secrets, String id, Instant at, byte[] body) {
    String seconds = Long.toString(at.getEpochSecond());
    StringBuilder out = new StringBuilder();
    for (byte[] secret : secrets) {
      String one = Base64.getEncoder().encodeToString(mac(secret, id, seconds, body));
      out.append(out.isEmpty() ? "" : " ").append(VERSION).append(one);
    }
    return out.toString();
  }

  /**
   * Whether one of the signatures in the header is by one of the secrets; in constant time each.
   */
  public static boolean verify(
      List<byte[]> secrets, String id, String seconds, byte[] body, String header) {
    boolean found = false;
    for (String one : header.split(" ", 0)) {
      if (!one.startsWith(VERSION)) {
        continue;
      }
      byte[] claimed;
      try {
        claimed = Base64.getDecoder().decode(one.substring(VERSION.length()));
      } catch (IllegalArgumentException e) {
        continue;
      }
      for (byte[] secret : secrets) {
        found |= MessageDigest.isEqual(claimed, mac(secret, id, seconds, body));
      }
    }
    return found;
  }
}
