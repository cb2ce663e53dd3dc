/** Tells, while tasks stay without a run, what they wait for. */

import type { TargetId, TaskKey } from '../types/ids';
import { toTaskKey } from '../work/taskKeys';
import { getAdviceSummary } from './adviceSummary';
import type { OwnerState } from './ownerState';
import type { StepState } from './stepState';
import { getStepWaitReason } from './taskBelief';
import type { TaskWaitReason } from './taskBelief';

/** What a task without a confirmed run waits for. */
export type WaitReason =
  | TaskWaitReason
  /** A start without an answer may have taken place. */
  | 'startInDoubt';

/** Tasks of a step that wait for the same reason, or a start in doubt. */
interface Wait {
  readonly reason: WaitReason;
  /** The task that has waited longest. */
  readonly task: TaskKey;
  readonly taskCount: number;
  /** Since when that task has had no confirmed run, for whatever reasons. */
  readonly sinceMs: number;
  readonly targetId?: TargetId;
  readonly step?: StepState;
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
    const stepWaits = [...this.#state.ready].flatMap((step) => this.#getStepWaits(step));
    const byReason = new Map<WaitReason, Wait[]>();
    [...stepWaits, ...this.#getStartsInDoubt()].forEach((wait) => {
      if (nowMs < wait.sinceMs + MIN_WAIT_MS) return;
      const waits = byReason.get(wait.reason);
      if (waits === undefined) byReason.set(wait.reason, [wait]);
      else waits.push(wait);
    });
    byReason.forEach((waits, reason) => this.#report(reason, waits));
  }

  /** Groups the waiting tasks of a step by reason; only suspected ones differ from the others. */
  #getStepWaits(step: StepState): readonly Wait[] {
    const { waiting, progress, isHeld } = step;
    const longest = step.getLongestWait(waiting);
    if (longest === undefined || this.#state.nowMs < longest.sinceMs + MIN_WAIT_MS) return [];
    const reason = getStepWaitReason(this.#state, step);
    if (isHeld || !progress.hasSuspect) return WaitMonitor.#createWaits(step, reason, [...waiting]);
    const suspects = [...waiting].filter((index) => progress.isSuspect(index));
    const others = [...waiting].filter((index) => !progress.isSuspect(index));
    return [
      ...WaitMonitor.#createWaits(step, reason === 'teamLimit' ? reason : 'trial', suspects),
      ...WaitMonitor.#createWaits(step, reason, others),
    ];
  }

  static #createWaits(
    step: StepState,
    reason: WaitReason,
    indexes: readonly number[],
  ): readonly Wait[] {
    const longest = step.getLongestWait(indexes);
    if (longest === undefined) return [];
    const { index, sinceMs } = longest;
    const task = toTaskKey(step.key, index);
    return [{ reason, task, taskCount: indexes.length, sinceMs, step }];
  }

  /** Only targets with unsettled runs can have unanswered starts, and these are among the unusual ones. */
  #getStartsInDoubt(): readonly Wait[] {
    return this.#state.watch.getUnusual().flatMap(({ id: targetId, runs }) =>
      [...runs.values()].flatMap(({ taskKey: task, doubtSinceMs: sinceMs }) => {
        if (sinceMs === undefined) return [];
        return [{ reason: 'startInDoubt' as const, task, taskCount: 1, sinceMs, targetId }];
      }),
    );
  }

  #report(reason: WaitReason, waits: readonly Wait[]): void {
    const { nowMs, unresolvedTargets } = this.#state;
    const longest = [...waits]
      .sort((left, right) => left.sinceMs - right.sinceMs)
      .slice(0, MAX_NAMED_TASKS);
    const longestMs = nowMs - (longest[0]?.sinceMs ?? nowMs);
    this.#state.emit({ kind: 'record', name: `task_wait_${reason}`, durationMs: longestMs });
    if (nowMs < (this.#nextLogAtMs.get(reason) ?? 0)) return;
    this.#nextLogAtMs.set(reason, nowMs + LOG_INTERVAL_MS);
    const advice = longest.flatMap(({ step }) => {
      const needsAdvice = step !== undefined && step.record.queue.advice !== undefined;
      return needsAdvice ? [getAdviceSummary(this.#state, step)] : [];
    });
    const targetIds = longest.flatMap(({ targetId }) => targetId ?? []);
    this.#state.log('tasks wait', {
      reason,
      taskCount: waits.reduce((sum, { taskCount }) => sum + taskCount, 0),
      longestMs: Math.round(longestMs),
      tasks: longest.map(({ task }) => task),
      ...(targetIds.length > 0 ? { targetIds } : {}),
      ...(advice.length > 0 ? { advice } : {}),
      ...(reason === 'unseenRuns' ? { unresolvedTargetIds: [...unresolvedTargets] } : {}),
    });
  }
}
