/** Tests schedulers in virtual time: start-up, request handling and takeover from a killed owner. */

import type { RequestStart } from '../src/rpc/types';
import { toConfigVersion, toId } from '../src/types/ids';
import type { RequestOutcome } from '../src/types/outcomes';
import { createSheet, TARGET_CAPACITY } from './support/sheets';
import { World } from './support/world';

const DATA_CENTRES = ['rotterdam', 'delft'];

function createWorld(seed: number): World {
  const world = new World({
    seed,
    memberCount: 3,
    dataCentreIds: DATA_CENTRES,
    targetsPerDataCentre: 4,
    capacity: TARGET_CAPACITY,
  });
  world.runFor(2_000);
  const sheet = createSheet(['team-a'], DATA_CENTRES);
  const change = { kind: 'applySheet', basedOnVersion: toConfigVersion(0), sheet } as const;
  world.call(0, { kind: 'changeConfig', change, operationId: toId('op-1') }, () => undefined);
  world.runFor(8_000);
  return world;
}

function createRequest(requestId: string): RequestStart {
  return {
    kind: 'startRequest',
    requestId: toId(requestId),
    cancelId: requestId,
    teamId: toId('team-a'),
    keyId: toId('key-team-a'),
    queueId: toId('team-a'),
    serviceName: '',
    isIdempotent: true,
    windowRemainingMs: 1_000,
    contentType: 'text/plain',
    bodyBase64: Buffer.from('10').toString('base64'),
  };
}

function countFreeSlots(world: World): number {
  return world.processes
    .filter((process) => !process.isDown)
    .map((process) => process.core.dump(world.nowMs).status.freeSlots)
    .reduce((sum, free) => sum + free, 0);
}

describe('schedulers in virtual time', () => {
  test('each target has one owner and a request is answered', () => {
    const world = createWorld(1);
    expect(countFreeSlots(world)).toBe(64);
    const outcomes: RequestOutcome[] = [];
    const owner = world.processes.findIndex(
      (process) => process.core.dump(world.nowMs).status.freeSlots > 0,
    );
    world.call(owner, createRequest('r1'), (value) => outcomes.push(value as RequestOutcome));
    world.runFor(500);
    expect(outcomes).toMatchObject([{ kind: 'answered', status: 200 }]);
  });

  test('the targets of a killed owner are taken over within 9.5 s', () => {
    const world = createWorld(2);
    world.kill(1);
    world.runFor(9_500);
    expect(countFreeSlots(world)).toBe(64);
  });
});
