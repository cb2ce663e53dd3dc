/** Simulates jobs in virtual time: submits them to their home scheduler and observes where tasks run. */

import type { JobSpec, JobSummary } from '../../src/jobs/types';
import { getHomeShard } from '../../src/lease/shards';
import { toConfigVersion, toId } from '../../src/types/ids';
import type { JobId } from '../../src/types/ids';
import type { Result } from '../../src/types/outcomes';
import { createSheet, TARGET_CAPACITY } from './sheets';
import { World } from './world';

export const TEAM = 'team-a';
const OBSERVATION_INTERVAL_MS = 50;
const RETRY_DELAY_MS = 700;
const DATA_CENTRES = ['rotterdam', 'delft'];

/** Creates a job whose tasks take one slot each. */
export function createSpec(
  jobId: string,
  policy: JobSpec['policy'],
  overrides: Partial<JobSpec> = {},
): JobSpec {
  return {
    jobId: toId(jobId),
    queueId: toId(TEAM),
    policy,
    demand: { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 0, slots: 1, connections: 0 },
    expectedRunMs: 2_000,
    ...overrides,
  };
}

/** A simulated cluster with clients that submit jobs and an observer of all targets. */
export class JobWorld {
  readonly world: World;

  /** Violated invariants. */
  readonly violations: string[] = [];

  /** Ids of jobs whose submission was acknowledged. */
  readonly acknowledgedJobIds = new Set<string>();

  /** Run ids observed as running, by task. */
  readonly attempts = new Map<string, Set<string>>();

  /** When each job was first observed running, and when its number of running tasks last reached a new peak. */
  readonly rampUps = new Map<string, { firstRunningAtMs: number; peakAtMs: number }>();

  /** Peak number of running tasks of each job. */
  readonly peakRunningCounts = new Map<string, number>();

  #finishedRunIds = new Map<string, string>();

  constructor(seed: number, memberCount = 3) {
    this.world = new World({
      seed,
      memberCount,
      dataCentreIds: DATA_CENTRES,
      targetsPerDataCentre: 4,
      capacity: TARGET_CAPACITY,
    });
    this.world.runFor(2_000);
    const sheet = createSheet([TEAM], DATA_CENTRES, { limitSlots: 1_000 });
    const change = { kind: 'applySheet', basedOnVersion: toConfigVersion(0), sheet } as const;
    const call = { kind: 'changeConfig', change, operationId: toId('op-1') } as const;
    this.world.call(0, call as never, () => undefined);
    // Shards move to their preferred members about 10 s after the start.
    this.world.runFor(13_000);
    this.#observe();
  }

  /** Submits a job and retries until it is acknowledged, as a client does. */
  submit(spec: JobSpec): void {
    if (this.acknowledgedJobIds.has(spec.jobId)) return;
    const home = this.getHomeIndex(spec.jobId);
    if (home !== undefined) {
      const call = { kind: 'submitJob', spec, teamId: toId(TEAM) } as const;
      this.world.call(home, call as never, (value) => {
        if ((value as Result<JobSummary>).kind === 'ok') this.acknowledgedJobIds.add(spec.jobId);
      });
    }
    this.world.schedule(RETRY_DELAY_MS, () => this.submit(spec));
  }

  cancel(jobId: string, onDone: () => void): void {
    let isDone = false;
    const tryCancel = () => {
      if (isDone) return;
      const home = this.getHomeIndex(jobId);
      const call = { kind: 'cancelJob', jobId: toId(jobId), teamId: toId(TEAM) } as const;
      if (home !== undefined) {
        this.world.call(home, call as never, (value) => {
          if (isDone || (value as Result<JobSummary>).kind !== 'ok') return;
          isDone = true;
          onDone();
        });
      }
      this.world.schedule(RETRY_DELAY_MS, tryCancel);
    };
    tryCancel();
  }

  /** Queries the job's home for its summary; advances virtual time by 100 ms. */
  query(jobId: string): JobSummary | undefined {
    const home = this.getHomeIndex(jobId);
    let summary: JobSummary | undefined;
    if (home === undefined) return undefined;
    const call = { kind: 'getJob', jobId: toId(jobId), teamId: toId(TEAM) } as const;
    this.world.call(home, call as never, (value) => {
      const result = value as Result<JobSummary>;
      if (result.kind === 'ok') summary = result.value;
    });
    this.world.runFor(100);
    return summary;
  }

  getHomeIndex(jobId: string): number | undefined {
    const shardId = getHomeShard(toId<JobId>(jobId));
    const { nowMs } = this.world;
    const index = this.world.processes.findIndex(
      (process) =>
        !process.isDown &&
        process.pausedUntilMs <= nowMs &&
        process.core
          .dump(nowMs)
          .ownedShards.some((owned) => owned.shardId === shardId && owned.authorityForMs > 0),
    );
    return index < 0 ? undefined : index;
  }

  /** Returns the ids of the current runs on all targets, as `task~attempt`. */
  getRunning(state: 'running' | 'finished' = 'running'): readonly string[] {
    return [...this.world.targets.values()].flatMap((target) =>
      target.getTaskIds(state, this.world.nowMs),
    );
  }

  #observe(): void {
    const running = this.getRunning();
    const countByTask = new Map<string, number>();
    const countByJob = new Map<string, number>();
    running.forEach((runId) => {
      const taskId = runId.slice(0, runId.indexOf('~'));
      const jobId = taskId.slice(0, taskId.indexOf('/'));
      countByTask.set(taskId, (countByTask.get(taskId) ?? 0) + 1);
      countByJob.set(jobId, (countByJob.get(jobId) ?? 0) + 1);
      const attempts = this.attempts.get(taskId) ?? new Set();
      this.attempts.set(taskId, attempts.add(runId));
    });
    this.getRunning('finished').forEach((runId) => {
      const taskId = runId.slice(0, runId.indexOf('~'));
      const first = this.#finishedRunIds.get(taskId) ?? runId;
      this.#finishedRunIds.set(taskId, first);
      if (first !== runId) this.violations.push(`${taskId} finished as ${first} and ${runId}`);
    });
    countByTask.forEach((count, taskId) => {
      if (count > 1) this.violations.push(`${taskId} runs ${count} times at ${this.world.nowMs}`);
    });
    countByJob.forEach((count, jobId) => {
      const rampUp = this.rampUps.get(jobId) ?? { firstRunningAtMs: this.world.nowMs, peakAtMs: 0 };
      if (count > (this.peakRunningCounts.get(jobId) ?? 0)) rampUp.peakAtMs = this.world.nowMs;
      this.rampUps.set(jobId, rampUp);
      this.peakRunningCounts.set(jobId, Math.max(count, this.peakRunningCounts.get(jobId) ?? 0));
    });
    this.world.schedule(OBSERVATION_INTERVAL_MS, () => this.#observe());
  }
}
