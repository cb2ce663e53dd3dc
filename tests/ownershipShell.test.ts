/** Guards against nodes that leave an owner alone that has resigned and cannot be replaced yet. */

import { PassThrough } from 'node:stream';
import * as E from 'fp-ts/Either';
import { MemberList } from '../src/node/memberList';
import { OwnershipShell } from '../src/node/ownershipShell';
import type { NodePorts } from '../src/node/ports';
import { createLogger } from '../src/observe/logger';
import { Metrics } from '../src/observe/metrics';
import { PeerServer } from '../src/peer/peerServer';
import { toEpoch } from '../src/types/ids';
import type { NodeId } from '../src/types/ids';
import { createPending } from './support/ownerHostPorts';

const HOST = '127.0.0.1';
const PORT = 25_710;

const OWNER = 'node-1' as NodeId;
const SELF = { nodeId: 'node-2' as NodeId, address: `${HOST}:1`, processorMillis: 1_000 };

const ROW = { nodeId: OWNER, address: `${HOST}:${PORT}`, epoch: toEpoch(4), version: 9 };

const TIME_LIMIT_MS = 5_000;

function createStorelessPorts(): NodePorts {
  const store = { transact: createPending, readRange: createPending, follow: createPending };
  const clock = {
    nowMs: () => performance.now(),
    steadyMs: () => performance.now(),
    wallMs: Date.now,
  };
  const logger = createLogger('test', 'node-2', 'info', new PassThrough());
  return { store, clock, logger, metrics: new Metrics() } as unknown as NodePorts;
}

async function waitUntil(isDone: () => boolean, limitMs = performance.now() + TIME_LIMIT_MS) {
  if (isDone()) return;
  if (performance.now() > limitMs) throw new Error('not done in time');
  await new Promise((resolve) => {
    setTimeout(resolve, 5);
  });
  await waitUntil(isDone, limitMs);
}

// While the store is away no successor can claim, and the owner lost its authority after 2 s without heartbeats (LOST).
test('a node goes on sending heartbeats to an owner that has resigned', async () => {
  let heartbeatCount = 0;
  const server = new PeerServer(
    {
      heartbeat: () => {
        heartbeatCount += 1;
        return { ownedEpoch: 4, operatorVersion: 0, storeLostForMs: 0 };
      },
    },
    () => undefined,
  );
  await server.listen(HOST, PORT);
  const ports = createStorelessPorts();
  const members = new MemberList({
    ...{ store: ports.store, self: SELF, isHeard: () => false, isRemover: () => false },
    onChanged: () => undefined,
  });
  const shell = new OwnershipShell(
    ports,
    SELF,
    ports.store,
    members,
    {},
    {
      onBegin: () => undefined,
      onEnd: () => undefined,
      onFormerOwnersEnded: () => undefined,
      onOperatorVersion: () => undefined,
      getOperatorVersion: () => 0,
      isStoreReachable: () => false,
      isStopping: () => false,
      yieldLease: () => undefined,
    },
  );
  try {
    shell.dispatch({ kind: 'rowRead', result: E.right({ ...ROW, aliveVersion: 1 }) });
    await waitUntil(() => shell.link !== undefined);
    shell.sendHeartbeat();
    await waitUntil(() => heartbeatCount === 1);
    shell.dispatch({ kind: 'resigned', epoch: toEpoch(4), successorId: 'node-3' as NodeId });
    await waitUntil(() => {
      shell.sendHeartbeat();
      return heartbeatCount > 1;
    });
    expect(shell.core.mode.kind).toBe('suspecting');
  } finally {
    shell.close();
    server.close();
  }
});
