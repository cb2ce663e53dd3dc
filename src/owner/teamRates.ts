/**
 * Which submissions lie beyond their team's rate. Answers one team that sends many times its usual: its
 * excess waits behind everyone else's work and never displaces any.
 */

import type { TeamId } from '../types/ids';
import type { Team } from '../work/types';

const SECOND_MS = 1_000;

/** Submissions that a team may send at once, as seconds of its rate. */
const BURST_SECONDS = 1;

/** One team's allowance. */
interface Bucket {
  tokens: number;
  atMs: number;
}

/** A token bucket a team; its weight is its rate in submissions a second. */
export class TeamRates {
  #weights = new Map<TeamId, number>();

  #buckets = new Map<TeamId, Bucket>();

  /**
   * Takes the weights in force.
   * @param teams - every team of the configuration
   */
  setTeams(teams: readonly Team[]): void {
    this.#weights = new Map(teams.map(({ id, weight }) => [id, weight]));
  }

  /**
   * Counts a submission.
   * @param teamId - who sent it
   * @param acceptedAtMs - when, in milliseconds since 1970
   * @returns true when it lies beyond the team's rate
   */
  isExcess(teamId: TeamId, acceptedAtMs: number): boolean {
    const weight = this.#weights.get(teamId);
    if (weight === undefined) return false;
    const most = Math.max(1, weight * BURST_SECONDS);
    const bucket = this.#buckets.get(teamId) ?? { tokens: most, atMs: acceptedAtMs };
    this.#buckets.set(teamId, bucket);
    const elapsedMs = Math.max(0, acceptedAtMs - bucket.atMs);
    bucket.atMs = Math.max(bucket.atMs, acceptedAtMs);
    bucket.tokens = Math.min(most, bucket.tokens + (elapsedMs / SECOND_MS) * weight);
    if (bucket.tokens < 1) return true;
    bucket.tokens -= 1;
    return false;
  }
}
