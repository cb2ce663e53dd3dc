/** Starts that were held back by an allotment lately, by shard and team. */

import type { ShardId, TeamId } from '../types/ids';

/** A shortage counts for this long after it was noted last. */
const SHORTAGE_VALID_MS = 2_500;

interface Shortage {
  /** Held back since the last check. */
  newSlots: number;
  /** The most held back between two checks. */
  slots: number;
  notedMs: number;
}

/** How much more each team could have started on each shard. */
export class Shortages {
  #shortages = new Map<string, Shortage>();

  /** True when nothing was held back lately. */
  get isEmpty(): boolean {
    return this.#shortages.size === 0;
  }

  /**
   * Notes a start that was held back.
   * @param shardId - where it would have run
   * @param teamId - whose work it was
   * @param slots - what it would have taken
   */
  note(shardId: ShardId, teamId: TeamId, slots: number): void {
    const key = `${shardId}|${teamId}`;
    const known = this.#shortages.get(key);
    if (known !== undefined) known.newSlots += slots;
    else this.#shortages.set(key, { newSlots: slots, slots: 0, notedMs: 0 });
  }

  /**
   * Gets a shortage.
   * @param shardId - which shard
   * @param teamId - which team
   * @returns slots that were lacking, 0 when none
   */
  get(shardId: ShardId, teamId: TeamId): number {
    const known = this.#shortages.get(`${shardId}|${teamId}`);
    return known === undefined ? 0 : Math.max(known.slots, known.newSlots);
  }

  /**
   * Closes the interval since the last check and forgets what was noted long ago.
   * @param nowMs - this process's clock
   */
  check(nowMs: number): void {
    this.#shortages.forEach((shortage, key) => {
      if (shortage.newSlots > 0) {
        const isRecent = nowMs - shortage.notedMs <= SHORTAGE_VALID_MS;
        shortage.slots = Math.max(isRecent ? shortage.slots : 0, shortage.newSlots);
        shortage.newSlots = 0;
        shortage.notedMs = nowMs;
      } else if (nowMs - shortage.notedMs > SHORTAGE_VALID_MS) this.#shortages.delete(key);
    });
  }

  /**
   * Gets the state for an operator.
   * @returns plain data
   */
  dump() {
    return [...this.#shortages].map(([key, shortage]) => ({ key, ...shortage }));
  }
}
