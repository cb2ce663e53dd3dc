/** Measures rates of work over the recent past with exponential decay. */

/** Amounts of work in the two resources that tasks share. */
export interface Work {
  /** Thousandths of a core times milliseconds. */
  readonly cpu: number;
  /** Megabytes times milliseconds. */
  readonly memory: number;
}

/** No work. */
export const NO_WORK: Work = { cpu: 0, memory: 0 };

/**
 * Adds amounts of work.
 * @param left - the first amount
 * @param right - the second amount
 * @returns the sum
 */
export function addWork(left: Work, right: Work): Work {
  return { cpu: left.cpu + right.cpu, memory: left.memory + right.memory };
}

/** Mean of the work per millisecond, in which older work counts less. */
export class DecayedRate {
  #halfLifeMs: number;

  #sum = NO_WORK;

  #weightMs = 0;

  /**
   * @param halfLifeMs - age at which work counts half
   */
  constructor(halfLifeMs: number) {
    this.#halfLifeMs = halfLifeMs;
  }

  /**
   * Adds what has happened since the previous call.
   * @param work - the work
   * @param elapsedMs - the time in which it has happened
   */
  add(work: Work, elapsedMs: number): void {
    const decay = 0.5 ** (elapsedMs / this.#halfLifeMs);
    this.#sum = {
      cpu: this.#sum.cpu * decay + work.cpu,
      memory: this.#sum.memory * decay + work.memory,
    };
    this.#weightMs = this.#weightMs * decay + elapsedMs;
  }

  /** Mean since the first measurement; 0 before it. */
  get perMs(): Work {
    return this.#weightMs > 0 ? this.#divide(this.#weightMs) : NO_WORK;
  }

  /** Mean that counts the time before the first measurement as time without work. */
  get risingPerMs(): Work {
    return this.#divide(this.#halfLifeMs / Math.LN2);
  }

  #divide(durationMs: number): Work {
    return { cpu: this.#sum.cpu / durationMs, memory: this.#sum.memory / durationMs };
  }
}
