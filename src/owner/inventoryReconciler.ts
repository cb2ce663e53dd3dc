/** Reconciles the owner's state with the inventories that targets report. */

import * as E from 'fp-ts/Either';
import { tryParseTaskKey } from '../work/taskKeys';
import {
  LEASE_MS,
  POLL_RETRY_DELAY_MS,
  UNKNOWN_INCARNATION_MS,
  UNREAD_PART_POLL_INTERVAL_MS,
  UNREAD_SUBMISSION_POLL_INTERVAL_MS,
} from './constants';
import type { OwnerState } from './ownerState';
import type { Incarnations } from './incarnations';
import type { Occurrences } from './occurrences';
import { toRunKey } from './run';
import type { Run, RunKey } from './run';
import type { RunManager } from './runManager';
import type { StepState } from './stepState';
import type { SubmissionRecord } from './submissionRecord';
import type { TargetState } from './targetState';
import type { EndedEntry, Inventory, OwnerEvent, RunningEntry, TargetFailure } from './types';

type PollAnsweredEvent = Extract<OwnerEvent, { kind: 'pollAnswered' }>;

/** Task that an inventory entry refers to. */
interface TaskReference {
  readonly step: StepState;
  readonly index: number;
}

/** Number of runs that a log line about a lost target names. */
const MAX_LOGGED_RUNS = 5;

/** The runs that were started last, which may have caused the loss of their target. */
function getLatestStarts(target: TargetState, nowMs: number): readonly object[] {
  return [...target.runs.values()]
    .sort((left, right) => right.sentAtMs - left.sentAtMs)
    .slice(0, MAX_LOGGED_RUNS)
    .map(({ taskKey, sentAtMs }) => ({ task: taskKey, ageMs: Math.round(nowMs - sentAtMs) }));
}

/** Applies the responses to polls. */
export class InventoryReconciler {
  #state: OwnerState;

  #runManager: RunManager;

  #incarnations: Incarnations;

  #occurrences: Occurrences;

  /**
   * @param state - the shared state of the owner
   * @param runManager - starts, stops and ends runs
   * @param incarnations - replaces incarnations that have ended
   * @param occurrences - opens occurrences that targets list
   */
  constructor(
    state: OwnerState,
    runManager: RunManager,
    incarnations: Incarnations,
    occurrences: Occurrences,
  ) {
    this.#state = state;
    this.#runManager = runManager;
    this.#incarnations = incarnations;
    this.#occurrences = occurrences;
  }

  /**
   * Handles the response to a poll or probe.
   * @param event - the inventory, or why there is none
   */
  onPollAnswered(event: PollAnsweredEvent): void {
    const target = this.#state.targets.get(event.targetId);
    if (target === undefined || target.entry.incarnationStartMs !== event.incarnationStartMs)
      return;
    // The address has been changed since the poll was sent.
    if ((event.address ?? target.entry.address) !== target.entry.address) return;
    if (event.isProbe) target.isProbeInFlight = false;
    else target.pollSentAtMs = undefined;
    if (E.isLeft(event.result)) {
      this.#onPollFailed(target, event.result.left);
      return;
    }
    const inventory = event.result.right;
    const { incarnationStartMs } = inventory;
    // The poll was sent when this incarnation had started, so another one that answers has started later.
    if (
      incarnationStartMs !== undefined &&
      incarnationStartMs !== target.entry.incarnationStartMs
    ) {
      this.#reconcile(this.#replace(target, incarnationStartMs), inventory, event.sentAtMs);
      return;
    }
    if (!event.isProbe) target.setAcknowledgementConfirmed();
    this.#reconcile(target, inventory, event.sentAtMs);
  }

