/** Malformed input and unexpected errors end neither a process nor the work of others. */

import { request } from 'node:http';
import { PassThrough } from 'node:stream';
import * as E from 'fp-ts/Either';
import { decodeSubmissionBody } from '../platform/submissionBody';
import { targetRegistry } from '../platform/targetRegistry';
import { OwnerWrites } from '../src/node/ownerWrites';
import type { NodePorts } from '../src/node/ports';
import { TakeoverLoader } from '../src/node/takeoverLoader';
import { createLogger } from '../src/observe/logger';
import { OwnerCore } from '../src/owner/core';
import { SubmissionRecord } from '../src/owner/submissionRecord';
import { HttpClient } from '../src/rpc/httpClient';
import { HttpListener } from '../src/rpc/httpListener';
import type { Committed, RowStore, RowTransaction, StoreOutcome } from '../src/store/types';
import { createDiagnostic, Diagnostics } from '../src/types/diagnostics';
import { toEpoch } from '../src/types/ids';
import { encodeSubmission } from '../src/work/submissionSchema';
import { createSubmission, NO_FAULTS, OwnerWorld, toSubmissionId } from './support/ownerWorld';

const CLOCKS = { nowMs: 1_000, wallMs: 1_700_000_000_000, steadyMs: 1_000 };

describe('a malformed registry entry', () => {
  const content = { service: 's', zone: 'z', state: 'ready', capacity: { cpu: 1, 'mem-mb': 1 } };
  const decode = (addr: string) =>
    targetRegistry.decode({
      ...{ table: 'servers', part: '', key: 'i-1', version: 1 },
      value: JSON.stringify({ ...content, addr }),
    });

  test.each(['10.0.0.1:99999', '999.1.1.1:80', 'host:80', ''])('with address "%s"', (addr) => {
    expect(E.isLeft(decode(addr))).toBe(true);
  });

  test('does not hide a sound one', () => {
    expect(E.isRight(decode('10.0.0.1:8080'))).toBe(true);
  });
});

describe('a call to an address that cannot exist', () => {
  test.each(['10.0.0.1:99999', '999.1.1.1:80'])(
    '%s fails without an exception',
    async (address) => {
      const client = new HttpClient();
      const result = await client.postJson(address, '/', {}, 200);
      expect(result.kind).toBe('notSent');
      await client.close();
    },
  );
});

describe('a submission that would exhaust the memory of each owner in turn', () => {
  test('is refused when its steps have too many tasks together', () => {
    const steps = Array.from({ length: 10 }, () => ({ count: 20_000 }));
    expect(E.isLeft(decodeSubmissionBody(JSON.stringify({ steps })))).toBe(true);
    expect(E.isRight(decodeSubmissionBody(JSON.stringify({ steps: steps.slice(1, 2) })))).toBe(
      true,
    );
  });

  test('has a bounded number of overdue occurrences open, and opens more as they end', () => {
    const submission = createSubmission(1, [{}]);
    const schedule = {
      ...{ kind: 'repeated' as const, occurrenceCount: 1_000_000 },
      ...{ firstAtMs: 0, intervalMs: 0 },
    };
    const spec = { ...submission.spec, schedule };
    const record = new SubmissionRecord(
      {
        submission: { ...submission, spec },
        ...{ isCancelled: false, progress: undefined, progressVersion: 0 },
      },
      false,
    );
    const opened = record.openDueOccurrences(CLOCKS.wallMs);
    expect(opened.length).toBeLessThanOrEqual(100);
    expect(record.openDueOccurrences(CLOCKS.wallMs)).toEqual([]);
    opened.slice(0, 3).forEach((step) => step.progress.setDone(0));
    expect(record.openDueOccurrences(CLOCKS.wallMs).map(({ occurrence }) => occurrence)).toEqual([
      opened.length,
      opened.length + 1,
      opened.length + 2,
    ]);
  });
});

