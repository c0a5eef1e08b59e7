package io.pineladder.model;

import java.time.Instant;

/**
 * One life of what the state service keeps. When data was lost its revisions start over or repeat,
 * so neither a revision nor a token made of it tells old from new any more. What is stored then
 * goes under names of its own, and tokens count on from above all that anybody may have seen
 * (docs/state-loss.md).
 *
 * @param base what the generation adds to a revision to make a token; 0 for the first generation
 * @param version the revision of the record that names this generation, which every transaction
 *     asks for; 0 for the first generation, which has no such record
 * @param phase whether all that was rebuilt is stored
 * @param exact whether nothing that any controller had acted upon can be missing from it
 * @param by the controller that rebuilt it, with its process
 */
public record Generation(
    long base, long recordRevision, Phase phase, boolean exact, Writer writer) {
  /** How far a generation is. */
  public enum Phase {
    /** A controller writes it; nobody leads in it yet. */
    REBUILDING,
    COMPLETE
  }

  /** A controller and the process of it that writes. */
  public record Writer(String controllerName, String nonce) {}

  public static final Generation FIRST =
      new Generation(0, 0, Phase.COMPLETE, true, new Writer("", ""));

  /**
   * Tokens that nobody was seen to use, but some leader may have had since it was last heard of.
   */
  static final long TOKEN_HEADROOM = 1L << 20;

  /** Attempt numbers are tokens with 20 more bits, and must stay below 2^63. */
  private static final long MAX_TOKEN = 1L << 43;

  /** What stands before the keys of its records. */
  public String prefix() {
    return base == 0 ? "" : PREFIX + base + "/";
  }

  private static final String PREFIX = "g";

  /** The token of a leader whose key has this revision. */
  public long token(long revision) {
    return base + revision;
  }

  /**
   * The base of a generation above all that was seen. The time of day is a second bound: revisions
   * grow by far less than a thousand a second, so it exceeds whatever earlier generations came to,
   * also where nobody is left who knows of them.
   *
   * @param highest the highest token that anybody was seen to use
   */
  public static long nextBase(long highest, Instant timeOfDay) {
    return Math.max(
        Math.min(highest, MAX_TOKEN - 2 * TOKEN_HEADROOM) + TOKEN_HEADROOM,
        timeOfDay.toEpochMilli());
  }
}
