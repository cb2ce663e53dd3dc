/**
 * Builds the load summary for the gates from the owner's state. It answers an overload in which the owner accepts more
 * than targets can run in time.
 */

import type { Work } from '../admission/decayedRate';
import { addWork, NO_WORK } from '../admission/decayedRate';
import { LoadForecaster } from '../admission/forecast';
import type { ArrivedWork, Lateness, ServiceLoad, WaitingWork } from '../admission/forecast';
import { createLoadSummary, toQueueLoad } from '../admission/loadSummary';
import type { LoadSummary, QueueLoad } from '../admission/loadSummary';
import { TeamRateShares } from '../admission/teamRateShares';
import type { SubmissionId, TeamId } from '../types/ids';
import type { Submission, TaskDemand } from '../work/types';
import { getExpectedDurationMs } from './expectedDuration';
import type { OwnerState } from './ownerState';
import { isTargetInUse } from './placement';
import { QueueCounts } from './queueCounts';
import type { StepState } from './stepState';
import type { SubmissionRecord } from './submissionRecord';

/** Three summaries are built in the time for which a gate relies on one. */
const SUMMARY_INTERVAL_MS = 500;

/** A submission that ends within this many times its objective is late but still counts. */
const MISSED_FACTOR = 3;

/** While more of the targets may hold unreported runs of former owners, the capacity is not known. */
const MAX_UNRESOLVED_FRACTION = 0.1;

/** Interval of the log line while queues have waits. */
const LOG_INTERVAL_MS = 5_000;

/** Refused submissions that are remembered: those of about a minute at 60 refusals per second. */
const MAX_ATTEMPTS = 4_096;

/** Queues that a log line names. */
const MAX_LOGGED_QUEUES = 8;

function toWork({ cpuMillis, memoryMb }: TaskDemand, factor: number): Work {
  return { cpu: cpuMillis * factor, memory: memoryMb * factor };
}

function getLateness(step: StepState, remainingMs: number, wallMs: number): Lateness {
  const endAtMs = wallMs + remainingMs;
  if (step.isLongRunning || endAtMs <= step.dueAtMs) return 'inTime';
  const missedAtMs = step.dueAtMs + (MISSED_FACTOR - 1) * step.record.objectiveMs;
  return endAtMs <= missedAtMs ? 'late' : 'lost';
}

/** Expected time from the start of each step until all that depend on it have ended, without waits. */
function getRemainingMs(steps: readonly StepState[]): ReadonlyMap<StepState, number> {
  const remaining = new Map<StepState, number>();
  const laterMs = new Map<string, number>();
  [...steps].reverse().forEach((step) => {
    const toName = (number: number) => `${step.occurrence}.${number}`;
    const ownMs = step.isLongRunning ? 0 : getExpectedDurationMs(step);
    const remainingMs = ownMs + (laterMs.get(toName(step.number)) ?? 0);
    remaining.set(step, remainingMs);
    step.spec.after.forEach((number) =>
      laterMs.set(toName(number), Math.max(remainingMs, laterMs.get(toName(number)) ?? 0)),
    );
  });
  return remaining;
}

function getDoneCount(step: StepState): number {
  return step.spec.taskCount - step.waiting.size - step.runs.size;
}

/** Work of a number of tasks; tasks without an end have none, as they take part of the capacity for good. */
function getStepWork(step: StepState, taskCount: number): Work {
  if (step.isLongRunning) return NO_WORK;
  return toWork(step.charge, taskCount * getExpectedDurationMs(step));
}

/** Samples the state each half second. */
export class LoadSampler {
  #state: OwnerState;

  #forecaster = new LoadForecaster();

  #teams = new TeamRateShares();

  /** Submissions without an outcome at the previous sample. */
  #followed = new Set<SubmissionRecord>();

  /** Number of tasks that were done at the previous sample. */
  #doneCounts = new WeakMap<StepState, number>();

  /** When a gate has first asked for a submission that is not known, in milliseconds since 1970. */
  #attemptedAtMs = new Map<SubmissionId, number>();

  #sampledAtMs: number | undefined;

  #loggedAtMs = Number.NEGATIVE_INFINITY;

  #sequence = 0;

  #summary: LoadSummary | undefined;

  /**
   * @param state - the shared state of the owner
   */
  constructor(state: OwnerState) {
    this.#state = state;
  }

