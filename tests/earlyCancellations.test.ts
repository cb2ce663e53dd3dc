/**
 * Guards against a submission that runs although its cancelling was answered, as it was on its way through another node
 * then (UNASKED), and against cancellations of others that take its place (LOST).
 */

import { spawnSync } from 'node:child_process';
import { connect } from 'node:net';
import { PassThrough } from 'node:stream';
import * as E from 'fp-ts/Either';
import { createFrontHandler } from '../platform/ingress';
import { AcceptanceWriter } from '../src/node/acceptance';
import { CancellationLog } from '../src/node/cancellationLog';
import { CancellationLimit } from '../src/node/cancellationLimit';
import { decodeCancellation, encodeEarlyCancellation } from '../src/node/cancellationRows';
import type { Requester } from '../src/node/cancellationRows';
import { Gate } from '../src/node/gate';
import { OwnerCancellations } from '../src/node/ownerCancellations';
import { OwnerWrites } from '../src/node/ownerWrites';
import { Router } from '../src/node/router';
import { CANCELS_TABLE, getSubmissionParts, SUBMISSIONS_TABLE } from '../src/node/tables';
import { createLogger } from '../src/observe/logger';
import { Metrics } from '../src/observe/metrics';
import { EarlyCancellations } from '../src/owner/earlyCancellations';
import type { OwnerEffect, SubmissionView } from '../src/owner/types';
import { HttpListener } from '../src/rpc/httpListener';
import type { RowStore, RowTransaction } from '../src/store/types';
import { SuspendAwareClock } from '../src/types/clock';
import { toEpoch } from '../src/types/ids';
import type { QueueId, SubmissionId, TeamId } from '../src/types/ids';
import { encodeSubmission } from '../src/work/submissionSchema';
import { createSubmission, toSubmissionId } from './support/ownerSubmissions';
import {
  callFront,
  CONFIG,
  PlatformDeployment,
  sleep,
  waitFor,
} from './support/platformDeployment';
import type { RunningNode } from './support/platformDeployment';

const TEST_TIMEOUT_MS = 30_000;
const WORK_MS = 50;

/** Time after which a run of an accepted submission would have started. */
const START_WAIT_MS = 1_500;

const RETENTION_MS = 150_000;

const PATH = '/checks/00000000000000b1';
const BODY = JSON.stringify({ spec: 'x', steps: [{ count: 2, cpu: 500, 'mem-mb': 64 }] });

const TEAM: Requester = { kind: 'team', teamId: 'team-a' as TeamId };
const OTHER_TEAM: Requester = { kind: 'team', teamId: 'team-b' as TeamId };

