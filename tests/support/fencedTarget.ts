/** A target of the model of ownership, which refuses lower epochs. */

import { LEASE_MS } from '../../src/owner/constants';
import type { NodeId } from '../../src/types/ids';

/** A call of an owner. */
export interface TargetCall {
  readonly epoch: number;
  readonly isRenewal: boolean;
  readonly startedId: string | undefined;
}

/** A target: tasks run there until its lease expires. */
export class FencedTarget {
  readonly targetId: NodeId;

  #fence = 0;

  #leaseUntilMs = 0;

  #taskIds = new Set<string>();

  constructor(name: string) {
    this.targetId = name as NodeId;
  }

  getTaskIds(nowMs: number): readonly string[] {
    if (nowMs > this.#leaseUntilMs) this.#taskIds.clear();
    return [...this.#taskIds];
  }

  /** Lists the tasks, after it has renewed the lease and started a task if asked to; undefined for a lower epoch. */
  call({ epoch, isRenewal, startedId }: TargetCall, nowMs: number): readonly string[] | undefined {
    if (epoch < this.#fence) return undefined;
    this.#fence = epoch;
    this.getTaskIds(nowMs);
    if (isRenewal) this.#leaseUntilMs = Math.max(this.#leaseUntilMs, nowMs + LEASE_MS);
    if (startedId !== undefined) this.#taskIds.add(startedId);
    return [...this.#taskIds];
  }
}
