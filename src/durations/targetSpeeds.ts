/** Learnt speeds of targets, taken out of the observed durations so that these describe the work alone. */

import { toLog } from './durationModel';

/** Bound of the factors, 0.25 to 4; a target outside them is broken rather than slow. */
const MAX_LOG = Math.log(4);

/** Share of a new observation in a target's factor; tasks of one step differ by 0.15 to 0.3. */
const RATE = 0.1;

/** The factors return to 1 by this share with each observation, as only their ratios can be observed. */
const RETURN_RATE = 0.02;

/** Targets that are remembered; the one that was observed longest ago is forgotten first. */
const MAX_TARGETS = 2_048;

/** How long a task took on a target. */
export interface TargetRun {
  readonly targetId: string;
  readonly ranMs: number;
}

/** Factors of durations by target. */
export class TargetSpeeds {
  #logFactors = new Map<string, number>();

  /**
   * Gets the factor of a target.
   * @param targetId - the target
   * @returns the time that a task takes there, relative to a target of usual speed
   */
  getFactor(targetId: string): number {
    const logFactor = this.#logFactors.get(targetId);
    return logFactor === undefined ? 1 : Math.exp(logFactor);
  }

  /**
   * Adds the tasks of a step that is done. Each is compared with the others: those that had ended before it would be
   * the short ones.
   * @param runs - how long the tasks took on their targets
   */
  observe(runs: readonly TargetRun[]): void {
    if (runs.length < 2) return;
    // Geometric means, as the factors would drift with the difference between the means.
    const logs = runs.map(({ ranMs }) => toLog(ranMs));
    const usual = runs.map(({ targetId }, index) => (logs[index] ?? 0) - this.#getLog(targetId));
    const sum = usual.reduce((total, log) => total + log, 0);
    runs.forEach(({ targetId }, index) => {
      const others = (sum - (usual[index] ?? 0)) / (runs.length - 1);
      this.#add(targetId, (logs[index] ?? 0) - others);
    });
  }

  #getLog(targetId: string): number {
    return this.#logFactors.get(targetId) ?? 0;
  }

  #add(targetId: string, difference: number): void {
    const limited = Math.min(Math.max(difference, -MAX_LOG), MAX_LOG);
    const known = this.#getLog(targetId);
    this.#logFactors.delete(targetId);
    this.#logFactors.set(targetId, known + RATE * (limited - known) - RETURN_RATE * known);
    if (this.#logFactors.size <= MAX_TARGETS) return;
    const [oldest] = this.#logFactors.keys();
    if (oldest !== undefined) this.#logFactors.delete(oldest);
  }
}
