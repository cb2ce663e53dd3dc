/** Decides what the owner believes of a task that has no confirmed run on a target that answers. */

import { assertNever } from '../types/debug';
import { countFittingTasks } from './adviceChoice';
import { MAX_START_TIMEOUT_MS } from './constants';
import type { OwnerState } from './ownerState';
import type { Run } from './run';
import { getRunEndMs } from './runBounds';
import type { StepState } from './stepState';
import type { TargetState } from './targetState';
import type { UnseenRuns } from './unseenRuns';

/** What a task without any run waits for. */
export type TaskWaitReason =
  /** A target may run it since a former owner's time and has not listed all its runs and ends. */
  | 'unseenRuns'
  /** The service of its queue has to be stored. */
  | 'serviceRecord'
  /** Its submission may have been cancelled, which a part of the store would tell that has not been read. */
  | 'unreadCancellation'
  /** It is suspected of having crashed targets, and no trial of it has been started. */
  | 'trial'
  /** Its team has reached its limit. */
  | 'teamLimit'
  /** Targets have room for it, and it has a valid ticket for none of them. */
  | 'advice'
  /** No target that it may use has room for it, or those that have are closed to new runs. */
  | 'capacity';

/** What the owner believes of a task because of a run. */
export type RunBelief =
  /** The target is silent, so that the run may be going on there without being of any use. */
  | { readonly kind: 'silentRun'; readonly run: Run }
  /** The start got no answer, so that the run may exist or may still begin. */
  | { readonly kind: 'inDoubt'; readonly run: Run }
  /** The run is being stopped on a target that answers. */
  | { readonly kind: 'stopping'; readonly run: Run }
  /** The call of the start is pending. */
  | { readonly kind: 'starting'; readonly run: Run };

/** What the owner believes of a task that has no confirmed run on a target that answers. */
export type TaskBelief =
  | RunBelief
  | { readonly kind: 'waiting'; readonly reason: TaskWaitReason }
  /** Its step could not be planned and is left out until then, on the owner's clock. */
  | { readonly kind: 'setAside'; readonly untilMs: number };

/** Of several runs of a task the first of these kinds tells most about it. */
const RUN_KINDS: readonly RunBelief['kind'][] = ['silentRun', 'inDoubt', 'stopping', 'starting'];

/**
 * Checks whether a target tells what it runs.
 * @param target - the target, if it is known
 * @returns false for a silent one, and for one that has not answered this owner yet
 */
export function isAnswering(target: TargetState | undefined): boolean {
  return target !== undefined && target.isContacted && target.isResponding;
}

/**
 * Gets how long a target has been silent, over all owners as far as they have recorded it.
 * @param state - the owner's state
 * @param target - the target
 * @returns the duration, or undefined when contact has not been lost
 */
export function getSilentForMs(
  { nowMs, steadyMs, formerSilences }: Pick<OwnerState, 'nowMs' | 'steadyMs' | 'formerSilences'>,
  { id, lostAtMs }: TargetState,
): number | undefined {
  const former = formerSilences.get(id);
  if (former !== undefined) return steadyMs - former.sinceMs;
  return lostAtMs === undefined ? undefined : nowMs - lostAtMs;
}

/** Checks whether targets that the service has not refused have room, and the step has a ticket for none of these. */
function isAdviceMissing(
  { eligibleTargets, nowMs }: Pick<OwnerState, 'eligibleTargets' | 'nowMs'>,
  step: StepState,
): boolean {
  const { advice } = step;
  let hasRoom = false;
  for (const target of eligibleTargets.get(step)) {
    const { id, entry } = target;
    const isRoomy =
      !advice.isRefused(id, entry.incarnationStartMs) && countFittingTasks(step, target, nowMs) > 0;
    if (isRoomy && advice.getTicket(id, entry.incarnationStartMs, nowMs) !== undefined)
      return false;
    hasRoom ||= isRoomy;
  }
  return hasRoom;
}

/**
 * Gets what the tasks of a step wait for that are not suspected of having crashed a target.
 * @param state - the owner's state
 * @param step - a ready step
 * @returns the reason
 */
export function getStepWaitReason(
  state: Pick<OwnerState, 'eligibleTargets' | 'nowMs' | 'teamLimits'>,
  step: StepState,
): TaskWaitReason {
  if (step.mayRunUnseen) return 'unseenRuns';
  if (!step.record.isServiceRecorded) return 'serviceRecord';
  if (step.record.isCancellationUnread) return 'unreadCancellation';
  if (state.teamLimits.isReached(step)) return 'teamLimit';
  const needsTicket = step.record.queue.advice !== undefined;
  return needsTicket && isAdviceMissing(state, step) ? 'advice' : 'capacity';
}

