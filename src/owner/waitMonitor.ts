/** Tells, while tasks stay without a run, what they wait for. */

import type { TargetId, TaskKey } from '../types/ids';
import { toTaskKey } from '../work/taskKeys';
import type { OwnerState } from './ownerState';
import type { StepState } from './stepState';

/** What a task without a confirmed run waits for. */
export type WaitReason =
  /** A target may run it since a former owner's time and has not listed all its runs and ends. */
  | 'unseenRuns'
  /** The service of its queue has to be stored. */
  | 'serviceRecord'
  /** It is suspected of having crashed targets, and no trial of it has been started. */
  | 'trial'
  /** The advice service has approved no target with a ticket that is still valid. */
  | 'advice'
  /** No target has room for it, or its team has reached its limit. */
  | 'capacity'
  /** A start without an answer may have taken place. */
  | 'startInDoubt';

/** A task that waits. */
interface WaitingTask {
  readonly task: TaskKey;
  readonly reason: WaitReason;
  readonly sinceMs: number;
  readonly targetId?: TargetId;
}

/** Since when a step has had waiting tasks without a break, for one reason. */
interface StepWait {
  readonly reason: WaitReason;
  readonly sinceMs: number;
}

const CHECK_INTERVAL_MS = 1_000;

/** A shorter wait is not logged. */
const MIN_WAIT_MS = 3_000;

/** Interval at which the waits for one reason are logged. */
const LOG_INTERVAL_MS = 5_000;

/** Tasks that a log line names. */
const MAX_NAMED_TASKS = 3;

/** Logs and measures waits while they last. */
export class WaitMonitor {
  #state: OwnerState;

  #stepWaits = new Map<StepState, ReadonlyMap<WaitReason, StepWait>>();

  #nextCheckAtMs = 0;

  #nextLogAtMs = new Map<WaitReason, number>();

  /**
   * @param state - the shared state of the owner
   */
  constructor(state: OwnerState) {
    this.#state = state;
  }

  /** Checks all waiting tasks, at most once a second. */
  check(): void {
    const { nowMs } = this.#state;
    if (nowMs < this.#nextCheckAtMs) return;
    this.#nextCheckAtMs = nowMs + CHECK_INTERVAL_MS;
    const byReason = new Map<WaitReason, WaitingTask[]>();
    [...this.#observeSteps(), ...this.#getStartsInDoubt()].forEach((waiting) => {
      if (nowMs < waiting.sinceMs + MIN_WAIT_MS) return;
      byReason.set(waiting.reason, [...(byReason.get(waiting.reason) ?? []), waiting]);
    });
    byReason.forEach((tasks, reason) => this.#report(reason, tasks));
  }

  #observeSteps(): readonly WaitingTask[] {
    const { ready, nowMs } = this.#state;
    const formerWaits = this.#stepWaits;
    this.#stepWaits = new Map();
    const waiting: WaitingTask[] = [];
    ready.forEach((step) => {
      const waits = new Map<WaitReason, StepWait>();
      step.waiting.forEach((index) => {
        const reason = this.#getReason(step, index);
        const sinceMs = formerWaits.get(step)?.get(reason)?.sinceMs ?? nowMs;
        waits.set(reason, { reason, sinceMs });
        waiting.push({ task: toTaskKey(step.key, index), reason, sinceMs });
      });
      this.#stepWaits.set(step, waits);
    });
    return waiting;
  }

  #getReason(step: StepState, index: number): WaitReason {
    if (step.mayRunUnseen) return 'unseenRuns';
    if (!step.record.isServiceRecorded) return 'serviceRecord';
    if (step.progress.isSuspect(index)) return 'trial';
    const needsTicket = step.record.queue.advice !== undefined;
    return needsTicket && !step.advice.hasUsableTicket(this.#state.nowMs) ? 'advice' : 'capacity';
  }

  /** Only targets with unsettled runs can have unanswered starts, and these are among the unusual ones. */
  #getStartsInDoubt(): readonly WaitingTask[] {
    return this.#state.watch.getUnusual().flatMap(({ id, runs }) =>
      [...runs.values()].flatMap(({ taskKey, doubtSinceMs }) =>
        doubtSinceMs === undefined
          ? []
          : [
              {
                ...{ task: taskKey, reason: 'startInDoubt' as const },
                ...{ sinceMs: doubtSinceMs, targetId: id },
              },
            ],
      ),
    );
  }

  #report(reason: WaitReason, tasks: readonly WaitingTask[]): void {
    const { nowMs, unresolvedTargets } = this.#state;
    const longestMs = Math.max(...tasks.map(({ sinceMs }) => nowMs - sinceMs));
    this.#state.emit({ kind: 'record', name: `task_wait_${reason}`, durationMs: longestMs });
    if (nowMs < (this.#nextLogAtMs.get(reason) ?? 0)) return;
    this.#nextLogAtMs.set(reason, nowMs + LOG_INTERVAL_MS);
    const named = [...tasks]
      .sort((left, right) => left.sinceMs - right.sinceMs)
      .slice(0, MAX_NAMED_TASKS);
    const targetIds = named.flatMap(({ targetId }) => targetId ?? []);
    this.#state.log('tasks wait', {
      ...{ reason, taskCount: tasks.length, longestMs: Math.round(longestMs) },
      tasks: named.map(({ task }) => task),
      ...(targetIds.length > 0 ? { targetIds } : {}),
      ...(reason === 'unseenRuns' ? { unresolvedTargetIds: [...unresolvedTargets] } : {}),
    });
  }
}
