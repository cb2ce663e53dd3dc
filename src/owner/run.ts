/** Runs of tasks on targets. */

import type { Checkpoint, Epoch, TargetId, TaskKey } from '../types/ids';
import type { TaskDemand } from '../work/types';
import type { StepState } from './stepState';
import type { RunPhase } from './types';

/** Identifies a run on its target. */
export type RunKey = `${TaskKey}#${number}`;

/** An attempt to run a task on a target. Its demand is charged to the target while it is in the target's table. */
export interface Run {
  readonly key: RunKey;
  readonly taskKey: TaskKey;
  readonly run: number;
  readonly step: StepState;
  readonly index: number;
  readonly targetId: TargetId;
  readonly charge: TaskDemand;
  /** Fencing token of the start; undefined for a former owner's, which targets that know this owner refuse. */
  readonly fence: Epoch | undefined;
  phase: RunPhase;
  /** Whether the incarnation that the run is charged to has listed it; only this proves where the run takes place. */
  isListed: boolean;
  /** Incarnations that the run was charged to and that were replaced before they had listed it. */
  formerIncarnations: readonly string[];
  /** Since when it is not known whether the start takes place; undefined once that is settled. */
  doubtSinceMs: number | undefined;
  /** When the call of an unanswered start was closed, so that nothing of it is written later, on the steady clock. */
  callEndedAtMs: number | undefined;
  /** When the start was sent, on the owner's steady clock. */
  readonly sentSteadyMs: number;
  /** When the start was sent, on the owner's clock; for an adopted run, when it was first reported. */
  readonly sentAtMs: number;
  /** When the target confirmed the run; a later poll that does not list the run proves that it ended. */
  confirmedAtMs: number | undefined;
  /** When the last stop was sent. */
  stopSentAtMs: number;
  /** When the target accepted the stop; a later poll that does not list the run proves that it ended. */
  stopConfirmedAtMs: number | undefined;
  percent: number;
  percentReportedAtMs: number;
  percentChangedAtMs: number;
  checkpoint: Checkpoint | undefined;
  /** When the target was first seen to have the checkpoint. */
  checkpointAtMs?: number | undefined;
  /** Whether this owner started it from the beginning, so that its duration is that of the task. */
  readonly isWhole?: boolean | undefined;
}

/**
 * Builds the key of a run.
 * @param taskKey - the task
 * @param run - the run number
 * @returns the key
 */
export function toRunKey(taskKey: TaskKey, run: number): RunKey {
  return `${taskKey}#${run}`;
}

/**
 * Gets when a target has confirmed a run.
 * @param run - the run
 * @returns undefined when none has, as for a run that only the report of a former owner tells of
 */
export function getConfirmedAtMs({ confirmedAtMs, fence, isListed }: Run): number | undefined {
  return fence === undefined && !isListed ? undefined : confirmedAtMs;
}
