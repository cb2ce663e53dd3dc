/** Guards against takeovers from an owner that peers could reach, and against asking lost nodes alone (LOST). */

import * as E from 'fp-ts/Either';
import type { Member } from '../src/node/memberList';
import { OwnerQueries } from '../src/node/ownerQueries';
import { OwnershipCore } from '../src/node/ownership';
import type { OwnerRow } from '../src/node/ownershipTypes';
import type { OwnerQuery, OwnerQueryReply } from '../src/peer/types';
import type { NodeId } from '../src/types/ids';
import { toEpoch } from '../src/types/ids';

const SELF = 'node-1' as NodeId;
const EPOCH = toEpoch(4);
const ROW: OwnerRow = {
  ...{ nodeId: 'owner' as NodeId, address: 'owner:1', epoch: EPOCH, version: 40, aliveVersion: 41 },
  voterSet: { version: 0, epoch: toEpoch(0), voters: [] },
};
const MEMBERS: readonly Member[] = Array.from({ length: 20 }, (_, index) => ({
  ...{ nodeId: `peer-${index + 10}` as NodeId, address: `peer-${index + 10}:1` },
  processorMillis: 500,
}));

/** A node that follows the owner but has no connection to it. */
function createUnconnected(answer: (address: string) => E.Either<string, OwnerQueryReply>) {
  const asked: { readonly address: string; readonly query: OwnerQuery }[] = [];
  const core = new OwnershipCore(SELF, () => true);
  core.reduce({ kind: 'tick', nowMs: 0 });
  core.reduce({ kind: 'rowRead', result: E.right(ROW), nowMs: 0 });
  const queries = new OwnerQueries({
    ...{ selfId: SELF, core, getNowMs: () => 1_000, getMembers: () => MEMBERS },
    ...{ isStoreReachable: () => true, getOwnerStoreLostForMs: () => 0 },
    yieldLease: () => undefined,
    query: async (address, query) => {
      asked.push({ address, query });
      return answer(address);
    },
  });
  return { core, queries, asked };
}

// All channels may have been reset at the same time, so nobody hears an owner that is alive.
test('a peer calls the owner before it votes', async () => {
  const { core, queries, asked } = createUnconnected(() => E.right({ isHeard: true }));
  const query = { epoch: EPOCH, votersVersion: 50 };
  expect(await queries.answer(query)).toEqual({ isHeard: true });
  expect(asked.map(({ address }) => address)).toEqual(['owner:1']);
  expect(core.votedVersion).toBe(0);
});

test('a peer that does not reach the owner votes, and remembers it', async () => {
  const { core, queries } = createUnconnected(() => E.left('refused'));
  const query = { epoch: EPOCH, votersVersion: 50 };
  expect(await queries.answer(query)).toEqual({ isHeard: false, isVoting: true });
  expect(core.votedVersion).toBe(50);
});

// The first ones of the list may all be lost.
test('other peers are asked each time', async () => {
  const { queries, asked } = createUnconnected(() => E.left('refused'));
  const effect = {
    ...{ kind: 'askPeers' as const, row: ROW, suspicion: 'linkLost' as const },
    ...{ votersVersion: undefined, votedIds: [] },
  };
  await queries.ask(effect);
  const first = new Set(asked.splice(0).map(({ address }) => address));
  await queries.ask(effect);
  const repeated = asked.filter(({ address }) => first.has(address));
  expect(repeated.map(({ address }) => address)).toEqual(['owner:1']);
});
