/** State of one accepted submission: its steps, its outcome and which of its changes are durable. */

import { getLongestChainMs } from '../durations/chain';
import type { Queue, Submission, SubmissionState } from '../work/types';
import { IndexRangeSet } from '../work/indexRangeSet';
import { StepProgress } from '../work/stepProgress';
import type { StoredStepProgress } from '../work/stepProgress';
import type { StoredProgress } from '../work/storedProgress';
import { getExpectedDurationMs } from './expectedDuration';
import type { LearntDurations } from './learntDurations';
import { StepState } from './stepState';
import type { LoadedSubmission } from './types';

/** Final outcome of a submission. */
export type SubmissionOutcome = NonNullable<StoredProgress['outcome']>;

/**
 * Maximum number of occurrences that are open and not done. Occurrences that are overdue, such as those of a
 * schedule that begins in the past, are opened as earlier ones end.
 */
const MAX_OPEN_OCCURRENCES = 50;

function getStepName(occurrence: number, step: number): string {
  return `${occurrence}.${step}`;
}

/** The owner's state of one submission. */
export class SubmissionRecord {
  #steps = new Map<string, StepState>();

  #stored: StoredProgress;

  /** Steps of the open occurrences. Those of one that is done are dropped, unless it is the only one. */
  #open = new Map<number, readonly StepState[]>();

  #doneOccurrences: IndexRangeSet;

  /** All occurrences below are done, or open with tasks that may run. */
  #nextOccurrence = 0;

  #isRestored = false;

  /** Sum of the estimated durations of all steps. */
  #totalEstimateMs: number;

  /** The expected time of its work, and the version of the forecasts that it was made from. */
  #expectedWork: { readonly version: number; readonly durationMs: number } | undefined;

  /** What has been learnt about durations; undefined when callers' estimates are used. */
  readonly durations: LearntDurations | undefined;

  readonly submission: Submission;

  #queue: Queue;

  /** Services besides that of the queue at acceptance, with the change that has to be durable before they are used. */
  #serviceChanges: Map<string, number>;

  /** Whether a former owner may have started tasks of it that no target has listed yet. */
  #mayRunUnseen: boolean;

  isCancelled: boolean;

  /** Whether its cancellation may be in a part of the store that has not been read; its tasks wait until then. */
  isCancellationUnread: boolean;

  outcome: SubmissionOutcome | undefined;

  /** Time at which the outcome was decided, in milliseconds since 1970. */
  outcomeAtMs: number;

  /** The outcome reported to callers: {@link SubmissionRecord.outcome} once it has been written. */
  durableOutcome: SubmissionOutcome | undefined;

  hasBegun: boolean;

  /** Whether this owner has sent a start of any of its tasks. */
  hasStarted = false;

  /** Whether its row was read at the takeover, so that a former owner may have started it. */
  readonly isLoaded: boolean;

  /** Version of the first of its rows that this owner has read from the store since the takeover. */
  firstRowVersion: number | undefined;

  /** The task that was given up because targets crashed under it. */
  givenUpTask: string | undefined;

  /** Whether it exceeds its team's rate and is scheduled after submissions that do not. */
  isExcess = false;

  /** Whether targets crash under tasks of its queue at present, so that its tasks are kept apart from others. */
  isCrashLikely = false;

  /** Version of the stored progress row; 0 when there is none. */
  progressVersion: number;

  /** Number of changes to the progress to be stored. */
  changeCount = 0;

  /** Whether the store does not take its progress, so that nobody's ends wait for that to be durable. */
  isUnstorable = false;

  /** Value of {@link SubmissionRecord.changeCount} up to which changes are durable. */
  durableChangeCount = 0;

  /**
   * @param loaded - the submission as accepted or loaded
   * @param mayRunUnseen - whether a former owner may have started tasks of it that no target has listed yet
   * @param isLoaded - whether its row was read at the takeover
   * @param durations - what has been learnt about durations; without it the callers' estimates are used
   */
  constructor(
    loaded: LoadedSubmission,
    mayRunUnseen: boolean,
    isLoaded = false,
    durations: LearntDurations | undefined = undefined,
  ) {
    this.isLoaded = isLoaded;
    this.durations = durations;
    this.submission = loaded.submission;
    this.#queue = loaded.submission.queue;
    const { steps } = loaded.submission.spec;
    this.#totalEstimateMs = steps.reduce((sum, { estimateMs }) => sum + estimateMs, 0);
    this.#mayRunUnseen = mayRunUnseen;
    this.isCancelled = loaded.isCancelled;
    this.isCancellationUnread = loaded.isCancellationUnread ?? false;
    this.#stored = loaded.progress ?? {};
    this.#serviceChanges = new Map((this.#stored.serviceNames ?? []).map((name) => [name, 0]));
    this.#doneOccurrences = IndexRangeSet.parse(this.#stored.doneOccurrences ?? '');
    this.outcome = this.#stored.outcome ?? (loaded.isCancelled ? 'cancelled' : undefined);
    this.outcomeAtMs = this.#stored.outcomeAtMs ?? 0;
    this.durableOutcome = this.outcome;
    this.hasBegun = this.#stored.hasBegun ?? false;
    this.givenUpTask = this.#stored.givenUpTask;
    this.progressVersion = loaded.progressVersion;
  }

