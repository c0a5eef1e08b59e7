package io.pineladder.api;

/** Paths of the API for users, workers and the load balancer. */
final class ApiPaths {
  static final String READY = "/ready";
  static final String HEARTBEAT = "/v1/report";
  static final String JOBS = "/v1/jobs";
  static final String JOB_PREFIX = "/v1/jobs/";
  static final String CANCEL_SUFFIX = "/cancel";

  private ApiPaths() {}

  /** Whether a POST to this path submits a job. */
  static boolean isSubmission(String path) {
    return path.equals(JOBS);
  }
}
