/** One accepted submission with its steps, its outcome and what is durable of it. */

import type { Queue, Submission, SubmissionState } from '../work/types';
import { StepProgress } from '../work/stepProgress';
import type { StoredStepProgress } from '../work/stepProgress';
import type { StoredProgress } from '../work/storedProgress';
import { StepState } from './stepState';
import type { LoadedSubmission } from './types';

/** Why nothing of a submission runs any more. */
export type SubmissionOutcome = NonNullable<StoredProgress['outcome']>;

function getStepName(occurrence: number, step: number): string {
  return `${occurrence}.${step}`;
}

/** A submission as the owner keeps it. */
export class SubmissionRecord {
  #steps = new Map<string, StepState>();

  #stored: StoredProgress;

  #openedCount = 0;

  /** Estimated length of all steps one after another. */
  #chainMs: number;

  readonly submission: Submission;

  /** The queue's present policy, or the one under which the submission was accepted. */
  queue: Queue;

  /** Accepted before this owner took over. */
  readonly wasLoaded: boolean;

  isCancelled: boolean;

  outcome: SubmissionOutcome | undefined;

  /** Milliseconds since 1970 at which the outcome was decided. */
  outcomeAtMs: number;

  /** The outcome that callers are told; it follows {@link SubmissionRecord.outcome} once written. */
  durableOutcome: SubmissionOutcome | undefined;

  hasBegun: boolean;

  /** It lies beyond its team's rate and waits behind what does not. */
  isExcess = false;

  /** Version of the stored row of progress; 0 when there is none. */
  progressVersion: number;

  /** Counts the changes of what is stored. */
  changeCount = 0;

  /** The last change that is durable. */
  durableChange = 0;

  /**
   * @param loaded - the submission as it was accepted or read
   * @param wasLoaded - true when it was read at a takeover
   */
  constructor(loaded: LoadedSubmission, wasLoaded: boolean) {
    this.submission = loaded.submission;
    this.queue = loaded.submission.queue;
    const { steps } = loaded.submission.spec;
    this.#chainMs = steps.reduce((sum, { estimateMs }) => sum + estimateMs, 0);
    this.wasLoaded = wasLoaded;
    this.isCancelled = loaded.isCancelled;
    this.#stored = loaded.progress ?? {};
    this.outcome = this.#stored.outcome ?? (loaded.isCancelled ? 'cancelled' : undefined);
    this.outcomeAtMs = this.#stored.outcomeAtMs ?? 0;
    this.durableOutcome = this.outcome;
    this.hasBegun = this.#stored.hasBegun ?? false;
    this.progressVersion = loaded.progressVersion;
  }

  /** Time within which the submission, or each occurrence, should be done. */
  get objectiveMs(): number {
    return this.queue.latencyGoalMs + this.queue.stretchFactor * this.#chainMs;
  }

  /** Steps of the occurrences that are due. */
  get steps(): Iterable<StepState> {
    return this.#steps.values();
  }

  /** Number of occurrences in all. */
  get occurrenceCount(): number {
    const { schedule } = this.submission.spec;
    return schedule.kind === 'once' ? 1 : schedule.occurrenceCount;
  }

  /** What callers are told. */
  get state(): SubmissionState {
    if (this.isCancelled && this.durableOutcome !== 'succeeded') return 'cancelled';
    if (this.durableOutcome !== undefined) return this.durableOutcome;
    return this.hasBegun ? 'running' : 'pending';
  }

  /**
   * Opens the occurrences whose time has come.
   * @param wallMs - milliseconds since 1970
   * @returns the steps that were added
   */
  openDueOccurrences(wallMs: number): StepState[] {
    const added: StepState[] = [];
    while (this.#openedCount < this.occurrenceCount) {
      if (this.#getDueAtMs(this.#openedCount) > wallMs) return added;
      added.push(...this.#openOccurrence(this.#openedCount));
      this.#openedCount += 1;
    }
    return added;
  }

  /** When the next occurrence is due, in milliseconds since 1970; undefined when all are open. */
  get nextDueAtMs(): number | undefined {
    if (this.#openedCount >= this.occurrenceCount) return undefined;
    return this.#getDueAtMs(this.#openedCount);
  }

  /**
   * Finds a step.
   * @param occurrence - number of the occurrence
   * @param step - number of the step
   * @returns the step, or undefined when it does not exist or is not due
   */
  getStep(occurrence: number, step: number): StepState | undefined {
    return this.#steps.get(getStepName(occurrence, step));
  }

  /**
   * Asks whether the tasks of a step may run.
   * @param step - the step
   * @returns true when all earlier steps are done
   */
  isStepReady(step: StepState): boolean {
    return step.spec.after.every(
      (before) => this.getStep(step.occurrence, before)?.isDone ?? false,
    );
  }

  /** True when every task of every occurrence is done. */
  get isComplete(): boolean {
    if (this.#openedCount < this.occurrenceCount) return false;
    return [...this.#steps.values()].every((step) => step.isDone);
  }

  /** @returns the form in which the progress is stored */
  toStored(): StoredProgress {
    const steps: Record<string, StoredStepProgress> = { ...this.#stored.steps };
    this.#steps.forEach((step, name) => {
      const stored = step.progress.toStored();
      if (Object.keys(stored).length > 0) steps[name] = stored;
    });
    const { outcome, outcomeAtMs } = this;
    if (outcome !== undefined) return { outcome, outcomeAtMs };
    return { steps, ...(this.hasBegun ? { hasBegun: true } : {}) };
  }

  /**
   * @param occurrence - number of the occurrence
   * @returns from when its objective counts, in milliseconds since 1970
   */
  getReleasedAtMs(occurrence: number): number {
    const { schedule } = this.submission.spec;
    return schedule.kind === 'once' ? this.submission.acceptedAtMs : this.#getDueAtMs(occurrence);
  }

  #getDueAtMs(occurrence: number): number {
    const { schedule } = this.submission.spec;
    if (schedule.kind === 'once') return 0;
    return schedule.firstAtMs + occurrence * schedule.intervalMs;
  }

  #openOccurrence(occurrence: number): StepState[] {
    return this.submission.spec.steps.map((spec, number) => {
      const name = getStepName(occurrence, number);
      const progress = new StepProgress(spec.taskCount, this.#stored.steps?.[name]);
      const step = new StepState(this, occurrence, number, spec, progress);
      step.mayRunUnseen = this.wasLoaded;
      this.#steps.set(name, step);
      return step;
    });
  }
}
