package io.pineladder.model;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The version of records and semantics that is in force in the whole cluster, as one controller
 * knows it. Used on the event loop's thread only.
 *
 * <p>A durable record names it. The leader raises it once every configured controller has shown
 * software that supports the next version, and it never falls; so a version that is known to be in
 * force stays known. A controller that has not read the record yet takes the oldest version to be
 * in force.
 */
public final class ClusterVersion {
  private static final Logger log = LoggerFactory.getLogger(ClusterVersion.class);

  /** The version before versions were recorded; also that of a controller that names none. */
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

  /** The version for this software, with the oldest one in force. */
  public ClusterVersion() {
    this(SUPPORTED);
  }

  /**
   * The version for other software, with the oldest one in force; for tests of rolling upgrades.
   *
   * @param supported the newest version that the software supports
   */
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

  /** Takes a version that is recorded as in force; an older one than is known has no effect. */
  public void raiseTo(int version) {
    if (version > inForce) {
      log.info("Cluster version raised: version={} previous={}", version, inForce);
      inForce = version;
      if (isUnsupported()) {
        log.error(
            "Cluster version not supported, nothing is served: version={} supported={}",
            version,
            supported);
      }
    }
  }
}
