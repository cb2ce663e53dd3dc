/** Measures the time without a run in simulations of the owner. */

import type { TaskKey } from '../../src/types/ids';
import type { OwnerWorld } from './ownerWorld';

/** Resolution of the time without a run. */
const STEP_MS = 10;

/** Measures for how long tasks have no run on a target that is up. */
export class IdleMeter {
  readonly #world: OwnerWorld;

  readonly #tasks: readonly TaskKey[];

  readonly #idleMs = new Map<TaskKey, number>();

  /** The longest time for which one of the tasks has had no run. */
  longestMs = 0;

  constructor(world: OwnerWorld, tasks: readonly TaskKey[]) {
    this.#world = world;
    this.#tasks = tasks;
  }

  /** Lets time pass. */
  run(durationMs: number): void {
    const untilMs = this.#world.time.nowMs + durationMs;
    while (this.#world.time.nowMs < untilMs) {
      this.#world.run(STEP_MS);
      this.#measure();
    }
  }

  #measure(): void {
    const up = [...this.#world.targets.values()].filter(({ isUp }) => isUp);
    this.#tasks.forEach((task) => {
      const isRunning = up.some(({ runs }) => runs.has(task));
      const idleMs = isRunning ? 0 : (this.#idleMs.get(task) ?? 0) + STEP_MS;
      this.#idleMs.set(task, idleMs);
      this.longestMs = Math.max(this.longestMs, idleMs);
    });
  }
}
