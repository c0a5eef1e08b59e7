package io.pineladder.delivery;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.SecureRandom;
import java.util.Base64;
import javax.crypto.Cipher;
import javax.crypto.spec.GCMParameterSpec;
import javax.crypto.spec.SecretKeySpec;

/**
 * Encrypts signing secrets for the state service: to sign, the secret itself is needed, so a hash
 * of it would not do. AES-256 in GCM mode with a key that only the controllers' machines have; what
 * the secret is for is bound to it, so that a stored secret cannot be moved to another
 * subscription.
 */
public final class SecretCipher {
  private static final int KEY_BYTES = 32;
  private static final int NONCE_BYTES = 12;
  private static final int TAG_BITS = 128;

  private final SecretKeySpec key;
  private final SecureRandom random = new SecureRandom();

  /** A box with a key of 32 bytes. */
  public SecretCipher(byte[] key) {
    if (key.length != KEY_BYTES) {
      throw new IllegalArgumentException("the key has not " + KEY_BYTES + " bytes");
    }
    this.key = new SecretKeySpec(key, "AES");
  }

  /** Reads a file with the key in Base64. */
  public static SecretCipher read(Path file) throws IOException {
    try {
      return new SecretCipher(Base64.getDecoder().decode(Files.readString(file).strip()));
    } catch (IllegalArgumentException e) {
      throw new IOException(file + " does not hold " + KEY_BYTES + " bytes in Base64");
    }
  }

  /** Encrypts for a purpose. */
  public String seal(String purpose, byte[] secret) {
    byte[] nonce = new byte[NONCE_BYTES];
    random.nextBytes(nonce);
    byte[] encrypted = apply(Cipher.ENCRYPT_MODE, nonce, purpose, secret);
    ByteBuffer both = ByteBuffer.allocate(NONCE_BYTES + encrypted.length).put(nonce).put(encrypted);
    return Base64.getEncoder().encodeToString(both.array());
  }

  /**
   * Decrypts.
   *
   * @throws IllegalArgumentException when it was not encrypted with this key for this purpose
   */
  public byte[] open(String purpose, String encrypted) {
    byte[] both = Base64.getDecoder().decode(encrypted);
    if (both.length < NONCE_BYTES) {
      throw new IllegalArgumentException("a sealed secret is too short");
    }
    byte[] nonce = new byte[NONCE_BYTES];
    byte[] rest = new byte[both.length - NONCE_BYTES];
    ByteBuffer.wrap(both).get(nonce).get(rest);
    return apply(Cipher.DECRYPT_MODE, nonce, purpose, rest);
  }

  private byte[] apply(int mode, byte[] nonce, String purpose, byte[] data) {
    try {
      Cipher cipher = Cipher.getInstance("AES/GCM/NoPadding");
      cipher.init(mode, key, new GCMParameterSpec(TAG_BITS, nonce));
      cipher.updateAAD(purpose.getBytes(StandardCharsets.UTF_8));
      return cipher.doFinal(data);
    } catch (GeneralSecurityException e) {
      throw new IllegalArgumentException("not sealed with this key for this purpose", e);
    }
  }
}
