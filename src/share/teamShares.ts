/**
 * Shares of teams in one service, with debts and with the decision which teams yield.
 *
 * Load answered: a team at several times its usual rate whose short runs end before the next pass would leave no trace
 * in the usage at that moment. A debt remembers use beyond the entitlement while capacity is contended.
 */

import { getDominantFraction } from '../types/resources';
import type { ResourceVector } from '../types/resources';
import { getEntitlements } from './entitlement';
import type { TeamNeed } from './entitlement';

/** A burst lasts 4 to 7 s; a team that took too much during one is forgiven most of that within a few more. */
const DEBT_HALF_LIFE_MS = 10_000;

/** Longest time between two updates in which the usage before is taken to have gone on. */
const MAX_ACCRUAL_MS = 1_000;

/** A team begins to yield beyond this many times its entitlement. One submission more or less decides nothing. */
const YIELD_FACTOR = 2;

/** A team that yields goes on doing so until it is below this many times its entitlement. */
const RELEASE_FACTOR = 1.5;

/**
 * Work within the rate of its team only yields while the team holds this part of the capacity beyond its entitlement. A
 * batch step of 17 tasks takes a twentieth of 80 targets, which is twice the entitlement of one of 20 teams; by that
 * measure alone large submissions were passed over (trials in docs/design/share-and-order.md).
 */
const FAR_BEYOND_FRACTION = 0.25;

/** Teams beyond their share yield, and their runs may be preempted, only for one below this part of its entitlement. */
const OWED_FACTOR = 0.5;

/** With two teams that want all, the one that has all is at twice its entitlement, but for rounding errors. */
const TOLERANCE = 1e-9;

/** Debts below this have no influence on any decision. */
const MIN_DEBT = 0.001;

/** What a team uses and wants. */
export interface TeamUse extends TeamNeed {
  /** Demand of its runs, without those that are being stopped. */
  readonly running: ResourceVector;
}

/** Result for one team; shares are fractions of the capacity of the service. */
export interface TeamShare {
  readonly teamId: string;
  /** Dominant share of its runs. */
  readonly running: number;
  readonly debt: number;
  readonly entitlement: number;
  /** Its work beyond its rate comes after that of other teams in the same priority. */
  readonly isYielding: boolean;
  /** Also its work within its rate yields. */
  readonly isFarBeyond: boolean;
}

/** A debt in its durable form. */
export interface TeamDebt {
  readonly serviceName: string;
  readonly teamId: string;
  readonly debt: number;
}

/** Keeps debts and yielding teams of one service. */
export class TeamShares {
  #debts = new Map<string, number>();

  #yielding = new Set<string>();

  #shares = new Map<string, TeamShare>();

  #updatedAtMs: number | undefined;

  /** The shares at the last update. */
  get shares(): ReadonlyMap<string, TeamShare> {
    return this.#shares;
  }

  /**
   * Computes the shares; called while a priority is contended.
   * @param uses - the teams that use or want capacity of the service
   * @param capacity - its capacity
   * @param nowMs - elapsed time of this process
   */
  update(uses: readonly TeamUse[], capacity: ResourceVector, nowMs: number): void {
    this.#accrue(nowMs);
    const entitlements = getEntitlements(uses, capacity);
    this.#shares = new Map();
    uses.forEach(({ teamId, running: used }) => {
      const running = getDominantFraction(used, capacity);
      const debt = this.#debts.get(teamId) ?? 0;
      const entitlement = entitlements.get(teamId) ?? 0;
      const factor = this.#yielding.has(teamId) ? RELEASE_FACTOR : YIELD_FACTOR;
      const isYielding = running > 0 && running + debt >= factor * entitlement - TOLERANCE;
      const isFarBeyond = running + debt >= entitlement + FAR_BEYOND_FRACTION;
      this.#shares.set(teamId, { teamId, running, debt, entitlement, isYielding, isFarBeyond });
    });
    this.#yielding = new Set(
      [...this.#shares.values()].flatMap(({ teamId, isYielding }) => (isYielding ? [teamId] : [])),
    );
  }

  /**
   * Checks whether a team has so little that others yield to it and their runs may be preempted for it.
   * @param teamId - the team
   * @param further - what it has been given in this pass, as a fraction of the capacity
   * @returns true while it has less than half of its entitlement
   */
  isOwed(teamId: string, further = 0): boolean {
    const share = this.#shares.get(teamId);
    if (share === undefined) return false;
    return share.running + share.debt + further < OWED_FACTOR * share.entitlement;
  }

  /**
   * Checks whether runs of a team may be preempted for other teams.
   * @param teamId - the team
   * @param taken - what has been taken from it in this pass, as a fraction of the capacity
   * @returns true while its runs, whatever its debt, take twice its entitlement or more
   */
  isPreemptible(teamId: string, taken = 0): boolean {
    const share = this.#shares.get(teamId);
    if (share === undefined) return false;
    return share.running - taken >= YIELD_FACTOR * share.entitlement - TOLERANCE;
  }

  /** The debts, by team. */
  get debts(): ReadonlyMap<string, number> {
    return this.#debts;
  }

  /**
   * Adopts a debt of a former owner.
   * @param teamId - the team
   * @param debt - the debt
   */
  setDebt(teamId: string, debt: number): void {
    this.#debts.set(teamId, debt);
  }

  /** A debt is the mean of the use beyond the entitlement, weighted by a decay. */
  #accrue(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - (this.#updatedAtMs ?? nowMs));
    this.#updatedAtMs = nowMs;
    const kept = 2 ** (-elapsedMs / DEBT_HALF_LIFE_MS);
    const added = elapsedMs > MAX_ACCRUAL_MS ? 0 : 1 - kept;
    const teamIds = new Set([...this.#debts.keys(), ...this.#shares.keys()]);
    teamIds.forEach((teamId) => {
      const share = this.#shares.get(teamId);
      const beyond = share === undefined ? 0 : Math.max(0, share.running - share.entitlement);
      const debt = kept * (this.#debts.get(teamId) ?? 0) + added * beyond;
      const hasCause = share !== undefined && beyond > 0;
      if (debt < MIN_DEBT && !hasCause) this.#debts.delete(teamId);
      else this.#debts.set(teamId, debt);
    });
  }
}
