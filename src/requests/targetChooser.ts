/** Chooses the target that a request runs on and charges its resources. */

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

/** Resources that one request occupies on its target while it runs. */
export const REQUEST_DEMAND = { ...NO_RESOURCES, slots: 1, connections: 1 };

const NO_TARGET_IDS: ReadonlySet<TargetId> = new Set();

/** The chosen target, the permit to start work on it and the resource charge. */
export interface ChosenTarget {
  readonly target: Target;
  readonly permit: StartPermit;
  readonly charge: Charge;
}

/** The chosen target, or the reason why none was chosen. */
export type TargetChoice =
  | { readonly kind: 'chosen'; readonly chosen: ChosenTarget }
  /** Suitable targets exist, but none has free capacity. */
  | { readonly kind: 'full' }
  /** The team has reached its limit on all shards of this scheduler. */
  | { readonly kind: 'limitReached' }
  /** This scheduler may not start work on any suitable target. */
  | { readonly kind: 'noTarget' };

/** Dependencies of the target chooser. */
export interface ChooserPorts {
  readonly pool: TargetPool;
  readonly guard: StartGuard;
  /** Data centre of the callers; its targets are preferred. */
  readonly nearDataCentreId: DataCentreId;
}

/**
 * Prefers near and least loaded targets, on shards whose allotment has capacity left for the team.
 */
export class TargetChooser {
  #pool: TargetPool;

  #guard: StartGuard;

  #nearDataCentreId: DataCentreId;

  #leastLoaded: LeastLoaded;

  /**
   * @param ports - dependencies
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
   * @param nowMs - current time of this process's monotonic clock
   * @param call - the request
   * @param avoidedTargetIds - targets of earlier attempts, used only if no other has capacity
   * @returns the charged target, or the reason why none was chosen
   */
  tryChoose(
    nowMs: number,
    call: RequestStart,
    avoidedTargetIds: ReadonlySet<TargetId>,
  ): TargetChoice {
    const target =
      this.#tryGetTarget(nowMs, call, avoidedTargetIds) ??
      (avoidedTargetIds.size > 0 ? this.#tryGetTarget(nowMs, call, NO_TARGET_IDS) : undefined);
    const permit = target && this.#guard.tryGetPermit(target, nowMs);
    if (target === undefined || permit === undefined)
      return this.#getUnavailableReason(nowMs, call);
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
    avoidedTargetIds: ReadonlySet<TargetId>,
  ): Target | undefined {
    const placement = {
      nowMs,
      teamId,
      nearDataCentreId: this.#nearDataCentreId,
      avoid: avoidedTargetIds,
    };
    if (serviceName === '') return this.#leastLoaded.tryGetTarget(placement);
    return this.#leastLoaded.tryGetReplica(placement, this.#guard.getReplicas(serviceName));
  }

  /** Stops at the first target that permits a start, which is nearly always the first candidate. */
  #getUnavailableReason(nowMs: number, { serviceName }: RequestStart): TargetChoice {
    const candidates =
      serviceName === '' ? this.#guard.getCandidates() : this.#guard.getReplicas(serviceName);
    const isAnyPermitted = candidates.some(
      (target) => this.#guard.tryGetPermit(target, nowMs) !== undefined,
    );
    return { kind: isAnyPermitted ? 'full' : 'noTarget' };
  }
}
