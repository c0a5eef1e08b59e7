package io.pineladder.store;

import io.pineladder.wire.StoreWire;

/** Keys of the durable records within a generation; {@link #GENERATION} alone is outside. */
public final class RecordKeys {
  /** The key that names the active generation; it is the same in all of them. */
  public static final String GENERATION = StoreWire.GENERATION_KEY;

  /** The prefix by which changes of {@link #GENERATION} are watched. */
  public static final String GENERATION_PREFIX = "generation/";

  /** Final states of earlier generations, many in one value; written when a generation begins. */
  public static final String ARCHIVED_FINAL_STATES = "ends/";

  /** Values that could not be decoded, stored for inspection, under their former keys. */
  public static final String UNREADABLE = "damaged/";

  /** The leader, attached to its lease; the revision of this key is fencing token and term. */
  public static final String LEADER = "lead/holder";

  /** The prefix by which changes of {@link #LEADER} are watched. */
  public static final String LEADER_PREFIX = "lead/";

  /** Jobs that a leader accepted and whose record is not removed yet; many in one value. */
  public static final String JOB_PAGES = "accepted/";

  /** The same, of jobs that a node accepted without a leader: a value each. */
  public static final String UNPAGED_JOB = "job/";

  /** Completed tasks, of many jobs in one value. */
  public static final String COMPLETIONS = "done/";

  /** Final states, a value each; retained without limit and never read as a whole. */
  public static final String FINAL_STATE = "end/";

  /** Placements, of many machines in one value. */
  public static final String PLACEMENTS = "placed/";

  /** Images that machines are assumed to have cached, of many machines in one value. */
  public static final String CACHED_IMAGES = "images/";

  /** Names of jobs that a node accepted without a leader, for the next leader. */
  public static final String INBOX = "inbox/";

  /** Workers whose heartbeats a controller receives and the leader may not; a value for each. */
  public static final String WORKER_KEEP_ALIVES = "apart/";

  /** The prefix of what operators and users configure. */
  public static final String CONFIGURATION = "conf/";

  /** The machine types of the cloud. */
  public static final String MACHINE_TYPES = "conf/types";

  /** Settings that operators change through the administration API. */
  public static final String OPERATOR_SETTINGS = "conf/operator";

  /** The cluster version in force; absent before the first that is stored. */
  public static final String CLUSTER_VERSION = "conf/version";

  /** Subscriptions to final states, a value each. */
  public static final String SUBSCRIPTION = "conf/subscription/";

  /** Networks to which notifications may be sent. */
  public static final String DELIVERY_NETWORKS = "conf/networks";

  /** Notifications that wait for a subscriber for long, many in one value. */
  public static final String NOTIFICATION_BACKLOG = "backlog/";

  /** What subscribers have acknowledged, of many in one value. */
  public static final String DELIVERY_PROGRESS = "delivered/";

  private RecordKeys() {}

  /** The number in a page's key, which follows its prefix; -1 when there is none. */
  public static long pageNumber(String key, String prefix) {
    String rest = key.substring(prefix.length());
    return rest.matches("[0-9]{1,18}") ? Long.parseLong(rest) : -1;
  }
}
