/**
 * What is recorded of targets that do not answer: since when, and until when they may hold runs. A later owner that
 * does not reach them either then waits no longer than this one would have.
 */

import { getSilentEndMs } from './runBounds';
import type { OwnerState } from './ownerState';
import { toTargetEntry } from './targetRecord';
import type { TargetState } from './targetState';
import type { TargetEntry, TargetSilence } from './types';
import type { TargetId } from '../types/ids';

/** A target that has answered this owner is recorded as silent after this time; most interruptions are shorter. */
const SILENCE_RECORD_DELAY_MS = 1_000;

/** One that has not answered this owner holds up tasks, so its end is recorded sooner for the next owner. */
const FORMER_SILENCE_RECORD_DELAY_MS = 600;

/** A recorded end is replaced by one that is earlier by more than this. */
const MIN_GAIN_MS = 250;

/** The same during a handover, when the successor has no other source; readings of the store's clock differ by less. */
const MIN_HANDOVER_GAIN_MS = 50;

/** It is replaced by one that is later by more than this; readings of the store's clock may be a second old. */
const MIN_DELAY_MS = 1_500;

/**
 * With an older reading of its clock the store may be away. Then nothing is recorded, as leases cannot be renewed while
 * the row of a target that answers again cannot be written.
 */
const MAX_READING_AGE_MS = 2_500;

/** A target to record as silent. */
export interface SilentTarget {
  readonly id: TargetId;
  readonly silence: TargetSilence;
}

/** Finds what is to be recorded of silent targets. */
export class SilenceTracker {
  #state: OwnerState;

  /**
   * @param state - the shared state of the owner
   */
  constructor(state: OwnerState) {
    this.#state = state;
  }

  /** @returns the silent targets whose rows say nothing of that, or name another end than is known by now */
  getDue(): readonly SilentTarget[] {
    const { record, targets } = this.#state;
    return record.ids.flatMap((id) => {
      const target = targets.get(id);
      const silence = target === undefined ? this.#tryCreateForAbsent(id) : this.#tryCreate(target);
      if (silence === undefined || !this.#isDifferent(id, silence)) return [];
      return [{ id, silence }];
    });
  }

  /**
   * Gets what a row has to say when it is written for a target.
   * @param target - the target
   * @returns undefined when it answers, or has not been silent for long
   */
  getToWrite(target: TargetState): TargetSilence | undefined {
    return this.#tryCreate(target) ?? this.#getRecorded(target.entry, target);
  }

  /** What is recorded holds until the target answers. */
  #getRecorded(
    { id, incarnationStartMs }: TargetEntry,
    target: TargetState | undefined,
  ): TargetSilence | undefined {
    if (target?.isContacted && target.isResponding) return undefined;
    const silence = this.#state.record.get(id)?.silence;
    return silence?.incarnationStartMs === incarnationStartMs ? silence : undefined;
  }

  #isDifferent(id: TargetId, { incarnationStartMs, endsAtMs }: TargetSilence): boolean {
    const recorded = this.#state.record.get(id)?.silence;
    if (recorded?.incarnationStartMs !== incarnationStartMs) return true;
    const gainMs = recorded.endsAtMs - endsAtMs;
    const minGainMs = this.#state.isHandingOver ? MIN_HANDOVER_GAIN_MS : MIN_GAIN_MS;
    return gainMs > minGainMs || gainMs < -MIN_DELAY_MS;
  }

  #tryCreate(target: TargetState): TargetSilence | undefined {
    const { nowMs } = this.#state;
    const { lostAtMs, isContacted, isResponding } = target;
    if (lostAtMs === undefined || (isContacted && isResponding)) return undefined;
    if (nowMs < lostAtMs + this.#getDelayMs(target)) return undefined;
    return this.#create(target.entry, getSilentEndMs(this.#state, target), lostAtMs, target);
  }

  #getDelayMs({ lastAnsweredAtMs }: TargetState): number {
    if (this.#state.isHandingOver) return 0;
    return lastAnsweredAtMs > 0 ? SILENCE_RECORD_DELAY_MS : FORMER_SILENCE_RECORD_DELAY_MS;
  }

  /** The target has been removed from the table, so it has left the registry and holds nothing that is known. */
  #tryCreateForAbsent(id: TargetId): TargetSilence | undefined {
    const recorded = this.#state.record.get(id);
    if (recorded === undefined) return undefined;
    const entry = toTargetEntry(recorded);
    const endsMs = this.#state.getUnresolvedUntilMs(entry);
    return this.#create(entry, endsMs, this.#state.nowMs, undefined);
  }

  #create(
    entry: TargetEntry,
    endsMs: number,
    lostAtMs: number,
    target: TargetState | undefined,
  ): TargetSilence | undefined {
    const { storeClock, nowMs, steadyMs, unresolvedUntilMs, epoch } = this.#state;
    // The row of a target that holds nothing is removed instead, once no former owner may use it any more.
    if (steadyMs >= Math.max(endsMs, unresolvedUntilMs)) return undefined;
    if (storeClock.getAgeMs(nowMs) > MAX_READING_AGE_MS) return undefined;
    const nowStoreMs = storeClock.getUpperBoundMs(steadyMs, this.#state);
    const endsAtMs = storeClock.getUpperBoundMs(endsMs, this.#state);
    if (nowStoreMs === undefined || endsAtMs === undefined || !Number.isFinite(endsAtMs))
      return undefined;
    const recorded = this.#getRecorded(entry, target);
    // What former owners knew of a target that this one has not reached still holds.
    const wasReached = target !== undefined && target.lastAnsweredAtMs > 0;
    const recordedEndMs = wasReached ? undefined : recorded?.endsAtMs;
    return {
      epoch,
      incarnationStartMs: entry.incarnationStartMs,
      sinceMs: Math.floor(recorded?.sinceMs ?? nowStoreMs - (nowMs - lostAtMs)),
      endsAtMs: Math.ceil(Math.min(endsAtMs, recordedEndMs ?? endsAtMs)),
    };
  }
}
