/** One run of a task on one target. */

import type { Checkpoint, TargetId, TaskKey } from '../types/ids';
import type { TaskDemand } from '../work/types';
import type { StepState } from './stepState';
import type { RunPhase } from './types';

/** Identifies a run among all of a target. */
export type RunKey = `${TaskKey}#${number}`;

/** One run. Its room is charged on its target as long as it is in the target's table. */
export interface Run {
  readonly key: RunKey;
  readonly taskKey: TaskKey;
  readonly run: number;
  readonly step: StepState;
  readonly index: number;
  readonly targetId: TargetId;
  readonly charge: TaskDemand;
  phase: RunPhase;
  /** When the start left, on our clock; for an adopted run when it was first listed. */
  readonly sentAtMs: number;
  /** When the target confirmed it; a later look that does not list it proves its end. */
  confirmedAtMs: number | undefined;
  /** When a stop was last sent. */
  stopSentAtMs: number;
  /** When the target accepted the stop; a later look that does not list the run proves its end. */
  stopConfirmedAtMs: number | undefined;
  percent: number;
  percentAtMs: number;
  percentChangedAtMs: number;
  checkpoint: Checkpoint | undefined;
}

/**
 * Builds a run's key.
 * @param taskKey - the task
 * @param run - the number of its run
 * @returns the key
 */
export function toRunKey(taskKey: TaskKey, run: number): RunKey {
  return `${taskKey}#${run}`;
}
