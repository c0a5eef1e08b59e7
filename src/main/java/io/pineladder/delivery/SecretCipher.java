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
 * Encrypts the signing secrets that are stored in the key-value store. Uses AES-256-GCM with a key
 * that only the controllers have. The purpose of a secret is authenticated as additional data, so
 * that an encrypted secret cannot be copied to another subscription.
 */
public final class SecretCipher {
  private static final int KEY_BYTES = 32;
  private static final int NONCE_BYTES = 12;
  private static final int TAG_BITS = 128;

  private final SecretKeySpec key;
  private final SecureRandom random = new SecureRandom();

  /** Creates a cipher with a key of 32 bytes. */
  public SecretCipher(byte[] key) {
    if (key.length != KEY_BYTES) {
      throw new IllegalArgumentException(
          "key must have " + KEY_BYTES + " bytes, got " + key.length);
    }
    this.key = new SecretKeySpec(key, "AES");
  }

  /** Reads the key from a file that holds it in Base64. */
  public static SecretCipher read(Path file) throws IOException {
    try {
      return new SecretCipher(Base64.getDecoder().decode(Files.readString(file).strip()));
    } catch (IllegalArgumentException e) {
      throw new IOException(file + " does not hold " + KEY_BYTES + " bytes in Base64");
    }
  }

  /** Encrypts a secret for a purpose; the result is Base64 of nonce and ciphertext. */
  public String encrypt(String purpose, byte[] secret) {
    byte[] nonce = new byte[NONCE_BYTES];
    random.nextBytes(nonce);
    byte[] ciphertext = apply(Cipher.ENCRYPT_MODE, nonce, purpose, secret);
    ByteBuffer nonceAndCiphertext =
        ByteBuffer.allocate(NONCE_BYTES + ciphertext.length).put(nonce).put(ciphertext);
    return Base64.getEncoder().encodeToString(nonceAndCiphertext.array());
  }

  /**
   * Decrypts a secret.
   *
   * @throws IllegalArgumentException when it was not encrypted with this key for this purpose
   */
  public byte[] decrypt(String purpose, String encrypted) {
    byte[] nonceAndCiphertext = Base64.getDecoder().decode(encrypted);
    if (nonceAndCiphertext.length < NONCE_BYTES) {
      throw new IllegalArgumentException(
          "encrypted secret too short: got " + nonceAndCiphertext.length + " bytes");
    }
    byte[] nonce = new byte[NONCE_BYTES];
    byte[] ciphertext = new byte[nonceAndCiphertext.length - NONCE_BYTES];
    ByteBuffer.wrap(nonceAndCiphertext).get(nonce).get(ciphertext);
    return apply(Cipher.DECRYPT_MODE, nonce, purpose, ciphertext);
  }

  private byte[] apply(int mode, byte[] nonce, String purpose, byte[] data) {
    try {
      Cipher cipher = Cipher.getInstance("AES/GCM/NoPadding");
      cipher.init(mode, key, new GCMParameterSpec(TAG_BITS, nonce));
      cipher.updateAAD(purpose.getBytes(StandardCharsets.UTF_8));
      return cipher.doFinal(data);
    } catch (GeneralSecurityException e) {
      throw new IllegalArgumentException(
          "secret was not encrypted with this key for this purpose", e);
    }
  }
}
