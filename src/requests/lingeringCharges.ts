/** Charges of requests whose answer was lost: they may still run until their target says otherwise. */

import type { Charge } from '../placement/types';
import type { TargetPool } from '../placement/targetPool';
import type { TargetReport } from '../target/types';
import type { TargetId, TeamId } from '../types/ids';

/** A call arrives at its target or fails this long after it was found lost. */
const ARRIVAL_MS = 500;

interface LingeringCharge {
  readonly charge: Charge;
  readonly lostMs: number;
}

function countReported(report: TargetReport, teamId: TeamId): number {
  return report.requestsByTeam.find((known) => known.teamId === teamId)?.requestCount ?? 0;
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
   * @param charge - what it may still take
   */
  add(lostMs: number, charge: Charge): void {
    const known = this.#charges.get(charge.targetId) ?? [];
    known.push({ charge, lostMs });
    this.#charges.set(charge.targetId, known);
  }

  /**
   * Gives back what a target no longer runs: of a team's lost requests, no more can run than the
   * target reports of that team altogether.
   * @param sentMs - when the report was asked for, on this process's clock
   * @param targetId - the target
   * @param report - what it runs
   * @returns true when something was given back
   */
  settle(sentMs: number, targetId: TargetId, report: TargetReport): boolean {
    const known = this.#charges.get(targetId);
    if (known === undefined) return false;
    const keptByTeam = new Map<TeamId, number>();
    const kept = known.filter(({ charge, lostMs }) => {
      if (sentMs - lostMs < ARRIVAL_MS) return true;
      const keptCount = keptByTeam.get(charge.teamId) ?? 0;
      if (keptCount >= countReported(report, charge.teamId)) return false;
      keptByTeam.set(charge.teamId, keptCount + 1);
      return true;
    });
    const settled = known.filter((lingering) => !kept.includes(lingering));
    settled.forEach(({ charge }) => this.#pool.release(charge));
    if (kept.length > 0) this.#charges.set(targetId, kept);
    else this.#charges.delete(targetId);
    return settled.length > 0;
  }
}