  /** The latest summary; undefined while refusing late submissions is turned off. */
  get summary(): LoadSummary | undefined {
    return this.#summary;
  }

  /**
   * Tells whether a further submission of a team would exceed its rate. The gate that asks is about to refuse it then,
   * so it counts as submitted.
   * @param teamId - the team
   * @param submissionId - the submission
   * @returns what the owner adds to its answer; empty while refusing late submissions is turned off
   */
  getRate(teamId: TeamId, submissionId: SubmissionId): { readonly isOverRate?: boolean } {
    const { teamRates, wallMs, options } = this.#state;
    if (!options.refusesLateSubmissions) return {};
    this.#noteAttempt(submissionId, wallMs);
    const isOverRate = teamRates.isExhausted(teamId, wallMs);
    if (isOverRate) this.#teams.add(teamId, true);
    return { isOverRate };
  }

  /**
   * Dates a submission back to the first time that a gate has asked for it in order to refuse it, as its objective runs
   * from then. Otherwise one that returns late would come before new ones that can be in time.
   * @param submission - a submission that has become known
   * @returns the submission to schedule
   */
  dateBack(submission: Submission): Submission {
    const atMs = this.#attemptedAtMs.get(submission.id);
    if (atMs === undefined || atMs >= submission.acceptedAtMs) return submission;
    return { ...submission, acceptedAtMs: atMs };
  }

  /** The oldest are forgotten first. */
  #noteAttempt(submissionId: SubmissionId, wallMs: number): void {
    if (this.#attemptedAtMs.has(submissionId)) return;
    this.#attemptedAtMs.set(submissionId, wallMs);
    if (this.#attemptedAtMs.size <= MAX_ATTEMPTS) return;
    const [oldest] = this.#attemptedAtMs.keys();
    if (oldest !== undefined) this.#attemptedAtMs.delete(oldest);
  }

  /** Samples the state if it is time. */
  check(): void {
    const { nowMs, options } = this.#state;
    if (!options.refusesLateSubmissions) return;
    const elapsedMs = nowMs - (this.#sampledAtMs ?? nowMs);
    if (this.#sampledAtMs !== undefined && elapsedMs < SUMMARY_INTERVAL_MS) return;
    this.#sample(elapsedMs);
    this.#sampledAtMs = nowMs;
  }

  #sample(elapsedMs: number): void {
    const { nowMs, epoch, operator } = this.#state;
    this.#teams.decay(elapsedMs);
    const arrivedRecords = this.#followNew();
    const over = this.#teams.updateTeamsOver();
    const arrived = arrivedRecords.flatMap((record) => LoadSampler.#getArrived(record, over));
    const services = this.#getServices(this.#takeDone());
    const counts = new Map<string, QueueCounts>();
    const waiting = this.#getWaiting(over, counts);
    const isIncomplete = this.#isIncomplete();
    this.#forecaster.addSample({ nowMs, isIncomplete, services, waiting, arrived });
    const queues = (operator.config?.queues ?? []).flatMap((queue) => {
      const forecast = this.#forecaster.getForecast(queue.serviceName, queue.priority);
      if (forecast === undefined) return [];
      const figures = (counts.get(queue.id) ?? new QueueCounts(queue)).getFigures();
      return [toQueueLoad(figures, forecast)];
    });
    this.#sequence += 1;
    this.#summary = createLoadSummary(epoch, this.#sequence, queues, this.#teams.getRates());
    this.#log(this.#summary);
  }

  /** Follows the submissions that have become known, and returns those that have just been submitted. */
  #followNew(): readonly SubmissionRecord[] {
    const arrived: SubmissionRecord[] = [];
    this.#state.open.forEach((record) => {
      if (this.#followed.has(record)) return;
      const isNew = !record.isLoaded;
      this.#followed.add(record);
      if (!isNew) {
        for (const step of record.steps) this.#doneCounts.set(step, getDoneCount(step));
        return;
      }
      this.#teams.add(record.submission.teamId, record.isExcess);
      arrived.push(record);
    });
    return arrived;
  }

  static #getArrived(record: SubmissionRecord, over: ReadonlySet<string>): readonly ArrivedWork[] {
    const { queue, isExcess } = record;
    const place = {
      ...{ serviceName: queue.serviceName, priority: queue.priority, isExcess },
      isTeamOver: over.has(record.submission.teamId),
    };
    return [...record.steps].map((step) => ({
      ...place,
      work: getStepWork(step, step.spec.taskCount),
    }));
  }