  /** Current configuration of the queue; the last one known, or that at acceptance, if it is no longer configured. */
  get queue(): Queue {
    return this.#queue;
  }

  /**
   * Adopts the configuration of the queue. A service that it names for the first time is stored with the progress.
   * @param queue - the configuration
   * @param serviceNames - services on whose targets tasks may still run, so that others are forgotten; undefined when
   *   that is not known
   * @returns true when tasks wait until the change is durable, for which the caller marks the progress as changed
   */
  setQueue(queue: Queue, serviceNames: ReadonlySet<string> | undefined): boolean {
    this.#queue = queue;
    const { serviceName } = queue;
    if (serviceName === this.submission.queue.serviceName) return false;
    if (this.#serviceChanges.has(serviceName)) return false;
    [...this.#serviceChanges.keys()]
      .filter((name) => serviceNames?.has(name) === false)
      .forEach((name) => this.#serviceChanges.delete(name));
    this.#serviceChanges.set(serviceName, this.changeCount + 1);
    return true;
  }

  /** Whether a later owner would look for tasks on targets of the queue's present service. */
  get isServiceRecorded(): boolean {
    const { serviceName } = this.#queue;
    if (serviceName === this.submission.queue.serviceName) return true;
    return this.durableChangeCount >= (this.#serviceChanges.get(serviceName) ?? 0);
  }

  /**
   * Checks whether tasks may run on a target, going by its services.
   * @param serviceNames - services of the target's incarnations
   * @returns false when no owner has started a task on a target of any of them
   */
  mayUseServices(serviceNames: readonly string[]): boolean {
    return serviceNames.some(
      (name) =>
        name === this.submission.queue.serviceName ||
        name === this.#queue.serviceName ||
        this.#serviceChanges.has(name),
    );
  }

  /** Latency objective of the submission, or of each occurrence. */
  get objectiveMs(): number {
    return this.queue.latencyGoalMs + this.queue.stretchFactor * this.#getWorkMs();
  }

  /** It is the same for all that compare steps in one pass, as the version of the forecasts changes between passes. */
  #getWorkMs(): number {
    if (this.durations === undefined) return this.#totalEstimateMs;
    const { version } = this.durations;
    if (this.#expectedWork?.version !== version)
      this.#expectedWork = { version, durationMs: this.#getLongestChainMs() };
    return this.#expectedWork.durationMs;
  }

  #getLongestChainMs(): number {
    const [opened] = this.#open.values();
    const { steps } = this.submission.spec;
    return getLongestChainMs(steps, (number) => {
      const step = opened?.[number];
      return step === undefined ? (steps[number]?.estimateMs ?? 0) : getExpectedDurationMs(step);
    });
  }

  /** Steps of the open occurrences. */
  get steps(): Iterable<StepState> {
    return this.#steps.values();
  }

  /** Records that no former owner has started any task of it. */
  clearUnseenRuns(): void {
    this.#mayRunUnseen = false;
    this.#steps.forEach((step) => {
      const known = step;
      known.mayRunUnseen = false;
    });
  }

  /** Total number of occurrences. */
  get occurrenceCount(): number {
    const { schedule } = this.submission.spec;
    return schedule.kind === 'once' ? 1 : schedule.occurrenceCount;
  }

  /** The state reported to callers. */
  get state(): SubmissionState {
    if (this.isCancelled && this.durableOutcome !== 'succeeded') return 'cancelled';
    if (this.durableOutcome !== undefined) return this.durableOutcome;
    return this.hasBegun ? 'running' : 'pending';
  }

  /**
   * Opens the occurrences that are due, and those that a former owner had opened.
   * @param wallMs - milliseconds since 1970
   * @returns the steps that may now become ready
   */
  openDueOccurrences(wallMs: number): StepState[] {
    this.#closeDoneOccurrences();
    const added = this.#restoreOccurrences();
    let unfinishedCount = this.#countReleased();
    for (;;) {
      this.#nextOccurrence = this.#doneOccurrences.getNextAbsent(this.#nextOccurrence);
      const next = this.#nextOccurrence;
      if (next >= this.occurrenceCount || unfinishedCount >= MAX_OPEN_OCCURRENCES) return added;
      if (this.#getDueAtMs(next) > wallMs) return added;
      added.push(...(this.#open.get(next) ?? this.#openOccurrence(next)));
      this.#nextOccurrence += 1;
      unfinishedCount += 1;
    }
  }

  /**
   * Opens an occurrence that a former owner must have opened, whatever its due time. Its tasks wait until this owner
   * comes to it.
   * @param occurrence - number of the occurrence
   * @returns its steps, or undefined when it does not exist, is done or is open already
   */
  tryOpenListed(occurrence: number): readonly StepState[] | undefined {
    if (this.outcome !== undefined || !this.#isRepeated || !this.#isRestored) return undefined;
    const isKnown = this.#doneOccurrences.has(occurrence) || this.#open.has(occurrence);
    if (isKnown || occurrence >= this.occurrenceCount) return undefined;
    return this.#openOccurrence(occurrence);
  }

  /** Due time of the next occurrence, in milliseconds since 1970; undefined when all have been opened. */
  get nextDueAtMs(): number | undefined {
    const next = this.#doneOccurrences.getNextAbsent(this.#nextOccurrence);
    return next >= this.occurrenceCount ? undefined : this.#getDueAtMs(next);
  }

  /**
   * Looks up a step.
   * @param occurrence - number of the occurrence
   * @param step - number of the step
   * @returns the step, or undefined when it does not exist or its occurrence is done or has not been opened
   */
  getStep(occurrence: number, step: number): StepState | undefined {
    return this.#steps.get(getStepName(occurrence, step));
  }

  /**
   * Checks whether the tasks of a step may run.
   * @param step - the step
   * @returns true when its occurrence is due and all its dependencies are done
   */
  isStepReady(step: StepState): boolean {
    if (step.occurrence >= this.#nextOccurrence) return false;
    return step.spec.after.every(
      (dependency) => this.getStep(step.occurrence, dependency)?.isDone ?? false,
    );
  }

  /** Whether every task of every occurrence is done. */
  get isComplete(): boolean {
    this.#closeDoneOccurrences();
    if (this.#doneOccurrences.getNextAbsent(0) >= this.occurrenceCount) return true;
    return this.nextDueAtMs === undefined && [...this.steps].every((step) => step.isDone);
  }

  /**
   * @param occurrence - number of an occurrence
   * @returns true when all its tasks are done
   */
  isOccurrenceDone(occurrence: number): boolean {
    return this.#doneOccurrences.has(occurrence);
  }

  get #isRepeated(): boolean {
    return this.submission.spec.schedule.kind === 'repeated';
  }

  /** Only the numbers of done occurrences are kept, as a schedule may have any number of them. */
  #closeDoneOccurrences(): void {
    if (!this.#isRepeated) return;
    this.#open.forEach((steps, occurrence) => {
      if (!steps.every((step) => step.isDone)) return;
      this.#doneOccurrences.add(occurrence);
      this.#open.delete(occurrence);
      steps.forEach(({ number }) => this.#steps.delete(getStepName(occurrence, number)));
    });
  }

  /** Opens the occurrences of which a former owner has stored some progress. */
  #restoreOccurrences(): StepState[] {
    if (this.#isRestored || !this.#isRepeated) return [];
    this.#isRestored = true;
    const stored = new Set(
      Object.keys(this.#stored.steps ?? {}).map((name) => Number.parseInt(name, 10)),
    );
    const added = [...stored]
      .filter((occurrence) => !this.#doneOccurrences.has(occurrence))
      .flatMap((occurrence) => this.#openOccurrence(occurrence));
    this.#closeDoneOccurrences();
    return added.filter(({ occurrence }) => this.#open.has(occurrence));
  }

  /** Number of open occurrences whose tasks may run. */
  #countReleased(): number {
    let count = 0;
    this.#open.forEach((_steps, occurrence) => {
      if (occurrence < this.#nextOccurrence) count += 1;
    });
    return count;
  }

  /** @returns the progress in its stored form */
  toStored(): StoredProgress {
    this.#closeDoneOccurrences();
    const steps: Record<string, StoredStepProgress> = this.#isRestored
      ? {}
      : { ...this.#stored.steps };
    this.#steps.forEach((step, name) => {
      const stored = step.progress.toStored();
      if (Object.keys(stored).length > 0) steps[name] = stored;
      else delete steps[name];
    });
    const { outcome, outcomeAtMs, givenUpTask } = this;
    if (outcome !== undefined)
      return { outcome, outcomeAtMs, ...(givenUpTask === undefined ? {} : { givenUpTask }) };
    const doneOccurrences = this.#doneOccurrences.format();
    return {
      steps,
      ...(doneOccurrences === '' ? {} : { doneOccurrences }),
      ...(this.#serviceChanges.size === 0
        ? {}
        : { serviceNames: [...this.#serviceChanges.keys()] }),
      ...(this.hasBegun ? { hasBegun: true } : {}),
    };
  }

  /**
   * @param occurrence - number of the occurrence
   * @returns the time from which its objective is measured, in milliseconds since 1970
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
    const steps = this.submission.spec.steps.map((spec, number) => {
      const name = getStepName(occurrence, number);
      const progress = new StepProgress(spec.taskCount, this.#stored.steps?.[name]);
      const step = new StepState(this, occurrence, number, spec, progress);
      step.mayRunUnseen = this.#mayRunUnseen;
      this.#steps.set(name, step);
      return step;
    });
    this.#open.set(occurrence, steps);
    return steps;
  }
}
