/** Logs when and by which way the owner learns of a cancellation. */

import type { Logger } from '../observe/logger';
import type { LoadedSubmission, SubmissionView } from '../owner/types';
import type { StoredText } from '../store/types';
import type { Epoch, SubmissionId } from '../types/ids';

/** How the owner has learned of a cancellation: from a gate, from the change feed, or at the takeover. */
export type CancellationWay = 'notified' | 'feed' | 'loaded';

/** Whether the owner has applied the cancellation before, or learns of it too late for it to matter. */
function isOldNews(view: SubmissionView, way: CancellationWay): boolean {
  if (view.kind !== 'known') return false;
  const hasEnded = view.state === 'succeeded' || view.state === 'failed';
  return view.state === 'cancelled' || (hasEnded && way === 'feed');
}

/** Writes the lines of one ownership. */
export class CancellationLog {
  #logger: Logger;

  #epoch: Epoch;

  /**
   * @param logger - destination of the lines
   * @param epoch - the ownership
   */
  constructor(logger: Logger, epoch: Epoch) {
    this.#logger = logger;
    this.#epoch = epoch;
  }

  /**
   * Logs a cancellation before it is applied, unless the owner knows of it.
   * @param submissionId - the cancelled submission
   * @param way - how the owner has learned of it
   * @param view - what the owner knows of the submission
   */
  log(submissionId: SubmissionId, way: CancellationWay, view: SubmissionView): void {
    if (isOldNews(view, way)) return;
    this.#write(submissionId, way, view.kind === 'known' ? view.state : undefined);
  }

  /**
   * Logs the cancellations that no former owner has finished.
   * @param submissions - the submissions read at the takeover
   */
  logLoaded(submissions: readonly LoadedSubmission[]): void {
    submissions.forEach(({ submission, isCancelled, progress }) => {
      const isOpen = isCancelled && progress?.outcome === undefined;
      if (isOpen) this.#write(submission.id, 'loaded', 'cancelled');
    });
  }

  /**
   * Logs a row that is left out.
   * @param row - a row of the table of cancellations
   */
  logUnreadable({ part, key }: StoredText): void {
    this.#logger.warn(
      { part, key, epoch: this.#epoch },
      'cancellation left out, as its row cannot be read',
    );
  }

  /** The cancellation of an unknown submission changes nothing, which `isKnown` tells. */
  #write(submissionId: SubmissionId, way: CancellationWay, state: string | undefined): void {
    this.#logger.info(
      { submissionId, way, isKnown: state !== undefined, state, epoch: this.#epoch },
      'cancellation taken',
    );
  }
}
