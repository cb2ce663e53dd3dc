/**
 * Processor time of the owner's process by number of targets, over real connections. The targets, the store and the
 * other nodes share the process of the benchmark; the owner runs alone in its own.
 */

import * as E from 'fp-ts/Either';
import { setTimeout as sleep } from 'node:timers/promises';
import { StoreClient } from '../platform/storeClient';
import { getSubmissionPart, SUBMISSIONS_TABLE } from '../src/node/tables';
import { openPeerLink } from '../src/peer/peerLink';
import type { PeerLink } from '../src/peer/peerLink';
import { HttpClient } from '../src/rpc/httpClient';
import type { Epoch, NodeId } from '../src/types/ids';
import { encodeSubmission } from '../src/work/submissionSchema';
import { FakeRowStore } from '../standins/fakeRowStore';
import { FakeWorker } from '../standins/fakeWorker';
import { createSubmission } from '../tests/support/ownerSubmissions';
import { CONFIG } from '../tests/support/platformDeployment';
import type { ProbeReading } from './ownerProbe';
import { OwnerProcess } from './ownerProcess';
import type { ProfileShares } from './profileShares';
import type { Benchmark, Figure } from './types';

/**
 * Targets, nodes that send heartbeats, and starts per second: in proportion to the targets, and last the load of the
 * owner on the hardest day.
 */
const SIZES = [
  { targetCount: 30, followerCount: 9, startsPerSecond: 40 },
  { targetCount: 100, followerCount: 32, startsPerSecond: 133 },
  { targetCount: 300, followerCount: 96, startsPerSecond: 400 },
  { targetCount: 300, followerCount: 96, startsPerSecond: 800 },
] as const;

const TASKS_PER_SUBMISSION = 10;
const TASK_DURATION_MS = 3_000;
const DEMAND = { cpuMillis: 1_600, memoryMb: 256, accelerators: 0 };

/** The first ends come after a task's duration; the compiler of Node.js needs some seconds as well. */
const WARM_UP_MS = 6_000;
const MEASURE_MS = 5_000;
const PROFILE_MS = 3_000;
const TAKEOVER_TIMEOUT_MS = 10_000;
const RETRY_DELAY_MS = 100;

const BASE_PORT = 24_800;
const CALL_TIMEOUT_MS = 1_000;
const HEARTBEAT_INTERVAL_MS = 200;
const SUBMIT_INTERVAL_MS = 5;
const MS_PER_SECOND = 1_000;
const US_PER_MS = 1_000;

/** The stand-ins register once, as the platform reports an entry only when more than its counter changes. */
const REGISTRATION_INTERVAL_MS = 600_000;

const FOLLOWER_MILLIS = 100;
const TOP_FUNCTION_COUNT = 25;

/** Set to any value, prints the functions with the most processor time. */
const TOP_VARIABLE = 'HEMLOCKWAY_BENCH_TOP';

type Size = (typeof SIZES)[number];

/** Numbers of calls that the targets have received. */
interface Counts {
  startCount: number;
  pollCount: number;
}

/** Targets, store and other nodes of one owner. */
class OwnerSurroundings {
  #size: Size;

  #store = new FakeRowStore();

  #workers: FakeWorker[] = [];

  #httpClient = new HttpClient();

  #links: PeerLink[] = [];

  #timers: NodeJS.Timeout[] = [];

  #startCount = 0;

  #submissionCount = 0;

  /** @param size - number of targets and nodes */
  constructor(size: Size) {
    this.#size = size;
  }

