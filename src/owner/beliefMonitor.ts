/** Logs, while tasks have no confirmed run on a target that answers, what the owner believes of them. */

import type { TargetId } from '../types/ids';
import { formatRanges } from '../work/indexRanges';
import type { OwnerState } from './ownerState';
import { getConfirmedAtMs } from './run';
import type { Run } from './run';
import type { StepState } from './stepState';
import {
  getBeliefReason,
  getRemainingMs,
  getSilentForMs,
  getStepWaitReason,
  getTaskBelief,
  isAnswering,
  isSameBelief,
} from './taskBelief';
import type { TaskBelief, TaskWaitReason } from './taskBelief';
import type { UnseenRuns } from './unseenRuns';

/** A task without a confirmed run. */
interface TaskWait {
  readonly index: number;
  belief: TaskBelief;
  /** Since when it has had no confirmed run, as far as this owner knows. */
  readonly sinceMs: number;
  /** Since when the owner has had the belief. */
  beliefSinceMs: number;
  /** When a line with this belief named the task. */
  loggedAtMs: number | undefined;
  /** Whether a line has named the task since it has had no confirmed run. */
  wasLogged: boolean;
}

/** A task that had no confirmed run at the last check and has one, or is done. */
interface EndedWait {
  readonly wait: TaskWait;
  readonly withoutRunMs: number;
}

/** A log line that is due. */
interface DueLine {
  readonly step: StepState;
  readonly durationMs: number;
  readonly write: () => void;
}

const CHECK_INTERVAL_MS = 1_000;

/** A shorter wait is not logged. */
const MIN_WAIT_MS = 1_000;

/** A line comes again before this time is over. */
const LOG_INTERVAL_MS = 5_000;

/** Maximum waiting tasks that are followed, apart from those of lasting steps, as a backlog has no bound. */
const MAX_FOLLOWED_TASKS = 2_000;

/** Maximum lines in a second. */
const MAX_LINES = 20;

/** Maximum targets that a line names. */
const MAX_NAMED_TARGETS = 10;

/** Maximum runs that a line names. */
const MAX_NAMED_RUNS = 50;

function getLongest(durationsMs: readonly number[]): number {
  return durationsMs.reduce((longest, durationMs) => Math.max(longest, durationMs), 0);
}

/** The times without a run, as a second field only when those of the tasks differ. */
function getDurationFields(name: string, durationsMs: readonly number[]): object {
  const longestMs = getLongest(durationsMs);
  const shortestMs = durationsMs.reduce((left, right) => Math.min(left, right), longestMs);
  return {
    [name]: Math.round(longestMs),
    ...(Math.round(shortestMs) < Math.round(longestMs)
      ? { shortestMs: Math.round(shortestMs) }
      : {}),
  };
}

function getTargetFields(targetIds: readonly TargetId[]): object {
  if (targetIds.length === 0) return {};
  return {
    targetIds: targetIds.slice(0, MAX_NAMED_TARGETS),
    ...(targetIds.length > MAX_NAMED_TARGETS ? { targetCount: targetIds.length } : {}),
  };
}

function getRunFields(runs: readonly Run[]): object {
  if (runs.length === 0) return {};
  return {
    runs: runs
      .slice(0, MAX_NAMED_RUNS)
      .map(({ index, run, targetId }) => ({ index, run, targetId })),
    ...(runs.length > MAX_NAMED_RUNS ? { runCount: runs.length } : {}),
  };
}

/** Names the kind and the reason. Most tasks wait, so that theirs is not composed. */
function getBeliefKey({ belief }: TaskWait): string {
  if (belief.kind === 'waiting') return belief.reason;
  return `${belief.kind}.${getBeliefReason(belief) ?? ''}`;
}

/** Groups waits by kind and reason of the belief. */
function groupByBelief<T>(
  waits: Iterable<T>,
  getWait: (wait: T) => TaskWait,
): readonly (readonly [T, ...T[]])[] {
  const groups = new Map<string, [T, ...T[]]>();
  for (const wait of waits) {
    const key = getBeliefKey(getWait(wait));
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [wait]);
    else group.push(wait);
  }
  return [...groups.values()];
}

/** Follows the tasks without a confirmed run; a later owner starts anew. */
export class BeliefMonitor {
  #state: OwnerState;

  #unseenRuns: UnseenRuns;

  #waits = new Map<StepState, Map<number, TaskWait>>();

  /** Waiting tasks that are followed. */
  #followedCount = 0;

  #nextCheckAtMs = 0;

  #checkedAtMs = Number.NEGATIVE_INFINITY;

