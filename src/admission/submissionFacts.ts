/** What the decision at the gate takes from a submission. It answers submissions of very unlike sizes in one queue. */

import { getLongestChainMs } from '../durations/chain';
import { getChargedDemand } from '../work/types';
import type { Submission } from '../work/types';

/** Properties on which the decision depends. */
export interface SubmissionFacts {
  readonly queueId: string;
  readonly teamId: string;
  /** Sum of the estimates along the longest chain of dependent steps. */
  readonly chainMs: number;
  readonly stretchFactor: number;
  readonly latencyGoalMs: number;
  /** Largest demand of a task that can start first. */
  readonly maxCpuMillis: number;
  readonly maxMemoryMb: number;
}

/**
 * Gets the facts of a submission.
 * @param submission - the submission
 * @returns undefined for one that is never refused: scheduled ones may be due much later, long-running tasks have no
 *   end, and tasks that need a label, accelerators or only spare processor time do not wait for the same capacity as
 *   the work that the forecast counts
 */
export function tryGetFacts({ queue, teamId, spec }: Submission): SubmissionFacts | undefined {
  const isForecast = spec.steps.every(
    ({ policy, isFiller, requiredLabel, demand }) =>
      policy.kind !== 'standing' && !isFiller && requiredLabel === '' && demand.accelerators === 0,
  );
  if (spec.schedule.kind !== 'once' || !isForecast || spec.steps.length === 0) return undefined;
  const demands = spec.steps.filter(({ after }) => after.length === 0).map(getChargedDemand);
  return {
    queueId: queue.id,
    teamId,
    chainMs: getLongestChainMs(spec.steps, (number) => spec.steps[number]?.estimateMs ?? 0),
    stretchFactor: queue.stretchFactor,
    latencyGoalMs: queue.latencyGoalMs,
    maxCpuMillis: Math.max(...demands.map(({ cpuMillis }) => cpuMillis)),
    maxMemoryMb: Math.max(...demands.map(({ memoryMb }) => memoryMb)),
  };
}
