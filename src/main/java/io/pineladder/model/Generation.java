package io.pineladder.model;

import java.time.Instant;

/**
 * One generation of the records in the key-value store. After a loss of data the store's revisions
 * start over or repeat, so neither a revision nor a fencing token made of it tells old from new any
 * more. The records of a new generation have a key prefix of their own, and its tokens are above
 * all that any controller or machine may have seen (docs/state-loss.md).
 *
 * @param base what the generation adds to a revision to make a token; 0 for the first generation
 * @param recordRevision the revision of the record that names this generation, a condition of every
 *     transaction; 0 for the first generation, which has no such record
 * @param phase whether all that was rebuilt is stored
 * @param exact whether nothing that any controller had acted upon can be missing from it
 * @param writer the controller that rebuilt it, with its process
 */
public record Generation(
    long base, long recordRevision, Phase phase, boolean exact, Writer writer) {
  /** The progress of a rebuild. */
  public enum Phase {
    /** A controller writes it; there is no leader in it yet. */
    REBUILDING,
    /** All its records are stored. */
    COMPLETE
  }

  /** The process that writes a generation: a controller's name and a nonce drawn at its start. */
  public record Writer(String controllerName, String nonce) {}

  /** The generation of a store that never lost data. */
  public static final Generation FIRST =
      new Generation(0, 0, Phase.COMPLETE, true, new Writer("", ""));

  /** Tokens above the highest seen that a leader may have held since it was last heard of. */
  static final long TOKEN_HEADROOM = 1L << 20;

  /** Attempt numbers are tokens with 20 more bits, and must stay below 2^63. */
  private static final long MAX_TOKEN = 1L << 43;

  /** The prefix of the keys of its records. */
  public String prefix() {
    return base == 0 ? "" : PREFIX + base + "/";
  }

  private static final String PREFIX = "g";

  /** The fencing token of a leader whose key has this revision. */
  public long token(long revision) {
    return base + revision;
  }

  /**
   * The base of a generation whose tokens are above all that were seen. The time of day is a second
   * bound: revisions grow by far less than a thousand a second, so it exceeds the tokens of all
   * earlier generations, also where nobody is left who knows of them.
   *
   * @param highest the highest token that was seen in use
   */
  public static long nextBase(long highest, Instant timeOfDay) {
    return Math.max(
        Math.min(highest, MAX_TOKEN - 2 * TOKEN_HEADROOM) + TOKEN_HEADROOM,
        timeOfDay.toEpochMilli());
  }
}
