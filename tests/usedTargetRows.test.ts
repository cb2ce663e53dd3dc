/** Guards against a record of used targets that is trusted although it has gaps, or written without ownership. */

import * as E from 'fp-ts/Either';
import { OwnerWrites } from '../src/node/ownerWrites';
import {
  decodeTargetRecord,
  encodeRecordedEpoch,
  encodeRecordedTarget,
} from '../src/node/usedTargetRows';
import type { RecordedTarget } from '../src/owner/types';
import type { Committed, RowStore, RowTransaction, StoreOutcome } from '../src/store/types';
import { toEpoch } from '../src/types/ids';
import type { DataCentreId, TargetId } from '../src/types/ids';

const TARGET: RecordedTarget = {
  id: 'i-1' as TargetId,
  address: '10.0.0.1:80',
  serviceNames: ['former', 'service'],
  labels: ['a', 'r-1'],
  dataCentreId: 'zone' as DataCentreId,
  incarnationStartMs: 17,
  mayHoldLongLease: true,
};

const ROW = { table: 'usedTargets', part: 'p', key: TARGET.id, version: 5 };
const STORED = { ...ROW, value: encodeRecordedTarget(TARGET) };
const OWNER_ROW = { table: 'ownership', part: 'p', key: 'fleet', version: 7 };

function declare(epoch: number) {
  const address = { table: 'ownership', part: 'p', key: 'recorded', version: 6 };
  return { ...address, value: encodeRecordedEpoch(toEpoch(epoch)) };
}

function createPending(): Promise<never> {
  return new Promise(() => {
    // Never settles.
  });
}

/** A store that answers every transaction in the same way. */
function createStore(outcome: StoreOutcome<Committed>) {
  const transactions: RowTransaction[] = [];
  const store: RowStore = {
    transact: async (transaction) => {
      transactions.push(transaction);
      return outcome;
    },
    readRange: createPending,
    follow: createPending,
  };
  return { writes: new OwnerWrites(store, toEpoch(3), OWNER_ROW.version), transactions };
}

const EFFECT = {
  kind: 'recordTargets',
  puts: [{ target: TARGET, expectedVersion: 0 }],
  removals: [{ targetId: 'i-2' as TargetId, version: 4 }],
  isComplete: true,
} as const;

describe('a stored record', () => {
  test('is complete when the owner of the epoch before has declared it', () => {
    expect(decodeTargetRecord(toEpoch(4), [STORED], [declare(3)])).toEqual({
      isComplete: true,
      targets: [{ target: TARGET, version: 5 }],
      malformed: [],
    });
  });

  // An owner of an earlier build grants leases without changing the row (TWICE).
  test.each([
    ['all owners since have kept it', 3, true],
    ['an owner in between has not kept it', 4, false],
    ['the owner row does not tell', undefined, false],
  ])('tells of a silent target when %s', (_name, silenceSinceEpoch, isKept) => {
    const times = { incarnationStartMs: 17, sinceMs: 1_000, endsAtMs: 6_000 };
    const silence = { epoch: toEpoch(3), ...times };
    const stored = { ...ROW, value: encodeRecordedTarget({ ...TARGET, silence }) };
    const owner = { nodeId: 'n-1', address: 'a:1', epoch: 5, silenceSinceEpoch };
    const rows = [declare(4), { ...OWNER_ROW, value: JSON.stringify(owner) }];
    const { targets } = decodeTargetRecord(toEpoch(5), [stored], rows);
    expect(targets[0]?.target.silence).toEqual(isKept ? silence : undefined);
  });

  test('is complete and empty for the first owner', () => {
    expect(decodeTargetRecord(toEpoch(1), [], [])).toEqual({
      ...{ isComplete: true, targets: [], malformed: [] },
    });
  });

  test.each([
    ['an owner in between has not declared it', [STORED], [declare(2)]],
    ['no owner has declared it', [STORED], []],
    ['the declaration cannot be decoded', [STORED], [{ ...declare(3), value: '{}' }]],
    ['a row cannot be decoded', [STORED, { ...ROW, key: 'i-9', value: '{' }], [declare(3)]],
  ])('is not complete when %s', (_case, rows, ownershipRows) => {
    expect(decodeTargetRecord(toEpoch(4), rows, ownershipRows)).toEqual({
      isComplete: false,
      targets: [{ target: TARGET, version: 5 }],
      malformed: rows.length > 1 ? [{ targetId: 'i-9', version: 5 }] : [],
    });
  });
});

describe('a change of the record', () => {
  test('requires the owner row and the version of each row', async () => {
    const { writes, transactions } = createStore(E.right({ version: 9 }));
    expect(await writes.recordTargets(EFFECT)).toEqual(E.right(9));
    expect(transactions).toEqual([
      {
        conditions: [OWNER_ROW, { ...ROW, version: 0 }, { ...ROW, key: 'i-2', version: 4 }],
        puts: [
          { table: ROW.table, part: ROW.part, key: ROW.key, value: STORED.value },
          {
            table: 'ownership',
            part: 'p',
            key: 'recorded',
            value: encodeRecordedEpoch(toEpoch(3)),
          },
        ],
        removals: [{ table: ROW.table, part: ROW.part, key: 'i-2' }],
      },
    ]);
  });

  test('ends the ownership when the owner row has changed', async () => {
    const rows = [{ ...OWNER_ROW, version: 8, value: '' }];
    const { writes } = createStore(E.left({ kind: 'conflict', rows }));
    expect(await writes.recordTargets(EFFECT)).toEqual(E.left({ kind: 'superseded' }));
  });

  test('tells the versions of rows that have changed', async () => {
    const { writes } = createStore(E.left({ kind: 'conflict', rows: [STORED] }));
    const versions = [{ targetId: TARGET.id, version: 5 }];
    expect(await writes.recordTargets(EFFECT)).toEqual(E.left({ kind: 'conflict', versions }));
  });

  test('is not taken for done without an answer', async () => {
    const { writes } = createStore(E.left({ kind: 'unknown', detail: 'no answer' }));
    expect(await writes.recordTargets(EFFECT)).toEqual(
      E.left({ kind: 'unavailable', detail: 'no answer' }),
    );
  });
});
