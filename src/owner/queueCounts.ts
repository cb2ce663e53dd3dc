/** Counts what waits in one queue, for the load summary. */

import type { QueueFigures } from '../admission/loadSummary';
import type { Queue } from '../work/types';
import { getExpectedDurationMs } from './expectedDuration';
import type { StepState } from './stepState';

/** What waits in one queue. */
export class QueueCounts {
  waitingCount = 0;

  longestWithinMs = 0;

  longestExcessMs = 0;

  objectiveSumMs = 0;

  estimateSumMs = 0;

  expectedSumMs = 0;

  minCpuMillis = Number.POSITIVE_INFINITY;

  minMemoryMb = Number.POSITIVE_INFINITY;

  /**
   * @param queue - the queue
   */
  constructor(readonly queue: Queue) {}

  /**
   * Adds a waiting step.
   * @param step - the step
   * @param isLost - whether it no longer counts, so that its wait tells nothing of those of others
   * @param nowMs - current time on the owner's clock
   */
  add(step: StepState, isLost: boolean, nowMs: number): void {
    this.waitingCount += 1;
    const waitMs = isLost ? 0 : nowMs - (step.readyAtMs ?? nowMs);
    if (step.record.isExcess) this.longestExcessMs = Math.max(this.longestExcessMs, waitMs);
    else this.longestWithinMs = Math.max(this.longestWithinMs, waitMs);
    this.objectiveSumMs += step.record.objectiveMs;
    this.minCpuMillis = Math.min(this.minCpuMillis, step.charge.cpuMillis);
    this.minMemoryMb = Math.min(this.minMemoryMb, step.charge.memoryMb);
    if (step.isLongRunning || step.spec.estimateMs <= 0) return;
    this.estimateSumMs += step.spec.estimateMs;
    this.expectedSumMs += getExpectedDurationMs(step);
  }

  /** @returns what the summary tells; without steps of its own, the queue has no least demand */
  getFigures(): QueueFigures {
    const isEmpty = this.waitingCount === 0;
    return {
      id: this.queue.id,
      objectiveMs: isEmpty ? 0 : this.objectiveSumMs / this.waitingCount,
      durationFactor: this.estimateSumMs > 0 ? this.expectedSumMs / this.estimateSumMs : 1,
      minCpuMillis: isEmpty ? 0 : this.minCpuMillis,
      minMemoryMb: isEmpty ? 0 : this.minMemoryMb,
      waitingCount: this.waitingCount,
      longestWithinMs: this.longestWithinMs,
      longestExcessMs: this.longestExcessMs,
    };
  }
}
