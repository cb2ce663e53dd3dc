/** Tracks starts without a known outcome, because a shard must not be handed over while one is in flight. */

import type { ShardId } from '../types/ids';
import type { SchedulerEffect, TargetOrigin } from './types';

function tryGetKey(origin: TargetOrigin): string | undefined {
  if (origin.kind === 'request') return `request/${origin.callId}/${origin.attempt}`;
  if (origin.kind === 'taskStart') return `task/${origin.runId}`;
  return undefined;
}

/** Starts that have been decided and whose result has not arrived yet. */
export class InFlightStarts {
  #shardIdsByKey = new Map<string, ShardId>();

  /** Ids of the shards with at least one start in flight. */
  get busyShardIds(): ReadonlySet<ShardId> {
    return new Set(this.#shardIdsByKey.values());
  }

  /**
   * Records the starts among the effects of an event.
   * @param effects - effects of one event
   */
  track(effects: readonly SchedulerEffect[]): void {
    effects.forEach((effect) => {
      if (effect.kind !== 'callTarget') return;
      const key = tryGetKey(effect.origin);
      if (key !== undefined) this.#shardIdsByKey.set(key, effect.call.token.shardId);
    });
  }

  /**
   * Removes a start whose result has arrived; other calls to targets are ignored.
   * @param origin - identifies the call
   */
  finish(origin: TargetOrigin): void {
    const key = tryGetKey(origin);
    if (key !== undefined) this.#shardIdsByKey.delete(key);
  }
}
