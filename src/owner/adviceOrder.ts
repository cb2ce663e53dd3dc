/**
 * Order in which steps get calls to the advice service: first those whose call is short or whose lasting tasks have
 * room, then those that could start once they hold a ticket, then those without room.
 *
 * Load pattern: the service takes half a second or more for a call about batch or lasting tasks, and few calls can be
 * made at a time. In the order of scheduling, lasting tasks of a team beyond its rate come after all batch work of the
 * others, which takes all calls for as long as it keeps coming.
 */

import type { StepState } from './stepState';

/** What the order depends on besides the order of scheduling. */
export interface AdviceDemand {
  readonly step: StepState;
  /** Whether a call for it occupies its lane only for a short time, or a target is reserved until it is answered. */
  readonly isUrgent: boolean;
  /** Whether a target that the service has not refused has room for a task now. */
  readonly hasRoom: boolean;
}

/** Classes of steps; those of a lower one come first. */
const CLASSES = { prompt: 0, startable: 1, full: 2 } as const;

function getClass({ step, isUrgent, hasRoom }: AdviceDemand): number {
  if (isUrgent || (step.isLongRunning && hasRoom)) return CLASSES.prompt;
  // Lasting tasks within the rate of their team may preempt batch runs, for which they need a ticket first.
  const mayPreempt = step.isLongRunning && !step.record.isExcess;
  return hasRoom || mayPreempt ? CLASSES.startable : CLASSES.full;
}

/**
 * Sorts steps that need advice.
 * @param demands - the steps, in any order
 * @param sort - sorts steps into the order of scheduling
 * @returns the steps, the one to ask for first at the front; in the order of scheduling within a class
 */
export function sortForAdvice(
  demands: readonly AdviceDemand[],
  sort: (steps: readonly StepState[]) => StepState[],
): StepState[] {
  const classes = new Map(demands.map((demand) => [demand.step, getClass(demand)]));
  const getClassOf = (step: StepState) => classes.get(step) ?? CLASSES.full;
  return sort([...classes.keys()]).sort((left, right) => getClassOf(left) - getClassOf(right));
}
