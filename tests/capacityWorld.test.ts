/** Tests that schedulers enforce team limits and target budgets in virtual time. */

import type { RequestStart } from '../src/rpc/types';
import { toConfigVersion, toEpoch, toId } from '../src/types/ids';
import { createSheet, TARGET_CAPACITY } from './support/sheets';
import { World } from './support/world';

const DATA_CENTRES = ['rotterdam', 'delft'];
const LIMIT_SLOTS = 6;
const SERVICE_MS = 300;
/** Time after the acceptance of a lowered limit in which the excess tasks are stopped. */
const LIMIT_ENFORCEMENT_MS = 9_000;

function applyLimit(world: World, basedOn: number, limitSlots: number): void {
  const sheet = createSheet(['team-a'], DATA_CENTRES, { limitSlots });
  const change = {
    kind: 'applySheet',
    basedOnVersion: toConfigVersion(basedOn),
    sheet,
  } as const;
  const operationId = toId<never>(`op-${basedOn}`);
  const index = world.processes.findIndex((process) => !process.isDown);
  world.call(index, { kind: 'changeConfig', change, operationId }, () => undefined);
}

function createWorld(seed: number, limitSlots = LIMIT_SLOTS): World {
  const world = new World({
    seed,
    memberCount: 3,
    dataCentreIds: DATA_CENTRES,
    targetsPerDataCentre: 4,
    capacity: TARGET_CAPACITY,
  });
  world.runFor(2_000);
  applyLimit(world, 0, limitSlots);
  world.runFor(8_000);
  return world;
}

function createRequest(requestId: string, serviceMs = SERVICE_MS): RequestStart {
  return {
    kind: 'startRequest',
    requestId: toId(requestId),
    cancelId: requestId,
    teamId: toId('team-a'),
    keyId: toId('key-team-a'),
    queueId: toId('team-a'),
    serviceName: '',
    isIdempotent: true,
    windowRemainingMs: 2_000,
    contentType: 'text/plain',
    bodyBase64: Buffer.from(String(serviceMs)).toString('base64'),
  };
}

/** Highest number of concurrent requests, as recorded by the targets. */
function getPeakConcurrency(world: World, fromMs: number): number {
  const starts = world.requestRuns.map((run) => run.atMs).filter((atMs) => atMs >= fromMs);
  return Math.max(
    0,
    ...starts.map((atMs) => starts.filter((ms) => ms <= atMs && ms + SERVICE_MS > atMs).length),
  );
}

function countTasks(world: World): number {
  return [...world.targets.values()].reduce((count, target) => {
    const token = { shardId: toId<never>('watcher'), epoch: toEpoch(0) };
    const result = target.perform({ kind: 'report', token }, world.nowMs);
    if (result.kind !== 'report') return count;
    return count + result.report.tasks.filter((task) => task.state === 'running').length;
  }, 0);
}

describe('capacity limits across schedulers', () => {
  test('a team can use its full limit through any scheduler and never exceeds it, even after a crash', () => {
    const world = createWorld(4);
    const sendLoad = (name: string, indexes: readonly number[], count: number) => {
      for (let round = 0; round < count; round += 1) {
        indexes.forEach((index) => {
          const request = createRequest(`${name}-${index}-${round}`);
          world.call(index, request, () => undefined);
        });
        world.runFor(50);
      }
    };
    const owners = world.processes
      .filter((process) => process.core.dump(world.nowMs).status.freeSlots > 0)
      .map((process) => process.index);
    const [first, ...others] = owners;
    sendLoad('one', [first as number], 200);
    expect(getPeakConcurrency(world, world.nowMs - 3_000)).toBe(LIMIT_SLOTS);
    world.kill(first as number);
    world.runFor(9_000);
    const killedMs = world.nowMs;
    sendLoad('others', others, 200);
    expect(getPeakConcurrency(world, killedMs + 5_000)).toBe(LIMIT_SLOTS);
    expect(getPeakConcurrency(world, 0)).toBe(LIMIT_SLOTS);
  });

  test('a new owner charges the requests that its targets still run for the previous owner', () => {
    const world = createWorld(9, 100);
    const send = (name: string, count: number, serviceMs: number) => {
      world.processes
        .filter((process) => !process.isDown)
        .forEach(({ index }) => {
          for (let round = 0; round < count; round += 1) {
            const request = createRequest(`${name}-${index}-${round}`, serviceMs);
            world.call(index, { ...request, windowRemainingMs: 300_000 }, () => undefined);
          }
        });
    };
    // Occupies every slot for longer than the takeover takes.
    send('long', 40, 20_000);
    world.runFor(500);
    world.kill(1);
    world.runFor(5_000);
    send('short', 100, 100);
    world.runFor(30_000);
    const shortRuns = world.requestRuns.filter(({ requestId }) => requestId.startsWith('short'));
    expect(shortRuns.length).toBeGreaterThan(150);
    world.targets.forEach((target) => expect(target.violations).toEqual([]));
  });

  test('a lowered limit stops excess tasks within seconds and starts no others', () => {
    const world = createWorld(6);
    world.targets.forEach((target) => target.setFaults({ isFencing: false }));
    const spec = {
      jobId: toId<never>('job'),
      queueId: toId<never>('team-a'),
      policy: { kind: 'batch', taskCount: 10 },
      demand: { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 0, slots: 1, connections: 0 },
      expectedRunMs: 3_600_000,
    } as const;
    world.processes.forEach(({ index }) => {
      world.call(index, { kind: 'submitJob', spec, teamId: toId('team-a') }, () => undefined);
    });
    let peak = 0;
    const runAndSample = (durationMs: number) => {
      for (let passedMs = 0; passedMs < durationMs; passedMs += 100) {
        world.runFor(100);
        peak = Math.max(peak, countTasks(world));
      }
    };
    runAndSample(40_000);
    expect(countTasks(world)).toBeGreaterThan(2);
    expect(peak).toBeLessThanOrEqual(LIMIT_SLOTS);
    applyLimit(world, 1, 2);
    runAndSample(LIMIT_ENFORCEMENT_MS);
    peak = 0;
    runAndSample(10_000);
    expect(peak).toBeLessThanOrEqual(2);
    expect(peak).toBeGreaterThan(0);
    world.targets.forEach((target) => expect(target.violations).toEqual([]));
  });
});
