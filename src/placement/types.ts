/** Targets as seen by their owner, and the charges against their resources. */

import type { DataCentreId, ShardId, TargetId, TeamId } from '../types/ids';
import type { ResourceVector } from '../types/resources';

/** A target that this scheduler owns or could come to own. */
export interface Target {
  readonly targetId: TargetId;
  readonly shardId: ShardId;
  readonly address: string;
  readonly dataCentreId: DataCentreId;
  readonly rack: string;
  readonly capacity: ResourceVector;
  readonly isLeaving: boolean;
}

/** Resources of a target and slots of a team's allotment, charged and released together for one start. */
export interface Charge {
  readonly targetId: TargetId;
  readonly shardId: ShardId;
  readonly teamId: TeamId;
  readonly demand: ResourceVector;
}

/** A charge, or the reason why nothing was charged. */
export type ChargeResult =
  | { readonly kind: 'charged'; readonly charge: Charge }
  | { readonly kind: 'noCapacity' }
  | { readonly kind: 'limitReached' };

/** Provides each shard's allotment: the part of a team's upper limit that the owner of the shard may use. */
export interface AllotmentSource {
  /**
   * @param shardId - the shard
   * @param teamId - the team
   * @returns the number of slots that the team may use on the shard
   */
  getAllottedSlots(shardId: ShardId, teamId: TeamId): number;
  /**
   * Records that the allotment of a shard prevented a start.
   * @param shardId - the shard
   * @param teamId - the team
   * @param slots - slots that the start needed
   */
  recordShortage(shardId: ShardId, teamId: TeamId, slots: number): void;
}
