/** Starts and stops runs, and applies their ends to tasks and submissions. */

import type { Checkpoint, Ticket } from '../types/ids';
import { toTaskKey } from '../work/taskKeys';
import type { EndKind } from '../work/types';
import { LEASE_MS, RUN_NUMBERS_PER_EPOCH, START_DEADLINE_MS, STOP_TIMEOUT_MS } from './constants';
import { CrashTracker } from './crashTracker';
import type { TaskRef } from './crashTracker';
import type { OwnerState } from './ownerState';
import { toRunKey } from './run';
import type { Run } from './run';
import type { StepState } from './stepState';
import type { SubmissionOutcome, SubmissionRecord } from './submissionRecord';
import type { TargetState } from './targetState';
import type { ClockReadings, RunningEntry } from './types';

/** When a run was started, and with which fencing token. */
type RunOrigin = Pick<ClockReadings, 'nowMs' | 'steadyMs'> & Pick<Run, 'fence' | 'isWhole'>;

/** Manages the lifecycle of runs. */
export class RunManager {
  #state: OwnerState;

  /** Knows which tasks may have crashed their targets. */
  readonly crashTracker: CrashTracker;

  /**
   * @param state - the shared state of the owner
   */
  constructor(state: OwnerState) {
    this.#state = state;
    this.crashTracker = new CrashTracker(state);
  }

