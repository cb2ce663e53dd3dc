/** What the owner knows of one target in one life: its runs, its room, its clock, its list of ends. */

import type { SubmissionId, TargetId } from '../types/ids';
import { addDemand, NO_DEMAND } from '../work/types';
import type { TaskDemand } from '../work/types';
import {
  LAPSE_MARGIN_MS,
  MAX_QUARANTINE_MS,
  QUARANTINE_FAILURES,
  QUARANTINE_MS,
  SPEED_WEIGHT,
} from './constants';
import type { Run, RunKey } from './run';
import type { SubmissionRecord } from './submissionRecord';
import { TargetClock } from './targetClock';
import type { TargetEntry } from './types';

/** An end that the target repeats until it is acknowledged. */
interface ListedEnd {
  readonly sequence: number;
  /** The submission whose progress has to be written first; undefined when nothing has to be. */
  readonly record: SubmissionRecord | undefined;
  /** The change of that submission which the end made. */
  readonly change: number;
}

/** One target in one life. */
export class TargetState {
  #entry: TargetEntry;

  #runs = new Map<RunKey, Run>();

  #strays = new Set<RunKey>();

  #used: TaskDemand = NO_DEMAND;

  #ends: ListedEnd[] = [];

  #leaseUntilMs = 0;

  #failedSubmissions = new Set<SubmissionId>();

  #quarantineMs = QUARANTINE_MS;

  readonly clock = new TargetClock();

  /** It has answered a look under the present epoch. */
  isContacted = false;

  /** The last look or start was answered. */
  isResponding = true;

  /** It stands in the registry. */
  isListed = true;

  /** A look waits for its answer since this moment; undefined when none does. */
  lookSentAtMs: number | undefined;

  /** When the last look was answered. */
  lookAnsweredAtMs: number | undefined;

  /** No look before this moment. */
  nextLookAtMs = 0;

  /** A probe waits for its answer. */
  isProbed = false;

  /** No probe before this moment. */
  nextProbeAtMs = 0;

  /** Since when it runs nothing and only has ends to be acknowledged. */
  idleSinceMs: number | undefined;

  /** No starts before this moment. */
  pausedUntilMs = 0;

  /** Ends up to this place have been acknowledged. */
  acknowledgedSequence = 0;

  /** Duration of its runs against that of the same steps elsewhere; 1 for the mean. */
  slowness = 1;

  /**
   * @param entry - how it registered itself
   */
  constructor(entry: TargetEntry) {
    this.#entry = entry;
  }

  /** Its id. */
  get id(): TargetId {
    return this.#entry.id;
  }

  /** How it registered itself last. */
  get entry(): TargetEntry {
    return this.#entry;
  }

  /** All runs that are charged here. */
  get runs(): ReadonlyMap<RunKey, Run> {
    return this.#runs;
  }

  /** Runs listed here that belong to no task; their size is not known. */
  get strays(): ReadonlySet<RunKey> {
    return this.#strays;
  }

  /** What all charged runs take. */
  get used(): TaskDemand {
    return this.#used;
  }

