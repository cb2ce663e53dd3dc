/** Divides each team's upper limit evenly over the shards: safe without messages, but rigid. */

import type { Team } from '../config/types';
import type { LimitSource } from '../placement/types';
import type { ShardId, TeamId } from '../types/ids';

/** A division that depends on the configuration alone, so that every owner computes the same. */
export class StaticSplit implements LimitSource {
  #teams = new Map<TeamId, Team>();

  #indexes = new Map<ShardId, number>();

  /**
   * Takes in a configuration.
   * @param teams - the teams with their limits
   * @param shardIds - every target shard, in an order that all processes share
   */
  update(teams: readonly Team[], shardIds: readonly ShardId[]): void {
    this.#teams = new Map(teams.map((team) => [team.teamId, team]));
    this.#indexes = new Map(shardIds.map((shardId, index) => [shardId, index]));
  }

  /** {@inheritDoc LimitSource.getAllottedSlots} */
  getAllottedSlots(shardId: ShardId, teamId: TeamId): number {
    const limitSlots = this.#teams.get(teamId)?.limitSlots ?? 0;
    const index = this.#indexes.get(shardId);
    if (index === undefined) return 0;
    const shardCount = this.#indexes.size;
    const remainder = index < limitSlots % shardCount ? 1 : 0;
    return Math.floor(limitSlots / shardCount) + remainder;
  }

  /** {@inheritDoc LimitSource.noteShortage} */
  // eslint-disable-next-line class-methods-use-this
  noteShortage(): void {
    // A static division never moves.
  }
}
