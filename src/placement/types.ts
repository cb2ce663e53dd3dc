/** Targets as their owner sees them, and the charges against their budgets. */

import type { DataCentreId, ShardId, TargetId, TeamId } from '../types/ids';
import type { ResourceVector } from '../types/resources';

/** A target that this scheduler may come to own. */
export interface Target {
  readonly targetId: TargetId;
  readonly shardId: ShardId;
  readonly address: string;
  readonly dataCentreId: DataCentreId;
  readonly rack: string;
  readonly capacity: ResourceVector;
  readonly isLeaving: boolean;
}

/** What one start takes of a target and of its team's limit; taken and given back as one. */
export interface Charge {
  readonly targetId: TargetId;
  readonly shardId: ShardId;
  readonly teamId: TeamId;
  readonly demand: ResourceVector;
}

/** Why a start could not be charged, or the charge. */
export type ChargeResult =
  | { readonly kind: 'charged'; readonly charge: Charge }
  | { readonly kind: 'noCapacity' }
  | { readonly kind: 'limitReached' };

/** Says how much of a team's upper limit a shard's owner may use. */
export interface LimitSource {
  /**
   * @param shardId - the shard on which the start would be
   * @param teamId - whose work it is
   * @returns the slots that the team may have running on the shard
   */
  getAllottedSlots(shardId: ShardId, teamId: TeamId): number;
  /**
   * Tells that a start was held back by the shard's allotment.
   * @param shardId - the shard on which the start would have been
   * @param teamId - whose work it was
   * @param slots - what it would have taken
   */
  noteShortage(shardId: ShardId, teamId: TeamId, slots: number): void;
}
