/** Measures the time that the owner's reducer takes by kind of event, apart from the simulation around it. */

import { OwnerCore } from '../src/owner/core';
import { Planner } from '../src/owner/planner';
import type { OwnerEvent } from '../src/owner/types';

const { reduce } = OwnerCore.prototype;
const { plan } = Planner.prototype;

/** Number of calls and their total time. */
export interface CallTimes {
  readonly count: number;
  readonly totalMs: number;
}

/** Collects the times of all owners while it is attached. */
export class OwnerTimes {
  #byKind = new Map<OwnerEvent['kind'], CallTimes>();

  #planning: CallTimes = { count: 0, totalMs: 0 };

  /** Times by kind of event, including the planning that follows an event. */
  get byKind(): ReadonlyMap<OwnerEvent['kind'], CallTimes> {
    return this.#byKind;
  }

  /** Times of the planning passes. */
  get planning(): CallTimes {
    return this.#planning;
  }

  /** Time of all events. */
  get totalMs(): number {
    return [...this.#byKind.values()].reduce((sum, { totalMs }) => sum + totalMs, 0);
  }

  /** Forgets what has been measured so far. */
  clear(): void {
    this.#byKind.clear();
    this.#planning = { count: 0, totalMs: 0 };
  }

  /** Starts measuring. */
  attach(): void {
    const addEvent = (kind: OwnerEvent['kind'], ms: number) => this.#addEvent(kind, ms);
    const addPass = (ms: number) => this.#addPass(ms);
    Object.assign(OwnerCore.prototype, {
      reduce(this: OwnerCore, event: OwnerEvent) {
        const startedAtMs = performance.now();
        const effects = reduce.call(this, event);
        addEvent(event.kind, performance.now() - startedAtMs);
        return effects;
      },
    });
    Object.assign(Planner.prototype, {
      plan(this: Planner) {
        const startedAtMs = performance.now();
        plan.call(this);
        addPass(performance.now() - startedAtMs);
      },
    });
  }

  /** Ends measuring. */
  static detach(): void {
    Object.assign(OwnerCore.prototype, { reduce });
    Object.assign(Planner.prototype, { plan });
  }

  #addEvent(kind: OwnerEvent['kind'], ms: number): void {
    const { count, totalMs } = this.#byKind.get(kind) ?? { count: 0, totalMs: 0 };
    this.#byKind.set(kind, { count: count + 1, totalMs: totalMs + ms });
  }

  #addPass(ms: number): void {
    const { count, totalMs } = this.#planning;
    this.#planning = { count: count + 1, totalMs: totalMs + ms };
  }
}
