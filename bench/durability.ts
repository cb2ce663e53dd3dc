/** Write load that the journal puts on the platform, compared with one row per change. */

import { Journal } from '../src/journal/journal';
import { SnapshotWriter } from '../src/journal/snapshotWriter';
import type { FenceSource, JournalCall, JournalContent } from '../src/journal/types';
import { createTaskEntry, createJob, encodeEntry } from '../src/jobs/job';
import { getHomeShard, HOME_SHARD_COUNT } from '../src/lease/shards';
import type { JobSpec } from '../src/jobs/types';
import type { RowCheck } from '../src/platform/types';
import { toEpoch, toId } from '../src/types/ids';
import type { ShardId } from '../src/types/ids';
import { Random } from '../src/types/random';
import { FakePlatform } from '../standins/fakePlatform';
import type { Benchmark, Figure } from './types';

const WRITER_COUNT = 9;
const DURATION_S = 300; // long enough to include snapshots and trimming
const TICK_INTERVAL_MS = 100;
const LATENCY_MS = 5;
const RATES_PER_S = [60, 200, 590] as const;
const TASKS_PER_JOB = 40;
const SEED = 1;
/** Each start writes two entries: its placement and its end. */
const ENTRIES_PER_START = 2;

interface Traffic {
  readonly store: FakePlatform;
  bytes: number;
  acknowledgementMs: number[];
}

const DEMAND = { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 0, slots: 1, connections: 0 };

function createEmptyContent(shardId: ShardId): JournalContent {
  return {
    shardId,
    snapshot: null,
    entries: [],
    lastSequence: 0,
    headSequence: 0,
    headVersion: 0,
    headSnapshotName: '',
    keptSequences: [],
  };
}

/** The benchmark stores no lease rows: version 0 checks that the row is absent, which always holds. */
const NO_LEASE_ROWS: FenceSource = {
  tryGetFence: (shardId: ShardId): RowCheck => ({ key: `shard/${shardId}`, version: 0 }),
};

/** The journal and the snapshots of one scheduler, on a platform that answers after a fixed latency. */
class SimulatedWriter {
  readonly shardIds: readonly ShardId[];

  readonly #journal: Journal<number>;

  readonly #snapshots: SnapshotWriter;

  readonly #traffic: Traffic;

  #calls: JournalCall[] = [];

  constructor(index: number, traffic: Traffic) {
    this.#traffic = traffic;
    this.shardIds = Array.from({ length: HOME_SHARD_COUNT }, (_, shard) => shard)
      .filter((shard) => shard % WRITER_COUNT === index)
      .map((shard) => toId<ShardId>(`home.${shard}`));
    this.#journal = new Journal(`w${index}`, NO_LEASE_ROWS);
    this.#snapshots = new SnapshotWriter(`w${index}`, NO_LEASE_ROWS, {
      createSnapshot: () => '[]',
    });
    this.shardIds.forEach((shardId) => {
      this.#journal.open(shardId, 0);
      this.#snapshots.open(createEmptyContent(shardId));
    });
  }

  append(nowMs: number, shardId: ShardId, entry: Parameters<Journal<number>['append']>[2]): void {
    this.#journal.append(nowMs, shardId, entry, [nowMs], true);
  }

  tick(nowMs: number): void {
    const calls = this.#calls;
    this.#calls = [];
    calls.forEach((call) => this.#perform(nowMs, call));
    this.#calls.push(
      ...this.#journal.tryFlush(nowMs, WRITER_COUNT),
      ...this.#snapshots.tick(nowMs),
    );
  }

  #perform(nowMs: number, { origin, call }: JournalCall): void {
    const { store } = this.#traffic;
    this.#traffic.bytes += JSON.stringify(call).length;
    const result = store.perform(call, nowMs);
    if (origin.kind !== 'journalWrite') {
      this.#calls.push(...this.#snapshots.applyResult(nowMs, origin as never, result));
      return;
    }
    const outcome = this.#journal.applyResult(origin.operationId, result);
    outcome.committed.forEach((row) => this.#snapshots.addRow(row.shardId, row.sequence));
    // The call was sent in the previous tick and answered LATENCY_MS later.
    const durableAtMs = nowMs - TICK_INTERVAL_MS + LATENCY_MS;
    outcome.releasedEffects.forEach((appendedAtMs) => {
      this.#traffic.acknowledgementMs.push(durableAtMs - appendedAtMs);
    });
  }
}

function getQuantile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length * fraction)] ?? 0;
}

function measure(ratePerS: number): readonly Figure[] {
  const traffic: Traffic = { store: new FakePlatform(), bytes: 0, acknowledgementMs: [] };
  const random = new Random(SEED);
  const writers = Array.from(
    { length: WRITER_COUNT },
    (_, index) => new SimulatedWriter(index, traffic),
  );
  const writerByShard = new Map(
    writers.flatMap((writer) => writer.shardIds.map((shardId) => [shardId, writer] as const)),
  );
  let changeCount = 0;
  let dueEntryCount = 0;
  for (let nowMs = 0; nowMs < DURATION_S * 1_000; nowMs += TICK_INTERVAL_MS) {
    dueEntryCount += (ratePerS * ENTRIES_PER_START * TICK_INTERVAL_MS) / 1_000;
    for (; dueEntryCount >= 1; dueEntryCount -= 1) {
      const jobId = `job-${random.nextInt(ratePerS * 10)}`;
      const shardId = getHomeShard(jobId);
      const spec = {
        jobId,
        queueId: 'queue',
        policy: { kind: 'batch', taskCount: TASKS_PER_JOB },
        demand: DEMAND,
        expectedRunMs: 1,
      } as unknown as JobSpec;
      const job = createJob(spec, toId('team'), 1);
      const task = job.tasks[random.nextInt(TASKS_PER_JOB)];
      if (task === undefined) continue;
      const placement = {
        attempt: 1,
        shardId: toId<ShardId>('targets.rotterdam.1'),
        epoch: toEpoch(3),
      };
      task.state = { kind: 'assigned', placement };
      const entry = encodeEntry(createTaskEntry(spec.jobId, task));
      writerByShard.get(shardId)?.append(nowMs, shardId, entry);
      changeCount += 1;
    }
    writers.forEach((writer) => writer.tick(nowMs));
  }
  const { counts } = traffic.store;
  const withPrefix = (text: string) => `${ratePerS} starts/s: ${text}`;
  return [
    {
      name: withPrefix('rows written'),
      value: counts.writtenRowCount / DURATION_S,
      unit: 'rows/s',
    },
    { name: withPrefix('write calls'), value: counts.writeCount / DURATION_S, unit: 'calls/s' },
    { name: withPrefix('reads'), value: counts.readCount / DURATION_S, unit: 'reads/s' },
    {
      name: withPrefix('bytes to the platform'),
      value: traffic.bytes / DURATION_S / 1_000,
      unit: 'kB/s',
    },
    {
      name: withPrefix('time to durability, median'),
      value: getQuantile(traffic.acknowledgementMs, 0.5),
      unit: 'ms',
    },
    {
      name: withPrefix('time to durability, 99th percentile'),
      value: getQuantile(traffic.acknowledgementMs, 0.99),
      unit: 'ms',
    },
    {
      name: withPrefix('baseline, a row per change'),
      value: changeCount / DURATION_S,
      unit: 'rows/s',
    },
  ];
}

/** The `durability` benchmark: write load of nine schedulers at start rates up to the design load. */
export const durability: Benchmark = {
  name: 'durability',
  description: 'rows and bytes written by the journal at 60, 200 and 590 starts/s',
  run: async () => RATES_PER_S.flatMap(measure),
};
