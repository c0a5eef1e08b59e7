package io.pineladder.upgrade;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.RecordWire;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The version of records and semantics that is in force in the whole cluster, as one controller
 * knows it.
 *
 * <p>A durable record names it. It is raised once every configured controller has shown software
 * that supports the next version, and never falls, so whoever knows a version to be in force knows
 * it for good. A controller that has not read the record yet takes the oldest version to be in
 * force.
 */
public final class ClusterVersion {
  private static final Logger log = LoggerFactory.getLogger(ClusterVersion.class);

  /** Before versions were recorded; also what a controller runs that names no version. */
  public static final int UNVERSIONED = 1;

  /**
   * Jobs may name prerequisites, pages of accepted jobs may be divided, and completions name the
   * size of their chunk.
   */
  public static final int CHAINED_JOBS = 2;

  /** The newest version that this software supports. */
  public static final int SUPPORTED = CHAINED_JOBS;

  private final int supported;
  private int inForce = UNVERSIONED;

  /** What this software knows of the version. */
  public ClusterVersion() {
    this(SUPPORTED);
  }

  /** The same for software that supports another version at most; for tests of rolling upgrades. */
  public ClusterVersion(int supported) {
    this.supported = supported;
  }

  /** The newest version that this controller supports. */
  public int supported() {
    return supported;
  }

  /** The version that is known to be in force. */
  public int inForce() {
    return inForce;
  }

  /** Whether jobs may name prerequisites. */
  public boolean allowsChainedJobs() {
    return inForce >= CHAINED_JOBS;
  }

  /**
   * Whether this software is too old for the records: it must neither read nor write any of them.
   */
  public boolean isUnsupported() {
    return inForce > supported;
  }

  /** A version is recorded as in force. */
  public void raiseTo(int version) {
    if (version > inForce) {
      log.info("cluster version {} is in force (was {})", version, inForce);
      inForce = version;
      if (isUnsupported()) {
        log.error(
            "this controller supports cluster version {} at most and serves nothing", supported);
      }
    }
  }

  /** Takes in the record that names the version in force. */
  public void onRecord(JsonNode record) {
    try {
      raiseTo(RecordWire.parseVersion(record));
    } catch (MalformedMessageException e) {
      log.error("the record of the cluster version cannot be read: {}", e.getMessage());
    }
  }
}