  get counts(): Counts {
    const pollCount = this.#workers.reduce((sum, worker) => sum + worker.pollCount, 0);
    return { startCount: this.#startCount, pollCount };
  }

  /** Starts the store and the targets and returns the address of the store. */
  async start(): Promise<string> {
    const storeAddress = await this.#store.listen();
    this.#store.put('op', 'config', CONFIG);
    this.#workers = Array.from(
      { length: this.#size.targetCount },
      (_, index) =>
        new FakeWorker(`i-${index}`, this.#store, {
          onStart: () => {
            this.#startCount += 1;
            return { workMs: TASK_DURATION_MS, how: 'done', isGang: false };
          },
          onEnd: () => undefined,
          onAcknowledged: () => undefined,
        }),
    );
    await Promise.all(this.#workers.map((worker) => worker.start(REGISTRATION_INTERVAL_MS)));
    return storeAddress;
  }

  /** Connects the other nodes once the owner has taken over, and starts their heartbeats and submissions. */
  async connect(owner: OwnerProcess, storeAddress: string): Promise<void> {
    const first = await OwnerSurroundings.#openLink(owner.peerAddress);
    const epoch = await OwnerSurroundings.#waitForOwner(first);
    const others = Array.from({ length: this.#size.followerCount - 1 }, () =>
      OwnerSurroundings.#openLink(owner.peerAddress),
    );
    [first, ...(await Promise.all(others))].forEach((link, index) => {
      const beat = () => OwnerSurroundings.#sendHeartbeat(link, `node-${index}`, epoch);
      this.#links.push(link);
      setTimeout(
        () => this.#timers.push(setInterval(beat, HEARTBEAT_INTERVAL_MS)),
        (index * HEARTBEAT_INTERVAL_MS) / this.#size.followerCount,
      );
    });
    const store = new StoreClient(this.#httpClient, storeAddress);
    const perMs = this.#size.startsPerSecond / TASKS_PER_SUBMISSION / MS_PER_SECOND;
    const startedAtMs = performance.now();
    const submitDue = () => {
      const dueCount = (performance.now() - startedAtMs) * perMs;
      while (this.#submissionCount < dueCount) this.#submit(store);
    };
    this.#timers.push(setInterval(submitDue, SUBMIT_INTERVAL_MS));
  }

  /** Stops everything. */
  async stop(): Promise<void> {
    this.#timers.forEach((timer) => clearInterval(timer));
    this.#links.forEach((link) => link.close());
    this.#workers.forEach((worker) => worker.stop());
    this.#store.close();
    await this.#httpClient.close();
  }

  /** Stores a submission and announces it to the owner, as a gate does. */
  #submit(store: StoreClient): void {
    this.#submissionCount += 1;
    const step = { taskCount: TASKS_PER_SUBMISSION, estimateMs: TASK_DURATION_MS, demand: DEMAND };
    const submission = createSubmission(this.#submissionCount, [step]);
    const address = { table: SUBMISSIONS_TABLE, part: getSubmissionPart(submission.id) };
    const text = encodeSubmission(submission);
    const row = { ...address, key: submission.id };
    const link = this.#links[this.#submissionCount % this.#links.length];
    store
      .transact(
        { conditions: [{ ...row, version: 0 }], puts: [{ ...row, value: text }], removals: [] },
        CALL_TIMEOUT_MS,
      )
      .then(() => link?.call('submitted', { text }, CALL_TIMEOUT_MS))
      .catch(() => undefined);
  }

  static async #openLink(address: string): Promise<PeerLink> {
    const endMs = performance.now() + TAKEOVER_TIMEOUT_MS;
    while (performance.now() < endMs) {
      const events = { onClosed: () => undefined };
      const link = await openPeerLink(address, { ping: () => ({}) }, events, CALL_TIMEOUT_MS);
      if (E.isRight(link)) return link.right;
      await sleep(RETRY_DELAY_MS);
    }
    throw new Error('the owner does not listen');
  }

  static async #waitForOwner(link: PeerLink): Promise<Epoch> {
    const endMs = performance.now() + TAKEOVER_TIMEOUT_MS;
    while (performance.now() < endMs) {
      const reply = await OwnerSurroundings.#beat(link, 'node-0', 0 as Epoch);
      if (reply.ownedEpoch > 0) return reply.ownedEpoch as Epoch;
      await sleep(RETRY_DELAY_MS);
    }
    throw new Error('the node does not become the owner');
  }

  static #beat(link: PeerLink, nodeId: string, epoch: Epoch) {
    const params = {
      ...{ nodeId: nodeId as NodeId, epoch, operatorVersion: 0, isStoreReachable: true },
      ...{ startedAtMs: 1, processorMillis: FOLLOWER_MILLIS },
    };
    return link.call('heartbeat', params, CALL_TIMEOUT_MS);
  }

  static #sendHeartbeat(link: PeerLink, nodeId: string, epoch: Epoch): void {
    OwnerSurroundings.#beat(link, nodeId, epoch).catch(() => undefined);
  }
}

/** Readings at the start and at the end of a measurement. */
interface Measurement {
  readonly before: ProbeReading;
  readonly after: ProbeReading;
  readonly startCount: number;
  readonly pollCount: number;
  readonly harnessCpuMs: number;
}

