/** Group commit of submissions: callers get a correct outcome under every kind of store failure. */

import * as E from 'fp-ts/Either';
import { AcceptanceWriter } from '../src/node/acceptance';
import type { DelegatedOutcome } from '../src/node/acceptance';
import { getSubmissionParts, SUBMISSION_PARTS } from '../src/node/tables';
import type { Committed, RowTransaction, StoreOutcome } from '../src/store/types';
import type { SubmissionId } from '../src/types/ids';

const CLOCK = {
  nowMs: () => performance.now(),
  steadyMs: () => performance.now(),
  wallMs: () => Date.now(),
};

function toId(digits: string): SubmissionId {
  return digits.padEnd(16, '0') as SubmissionId;
}

/** A store that answers with a given function and records its transactions. */
class ScriptedStore {
  readonly transactions: RowTransaction[] = [];

  constructor(
    readonly answer: (transaction: RowTransaction, number: number) => StoreOutcome<Committed>,
  ) {}

  async transact(transaction: RowTransaction): Promise<StoreOutcome<Committed>> {
    this.transactions.push(transaction);
    return this.answer(transaction, this.transactions.length);
  }
}

const COMMITTED = E.right({ version: 7 });

describe('acceptance', () => {
  test('creates rows only if absent, partitioned by the first digit of the id', async () => {
    const store = new ScriptedStore(() => COMMITTED);
    const acceptance = new AcceptanceWriter(store, CLOCK, () => false);
    const outcomes = await Promise.all([
      acceptance.write('submissions', toId('a1'), 'x'),
      acceptance.write('submissions', toId('b1'), 'y'),
    ]);
    expect(outcomes).toEqual([{ kind: 'stored' }, { kind: 'stored' }]);
    expect(store.transactions.map(({ puts }) => puts[0]?.part)).toEqual(['sa', 'sb']);
    expect(store.transactions[0]?.conditions[0]?.version).toBe(0);
  });

  test('treats an existing row as stored and still writes the others of its batch', async () => {
    const store = new ScriptedStore((transaction) => {
      const existing = transaction.puts.filter(({ key }) => key === toId('a1'));
      if (existing.length === 0) return COMMITTED;
      const rows = transaction.puts.map((put) => ({
        ...put,
        version: put.key === toId('a1') ? 5 : 0,
      }));
      return E.left({ kind: 'conflict', rows });
    });
    const acceptance = new AcceptanceWriter(store, CLOCK, () => false);
    const outcomes = await Promise.all(
      ['a1', 'a2', 'a3'].map((digits) => acceptance.write('submissions', toId(digits), digits)),
    );
    expect(outcomes.map(({ kind }) => kind)).toEqual(['stored', 'stored', 'stored']);
  });

  test('resolves a write with an unknown outcome by retrying it', async () => {
    const store = new ScriptedStore((transaction, number) => {
      if (number === 1) return E.left({ kind: 'unknown', detail: 'no answer' });
      const rows = transaction.puts.map((put) => ({ ...put, version: 3 }));
      return E.left({ kind: 'conflict', rows });
    });
    const acceptance = new AcceptanceWriter(store, CLOCK, () => false);
    expect(await acceptance.write('submissions', toId('a1'), 'x')).toEqual({ kind: 'stored' });
  });

  test('never reports "not stored" when an earlier attempt may have been performed', async () => {
    const store = new ScriptedStore((_transaction, number) =>
      number === 1
        ? E.left({ kind: 'unknown', detail: 'no answer' })
        : E.left({ kind: 'notDone', detail: 'status 503' }),
    );
    const acceptance = new AcceptanceWriter(store, CLOCK, () => false);
    const outcome = await acceptance.write('submissions', toId('a1'), 'x');
    expect(outcome.kind).toBe('unknown');
  });

  test('refuses immediately while the store is known to be unreachable', async () => {
    const store = new ScriptedStore(() => COMMITTED);
    const acceptance = new AcceptanceWriter(store, CLOCK, () => true);
    const outcome = await acceptance.write('submissions', toId('a1'), 'x');
    expect(outcome.kind).toBe('notStored');
    expect(store.transactions).toEqual([]);
  });

  describe('through another node', () => {
    const REFUSED = E.left({ kind: 'notDone' as const, detail: 'status 503' });

    async function writeAfter(delegated: DelegatedOutcome, answer: StoreOutcome<Committed>) {
      const store = new ScriptedStore(() => answer);
      const delegate = { isStoreLate: () => true, tryDelegate: () => Promise.resolve(delegated) };
      const acceptance = new AcceptanceWriter(store, CLOCK, () => false, delegate);
      const outcome = await acceptance.write('submissions', toId('a1'), 'x');
      return { kind: outcome.kind, transactionCount: store.transactions.length };
    }

    test('is not repeated when that node has stored the row', async () => {
      expect(await writeAfter({ kind: 'stored' }, REFUSED)).toEqual({
        ...{ kind: 'stored', transactionCount: 0 },
      });
    });

    test('is never reported as not stored when that node may have stored it', async () => {
      const lost = { kind: 'unknown', detail: 'the connection is closed' } as const;
      expect((await writeAfter(lost, REFUSED)).kind).toBe('unknown');
      expect((await writeAfter(lost, COMMITTED)).kind).toBe('stored');
    });

    test('falls back to this node when that node has not received the row', async () => {
      expect((await writeAfter({ kind: 'notSent' }, COMMITTED)).kind).toBe('stored');
      expect((await writeAfter({ kind: 'notSent' }, REFUSED)).kind).toBe('notStored');
    });
  });

  describe('while a part of the store is silent', () => {
    /** A store that never answers for the given parts. */
    function createWriter(silentParts: readonly string[]) {
      const asked: string[] = [];
      const store = {
        transact: ({ puts }: RowTransaction) => {
          const part = puts[0]?.part ?? '';
          asked.push(part);
          if (!silentParts.includes(part)) return Promise.resolve(COMMITTED);
          return new Promise<StoreOutcome<Committed>>((resolve) => {
            setTimeout(() => resolve(E.left({ kind: 'unknown', detail: 'no answer' })), 1_200);
          });
        },
      };
      return { asked, writer: new AcceptanceWriter(store, CLOCK, () => false) };
    }

    test('stores the row in another part, and the next one without a delay', async () => {
      const { asked, writer } = createWriter(['sa']);
      const startedAtMs = performance.now();
      expect((await writer.write('submissions', toId('a1'), 'x')).kind).toBe('stored');
      expect(performance.now() - startedAtMs).toBeLessThan(600);
      expect((await writer.write('submissions', toId('a2'), 'x')).kind).toBe('stored');
      expect(performance.now() - startedAtMs).toBeLessThan(700);
      expect(asked[0]).toBe('sa');
      expect(asked.slice(1)).not.toContain('sa');
    });

    test('answers in time, with an unknown outcome, when all its parts are silent', async () => {
      const { writer } = createWriter(getSubmissionParts(toId('a1')));
      const startedAtMs = performance.now();
      expect((await writer.write('submissions', toId('a1'), 'x')).kind).toBe('unknown');
      expect(performance.now() - startedAtMs).toBeLessThan(1_700);
    });

    test('uses distinct parts for every id', () => {
      for (let number = 0; number < 256; number += 1) {
        const parts = getSubmissionParts(toId(number.toString(16).padStart(2, '0')));
        expect(new Set(parts).size).toBe(3);
        parts.forEach((part) => expect(SUBMISSION_PARTS).toContain(part));
      }
    });
  });

  test('joins requests for the same row that arrive while its write is open', async () => {
    const store = new ScriptedStore(() => COMMITTED);
    const acceptance = new AcceptanceWriter(store, CLOCK, () => false);
    const outcomes = await Promise.all(
      [1, 2, 3].map(() => acceptance.write('submissions', toId('a1'), 'x')),
    );
    expect(outcomes.map(({ kind }) => kind)).toEqual(['stored', 'stored', 'stored']);
    expect(store.transactions).toHaveLength(1);
  });

  test('answers within its time limit while the store stays busy', async () => {
    const store = new ScriptedStore(() => E.left({ kind: 'busy' }));
    const acceptance = new AcceptanceWriter(store, CLOCK, () => false);
    const startedAtMs = performance.now();
    const outcome = await acceptance.write('submissions', toId('a1'), 'x');
    expect(outcome.kind).toBe('notStored');
    expect(performance.now() - startedAtMs).toBeLessThan(1_700);
  });
});
