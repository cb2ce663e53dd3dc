/** Records, by shard and team, the starts that an allotment recently prevented. */

import type { ShardId, TeamId } from '../types/ids';

/** Time after its last occurrence for which a shortage remains valid. */
const SHORTAGE_TTL_MS = 2_500;

interface Shortage {
  /** Slots prevented from starting in the current interval. */
  slotsInInterval: number;
  /** Maximum number of slots prevented from starting in one interval. */
  slots: number;
  lastRecordedAtMs: number;
}

/** Slots that each team lacked on each shard. */
export class Shortages {
  #shortages = new Map<string, Shortage>();

  /** True if no start was prevented recently. */
  get isEmpty(): boolean {
    return this.#shortages.size === 0;
  }

  /**
   * Records a start that was prevented.
   * @param shardId - shard on which it would have run
   * @param teamId - team whose work it was
   * @param slots - slots that it would have used
   */
  note(shardId: ShardId, teamId: TeamId, slots: number): void {
    const key = `${shardId}|${teamId}`;
    const shortage = this.#shortages.get(key);
    if (shortage !== undefined) shortage.slotsInInterval += slots;
    else this.#shortages.set(key, { slotsInInterval: slots, slots: 0, lastRecordedAtMs: 0 });
  }

  /**
   * Gets the shortage of a team on a shard.
   * @param shardId - the shard
   * @param teamId - the team
   * @returns the number of slots that the team lacked
   */
  get(shardId: ShardId, teamId: TeamId): number {
    const shortage = this.#shortages.get(`${shardId}|${teamId}`);
    return shortage === undefined ? 0 : Math.max(shortage.slots, shortage.slotsInInterval);
  }

  /**
   * Closes the current interval and removes expired shortages.
   * @param nowMs - current time of this process's monotonic clock
   */
  check(nowMs: number): void {
    this.#shortages.forEach((shortage, key) => {
      if (shortage.slotsInInterval > 0) {
        const isRecent = nowMs - shortage.lastRecordedAtMs <= SHORTAGE_TTL_MS;
        shortage.slots = Math.max(isRecent ? shortage.slots : 0, shortage.slotsInInterval);
        shortage.slotsInInterval = 0;
        shortage.lastRecordedAtMs = nowMs;
      } else if (nowMs - shortage.lastRecordedAtMs > SHORTAGE_TTL_MS) this.#shortages.delete(key);
    });
  }

  /**
   * Returns the state for diagnostics.
   * @returns the state as plain data
   */
  dump() {
    return [...this.#shortages].map(([key, shortage]) => ({ key, ...shortage }));
  }
}
