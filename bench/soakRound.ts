/** One round of the soak test: three schedulers run jobs and requests under random faults, in virtual time. */

import * as fc from 'fast-check';
import { getHomeShard } from '../src/lease/shards';
import type { RequestStart } from '../src/rpc/types';
import { toId } from '../src/types/ids';
import type { RequestOutcome } from '../src/types/outcomes';
import { createUuidV7 } from '../demo/loadGenerator';
import { arbitraryFaults, scheduleFaults } from '../tests/support/faults';
import { createSpec, JobWorld, TEAM } from '../tests/support/jobWorld';

const MEMBER_COUNT = 3;
const FAULT_WINDOW_MS = 25_000;
const MAX_FAULT_DURATION_MS = 15_000;
const RECOVERY_MS = 60_000;
const REQUEST_INTERVAL_MS = 40;
const OWNER_CHECK_INTERVAL_MS = 100;
const JOB_COUNT = 4;
const TASK_COUNT = 3;

/** Counters and invariant violations of one round. */
export interface SoakReport {
  readonly eventCount: number;
  readonly runCount: number;
  readonly answeredCount: number;
  readonly notRunCount: number;
  readonly unknownCount: number;
  readonly violations: readonly string[];
}

/** A request that was sent, and its outcome once known. */
interface SentRequest {
  readonly requestId: string;
  readonly isIdempotent: boolean;
  outcome: RequestOutcome | undefined;
}

/** Generates the faults and the work of one round, and checks the invariants. */
export class SoakRound {
  #jobs: JobWorld;

  #seed: number;

  #sentRequests: SentRequest[] = [];

  #violations: string[] = [];

  /**
   * @param seed - seeds the faults, latencies and work
   */
  constructor(seed: number) {
    this.#seed = seed;
    this.#jobs = new JobWorld(seed, MEMBER_COUNT);
  }

  /** @returns the counters and the invariant violations of the round */
  run(): SoakReport {
    const { world } = this.#jobs;
    const [faults = []] = fc.sample(
      arbitraryFaults(MEMBER_COUNT, FAULT_WINDOW_MS, MAX_FAULT_DURATION_MS),
      {
        seed: this.#seed,
        numRuns: 1,
      },
    );
    scheduleFaults(world, faults);
    for (let index = 0; index < JOB_COUNT; index += 1) {
      const policy = { kind: index % 2 === 0 ? 'batch' : 'gang', taskCount: TASK_COUNT } as const;
      this.#jobs.submit(createSpec(`job-${index}`, policy));
    }
    this.#scheduleRequest();
    this.#scheduleOwnerCheck();
    world.runFor(FAULT_WINDOW_MS + MAX_FAULT_DURATION_MS + RECOVERY_MS);
    this.#checkRequests();
    this.#checkTargetsAndJobs();
    return this.#createReport();
  }

