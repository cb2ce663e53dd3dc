/** What an owner's host does while parts of the store do not answer after its takeover. */

import { PassThrough } from 'node:stream';
import * as E from 'fp-ts/Either';
import type { OwnerHost } from '../src/node/ownerHost';
import type { NodePorts, StartCall } from '../src/node/ports';
import {
  CANCELS_TABLE,
  getSubmissionParts,
  OWNER_PART,
  PROGRESS_TABLE,
  SUBMISSION_PARTS,
  SUBMISSIONS_TABLE,
} from '../src/node/tables';
import { createLogger } from '../src/observe/logger';
import type { RangeQuery, RowStore, StoredRow } from '../src/store/types';
import type { QueueId, SubmissionId } from '../src/types/ids';
import { encodeSubmission } from '../src/work/submissionSchema';
import {
  createAnsweringTargets,
  createAuthorizedHost,
  createPending,
  createPorts,
  delay,
} from './support/ownerHostPorts';
import { createSubmission, toSubmissionId } from './support/ownerWorld';

const DEMAND = { cpuMillis: 1, memoryMb: 1, accelerators: 0 };

/** By this time the owner has taken over and started what it may start. */
const TAKEN_OVER_MS = 1_200;

/** By this time a part that answers again has been read. */
const READ_MS = 1_300;

const FAILED_READ_MS = 20;

/** Its rows are in the parts `s0`, `s1` and `s2`. */
const ID = toSubmissionId(1);

const [FIRST, SECOND] = getSubmissionParts(ID) as [string, string];

const QUEUE_ID = 'queue-1' as QueueId;

function createRow(part: string, id: SubmissionId = ID, version = 2): StoredRow {
  const submission = { ...createSubmission(1, [{ taskCount: 2, demand: DEMAND }]), id };
  const value = encodeSubmission(submission);
  return { table: SUBMISSIONS_TABLE, part, key: id, version, value };
}

function createCancel(part: string, version = 3): StoredRow {
  return { table: CANCELS_TABLE, part, key: ID, version, value: '' };
}

function createProgress(value: object): StoredRow {
  const text = JSON.stringify(value);
  return { table: PROGRESS_TABLE, part: OWNER_PART, key: ID, version: 4, value: text };
}

class Scenario {
  readonly starts: StartCall[] = [];

  readonly silent: Set<string>;

  readonly stream = new PassThrough();

  readonly host: OwnerHost;

  readonly followedVersions = new Map<string, number>();

  readCount = 0;

  #started: Promise<void>;

  constructor(rows: readonly StoredRow[], silent: readonly string[], version = 5) {
    this.silent = new Set(silent);
    const follow: RowStore['follow'] = (table, afterVersion) => {
      this.followedVersions.set(table, afterVersion);
      return createPending();
    };
    const ports = createPorts(rows, follow, createAnsweringTargets(this.starts));
    const readRange = this.#limit(ports.store.readRange, version);
    const logger = createLogger('test', 'node-1', 'info', this.stream);
    const limited: NodePorts = { ...ports, logger, store: { ...ports.store, readRange } };
    this.host = createAuthorizedHost(limited);
    this.#started = this.host.start();
  }

  /** A part that is read late has a later version. */
  #limit(readRange: RowStore['readRange'], version: number): RowStore['readRange'] {
    return async (query: RangeQuery, timeoutMs) => {
      this.readCount += 1;
      if (!this.silent.has(`${query.table}/${query.part}`) && !this.silent.has(query.part)) {
        const page = await readRange(query, timeoutMs);
        return E.isLeft(page) ? page : E.right({ ...page.right, storeVersion: version });
      }
      await delay(FAILED_READ_MS);
      return E.left({ kind: 'unknown', detail: 'no answer' });
    };
  }

  answer(): Promise<void> {
    this.silent.clear();
    return delay(READ_MS);
  }

  async stop(): Promise<readonly { readonly msg: string }[]> {
    this.host.stop();
    await this.#started;
    const lines = String(this.stream.read() ?? '').split('\n');
    return lines.filter(Boolean).map((line) => JSON.parse(line) as { readonly msg: string });
  }
}

