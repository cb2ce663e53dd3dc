/** Charges of requests whose answer was lost: they may still run until their target says otherwise. */

import type { Charge } from '../placement/types';
import type { TargetPool } from '../placement/targetPool';
import type { TargetReport } from '../target/types';
import type { TargetId, TeamId } from '../types/ids';
import { REQUEST_DEMAND } from './targetChoice';
import type { OwnedReport } from './types';

/** A call arrives at its target or fails this long after it was found lost. */
const ARRIVAL_MS = 500;

type OwnCount = (teamId: TeamId) => number;

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

  #foreignCounts = new Map<TargetId, ReadonlyMap<TeamId, number>>();

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
   * Charges the requests of a former owner that a target still runs, as found when it was taken over.
   * @param owned - the target's first report to this owner
   * @param countOwn - counts this owner's requests that the report certainly includes, by team
   */
  adopt({ target, report, sentMs }: OwnedReport, countOwn: OwnCount): void {
    const known = this.#charges.get(target.targetId) ?? [];
    report.requestsByTeam.forEach(({ teamId, requestCount }) => {
      const lingeringCount = known.filter(({ charge }) => charge.teamId === teamId).length;
      const foreignCount = requestCount - countOwn(teamId) - lingeringCount;
      for (let count = 0; count < foreignCount; count += 1) {
        this.add(sentMs, this.#pool.forceCharge(target, teamId, REQUEST_DEMAND));
      }
    });
  }

  /**
   * Gives back what a target no longer runs: of a team's lost requests, no more can run than the
   * target reports of that team besides this owner's own. Two reports have to agree, since a call
   * that is slow on its way is missing in one.
   * @param owned - the report
   * @param countOwn - counts this owner's requests that the report certainly includes, by team
   * @returns true when something was given back
   */
  settle({ target, report, sentMs }: OwnedReport, countOwn: OwnCount): boolean {
    const { targetId } = target;
    const known = this.#charges.get(targetId);
    if (known === undefined) return false;
    const limits = this.#updateLimits(targetId, known, report, countOwn);
    const keptByTeam = new Map<TeamId, number>();
    const kept = known.filter(({ charge, lostMs }) => {
      if (sentMs - lostMs < ARRIVAL_MS) return true;
      const keptCount = keptByTeam.get(charge.teamId) ?? 0;
      if (keptCount >= (limits.get(charge.teamId) ?? 0)) return false;
      keptByTeam.set(charge.teamId, keptCount + 1);
      return true;
    });
    const settled = known.filter((lingering) => !kept.includes(lingering));
    settled.forEach(({ charge }) => this.#pool.release(charge));
    if (kept.length > 0) this.#charges.set(targetId, kept);
    else {
      this.#charges.delete(targetId);
      this.#foreignCounts.delete(targetId);
    }
    return settled.length > 0;
  }

  /** The most that can run of each team besides this owner's own, by this report and the last. */
  #updateLimits(
    targetId: TargetId,
    charges: readonly LingeringCharge[],
    report: TargetReport,
    countOwn: OwnCount,
  ): ReadonlyMap<TeamId, number> {
    const earlier = this.#foreignCounts.get(targetId);
    const counts = new Map<TeamId, number>();
    const limits = new Map<TeamId, number>();
    new Set(charges.map(({ charge }) => charge.teamId)).forEach((teamId) => {
      const reportedCount = countReported(report, teamId);
      const foreignCount = Math.max(0, reportedCount - countOwn(teamId));
      counts.set(teamId, foreignCount);
      const earlierCount = earlier?.get(teamId) ?? reportedCount;
      limits.set(teamId, Math.min(reportedCount, Math.max(foreignCount, earlierCount)));
    });
    this.#foreignCounts.set(targetId, counts);
    return limits;
  }
}
