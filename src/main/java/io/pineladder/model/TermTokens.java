package io.pineladder.model;

/**
 * The fencing tokens of one leadership term. The first is the term number. Each transaction of the
 * term requires that the leader key still exists, so its revision lies between those of this leader
 * key and the next one: the revision of each commit is a further token, which no other term uses,
 * and which is above all tokens that this term has used before. Event thread only.
 */
public final class TermTokens {
  private final long first;
  private long highestCommitted;
  private long highestUsed;

  /**
   * Creates the tokens of a term.
   *
   * @param term the term number
   */
  public TermTokens(long term) {
    this.first = term;
    this.highestCommitted = term;
    this.highestUsed = term;
  }

  /** The term number, which is the lowest token of the term. */
  public long first() {
    return first;
  }

  /** The highest token that was sent to any machine in this term. */
  public long highestUsed() {
    return highestUsed;
  }

  /** A transaction of this term was committed with the revision of this token. */
  public void onCommitted(long token) {
    highestCommitted = Math.max(highestCommitted, token);
  }

  /** Whether there is a token of this term above the given one. */
  boolean hasTokenAbove(long token) {
    return highestCommitted > token;
  }

  /** Uses the highest token of the term so far. */
  long useHighest() {
    highestUsed = highestCommitted;
    return highestUsed;
  }

  /** Whether a machine that has seen this token has received commands of a later term. */
  public boolean isOfLaterTerm(long token) {
    return token > highestUsed;
  }
}
