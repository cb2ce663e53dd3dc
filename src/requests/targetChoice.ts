/** Chooses the target that a request starts on, and charges it. */

import type { Charge, Target } from '../placement/types';
import { LeastLoaded } from '../placement/leastLoaded';
import type { TargetPool } from '../placement/targetPool';
import type { RequestStart } from '../rpc/types';
import { assertNever } from '../types/debug';
import { getHash } from '../types/hash';
import type { DataCentreId, TargetId } from '../types/ids';
import { Random } from '../types/random';
import { NO_RESOURCES } from '../types/resources';
import type { StartGuard, StartPermit } from './types';

/** What one request takes of a target while it runs. */
export const REQUEST_DEMAND = { ...NO_RESOURCES, slots: 1, connections: 1 };

const NO_TARGET_IDS: ReadonlySet<TargetId> = new Set();

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

/** What a target is chosen with. */
export interface ChooserPorts {
  readonly pool: TargetPool;
  readonly guard: StartGuard;
  /** Where the callers are; targets there are taken before others. */
  readonly nearDataCentreId: DataCentreId;
}

/** Near and least loaded targets first, on shards whose allotment has room for the team. */
export class TargetChooser {
  #pool: TargetPool;

  #guard: StartGuard;

  #nearDataCentreId: DataCentreId;

  #leastLoaded: LeastLoaded;

  /**
   * @param ports - what it chooses with
   */
  constructor({ pool, guard, nearDataCentreId }: ChooserPorts) {
    this.#pool = pool;
    this.#guard = guard;
    this.#nearDataCentreId = nearDataCentreId;
    const random = new Random(getHash(nearDataCentreId));
    this.#leastLoaded = new LeastLoaded({ pool, guard, random });
  }

  /**
   * Chooses and charges a target.
   * @param nowMs - this process's clock
   * @param call - the request
   * @param avoid - targets of earlier attempts, taken only when no other has room
   * @returns the charged target, or why there is none
   */
  tryChoose(nowMs: number, call: RequestStart, avoid: ReadonlySet<TargetId>): TargetChoice {
    const target =
      this.#tryGetTarget(nowMs, call, avoid) ??
      (avoid.size > 0 ? this.#tryGetTarget(nowMs, call, NO_TARGET_IDS) : undefined);
    const permit = target && this.#guard.tryGetPermit(target, nowMs);
    if (target === undefined || permit === undefined) return this.#getRefusal(nowMs, call);
    const result = this.#pool.tryCharge(target.targetId, call.teamId, REQUEST_DEMAND);
    switch (result.kind) {
      case 'charged':
        return { kind: 'chosen', chosen: { target, permit, charge: result.charge } };
      case 'noCapacity':
        return { kind: 'full' };
      case 'limitReached':
        return result;
      default:
        return assertNever(result);
    }
  }

  #tryGetTarget(
    nowMs: number,
    { teamId, serviceName }: RequestStart,
    avoid: ReadonlySet<TargetId>,
  ): Target | undefined {
    const placement = { nowMs, teamId, nearDataCentreId: this.#nearDataCentreId, avoid };
    if (serviceName === '') return this.#leastLoaded.tryGetTarget(placement);
    return this.#leastLoaded.tryGetReplica(placement, this.#guard.getReplicas(serviceName));
  }

  /** Ends at the first target on which a start is allowed, which is nearly always the first. */
  #getRefusal(nowMs: number, { serviceName }: RequestStart): TargetChoice {
    const candidates =
      serviceName === '' ? this.#guard.getCandidates() : this.#guard.getReplicas(serviceName);
    const isStartable = candidates.some(
      (target) => this.#guard.tryGetPermit(target, nowMs) !== undefined,
    );
    return { kind: isStartable ? 'full' : 'noTarget' };
  }
}
