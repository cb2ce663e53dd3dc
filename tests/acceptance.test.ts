/** Group commit of submissions: callers get a correct outcome under every kind of store failure. */

import * as E from 'fp-ts/Either';
import { AcceptanceWriter } from '../src/node/acceptance';
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

  test('answers within its time limit while the store stays busy', async () => {
    const store = new ScriptedStore(() => E.left({ kind: 'busy' }));
    const acceptance = new AcceptanceWriter(store, CLOCK, () => false);
    const startedAtMs = performance.now();
    const outcome = await acceptance.write('submissions', toId('a1'), 'x');
    expect(outcome.kind).toBe('notStored');
    expect(performance.now() - startedAtMs).toBeLessThan(1_700);
  });
});