describe('a cancellation that overtakes its submission', () => {
  let deployment: PlatformDeployment;

  beforeEach(async () => {
    deployment = new PlatformDeployment(WORK_MS);
    await deployment.start(2, 3);
    const teams = [...CONFIG.tenants, { name: 'team-b', 'api-keys': ['key-b'], weight: 1 }];
    deployment.store.put('op', 'config', { ...CONFIG, version: 4, tenants: teams });
    const isReady = ({ address }: { readonly address: string }) =>
      callFront(address, 'GET', PATH, '', 'key-b').then(({ status }) => status === 410);
    await waitFor(
      async () => (await Promise.all(deployment.nodes.map(isReady))).every(Boolean),
      10_000,
    );
  }, TEST_TIMEOUT_MS);

  afterEach(() => deployment.stop());

  function getAddress(index: number): string {
    return deployment.nodes[index]?.address ?? '';
  }

  async function expectState(index: number, state: string): Promise<void> {
    const { status, body } = await callFront(getAddress(index), 'GET', PATH);
    expect([status, JSON.parse(body)]).toEqual([200, { state }]);
  }

  // review/12: a frozen node stored the submission after another one had answered 410, and it ran.
  test('holds when the submission is stored later by another node', async () => {
    expect((await callFront(getAddress(0), 'DELETE', PATH)).status).toBe(410);
    expect((await callFront(getAddress(1), 'POST', PATH, BODY)).status).toBe(200);
    await sleep(START_WAIT_MS);
    expect(deployment.startCounts.size).toBe(0);
    await expectState(2, 'cancelled');
    // A repeated request gets the same answer and changes nothing.
    expect((await callFront(getAddress(2), 'POST', PATH, BODY)).status).toBe(200);
    await expectState(1, 'cancelled');
  });

  // No gate tells of a write that had no answer.
  test.each([0, 1, 2])(
    'holds when the store performs the write late, in part %i',
    async (index) => {
      expect((await callFront(getAddress(0), 'DELETE', PATH)).status).toBe(410);
      const id = PATH.slice(-16) as SubmissionId;
      const accepted = { id, teamId: 'team-a' as TeamId, acceptedAtMs: Date.now() };
      const submission = { ...createSubmission(1, [{ taskCount: 2 }]), ...accepted };
      const part = getSubmissionParts(id)[index];
      deployment.store.put(SUBMISSIONS_TABLE, id, encodeSubmission(submission), part);
      const isKnown = async () => (await callFront(getAddress(1), 'GET', PATH)).status === 200;
      await waitFor(isKnown, 5_000);
      await sleep(START_WAIT_MS);
      expect(deployment.startCounts.size).toBe(0);
      await expectState(1, 'cancelled');
    },
  );

  test(
    'holds for the next owner, which reads it in the store',
    async () => {
      const { owner } = deployment;
      const others = deployment.nodes.filter((node) => node !== owner);
      expect((await callFront(owner?.address ?? '', 'DELETE', PATH)).status).toBe(410);
      owner?.stop();
      const isOwning = ({ node }: RunningNode) => JSON.stringify(node.dump()).includes('"owning"');
      await waitFor(() => others.some(isOwning), 10_000);
      const address = others[0]?.address ?? '';
      await waitFor(
        async () => (await callFront(address, 'POST', PATH, BODY)).status === 200,
        5_000,
      );
      await sleep(START_WAIT_MS);
      expect(deployment.startCounts.size).toBe(0);
    },
    TEST_TIMEOUT_MS,
  );

  test('has no effect when it is that of another team, nor does it replace the one of its own', async () => {
    expect((await callFront(getAddress(0), 'DELETE', PATH, '', 'key-b')).status).toBe(410);
    expect((await callFront(getAddress(1), 'POST', PATH, BODY)).status).toBe(200);
    await waitFor(() => deployment.startCounts.size === 2, 5_000);
    const other = '/checks/00000000000000b2';
    expect((await callFront(getAddress(0), 'DELETE', other, '', 'key-b')).status).toBe(410);
    expect((await callFront(getAddress(0), 'DELETE', other)).status).toBe(410);
    expect((await callFront(getAddress(1), 'POST', other, BODY)).status).toBe(200);
    await sleep(START_WAIT_MS);
    expect(deployment.startCounts.size).toBe(2);
  });

  test('is not answered 410 while it cannot be stored', async () => {
    deployment.store.fault = 'refuses';
    const { status, retryAfter } = await callFront(getAddress(0), 'DELETE', PATH);
    expect(status).toBe(503);
    expect(retryAfter).toBeDefined();
  });
});

/** A gate with a store of given submissions, and an owner that gives a given view. */
function createGate(store: RowStore, view: SubmissionView | undefined): Gate {
  const clock = new SuspendAwareClock();
  const gate = new Gate({
    ...{ store, clock, metrics: new Metrics() },
    logger: createLogger('test', 'node', 'info', new PassThrough().resume()),
    acceptance: new AcceptanceWriter(store, clock, () => false),
    owner: {
      getView: async () => view,
      getWaitingCount: async () => 0,
      notify: () => undefined,
    },
    getServingEpoch: () => 1,
    isStoreSlow: () => false,
    getStoreLostForMs: () => 0,
  });
  const queue = { id: 'r', host: 'h', pathPrefix: '/q/', isPublic: false };
  const teams = [
    { id: 'team-a', keys: ['key-a'] },
    { id: 'team-b', keys: ['key-b'] },
  ];
  gate.setRouter(new Router({ version: 1, queues: [queue], teams } as never));
  return gate;
}

function createCall(verb: 'cancel' | 'read', number: number, key: string) {
  const path = `/q/${toSubmissionId(number)}`;
  return { ...{ verb, host: 'h', key, path }, decodeSpec: () => E.left('no body') };
}