describe('a submission in a silent part', () => {
  test('is not said to be unknown, is not left out of a count, and starts when it is read', async () => {
    const scenario = new Scenario([createRow(FIRST)], [FIRST]);
    await delay(TAKEN_OVER_MS);
    expect(scenario.host.core).toBeDefined();
    expect(scenario.host.getView(ID)).toBeUndefined();
    expect(scenario.host.getView('ffff000000000000' as SubmissionId)).toEqual({ kind: 'unknown' });
    expect(scenario.host.getWaitingCount(QUEUE_ID)).toBeUndefined();
    expect(scenario.starts).toHaveLength(0);
    await scenario.answer();
    const lines = await scenario.stop();
    expect(scenario.starts).toHaveLength(2);
    expect(scenario.host.getView(ID)).toMatchObject({ kind: 'known' });
    expect(scenario.host.getWaitingCount(QUEUE_ID)).toBe(1);
    const missing = [`${SUBMISSIONS_TABLE}/${FIRST}`, `${CANCELS_TABLE}/${FIRST}`];
    const messages = lines.map(({ msg }) => msg);
    expect(lines.find(({ msg }) => msg === 'takeover goes on without parts of the store')).toEqual(
      expect.objectContaining({ missing }),
    );
    expect(messages.filter((message) => message === 'part of the store read late')).toHaveLength(2);
    expect(messages).toContain('all parts of the store are read');
  });

  test.each([
    ['has ended', { outcome: 'succeeded', outcomeAtMs: Date.now() }, 0, 'succeeded'],
    ['has done a task', { hasBegun: true, steps: { '0.0': { done: '1' } } }, 1, 'running'],
  ])('that %s keeps its progress', async (_name, progress, startCount, state) => {
    const rows = [createRow(FIRST), createProgress(progress)];
    const scenario = new Scenario(rows, [FIRST]);
    await delay(TAKEN_OVER_MS);
    await scenario.answer();
    await scenario.stop();
    expect(scenario.host.getView(ID)).toMatchObject({ state });
    expect(scenario.starts.map(({ taskKey }) => taskKey)).toHaveLength(startCount);
  });

  // A gate has stored it again, in the second part, as the first one did not answer.
  test.each(['read at the takeover', 'announced'])(
    'keeps its progress when a second row of it is %s',
    async (way) => {
      const progress = createProgress({ hasBegun: true, steps: { '0.0': { done: '0' } } });
      const isRead = way === 'read at the takeover';
      const rows = [createRow(FIRST), progress, ...(isRead ? [createRow(SECOND)] : [])];
      const scenario = new Scenario(rows, [`${SUBMISSIONS_TABLE}/${FIRST}`]);
      await delay(TAKEN_OVER_MS);
      if (!isRead) scenario.host.submit(createRow(SECOND).value);
      await delay(200);
      expect(scenario.starts).toHaveLength(1);
      await scenario.answer();
      await scenario.stop();
      expect(scenario.starts).toHaveLength(1);
    },
  );

  test('is cancelled when its cancellation was read before it', async () => {
    const rows = [createRow(FIRST), createCancel(FIRST)];
    const scenario = new Scenario(rows, [`${SUBMISSIONS_TABLE}/${FIRST}`]);
    await delay(TAKEN_OVER_MS);
    await scenario.answer();
    await scenario.stop();
    expect(scenario.host.getView(ID)).toMatchObject({ state: 'cancelled' });
    expect(scenario.starts).toHaveLength(0);
  });
});

describe('a submission whose cancellation may be in a silent part', () => {
  test.each([FIRST, SECOND])('does not start until %s is read', async (part) => {
    const scenario = new Scenario([createRow(FIRST)], [`${CANCELS_TABLE}/${part}`]);
    await delay(TAKEN_OVER_MS);
    scenario.host.submit(createRow(FIRST).value);
    await delay(100);
    expect(scenario.starts).toHaveLength(0);
    expect(scenario.host.getView(ID)).toBeUndefined();
    expect(scenario.host.getWaitingCount(QUEUE_ID)).toBe(1);
    await scenario.answer();
    await scenario.stop();
    expect(scenario.starts).toHaveLength(2);
  });

  test('does not start when it is cancelled there', async () => {
    const rows = [createRow(FIRST), createCancel(SECOND)];
    const scenario = new Scenario(rows, [SECOND]);
    await delay(TAKEN_OVER_MS);
    await scenario.answer();
    await scenario.stop();
    expect(scenario.host.getView(ID)).toMatchObject({ state: 'cancelled' });
    expect(scenario.starts).toHaveLength(0);
  });

  test('does not start when a gate announces it and its cancellation is read later', async () => {
    const rows = [createCancel(FIRST)];
    const scenario = new Scenario(rows, [`${CANCELS_TABLE}/${FIRST}`]);
    await delay(TAKEN_OVER_MS);
    scenario.host.submit(createRow(FIRST).value);
    await delay(200);
    expect(scenario.starts).toHaveLength(0);
    await scenario.answer();
    await scenario.stop();
    expect(scenario.host.getView(ID)).toMatchObject({ state: 'cancelled' });
    expect(scenario.starts).toHaveLength(0);
  });
});

describe('the takeover', () => {
  test('follows the changes of all parts from the version of those that it has read', async () => {
    const scenario = new Scenario([createRow(FIRST)], [FIRST], 9);
    await delay(TAKEN_OVER_MS);
    await scenario.stop();
    expect(scenario.followedVersions.get(SUBMISSIONS_TABLE)).toBe(9);
    expect(scenario.followedVersions.get(CANCELS_TABLE)).toBe(9);
  });

  test.each([
    ['all parts are silent', SUBMISSION_PARTS],
    ['all parts of a table are silent', SUBMISSION_PARTS.map((part) => `${CANCELS_TABLE}/${part}`)],
    ['its own part is silent', [OWNER_PART]],
  ])('waits as before while %s', async (_name, silent) => {
    const scenario = new Scenario([createRow(FIRST)], silent);
    await delay(TAKEN_OVER_MS);
    expect(scenario.host.core).toBeUndefined();
    await scenario.answer();
    await scenario.stop();
    expect(scenario.starts).toHaveLength(2);
  });

  test('reads a silent part again with pauses, and not after it has ended', async () => {
    const scenario = new Scenario([], [FIRST]);
    await delay(TAKEN_OVER_MS);
    const before = scenario.readCount;
    await delay(1_500);
    expect(scenario.readCount - before).toBeLessThanOrEqual(8);
    expect(scenario.readCount - before).toBeGreaterThanOrEqual(2);
    await scenario.stop();
    const after = scenario.readCount;
    await delay(1_100);
    expect(scenario.readCount).toBe(after);
  });
});
