/** State of the owner for operators. */

import type { CrashTracker } from './crashTracker';
import type { OwnerState } from './ownerState';
import type { Planner } from './planner';
import type { StepState } from './stepState';
import type { TargetState } from './targetState';

function dumpStep(step: StepState, nowMs: number): object {
  return {
    step: step.key,
    priority: step.record.queue.priority,
    waitingCount: step.waiting.size,
    demand: step.charge,
    ticketTargetIds: step.advice.getUsableTicketTargetIds(nowMs),
    mayRunUnseen: step.mayRunUnseen,
    isServiceRecorded: step.record.isServiceRecorded,
  };
}

function dumpTarget(target: TargetState, nowMs: number): object {
  return {
    id: target.id,
    free: target.free,
    runCount: target.runs.size,
    isContacted: target.isContacted,
    isResponding: target.isResponding,
    isListed: target.isRegistered,
    isRecorded: target.isRecorded,
    isDraining: target.entry.isDraining,
    isSuspect: target.isSuspect,
    trialOf: target.trial?.step.key,
    startsInDoubt: [...target.runs.values()].flatMap(({ taskKey, run, doubtSinceMs }) =>
      doubtSinceMs === undefined
        ? []
        : [{ task: taskKey, run, forMs: Math.round(nowMs - doubtSinceMs) }],
    ),
    pausedForMs: Math.max(0, target.pausedUntilMs - nowMs),
  };
}

/**
 * Creates a state dump.
 * @param state - the shared state of the owner
 * @param crashTracker - knows which tasks may have crashed their targets
 * @param planner - knows which targets are reserved
 * @returns waiting steps, targets and unresolved targets
 */
export function createStateDump(
  state: OwnerState,
  crashTracker: CrashTracker,
  planner: Pick<Planner, 'dumpReservations'>,
): unknown {
  const { targets, records, open, ready, unresolvedTargets, writer, epoch, nowMs } = state;
  return {
    epoch,
    submissionCount: records.size,
    openCount: open.size,
    unwrittenCount: writer.dirtyCount,
    shares: state.capacityShares.dump(),
    unresolvedTargetIds: [...unresolvedTargets],
    reservations: planner.dumpReservations(),
    suspectedTasks: crashTracker.dump(),
    givenUpTasks: [...records.values()].flatMap(({ givenUpTask, outcomeAtMs }) =>
      givenUpTask === undefined ? [] : [{ task: givenUpTask, atMs: outcomeAtMs }],
    ),
    waitingSteps: [...ready].map((step) => dumpStep(step, nowMs)),
    targets: [...targets.values()].map((target) => dumpTarget(target, nowMs)),
  };
}