describe('a caller that closes its connection', () => {
  const answers: string[] = [];
  let isHeld = true;

  /** Sends a request. The connection is closed before this process reads it, or when the answer has come. */
  async function sendAndLeave(isLeaving: boolean): Promise<void> {
    const store = {
      readRange: async () => E.right({ rows: [], hasMore: false, storeVersion: 1 }),
      transact: async () => E.right({ version: 1 }),
    } as unknown as RowStore;
    const gate = createGate(store, { kind: 'unknown' });
    const handler = createFrontHandler(async (call) => {
      const answer = await gate.answer(call);
      answers.push(answer.kind);
      isHeld = false;
      return answer;
    });
    const listener = new HttpListener(handler, { maxBodyBytes: 10_000, bodyTimeoutMs: 1_000 });
    const port = await listener.listen('127.0.0.1', 0);
    const head = [
      `POST /q/${toSubmissionId(1)} HTTP/1.1`,
      ...['host: h', 'authorization: Bearer key-a', `content-length: ${BODY.length}`],
    ].join('\r\n');
    const request = `${head}\r\n\r\n${BODY}`;
    const script = `const socket = require('net').connect(${port}, '127.0.0.1');
      socket.write(${JSON.stringify(request)}, () => socket.destroy());`;
    // The other process ends while this one is blocked.
    if (isLeaving) spawnSync(process.execPath, ['-e', script], { timeout: 5_000 });
    const waiting = isLeaving ? undefined : connect(port, '127.0.0.1');
    waiting?.write(request);
    await waitFor(() => !isHeld, 5_000);
    waiting?.destroy();
    listener.closeAll();
  }

  beforeEach(() => {
    answers.length = 0;
    isHeld = true;
  });

  // review/12: a node that was suspended accepted requests whose callers had left long before.
  test('before its request is read hands in nothing', async () => {
    await sendAndLeave(true);
    expect(answers).toEqual(['refused']);
  });

  test('is served when it waits for the answer', async () => {
    await sendAndLeave(false);
    expect(answers).toEqual(['accepted']);
  });
});

describe('rows of cancellations that were stored ahead', () => {
  test.each<[string, Requester]>([
    ['team', TEAM],
    ['queue', { kind: 'queue', queueId: 'r-checks' as QueueId }],
  ])('are read as they were written, by a %s', (_name, requester) => {
    const id = toSubmissionId(1);
    const row = { ...encodeEarlyCancellation(id, requester, 1_234.4), part: 's0' };
    expect(row.key.startsWith(`${id}.`)).toBe(true);
    expect(decodeCancellation(row)).toEqual({
      ...{ submissionId: id, source: requester },
      stored: { submissionId: id, part: 's0', key: row.key, cancelledAtMs: 1_234 },
    });
    expect(decodeCancellation({ ...row, value: '{"by":"anyone"}' })).toBeUndefined();
    expect(decodeCancellation({ ...row, key: `${row.key}0` })).toBeUndefined();
  });

  test('have one key for each requester, and none has that of a known submission', () => {
    const requesters: Requester[] = [TEAM, OTHER_TEAM, { kind: 'queue', queueId: 'x' as QueueId }];
    const keys = requesters.map(
      (requester) => encodeEarlyCancellation(toSubmissionId(1), requester, 0).key,
    );
    expect(new Set([toSubmissionId(1), ...keys]).size).toBe(4);
  });

  // An operator could not tell such a row from a cancellation that was never made.
  test('are left out with a line that names the row if they cannot be read', () => {
    const lines: { readonly key?: string }[] = [];
    const output = new PassThrough();
    output.on('data', (line: Buffer) =>
      lines.push(JSON.parse(line.toString()) as { key?: string }),
    );
    const dispatched: string[] = [];
    const cancellations = new OwnerCancellations({
      log: new CancellationLog(createLogger('test', 'node', 'info', output), toEpoch(1)),
      whenLoaded: (apply) => apply(),
      getView: () => ({ kind: 'unknown' }),
      dispatch: ({ submissionId }) => dispatched.push(submissionId),
    });
    const [bad, good] = [1, 2].map((number) => ({
      ...encodeEarlyCancellation(toSubmissionId(number), TEAM, 0),
      part: 's0',
    }));
    if (bad === undefined || good === undefined) throw new Error('no rows');
    cancellations.onRows([{ ...bad, value: '{' }, good], 'feed');
    expect(dispatched).toEqual([toSubmissionId(2)]);
    expect(lines.filter(({ key }) => key === bad.key).length).toBe(1);
  });
});

