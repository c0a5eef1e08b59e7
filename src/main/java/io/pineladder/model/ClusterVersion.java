package io.pineladder.model;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The version of record formats and semantics that is in force in the cluster, as known to one
 * controller. Event thread only.
 *
 * <p>The version is stored in the key-value store. The leader raises it once every configured
 * controller has reported that it supports the next version; it is never lowered. A controller that
 * has not read the record yet assumes the oldest version.
 */
public final class ClusterVersion {
  private static final Logger log = LoggerFactory.getLogger(ClusterVersion.class);

  /** The version before versions were stored; also assumed for a controller that reports none. */
  public static final int UNVERSIONED = 1;

  /**
   * Jobs may have prerequisites, pages of accepted jobs may be divided, and completions include
   * their chunk size.
   */
  public static final int CHAINED_JOBS = 2;

  /** The newest version that this software supports. */
  public static final int SUPPORTED = CHAINED_JOBS;

  private final int supported;
  private int inForce = UNVERSIONED;

  /** Creates the version state of this software, with the oldest version in force. */
  public ClusterVersion() {
    this(SUPPORTED);
  }

  /**
   * Creates the version state of other software, with the oldest version in force; for tests of
   * rolling upgrades.
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

  /** The version in force, as known to this controller. */
  public int inForce() {
    return inForce;
  }

  /** Whether jobs may have prerequisites. */
  public boolean allowsChainedJobs() {
    return inForce >= CHAINED_JOBS;
  }

  /**
   * Whether the version in force is newer than this software supports, so that this controller must
   * neither read nor write records.
   */
  public boolean isUnsupported() {
    return inForce > supported;
  }

  /** Sets the version in force; a version that is not higher has no effect. */
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
