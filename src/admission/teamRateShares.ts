/**
 * Tells which teams submit far more than their rate. It answers teams that submit 4 to 7.5 times their usual rate,
 * whose excess is refused before the work of others.
 */

/** A team that pauses counts as within its rate again after a few seconds. */
const HALF_LIFE_MS = 2_000;

/** Fewer recent submissions, decayed, tell nothing. */
const MIN_SUBMISSIONS = 3;

/** Teams with less are forgotten. */
const FORGOTTEN_SUBMISSIONS = 0.1;

/** A team is over its rate above twice this rate, where half of its submissions exceed it, until below 1.5 times. */
const OVER_FRACTION = 1 / 2;
const WITHIN_FRACTION = 1 / 3;

/** Decayed counts of the submissions of one team. */
interface TeamCounts {
  total: number;
  excess: number;
  isOver: boolean;
}

/** Follows the rates of all teams. */
export class TeamRateShares {
  #counts = new Map<string, TeamCounts>();

  /**
   * Adds a submission.
   * @param teamId - its team
   * @param isExcess - whether it exceeds the rate of the team
   */
  add(teamId: string, isExcess: boolean): void {
    const counts = this.#counts.get(teamId) ?? { total: 0, excess: 0, isOver: false };
    counts.total += 1;
    if (isExcess) counts.excess += 1;
    this.#counts.set(teamId, counts);
  }

  /**
   * Lets earlier submissions count less.
   * @param elapsedMs - time since the previous call
   */
  decay(elapsedMs: number): void {
    const factor = 0.5 ** (elapsedMs / HALF_LIFE_MS);
    this.#counts.forEach((known, teamId) => {
      const counts = known;
      counts.total *= factor;
      counts.excess *= factor;
      if (counts.total < FORGOTTEN_SUBMISSIONS) this.#counts.delete(teamId);
    });
  }

  /**
   * Evaluates all teams.
   * @returns the teams far over their rates
   */
  updateTeamsOver(): ReadonlySet<string> {
    const over = new Set<string>();
    this.#counts.forEach((known, teamId) => {
      const counts = known;
      const limit = counts.isOver ? WITHIN_FRACTION : OVER_FRACTION;
      counts.isOver = counts.total >= MIN_SUBMISSIONS && counts.excess / counts.total > limit;
      if (counts.isOver) over.add(teamId);
    });
    return over;
  }

  /** @returns the teams with recent submissions over their rates, and the fraction of these, the largest first */
  getRates(): readonly (readonly [teamId: string, excessFraction: number])[] {
    return [...this.#counts]
      .map(([teamId, { excess, total }]) => [teamId, Number((excess / total).toFixed(2))] as const)
      .filter(([, excessFraction]) => excessFraction > 0)
      .sort((left, right) => right[1] - left[1]);
  }
}
