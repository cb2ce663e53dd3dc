/** The list of nodes, as a node reads it when it starts. */

import * as E from 'fp-ts/Either';
import { MemberList } from '../src/node/memberList';
import type { Member } from '../src/node/memberList';
import type { Committed, RowPage, RowStore, StoreOutcome } from '../src/store/types';
import type { NodeId } from '../src/types/ids';

const SELF: Member = { nodeId: 'node-1' as NodeId, address: 'a:1', processorMillis: 324 };
const OTHER: Member = { nodeId: 'node-2' as NodeId, address: 'b:1', processorMillis: 1_350 };
const TIMEOUT_MS = 1_000;

/** Answers reads with the other node, and transactions as told. */
function createStore(committed: Promise<StoreOutcome<Committed>>) {
  let readCount = 0;
  const { nodeId: key, ...content } = OTHER;
  const row = { table: 'members', part: 'm', key, version: 1, value: JSON.stringify(content) };
  const page: RowPage = { rows: [row], storeVersion: 1, storeMs: 0, hasMore: false };
  const store = {
    transact: () => committed,
    readRange: async () => {
      readCount += 1;
      return E.right(page);
    },
  } as unknown as RowStore;
  return { store, getReadCount: () => readCount };
}

describe('the list of nodes', () => {
  beforeEach(() => jest.useFakeTimers());
  afterEach(() => jest.useRealTimers());

  // Nodes that came back together claimed without knowing each other (SHORT).
  test('is known before the registration of this node is answered', async () => {
    const silence = new Promise<StoreOutcome<Committed>>((resolve) => {
      setTimeout(() => resolve(E.left({ kind: 'unknown', detail: 'timeout' })), TIMEOUT_MS);
    });
    const lists: (readonly Member[])[] = [];
    const list = new MemberList(createStore(silence).store, SELF, (members) => lists.push(members));
    list.start();
    await jest.advanceTimersByTimeAsync(50);
    expect(lists).toEqual([[OTHER]]);
    list.stop();
  });

  test('is read again after the registration, as nodes may have registered at the same time', async () => {
    const { store, getReadCount } = createStore(Promise.resolve(E.right({ version: 1 })));
    const list = new MemberList(store, SELF, () => undefined);
    list.start();
    await jest.advanceTimersByTimeAsync(1_000);
    expect(getReadCount()).toBe(2);
    await jest.advanceTimersByTimeAsync(5_000);
    expect(getReadCount()).toBe(2);
    list.stop();
  });
});
