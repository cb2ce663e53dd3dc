/** Learns how long tasks run from the ends of runs, and forecasts it for steps. */

import * as E from 'fp-ts/Either';
import { forecast, MAX_ERROR_RATIO, MIN_WEIGHT, toLog } from '../durations/durationModel';
import type { LogForecast } from '../durations/durationModel';
import { DurationTable, getGroupNames } from '../durations/durationTable';
import type { GroupAnswer, GroupErrors, GroupNames } from '../durations/durationTable';
import { combineForecast, StepDurations } from '../durations/stepDurations';
import { TargetSpeeds } from '../durations/targetSpeeds';
import type { EndKind } from '../work/types';
import type { LearntState } from './learntStates';
import type { OwnerState } from './ownerState';
import type { Run } from './run';
import type { StepState } from './stepState';

/**
 * Forecasts are kept for this long. Those of 5,000 waiting submissions of two steps take 35 ms, which would be a sixth
 * of the processor if they were made anew every 200 ms.
 */
const FORECAST_VALID_MS = 500;

const LOG_INTERVAL_MS = 30_000;

/** Groups that a log line names. */
const MAX_LOGGED_GROUPS = 16;

const PERCENT = 100;

/** Forecast of the duration of a task of a step. */
export interface DurationForecast {
  readonly expectedMs: number;
  /** The 0.9 quantile. */
  readonly quantileMs: number;
  /** The 0.9 quantile for steps of the group, whatever the runs of this one have shown. */
  readonly groupQuantileMs: number;
}

/** What is kept with a step. */
export interface StepDurationState {
  readonly names: GroupNames;
  /** Logarithm of the caller's estimate. */
  readonly x: number;
  readonly durations: StepDurations;
  /** Value of {@link LearntDurations.version} for which the forecast was made. */
  version: number | undefined;
  forecast: DurationForecast | undefined;
}

/** Errors since the last log line, as logarithms. */
interface ErrorSums {
  stepCount: number;
  boundCount: number;
  estimate: number;
  learnt: number;
}

const NO_ERRORS: ErrorSums = { stepCount: 0, boundCount: 0, estimate: 0, learnt: 0 };

/** Converts an error that is a logarithm to the percentage by which the value is off. */
function toPercent(error: number): number {
  return Math.round(PERCENT * (Math.exp(error) - 1));
}

function isMisled({ weight, estimateError, learntError }: GroupErrors): boolean {
  return weight >= MIN_WEIGHT && learntError > estimateError * MAX_ERROR_RATIO;
}

/** The durations learnt during one ownership, and before it as far as they were stored. */
export class LearntDurations implements LearntState {
  readonly key = 'groups';

  #state: OwnerState;

  #table = new DurationTable();

  #speeds = new TargetSpeeds();

  /** Groups that answer, by the narrowest group of the steps, for the present version. */
  #answers = new Map<string, GroupAnswer>();

  #version = 0;

  #changeCount = 0;

  #refreshedAtMs = Number.NEGATIVE_INFINITY;

  #loggedAtMs: number | undefined;

  #errors: ErrorSums = { ...NO_ERRORS };

  #countedDrops = 0;

  /**
   * @param state - the shared state of the owner
   */
  constructor(state: OwnerState) {
    this.#state = state;
  }

  /** Changes when forecasts may have changed; while it is the same, each forecast is. */
  get version(): number {
    return this.#version;
  }

  /** Number of changes to the groups. */
  get changeCount(): number {
    return this.#changeCount;
  }

  /** Makes forecasts anew from now on if they are old; called between passes, never while steps are sorted. */
  refresh(): void {
    const { nowMs } = this.#state;
    if (nowMs < this.#refreshedAtMs + FORECAST_VALID_MS) return;
    this.#refreshedAtMs = nowMs;
    this.#version += 1;
    this.#answers.clear();
  }

  /**
   * Forecasts the duration of a task of a step on a target of usual speed.
   * @param step - the step
   * @returns the forecast; undefined when the caller's estimate is to be used
   */
  getForecast(step: StepState): DurationForecast | undefined {
    if (step.isLongRunning) return undefined;
    const known = LearntDurations.#getStepState(step);
    if (known.version === this.#version) return known.forecast;
    known.version = this.#version;
    known.forecast = this.#forecast(step, known);
    return known.forecast;
  }

  #forecast(
    step: StepState,
    { names, x, durations }: StepDurationState,
  ): DurationForecast | undefined {
    const answer = this.#getAnswer(names);
    const group = answer && forecast(answer.moments, answer.line, x);
    if (group === undefined) return undefined;
    const isUntried = step.runs.size === 0 && durations.doneCount === 0;
    const own: LogForecast = isUntried
      ? group
      : combineForecast(group, x, durations, this.#getRunningMs(step));
    return {
      expectedMs: Math.exp(own.expected),
      quantileMs: Math.exp(own.quantile),
      groupQuantileMs: Math.exp(group.quantile),
    };
  }

  #getAnswer(names: GroupNames): GroupAnswer | undefined {
    const [name = ''] = names;
    const known = this.#answers.get(name);
    if (known !== undefined) return known;
    const answer = this.#table.getAnswer(names);
    if (answer !== undefined) this.#answers.set(name, answer);
    return answer;
  }

  #getRunningMs(step: StepState): readonly number[] {
    const { nowMs } = this.#state;
    return step
      .getRuns()
      .map(({ sentAtMs, targetId }) => (nowMs - sentAtMs) / this.#speeds.getFactor(targetId));
  }

  static #getStepState(of: StepState): StepDurationState {
    const step = of;
    if (step.durationState !== undefined) return step.durationState;
    const { submission, queue } = step.record;
    const { image, estimateMs } = step.spec;
    const kind = { queueId: queue.id, step: step.number, image, teamId: submission.teamId };
    const created: StepDurationState = {
      ...{ names: getGroupNames(kind), x: toLog(estimateMs), durations: new StepDurations() },
      ...{ version: undefined, forecast: undefined },
    };
    step.durationState = created;
    return created;
  }

