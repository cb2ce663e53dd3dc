/** Splits the shards of a candidate list into those of the preferred data centre and all others. */

import type { DataCentreId, ShardId } from '../types/ids';
import type { Target } from './types';

type NearAndFarShards = readonly [near: ReadonlySet<ShardId>, far: ReadonlySet<ShardId>];

/** Caches the split until a different candidate list is passed. */
export class ShardsByProximity {
  #targets: readonly Target[] | undefined;

  #shards: NearAndFarShards = [new Set(), new Set()];

  get(targets: readonly Target[], nearDataCentreId: DataCentreId): NearAndFarShards {
    if (this.#targets === targets) return this.#shards;
    const near = new Set<ShardId>();
    const far = new Set<ShardId>();
    targets.forEach(({ shardId, dataCentreId }) => {
      (dataCentreId === nearDataCentreId ? near : far).add(shardId);
    });
    this.#targets = targets;
    this.#shards = [near, far];
    return this.#shards;
  }
}