describe('an unexpected error', () => {
  test('while one stored submission is loaded leaves the others scheduled', () => {
    const sound = createSubmission(1, [{}]);
    const broken = {
      ...createSubmission(2, [{}]),
      get spec(): never {
        throw new Error('unexpected');
      },
    };
    const loaded = [broken, sound].map((submission) => ({
      ...{ submission, isCancelled: false, progress: undefined, progressVersion: 0 },
    }));
    const core = new OwnerCore(toEpoch(1), loaded, CLOCKS);
    expect(core.getView(toSubmissionId(1)).kind).toBe('known');
    const effects = core.reduce({ ...CLOCKS, kind: 'tick' });
    const messages = effects.flatMap((effect) => (effect.kind === 'log' ? [effect.message] : []));
    expect(messages).toContain('submission cannot be scheduled');
  });

  test('while one step is planned leaves the others scheduled', () => {
    const world = new OwnerWorld({ seed: 1, targetCount: 3, faults: NO_FAULTS });
    world.takeOver();
    const broken = createSubmission(1, [{}]);
    const [step] = broken.spec.steps;
    Object.defineProperty(step, 'requiredLabel', {
      get: () => {
        throw new Error('unexpected');
      },
    });
    world.submit(broken);
    world.submit(createSubmission(2, [{}]));
    world.run(5_000);
    expect(world.getState(toSubmissionId(2))).toBe('succeeded');
    expect(world.getState(toSubmissionId(1))).toBe('pending');
  });

  // A lasting submission never changes, so that its step stayed without runs for ever (LOST).
  test('while a step is planned leaves it out for a while only', () => {
    const world = new OwnerWorld({ seed: 1, targetCount: 3, faults: NO_FAULTS });
    world.takeOver();
    const broken = createSubmission(1, [{}]);
    const [step] = broken.spec.steps;
    let isBroken = true;
    Object.defineProperty(step, 'requiredLabel', {
      get: () => {
        if (isBroken) throw new Error('unexpected');
        return '';
      },
    });
    world.submit(broken);
    world.run(1_000);
    isBroken = false;
    world.run(8_000);
    expect(world.getState(toSubmissionId(1))).toBe('succeeded');
  });

  test('on the answer of one target leaves the others in use, and its tasks move', () => {
    const world = new OwnerWorld({ seed: 1, targetCount: 3, faults: NO_FAULTS });
    world.takeOver();
    world.submit(createSubmission(1, [{ taskCount: 9, estimateMs: 2_000 }]));
    world.run(200);
    const [target] = world.targets.values();
    if (target === undefined) throw new Error('no target');
    const poll = target.poll.bind(target);
    target.poll = (call, respond) =>
      poll(call, (result) => {
        if (E.isLeft(result)) respond(result);
        else respond(E.right({ ...result.right, running: [null] as never }));
      });
    world.run(20_000);
    expect(world.getState(toSubmissionId(1))).toBe('succeeded');
    expect(world.broken).toEqual([]);
  });

  test('while a request is answered tells its caller that the outcome is unknown', async () => {
    const errors: unknown[] = [];
    const listener = new HttpListener(
      {
        handle: () => Promise.reject(new Error('unexpected')),
        refuse: ({ name }) => ({
          ...{ status: Diagnostics[name].httpStatus, contentType: 'text/plain', body: '' },
        }),
      },
      { maxBodyBytes: 100, bodyTimeoutMs: 500 },
      (error) => errors.push(error),
    );
    const port = await listener.listen('127.0.0.1', 0);
    const status = await new Promise((resolve, reject) => {
      request({ host: '127.0.0.1', port, timeout: 1_000 }, (response) => {
        response.resume();
        resolve(response.statusCode);
      })
        .on('timeout', () => reject(new Error('no answer')))
        .on('error', reject)
        .end();
    });
    listener.closeAll();
    expect(status).toBe(Diagnostics[createDiagnostic('outcomeUnknown').name].httpStatus);
    expect(errors).toHaveLength(1);
  });
});

