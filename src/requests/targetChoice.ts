/** Chooses the target that a request starts on, and charges it. */

import type { Charge, Target } from '../placement/types';
import type { TargetPool } from '../placement/targetPool';
import type { RequestStart } from '../rpc/types';
import type { ShardId, TargetId } from '../types/ids';
import { NO_RESOURCES } from '../types/resources';
import type { StartGuard, StartPermit } from './types';

/** What one request takes of a target while it runs. */
export const REQUEST_DEMAND = { ...NO_RESOURCES, slots: 1, connections: 1 };

/** A target with the right to start on it and the charge for it. */
export interface ChosenTarget {
  readonly target: Target;
  readonly permit: StartPermit;
  readonly charge: Charge;
}

/** The chosen target, or why there is none. */
export type TargetChoice =
  | { readonly kind: 'chosen'; readonly chosen: ChosenTarget }
  /** Suitable targets have no room now. */
  | { readonly kind: 'full' }
  /** The team may not start more on any of this scheduler's shards. */
  | { readonly kind: 'limitReached' }
  /** Nothing of this scheduler's may be started on at all. */
  | { readonly kind: 'noTarget' };

interface Startable {
  readonly target: Target;
  readonly permit: StartPermit;
  readonly usedFraction: number;
}

/** Least loaded first, by the fraction of slots in use. */
export class TargetChooser {
  #pool: TargetPool;

  #guard: StartGuard;

  /**
   * @param pool - budgets of the targets
   * @param guard - the check at the moment of each start
   */
  constructor(pool: TargetPool, guard: StartGuard) {
    this.#pool = pool;
    this.#guard = guard;
  }

  /**
   * Chooses and charges a target.
   * @param nowMs - this process's clock
   * @param call - the request
   * @param avoid - targets of earlier attempts, taken only when no other has room
   * @returns the charged target, or why there is none
   */
  tryChoose(nowMs: number, call: RequestStart, avoid: ReadonlySet<TargetId>): TargetChoice {
    const candidates = this.#getCandidates(call.serviceName);
    const permitted = candidates.flatMap((target) => this.#getStartable(nowMs, target));
    if (permitted.length === 0) return { kind: 'noTarget' };
    const withRoom = permitted.filter(({ target }) => this.#hasRoom(target));
    if (withRoom.length === 0) return { kind: 'full' };
    const untried = withRoom.filter(({ target }) => !avoid.has(target.targetId));
    return this.#tryCharge(call, untried.length > 0 ? untried : withRoom);
  }

  #tryCharge(call: RequestStart, startables: readonly Startable[]): TargetChoice {
    const limitedShards = new Set<ShardId>();
    for (;;) {
      let best: Startable | undefined;
      startables.forEach((startable) => {
        if (limitedShards.has(startable.target.shardId)) return;
        if (best === undefined || startable.usedFraction < best.usedFraction) best = startable;
      });
      if (best === undefined) return { kind: 'limitReached' };
      const { target, permit } = best as Startable;
      const result = this.#pool.tryCharge(target.targetId, call.teamId, REQUEST_DEMAND);
      if (result.kind === 'charged') {
        return { kind: 'chosen', chosen: { target, permit, charge: result.charge } };
      }
      if (result.kind === 'noCapacity') return { kind: 'full' };
      limitedShards.add(target.shardId);
    }
  }

  #getCandidates(serviceName: string): readonly Target[] {
    if (serviceName === '') return this.#guard.getCandidates();
    return this.#guard.getReplicas(serviceName);
  }

  #getStartable(nowMs: number, target: Target): readonly Startable[] {
    const permit = this.#guard.tryGetPermit(target, nowMs);
    if (permit === undefined) return [];
    const { slots } = target.capacity;
    const usedFraction = slots === 0 ? 1 : 1 - this.#pool.getFree(target.targetId).slots / slots;
    return [{ target, permit, usedFraction }];
  }

  #hasRoom(target: Target): boolean {
    const free = this.#pool.getFree(target.targetId);
    return free.slots >= 1 && free.connections >= 1;
  }
}
