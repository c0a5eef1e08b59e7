package io.pineladder.store;

import io.pineladder.wire.StoreWire;

/** Keys of the durable records, relative to a generation; only {@link #GENERATION} is absolute. */
public final class RecordKeys {
  /** The key that names the active generation. */
  public static final String GENERATION = StoreWire.GENERATION_KEY;

  /** The prefix under which {@link #GENERATION} is watched. */
  public static final String GENERATION_PREFIX = "generation/";

  /** Final states of earlier generations, many in one value; written by a rebuild. */
  public static final String ARCHIVED_FINAL_STATES = "ends/";

  /** Values that could not be decoded, retained for inspection; followed by the original key. */
  public static final String UNREADABLE = "damaged/";

  /** The leader's key, attached to its lease; its revision is the fencing token of the term. */
  public static final String LEADER = "lead/holder";

  /** The prefix under which {@link #LEADER} is watched. */
  public static final String LEADER_PREFIX = "lead/";

  /** Records of jobs accepted by a leader, many in one value. */
  public static final String JOB_PAGES = "accepted/";

  /** Records of jobs accepted by a controller without a leader, one per value. */
  public static final String UNPAGED_JOB = "job/";

  /** Completed tasks; entries of many jobs in one value. */
  public static final String COMPLETIONS = "done/";

  /** Final states, one per value; retained indefinitely and never listed. */
  public static final String FINAL_STATE = "end/";

  /** Placements, many in one value. */
  public static final String PLACEMENTS = "placed/";

  /** Images that machines are assumed to have cached; entries of many machines in one value. */
  public static final String CACHED_IMAGES = "images/";

  /** IDs of jobs accepted by a controller without a leader, for the next leader. */
  public static final String INBOX = "inbox/";

  /** Workers whose heartbeats may not reach the leader, one value per receiving controller. */
  public static final String WORKER_KEEP_ALIVES = "apart/";

  /** The prefix of configuration by operators and users. */
  public static final String CONFIGURATION = "conf/";

  /** The machine types of the cloud. */
  public static final String MACHINE_TYPES = "conf/types";

  /** Settings changed through the administration API. */
  public static final String OPERATOR_SETTINGS = "conf/operator";

  /** The cluster version in force; absent until one is stored. */
  public static final String CLUSTER_VERSION = "conf/version";

  /** Subscriptions to final states, one per value. */
  public static final String SUBSCRIPTION = "conf/subscription/";

  /** Networks to which notifications may be sent. */
  public static final String DELIVERY_NETWORKS = "conf/networks";

  /** Undelivered notifications moved out of the job pages, many in one value. */
  public static final String NOTIFICATION_BACKLOG = "backlog/";

  /** Delivery progress; entries of many subscriptions in one value. */
  public static final String DELIVERY_PROGRESS = "delivered/";

  private RecordKeys() {}

  /** Returns the number that follows the prefix in a page's key; -1 when there is none. */
  public static long pageNumber(String key, String prefix) {
    String rest = key.substring(prefix.length());
    return rest.matches("[0-9]{1,18}") ? Long.parseLong(rest) : -1;
  }
}
