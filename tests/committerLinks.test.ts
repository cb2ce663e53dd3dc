/** Rows handed to committers over real connections: committers that stop, hang or are gone. */

import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { PassThrough } from 'node:stream';
import { CommitterLinks } from '../src/node/committerLinks';
import type { Member } from '../src/node/memberList';
import { SUBMISSION_PARTS } from '../src/node/tables';
import { createLogger } from '../src/observe/logger';
import { Metrics } from '../src/observe/metrics';
import { PeerServer } from '../src/peer/peerServer';
import type { PeerHandlers } from '../src/peer/types';
import { SuspendAwareClock } from '../src/types/clock';
import type { NodeId } from '../src/types/ids';

const PUT = { table: 'submissions', part: 's1', key: '1'.repeat(16), value: 'x' };
const SELF_ID = 'self' as NodeId;

function toMember(nodeId: string, address: string, processorMillis: number): Member {
  return { nodeId: nodeId as NodeId, address, processorMillis };
}

/** As many gates as parts, none of which is strong enough to commit for others. */
const WEAK_MEMBERS = SUBMISSION_PARTS.map((part) => toMember(`weak-${part}`, '127.0.0.1:1', 300));

async function findPort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

describe('a gate on a slow store', () => {
  const servers: PeerServer[] = [];
  let links: CommitterLinks | undefined;

  async function addCommitter(
    nodeId: string,
    handlers: PeerHandlers,
    processorMillis = 1_350,
  ): Promise<Member> {
    const server = new PeerServer(handlers, () => undefined);
    const port = await findPort();
    await server.listen('127.0.0.1', port);
    servers.push(server);
    return toMember(nodeId, `127.0.0.1:${port}`, processorMillis);
  }

  function createLinks(members: readonly Member[], isStoreSlow = true): CommitterLinks {
    links = new CommitterLinks({
      ...{ selfId: SELF_ID, clock: new SuspendAwareClock(), metrics: new Metrics() },
      logger: createLogger('test', 'self', 'info', new PassThrough()),
      isStoreSlow: () => isStoreSlow,
      isStoreLate: () => isStoreSlow,
      getMembers: () => members,
      getOwnerId: () => undefined,
    });
    return links;
  }

  afterEach(() => {
    links?.close();
    servers.splice(0).forEach((server) => server.close());
  });

  test('hands a row to the committer and passes its outcome on', async () => {
    const committer = await addCommitter('a', { storeRow: () => ({ kind: 'stored' }) });
    const outcome = await createLinks([...WEAK_MEMBERS, committer]).tryDelegate(PUT, 1_000);
    expect(outcome).toEqual({ kind: 'stored' });
  });

  test('commits itself while the store is fast, and where gates do not outnumber the parts', async () => {
    const committer = await addCommitter('a', { storeRow: () => ({ kind: 'stored' }) });
    const members = [...WEAK_MEMBERS, committer];
    expect(createLinks(members, false).tryDelegate(PUT, 1_000)).toBeUndefined();
    expect(createLinks(members.slice(1)).tryDelegate(PUT, 1_000)).toBeUndefined();
  });

  test('tries the next one when a committer stops or cannot be reached', async () => {
    const stopping = await addCommitter('a', { storeRow: () => ({ kind: 'notSent' }) }, 2_000);
    const next = await addCommitter('b', { storeRow: () => ({ kind: 'stored' }) });
    const gone = toMember('c', `127.0.0.1:${await findPort()}`, 2_000);
    const first = createLinks([...WEAK_MEMBERS, stopping, next]);
    expect(await first.tryDelegate(PUT, 1_000)).toEqual({ kind: 'stored' });
    first.close();
    const second = createLinks([...WEAK_MEMBERS, gone, next]);
    expect(await second.tryDelegate(PUT, 1_000)).toEqual({ kind: 'stored' });
  });

  test('learns in time that a committer hangs, and reports the row as possibly stored', async () => {
    const pending = new Promise<never>(() => {
      // Never settles.
    });
    const hanging = await addCommitter('a', { storeRow: () => pending, ping: () => pending });
    const startedAtMs = performance.now();
    const outcome = await createLinks([...WEAK_MEMBERS, hanging]).tryDelegate(PUT, 2_400);
    expect(outcome?.kind).toBe('unknown');
    expect(performance.now() - startedAtMs).toBeLessThan(1_000);
  });

  test('keeps waiting for a committer that is busy but alive', async () => {
    const busy = await addCommitter('a', {
      storeRow: () =>
        new Promise((resolve) => {
          setTimeout(() => resolve({ kind: 'stored' }), 900);
        }),
      ping: () => ({}),
    });
    const outcome = await createLinks([...WEAK_MEMBERS, busy]).tryDelegate(PUT, 2_000);
    expect(outcome?.kind).toBe('stored');
  });
});
