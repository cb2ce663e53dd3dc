/**
 * Weighted max-min fairness over each team's dominant resource (Ghodsi et al., "Dominant Resource
 * Fairness", 2011): the team with the smallest dominant share per weight is served first.
 */

import type { Team } from '../config/types';
import type { TeamOrder } from '../requests/types';
import type { ConfigVersion, TeamId } from '../types/ids';
import { getDominantFraction } from '../types/resources';
import type { TargetPool } from './targetPool';

/** A share is encoded as two base-64 digits, in steps of 1/4095. */
const BASE64_DIGITS = 'ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/';
const MAX_ENCODED_STEP = BASE64_DIGITS.length ** 2 - 1;

/**
 * Smoothing factor of the shares reported by other schedulers, applied once per tick. Without smoothing all
 * schedulers would react at once to the same stale report and oscillate together.
 */
const SMOOTHING_FACTOR = 0.05;

/** Usage of the teams on the targets of one scheduler. */
export interface SharesReport {
  readonly configVersion: ConfigVersion;
  /** Dominant share of the fleet that each team uses on the sender's targets, as {@link encodeShares} packs it. */
  readonly teamShares: string;
}

/**
 * Encodes shares compactly, because every heartbeat carries them.
 * @param shares - dominant shares from 0 to 1, in the order of the configuration sheet
 * @returns two characters for each share
 */
export function encodeShares(shares: readonly number[]): string {
  return shares
    .map((share) => {
      const steps = Math.min(MAX_ENCODED_STEP, Math.round(share * MAX_ENCODED_STEP));
      const high = Math.floor(steps / BASE64_DIGITS.length);
      return `${BASE64_DIGITS[high] ?? 'A'}${BASE64_DIGITS[steps % BASE64_DIGITS.length] ?? 'A'}`;
    })
    .join('');
}

/**
 * Decodes the result of {@link encodeShares}.
 * @param text - two characters for each share
 * @returns the shares, rounded to the nearest step
 */
export function decodeShares(text: string): readonly number[] {
  return Array.from({ length: Math.floor(text.length / 2) }, (_, index) => {
    const high = BASE64_DIGITS.indexOf(text.charAt(2 * index));
    const low = BASE64_DIGITS.indexOf(text.charAt(2 * index + 1));
    return Math.max(0, high * BASE64_DIGITS.length + low) / MAX_ENCODED_STEP;
  });
}

/** Orders teams by this scheduler's current usage and the last reports of the other schedulers. */
export class FairShare implements TeamOrder {
  #pool: TargetPool;

  #teams: readonly Team[] = [];

  #version: ConfigVersion | undefined;

  #weights = new Map<TeamId, number>();

  #remoteShares = new Map<TeamId, number>();

  /**
   * @param pool - resource accounting of this scheduler's targets
   */
  constructor(pool: TargetPool) {
    this.#pool = pool;
  }

  /**
   * Applies a configuration.
   * @param teams - teams with their weights, in the order of the configuration sheet
   * @param version - version of the configuration
   */
  updateConfig(teams: readonly Team[], version: ConfigVersion): void {
    this.#teams = teams;
    this.#version = version;
    this.#weights = new Map(teams.map((team) => [team.teamId, team.shareWeight]));
    this.#remoteShares.clear();
  }

  /**
   * Applies the latest reports of the other schedulers; called once per tick. Reports based on another
   * configuration are ignored, because their order of teams may differ.
   * @param reports - latest report of every other live scheduler
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
      const previous = this.#remoteShares.get(teamId) ?? 0;
      const delta = (reported.get(teamId) ?? 0) - previous;
      this.#remoteShares.set(teamId, previous + SMOOTHING_FACTOR * delta);
    });
  }

  /** @returns the encoded shares of the teams on this scheduler's targets */
  createReport(): string {
    return encodeShares(this.#teams.map((team) => this.#getOwnShare(team.teamId)));
  }

  /**
   * Gets a team's dominant share of the fleet.
   * @param teamId - the team
   * @returns the sum over all schedulers, from 0 to 1
   */
  getShare(teamId: TeamId): number {
    return this.#getOwnShare(teamId) + (this.#remoteShares.get(teamId) ?? 0);
  }

  /** {@inheritDoc TeamOrder.getPriority} */
  getPriority(teamId: TeamId): number {
    const weight = this.#weights.get(teamId) ?? 0;
    if (weight <= 0) return Number.POSITIVE_INFINITY;
    return this.getShare(teamId) / weight;
  }

  #getOwnShare(teamId: TeamId): number {
    return getDominantFraction(this.#pool.getTeamUsage(teamId), this.#pool.capacity);
  }
}
