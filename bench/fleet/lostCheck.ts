/**
 * Checks that accepted lasting tasks run: from 6 s after its last run a task has to have a run within 3 s, if in
 * these and the 4 s before nothing was impaired and there was room for it twice over on targets that the advice
 * service approves.
 */

const CALM_MS = 4_000;
const AFTER_LAST_RUN_MS = 6_000;
const WITHOUT_RUN_MS = 3_000;

/** What the stand-ins know of a lasting task that should run. */
export interface ObservedTask {
  readonly task: string;
  readonly hasRun: boolean;
  /** Runs of it that fit on approved targets now, within the limit per target. */
  readonly placeCount: number;
  /** Whether its team has less than half of its limit running. */
  readonly isTeamBelowHalf: boolean;
}

/** A task that was left without a run. */
export interface LostTask {
  readonly task: string;
  readonly fromMs: number;
  readonly placeCount: number;
}

interface TaskHistory {
  /** When the task had a run, or was accepted. */
  lastRunAtMs: number;
  /** Since when it has had no run beside room. */
  roomSinceMs: number | undefined;
}

/** Follows the lasting tasks of one play. */
export class LostCheck {
  #histories = new Map<string, TaskHistory>();

  #calmSinceMs = 0;

  #lost = new Map<string, LostTask>();

  #longestMs = 0;

  /** The tasks that were left without a run. */
  get lost(): readonly LostTask[] {
    return [...this.#lost.values()];
  }

  /** The longest time that a task was without a run while all conditions held; below 3 s when the rule is kept. */
  get longestMs(): number {
    return this.#longestMs;
  }

  /**
   * Observes all lasting tasks.
   * @param nowMs - time of the observation
   * @param isCalm - whether nothing is impaired
   * @param tasks - the tasks of accepted submissions that are not cancelled
   */
  observe(nowMs: number, isCalm: boolean, tasks: readonly ObservedTask[]): void {
    if (!isCalm) this.#calmSinceMs = nowMs;
    tasks.forEach((task) => this.#observeTask(nowMs, task));
  }

  #observeTask(nowMs: number, observed: ObservedTask): void {
    const { task, hasRun, placeCount, isTeamBelowHalf } = observed;
    const history = this.#histories.get(task) ?? { lastRunAtMs: nowMs, roomSinceMs: undefined };
    this.#histories.set(task, history);
    if (hasRun) history.lastRunAtMs = nowMs;
    const isOwed =
      !hasRun &&
      placeCount >= 2 &&
      isTeamBelowHalf &&
      nowMs >= this.#calmSinceMs + CALM_MS &&
      nowMs >= history.lastRunAtMs + AFTER_LAST_RUN_MS;
    if (!isOwed) {
      history.roomSinceMs = undefined;
      return;
    }
    history.roomSinceMs ??= nowMs;
    const durationMs = nowMs - history.roomSinceMs;
    this.#longestMs = Math.max(this.#longestMs, durationMs);
    if (durationMs < WITHOUT_RUN_MS || this.#lost.has(task)) return;
    this.#lost.set(task, { task, fromMs: history.roomSinceMs, placeCount });
  }
}