  #scheduleRequest(): void {
    const { world } = this.#jobs;
    if (world.nowMs > FAULT_WINDOW_MS + MAX_FAULT_DURATION_MS) return;
    world.schedule(REQUEST_INTERVAL_MS, () => {
      this.#sendRequest();
      this.#scheduleRequest();
    });
  }

  #sendRequest(): void {
    const { world } = this.#jobs;
    const isIdempotent = this.#sentRequests.length % 3 !== 0;
    const isRepeat = !isIdempotent && world.random.nextInt(4) === 0;
    const lastNonIdempotent = this.#sentRequests.filter((sent) => !sent.isIdempotent).at(-1);
    const requestId =
      isRepeat && lastNonIdempotent !== undefined
        ? lastNonIdempotent.requestId
        : createUuidV7(world.nowMs);
    const index = isIdempotent ? world.random.nextInt(MEMBER_COUNT) : this.#getHomeIndex(requestId);
    if (index === undefined || world.processes[index]?.isDown !== false) return;
    const sent: SentRequest = { requestId, isIdempotent, outcome: undefined };
    this.#sentRequests.push(sent);
    const call: RequestStart = {
      kind: 'startRequest',
      requestId: toId(requestId),
      cancelId: `${this.#sentRequests.length}`,
      teamId: toId(TEAM),
      keyId: toId(`key-${TEAM}`),
      queueId: toId(TEAM),
      serviceName: '',
      isIdempotent,
      windowRemainingMs: 1_500,
      contentType: 'text/plain',
      bodyBase64: Buffer.from(String(5 + world.random.nextInt(200))).toString('base64'),
    };
    world.call(index, call, (value) => {
      sent.outcome = value as RequestOutcome;
    });
  }

  #getHomeIndex(requestId: string): number | undefined {
    const { world } = this.#jobs;
    const shardId = getHomeShard(requestId);
    const index = world.processes.findIndex(
      (process) =>
        !process.isDown &&
        process.core
          .dump(world.nowMs)
          .ownedShards.some((owned) => owned.shardId === shardId && owned.authorityForMs > 0),
    );
    return index < 0 ? undefined : index;
  }

  #scheduleOwnerCheck(): void {
    const { world } = this.#jobs;
    world.schedule(OWNER_CHECK_INTERVAL_MS, () => {
      this.#checkOwners();
      this.#scheduleOwnerCheck();
    });
  }

  #checkOwners(): void {
    const { world } = this.#jobs;
    const authorizedShardIds = world.processes
      .filter((process) => !process.isDown)
      .flatMap((process) => process.core.dump(world.nowMs).ownedShards)
      .filter((shard) => shard.authorityForMs > 0)
      .map((shard) => shard.shardId);
    const duplicates = authorizedShardIds.filter(
      (shardId, index) => authorizedShardIds.indexOf(shardId) !== index,
    );
    duplicates.forEach((shardId) => {
      this.#violations.push(`${shardId} has two owners at ${world.nowMs} ms`);
    });
  }

  #checkRequests(): void {
    const runCountById = new Map<string, number>();
    this.#jobs.world.requestRuns.forEach(({ requestId }) => {
      runCountById.set(requestId, (runCountById.get(requestId) ?? 0) + 1);
    });
    const sendingsById = new Map<string, SentRequest[]>();
    this.#sentRequests.forEach((sent) => {
      sendingsById.set(sent.requestId, [...(sendingsById.get(sent.requestId) ?? []), sent]);
    });
    sendingsById.forEach((sendings, requestId) => {
      const runCount = runCountById.get(requestId) ?? 0;
      const isNotRun = sendings.every(({ outcome }) => outcome?.kind === 'refusedNotRun');
      if (isNotRun && runCount > 0)
        this.#violations.push(`${requestId} ran but was reported as not run`);
      const isIdempotent = sendings.every((sent) => sent.isIdempotent);
      if (!isIdempotent && runCount > 1)
        this.#violations.push(`non-idempotent ${requestId} ran ${runCount} times`);
    });
  }

  #checkTargetsAndJobs(): void {
    this.#jobs.world.targets.forEach((target, address) => {
      target.violations.forEach(({ detail }) => this.#violations.push(`${address}: ${detail}`));
    });
    const unfinished = [...this.#jobs.acknowledgedJobIds].filter(
      (jobId) => this.#jobs.query(jobId)?.phase !== 'finished',
    );
    unfinished.forEach((jobId) => this.#violations.push(`acknowledged ${jobId} did not finish`));
  }

  #createReport(): SoakReport {
    const count = (kind: RequestOutcome['kind']) =>
      this.#sentRequests.filter((sent) => sent.outcome?.kind === kind).length;
    return {
      eventCount: this.#jobs.world.eventCount,
      runCount: this.#jobs.world.requestRuns.length,
      answeredCount: count('answered'),
      notRunCount: count('refusedNotRun'),
      unknownCount: count('unknown'),
      violations: [...this.#violations, ...this.#jobs.violations],
    };
  }
}
