/** Charges of requests whose answer was lost: they may still run until their target says otherwise. */

import type { Charge } from '../placement/types';
import type { TargetPool } from '../placement/targetPool';
import type { TargetReport } from '../target/types';
import type { RequestId, TargetId } from '../types/ids';

/** A call arrives at its target or fails this long after it was found lost. */
const ARRIVAL_MS = 500;

interface LingeringCharge {
  readonly requestId: RequestId;
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
   * @param requestId - the request
   * @param charge - what it may still take
   */
  add(lostMs: number, requestId: RequestId, charge: Charge): void {
    const known = this.#charges.get(charge.targetId) ?? [];
    known.push({ requestId, charge, lostMs });
    this.#charges.set(charge.targetId, known);
  }

  /**
   * Gives back what a target no longer runs.
   * @param sentMs - when the report was asked for, on this process's clock
   * @param targetId - the target
   * @param report - what it runs
   * @returns true when something was given back
   */
  settle(sentMs: number, targetId: TargetId, report: TargetReport): boolean {
    const known = this.#charges.get(targetId);
    if (known === undefined) return false;
    const runningIds = new Set(report.requestIds);
    const kept = known.filter(
      ({ requestId, lostMs }) => sentMs - lostMs < ARRIVAL_MS || runningIds.has(requestId),
    );
    const settled = known.filter((lingering) => !kept.includes(lingering));
    settled.forEach(({ charge }) => this.#pool.release(charge));
    if (kept.length > 0) this.#charges.set(targetId, kept);
    else this.#charges.delete(targetId);
    return settled.length > 0;
  }
}