  /** The registry may tell of the new incarnation later; until then nothing is started there. */
  #replace(former: TargetState, incarnationStartMs: number): TargetState {
    const latest = this.#state.latestEntries.get(former.id);
    const isNamed = latest?.incarnationStartMs === incarnationStartMs;
    const wasUnknown = former.entry.incarnationStartMs === UNKNOWN_INCARNATION_MS;
    // The number of its entries starts anew, and it has answered at this address whatever the registry says.
    const unnamed = { ...former.entry, revision: 0 };
    const { address } = former.entry;
    const entry = { ...(isNamed ? latest : unnamed), address, incarnationStartMs };
    const reason = 'another incarnation has answered a poll';
    const target = this.#incarnations.replace(former, entry, reason);
    target.isRegistered = isNamed || (wasUnknown && former.isRegistered);
    return target;
  }

  #onPollFailed(target: TargetState, failure: TargetFailure): void {
    const { nowMs } = this.#state;
    if (failure.kind === 'fenced') {
      this.#runManager.stepDown(target);
      return;
    }
    if (failure.kind === 'otherLife' && this.#incarnations.tryRemoveDisplaced(target)) return;
    if (target.isResponding) {
      this.#state.log(
        'target does not answer',
        {
          targetId: target.id,
          failure,
          answeredAgoMs: Math.round(nowMs - target.lastAnsweredAtMs),
          runCount: target.runs.size,
          latestStarts: getLatestStarts(target, nowMs),
        },
        'warn',
      );
      this.#state.count('targets_lost');
    }
    this.#runManager.crashTracker.onNoAnswer(target, failure);
    // The first retry is sent at once, because a single response may have been lost.
    target.nextPollAtMs = target.isResponding ? nowMs : nowMs + POLL_RETRY_DELAY_MS;
    target.isResponding = false;
    this.#state.responseTimes.addLoss(target.id, nowMs);
  }

  #reconcile(target: TargetState, inventory: Inventory, sentAtMs: number): void {
    const { nowMs } = this.#state;
    if (!target.isResponding) this.#state.log('target answers again', { targetId: target.id });
    if (!target.isContacted) {
      this.#state.log('target listed its runs', {
        targetId: target.id,
        runningCount: inventory.running.length,
        endedCount: inventory.ended.length,
        bornAtMs: target.entry.incarnationStartMs,
        mayHoldLongLease: this.#state.record.mayHoldLongLease(target.entry),
      });
    }
    target.clock.addSample(inventory.clockMs, sentAtMs, this.#state);
    this.#extendFormerLease(target);
    target.isVerificationDue = false;
    this.#extendInheritedLease(target);
    target.isResponding = true;
    target.lastAnsweredAtMs = nowMs;
    if (sentAtMs > (target.leftAtMs ?? sentAtMs)) target.leftAtMs = undefined;
    target.mayNeedStops = true;
    let isUnreadListed = false;
    inventory.ended.forEach((entry) => {
      if (this.#isSubmissionUnread(target, entry)) {
        target.deferEnd(entry.sequence);
        isUnreadListed = true;
      } else this.#processEnd(target, entry);
    });
    target.hasUnseenEnds = !inventory.areEndsComplete;
    const listed = new Set<RunKey>();
    const orphanRuns: RunKey[] = [];
    inventory.running.forEach((entry) => {
      const key = toRunKey(entry.taskKey, entry.run);
      listed.add(key);
      if (!target.runs.has(key) && this.#isSubmissionUnread(target, entry)) {
        isUnreadListed = true;
        orphanRuns.push(key);
        return;
      }
      if (!this.#reconcileRunning(target, entry, key, sentAtMs)) orphanRuns.push(key);
    });
    target.setOrphanRuns(orphanRuns);
    [...target.runs.values()].forEach((run) => {
      if (!listed.has(run.key)) this.#onRunNotListed(target, run, sentAtMs);
    });
    this.#runManager.crashTracker.onAnswered(target, sentAtMs);
    this.#state.endSilence(target.id);
    target.isContacted = true;
    target.hasUnreadRuns = isUnreadListed;
    if (!target.hasUnseenEnds) this.#state.unresolvedTargets.delete(target.id);
    const intervalMs = this.#state.areSubmissionPartsUnread
      ? UNREAD_PART_POLL_INTERVAL_MS
      : UNREAD_SUBMISSION_POLL_INTERVAL_MS;
    target.nextPollAtMs = isUnreadListed ? nowMs + intervalMs : nowMs;
    target.pollAnsweredAtMs = nowMs;
    this.#state.isPlanDue = true;
  }

  /**
   * Calls for a former incarnation may grant any lease on the clock of this one: calls of this owner for some time
   * after it has replaced that incarnation, and calls of former owners until the target has seen this owner's fence.
   */
  #extendInheritedLease(answering: TargetState): void {
    const target = answering;
    const { steadyMs, record, maxInheritedLeaseMs } = this.#state;
    const mayBeGranted =
      steadyMs <= target.lease.formerCallsEndAtMs ||
      (!target.isContacted && record.mayHoldLongLease(target.entry));
    if (!mayBeGranted) return;
    target.lease.inheritedEndsAtMs = steadyMs + maxInheritedLeaseMs;
    target.lease.isInheritedUsual = false;
  }

  /** Ends that a former owner has not acknowledged count until its lease has ended, whether runs are adopted or not. */
  #extendFormerLease(target: TargetState): void {
    const baseMs = target.clock.getLeaseBaseMs(this.#state.steadyMs);
    if (!target.isContacted && baseMs !== undefined) target.lease.extend(baseMs + LEASE_MS);
  }

  /**
   * Checks whether an entry belongs to a submission that this owner has not read yet after its takeover, and
   * if so records the target that reported it.
   */
  #isSubmissionUnread(target: TargetState, { taskKey }: { readonly taskKey: string }): boolean {
    if (this.#state.areSubmissionsRead) return false;
    const submissionId = tryParseTaskKey(taskKey)?.submissionId;
    if (submissionId === undefined || this.#state.records.has(submissionId)) return false;
    const listingTargetIds = this.#state.unreadSubmissions.get(submissionId) ?? new Set();
    this.#state.unreadSubmissions.set(submissionId, listingTargetIds.add(target.id));
    return true;
  }

  /** Undefined for a task that is done and for one that does not exist, which are not the same as one not known yet. */
  #findTask(taskKey: string): TaskReference | undefined {
    const keyParts = tryParseTaskKey(taskKey);
    if (keyParts === undefined) return undefined;
    const record = this.#state.records.get(keyParts.submissionId);
    if (record !== undefined) this.#occurrences.openListed(record, keyParts.occurrence);
    const step = record?.getStep(keyParts.occurrence, keyParts.step);
    if (step === undefined || keyParts.index >= step.spec.taskCount) return undefined;
    return { step, index: keyParts.index };
  }

  /** Another end of a task that is done is acknowledged once that is durable, like the first one. */
  #findRecord(taskKey: string): SubmissionRecord | undefined {
    const submissionId = tryParseTaskKey(taskKey)?.submissionId;
    return submissionId === undefined ? undefined : this.#state.records.get(submissionId);
  }

  #processEnd(target: TargetState, entry: EndedEntry): void {
    if (target.isEndProcessed(entry.sequence)) return;
    const run = target.runs.get(toRunKey(entry.taskKey, entry.run));
    const task = run ?? this.#findTask(entry.taskKey);
    if (run !== undefined) this.#runManager.release(run);
    if (task !== undefined) this.#applyEnd(target, task, entry, run);
    target.addEnd(entry.sequence, task?.step.record ?? this.#findRecord(entry.taskKey));
  }

  #applyEnd(
    target: TargetState,
    task: TaskReference,
    entry: EndedEntry,
    run: Run | undefined,
  ): void {
    const { step, index } = task;
    const { record } = step;
    this.#state.count(`ends_${entry.how}`);
    this.#state.log('run ended', {
      submissionId: record.submission.id,
      task: entry.taskKey,
      run: entry.run,
      targetId: target.id,
      how: entry.how,
      ranMs: run === undefined ? undefined : Math.round(this.#state.nowMs - run.sentAtMs),
    });
    record.hasBegun = true;
    if (entry.how === 'done') this.#recordCompletion(target, step, run);
    if (entry.how === 'failed') this.#runManager.recordFailure(target, record);
    if (run !== undefined) this.#state.durations?.onRunEnded(run, entry.how);
    if (record.outcome !== undefined) return;
    this.#runManager.applyEnd(step, index, entry.run, entry.how, entry.checkpoint);
    if (entry.how !== 'done')
      this.#runManager.stopGangMembers(step, entry.run, `a gang member ended: ${entry.how}`);
  }

  #recordCompletion(target: TargetState, step: StepState, run: Run | undefined): void {
    target.addSuccess();
    if (run === undefined || run.checkpoint !== undefined) return;
    const durationMs = this.#state.nowMs - run.sentAtMs;
    const { meanDurationMs } = step;
    if (meanDurationMs !== undefined) target.addDuration(durationMs / meanDurationMs);
    step.addDuration(durationMs);
    this.#state.speeds.addRun(target, step, durationMs);
  }

  /** @returns false when the run is not needed or matches no task, and has to be stopped */
  #reconcileRunning(
    target: TargetState,
    entry: RunningEntry,
    key: RunKey,
    sentAtMs: number,
  ): boolean {
    const { nowMs } = this.#state;
    const known = target.runs.get(key);
    if (known !== undefined) {
      this.#updateRun(known, entry);
      return true;
    }
    const task = this.#findTask(entry.taskKey);
    const endedAtMs = task?.step.getEndedAtMs(key);
    // A response that was overtaken by another may list a run whose end has been processed.
    if (endedAtMs !== undefined && sentAtMs <= endedAtMs) return true;
    const hasNotEnded = endedAtMs === undefined;
    if (task !== undefined && hasNotEnded) this.#releaseSupersededRuns(task, entry.run);
    if (task !== undefined && hasNotEnded && InventoryReconciler.#isRunNeeded(task)) {
      this.#runManager.adopt(task.step, task.index, target, entry);
      return true;
    }
    if (!target.takeOrphanStop(key, nowMs)) return false;
    this.#state.log('stopping unexpected run', {
      task: entry.taskKey,
      run: entry.run,
      targetId: target.id,
      isKnownTask: task !== undefined,
    });
    this.#state.count('runs_unexpected');
    this.#runManager.sendStop(target, entry.taskKey, entry.run);
    return false;
  }

  /**
   * A former owner starts a task again only once its earlier run has ended, so a later run on a target that answers
   * proves that an earlier one on a lost target, known from the former owner's report, is over.
   */
  #releaseSupersededRuns({ step, index }: TaskReference, laterRun: number): void {
    (step.runs.get(index) ?? []).forEach((run) => {
      const holder = this.#state.targets.get(run.targetId);
      const isRestored = run.fence === undefined && holder?.isResponding === false;
      if (isRestored && run.run < laterRun) this.#runManager.release(run);
    });
  }

  static #isRunNeeded({ step, index }: TaskReference): boolean {
    const { record, progress } = step;
    if (record.outcome !== undefined || record.isCancelled || progress.isTaskDone(index)) {
      return false;
    }
    const { policy } = step.spec;
    if (policy.kind === 'batch' && policy.isSpeculative) return true;
    return (step.runs.get(index) ?? []).length === 0;
  }

  #updateRun(run: Run, entry: RunningEntry): void {
    const { nowMs } = this.#state;
    this.#runManager.setListed(run);
    if (run.phase === 'starting' || run.phase === 'unconfirmed') {
      run.phase = 'running';
      run.confirmedAtMs = nowMs;
    }
    if (entry.percent !== run.percent) {
      run.percent = entry.percent;
      run.percentChangedAtMs = nowMs;
    }
    run.percentReportedAtMs = nowMs;
    if (entry.checkpoint !== run.checkpoint) run.checkpointAtMs = nowMs;
    run.checkpoint = entry.checkpoint;
  }

  /**
   * Handles a run that the target does not list: depending on its phase it has ended or not begun yet. While not all
   * ends have been seen, its own may be among the others, so it is kept.
   */
  #onRunNotListed(target: TargetState, run: Run, sentAtMs: number): void {
    const { hasUnseenEnds } = target;
    switch (run.phase) {
      case 'starting':
        return;
      case 'unconfirmed':
        // The poll has raised the fencing token, so a former owner's start can no longer take place here.
        if (run.fence === undefined && hasUnseenEnds) return;
        if (run.fence === undefined) this.#onRunGone(run, 'a gang member has not started');
        else if (sentAtMs > run.sentAtMs) this.#runManager.stop(run, 'its start was not confirmed');
        return;
      case 'running':
        if (!hasUnseenEnds && run.confirmedAtMs !== undefined && sentAtMs > run.confirmedAtMs) {
          this.#onRunVanished(target, run);
        }
        return;
      default:
        if (
          !hasUnseenEnds &&
          run.stopConfirmedAtMs !== undefined &&
          sentAtMs > run.stopConfirmedAtMs
        )
          this.#onRunGone(run, 'a gang member was stopped');
    }
  }

  #onRunGone(run: Run, reason: string): void {
    this.#runManager.release(run);
    this.#runManager.stopGangMembers(run.step, run.run, reason);
  }

  #onRunVanished(target: TargetState, run: Run): void {
    this.#state.log(
      'run is missing from the target without an end',
      { task: run.taskKey, run: run.run, targetId: target.id },
      'warn',
    );
    this.#state.count('runs_vanished');
    this.#onRunGone(run, 'a gang member vanished');
  }
}
