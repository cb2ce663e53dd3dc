/** Opens occurrences of schedules: those that are due, and those of which a target lists a run or an end. */

import type { OwnerState } from './ownerState';
import type { RunManager } from './runManager';
import type { StepState } from './stepState';
import type { SubmissionRecord } from './submissionRecord';
import type { UnseenRuns } from './unseenRuns';

/** Opens occurrences and has their steps scheduled. */
export class Occurrences {
  #state: OwnerState;

  #runManager: RunManager;

  #unseenRuns: UnseenRuns;

  /**
   * @param state - the shared state of the owner
   * @param runManager - makes steps ready
   * @param unseenRuns - holds steps back that a former owner may have started
   */
  constructor(state: OwnerState, runManager: RunManager, unseenRuns: UnseenRuns) {
    this.#state = state;
    this.#runManager = runManager;
    this.#unseenRuns = unseenRuns;
  }

  /** Opens all occurrences that have become due. */
  openAllDue(): void {
    const { scheduled, open, wallMs } = this.#state;
    scheduled.forEach((record) => {
      if (!open.has(record) || record.nextDueAtMs === undefined) scheduled.delete(record);
      else if (record.nextDueAtMs <= wallMs) this.openDue(record);
    });
  }

  /**
   * Opens the occurrences of a submission that are due.
   * @param record - the submission
   */
  openDue(record: SubmissionRecord): void {
    this.#addSteps(record.openDueOccurrences(this.#state.wallMs));
    if (record.isComplete) this.#runManager.closeSubmission(record, 'succeeded');
  }

  /**
   * Opens an occurrence of which a target lists a run or an end: a former owner had opened it, though this owner has
   * not come to it yet. Its tasks wait until this owner does.
   * @param record - the submission
   * @param occurrence - number of the occurrence
   */
  openListed(record: SubmissionRecord, occurrence: number): void {
    const steps = record.tryOpenListed(occurrence);
    if (steps === undefined) return;
    this.#state.count('occurrences_opened_by_listing');
    this.#state.log('a target lists tasks of an occurrence that is not open yet; it is opened', {
      submissionId: record.submission.id,
      occurrence,
    });
    this.#addSteps(steps);
  }

  #addSteps(steps: readonly StepState[]): void {
    steps.forEach((step) => {
      this.#unseenRuns.onStepOpened(step);
      this.#runManager.updateReadiness(step);
      this.#runManager.giveUp(this.#runManager.crashTracker.addStored(step));
    });
  }
}
