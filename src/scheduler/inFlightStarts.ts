/** Counts the starts on each shard whose outcome is open, so that no shard is handed over under them. */

import type { ShardId } from '../types/ids';
import type { SchedulerEffect, TargetOrigin } from './types';

function tryGetKey(origin: TargetOrigin): string | undefined {
  if (origin.kind === 'request') return `request/${origin.callId}/${origin.attempt}`;
  if (origin.kind === 'taskStart') return `task/${origin.runId}`;
  return undefined;
}

/** Starts that have left or are about to leave. */
export class InFlightStarts {
  #shardIds = new Map<string, ShardId>();

  /** Shards with a start in flight. */
  get busyShardIds(): ReadonlySet<ShardId> {
    return new Set(this.#shardIds.values());
  }

  /**
   * Records the starts among effects.
   * @param effects - of one event
   */
  track(effects: readonly SchedulerEffect[]): void {
    effects.forEach((effect) => {
      if (effect.kind !== 'callTarget') return;
      const key = tryGetKey(effect.origin);
      if (key !== undefined) this.#shardIds.set(key, effect.call.token.shardId);
    });
  }

  /**
   * Records the outcome of a call to a target.
   * @param origin - which call
   */
  finish(origin: TargetOrigin): void {
    const key = tryGetKey(origin);
    if (key !== undefined) this.#shardIds.delete(key);
  }
}
