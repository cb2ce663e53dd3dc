/** Passes cancellations on to the scheduler of an owner: those of gates, of the feed and of the takeover. */

import type { ClockReadings, LoadedSubmission, OwnerEvent, SubmissionView } from '../owner/types';
import type { StoredText } from '../store/types';
import type { SubmissionId } from '../types/ids';
import type { CancellationLog, CancellationWay } from './cancellationLog';
import { decodeCancellations } from './cancellationRows';
import type { DecodedCancellation } from './cancellationRows';

type CancelledEvent = Omit<Extract<OwnerEvent, { kind: 'cancelled' }>, keyof ClockReadings>;

/** What this needs of the owner. */
export interface OwnerCancellationPorts {
  readonly log: CancellationLog;
  /** Calls back once the stored state is loaded. */
  whenLoaded(apply: () => void): void;
  getView(submissionId: SubmissionId): SubmissionView;
  dispatch(event: CancelledEvent): void;
}

/** The cancellations of one ownership. */
export class OwnerCancellations {
  #ports: OwnerCancellationPorts;

  /**
   * @param ports - the owner
   */
  constructor(ports: OwnerCancellationPorts) {
    this.#ports = ports;
  }

  /**
   * Applies the cancellation of a submission that a gate knew.
   * @param submissionId - the cancelled submission
   * @param way - how it has become known
   */
  onKnown(submissionId: SubmissionId, way: CancellationWay): void {
    this.#apply({ submissionId, source: { kind: 'checked' }, stored: undefined }, way);
  }

  /**
   * Applies rows.
   * @param rows - the rows
   * @param way - how they have become known
   */
  onRows(rows: readonly StoredText[], way: CancellationWay): void {
    this.#decode(rows).forEach((cancellation) => this.#apply(cancellation, way));
  }

  /**
   * Applies the rows of a part that has been read late. Those of submissions that are not known are kept for them.
   * @param rows - the rows
   */
  onPartRead(rows: readonly StoredText[]): void {
    this.#decode(rows).forEach((cancellation) => {
      const isKnown = this.#ports.getView(cancellation.submissionId).kind === 'known';
      if (isKnown) this.#apply(cancellation, 'loaded');
      else this.#dispatch(cancellation);
    });
  }

  /**
   * Applies what a takeover has read and not matched yet. The tables are read one after another, so that a cancellation
   * may be read whose submission was not.
   * @param rows - the cancellations
   * @param submissions - the submissions, which include their cancellations
   */
  onLoaded(rows: readonly StoredText[], submissions: readonly LoadedSubmission[]): void {
    const readIds = new Set<string>(submissions.map(({ submission }) => submission.id));
    this.#decode(rows).forEach((cancellation) => {
      const isStoredAhead = cancellation.stored !== undefined;
      if (isStoredAhead || !readIds.has(cancellation.submissionId)) this.#dispatch(cancellation);
    });
    this.#ports.log.logLoaded(submissions);
  }

  #decode(rows: readonly StoredText[]): readonly DecodedCancellation[] {
    return decodeCancellations(rows, (row) => this.#ports.log.logUnreadable(row));
  }

  #apply(cancellation: DecodedCancellation, way: CancellationWay): void {
    const { submissionId } = cancellation;
    this.#ports.whenLoaded(() => {
      this.#ports.log.log(submissionId, way, this.#ports.getView(submissionId));
      this.#dispatch(cancellation);
    });
  }

  #dispatch(cancellation: DecodedCancellation): void {
    this.#ports.dispatch({ kind: 'cancelled', ...cancellation });
  }
}