  /** What is left for further runs. */
  get free(): TaskDemand {
    return addDemand(this.#entry.capacity, this.#used, -1);
  }

  /** The latest moment on its clock until which any run was allowed to go on. */
  get leaseUntilMs(): number {
    return this.#leaseUntilMs;
  }

  /** Ends that are listed and not acknowledged yet. */
  get listedEndCount(): number {
    return this.#ends.length;
  }

  /**
   * Takes a newer registration of the same life.
   * @param entry - how it registers itself now
   */
  setEntry(entry: TargetEntry): void {
    this.#entry = entry;
    this.isListed = true;
  }

  /**
   * Charges a run.
   * @param run - the run
   */
  addRun(run: Run): void {
    if (this.#runs.has(run.key)) return;
    this.#runs.set(run.key, run);
    this.#used = addDemand(this.#used, run.charge);
  }

  /**
   * Frees the room of a run that has ended.
   * @param key - the run
   * @returns the run, if it was charged
   */
  removeRun(key: RunKey): Run | undefined {
    const run = this.#runs.get(key);
    if (run === undefined) return undefined;
    this.#runs.delete(key);
    this.#used = this.#runs.size === 0 ? NO_DEMAND : addDemand(this.#used, run.charge, -1);
    return run;
  }

  /**
   * Replaces the list of runs that belong to no task.
   * @param keys - as listed now
   */
  setStrays(keys: readonly RunKey[]): void {
    this.#strays = new Set(keys);
  }

  /**
   * Notes that a lease was or may have been granted.
   * @param leaseUntilMs - its end on the target's clock
   */
  extendLease(leaseUntilMs: number): void {
    this.#leaseUntilMs = Math.max(this.#leaseUntilMs, leaseUntilMs);
  }

  /**
   * Asks whether every run here must have been killed, as its lease has lapsed.
   * @param steadyMs - time that has certainly passed here
   * @returns true when even a slow clock has passed the end of the lease
   */
  isLapsed(steadyMs: number): boolean {
    const lowerMs = this.clock.getLowerMs(steadyMs);
    return lowerMs !== undefined && lowerMs > this.#leaseUntilMs + LAPSE_MARGIN_MS;
  }

  /**
   * Notes a listed end.
   * @param sequence - its place in the target's list
   * @param record - the submission whose progress it changed, if any
   */
  addEnd(sequence: number, record: SubmissionRecord | undefined): void {
    if (this.isEndKnown(sequence)) return;
    this.#ends.push({ sequence, record, change: record?.changeCount ?? 0 });
  }

  /**
   * @param sequence - a place in the target's list
   * @returns true when this end has been dealt with
   */
  isEndKnown(sequence: number): boolean {
    return sequence <= (this.#ends.at(-1)?.sequence ?? this.acknowledgedSequence);
  }

  /** True when nothing has to be written before all ends can be acknowledged. */
  get isEveryEndDurable(): boolean {
    return this.#ends.every(
      ({ record, change }) => (record?.durableChangeCount ?? change) >= change,
    );
  }

  /** How far ends can be acknowledged: all up to this place are durable. */
  get acknowledgeableSequence(): number {
    const firstPending = this.#ends.findIndex(
      ({ record, change }) => record !== undefined && record.durableChangeCount < change,
    );
    if (firstPending === 0) return this.acknowledgedSequence;
    const last = firstPending < 0 ? this.#ends.at(-1) : this.#ends[firstPending - 1];
    return last?.sequence ?? this.acknowledgedSequence;
  }

  /**
   * Notes that the target has been told to forget ends.
   * @param sequence - up to this place
   */
  setAcknowledged(sequence: number): void {
    this.acknowledgedSequence = Math.max(this.acknowledgedSequence, sequence);
    this.#ends = this.#ends.filter((end) => end.sequence > sequence);
  }

  /** Notes a run that was done: the target is sound. */
  addSuccess(): void {
    this.#failedSubmissions.clear();
    this.#quarantineMs = QUARANTINE_MS;
  }

  /**
   * Notes how long a run took against the mean of its step.
   * @param ratio - 1 for the mean
   */
  addDuration(ratio: number): void {
    this.slowness += SPEED_WEIGHT * (ratio - this.slowness);
  }

  /**
   * Notes a failed run. Failures for different submissions with nothing done between them put the
   * target into quarantine.
   * @param submissionId - whose run failed
   * @param nowMs - our clock
   * @returns the length of a quarantine that begins, or 0
   */
  addFailure(submissionId: SubmissionId, nowMs: number): number {
    this.#failedSubmissions.add(submissionId);
    if (this.#failedSubmissions.size < QUARANTINE_FAILURES) return 0;
    return this.quarantine(nowMs);
  }

  /**
   * Puts the target into quarantine.
   * @param nowMs - our clock
   * @returns its length
   */
  quarantine(nowMs: number): number {
    const lengthMs = this.#quarantineMs;
    this.pausedUntilMs = Math.max(this.pausedUntilMs, nowMs + lengthMs);
    this.#quarantineMs = Math.min(lengthMs * 2, MAX_QUARANTINE_MS);
    return lengthMs;
  }

  /** True when the last runs that ended by themselves here failed. */
  get isSuspect(): boolean {
    return this.#failedSubmissions.size > 0;
  }
}