describe('the cancellations that an owner keeps', () => {
  const submission = createSubmission(1, [{ taskCount: 1 }]);
  const { id, teamId } = submission;
  const source = { kind: 'team', teamId } as const;

  function createKept() {
    const effects: OwnerEffect[] = [];
    const records = new Map();
    const state = { wallMs: 0, records, emit: (effect: OwnerEffect) => effects.push(effect) };
    const kept = new EarlyCancellations(state as never);
    const takeDeleted = () =>
      effects
        .splice(0)
        .flatMap((effect) => (effect.kind === 'deleteCancellations' ? effect.rows : []));
    return { state, kept, takeDeleted };
  }

  const stored = { submissionId: id, part: 's0', key: `${id}.t0`, cancelledAtMs: 0 };

  test('are deleted from the store after a time, again if that fails, and forgotten then', () => {
    const { state, kept, takeDeleted } = createKept();
    kept.add(id, source, stored);
    state.wallMs = RETENTION_MS;
    kept.deleteExpired();
    expect(takeDeleted()).toEqual([]);
    state.wallMs += 1;
    kept.deleteExpired();
    kept.deleteExpired();
    expect(takeDeleted()).toEqual([stored, stored]);
    expect(kept.take(submission)).toBe(true);
    kept.onDeleted([stored]);
    expect(kept.take(submission)).toBe(false);
    kept.deleteExpired();
    expect(takeDeleted()).toEqual([]);
  });

  // A successor would read the submission without its cancellation, and run it.
  test('are not deleted before the outcome of their submission is stored', () => {
    const { state, kept, takeDeleted } = createKept();
    kept.add(id, source, stored);
    state.wallMs = RETENTION_MS + 1;
    state.records.set(id, { durableOutcome: undefined });
    kept.deleteExpired();
    expect(takeDeleted()).toEqual([]);
    state.records.set(id, { durableOutcome: 'cancelled' });
    kept.deleteExpired();
    expect(takeDeleted()).toEqual([stored]);
  });

  // Each owner would start the time anew.
  test('count their time from the cancelling, but not from a clock that is ahead', () => {
    const { state, kept, takeDeleted } = createKept();
    state.wallMs = RETENTION_MS;
    kept.add(id, source, { ...stored, cancelledAtMs: 10 });
    kept.add(id, source, { ...stored, key: 'ahead', cancelledAtMs: 10 * RETENTION_MS });
    state.wallMs += 11;
    kept.deleteExpired();
    expect(takeDeleted()).toHaveLength(1);
    state.wallMs += RETENTION_MS;
    kept.deleteExpired();
    expect(takeDeleted()).toHaveLength(2);
  });

  test('are deleted in transactions that the store takes, and only those that succeed', async () => {
    const sizes: number[] = [];
    const store = {
      transact: async ({ removals }: RowTransaction) => {
        sizes.push(removals.length);
        return sizes.length === 1 ? E.left({ kind: 'busy' }) : E.right({ version: 1 });
      },
    } as unknown as RowStore;
    const rows = Array.from({ length: 200 }, (_, index) => ({ ...stored, key: `${index}` }));
    const writes = new OwnerWrites(store, toEpoch(1), 1);
    const deleted = await writes.deleteCancellations([...rows, { ...stored, part: 's1' }]);
    expect(sizes).toEqual([90, 90, 20, 1]);
    expect(deleted).toHaveLength(111);
  });
});

