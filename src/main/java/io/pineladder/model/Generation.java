package io.pineladder.model;

import java.time.Instant;

/**
 * A generation of the records in the key-value store. After data loss the store's revisions start
 * over or repeat, so neither revisions nor the fencing tokens derived from them are ordered in time
 * any more. A new generation therefore has its own key prefix, and its tokens are higher than any
 * that a controller or machine may have seen (docs/state-loss.md).
 *
 * @param base added to a revision to obtain a fencing token; 0 for the first generation
 * @param recordRevision the revision of the record of this generation, on which every transaction
 *     is conditional; 0 for the first generation, which has no such record
 * @param phase whether the rebuild of the generation is complete
 * @param exact whether the rebuild cannot have missed any record on which a controller has acted
 * @param writer the controller process that rebuilt it
 */
public record Generation(
    long base, long recordRevision, Phase phase, boolean exact, Writer writer) {
  /** The progress of a rebuild. */
  public enum Phase {
    /** A controller is writing the generation; it has no leader yet. */
    REBUILDING,
    /** All records are stored. */
    COMPLETE
  }

  /**
   * The process that writes a generation.
   *
   * @param nonce drawn at the start of the process
   */
  public record Writer(String controllerName, String nonce) {}

  /** The generation of a store that has never lost data. */
  public static final Generation FIRST =
      new Generation(0, 0, Phase.COMPLETE, true, new Writer("", ""));

  /** Margin above the highest seen token for unseen tokens that leaders may have held since. */
  static final long TOKEN_HEADROOM = 1L << 20;

  /** Keeps attempt numbers, which are tokens followed by 20 more bits, below 2^63. */
  private static final long MAX_TOKEN = 1L << 43;

  /** The key prefix of the records of this generation. */
  public String prefix() {
    return base == 0 ? "" : PREFIX + base + "/";
  }

  private static final String PREFIX = "g";

  /** The fencing token of a leader whose leader key has this revision. */
  public long token(long revision) {
    return base + revision;
  }

  /**
   * The base of a new generation, whose tokens are higher than all earlier ones. The wall-clock
   * time in milliseconds is a lower bound: revisions grow by far less than a thousand per second,
   * so it exceeds the tokens of all earlier generations even if no process knows them any more.
   *
   * @param highestToken the highest token that was seen in use
   */
  public static long nextBase(long highestToken, Instant wallClock) {
    return Math.max(
        Math.min(highestToken, MAX_TOKEN - 2 * TOKEN_HEADROOM) + TOKEN_HEADROOM,
        wallClock.toEpochMilli());
  }
}
