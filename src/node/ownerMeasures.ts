/** Performs the effects of the owner that only measure or log. */

import type { OwnerEffect } from '../owner/types';
import { assertNever } from '../types/debug';
import type { NodePorts } from './ports';

type Measure = Extract<OwnerEffect, { kind: 'count' | 'set' | 'record' | 'log' }>;

/**
 * Performs an effect.
 * @param effect - the effect
 * @param ports - metrics and logger
 */
export function performMeasure(
  effect: Measure,
  { metrics, logger }: Pick<NodePorts, 'metrics' | 'logger'>,
): void {
  switch (effect.kind) {
    case 'count':
      metrics.count(effect.name, effect.step);
      return;
    case 'set':
      metrics.set(effect.name, effect.value);
      return;
    case 'record':
      metrics.record(effect.name, effect.durationMs);
      return;
    case 'log':
      logger[effect.level](effect.fields, effect.message);
      return;
    default:
      assertNever(effect);
  }
}
