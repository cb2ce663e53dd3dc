/**
 * Classifies submissions by the rate of their team. When a team submits far more than its rate, the excess is
 * scheduled after the work of all other teams and never preempts any.
 */

import type { TeamId } from '../types/ids';
import type { Team } from '../work/types';

const SECOND_MS = 1_000;

/** Burst size, in seconds of the rate. */
const BURST_SECONDS = 1;

/** Token bucket of one team. */
interface TokenBucket {
  tokens: number;
  refilledAtMs: number;
}

/** Token buckets by team. The weight of a team is its rate in submissions per second. */
export class TeamRates {
  #weights = new Map<TeamId, number>();

  #buckets = new Map<TeamId, TokenBucket>();

  /**
   * Applies the weights of the current configuration.
   * @param teams - all teams of the configuration
   */
  setTeams(teams: readonly Team[]): void {
    this.#weights = new Map(teams.map(({ id, weight }) => [id, weight]));
  }

  /**
   * Classifies a submission and takes a token for it if there is one.
   * @param teamId - the team that submitted it
   * @param acceptedAtMs - acceptance time, in milliseconds since 1970
   * @returns true when it exceeds the team's rate; teams that are not configured have no rate
   */
  isExcess(teamId: TeamId, acceptedAtMs: number): boolean {
    const weight = this.#weights.get(teamId);
    if (weight === undefined) return false;
    const bucket = this.#getRefilled(teamId, weight, acceptedAtMs);
    this.#buckets.set(teamId, bucket);
    if (bucket.tokens < 1) return true;
    bucket.tokens -= 1;
    return false;
  }

  /**
   * Checks whether a submission would exceed the rate of its team, without taking a token.
   * @param teamId - the team
   * @param wallMs - acceptance time, in milliseconds since 1970
   * @returns true when it would
   */
  isExhausted(teamId: TeamId, wallMs: number): boolean {
    const weight = this.#weights.get(teamId);
    return weight !== undefined && this.#getRefilled(teamId, weight, wallMs).tokens < 1;
  }

  #getRefilled(teamId: TeamId, weight: number, atMs: number): TokenBucket {
    const capacity = Math.max(1, weight * BURST_SECONDS);
    const { tokens, refilledAtMs } = this.#buckets.get(teamId) ?? {
      ...{ tokens: capacity, refilledAtMs: atMs },
    };
    const elapsedMs = Math.max(0, atMs - refilledAtMs);
    return {
      refilledAtMs: Math.max(refilledAtMs, atMs),
      tokens: Math.min(capacity, tokens + (elapsedMs / SECOND_MS) * weight),
    };
  }
}
