/** One play of the fleet soak: traffic, impairments and the check of lasting tasks. */

import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Random } from '../../src/types/random';
import { addDemand, isDemandFitting } from '../../src/work/types';
import type { FakeWorker } from '../../standins/fakeWorker';
import { Fleet } from './fleet';
import { LostCheck } from './lostCheck';
import type { LostTask, ObservedTask } from './lostCheck';
import { Traffic } from './traffic';
import type { SoakSubmission } from './traffic';
import { Troubles } from './troubles';

const CHECK_INTERVAL_MS = 100;
const START_MS = 4_000;
const FIRST_TROUBLE_MS = 6_000;

/** Long enough for a wait that breaks the rule to be seen before the next impairment. */
const TROUBLE_INTERVAL_MS = 16_000;

const INITIAL_LASTING = 5;
const CANCEL_INTERVAL_MS = 5_000;
const MAX_LASTING = 10;

/** Options of a play. */
export interface RoundOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly program: string;
  readonly nodeCount: number;
  readonly targetCount: number;
  /** Factor of the rate of urgent and batch work. */
  readonly load: number;
  /** Delay of each answer of the store, beside the impairments. */
  readonly storeDelayMs: number;
}

/** What was seen. */
export interface RoundReport {
  readonly lost: readonly LostTask[];
  /** The longest wait of a lasting task beside approved room, with nothing impaired. */
  readonly longestMs: number;
  readonly acceptedCount: number;
  readonly lastingTaskCount: number;
  /** Processes that ended by themselves. */
  readonly exitCount: number;
  readonly events: readonly string[];
  readonly logs: ReadonlyMap<string, string>;
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

/** Plays one round. */
export class SoakRound {
  #options: RoundOptions;

  #directory = mkdtempSync(join(tmpdir(), 'hemlockway-soak-'));

  #traffic: Traffic;

  #fleet: Fleet;

  #check = new LostCheck();

  #startedAtMs = performance.now();

  #events: string[] = [];

  #lastingTasks = new Set<string>();

  /**
   * @param options - seed, duration and sizes
   */
  constructor(options: RoundOptions) {
    this.#options = options;
    const random = new Random(options.seed);
    this.#traffic = new Traffic(random, () => this.#fleet);
    this.#fleet = new Fleet({ ...options, directory: this.#directory }, this.#traffic);
  }

  get #nowMs(): number {
    return performance.now() - this.#startedAtMs;
  }

  /** Plays the round and ends all processes. */
  async run(): Promise<RoundReport> {
    try {
      await this.#fleet.start();
      await sleep(START_MS);
      await this.#play();
      return this.#createReport();
    } finally {
      this.close();
    }
  }

  /** Ends all processes. */
  close(): void {
    this.#traffic.stop();
    this.#fleet.close();
    rmSync(this.#directory, { recursive: true, force: true });
  }

  async #play(): Promise<void> {
    const { seed, seconds, load, storeDelayMs } = this.#options;
    this.#startedAtMs = performance.now();
    const troubles = new Troubles(seed, this.#fleet, this.#traffic);
    Object.assign(this.#traffic.load, { urgent: load, batch: load });
    this.#fleet.store.delayMs = storeDelayMs;
    this.#traffic.start();
    for (let count = 0; count < INITIAL_LASTING; count += 1) this.#traffic.submit('lasting');
    const checking = setInterval(() => this.#observe(troubles), CHECK_INTERVAL_MS);
    const cancelling = setInterval(() => this.#cancelOldest(), CANCEL_INTERVAL_MS);
    const start = () => {
      troubles.startNext(this.#nowMs).forEach((name) => this.#note(name));
    };
    const first = setTimeout(start, FIRST_TROUBLE_MS);
    const next = setInterval(start, TROUBLE_INTERVAL_MS);
    await sleep(seconds * 1_000);
    [checking, cancelling, first, next].forEach((timer) => clearInterval(timer));
  }

  #note(text: string): void {
    this.#events.push(`${(this.#nowMs / 1_000).toFixed(1)} s ${text}`);
  }

  /** Lasting work goes on until it is cancelled; the oldest makes room for more. */
  #cancelOldest(): void {
    const lasting = this.#getLasting();
    const [oldest] = lasting;
    if (lasting.length > MAX_LASTING && oldest !== undefined) this.#traffic.cancel(oldest);
  }

  #getLasting(): readonly SoakSubmission[] {
    return this.#traffic.submissions.filter(
      ({ kind, state }) => kind === 'lasting' && state === 'accepted',
    );
  }

  #observe(troubles: Troubles): void {
    const nowMs = this.#nowMs;
    const usage = this.#fleet.getTeamUsage();
    const up = this.#fleet.workers
      .filter(({ target }) => target.isUp)
      .map((worker) => ({ worker, used: this.#fleet.getUsed(worker) }));
    const running = new Set(up.flatMap(({ worker }) => [...worker.target.runs.keys()] as string[]));
    const tasks = this.#getLasting().flatMap((submission) => {
      const keys = Array.from(
        { length: submission.steps[0]?.taskCount ?? 0 },
        (_, index) => `${submission.id}.0.0.${index}`,
      );
      const isComplete = keys.every((task) => running.has(task));
      const placeCount = isComplete ? 0 : this.#countPlaces(submission, up);
      const used = usage.get(submission.team) ?? 0;
      const isTeamBelowHalf = this.#fleet.isBelowHalf(submission.team, used);
      return keys.map((task): ObservedTask => {
        this.#lastingTasks.add(task);
        return { task, hasRun: running.has(task), placeCount, isTeamBelowHalf };
      });
    });
    const before = this.#check.lost.length;
    this.#check.observe(nowMs, troubles.isCalm(nowMs), tasks);
    this.#check.lost.slice(before).forEach(({ task, placeCount }) => {
      this.#note(`LOST ${task} has had no run for 3 s beside ${placeCount} places`);
    });
  }

  /** Counts the runs of a submission that fit on the approved targets. */
  #countPlaces(
    { id, steps }: SoakSubmission,
    up: readonly {
      readonly worker: FakeWorker;
      readonly used: ReturnType<Fleet['getUsed']>;
    }[],
  ): number {
    const [step] = steps;
    if (step === undefined) return 0;
    const stepKey = `${id}.0.0`;
    return up.reduce((sum, { worker: { target }, used }) => {
      if (!this.#fleet.advice.isApproved(stepKey, target.id)) return sum;
      const present = [...target.runs.keys()].filter((key) => key.startsWith(`${stepKey}.`)).length;
      let places = 0;
      let free = addDemand(target.capacity, used, -1);
      const isAllowed = () => step.maxPerTarget === 0 || present + places < step.maxPerTarget;
      while (places < step.taskCount && isAllowed() && isDemandFitting(step.demand, free)) {
        places += 1;
        free = addDemand(free, step.demand, -1);
      }
      return sum + places;
    }, 0);
  }

  #createReport(): RoundReport {
    const { nodes } = this.#fleet;
    return {
      lost: this.#check.lost,
      longestMs: Math.round(this.#check.longestMs),
      acceptedCount: this.#traffic.submissions.filter(({ state }) => state === 'accepted').length,
      lastingTaskCount: this.#lastingTasks.size,
      exitCount: nodes.reduce((sum, { exitCount }) => sum + exitCount, 0),
      events: this.#events,
      logs: new Map(nodes.map(({ log }, index) => [`node-${index + 1}`, log])),
    };
  }
}
