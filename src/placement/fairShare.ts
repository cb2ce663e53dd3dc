/**
 * Weighted max-min division of a full fleet on each team's dominant resource (Ghodsi et al.,
 * "Dominant Resource Fairness", 2011): the team with the least dominant share per weight goes first.
 */

import type { Team } from '../config/types';
import type { TeamOrder } from '../requests/types';
import type { ConfigVersion, TeamId } from '../types/ids';
import { getDominantFraction } from '../types/resources';
import type { TargetPool } from './targetPool';

/** Two base-64 digits for each team, in the order of the sheet: shares in steps of 1/4095. */
const DIGITS = 'ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/';
const STEP_COUNT = DIGITS.length ** 2 - 1;

/**
 * Part of a change in the others' reports that is taken in at each tick. Schedulers that all answered
 * the same old report at once would swing together.
 */
const SMOOTHING_FRACTION = 0.05;

/** What one scheduler tells the others of its teams' use. */
export interface SharesReport {
  readonly configVersion: ConfigVersion;
  /** The dominant share of the fleet that each team uses on the sender's targets. */
  readonly teamShares: string;
}

/**
 * Encodes shares compactly, since they travel with every heartbeat.
 * @param shares - dominant shares in the order of the sheet, each 0 to 1
 * @returns two characters for each
 */
export function encodeShares(shares: readonly number[]): string {
  return shares
    .map((share) => {
      const steps = Math.min(STEP_COUNT, Math.round(share * STEP_COUNT));
      const high = Math.floor(steps / DIGITS.length);
      return `${DIGITS[high] ?? 'A'}${DIGITS[steps % DIGITS.length] ?? 'A'}`;
    })
    .join('');
}

/**
 * Decodes shares.
 * @param text - as encoded
 * @returns the shares, to the nearest step
 */
export function decodeShares(text: string): readonly number[] {
  return Array.from({ length: Math.floor(text.length / 2) }, (_, index) => {
    const high = DIGITS.indexOf(text.charAt(2 * index));
    const low = DIGITS.indexOf(text.charAt(2 * index + 1));
    return Math.max(0, high * DIGITS.length + low) / STEP_COUNT;
  });
}

/** Order of the teams, from this scheduler's own use at this moment and the others' last reports. */
export class FairShare implements TeamOrder {
  #pool: TargetPool;

  #teams: readonly Team[] = [];

  #version: ConfigVersion | undefined;

  #weights = new Map<TeamId, number>();

  #sharesElsewhere = new Map<TeamId, number>();

  /**
   * @param pool - what this scheduler has running
   */
  constructor(pool: TargetPool) {
    this.#pool = pool;
  }

  /**
   * Takes in a configuration.
   * @param teams - the teams with their weights, in the order of the sheet
   * @param version - of the configuration
   */
  updateConfig(teams: readonly Team[], version: ConfigVersion): void {
    this.#teams = teams;
    this.#version = version;
    this.#weights = new Map(teams.map((team) => [team.teamId, team.shareWeight]));
    this.#sharesElsewhere.clear();
  }

  /**
   * Takes in what the others reported last, once a tick. Reports under another configuration do not count, since
   * their order of teams may differ.
   * @param reports - of every other live scheduler
   */
  updateReports(reports: readonly SharesReport[]): void {
    const reported = new Map<TeamId, number>();
    reports
      .filter((report) => report.configVersion === this.#version)
      .forEach(({ teamShares }) => {
        decodeShares(teamShares).forEach((share, index) => {
          const teamId = this.#teams[index]?.teamId;
          if (teamId !== undefined) reported.set(teamId, (reported.get(teamId) ?? 0) + share);
        });
      });
    this.#teams.forEach(({ teamId }) => {
      const known = this.#sharesElsewhere.get(teamId) ?? 0;
      const change = (reported.get(teamId) ?? 0) - known;
      this.#sharesElsewhere.set(teamId, known + SMOOTHING_FRACTION * change);
    });
  }

  /** @returns this scheduler's own shares for the others */
  createReport(): string {
    return encodeShares(this.#teams.map((team) => this.#getOwnShare(team.teamId)));
  }

  /**
   * Gets a team's dominant share of the fleet.
   * @param teamId - which team
   * @returns the sum over all schedulers, 0 to 1
   */
  getShare(teamId: TeamId): number {
    return this.#getOwnShare(teamId) + (this.#sharesElsewhere.get(teamId) ?? 0);
  }

  /** {@inheritDoc TeamOrder.getPriority} */
  getPriority(teamId: TeamId): number {
    const weight = this.#weights.get(teamId) ?? 0;
    if (weight <= 0) return Number.POSITIVE_INFINITY;
    return this.getShare(teamId) / weight;
  }

  #getOwnShare(teamId: TeamId): number {
    return getDominantFraction(this.#pool.getTeamUse(teamId), this.#pool.capacity);
  }
}
