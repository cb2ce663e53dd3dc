/** Charges of requests whose answer was lost: they may still run until their target says otherwise. */

import type { Charge } from '../placement/types';
import type { TargetPool } from '../placement/targetPool';
import type { TargetId } from '../types/ids';
import { getRequestKey } from './requestId';
import type { RequestKey } from './requestId';
import { REQUEST_DEMAND } from './targetChoice';
import type { OwnedReport } from './types';

/** A call arrives at its target or fails this long after it was found lost. */
const ARRIVAL_MS = 500;

interface LingeringCharge {
  readonly key: RequestKey;
  readonly charge: Charge;
  readonly lostMs: number;
}

/** Keeps lost requests charged, so that their targets are not overcommitted. */
export class LingeringCharges {
  #pool: TargetPool;

  #charges = new Map<TargetId, LingeringCharge[]>();

  /**
   * @param pool - where the charges are given back
   */
  constructor(pool: TargetPool) {
    this.#pool = pool;
  }

  /**
   * Keeps a charge.
   * @param lostMs - when the call was found lost
   * @param key - the request
   * @param charge - what it may still take
   */
  add(lostMs: number, key: RequestKey, charge: Charge): void {
    const known = this.#charges.get(charge.targetId) ?? [];
    known.push({ key, charge, lostMs });
    this.#charges.set(charge.targetId, known);
  }

  /**
   * Charges the requests of a former owner that a target still runs, as found when it was taken over.
   * @param owned - the target's first report to this owner
   * @param ownKeys - requests on the target that this owner has charged itself
   */
  adopt({ target, report, sentMs }: OwnedReport, ownKeys: ReadonlySet<RequestKey>): void {
    const lingering = this.#charges.get(target.targetId) ?? [];
    const knownKeys = new Set([...ownKeys, ...lingering.map(({ key }) => key)]);
    report.requests.forEach(({ teamId, requestId }) => {
      const key = getRequestKey(teamId, requestId);
      if (knownKeys.has(key)) return;
      this.add(sentMs, key, this.#pool.chargeUnchecked(target, teamId, REQUEST_DEMAND));
    });
  }

  /**
   * Gives back what a target no longer runs.
   * @param owned - the target's report
   * @returns true when something was given back
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