  /**
   * Gives tasks up under which targets have crashed; their submissions fail.
   * @param tasks - the tasks
   */
  giveUp(tasks: readonly TaskRef[]): void {
    tasks.forEach(({ step, index }) => {
      const { record } = step;
      if (record.outcome !== undefined) return;
      const task = toTaskKey(step.key, index);
      record.givenUpTask = task;
      this.#state.log(
        'task given up, targets crashed under it',
        { submissionId: record.submission.id, task, crashes: step.progress.crashes.get(index) },
        'warn',
      );
      this.#state.count('tasks_given_up');
      this.closeSubmission(record, record.isCancelled ? 'cancelled' : 'failed');
    });
  }

  /**
   * Allocates the number of the next run of a task, or of all members of a gang.
   * @param step - the step
   * @returns a number higher than that of any earlier run, including those of former owners
   */
  allocateRunNumber(step: StepState): number {
    return step.allocateRunNumber(this.#state.epoch * RUN_NUMBERS_PER_EPOCH + 1);
  }

  /**
   * Starts a run: charges its demand and sends the start.
   * @param step - the step
   * @param index - index of the task
   * @param target - the target to run on
   * @param run - the run number
   * @param ticket - ticket of the advice service, if the queue needs one
   */
  start(
    step: StepState,
    index: number,
    target: TargetState,
    run: number,
    ticket: Ticket | undefined,
  ): void {
    const { nowMs, steadyMs, epoch } = this.#state;
    const taskKey = toTaskKey(step.key, index);
    const checkpoint = step.getCheckpoint(index);
    const started = RunManager.#createRun(step, index, target, run, {
      ...{ nowMs, steadyMs, fence: epoch },
      isWhole: checkpoint === undefined,
    });
    this.#chargeRun(started, target);
    step.lastStartAtMs = nowMs;
    const { clock } = target;
    // After a suspension the steady clock is behind, but a start must not get a longer lease than a poll grants.
    const notAfterMs = Math.ceil(
      Math.min(
        (clock.getUpperBoundMs(nowMs) ?? 0) + START_DEADLINE_MS,
        (clock.getLeaseBaseMs(steadyMs) ?? 0) + LEASE_MS,
      ),
    );
    target.lease.extend(notAfterMs);
    this.#state.emit({
      kind: 'startRun',
      targetId: target.id,
      address: target.entry.address,
      incarnationStartMs: target.entry.incarnationStartMs,
      taskKey,
      run,
      payload: step.record.submission.spec.payload,
      fence: epoch,
      notAfterMs,
      checkpoint,
      ticket,
      timeoutMs: this.#state.responseTimes.responseTimeoutMs,
    });
    if (ticket !== undefined) this.#recordTicketUse(step, target);
    const waitedMs = step.readyAtMs === undefined ? 0 : nowMs - step.readyAtMs;
    this.#recordWaits(step, waitedMs);
    this.#state.log('run started', {
      submissionId: step.record.submission.id,
      task: taskKey,
      run,
      targetId: target.id,
      bornAtMs: target.entry.incarnationStartMs,
      waitedMs: Math.round(waitedMs),
      freeCpuMillis: target.free.cpuMillis,
    });
  }

  #recordTicketUse(step: StepState, { id }: TargetState): void {
    const { nowMs, adviceUsage } = this.#state;
    adviceUsage.onTicketUsed(step);
    const durationMs = step.advice.getTicketAgeMs(id, nowMs);
    if (durationMs !== undefined)
      this.#state.emit({ kind: 'record', name: 'ticket_age', durationMs });
  }

  /** Records how long a task has waited since its step was ready, and a submission until its first start. */
  #recordWaits(step: StepState, waitedMs: number): void {
    const { record } = step;
    const name = `start_wait_priority_${record.queue.priority}`;
    this.#state.emit({ kind: 'record', name, durationMs: waitedMs });
    if (record.hasStarted || record.hasBegun) return;
    record.hasStarted = true;
    const durationMs = this.#state.wallMs - record.getReleasedAtMs(step.occurrence);
    this.#state.emit({ kind: 'record', name: 'first_start_wait', durationMs });
  }

  /**
   * Sends a stop. The run stays charged until its target reports the end.
   * @param run - the run
   * @param reason - for the log
   */
  stop(run: Run, reason: string): void {
    const target = this.#state.targets.get(run.targetId);
    if (target === undefined) return;
    if (run.phase !== 'stopping') {
      this.#state.log('run stopped', {
        submissionId: run.step.record.submission.id,
        task: run.taskKey,
        run: run.run,
        targetId: run.targetId,
        reason,
      });
      this.#state.count('runs_stopped');
    }
    run.phase = 'stopping';
    target.mayNeedStops = true;
    target.mayHaveUnsettledRuns = true;
    this.sendStop(target, run.taskKey, run.run);
    run.stopSentAtMs = this.#state.nowMs;
  }

  /**
   * Sends a stop for a run that may not be in the target's table.
   * @param target - the target
   * @param taskKey - the task
   * @param run - the run number
   */
  sendStop(target: TargetState, taskKey: Run['taskKey'], run: number): void {
    this.#state.emit({
      kind: 'stopRun',
      targetId: target.id,
      address: target.entry.address,
      incarnationStartMs: target.entry.incarnationStartMs,
      taskKey,
      run,
      fence: this.#state.epoch,
      timeoutMs: STOP_TIMEOUT_MS,
    });
  }

  /**
   * Adopts a run that a target reports and that this owner did not start.
   * @param step - the step
   * @param index - index of the task
   * @param target - the target that runs it
   * @param entry - the inventory entry
   * @returns the run
   */
  adopt(step: StepState, index: number, target: TargetState, entry: RunningEntry): Run {
    const { nowMs, steadyMs, epoch } = this.#state;
    const origin = { nowMs, steadyMs, fence: epoch };
    const run = RunManager.#createRun(step, index, target, entry.run, origin);
    run.phase = 'running';
    run.confirmedAtMs = nowMs;
    run.isListed = true;
    run.percent = entry.percent;
    run.checkpoint = entry.checkpoint;
    this.#chargeRun(run, target);
    step.record.hasBegun = true;
    // This owner may have granted no lease yet. One of the former owner ends by then, unless it is an inherited one.
    const baseMs = target.clock.getLeaseBaseMs(steadyMs);
    if (baseMs !== undefined) target.lease.extend(baseMs + LEASE_MS);
    return run;
  }

  /**
   * Restores the runs of a target that a former owner had lost contact with, if it has reported all of them. The
   * target then counts as silent, and work that cannot run there need not wait for it.
   * @param restored - a target that has just been registered
   * @returns false when its runs are not known
   */
  tryRestoreRuns(restored: TargetState): boolean {
    const target = restored;
    const reported = this.crashTracker.getReportedRuns(target);
    if (reported === undefined) return false;
    const { nowMs, steadyMs } = this.#state;
    reported.forEach(({ step, index, run: number }) => {
      const origin = { nowMs, steadyMs, fence: undefined };
      const run = RunManager.#createRun(step, index, target, number, origin);
      run.phase = 'running';
      run.confirmedAtMs = nowMs;
      this.#chargeRun(run, target);
    });
    target.isContacted = true;
    target.isResponding = false;
    target.lostAtMs = nowMs;
    target.wasConnectionClosed = true;
    target.areRunsReported = true;
    target.lease.inheritedEndsAtMs = this.#state.getUnresolvedUntilMs(target.entry);
    target.lease.isInheritedUsual = !this.#state.record.mayHoldLongLease(target.entry);
    this.#state.log('runs of a lost target are known from its former owner', {
      targetId: target.id,
      runCount: reported.length,
    });
    return true;
  }

  /**
   * Shortens the wait for runs that only the report of a former owner tells of, once the leases of former owners are
   * known to end sooner.
   * @param limited - a target
   */
  limitInheritedLease(limited: TargetState): void {
    const target = limited;
    const { inheritedEndsAtMs } = target.lease;
    // A target that has answered, or has replaced another one, has leases of this owner.
    const isRestored = target.isContacted && target.lastAnsweredAtMs === 0;
    if (!isRestored || inheritedEndsAtMs === undefined) return;
    target.lease.inheritedEndsAtMs = Math.min(
      inheritedEndsAtMs,
      this.#state.getUnresolvedUntilMs(target.entry),
    );
  }

  /**
   * Applies the end of a run to its task.
   * @param step - the step
   * @param index - index of the task
   * @param run - the run number
   * @param how - how the run ended
   * @param checkpoint - the checkpoint that a later run resumes from
   */
  applyEnd(
    step: StepState,
    index: number,
    run: number,
    how: EndKind,
    checkpoint: Checkpoint | undefined,
  ): void {
    const { progress, record } = step;
    let isChanged = false;
    if (how === 'done') isChanged = this.#applyCompletion(step, index);
    if (how === 'failed' && !step.isLongRunning) isChanged = progress.addFailure(index, run);
    if (checkpoint !== undefined && !step.isLongRunning && !progress.isTaskDone(index)) {
      isChanged = progress.setCheckpoint(index, checkpoint) || isChanged;
    }
    this.updateReadiness(step);
    if (!isChanged) return;
    this.#state.writer.markDirty(record, this.#state.nowMs);
    if (how === 'failed') this.#checkAttemptLimit(step, index);
    if (how === 'done' && step.isDone) this.#onStepDone(step);
  }

  /**
   * Records that a target has listed a run, so that no doubt is left whether its start has taken place.
   * @param listed - the run
   */
  setListed(listed: Run): void {
    const run = listed;
    run.isListed = true;
    run.step.record.hasBegun = true;
    // The run did not take place on the incarnations that ended, so it cannot have been the cause.
    run.formerIncarnations.forEach((incarnation) =>
      this.crashTracker.removeReport(run, incarnation),
    );
    run.formerIncarnations = [];
    this.#settle(run, 'the target has listed it');
  }

  /**
   * Removes a run that no longer exists and frees its demand.
   * @param run - the run
   * @param reason - why it no longer exists, for the log
   */
  release(run: Run, reason = 'it cannot take place any more'): void {
    this.#settle(run, reason);
    this.#state.targets.get(run.targetId)?.removeRun(run.key);
    run.step.removeRun(run, this.#state.nowMs);
    this.#state.teamUsage.add(run.step.record.submission.teamId, run.charge, -1);
    this.#state.isPlanDue = true;
    this.updateReadiness(run.step);
  }

  /**
   * Ends this ownership because a target has refused the fencing token.
   * @param target - the target
   */
  stepDown(target: TargetState): void {
    this.#state.emit({ kind: 'stepDown', reason: `target ${target.id} knows a later owner` });
  }

  /**
   * Records a failed or stalled run on a target, which may put the target into quarantine.
   * @param target - the target
   * @param record - the submission of the run
   */
  recordFailure(target: TargetState, record: SubmissionRecord): void {
    const pauseMs = target.addFailure(record.submission.id, this.#state.nowMs);
    if (pauseMs === 0) return;
    this.#state.log('target quarantined', { targetId: target.id, pauseMs }, 'warn');
    this.#state.count('targets_quarantined');
  }

  /**
   * Stops the remaining members of a gang run, which cannot continue without all members. Does nothing
   * for a step that is not a gang.
   * @param step - the step
   * @param run - the run number
   * @param reason - for the log
   */
  stopGangMembers(step: StepState, run: number, reason: string): void {
    if (!step.isGang) return;
    step.getRuns().forEach((member) => {
      if (member.run === run && member.phase !== 'stopping') this.stop(member, reason);
    });
  }

  /**
   * Adds a step to the set of ready steps or removes it, depending on its state.
   * @param step - the step
   */
  updateReadiness(step: StepState): void {
    const { record } = step;
    const isReady =
      record.outcome === undefined &&
      !record.isCancelled &&
      step.waiting.size > 0 &&
      record.isStepReady(step);
    if (!isReady) {
      this.#state.ready.delete(step);
      return;
    }
    step.readyAtMs ??= this.#state.nowMs;
    this.#state.ready.add(step);
    this.#state.isPlanDue = true;
  }

  /**
   * Sets the outcome of a submission and stops what still runs, unless it has succeeded.
   * @param record - the submission
   * @param outcome - the outcome
   */
  closeSubmission(record: SubmissionRecord, outcome: SubmissionOutcome): void {
    if (record.outcome !== undefined) return;
    record.outcome = outcome;
    record.outcomeAtMs = this.#state.wallMs;
    this.#state.open.delete(record);
    this.#state.writer.markDirty(record, this.#state.nowMs);
    this.#state.count(`submissions_${outcome}`);
    this.#state.log('submission ended', {
      submissionId: record.submission.id,
      outcome,
      ageMs: Math.round(this.#state.wallMs - record.submission.acceptedAtMs),
    });
    [...record.steps].forEach((step) => {
      this.#state.ready.delete(step);
      this.#state.durations?.onStepEnded(step);
      if (outcome === 'succeeded') return;
      step.getRuns().forEach((run) => {
        if (run.phase !== 'stopping') this.stop(run, `submission ${outcome}`);
      });
    });
  }

  static #createRun(
    step: StepState,
    index: number,
    target: TargetState,
    run: number,
    { nowMs, steadyMs, fence, isWhole }: RunOrigin,
  ): Run {
    const taskKey = toTaskKey(step.key, index);
    return {
      key: toRunKey(taskKey, run),
      taskKey,
      run,
      step,
      index,
      targetId: target.id,
      charge: step.charge,
      fence,
      phase: 'starting',
      isListed: false,
      formerIncarnations: [],
      doubtSinceMs: undefined,
      callEndedAtMs: undefined,
      sentSteadyMs: steadyMs,
      sentAtMs: nowMs,
      confirmedAtMs: undefined,
      stopSentAtMs: 0,
      stopConfirmedAtMs: undefined,
      percent: 0,
      percentReportedAtMs: nowMs,
      percentChangedAtMs: nowMs,
      checkpoint: undefined,
      isWhole,
    };
  }

  #settle(settled: Run, how: string): void {
    const run = settled;
    if (run.doubtSinceMs === undefined) return;
    const doubtMs = this.#state.nowMs - run.doubtSinceMs;
    run.doubtSinceMs = undefined;
    this.#state.emit({ kind: 'record', name: 'start_doubt', durationMs: doubtMs });
    this.#state.log('start in doubt is settled', {
      submissionId: run.step.record.submission.id,
      task: run.taskKey,
      run: run.run,
      targetId: run.targetId,
      how,
      doubtMs: Math.round(doubtMs),
    });
  }

  #chargeRun(run: Run, target: TargetState): void {
    const { record } = run.step;
    target.addRun(run);
    run.step.addRun(run);
    this.#state.teamUsage.add(record.submission.teamId, run.charge, 1);
    this.updateReadiness(run.step);
  }

  #applyCompletion(step: StepState, index: number): boolean {
    if (step.isLongRunning) return false;
    if (!step.isGang) {
      const isNew = step.progress.setDone(index);
      step.dropDoneTasks();
      this.#stopOtherCopies(step, index);
      return isNew;
    }
    if (step.isDone) return false;
    step.progress.setAllDone();
    step.dropDoneTasks();
    return true;
  }

  /** Stops the remaining copies of a task that is done. */
  #stopOtherCopies(step: StepState, index: number): void {
    (step.runs.get(index) ?? []).forEach((copy) => {
      if (copy.phase !== 'stopping') this.stop(copy, 'another copy has finished');
    });
  }

  #checkAttemptLimit(step: StepState, index: number): void {
    const { record } = step;
    if (step.getFailureCount(index) < record.queue.attemptLimit) return;
    this.closeSubmission(record, record.isCancelled ? 'cancelled' : 'failed');
  }

  #onStepDone(step: StepState): void {
    const { record } = step;
    this.#state.ready.delete(step);
    this.#state.durations?.onStepEnded(step);
    if (record.isComplete) {
      this.closeSubmission(record, 'succeeded');
      return;
    }
    [...record.steps].forEach((later) => this.updateReadiness(later));
  }
}
