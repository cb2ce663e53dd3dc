/** Reconciles the owner's state with the inventories that targets report. */

import * as E from 'fp-ts/Either';
import { tryParseTaskKey } from '../work/taskNames';
import { LOOK_RETRY_MS, STOP_RETRY_MS, UNREAD_LOOK_MS } from './constants';
import type { OwnerState } from './ownerState';
import { toRunKey } from './run';
import type { Run, RunKey } from './run';
import type { RunKeeper } from './runKeeper';
import type { StepState } from './stepState';
import type { TargetState } from './targetState';
import type { EndedRow, Inventory, OwnerEvent, RunningRow } from './types';

type Looked = Extract<OwnerEvent, { kind: 'looked' }>;

/** Task that an inventory entry refers to. */
interface NamedTask {
  readonly step: StepState;
  readonly index: number;
}

/** Applies the responses to polls. */
export class InventoryReader {
  #state: OwnerState;

  #keeper: RunKeeper;

  /**
   * @param state - the shared state of the owner
   * @param runManager - starts, stops and ends runs
   */
  constructor(state: OwnerState, keeper: RunKeeper) {
    this.#state = state;
    this.#keeper = keeper;
  }

  /**
   * Handles the response to a poll or probe.
   * @param event - the inventory, or why there is none
   */
  onLooked(event: Looked): void {
    const target = this.#state.targets.get(event.targetId);
    if (target === undefined || target.entry.bornAtMs !== event.bornAtMs) return;
    if (event.isProbe) target.isProbed = false;
    else target.lookSentAtMs = undefined;
    if (E.isLeft(event.result)) {
      this.#onLookFailed(target, event.result.left);
      return;
    }
    const inventory = event.result.right;
    if (inventory.bornAtMs !== undefined && inventory.bornAtMs !== target.entry.bornAtMs) {
      this.#keeper.endLife(target, 'the target has restarted');
      return;
    }
    this.#read(target, inventory, event.sentAtMs);
  }

