/** Performs the owner's calls to targets. */

import type { ClockReadings, OwnerEffect, OwnerEvent } from '../owner/types';
import { assertNever } from '../types/debug';
import type { DistributiveOmit } from '../types/distributiveOmit';
import type { NodePorts } from './ports';

/** A call to one incarnation of a target. */
export type TargetCallEffect = Extract<OwnerEffect, { kind: 'poll' | 'startRun' | 'stopRun' }>;

/**
 * Calls a target.
 * @param effect - the call
 * @param ports - connections to targets, and the clock
 * @param isTooLate - evaluated right before the call is written; true cancels it
 * @returns the answer
 */
export async function callTarget(
  effect: TargetCallEffect,
  { targets, clock }: Pick<NodePorts, 'targets' | 'clock'>,
  isTooLate: () => boolean,
): Promise<DistributiveOmit<OwnerEvent, keyof ClockReadings>> {
  const { targetId, incarnationStartMs } = effect;
  const sentAtMs = clock.nowMs();
  switch (effect.kind) {
    case 'poll': {
      const { address, isProbe } = effect;
      const result = await targets.poll(effect, isTooLate);
      return {
        ...{ kind: 'pollAnswered', targetId, address, incarnationStartMs },
        ...{ isProbe, sentAtMs, result },
      };
    }
    case 'startRun': {
      const { taskKey, run } = effect;
      const result = await targets.start(effect, isTooLate);
      return {
        ...{ kind: 'startAnswered', targetId, incarnationStartMs },
        ...{ taskKey, run, sentAtMs, result },
      };
    }
    case 'stopRun': {
      const { taskKey, run } = effect;
      const result = await targets.stop(effect, isTooLate);
      return {
        ...{ kind: 'stopAnswered', targetId, incarnationStartMs },
        ...{ taskKey, run, sentAtMs, result },
      };
    }
    default:
      return assertNever(effect);
  }
}