describe('a stored submission while no owner answers', () => {
  const submission = { ...createSubmission(1, [{ taskCount: 1 }]), teamId: 'team-a' as TeamId };
  const { id } = submission;

  async function answerWith(verb: 'cancel' | 'read', key: string, value: string) {
    const written: string[] = [];
    const row = { table: 'submissions', part: 's0', key: id, version: 2, value };
    const store = {
      readRange: async () => E.right({ rows: [row], hasMore: false, storeVersion: 2 }),
      transact: async ({ puts }: RowTransaction) => {
        written.push(...puts.map((put) => put.key));
        return E.right({ version: 3 });
      },
    } as unknown as RowStore;
    const view = verb === 'read' ? ({ kind: 'unknown' } as const) : undefined;
    const { kind } = await createGate(store, view).answer(createCall(verb, 1, key));
    return { kind, written };
  }

  // Another team's DELETE cancelled it, as only the owner knew whose it was.
  test('is cancelled by its team only', async () => {
    const value = encodeSubmission(submission);
    expect(await answerWith('cancel', 'key-a', value)).toEqual({
      kind: 'cancelled',
      written: [id],
    });
    expect(await answerWith('cancel', 'key-b', value)).toEqual({
      kind: 'noSubmission',
      written: [],
    });
  });

  test('is shown to its team only', async () => {
    const value = encodeSubmission(submission);
    expect(await answerWith('read', 'key-a', value)).toMatchObject({ kind: 'state' });
    expect(await answerWith('read', 'key-b', value)).toMatchObject({ kind: 'noSubmission' });
  });

  test('is cancelled for whoever asks, as far as it is theirs, if its row cannot be read', async () => {
    const { written } = await answerWith('cancel', 'key-b', '?');
    expect(written).toHaveLength(1);
    expect(written[0]).not.toBe(id);
  });
});

describe('DELETE requests for arbitrary ids', () => {
  test('are limited in all, and for one requester to a part, so that others can go on', () => {
    let nowMs = 0;
    const limit = new CancellationLimit({ nowMs: () => nowMs }, () => 10);
    const count = (name: string) =>
      Array.from({ length: 1_000 }, () => limit.take(name)).filter((waitMs) => waitMs === 0).length;
    expect(count('a')).toBe(25);
    expect(count('b')).toBe(25);
    nowMs += 1_000;
    expect(count('a')).toBe(5);
    nowMs += 60_000;
    const total = ['a', 'b', 'c', 'd', 'e', 'f'].map(count).reduce((sum, part) => sum + part, 0);
    expect(total).toBe(100);
  });

  // With one delay for all of them, a crowd would return together and be refused again.
  test('that are refused return at the rate at which they are taken', () => {
    let nowMs = 0;
    const limit = new CancellationLimit({ nowMs: () => nowMs }, () => 10);
    const delays = Array.from({ length: 60 }, () => limit.take('a')).filter((waitMs) => waitMs > 0);
    expect(delays[0]).toBe(200);
    const isTaken = delays.map((waitMs) => {
      nowMs = waitMs;
      return limit.take('a') === 0;
    });
    expect(isTaken).toEqual(delays.map(() => true));
    const longestMs = Array.from({ length: 1_000 }, () => limit.take('a')).pop();
    expect(longestMs).toBe(10_000);
  });

  // The rows of a crowd would fill the tables and the memory of each owner.
  test('are refused beyond that, with a delay, and store nothing', async () => {
    const rows: string[] = [];
    const store = {
      readRange: async () => E.right({ rows: [], hasMore: false, storeVersion: 1 }),
      transact: async ({ puts }: RowTransaction) => {
        rows.push(...puts.map(({ table }) => table));
        return E.right({ version: 1 });
      },
    } as unknown as RowStore;
    const gate = createGate(store, { kind: 'unknown' });
    const answers = await Promise.all(
      Array.from({ length: 600 }, (_, index) => gate.answer(createCall('cancel', index, 'key-a'))),
    );
    const refused = answers.filter((answer) => answer.kind === 'refused');
    expect(answers.filter(({ kind }) => kind === 'noSubmission').length).toBe(rows.length);
    expect(rows.length).toBeLessThan(300);
    expect(new Set(rows)).toEqual(new Set([CANCELS_TABLE]));
    refused.forEach((answer) =>
      expect('retryAfterMs' in answer && answer.retryAfterMs).toBeGreaterThanOrEqual(1_000),
    );
    const names = refused.map((answer) => 'diagnostic' in answer && answer.diagnostic.name);
    expect(new Set(names)).toEqual(new Set(['tooManyCancellations']));
  });
});
