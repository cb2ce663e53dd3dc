/** Completed fraction of the possible work while a data centre is out of service, in virtual time. */

import { toConfigVersion, toId } from '../src/types/ids';
import type { DataCentreId, QueueId, RequestId } from '../src/types/ids';
import { createSheet } from '../tests/support/sheets';
import { GATE_COUNT, GateSimulation } from '../tests/support/gateSimulation';
import type { SentRequest } from '../tests/support/gateSimulation';
import { World } from '../tests/support/world';
import type { Bench, Figure } from './types';

const DATA_CENTRES = ['rotterdam', 'kijfhoek', 'amsterdam', 'delft'];
const LEAVING = 'delft';
const TARGETS_BY_DATA_CENTRE = 7;
const SLOTS = 8;
const CAPACITY = {
  cpuMillis: 64_000,
  memoryMb: 131_072,
  accelerators: 0,
  slots: SLOTS,
  connections: 64,
};
const SERVICE_MS = 1_000;
const WINDOW_MS = 3_000;
/** Requests per second: well below the capacity of all data centres, and near the capacity of three. */
const LOADS = [100, 160] as const;
const LEAVE_AT_MS = 5_000;
const RETURN_AT_MS = 20_000;
const END_MS = 40_000;
const SECOND_MS = 1_000;
const SLOTS_BY_DATA_CENTRE = TARGETS_BY_DATA_CENTRE * SLOTS;

interface Sent {
  readonly atMs: number;
  readonly sending: SentRequest;
}

function createWorld(): World {
  const world = new World({
    seed: 11,
    memberCount: 3,
    dataCentreIds: DATA_CENTRES,
    targetsPerDataCentre: TARGETS_BY_DATA_CENTRE,
    capacity: CAPACITY,
  });
  world.runFor(2_500);
  const sheet = createSheet(['team-a'], DATA_CENTRES, { limitSlots: 100_000 });
  const change = { kind: 'applySheet', basedOnVersion: toConfigVersion(0), sheet } as const;
  world.call(0, { kind: 'changeConfig', change, operationId: toId('first') }, () => undefined);
  return world;
}

function setInService(world: World, inService: boolean): void {
  const dataCentreId = toId<DataCentreId>(LEAVING);
  const change = { kind: 'setDataCentre', dataCentreId, inService } as const;
  const operationId = toId<never>(`in-service-${inService}`);
  world.call(0, { kind: 'changeConfig', change, operationId }, () => undefined);
}

function send(gates: GateSimulation, count: number): SentRequest {
  return gates.send(count % GATE_COUNT, {
    kind: 'request',
    token: 'key-team-a:secret-team-a',
    queueId: toId<QueueId>('team-a'),
    requestId: toId<RequestId>(`r-${count}`),
    windowMs: WINDOW_MS,
    isIdempotent: true,
    serviceName: '',
    contentType: 'text/plain',
    body: Buffer.from(String(SERVICE_MS)),
  });
}

/** Number of requests that the slots in service could have run, bounded by the number sent. */
function getPossible(sentCount: number, dataCentreCount: number, durationMs: number): number {
  return Math.min(sentCount, (dataCentreCount * SLOTS_BY_DATA_CENTRE * durationMs) / SERVICE_MS);
}

function measure(perSecond: number): readonly Figure[] {
  const world = createWorld();
  const gates = new GateSimulation(world);
  world.runFor(14_000);
  const startMs = world.nowMs;
  const sent: Sent[] = [];
  world.schedule(LEAVE_AT_MS, () => setInService(world, false));
  world.schedule(RETURN_AT_MS, () => setInService(world, true));
  for (let count = 0; count < (END_MS / SECOND_MS) * perSecond; count += 1) {
    const atMs = (count * SECOND_MS) / perSecond;
    world.schedule(atMs, () => sent.push({ atMs, sending: send(gates, count) }));
  }
  world.runFor(END_MS + WINDOW_MS + SERVICE_MS);
  const getDone = (fromMs: number, toMs: number) =>
    sent.filter(({ atMs }) => atMs >= fromMs && atMs < toMs);
  const getFraction = (fromMs: number, toMs: number, dataCentreCount: number) => {
    const span = getDone(fromMs, toMs);
    const answered = span.filter(({ sending }) => sending.answer?.status === 200).length;
    return answered / getPossible(span.length, dataCentreCount, toMs - fromMs);
  };
  const runs = world.requestRuns.map((run) => ({
    atMs: run.atMs - startMs,
    isThere: run.address.startsWith(`target-${LEAVING}-`),
  }));
  const thereAfterOut = runs.filter(
    ({ atMs, isThere }) => isThere && atMs > LEAVE_AT_MS && atMs < RETURN_AT_MS,
  );
  const countThere = (fromMs: number) =>
    runs.filter(({ atMs, isThere }) => isThere && atMs >= fromMs && atMs < fromMs + SECOND_MS)
      .length;
  const perSecondThere = Array.from({ length: 12 }, (_, index) =>
    countThere(RETURN_AT_MS + index * SECOND_MS),
  );
  const steadyThere = countThere(END_MS - 2 * SECOND_MS);
  const figure = (name: string, value: number, unit: string) => ({
    name: `${perSecond} requests/s, ${name}`,
    value,
    unit,
  });
  const lastMs = Math.max(LEAVE_AT_MS, ...thereAfterOut.map(({ atMs }) => atMs));
  return [
    figure('completed fraction, all in service', getFraction(0, LEAVE_AT_MS, 4), ''),
    figure('completed fraction, one out of service', getFraction(LEAVE_AT_MS, RETURN_AT_MS, 3), ''),
    figure('completed fraction, all back in service', getFraction(RETURN_AT_MS, END_MS, 4), ''),
    figure('last start there after removal', lastMs - LEAVE_AT_MS, 'ms'),
    figure('starts there in the first second after return', perSecondThere[0] ?? 0, ''),
    figure(
      'most starts there per second in the first 12 s after return',
      Math.max(...perSecondThere),
      '',
    ),
    figure('starts there per second in steady state', steadyThere, ''),
  ];
}

/** The `datacentre` benchmark. */
export const datacentre: Bench = {
  name: 'datacentre',
  describe: 'completed fraction of the possible work while a data centre is out of service',
  async run() {
    return LOADS.flatMap(measure);
  },
};
