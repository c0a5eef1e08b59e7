package io.pineladder;

import io.pineladder.model.Job;

/**
 * The result of a submission.
 *
 * @param view the job's status; uncertain if it is not known whether the job is stored
 * @param isNew whether this submission stored the job; a submission of a job that was stored
 *     before, by this or another controller, is a repeated one
 */
public record SubmissionResult(JobView view, boolean isNew) {
  /** There is no memory for the job; it may be submitted again. */
  static final SubmissionResult REFUSED = new SubmissionResult(JobView.UNCERTAIN, false);

  /** This submission stored the job. */
  static SubmissionResult stored(JobView view) {
    return new SubmissionResult(view, true);
  }

  /** The job was accepted before. */
  static SubmissionResult alreadyAccepted(JobView view) {
    return new SubmissionResult(view, false);
  }

  /** The job was accepted before and has ended. */
  static SubmissionResult ended(Job.State finalState) {
    return alreadyAccepted(JobView.ended(finalState));
  }

  /** The result for a repeated submission that waited for this one. */
  SubmissionResult forRepetition() {
    return alreadyAccepted(view);
  }
}
