/**
 * Resource charges of requests whose response was lost and that may still be running on their
 * target.
 */

import type { Charge } from '../placement/types';
import type { TargetPool } from '../placement/targetPool';
import type { TargetId } from '../types/ids';
import { getRequestKey } from './requestId';
import type { RequestKey } from './requestId';
import { REQUEST_DEMAND } from './targetChooser';
import type { OwnedTargetReport } from './types';

/** A call that was detected as lost has reached its target or failed for good after this time. */
const DELIVERY_TIMEOUT_MS = 500;

interface UnresolvedCharge {
  readonly key: RequestKey;
  readonly charge: Charge;
  readonly lostAtMs: number;
}

/**
 * Keeps lost requests charged until a target report shows that they have ended, to avoid
 * overcommitting targets.
 */
export class UnresolvedCharges {
  #pool: TargetPool;

  #charges = new Map<TargetId, UnresolvedCharge[]>();

  /**
   * @param pool - the pool that the charges are released to
   */
  constructor(pool: TargetPool) {
    this.#pool = pool;
  }

  /**
   * Adds the charge of a lost request.
   * @param lostAtMs - when the loss was detected
   * @param key - key of the request
   * @param charge - resources that the request may still occupy
   */
  add(lostAtMs: number, key: RequestKey, charge: Charge): void {
    const charges = this.#charges.get(charge.targetId) ?? [];
    charges.push({ key, charge, lostAtMs });
    this.#charges.set(charge.targetId, charges);
  }

  /**
   * Charges the requests that a target is still running for its previous owner after a takeover.
   * @param owned - the target's first report to this owner
   * @param ownKeys - requests on the target that this owner has already charged
   */
  chargeInherited(
    { target, report, sentMs }: OwnedTargetReport,
    ownKeys: ReadonlySet<RequestKey>,
  ): void {
    const unresolved = this.#charges.get(target.targetId) ?? [];
    const knownKeys = new Set([...ownKeys, ...unresolved.map(({ key }) => key)]);
    report.requests.forEach(({ teamId, requestId }) => {
      const key = getRequestKey(teamId, requestId);
      if (knownKeys.has(key)) return;
      this.add(sentMs, key, this.#pool.chargeUnchecked(target, teamId, REQUEST_DEMAND));
    });
  }

  /**
   * Releases the charges of requests that the target is no longer running.
   * @param owned - the target's report
   * @returns true if any charge was released
   */
  releaseFinished({ target, report, sentMs }: OwnedTargetReport): boolean {
    const { targetId } = target;
    const charges = this.#charges.get(targetId);
    if (charges === undefined) return false;
    const runningKeys = new Set(
      report.requests.map(({ teamId, requestId }) => getRequestKey(teamId, requestId)),
    );
    const remaining = charges.filter(
      ({ key, lostAtMs }) => sentMs - lostAtMs < DELIVERY_TIMEOUT_MS || runningKeys.has(key),
    );
    const finished = charges.filter((unresolved) => !remaining.includes(unresolved));
    finished.forEach(({ charge }) => this.#pool.release(charge));
    if (remaining.length > 0) this.#charges.set(targetId, remaining);
    else this.#charges.delete(targetId);
    return finished.length > 0;
  }
}