  /** Expected work, by service, of the tasks that are done since the previous sample. */
  #takeDone(): ReadonlyMap<string, Work> {
    const done = new Map<string, Work>();
    this.#followed.forEach((record) => {
      const { outcome, queue } = record;
      let sum = done.get(queue.serviceName) ?? NO_WORK;
      if (outcome === undefined || outcome === 'succeeded') {
        for (const step of record.steps) {
          const count = getDoneCount(step);
          const added = Math.max(0, count - (this.#doneCounts.get(step) ?? 0));
          if (added > 0) sum = addWork(sum, getStepWork(step, added));
          this.#doneCounts.set(step, count);
        }
      }
      done.set(queue.serviceName, sum);
      if (!this.#state.open.has(record)) this.#followed.delete(record);
    });
    return done;
  }

  #getServices(done: ReadonlyMap<string, Work>): ReadonlyMap<string, ServiceLoad> {
    const services = new Map<string, ServiceLoad>();
    this.#state.targets.forEach((target) => {
      if (!isTargetInUse(this.#state, target) || !target.isContacted) return;
      const { serviceName } = target.entry;
      const known = services.get(serviceName);
      let ending = known?.ending ?? NO_WORK;
      target.runs.forEach(({ step, charge }) => {
        if (!step.isLongRunning) ending = addWork(ending, toWork(charge, 1));
      });
      services.set(serviceName, {
        ending,
        used: addWork(known?.used ?? NO_WORK, toWork(target.used, 1)),
        free: addWork(known?.free ?? NO_WORK, toWork(target.free, 1)),
        done: done.get(serviceName) ?? NO_WORK,
      });
    });
    return services;
  }

  /**
   * Steps that wait for something else than capacity hold no others up. Those that are not ready yet come before later
   * submissions once they are, so their work is ahead of these.
   */
  #getWaiting(over: ReadonlySet<string>, counts: Map<string, QueueCounts>): readonly WaitingWork[] {
    const { open, ready, wallMs, nowMs, teamLimits, eligibleTargets } = this.#state;
    const waiting: WaitingWork[] = [];
    open.forEach((record) => {
      const { queue, isExcess, submission } = record;
      const place = {
        ...{ serviceName: queue.serviceName, priority: queue.priority, isExcess },
        isTeamOver: over.has(submission.teamId),
      };
      getRemainingMs([...record.steps]).forEach((remainingMs, step) => {
        const isKeptBack = step.isHeld || teamLimits.isReached(step);
        if (isKeptBack || step.waiting.size === 0 || eligibleTargets.get(step).length === 0) return;
        const isReady = ready.has(step);
        const lateness = getLateness(step, remainingMs, wallMs);
        if (isReady) {
          const known = counts.get(queue.id) ?? new QueueCounts(queue);
          known.add(step, lateness === 'lost', nowMs);
          counts.set(queue.id, known);
        }
        waiting.push({
          ...place,
          lateness,
          work: getStepWork(step, step.waiting.size),
          demand: isReady ? toWork(step.charge, step.waiting.size) : NO_WORK,
        });
      });
    });
    return waiting;
  }

  /** What former owners have left is not known until targets and the store have answered. */
  #isIncomplete(): boolean {
    const { unresolvedTargets, targets, operator, areSubmissionPartsUnread } = this.#state;
    const maxUnresolved = MAX_UNRESOLVED_FRACTION * targets.size;
    const isUnread = areSubmissionPartsUnread || operator.config === undefined;
    return isUnread || unresolvedTargets.size > maxUnresolved;
  }

  #log({ sequence, queues, teams }: LoadSummary): void {
    const { nowMs } = this.#state;
    if (queues.length === 0 || nowMs < this.#loggedAtMs + LOG_INTERVAL_MS) return;
    this.#loggedAtMs = nowMs;
    this.#state.log('waits are forecast', {
      sequence,
      queues: queues.slice(0, MAX_LOGGED_QUEUES).map(LoadSampler.#describe),
      teamsOverRate: teams.length,
    });
  }

  static #describe({ id, waiting, within, whole }: QueueLoad) {
    return { queue: id, waitingCount: waiting[0], longestWaitMs: waiting[1], within, whole };
  }
}
