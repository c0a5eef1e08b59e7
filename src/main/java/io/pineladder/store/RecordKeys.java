package io.pineladder.store;

import io.pineladder.wire.StoreWire;

/** Where the durable records are kept: names within a generation, but for {@link #GENERATION}. */
public final class RecordKeys {
  /** Which generation of the records counts; its name is the same in all of them. */
  public static final String GENERATION = StoreWire.GENERATION_KEY;

  public static final String GENERATION_PREFIX = "generation/";

  /** Final states of earlier generations, many in one value; written when a generation begins. */
  public static final String ARCHIVED_FINAL_STATES = "ends/";

  /** What could not be read, kept for whoever wants to look at it. */
  public static final String UNREADABLE = "damaged/";

  /** The leader, attached to its lease; the revision of this key is the token and the term. */
  public static final String LEADER = "lead/holder";

  public static final String LEADER_PREFIX = "lead/";

  /** Jobs that a leader accepted and that are not over, or not gone yet; many in one value. */
  public static final String JOB_PAGES = "accepted/";

  /** The same, of jobs that were accepted without a leader: a value each. */
  public static final String UNPAGED_JOB = "job/";

  /** Completions, many jobs' in one value. */
  public static final String COMPLETIONS = "done/";

  /** Final states, kept for ever and never read as a whole. */
  public static final String FINAL_STATE = "end/";

  /** Placements, many machines' in one value. */
  public static final String PLACEMENTS = "placed/";

  /** Images thought to be cached, many machines' in one value. */
  public static final String CACHED_IMAGES = "images/";

  /** Jobs accepted by a node without a leader, for the leader to take up. */
  public static final String INBOX = "inbox/";

  /** Which workers a controller hears that the leader may not; a value for each controller. */
  public static final String WORKER_KEEP_ALIVES = "apart/";

  public static final String CONFIGURATION = "conf/";
  public static final String MACHINE_TYPES = "conf/types";
  public static final String OPERATOR_SETTINGS = "conf/operator";

  /** Which version of the records is in force in the whole cluster; absent in the oldest. */
  public static final String CLUSTER_VERSION = "conf/version";

  /** Who is to be told of final states; a value each. */
  public static final String SUBSCRIPTION = "conf/subscription/";

  /** Where notices may be sent. */
  public static final String DELIVERY_NETWORKS = "conf/networks";

  /** Notices that wait for long, many in one value. */
  public static final String NOTIFICATION_BACKLOG = "backlog/";

  /** What subscribers have confirmed, many in one value. */
  public static final String DELIVERY_PROGRESS = "delivered/";

  private RecordKeys() {}

  /** The number of a page's key, which follows its prefix; -1 when there is none. */
  static long pageNumber(String key, String prefix) {
    String rest = key.substring(prefix.length());
    return rest.matches("[0-9]{1,18}") ? Long.parseLong(rest) : -1;
  }
}