function toFigures(size: Size, measurement: Measurement, profile: ProfileShares) {
  const { before, after, startCount, pollCount, harnessCpuMs } = measurement;
  const elapsedMs = after.atMs - before.atMs;
  const cpuMs = after.cpuMs - before.cpuMs;
  const seconds = elapsedMs / MS_PER_SECOND;
  const getRate = (field: 'wakeUpCount' | 'readCallCount' | 'writeCallCount' | 'scavengeCount') =>
    (after[field] - before[field]) / seconds;
  const getShare = (timeMs: number) => (100 * timeMs) / elapsedMs;
  const profiledMs = profile.parts.reduce((sum, { timeMs }) => sum + timeMs, 0);
  const figures: readonly Figure[] = [
    { name: 'starts', value: startCount / seconds, unit: '1/s' },
    { name: 'polls', value: pollCount / seconds, unit: '1/s' },
    { name: 'owner', value: getShare(cpuMs), unit: '% of a core' },
    { name: 'harness', value: getShare(harnessCpuMs), unit: '% of a core' },
    { name: 'processor time per start', value: cpuMs / startCount, unit: 'ms' },
    {
      name: 'processor time per start or poll',
      value: (US_PER_MS * cpuMs) / (startCount + pollCount),
      unit: 'us',
    },
    ...profile.parts.map(({ name, timeMs }) => ({
      name: `${name}, per start`,
      value: ((timeMs / profiledMs) * cpuMs) / startCount,
      unit: 'ms',
    })),
    { name: 'wake-ups', value: getRate('wakeUpCount'), unit: '1/s' },
    { name: 'read calls', value: getRate('readCallCount'), unit: '1/s' },
    { name: 'write calls', value: getRate('writeCallCount'), unit: '1/s' },
    { name: 'scavenges', value: getRate('scavengeCount'), unit: '1/s' },
    {
      name: 'scavenging',
      value: getShare(after.scavengeMs - before.scavengeMs),
      unit: '% of the time',
    },
    {
      name: 'other garbage collection',
      value: getShare(after.otherCollectionMs - before.otherCollectionMs),
      unit: '% of the time',
    },
    { name: 'event loop delay, p99', value: after.loopDelayP99Ms, unit: 'ms' },
    { name: 'resident', value: after.residentMb, unit: 'MB' },
    { name: 'heap in use', value: after.heapUsedMb, unit: 'MB' },
  ];
  const prefix = `${size.targetCount} targets, ${size.startsPerSecond}/s`;
  return figures.map((figure) => ({ ...figure, name: `${prefix}: ${figure.name}` }));
}

function printTop({ functions, parts }: ProfileShares): void {
  const totalMs = parts.reduce((sum, { timeMs }) => sum + timeMs, 0);
  functions.slice(0, TOP_FUNCTION_COUNT).forEach(({ name, timeMs }) => {
    process.stderr.write(`${((100 * timeMs) / totalMs).toFixed(1).padStart(5)} % ${name}\n`);
  });
}

function getCpuMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / US_PER_MS;
}

async function measure(size: Size, sizeIndex: number): Promise<readonly Figure[]> {
  const surroundings = new OwnerSurroundings(size);
  const storeAddress = await surroundings.start();
  const owner = new OwnerProcess(storeAddress, BASE_PORT + 2 * sizeIndex);
  try {
    await surroundings.connect(owner, storeAddress);
    await sleep(WARM_UP_MS);
    const before = await owner.read();
    const countsBefore = surroundings.counts;
    const harnessCpuBeforeMs = getCpuMs();
    await sleep(MEASURE_MS);
    const after = await owner.read();
    const { counts } = surroundings;
    const measurement: Measurement = {
      ...{ before, after, harnessCpuMs: getCpuMs() - harnessCpuBeforeMs },
      startCount: counts.startCount - countsBefore.startCount,
      pollCount: counts.pollCount - countsBefore.pollCount,
    };
    owner.startProfile();
    await sleep(PROFILE_MS);
    const profile = await owner.stopProfile();
    if (process.env[TOP_VARIABLE] !== undefined) printTop(profile);
    return toFigures(size, measurement, profile);
  } finally {
    owner.stop();
    await surroundings.stop();
  }
}

/** The `ownerLoad` benchmark. */
export const ownerLoad: Benchmark = {
  name: 'ownerLoad',
  description: "processor time of the owner's process by number of targets, over real connections",
  async run() {
    const figures: Figure[] = [];
    for (const [index, size] of SIZES.entries()) figures.push(...(await measure(size, index)));
    return figures;
  },
};