  #onLookFailed(target: TargetState, failure: { readonly kind: string }): void {
    const { nowMs } = this.#state;
    if (failure.kind === 'fenced') {
      this.#keeper.stepDown(target);
      return;
    }
    if (failure.kind === 'otherLife') {
      this.#keeper.endLife(target, 'another incarnation responds at its address');
      return;
    }
    if (target.isResponding) {
      this.#state.log('target does not answer', { targetId: target.id, failure }, 'warn');
      this.#state.count('targets_lost');
    }
    // The first retry is sent at once, because a single response may have been lost.
    target.nextLookAtMs = target.isResponding ? nowMs : nowMs + LOOK_RETRY_MS;
    target.isResponding = false;
    this.#state.answerTimes.addLoss(target.id, nowMs);
  }

  #read(target: TargetState, inventory: Inventory, sentAtMs: number): void {
    const { nowMs } = this.#state;
    if (!target.isResponding) this.#state.log('target answers again', { targetId: target.id });
    if (!target.isContacted) {
      this.#state.log('target listed its runs', {
        targetId: target.id,
        runningCount: inventory.running.length,
        endedCount: inventory.ended.length,
      });
    }
    target.clock.addSample(inventory.clockMs, sentAtMs, this.#state.steadyMs);
    target.isResponding = true;
    // Ends are acknowledged in order, so an end of an unread submission defers all later ones.
    const firstUnread = inventory.ended.findIndex((row) => this.#isUnread(target, row));
    const ended = firstUnread < 0 ? inventory.ended : inventory.ended.slice(0, firstUnread);
    ended.forEach((row) => this.#readEnd(target, row));
    let isUnreadNamed = firstUnread >= 0;
    const listed = new Set<RunKey>();
    const strays: RunKey[] = [];
    inventory.running.forEach((row) => {
      listed.add(toRunKey(row.taskKey, row.run));
      if (this.#isUnread(target, row)) {
        isUnreadNamed = true;
        strays.push(toRunKey(row.taskKey, row.run));
        return;
      }
      if (!this.#readRunning(target, row, sentAtMs)) strays.push(toRunKey(row.taskKey, row.run));
    });
    target.setStrays(strays);
    [...target.runs.values()].forEach((run) => {
      if (!listed.has(run.key)) this.#onUnlisted(target, run, sentAtMs);
    });
    target.isContacted = true;
    this.#state.unresolved.delete(target.id);
    target.nextLookAtMs = isUnreadNamed ? nowMs + UNREAD_LOOK_MS : nowMs;
    target.lookAnsweredAtMs = nowMs;
    this.#state.isPlanDue = true;
  }

  /** Checks whether an entry belongs to a submission that this owner has not read yet after its takeover. */
  #isUnread(target: TargetState, { taskKey }: { readonly taskKey: string }): boolean {
    if (this.#state.nowMs > this.#state.unreadUntilMs) return false;
    const submissionId = tryParseTaskKey(taskKey)?.submissionId;
    if (submissionId === undefined || this.#state.records.has(submissionId)) return false;
    const namedBy = this.#state.unread.get(submissionId) ?? new Set();
    this.#state.unread.set(submissionId, namedBy.add(target.id));
    return true;
  }

  #findTask(taskKey: string): NamedTask | undefined {
    const name = tryParseTaskKey(taskKey);
    if (name === undefined) return undefined;
    const record = this.#state.records.get(name.submissionId);
    const step = record?.getStep(name.occurrence, name.step);
    if (step === undefined || name.index >= step.spec.taskCount) return undefined;
    return { step, index: name.index };
  }

  #readEnd(target: TargetState, row: EndedRow): void {
    if (target.isEndKnown(row.sequence)) return;
    const run = target.runs.get(toRunKey(row.taskKey, row.run));
    const task = run ?? this.#findTask(row.taskKey);
    if (run !== undefined) this.#keeper.release(run);
    if (task !== undefined) this.#applyEnd(target, task, row, run);
    target.addEnd(row.sequence, task?.step.record);
  }

  #applyEnd(target: TargetState, task: NamedTask, row: EndedRow, run: Run | undefined): void {
    const { step, index } = task;
    const { record } = step;
    this.#state.count(`ends_${row.how}`);
    this.#state.log('run ended', {
      submissionId: record.submission.id,
      task: row.taskKey,
      run: row.run,
      targetId: target.id,
      how: row.how,
      ranMs: run === undefined ? undefined : Math.round(this.#state.nowMs - run.sentAtMs),
    });
    record.hasBegun = true;
    if (row.how === 'done') InventoryReader.#noteDone(target, step, run, this.#state.nowMs);
    if (row.how === 'failed') this.#keeper.noteFailure(target, record);
    if (record.outcome !== undefined) return;
    this.#keeper.applyEnd(step, index, row.run, row.how, row.checkpoint);
    if (row.how !== 'done')
      this.#keeper.restartGang(step, row.run, `a gang member ended: ${row.how}`);
  }

  static #noteDone(
    target: TargetState,
    step: StepState,
    run: Run | undefined,
    nowMs: number,
  ): void {
    target.addSuccess();
    if (run === undefined || run.checkpoint !== undefined) return;
    const durationMs = nowMs - run.sentAtMs;
    const { meanDurationMs } = step;
    if (meanDurationMs !== undefined) target.addDuration(durationMs / meanDurationMs);
    step.addDuration(durationMs);
  }

  /** @returns false when the run is not needed or matches no task, and has to be stopped */
  #readRunning(target: TargetState, row: RunningRow, sentAtMs: number): boolean {
    const { nowMs } = this.#state;
    const known = target.runs.get(toRunKey(row.taskKey, row.run));
    if (known !== undefined) {
      this.#updateRun(known, row);
      return true;
    }
    const task = this.#findTask(row.taskKey);
    const closedAtMs = task?.step.getClosedAtMs(toRunKey(row.taskKey, row.run));
    // A response that was overtaken by another may list a run whose end has been processed.
    if (closedAtMs !== undefined && sentAtMs <= closedAtMs) return true;
    const isOpen = closedAtMs === undefined;
    if (task !== undefined && isOpen && InventoryReader.#isWanted(task)) {
      this.#keeper.adopt(task.step, task.index, target, row);
      return true;
    }
    this.#state.log('stopping unexpected run', {
      task: row.taskKey,
      run: row.run,
      targetId: target.id,
      isKnownTask: task !== undefined,
    });
    this.#state.count('runs_unexpected');
    this.#keeper.sendStop(target, row.taskKey, row.run);
    target.nextLookAtMs = nowMs + STOP_RETRY_MS;
    return false;
  }

  static #isWanted({ step, index }: NamedTask): boolean {
    const { record, progress } = step;
    if (record.outcome !== undefined || record.isCancelled || progress.isTaskDone(index)) {
      return false;
    }
    const { policy } = step.spec;
    if (policy.kind === 'batch' && policy.isSpeculative) return true;
    return (step.runs.get(index) ?? []).length === 0;
  }

  #updateRun(run: Run, row: RunningRow): void {
    const { nowMs } = this.#state;
    if (run.phase === 'starting' || run.phase === 'unconfirmed') {
      run.phase = 'running';
      run.confirmedAtMs = nowMs;
    }
    if (row.percent !== run.percent) {
      run.percent = row.percent;
      run.percentChangedAtMs = nowMs;
    }
    run.percentAtMs = nowMs;
    run.checkpoint = row.checkpoint;
  }

  /** Handles a run that the target does not list: depending on its phase it has ended or not begun yet. */
  #onUnlisted(target: TargetState, run: Run, sentAtMs: number): void {
    switch (run.phase) {
      case 'starting':
        return;
      case 'unconfirmed':
        if (sentAtMs > run.sentAtMs) this.#keeper.stop(run, 'its start was not confirmed');
        return;
      case 'running':
        if (run.confirmedAtMs !== undefined && sentAtMs > run.confirmedAtMs) {
          this.#onVanished(target, run);
        }
        return;
      default:
        if (run.stopConfirmedAtMs !== undefined && sentAtMs > run.stopConfirmedAtMs) {
          this.#keeper.release(run);
          this.#keeper.restartGang(run.step, run.run, 'a gang member was stopped');
        }
    }
  }

  #onVanished(target: TargetState, run: Run): void {
    this.#state.log(
      'run is missing from the target without an end',
      { task: run.taskKey, run: run.run, targetId: target.id },
      'warn',
    );
    this.#state.count('runs_vanished');
    this.#keeper.release(run);
    this.#keeper.restartGang(run.step, run.run, 'a gang member vanished');
  }
}
