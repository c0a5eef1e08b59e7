package io.pineladder.api;

import java.util.Optional;

/** Paths of the API for users, workers and the load balancer. */
final class ApiPaths {
  static final String READY = "/ready";
  static final String HEARTBEAT = "/v1/report";
  static final String JOBS = "/v1/jobs";
  static final String JOB_PREFIX = "/v1/jobs/";
  static final String CANCEL_SUFFIX = "/cancel";

  private ApiPaths() {}

  /**
   * The path of one job.
   *
   * @param id the job's id, which may be invalid
   * @param isCancellation whether the path cancels the job
   */
  record JobPath(String id, boolean isCancellation) {
    /** The method with which the path is requested. */
    String method() {
      return isCancellation ? "POST" : "GET";
    }
  }

  /** Reads the path of one job; empty for any other path. */
  static Optional<JobPath> jobPath(String path) {
    if (!path.startsWith(JOB_PREFIX)) {
      return Optional.empty();
    }
    String rest = path.substring(JOB_PREFIX.length());
    boolean cancel = rest.endsWith(CANCEL_SUFFIX);
    String id = cancel ? rest.substring(0, rest.length() - CANCEL_SUFFIX.length()) : rest;
    return id.indexOf('/') >= 0 ? Optional.empty() : Optional.of(new JobPath(id, cancel));
  }

  /** Whether a POST to this path submits a job. */
  static boolean isSubmission(String path) {
    return path.equals(JOBS);
  }
}
