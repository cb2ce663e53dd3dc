/**
 * Resource charges of requests whose response was lost and that may still be running on their
 * target.
 */

import type { Charge } from '../placement/types';
import type { TargetPool } from '../placement/targetPool';
import type { TargetId } from '../types/ids';
import { getRequestKey } from './requestId';
import type { RequestKey } from './requestId';
import { REQUEST_DEMAND } from './targetChoice';
import type { OwnedReport } from './types';

/** A call that was detected as lost has reached its target or failed for good after this time. */
const ARRIVAL_MS = 500;

interface LingeringCharge {
  readonly key: RequestKey;
  readonly charge: Charge;
  readonly lostMs: number;
}

/**
 * Keeps lost requests charged until a target report shows that they have ended, to avoid
 * overcommitting targets.
 */
export class LingeringCharges {
  #pool: TargetPool;

  #charges = new Map<TargetId, LingeringCharge[]>();

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
  add(lostMs: number, key: RequestKey, charge: Charge): void {
    const known = this.#charges.get(charge.targetId) ?? [];
    known.push({ key, charge, lostMs });
    this.#charges.set(charge.targetId, known);
  }

  /**
   * Charges the requests that a target is still running for its previous owner after a takeover.
   * @param owned - the target's first report to this owner
   * @param ownKeys - requests on the target that this owner has already charged
   */
  adopt({ target, report, sentMs }: OwnedReport, ownKeys: ReadonlySet<RequestKey>): void {
    const lingering = this.#charges.get(target.targetId) ?? [];
    const knownKeys = new Set([...ownKeys, ...lingering.map(({ key }) => key)]);
    report.requests.forEach(({ teamId, requestId }) => {
      const key = getRequestKey(teamId, requestId);
      if (knownKeys.has(key)) return;
      this.add(sentMs, key, this.#pool.forceCharge(target, teamId, REQUEST_DEMAND));
    });
  }

  /**
   * Releases the charges of requests that the target is no longer running.
   * @param owned - the target's report
   * @returns true if any charge was released
   */
  settle({ target, report, sentMs }: OwnedReport): boolean {
    const { targetId } = target;
    const known = this.#charges.get(targetId);
    if (known === undefined) return false;
    const runningKeys = new Set(
      report.requests.map(({ teamId, requestId }) => getRequestKey(teamId, requestId)),
    );
    const kept = known.filter(
      ({ key, lostMs }) => sentMs - lostMs < ARRIVAL_MS || runningKeys.has(key),
    );
    const settled = known.filter((lingering) => !kept.includes(lingering));
    settled.forEach(({ charge }) => this.#pool.release(charge));
    if (kept.length > 0) this.#charges.set(targetId, kept);
    else this.#charges.delete(targetId);
    return settled.length > 0;
  }
}
