/**
 * Processor time of the owner's reducer under a mixed load with bursts, with simulated targets in virtual time: urgent
 * submissions of short tasks beside wide batch and lasting ones, all of which need advice, of many teams with limits.
 */

import type { OwnerEffect } from '../src/owner/types';
import { Random } from '../src/types/random';
import type { StepKey, TeamId } from '../src/types/ids';
import type { AdviceCosts, StepSpec, Submission, Team } from '../src/work/types';
import { createSubmission, NO_FAULTS, OwnerWorld } from '../tests/support/ownerWorld';
import { WALL_START_MS } from '../tests/support/ownerSubmissions';
import { TARGET_CAPACITY } from '../tests/support/worldConstants';
import { OwnerTimes } from './ownerTimes';
import type { Benchmark, Figure } from './types';

/** Targets and nodes; the rates below are for the last size and in proportion to the targets. */
const SIZES = [
  { targetCount: 30, nodeCount: 9 },
  { targetCount: 100, nodeCount: 32 },
  { targetCount: 378, nodeCount: 97 },
] as const;
const FULL_TARGET_COUNT = 378;

/** A kind of submissions; numbers, durations and demands vary by half around the given ones. */
interface LoadKind {
  readonly perSecond: number;
  readonly stepCount: number;
  readonly meanTaskCount: number;
  readonly durationMs: number;
  readonly demand: StepSpec['demand'];
  readonly policy: StepSpec['policy'];
  readonly queue: Partial<Submission['queue']>;
  readonly advice: AdviceCosts;
}

const COSTLY_ADVICE: AdviceCosts = { callMs: 450, perTargetMs: 6.5, ticketValidMs: 2_500 };

const URGENT: LoadKind = {
  ...{ perSecond: 33, stepCount: 2, meanTaskCount: 7, durationMs: 800 },
  demand: { cpuMillis: 3_500, memoryMb: 4_800, accelerators: 0 },
  policy: { kind: 'batch', isSpeculative: false },
  queue: { priority: 0, stretchFactor: 1.5, latencyGoalMs: 250 },
  advice: { callMs: 30, perTargetMs: 0.43, ticketValidMs: 2_500 },
};
const BATCH: LoadKind = {
  ...{ perSecond: 4.5, stepCount: 2, meanTaskCount: 20, durationMs: 3_800 },
  demand: { cpuMillis: 4_500, memoryMb: 8_300, accelerators: 0 },
  policy: { kind: 'batch', isSpeculative: true },
  queue: { priority: 2, stretchFactor: 2.2, latencyGoalMs: 1_200 },
  advice: COSTLY_ADVICE,
};
const LASTING: LoadKind = {
  ...{ perSecond: 0.31, stepCount: 1, meanTaskCount: 20, durationMs: 600_000 },
  demand: { cpuMillis: 4_500, memoryMb: 6_500, accelerators: 0 },
  policy: { kind: 'standing', latencyTargetMs: 0, maxUnavailableCount: 0 },
  queue: { priority: 1, stretchFactor: 2.2, latencyGoalMs: 2_500 },
  advice: COSTLY_ADVICE,
};

/** Factors on the rates of urgent and of batch submissions; work of `backlogMs` is submitted at once before a phase. */
const PHASES = [
  { name: 'usual', durationMs: 6_000, urgent: 1, batch: 1, backlogMs: 0 },
  { name: 'burst of urgent work', durationMs: 4_000, urgent: 2.2, batch: 1, backlogMs: 0 },
  { name: 'burst of batch work', durationMs: 4_000, urgent: 1, batch: 1.9, backlogMs: 0 },
  { name: 'backlog', durationMs: 6_000, urgent: 1, batch: 1, backlogMs: 15_000 },
] as const;

const TEAM_COUNT = 29;
const TEAM_LIMIT_FACTOR = 1.9;
const STEP_MS = 20;
const MS_PER_SECOND = 1_000;
const US_PER_MS = 1_000;
const WARM_UP_MS = 2_000;

/** Submits the load and measures the reducer. */
class BurstRun {
  #random = new Random(1);

  #world: OwnerWorld;

  #teams: readonly Team[];

  #costs = new Map<string, AdviceCosts>();

  #submissionCount = 0;

  #due = new Map<LoadKind, number>();

  #waits: number[] = [];

  #times = new OwnerTimes();

  #targetCount: number;

