/** Trials of suspected tasks: a suspected task is started where nothing else has just been started. */

import type { StepState } from './stepState';
import type { TargetState } from './targetState';

/** A task of a trial and the target that is kept free of other starts for it. */
export interface TrialPlacement {
  readonly index: number;
  readonly target: TargetState;
}

/** A trial of one task, or of all members of a gang. */
export interface Trial {
  readonly step: StepState;
  readonly placements: readonly TrialPlacement[];
  /** When the targets were reserved. */
  readonly reservedAtMs: number;
  /** Change count of the submission with the reports of the trial; it starts once they are durable. */
  readonly change: number;
  /** Number of the run; undefined until it has been started. */
  run: number | undefined;
}
