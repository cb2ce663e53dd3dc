/** Ports of an owner's host with one registered target and a store of given rows. */

import { PassThrough } from 'node:stream';
import * as E from 'fp-ts/Either';
import { operatorRows } from '../../platform/operatorRows';
import { targetRegistry } from '../../platform/targetRegistry';
import type { NodePorts, StartCall } from '../../src/node/ports';
import { OwnerHost } from '../../src/node/ownerHost';
import { createLogger } from '../../src/observe/logger';
import { Metrics } from '../../src/observe/metrics';
import type { RowStore, StoredRow } from '../../src/store/types';
import { SuspendAwareClock } from '../../src/types/clock';
import { toEpoch } from '../../src/types/ids';

const CAPACITY = { cpu: 1_000, 'mem-mb': 100, gpu: 0 };
const STORE_VERSION = 5;
const POLL_ANSWER_MS = 20;

/** The registration of the target. */
export const REGISTRATION: StoredRow = {
  ...{ table: targetRegistry.table, part: targetRegistry.part, key: 'i-1', version: 3 },
  value: JSON.stringify({
    ...{ service: 'service', addr: '10.0.0.1:80', zone: 'zone', state: 'ready', born: 1 },
    capacity: CAPACITY,
  }),
};

/** Creates the promise of a call that is never answered. */
export function createPending(): Promise<never> {
  return new Promise(() => {
    // Never settles.
  });
}

/** Waits. */
export function delay(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

/** Answers polls, so that the target may take starts, and records those. */
export function createAnsweringTargets(starts: StartCall[]): NodePorts['targets'] {
  const lists = { running: [], ended: [], areEndsComplete: true };
  const inventory = { clockMs: 1, incarnationStartMs: 1, ...lists };
  return {
    maxLeaseMs: 10_000,
    poll: async () => {
      await delay(POLL_ANSWER_MS);
      return E.right(inventory);
    },
    start: (call) => {
      starts.push(call);
      return createPending();
    },
    stop: createPending,
  };
}

/**
 * Creates the ports of a host.
 * @param rows - stored rows besides the registration
 * @param follow - feed of the store
 * @param targets - targets
 * @returns the ports; calls that are not given are never answered
 */
export function createPorts(
  rows: readonly StoredRow[],
  follow: RowStore['follow'],
  targets: NodePorts['targets'],
): NodePorts {
  const stored = [REGISTRATION, ...rows];
  return {
    store: {
      transact: () => Promise.resolve(E.right({ version: STORE_VERSION + 1 })),
      readRange: ({ table, part }) =>
        Promise.resolve(
          E.right({
            rows: stored.filter((row) => row.table === table && row.part === part),
            hasMore: false,
            storeVersion: STORE_VERSION,
          }),
        ),
      follow,
    },
    targets,
    advice: { advise: createPending },
    operatorRows,
    registry: targetRegistry,
    clock: new SuspendAwareClock(),
    logger: createLogger('test', 'node-1', 'info', new PassThrough()),
    metrics: new Metrics(),
  };
}

/**
 * Creates a host whose authority does not end.
 * @param ports - its dependencies
 * @returns the host, not started yet
 */
export function createAuthorizedHost(ports: NodePorts): OwnerHost {
  const callbacks = {
    isAuthorized: () => true,
    advise: createPending,
    onHandoverPrepared: () => undefined,
    onSuperseded: () => undefined,
  };
  const operator = { changeVersion: 1, operator: { config: undefined, closedDataCentreIds: [] } };
  return new OwnerHost(ports, callbacks, toEpoch(1), 1, operator);
}