  /**
   * @param state - the shared state of the owner
   * @param unseenRuns - knows which targets hold steps back
   */
  constructor(state: OwnerState, unseenRuns: UnseenRuns) {
    this.#state = state;
    this.#unseenRuns = unseenRuns;
  }

  /** Checks the tasks without a confirmed run, at most once a second. */
  check(): void {
    const { nowMs } = this.#state;
    if (nowMs < this.#nextCheckAtMs) return;
    this.#nextCheckAtMs = nowMs + CHECK_INTERVAL_MS;
    const ended = this.#observe();
    this.#checkedAtMs = nowMs;
    this.#measure();
    this.#writeLines([...this.#getEndLines(ended), ...this.#getBeliefLines()]);
  }

  /**
   * Visits the tasks of the last check, the waiting ones and those with a run on a target that needs attention.
   * @returns the tasks by step that have a confirmed run again
   */
  #observe(): ReadonlyMap<StepState, readonly EndedWait[]> {
    const ended = new Map<StepState, readonly EndedWait[]>();
    this.#waits.forEach((waits, step) => {
      const stepEnded = this.#observeStepAgain(step, waits);
      if (stepEnded.length > 0) ended.set(step, stepEnded);
      if (waits.size === 0) this.#waits.delete(step);
    });
    const { ready, setAsideUntilMs, watch } = this.#state;
    this.#followedCount = 0;
    ready.forEach((step) => this.#observeWaiting(step));
    setAsideUntilMs.forEach((_untilMs, step) => this.#observeWaiting(step));
    watch.getUnusual().forEach((target) => {
      if (isAnswering(target) && !target.mayHaveUnsettledRuns) return;
      target.runs.forEach(({ step, index }) => {
        if (this.#waits.get(step)?.has(index) !== true) this.#observeNew(step, index);
      });
    });
    return ended;
  }

  /** Lasting tasks are followed however many wait. */
  #observeWaiting(step: StepState): void {
    const known = this.#waits.get(step);
    if (known === undefined && !step.isLongRunning && this.#followedCount >= MAX_FOLLOWED_TASKS) {
      this.#state.count('task_belief_steps_left_out');
      return;
    }
    this.#followedCount += step.waiting.size;
    step.waiting.forEach((index) => {
      if (known?.has(index) !== true) this.#observeNew(step, index);
    });
  }

  #observeStepAgain(step: StepState, waits: Map<number, TaskWait>): readonly EndedWait[] {
    const reason = this.#getCommonReason(step);
    const ended: EndedWait[] = [];
    const over: number[] = [];
    waits.forEach((wait, index) => {
      // Many tasks may wait for room, so those about which nothing has changed take little time.
      const isUnchanged =
        wait.belief.kind === 'waiting' &&
        wait.belief.reason === reason &&
        step.waiting.has(index) &&
        !this.#wasConfirmed(step, index);
      if (isUnchanged || this.#updateWait(step, wait)) return;
      const withoutRunMs = this.#getWithoutRunMs(step, wait);
      waits.delete(index);
      over.push(index);
      if (BeliefMonitor.#isEndTold(step, index)) ended.push({ wait, withoutRunMs });
    });
    over.forEach((index) => this.#observeNew(step, index));
    return ended;
  }

  /** What all waiting tasks of a ready step wait for; undefined when they differ. */
  #getCommonReason(step: StepState): TaskWaitReason | undefined {
    if (!this.#state.ready.has(step) || step.progress.hasSuspect) return undefined;
    return getStepWaitReason(this.#state, step);
  }

  /** Checks whether a run that has ended since the last check was confirmed after it. */
  #wasConfirmed(step: StepState, index: number): boolean {
    const last = step.getLastConfirmed(index);
    return last !== undefined && last.confirmedAtMs > this.#checkedAtMs;
  }

  /** A submission that has ended otherwise has a line of its own. */
  static #isEndTold({ record, progress }: StepState, index: number): boolean {
    const isNeeded = record.outcome === undefined && !record.isCancelled;
    return isNeeded || progress.isTaskDone(index);
  }

  /** @returns false when the wait is over, as the task has a confirmed run, had one, or needs none */
  #updateWait(step: StepState, updated: TaskWait): boolean {
    const wait = updated;
    const belief = getTaskBelief(this.#state, step, wait.index);
    if (belief === undefined || this.#wasConfirmed(step, wait.index)) return false;
    if (this.#isLostAgain(belief)) return false;
    const isSame = isSameBelief(belief, wait.belief);
    wait.belief = belief;
    if (isSame) return true;
    const { nowMs } = this.#state;
    wait.beliefSinceMs = Math.max(wait.sinceMs, BeliefMonitor.#getRunSinceMs(belief) ?? nowMs);
    wait.loggedAtMs = undefined;
    return true;
  }

  /** Checks whether the target of a confirmed run has answered since the last check. */
  #isLostAgain(belief: TaskBelief): boolean {
    if (belief.kind !== 'silentRun' || getConfirmedAtMs(belief.run) === undefined) return false;
    const lostAtMs = this.#state.targets.get(belief.run.targetId)?.lostAtMs;
    return lostAtMs !== undefined && lostAtMs > this.#checkedAtMs;
  }

  #observeNew(step: StepState, index: number): void {
    const belief = getTaskBelief(this.#state, step, index);
    if (belief === undefined) return;
    const sinceMs = this.#getSinceMs(step, index, belief);
    const beliefSinceMs = Math.max(sinceMs, BeliefMonitor.#getRunSinceMs(belief) ?? sinceMs);
    this.#setWait(step, {
      ...{ index, belief, sinceMs, beliefSinceMs },
      ...{ loggedAtMs: undefined, wasLogged: false },
    });
  }

  #setWait(step: StepState, wait: TaskWait): void {
    const waits = this.#waits.get(step);
    if (waits === undefined) this.#waits.set(step, new Map([[wait.index, wait]]));
    else waits.set(wait.index, wait);
  }

  /** Since when a task has had no confirmed run that was not among those without one at the last check. */
  #getSinceMs(step: StepState, index: number, belief: TaskBelief): number {
    const { nowMs, targets } = this.#state;
    if (belief.kind === 'silentRun') {
      const target = targets.get(belief.run.targetId);
      const silentForMs = target && getSilentForMs(this.#state, target);
      const confirmedAtMs = getConfirmedAtMs(belief.run) ?? Number.NEGATIVE_INFINITY;
      return Math.max(nowMs - (silentForMs ?? 0), confirmedAtMs);
    }
    if (belief.kind === 'stopping') return belief.run.stopSentAtMs;
    return Math.max(step.readyAtMs ?? nowMs, step.getLastConfirmed(index)?.endedAtMs ?? 0);
  }

  /** Since when a belief about a start has been held; the beginning of others is known to the second. */
  static #getRunSinceMs(belief: TaskBelief): number | undefined {
    if (belief.kind === 'inDoubt') return belief.run.doubtSinceMs;
    return belief.kind === 'starting' ? belief.run.sentAtMs : undefined;
  }

  #getWithoutRunMs(step: StepState, { index, sinceMs }: TaskWait): number {
    const confirmedAtMs = [
      ...(step.runs.get(index) ?? []).map(getConfirmedAtMs),
      step.getLastConfirmed(index)?.confirmedAtMs,
    ].find((atMs) => atMs !== undefined && atMs > sinceMs);
    return (confirmedAtMs ?? this.#state.nowMs) - sinceMs;
  }

  /** The beliefs of waiting tasks and of starts in doubt have a metric already. */
  #measure(): void {
    const longestMs = new Map<TaskBelief['kind'], number>();
    this.#waits.forEach((waits) =>
      waits.forEach(({ belief, beliefSinceMs }) => {
        if (belief.kind === 'waiting' || belief.kind === 'inDoubt') return;
        const durationMs = this.#state.nowMs - beliefSinceMs;
        longestMs.set(belief.kind, Math.max(durationMs, longestMs.get(belief.kind) ?? 0));
      }),
    );
    longestMs.forEach((durationMs, kind) => {
      if (durationMs < MIN_WAIT_MS) return;
      this.#state.emit({ kind: 'record', name: `task_wait_${kind}`, durationMs });
    });
  }

  #getBeliefLines(): readonly DueLine[] {
    const { nowMs } = this.#state;
    return [...this.#waits].flatMap(([step, waits]) => {
      if (!this.#isAnyLineDue(waits)) return [];
      const lasting = [...waits.values()].filter(({ sinceMs }) => nowMs >= sinceMs + MIN_WAIT_MS);
      return groupByBelief(lasting, (wait) => wait)
        .filter((group) => group.some((wait) => this.#isLineDue(wait)))
        .map((group) => ({
          step,
          durationMs: getLongest(group.map(({ sinceMs }) => nowMs - sinceMs)),
          write: () => this.#writeBelief(step, group),
        }));
    });
  }

  #isAnyLineDue(waits: ReadonlyMap<number, TaskWait>): boolean {
    for (const wait of waits.values()) {
      if (this.#state.nowMs >= wait.sinceMs + MIN_WAIT_MS && this.#isLineDue(wait)) return true;
    }
    return false;
  }

  /** The next check may come somewhat later than a second from now. */
  #isLineDue({ loggedAtMs }: TaskWait): boolean {
    if (loggedAtMs === undefined) return true;
    return this.#state.nowMs + CHECK_INTERVAL_MS >= loggedAtMs + LOG_INTERVAL_MS;
  }

  #getEndLines(ended: ReadonlyMap<StepState, readonly EndedWait[]>): readonly DueLine[] {
    return [...ended].flatMap(([step, waits]) =>
      groupByBelief(
        waits.filter(({ wait }) => wait.wasLogged),
        ({ wait }) => wait,
      ).map((group) => ({
        step,
        durationMs: getLongest(group.map(({ withoutRunMs }) => withoutRunMs)),
        write: () => this.#writeEnd(step, group),
      })),
    );
  }

  /** Lasting tasks and the longest waits come first; the others are due again at the next check. */
  #writeLines(lines: readonly DueLine[]): void {
    const sorted = [...lines].sort(
      (left, right) =>
        Number(right.step.isLongRunning) - Number(left.step.isLongRunning) ||
        right.durationMs - left.durationMs,
    );
    sorted.slice(0, MAX_LINES).forEach(({ write }) => write());
    const stepCount = new Set(sorted.slice(MAX_LINES).map(({ step }) => step)).size;
    if (stepCount === 0) return;
    this.#state.count('task_belief_steps_left_out', stepCount);
    this.#state.log('steps without a confirmed run are left out', { stepCount });
  }

  #writeBelief(step: StepState, group: readonly [TaskWait, ...TaskWait[]]): void {
    const { nowMs } = this.#state;
    const [{ belief }] = group;
    const runs = group.flatMap((wait) => step.runs.get(wait.index) ?? []);
    const endsWithinMs = this.#getEndsWithinMs(step, group);
    const reason = getBeliefReason(belief);
    const targetIds = this.#getTargetIds(step, belief, runs);
    this.#state.log('tasks without a confirmed run', {
      submissionId: step.record.submission.id,
      step: step.key,
      tasks: formatRanges(group.map(({ index }) => index)),
      belief: belief.kind,
      ...(reason === undefined ? {} : { reason }),
      ...getTargetFields(targetIds),
      ...getRunFields(runs),
      ...getDurationFields(
        'sinceMs',
        group.map(({ sinceMs }) => nowMs - sinceMs),
      ),
      beliefForMs: Math.round(getLongest(group.map(({ beliefSinceMs }) => nowMs - beliefSinceMs))),
      ...(Number.isFinite(endsWithinMs) ? { endsWithinMs: Math.ceil(endsWithinMs) } : {}),
      ...this.#getSilenceFields(targetIds),
    });
    group.forEach((logged) => {
      const wait = logged;
      wait.loggedAtMs = nowMs;
      wait.wasLogged = true;
    });
  }

  /** Only runs have bounds of their own; waiting tasks of a step with the same reason have the same one. */
  #getEndsWithinMs(step: StepState, group: readonly [TaskWait, ...TaskWait[]]): number {
    const [first] = group;
    const waits = 'run' in first.belief ? group : [first];
    return getLongest(
      waits.map(({ belief }) => getRemainingMs(this.#state, this.#unseenRuns, step, belief)),
    );
  }

  #getTargetIds(step: StepState, belief: TaskBelief, runs: readonly Run[]): readonly TargetId[] {
    const isUnseen = belief.kind === 'waiting' && belief.reason === 'unseenRuns';
    if (isUnseen) return this.#unseenRuns.getHold(step).targetIds;
    return [...new Set(runs.map(({ targetId }) => targetId))];
  }

  /** How long the targets have been silent at most. */
  #getSilenceFields(targetIds: readonly TargetId[]): object {
    const silencesMs = targetIds.flatMap((targetId) => {
      const target = this.#state.targets.get(targetId);
      return (target === undefined ? undefined : getSilentForMs(this.#state, target)) ?? [];
    });
    return silencesMs.length === 0 ? {} : { silentMs: Math.round(getLongest(silencesMs)) };
  }

  #writeEnd(step: StepState, group: readonly [EndedWait, ...EndedWait[]]): void {
    const [{ wait }] = group;
    const reason = getBeliefReason(wait.belief);
    this.#state.log('tasks have a confirmed run again', {
      submissionId: step.record.submission.id,
      step: step.key,
      tasks: formatRanges(group.map(({ wait: { index } }) => index)),
      lastBelief: wait.belief.kind,
      ...(reason === undefined ? {} : { reason }),
      ...getDurationFields(
        'withoutRunMs',
        group.map(({ withoutRunMs }) => withoutRunMs),
      ),
    });
  }
}
