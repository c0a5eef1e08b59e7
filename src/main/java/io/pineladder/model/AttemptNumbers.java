package io.pineladder.model;

/** The numbers of attempts: the term that decided on the attempt, and a count within the term. */
public final class AttemptNumbers {
  /** The number of low-order bits that count the attempts of a term. */
  private static final int COUNT_BITS = 20;

  private AttemptNumbers() {}

  /** Whether a term has an attempt with this count. */
  public static boolean isCountValid(long count) {
    return count < 1L << COUNT_BITS;
  }

  /** The number of the attempt with this count in a term. */
  public static long of(long term, long count) {
    return (term << COUNT_BITS) + count;
  }

  /** The term that decided on the attempt with this number. */
  public static long termOf(long number) {
    return number >> COUNT_BITS;
  }
}
