/** Applies the responses of targets to starts and stops. */

import * as E from 'fp-ts/Either';
import { assertNever } from '../types/debug';
import { REFUSAL_PAUSE_MS } from './constants';
import type { Incarnations } from './incarnations';
import type { OwnerState } from './ownerState';
import { toRunKey } from './run';
import type { Run } from './run';
import type { RunManager } from './runManager';
import { toIncarnation } from './incarnationName';
import type { TargetState } from './targetState';
import type { OwnerEvent, TargetFailure } from './types';

type StartAnsweredEvent = Extract<OwnerEvent, { kind: 'startAnswered' }>;
type StopAnsweredEvent = Extract<OwnerEvent, { kind: 'stopAnswered' }>;

/** Handles responses to the calls of {@link RunManager}. */
export class RunResponses {
  #state: OwnerState;

  #runManager: RunManager;

  #incarnations: Incarnations;

  /**
   * @param state - the shared state of the owner
   * @param runManager - releases and stops runs
   * @param incarnations - removes targets that are gone
   */
  constructor(state: OwnerState, runManager: RunManager, incarnations: Incarnations) {
    this.#state = state;
    this.#runManager = runManager;
    this.#incarnations = incarnations;
  }

  /**
   * Handles the response to a start.
   * @param event - the response
   */
  onStartAnswered(event: StartAnsweredEvent): void {
    const target = this.#state.targets.get(event.targetId);
    const run = target?.runs.get(toRunKey(event.taskKey, event.run));
    if (target === undefined || run === undefined) return;
    if (E.isRight(event.result)) run.step.record.hasBegun = true;
    if (event.incarnationStartMs !== target.entry.incarnationStartMs) {
      this.#onFormerStartAnswered(run, target, event);
      return;
    }
    if (E.isLeft(event.result)) {
      this.#onStartFailed(run, target, event.result.left);
      return;
    }
    const { nowMs } = this.#state;
    const { clockMs } = event.result.right;
    this.#state.responseTimes.addResponse(nowMs - event.sentAtMs);
    if (!target.clock.isPlausible(clockMs, event.sentAtMs, nowMs)) {
      this.#onForeignClock(run, target, clockMs);
      return;
    }
    target.clock.addSample(clockMs, event.sentAtMs, this.#state);
    target.isResponding = true;
    target.lastAnsweredAtMs = nowMs;
    target.lostAtMs = undefined;
    if (run.phase !== 'starting') return;
    run.phase = 'running';
    run.confirmedAtMs = nowMs;
  }

  /**
   * Handles the response to a stop.
   * @param event - the response
   */
  onStopAnswered(event: StopAnsweredEvent): void {
    const target = this.#state.targets.get(event.targetId);
    if (target === undefined) return;
    const failure = E.isLeft(event.result) ? event.result.left : undefined;
    if (failure?.kind === 'fenced') this.#runManager.stepDown(target);
    // A former incarnation's answer says nothing about what the present one may still start.
    if (event.incarnationStartMs !== target.entry.incarnationStartMs) return;
    target.nextPollAtMs = Math.min(target.nextPollAtMs, this.#state.nowMs);
    const run = target.runs.get(toRunKey(event.taskKey, event.run));
    const isConfirmed = failure === undefined || failure.kind === 'staleRun';
    if (run !== undefined && isConfirmed) run.stopConfirmedAtMs = this.#state.nowMs;
  }

  /** Another incarnation has answered: the run is confirmed only once a poll has told which one, and listed it. */
  #onForeignClock(run: Run, target: TargetState, clockMs: number): void {
    this.#state.count('answers_of_other_incarnation');
    this.#state.log('start answered with the clock of another incarnation; the target is polled', {
      task: run.taskKey,
      run: run.run,
      targetId: target.id,
      bornAtMs: target.entry.incarnationStartMs,
      clockMs,
    });
    if (!run.isListed) this.#setInDoubt(run, target);
    target.requestVerification(this.#state.nowMs);
  }

  /** The target has been replaced since the start was sent, and the new incarnation has not listed the run. */
  #onFormerStartAnswered(run: Run, target: TargetState, event: StartAnsweredEvent): void {
    if (E.isRight(event.result)) return;
    const failure = event.result.left;
    if (failure.kind === 'fenced') this.#runManager.stepDown(target);
    if (failure.kind === 'fenced' || failure.kind === 'lost' || run.isListed) return;
    this.#logFailure(run, target, failure);
    const incarnation = toIncarnation(target.entry.address, event.incarnationStartMs);
    this.#releaseNotStarted(run, incarnation);
  }

  #onStartFailed(run: Run, failed: TargetState, failure: TargetFailure): void {
    const target = failed;
    const { nowMs } = this.#state;
    this.#logFailure(run, target, failure);
    this.#state.count(`starts_${failure.kind}`);
    switch (failure.kind) {
      case 'fenced':
        this.#runManager.stepDown(target);
        return;
      case 'lost':
        if (!run.isListed) this.#setInDoubt(run, target);
        this.#state.responseTimes.addLoss(target.id, nowMs);
        target.nextPollAtMs = Math.min(target.nextPollAtMs, nowMs);
        return;
      case 'badTicket':
        run.step.advice.dropTicket(target.id);
        break;
      case 'noRoom':
      case 'refused':
        target.pausedUntilMs = Math.max(target.pausedUntilMs, nowMs + REFUSAL_PAUSE_MS);
        break;
      case 'notSent':
        target.isResponding = false;
        target.nextPollAtMs = Math.min(target.nextPollAtMs, nowMs);
        break;
      case 'otherLife':
        if (!run.isListed) this.#releaseNotStarted(run, target.incarnation);
        this.#incarnations.remove(target, 'another target responds at its address', true);
        return;
      case 'late':
        // The target's clock is not known well enough for the deadline.
        target.requestVerification(nowMs);
        break;
      case 'staleRun':
        break;
      default:
        assertNever(failure);
    }
    // A listed run has begun, whatever an answer says that belongs to another call.
    if (!run.isListed) this.#releaseNotStarted(run, target.incarnation);
    if (failure.kind === 'notSent') this.#runManager.crashTracker.onNoAnswer(target, failure);
  }

  /** Releases a run whose start was refused or never sent. */
  #releaseNotStarted(run: Run, incarnation: string): void {
    // The run has not begun, so it cannot be the cause of a crash.
    this.#runManager.crashTracker.removeReport(run, incarnation);
    this.#runManager.release(run);
    this.#runManager.stopGangMembers(run.step, run.run, 'a gang member was not started');
  }

  #setInDoubt(inDoubt: Run, holder: TargetState): void {
    const run = inDoubt;
    const target = holder;
    target.mayHaveUnsettledRuns = true;
    if (run.phase === 'starting') run.phase = 'unconfirmed';
    run.doubtSinceMs ??= this.#state.nowMs;
    run.callEndedAtMs ??= this.#state.steadyMs;
    this.#state.count('starts_in_doubt');
  }

  #logFailure(run: Run, target: TargetState, failure: TargetFailure): void {
    this.#state.log('start not confirmed', {
      submissionId: run.step.record.submission.id,
      task: run.taskKey,
      run: run.run,
      targetId: target.id,
      bornAtMs: target.entry.incarnationStartMs,
      failure,
    });
  }
}