function getWaitBelief(state: OwnerState, step: StepState, index: number): TaskBelief | undefined {
  if (!step.waiting.has(index)) return undefined;
  if (!state.ready.has(step)) {
    const untilMs = state.setAsideUntilMs.get(step);
    return untilMs === undefined ? undefined : { kind: 'setAside', untilMs };
  }
  const isTrialDue = !step.isHeld && step.progress.isSuspect(index);
  const reason = getStepWaitReason(state, step);
  return { kind: 'waiting', reason: isTrialDue && reason !== 'teamLimit' ? 'trial' : reason };
}

/** Gets what is believed because of a run; undefined for a confirmed one. */
function getRunBelief({ targets }: OwnerState, run: Run): RunBelief | undefined {
  if (!run.isListed && run.doubtSinceMs !== undefined) return { kind: 'inDoubt', run };
  const isHeard = isAnswering(targets.get(run.targetId));
  switch (run.phase) {
    case 'starting':
      if (!run.isListed) return { kind: 'starting', run };
      break;
    case 'unconfirmed':
      if (!run.isListed) return { kind: 'inDoubt', run };
      break;
    case 'stopping':
      if (isHeard) return { kind: 'stopping', run };
      break;
    case 'running':
      break;
    default:
      assertNever(run.phase);
  }
  return isHeard ? undefined : { kind: 'silentRun', run };
}

/**
 * Gets what the owner believes of a task.
 * @param state - the owner's state
 * @param step - the step of the task
 * @param index - index of the task
 * @returns undefined when the task has a confirmed run on a target that answers, or needs none
 */
export function getTaskBelief(
  state: OwnerState,
  step: StepState,
  index: number,
): TaskBelief | undefined {
  const { record, progress } = step;
  if (record.outcome !== undefined || record.isCancelled || progress.isTaskDone(index))
    return undefined;
  const runs = step.runs.get(index) ?? [];
  if (runs.length === 0) return getWaitBelief(state, step, index);
  const beliefs = runs.map((run) => getRunBelief(state, run));
  if (beliefs.includes(undefined)) return undefined;
  const kind = RUN_KINDS.find((candidate) => beliefs.some((belief) => belief?.kind === candidate));
  return beliefs.find((belief) => belief?.kind === kind);
}

/**
 * Gets the time that a run of a task still counts at the latest if nothing more is heard of it.
 * @param state - the owner's state
 * @param run - an unconfirmed run
 * @returns the remaining time; infinite when nothing bounds it
 */
export function getRunRemainingMs(state: OwnerState, run: Run): number {
  const target = state.targets.get(run.targetId);
  // While it answers, the lease is renewed; an answer ends the belief.
  if (target === undefined || isAnswering(target)) return Number.POSITIVE_INFINITY;
  return getRunEndMs(state, target, run) - state.steadyMs;
}

/**
 * Gets the time after which the owner believes something else of a task at the latest.
 * @param state - the owner's state
 * @param unseenRuns - knows which targets hold a step back
 * @param step - the step of the task
 * @param belief - what it believes now
 * @returns the remaining time; infinite when nothing bounds it
 */
export function getRemainingMs(
  state: OwnerState,
  unseenRuns: UnseenRuns,
  step: StepState,
  belief: TaskBelief,
): number {
  switch (belief.kind) {
    case 'waiting':
      if (belief.reason !== 'unseenRuns') return Number.POSITIVE_INFINITY;
      return unseenRuns.getHold(step).untilMs - state.steadyMs;
    case 'setAside':
      // Steps are planned again by the next pass, which takes place once a target may be used.
      if (belief.untilMs <= state.nowMs) return Number.POSITIVE_INFINITY;
      return belief.untilMs - state.nowMs;
    case 'starting':
      return belief.run.sentAtMs + MAX_START_TIMEOUT_MS - state.nowMs;
    case 'inDoubt':
    case 'silentRun':
      return Math.max(
        ...(step.runs.get(belief.run.index) ?? [belief.run]).map((run) =>
          getRunRemainingMs(state, run),
        ),
      );
    case 'stopping':
      return Number.POSITIVE_INFINITY;
    default:
      return assertNever(belief);
  }
}

/**
 * Gets the reason of a belief for log lines.
 * @param belief - the belief
 * @returns what a task waits for, or the phase of its run, as far as that says more than the kind
 */
export function getBeliefReason(belief: TaskBelief): string | undefined {
  switch (belief.kind) {
    case 'waiting':
      return belief.reason;
    case 'inDoubt':
    case 'silentRun':
      return belief.run.phase;
    case 'setAside':
    case 'starting':
    case 'stopping':
      return undefined;
    default:
      return assertNever(belief);
  }
}

/**
 * Checks whether two beliefs are the same, apart from the time until which a step is left out.
 * @param left - a belief
 * @param right - another one of the same task
 * @returns false when the kind, the reason or the run differs
 */
export function isSameBelief(left: TaskBelief, right: TaskBelief): boolean {
  if (left.kind !== right.kind || getBeliefReason(left) !== getBeliefReason(right)) return false;
  const leftRun = 'run' in left ? left.run : undefined;
  const rightRun = 'run' in right ? right.run : undefined;
  return leftRun === rightRun;
}
