/** The list of nodes, as a node reads it when it starts. */

import * as E from 'fp-ts/Either';
import { MemberList } from '../src/node/memberList';
import type { Member } from '../src/node/memberList';
import type { Committed, RowPage, RowStore, StoredRow, StoreOutcome } from '../src/store/types';
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
    const { store } = createStore(silence);
    const list = new MemberList({
      ...{ store, self: SELF, isHeard: () => false, isRemover: () => false },
      onChanged: (members) => lists.push(members),
    });
    list.start();
    await jest.advanceTimersByTimeAsync(50);
    expect(lists).toEqual([[OTHER]]);
    list.stop();
  });

  test('is read again after the registration, as nodes may have registered at the same time', async () => {
    const { store, getReadCount } = createStore(Promise.resolve(E.right({ version: 1 })));
    const ports = {
      store,
      self: SELF,
      isHeard: () => false,
      isRemover: () => false,
      onChanged: () => undefined,
    };
    const list = new MemberList(ports);
    list.start();
    await jest.advanceTimersByTimeAsync(1_000);
    expect(getReadCount()).toBe(2);
    await jest.advanceTimersByTimeAsync(5_000);
    expect(getReadCount()).toBe(2);
    list.stop();
  });
});

/** Rows with a steady clock, as nodes write and read them. */
class RowTable {
  readonly rows = new Map<string, StoredRow>();

  storeMs = 1_000_000;

  isUp = true;

  /** Nodes that follow the owner. */
  readonly heardIds = new Set<NodeId>();

  #version = 1;

  readonly store: RowStore = {
    transact: async ({ conditions, puts, removals }) => {
      if (!this.isUp) return E.left({ kind: 'unknown', detail: 'down' });
      const isStale = conditions.some(
        ({ key, version }) => (this.rows.get(key)?.version ?? 0) !== version,
      );
      if (isStale) return E.left({ kind: 'conflict', rows: [] });
      this.#version += 1;
      puts.forEach((put) => this.rows.set(put.key, { ...put, version: this.#version }));
      removals.forEach(({ key }) => this.rows.delete(key));
      return E.right({ version: this.#version });
    },
    readRange: async ({ fromKey, limit }) => {
      if (!this.isUp) return E.left({ kind: 'unknown', detail: 'down' });
      const keys = [...this.rows.keys()].sort().filter((key) => key >= fromKey);
      const rows = keys.slice(0, limit).flatMap((key) => this.rows.get(key) ?? []);
      const hasMore = keys.length > limit;
      return E.right({ rows, hasMore, storeVersion: this.#version, storeMs: this.storeMs });
    },
    follow: async () => E.left({ kind: 'historyLost' }),
  };

  add(key: string, content: object): void {
    this.#version += 1;
    const value = JSON.stringify(content);
    this.rows.set(key, { table: 'members', part: 'm', key, value, version: this.#version });
  }

  async pass(seconds: number): Promise<void> {
    if (seconds === 0) return;
    this.storeMs += 1_000;
    await jest.advanceTimersByTimeAsync(1_000);
    await this.pass(seconds - 1);
  }
}

describe('nodes that have departed', () => {
  const lists: MemberList[] = [];

  beforeEach(() => jest.useFakeTimers());
  afterEach(() => {
    lists.splice(0).forEach((list) => list.stop());
    jest.useRealTimers();
  });

  function start(table: RowTable, self: Member, isRemover = false): MemberList {
    const isHeard = (nodeId: NodeId) => isRemover && table.heardIds.has(nodeId);
    const ports = { store: table.store, self, isHeard, isRemover: () => isRemover };
    const list = new MemberList({ ...ports, onChanged: () => undefined });
    lists.push(list);
    list.start();
    return list;
  }

  function getNames(list: MemberList): readonly string[] {
    return list.members.map(({ nodeId }) => nodeId);
  }

  // The list only grew: it delayed claims, and only lost nodes were asked for the owner (LOST).
  test.each([
    ['a row that tells when it was renewed', { renewedMs: 990_000 }],
    ['a row of an earlier build', {}],
  ])('are not listed for ever, with %s, and their rows are removed', async (_name, extra) => {
    const table = new RowTable();
    table.add('node-0', { address: 'z:1', processorMillis: 500, ...extra });
    const list = start(table, SELF, true);
    const other = start(table, OTHER);
    await table.pass(40);
    expect(getNames(list)).toEqual(['node-0', 'node-1', 'node-2']);
    await table.pass(90);
    expect(getNames(list)).toEqual(['node-1', 'node-2']);
    expect(getNames(other)).toEqual(['node-1', 'node-2']);
    expect([...table.rows.keys()].sort()).toEqual(['node-1', 'node-2']);
  });

  test('are told from nodes of an earlier build that follow the owner', async () => {
    const table = new RowTable();
    table.add('node-0', { address: 'z:1', processorMillis: 500 });
    table.heardIds.add('node-0' as NodeId);
    const list = start(table, SELF, true);
    await table.pass(300);
    expect(getNames(list)).toEqual(['node-0', 'node-1']);
    expect(table.rows.has('node-0')).toBe(true);
  });

  // An absence of renewals proves nothing while the store was away for all.
  test('are told from nodes that could not renew their rows', async () => {
    const table = new RowTable();
    const read: number[] = [];
    const ports = { store: table.store, self: SELF, isHeard: () => false, isRemover: () => true };
    const list = new MemberList({ ...ports, onChanged: ({ length }) => read.push(length) });
    lists.push(list);
    list.start();
    start(table, OTHER);
    await table.pass(60);
    table.isUp = false;
    await table.pass(200);
    expect(getNames(list)).toEqual(['node-1', 'node-2']);
    table.isUp = true;
    read.length = 0;
    await table.pass(20);
    expect(new Set(read)).toEqual(new Set([2]));
    expect(getNames(list)).toEqual(['node-1', 'node-2']);
    await table.pass(60);
    expect(getNames(list)).toEqual(['node-1', 'node-2']);
  });

  test('have removed their rows when they were stopped', async () => {
    const table = new RowTable();
    const list = start(table, SELF);
    const other = start(table, OTHER);
    await table.pass(2);
    other.leave();
    other.stop();
    await table.pass(12);
    expect(getNames(list)).toEqual(['node-1']);
  });

  test('are not listed at an address that another node has taken over', async () => {
    const table = new RowTable();
    table.add('node-0', { address: OTHER.address, processorMillis: 500, renewedMs: 1_000_000 });
    const list = start(table, SELF);
    await table.pass(1);
    start(table, OTHER);
    await table.pass(15);
    expect(getNames(list)).toEqual(['node-1', 'node-2']);
  });

  test('do not hide live ones, however many rows there are', async () => {
    const table = new RowTable();
    for (let count = 0; count < 1_200; count += 1)
      table.add(`gone-${count}`, { address: `g:${count}`, processorMillis: 1, renewedMs: 1 });
    const list = start(table, SELF, true);
    start(table, OTHER);
    await table.pass(2);
    expect(getNames(list)).toContain('node-2');
    await table.pass(400);
    expect([...table.rows.keys()].sort()).toEqual(['node-1', 'node-2']);
  });

  test('are listed again when they are alive after all', async () => {
    const table = new RowTable();
    const list = start(table, SELF);
    start(table, OTHER);
    await table.pass(20);
    table.rows.delete('node-2');
    await table.pass(25);
    expect(getNames(list)).toEqual(['node-1', 'node-2']);
  });
});
