package io.pineladder.model;

/**
 * The fencing token of the commands to one machine. The network may deliver a request with commands
 * once more at any later time, and the worker executes it again unless it has seen a higher token.
 * As long as the worker lists an attempt, a repeated start of it has no effect; so the worker may
 * forget the attempt only together with a token above those of all requests sent before. If there
 * is no such token, the attempt stays listed. Event thread only.
 */
public final class CommandFence {
  /** The token of the machine's commands; 0 before the first use. */
  private long token;

  /** Whether a request with commands may have been sent with the current token. */
  private boolean requestSent;

  /**
   * The token with which commands are sent to the machine now.
   *
   * @param tokens the tokens of the current term
   */
  public long token(TermTokens tokens) {
    if (token == 0) {
      // The machine may have been known before in this term, so any token may have reached it.
      token = tokens.highestUsed();
      requestSent = true;
    }
    return token;
  }

  /** A request with commands is being sent with the current token. */
  public void onRequestSent() {
    requestSent = true;
  }

  /**
   * Raises the token above those of all requests sent to the machine so far, where it is not.
   *
   * @param tokens the tokens of the current term
   * @return whether the next response fences all requests, so that it may forget ended attempts;
   *     false if nothing was committed since the latest raise
   */
  public boolean fenceRequests(TermTokens tokens) {
    long current = token(tokens);
    if (!requestSent) {
      return true;
    }
    if (!tokens.hasTokenAbove(current)) {
      return false;
    }
    token = tokens.useHighest();
    requestSent = false;
    return true;
  }
}