  /**
   * Records the end of a run.
   * @param run - the run
   * @param how - how it has ended
   */
  onRunEnded({ step, sentAtMs, targetId, isWhole }: Run, how: EndKind): void {
    if (step.isLongRunning) return;
    const { durations } = LearntDurations.#getStepState(step);
    const ranMs = this.#state.nowMs - sentAtMs;
    const usualMs = ranMs / this.#speeds.getFactor(targetId);
    if (how !== 'done' || isWhole !== true) {
      durations.addBound(usualMs);
      return;
    }
    durations.addDone(usualMs, { targetId, ranMs });
  }

  /**
   * Learns from a step that is done, or whose submission has ended.
   * @param step - the step
   */
  onStepEnded(step: StepState): void {
    if (step.durationState === undefined) return;
    const { names, x, durations } = step.durationState;
    const observation = durations.takeObservation(step.isDone);
    if (observation === undefined) return;
    // Only tasks of the same step do the same work, so that others tell little about a target.
    if (!observation.isBound) this.#speeds.observe(durations.runs);
    const y = toLog(observation.durationMs);
    if (observation.isBound) this.#errors.boundCount += 1;
    else this.#recordErrors(x - y, (this.#table.getForecast(names, x)?.expected ?? x) - y);
    const groupCount = this.#table.size;
    this.#table.observe(names, x, y, observation.isBound);
    this.#changeCount += 1;
    if (this.#table.size !== groupCount) this.#countGroups();
  }

  #recordErrors(estimateDifference: number, learntDifference: number): void {
    const estimate = Math.abs(estimateDifference);
    const learnt = Math.abs(learntDifference);
    this.#errors.stepCount += 1;
    this.#errors.estimate += estimate;
    this.#errors.learnt += learnt;
    const record = (name: string, error: number) =>
      this.#state.emit({ kind: 'record', name, durationMs: toPercent(error) });
    record('duration_error_estimate', estimate);
    record('duration_error_learnt', learnt);
  }

  #countGroups(): void {
    const { size, droppedCount } = this.#table;
    this.#state.emit({ kind: 'set', name: 'duration_groups', value: size });
    if (droppedCount > this.#countedDrops)
      this.#state.count('duration_group_dropped', droppedCount - this.#countedDrops);
    this.#countedDrops = droppedCount;
  }

  /** Logs the errors of the forecasts every 30 s while there are any. */
  check(): void {
    const { nowMs } = this.#state;
    this.#loggedAtMs ??= nowMs;
    if (nowMs < this.#loggedAtMs + LOG_INTERVAL_MS) return;
    this.#loggedAtMs = nowMs;
    const { stepCount, boundCount, estimate, learnt } = this.#errors;
    if (stepCount + boundCount === 0) return;
    const groups = this.#table.errors;
    this.#errors = { ...NO_ERRORS };
    this.#state.log('durations learnt', {
      ...{ stepCount, boundCount, groupCount: groups.length },
      estimateErrorPercent: stepCount === 0 ? undefined : toPercent(estimate / stepCount),
      learntErrorPercent: stepCount === 0 ? undefined : toPercent(learnt / stepCount),
      misledCount: groups.filter(isMisled).length,
      groups: groups.slice(0, MAX_LOGGED_GROUPS).map(({ group, weight, ...errors }) => ({
        ...{ group, weight: Math.round(weight) },
        estimateErrorPercent: toPercent(errors.estimateError),
        learntErrorPercent: toPercent(errors.learntError),
      })),
    });
  }

  /** @returns the groups in their stored form */
  encode(): string {
    return this.#table.encode();
  }

  /**
   * Adopts what a former owner has learnt.
   * @param value - the groups in their stored form
   * @returns what to log of it, or why it is not valid
   */
  adopt(value: string): E.Either<string, Readonly<Record<string, unknown>>> {
    const adopted = this.#table.adopt(value);
    if (E.isLeft(adopted)) return adopted;
    this.#version += 1;
    this.#answers.clear();
    this.#countGroups();
    return E.right({ groupCount: adopted.right });
  }
}
