package io.pineladder.delivery;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.time.Instant;
import java.util.Base64;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Signatures according to Standard Webhooks: HMAC-SHA256 of id, timestamp and body. */
public final class WebhookSignature {
  public static final String ID_HEADER = "webhook-id";
  public static final String TIMESTAMP_HEADER = "webhook-timestamp";
  public static final String SIGNATURE_HEADER = "webhook-signature";

  /** Prefix of a secret's text; the rest is Base64 of 24 to 64 bytes. */
  public static final String SECRET_PREFIX = "whsec_";

  private static final String ALGORITHM = "HmacSHA256";
  private static final String VERSION_PREFIX = "v1,";

  private WebhookSignature() {}

  /**
   * Parses a secret.
   *
   * @throws IllegalArgumentException when the text is not a valid secret; the message does not
   *     contain the text
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

  /**
   * Returns the signature header. It holds one signature per secret, so that during a rotation a
   * receiver needs only one of the secrets.
   */
  public static String sign(List<byte[]> secrets, String id, Instant signedAt, byte[] body) {
    String seconds = Long.toString(signedAt.getEpochSecond());
    StringBuilder out = new StringBuilder();
    for (byte[] secret : secrets) {
      String signature = Base64.getEncoder().encodeToString(mac(secret, id, seconds, body));
      out.append(out.isEmpty() ? "" : " ").append(VERSION_PREFIX).append(signature);
    }
    return out.toString();
  }

  /** Whether any signature in the header matches any secret; each comparison is constant-time. */
  public static boolean verify(
      List<byte[]> secrets, String id, String seconds, byte[] body, String header) {
    boolean valid = false;
    for (String signature : header.split(" ", 0)) {
      if (!signature.startsWith(VERSION_PREFIX)) {
        continue;
      }
      byte[] claimedMac;
      try {
        claimedMac = Base64.getDecoder().decode(signature.substring(VERSION_PREFIX.length()));
      } catch (IllegalArgumentException e) {
        continue;
      }
      for (byte[] secret : secrets) {
        valid |= MessageDigest.isEqual(claimedMac, mac(secret, id, seconds, body));
      }
    }
    return valid;
  }
}
