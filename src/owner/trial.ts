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
  /** When the reports were found durable; undefined before that. */
  durableAtMs: number | undefined;
  /** Number of the run; undefined until it has been started. */
  run: number | undefined;
}

/**
 * Gets the targets that are reserved for trials of a step which have not started.
 * @param step - the step
 * @param targets - targets with something unusual, among them all reserved ones
 * @returns the reserved targets
 */
export function getReservedTargets(
  step: StepState,
  targets: readonly TargetState[],
): readonly TargetState[] {
  return targets.filter(({ trial }) => trial?.step === step && trial.run === undefined);
}
