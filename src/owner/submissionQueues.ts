/**
 * Applies the configuration of queues to submissions. The progress of a submission names each service that its tasks
 * are sent to, before the first of them is, as the queue may have moved on when a later owner asks where they run.
 */

import type { QueueId } from '../types/ids';
import type { ClusterConfig, Queue } from '../work/types';
import type { OwnerState } from './ownerState';
import type { SubmissionRecord } from './submissionRecord';

/** Follows the queues of all submissions. */
export class SubmissionQueues {
  #state: OwnerState;

  /** Since when submissions wait until the service of their queue is recorded. */
  #movedAtMs = new Map<SubmissionRecord, number>();

  /**
   * @param state - the shared state of the owner
   */
  constructor(state: OwnerState) {
    this.#state = state;
  }

  /**
   * Applies a configuration to all open submissions.
   * @param config - the configuration
   */
  apply(config: ClusterConfig): void {
    const queues = new Map<QueueId, Queue>(config.queues.map((queue) => [queue.id, queue]));
    const movedCounts = new Map<Queue, number>();
    this.#state.open.forEach((record) => {
      const queue = queues.get(record.submission.queue.id);
      if (queue === undefined || !this.#set(record, queue)) return;
      movedCounts.set(queue, (movedCounts.get(queue) ?? 0) + 1);
    });
    movedCounts.forEach((submissionCount, { id, serviceName }) =>
      this.#state.log('queue has another service; its tasks start there once that is stored', {
        ...{ queue: id, serviceName, submissionCount },
      }),
    );
  }

  /**
   * Applies the present configuration to a submission that has just become known.
   * @param record - the submission
   */
  assign(record: SubmissionRecord): void {
    const queues = this.#state.operator.config?.queues ?? [];
    const queue = queues.find(({ id }) => id === record.submission.queue.id);
    if (queue !== undefined) this.#set(record, queue);
  }

  /**
   * Counts the waiting submissions of a queue.
   * @param queueId - the queue
   * @returns the number of accepted submissions that have not started a run
   */
  countWaiting(queueId: QueueId): number {
    let count = 0;
    this.#state.open.forEach((record) => {
      const isWaiting = !record.hasBegun && !record.isCancelled;
      if (isWaiting && record.submission.queue.id === queueId) count += 1;
    });
    return count;
  }

  /** Measures the waits that have ended. */
  observe(): void {
    const { nowMs, open } = this.#state;
    this.#movedAtMs.forEach((movedAtMs, record) => {
      const isWaiting = open.has(record) && !record.isServiceRecorded;
      if (isWaiting) return;
      this.#movedAtMs.delete(record);
      this.#state.isPlanDue = true;
      this.#state.emit({
        kind: 'record',
        name: 'service_record_wait',
        durationMs: nowMs - movedAtMs,
      });
    });
  }

  /** @returns true when tasks wait until the service is recorded */
  #set(record: SubmissionRecord, queue: Queue): boolean {
    if (!record.setQueue(queue, this.#getServicesInUse(record))) return false;
    const { nowMs, writer } = this.#state;
    writer.markDirty(record, nowMs);
    this.#movedAtMs.set(record, nowMs);
    this.#state.count('submissions_moved');
    return true;
  }

  /** Runs of former owners may be anywhere until their leases have ended or all their targets have listed them. */
  #getServicesInUse(record: SubmissionRecord): ReadonlySet<string> | undefined {
    const { steadyMs, longUnresolvedUntilMs, unresolvedTargets, targets } = this.#state;
    if (steadyMs <= longUnresolvedUntilMs || unresolvedTargets.size > 0) return undefined;
    const names = [...record.steps].flatMap((step) =>
      step.getRuns().flatMap(({ targetId }) => targets.get(targetId)?.entry.serviceName ?? []),
    );
    return new Set(names);
  }
}