  /** @param size - number of targets and nodes */
  constructor({ targetCount, nodeCount }: (typeof SIZES)[number]) {
    this.#targetCount = targetCount;
    const limitMillis =
      (TEAM_LIMIT_FACTOR * targetCount * TARGET_CAPACITY.cpuMillis) / Math.sqrt(TEAM_COUNT);
    this.#teams = Array.from({ length: TEAM_COUNT }, (_, index) => ({
      id: `team-${index}` as TeamId,
      keys: [],
      weight: 0,
      limit: { cpuMillis: Math.round(limitMillis / (1 + index / 4)), memoryMb: 0, accelerators: 0 },
    }));
    this.#world = new OwnerWorld({ seed: 1, targetCount, faults: NO_FAULTS, teams: this.#teams });
    this.#world.advice.laneCount = nodeCount;
    this.#world.advice.getCosts = (stepKey: StepKey) =>
      this.#costs.get(stepKey.split('.')[0] ?? '');
    this.#world.onEffect = (_epoch: number, effect: OwnerEffect) => {
      if (effect.kind === 'record' && effect.name === 'start_wait_priority_0')
        this.#waits.push(effect.durationMs);
    };
  }

  /** Plays all phases and returns the figures of each. */
  measure(): readonly Figure[] {
    this.#world.takeOver();
    this.#play(WARM_UP_MS, 1, 1);
    return PHASES.flatMap(({ name, durationMs, urgent, batch, backlogMs }) => {
      this.#submitDue(URGENT, backlogMs);
      this.#submitDue(BATCH, backlogMs);
      const startsBefore = this.#world.startCount;
      this.#waits = [];
      this.#times.clear();
      this.#times.attach();
      this.#play(durationMs, urgent, batch);
      OwnerTimes.detach();
      const startCount = this.#world.startCount - startsBefore;
      return this.#getFigures(`${this.#targetCount} targets, ${name}`, durationMs, startCount);
    });
  }

  #getFigures(prefix: string, durationMs: number, startCount: number): readonly Figure[] {
    const { totalMs, planning } = this.#times;
    const sorted = [...this.#waits].sort((left, right) => left - right);
    const getWait = (fraction: number) => sorted[Math.floor(sorted.length * fraction)] ?? 0;
    return [
      { name: `${prefix}: starts`, value: (startCount * MS_PER_SECOND) / durationMs, unit: '1/s' },
      { name: `${prefix}: reducer`, value: (100 * totalMs) / durationMs, unit: '% of a core' },
      {
        name: `${prefix}: planning passes without advice`,
        value: (100 * planning.totalMs) / durationMs,
        unit: '% of a core',
      },
      {
        name: `${prefix}: reducer per start`,
        value: (US_PER_MS * totalMs) / Math.max(startCount, 1),
        unit: 'us',
      },
      { name: `${prefix}: waiting steps`, value: this.#world.core.readyStepCount, unit: '' },
      { name: `${prefix}: urgent tasks, median wait`, value: getWait(0.5), unit: 'ms' },
      { name: `${prefix}: urgent tasks, p95 wait`, value: getWait(0.95), unit: 'ms' },
    ];
  }

  #play(durationMs: number, urgent: number, batch: number): void {
    const endMs = this.#world.time.nowMs + durationMs;
    while (this.#world.time.nowMs < endMs) {
      this.#submitDue(URGENT, urgent * STEP_MS);
      this.#submitDue(BATCH, batch * STEP_MS);
      this.#submitDue(LASTING, STEP_MS);
      this.#world.run(STEP_MS);
    }
  }

  /** Submits what comes in a time at the usual rate. */
  #submitDue(kind: LoadKind, durationMs: number): void {
    const scale = this.#targetCount / FULL_TARGET_COUNT;
    const added = (kind.perSecond * scale * durationMs) / MS_PER_SECOND;
    let due = (this.#due.get(kind) ?? 0) + added;
    for (; due >= 1; due -= 1) this.#submit(kind);
    this.#due.set(kind, due);
  }

  #submit({ stepCount, meanTaskCount, durationMs, demand, policy, queue, advice }: LoadKind): void {
    this.#submissionCount += 1;
    const team = this.#teams[Math.floor(this.#random.nextFraction() ** 2 * TEAM_COUNT)];
    const vary = (mean: number) => mean * (0.5 + this.#random.nextFraction());
    const steps = Array.from({ length: stepCount }, (_, index) => ({
      ...{ policy, estimateMs: Math.round(vary(durationMs)) },
      taskCount: Math.max(1, Math.round(vary(meanTaskCount))),
      after: index === 0 ? [] : [index - 1],
      demand: {
        cpuMillis: Math.round(vary(demand.cpuMillis)),
        memoryMb: Math.round(vary(demand.memoryMb)),
        accelerators: 0,
      },
    }));
    const created = createSubmission(this.#submissionCount, steps, {
      ...{ teamId: team?.id, advice: 'cheap' },
    });
    const acceptedAtMs = WALL_START_MS + this.#world.time.nowMs;
    this.#costs.set(created.id, advice);
    this.#world.submit({
      ...created,
      acceptedAtMs,
      queue: {
        ...created.queue,
        ...queue,
        advice,
        id: `queue-${queue.priority}` as Submission['queue']['id'],
      },
    });
  }
}

/** The `burst` benchmark. */
export const burst: Benchmark = {
  name: 'burst',
  description:
    'processor time of the owner by number of targets, in bursts of work that needs advice',
  run: async () => SIZES.flatMap((size) => new BurstRun(size).measure()),
};
