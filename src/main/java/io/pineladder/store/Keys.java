package io.pineladder.store;

/** Where the durable records are kept. */
public final class Keys {
  /** The leader, attached to its lease; the revision of this key is the token and the term. */
  public static final String LEADER = "lead/holder";

  public static final String LEADER_PREFIX = "lead/";

  /** Jobs that are not over, or whose tasks may still be somewhere. */
  public static final String JOB = "job/";

  /** Completions beyond a job's first page. */
  public static final String PAGE = "page/";

  /** Final states, kept for ever and never read as a whole. */
  public static final String END = "end/";

  /** Placements, by machine. */
  public static final String MACHINE = "machine/";

  /** Jobs accepted by a node without a leader, for the leader to take up. */
  public static final String INBOX = "inbox/";

  public static final String CONF = "conf/";
  public static final String TYPES = "conf/types";
  public static final String OPERATOR = "conf/operator";

  private Keys() {}

  public static String page(String job, int page) {
    return PAGE + job + "/" + page;
  }
}
