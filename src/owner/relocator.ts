/**
 * Moves lasting tasks off targets that drain. Such a target ends them when it leaves, so each is stopped while it can
 * still confirm the end, as soon as there is room for it elsewhere.
 */

import { chooseCandidate } from './candidates';
import type { Candidate } from './candidates';
import type { OwnerState } from './ownerState';
import { PlannedCapacity } from './plannedCapacity';
import type { Run } from './run';
import type { RunManager } from './runManager';
import type { StepState } from './stepState';

/** What the planner offers for a move. */
export interface RelocatorInput {
  /** Gets the targets on which a task of a step may be started now. */
  getCandidates(step: StepState): readonly Candidate[];
}

/** Moves runs of lasting tasks before their targets leave. */
export class Relocator {
  #state: OwnerState;

  #runManager: RunManager;

  /** Runs that were stopped to be moved, until their ends are known. */
  #moving = new Set<Run>();

  /**
   * @param state - the owner's state
   * @param runManager - performs the stops
   */
  constructor(state: OwnerState, runManager: RunManager) {
    this.#state = state;
    this.#runManager = runManager;
  }

  /**
   * Stops the lasting runs on draining targets for which there is room elsewhere.
   * @param input - the planner's view of the targets
   */
  plan(input: RelocatorInput): void {
    const { relocatingSteps } = this.#state;
    this.#moving.forEach((run) => {
      if (run.step.getEndedAtMs(run.key) !== undefined) this.#moving.delete(run);
    });
    const runsByStep = this.#getRunsToMove();
    relocatingSteps.forEach((step) => {
      if (!runsByStep.has(step)) Relocator.#setCount(relocatingSteps, step, 0);
    });
    runsByStep.forEach((runs, step) => Relocator.#setCount(relocatingSteps, step, runs.length));
    const capacity = new PlannedCapacity();
    runsByStep.forEach((runs, step) => {
      // Tasks that wait already found no room, and come first.
      if (step.waiting.size > 0) return;
      try {
        this.#move(step, runs, input.getCandidates(step), capacity);
      } catch (error) {
        this.#onUnplannable(step, error);
      }
    });
  }

  /** A step that cannot be planned would end the ownership of each node in turn; its tasks stay where they are. */
  #onUnplannable(step: StepState, error: unknown): void {
    this.#state.count('submissions_unschedulable');
    this.#state.log(
      'step cannot be planned; its tasks stay on targets that drain',
      { submissionId: step.record.submission.id, step: step.key, reason: String(error) },
      'warn',
    );
  }

  static #setCount(steps: Set<StepState>, changed: StepState, count: number): void {
    const step = changed;
    step.relocatingCount = count;
    if (count > 0) steps.add(step);
    else steps.delete(step);
  }

  #getRunsToMove(): ReadonlyMap<StepState, readonly Run[]> {
    const runsByStep = new Map<StepState, Run[]>();
    this.#state.watch.draining.forEach((target) => {
      if (!target.isContacted || !target.isResponding) return;
      target.runs.forEach((run) => {
        if (!this.#isMovable(run)) return;
        const runs = runsByStep.get(run.step) ?? [];
        runs.push(run);
        runsByStep.set(run.step, runs);
      });
    });
    return runsByStep;
  }

  /** A step that is held or left out could not start the task again. */
  #isMovable({ phase, step }: Run): boolean {
    const { record } = step;
    if (phase !== 'running' || !step.isLongRunning || step.isHeld) return false;
    if (this.#state.setAsideUntilMs.has(step)) return false;
    return record.outcome === undefined && !record.isCancelled;
  }

  #move(
    step: StepState,
    runs: readonly Run[],
    candidates: readonly Candidate[],
    capacity: PlannedCapacity,
  ): void {
    if (candidates.length === 0) return;
    const tryPlace = () => {
      const chosen = chooseCandidate(step, false, candidates, capacity.getView(step));
      if (chosen !== undefined) capacity.place(step, chosen.target);
      return chosen !== undefined;
    };
    const movingCount = [...this.#moving].filter((run) => run.step === step).length;
    for (let count = 0; count < movingCount; count += 1) {
      if (!tryPlace()) return;
    }
    runs.forEach((run) => {
      if (!tryPlace()) return;
      this.#moving.add(run);
      this.#runManager.stop(run, 'its target drains');
      this.#state.count('runs_relocated');
    });
  }
}