function createLoader(): TakeoverLoader {
  const logger = createLogger('test', 'node-1', 'info', new PassThrough());
  return new TakeoverLoader({ logger } as unknown as NodePorts);
}

test('a submission whose progress cannot be read is left out instead of run again', () => {
  const id = toSubmissionId(1);
  const value = encodeSubmission(createSubmission(1, [{}]));
  const submissions = {
    rows: [{ table: 'submissions', part: 's0', key: id, version: 5, value }],
    version: 5,
  };
  const none = { rows: [], version: 5 };
  const load = (progressValue: string) =>
    createLoader().decodeSubmissions({
      ...{ submissions, cancels: none, registry: none },
      progress: {
        rows: [{ table: 'progress', part: 'p', key: id, version: 6, value: progressValue }],
        version: 6,
      },
    });
  expect(load('no json')).toEqual([]);
  expect(load('{}')).toHaveLength(1);
});

test('a submission whose row is in two parts is read once', () => {
  const value = encodeSubmission(createSubmission(1, [{}]));
  const rows = ['s0', 's4'].map((part, index) => ({
    ...{ table: 'submissions', part, key: toSubmissionId(1), version: 5 + index, value },
  }));
  const none = { rows: [], version: 5 };
  const loader = createLoader();
  const loaded = { submissions: { rows, version: 5 }, cancels: none, progress: none };
  expect(loader.decodeSubmissions({ ...loaded, registry: none })).toHaveLength(1);
});

describe('the deletion of expired submissions', () => {
  /** Rows by table and key; refuses transactions over several parts, and all after a given number. */
  class PartStore implements Pick<RowStore, 'transact'> {
    readonly rows = new Set<string>();

    constructor(
      public remainingCount: number,
      readonly silentPart = '',
    ) {}

    async transact(transaction: RowTransaction): Promise<StoreOutcome<Committed>> {
      const { conditions, puts, removals } = transaction;
      const parts = new Set([...conditions, ...puts, ...removals].map(({ part }) => part));
      if (parts.size > 1) return E.left({ kind: 'notDone', detail: 'several parts' });
      if (this.remainingCount <= 0 || parts.has(this.silentPart))
        return E.left({ kind: 'unknown', detail: 'killed' });
      this.remainingCount -= 1;
      removals.forEach(({ table, key }) => this.rows.delete(`${table}/${key}`));
      return E.right({ version: 1 });
    }
  }

  const ids = [1, 2, 3].map((digit) => toSubmissionId(digit * 16 ** 15));

  function fill(store: PartStore): void {
    ids.forEach((id) => {
      store.rows.add(`submissions/${id}`);
      store.rows.add(`progress/${id}`);
    });
  }

  test.each([0, 1, 2, 3])(
    'interrupted after %i transactions leaves nothing to run',
    async (count) => {
      const store = new PartStore(count);
      fill(store);
      const writes = new OwnerWrites(store as unknown as RowStore, toEpoch(1), 7);
      expect(await writes.deleteSubmissions(ids)).toBe(false);
      ids.forEach((id) => {
        const isReadAsNew =
          store.rows.has(`submissions/${id}`) && !store.rows.has(`progress/${id}`);
        expect(isReadAsNew).toBe(false);
      });
    },
  );

  test('keeps the progress of a submission whose part does not answer', async () => {
    const store = new PartStore(100, 's1');
    fill(store);
    const writes = new OwnerWrites(store as unknown as RowStore, toEpoch(1), 7);
    expect(await writes.deleteSubmissions(ids)).toBe(false);
    expect(store.rows.has(`progress/${ids[0]}`)).toBe(true);
  });

  test('removes all rows', async () => {
    const store = new PartStore(100);
    fill(store);
    const writes = new OwnerWrites(store as unknown as RowStore, toEpoch(1), 7);
    expect(await writes.deleteSubmissions(ids)).toBe(true);
    expect(store.rows.size).toBe(0);
  });
});
