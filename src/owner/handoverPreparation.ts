/**
 * Prepares a planned handover. The leaving owner is alive and knows which targets are silent and what they can hold, so
 * it stores that for its successor before it resigns. A target that has just fallen silent may not have missed a call
 * yet, as polls wait at targets; so all used targets are asked first whether they still answer.
 */

import { assertNever } from '../types/debug';
import {
  HANDOVER_CLAIM_MS,
  HANDOVER_DEPARTURE_MS,
  HANDOVER_PREPARATION_MS,
  HANDOVER_PROBE_MS,
} from './constants';
import type { CrashTracker } from './crashTracker';
import type { OwnerState } from './ownerState';
import type { UndurableChange } from './progressWriter';
import type { TargetPoller } from './targetPoller';
import type { TargetRecorder } from './targetRecorder';
import type { TargetState } from './targetState';
import type { OwnerEvent } from './types';

/** Events that can complete what is being stored, or the time for it. */
const RECORDING_EVENTS: ReadonlySet<OwnerEvent['kind']> = new Set([
  ...(['tick', 'targetsRecorded', 'progressWritten'] as const),
]);

/** So many targets, or this fraction of them, may fall silent at once without this node being the cause. */
const MIN_PLAUSIBLE_COUNT = 3;
const MAX_PLAUSIBLE_FRACTION = 0.5;

/** How far the preparation has come, and what the log line at its end tells of the former phases. */
type HandoverPhase =
  | { readonly kind: 'none' }
  | {
      readonly kind: 'probing';
      readonly begin: HandoverBegin;
      readonly awaited: readonly TargetState[];
    }
  | {
      readonly kind: 'recording';
      readonly begin: HandoverBegin;
      readonly unansweredCount: number;
      /** The handover is not delayed beyond this, whatever is left to be stored. */
      readonly endsAtMs: number;
      readonly changes: readonly UndurableChange[];
    }
  | { readonly kind: 'prepared'; readonly atMs: number };

/** State at the beginning of the preparation. */
interface HandoverBegin {
  readonly atMs: number;
  readonly probed: readonly TargetState[];
  readonly silentCount: number;
  readonly removedCount: number;
}

/** Prepares handovers of one owner. */
export class HandoverPreparation {
  #state: OwnerState;

  #poller: TargetPoller;

  #recorder: TargetRecorder;

  #crashTracker: CrashTracker;

  #phase: HandoverPhase = { kind: 'none' };

  /**
   * @param state - the shared state of the owner
   * @param poller - asks targets whether they still answer
   * @param recorder - writes the record of targets
   * @param crashTracker - reports the runs of silent targets
   */
  constructor(
    state: OwnerState,
    poller: TargetPoller,
    recorder: TargetRecorder,
    crashTracker: CrashTracker,
  ) {
    this.#state = state;
    this.#poller = poller;
    this.#recorder = recorder;
    this.#crashTracker = crashTracker;
  }

  /** Begins the preparation, unless one is under way. */
  onRequested(): void {
    const { kind } = this.#phase;
    if (kind === 'probing' || kind === 'recording') return;
    const { record, targets, nowMs } = this.#state;
    const probed = record.ids
      .flatMap((id) => targets.get(id) ?? [])
      .filter((target) => this.#poller.probeForHandover(target));
    const begin = {
      atMs: nowMs,
      probed,
      silentCount: this.#recorder.silentCount,
      removedCount: this.#recorder.removedCount,
    };
    this.#phase = { kind: 'probing', begin, awaited: probed };
  }

  /**
   * Goes on with the preparation.
   * @param event - kind of the event that has been applied
   */
  check(event: OwnerEvent['kind']): void {
    const phase = this.#phase;
    switch (phase.kind) {
      case 'none':
        return;
      case 'probing':
        this.#checkProbes(phase);
        return;
      case 'recording':
        if (RECORDING_EVENTS.has(event)) this.#checkRecorded(phase);
        return;
      case 'prepared':
        if (this.#state.nowMs < phase.atMs + HANDOVER_CLAIM_MS) return;
        this.#state.isHandingOver = false;
        this.#phase = { kind: 'none' };
        return;
      default:
        assertNever(phase);
    }
  }

  #checkProbes({ begin, awaited }: Extract<HandoverPhase, { kind: 'probing' }>): void {
    const { targets, nowMs, writer } = this.#state;
    const unanswered = awaited.filter(
      (target) => target.isProbeInFlight && targets.get(target.id) === target,
    );
    this.#phase = { kind: 'probing', begin, awaited: unanswered };
    if (unanswered.length > 0 && nowMs < begin.atMs + HANDOVER_PROBE_MS) return;
    if (this.#isDepartureAwaited() && nowMs < begin.atMs + HANDOVER_DEPARTURE_MS) return;
    this.#state.isHandingOver = HandoverPreparation.#isSilenceOfTargets(begin);
    // With the reports the successor takes the runs for known, and other work need not wait for the target.
    this.#state.watch
      .getUnusual()
      .filter(({ isResponding }) => !isResponding)
      .forEach((target) => this.#crashTracker.onStillLost(target));
    const recording: HandoverPhase = {
      ...{ kind: 'recording', begin, unansweredCount: unanswered.length },
      endsAtMs: Math.max(begin.atMs, nowMs - HANDOVER_PROBE_MS) + HANDOVER_PREPARATION_MS,
      changes: writer.undurableChanges,
    };
    this.#phase = recording;
    this.#checkRecorded(recording);
  }

  /** The registry drops a target soon after it has left, and only this owner can then tell that from a silence. */
  #isDepartureAwaited(): boolean {
    return [...this.#state.watch.draining].some(
      ({ isResponding, isRegistered, runs }) => !isResponding && isRegistered && runs.size > 0,
    );
  }

  /**
   * When most targets seem to have fallen silent at once, this node may be the cause, as it is being stopped. If that
   * were recorded, they would get no starts and no leases until their rows were written again.
   */
  static #isSilenceOfTargets({ probed }: HandoverBegin): boolean {
    const silentCount = probed.filter(({ isResponding }) => !isResponding).length;
    return silentCount <= Math.max(MIN_PLAUSIBLE_COUNT, probed.length * MAX_PLAUSIBLE_FRACTION);
  }

  #checkRecorded(phase: Extract<HandoverPhase, { kind: 'recording' }>): void {
    const { begin, unansweredCount } = phase;
    const isRecordWritten = this.#recorder.flush();
    const changes = phase.changes.filter(
      ({ record, change }) => !record.isUnstorable && record.durableChangeCount < change,
    );
    this.#phase = { ...phase, changes };
    const { nowMs } = this.#state;
    const isDone = isRecordWritten && changes.length === 0;
    if (!isDone && nowMs < phase.endsAtMs) return;
    this.#phase = { kind: 'prepared', atMs: nowMs };
    this.#state.log('handover prepared', {
      durationMs: Math.round(nowMs - begin.atMs),
      probedCount: begin.probed.length,
      unansweredCount,
      isSilenceRecorded: this.#state.isHandingOver,
      silentCount: this.#recorder.silentCount - begin.silentCount,
      removedCount: this.#recorder.removedCount - begin.removedCount,
      isRecordWritten,
      unwrittenCount: changes.length,
    });
    this.#state.emit({ kind: 'handoverPrepared' });
  }
}
