/** Completed fraction of the possible work while a data centre is out of service, in virtual time. */

import { toConfigVersion, toId } from '../src/types/ids';
import type { DataCentreId, QueueId, RequestId } from '../src/types/ids';
import { createSheet } from '../tests/support/sheets';
import { GATE_COUNT, GateSimulation } from '../tests/support/gateSimulation';
import type { SentRequest } from '../tests/support/gateSimulation';
import { World } from '../tests/support/world';
import type { Benchmark, Figure } from './types';

const DATA_CENTRES = ['rotterdam', 'kijfhoek', 'amsterdam', 'delft'];
const DRAINED_DATA_CENTRE = 'delft';
const TARGETS_PER_DATA_CENTRE = 7;
const SLOTS_PER_TARGET = 8;
const CAPACITY = {
  cpuMillis: 64_000,
  memoryMb: 131_072,
  accelerators: 0,
  slots: SLOTS_PER_TARGET,
  connections: 64,
};
const SERVICE_MS = 1_000;
const WINDOW_MS = 3_000;
/** Requests per second: well below the capacity of all data centres, and near the capacity of three. */
const LOADS = [100, 160] as const;
const OUT_OF_SERVICE_AT_MS = 5_000;
const BACK_IN_SERVICE_AT_MS = 20_000;
const END_MS = 40_000;
const MS_PER_SECOND = 1_000;
const SLOTS_PER_DATA_CENTRE = TARGETS_PER_DATA_CENTRE * SLOTS_PER_TARGET;

interface TimedRequest {
  readonly atMs: number;
  readonly sending: SentRequest;
}

function createWorld(): World {
  const world = new World({
    seed: 11,
    memberCount: 3,
    dataCentreIds: DATA_CENTRES,
    targetsPerDataCentre: TARGETS_PER_DATA_CENTRE,
    capacity: CAPACITY,
  });
  world.runFor(2_500);
  const sheet = createSheet(['team-a'], DATA_CENTRES, { limitSlots: 100_000 });
  const change = { kind: 'applySheet', basedOnVersion: toConfigVersion(0), sheet } as const;
  world.call(0, { kind: 'changeConfig', change, operationId: toId('first') }, () => undefined);
  return world;
}

function setInService(world: World, inService: boolean): void {
  const dataCentreId = toId<DataCentreId>(DRAINED_DATA_CENTRE);
  const change = { kind: 'setDataCentre', dataCentreId, inService } as const;
  const operationId = toId<never>(`in-service-${inService}`);
  world.call(0, { kind: 'changeConfig', change, operationId }, () => undefined);
}

function sendRequest(gates: GateSimulation, requestNumber: number): SentRequest {
  return gates.send(requestNumber % GATE_COUNT, {
    kind: 'request',
    token: 'key-team-a:secret-team-a',
    queueId: toId<QueueId>('team-a'),
    requestId: toId<RequestId>(`r-${requestNumber}`),
    windowMs: WINDOW_MS,
    isIdempotent: true,
    serviceName: '',
    contentType: 'text/plain',
    body: Buffer.from(String(SERVICE_MS)),
  });
}

/** Number of requests that the slots in service could have run, bounded by the number sent. */
function getMaxCompletions(sentCount: number, dataCentreCount: number, durationMs: number): number {
  return Math.min(sentCount, (dataCentreCount * SLOTS_PER_DATA_CENTRE * durationMs) / SERVICE_MS);
}

function measure(requestsPerSecond: number): readonly Figure[] {
  const world = createWorld();
  const gates = new GateSimulation(world);
  world.runFor(14_000);
  const startMs = world.nowMs;
  const sent: TimedRequest[] = [];
  world.schedule(OUT_OF_SERVICE_AT_MS, () => setInService(world, false));
  world.schedule(BACK_IN_SERVICE_AT_MS, () => setInService(world, true));
  for (
    let requestNumber = 0;
    requestNumber < (END_MS / MS_PER_SECOND) * requestsPerSecond;
    requestNumber += 1
  ) {
    const atMs = (requestNumber * MS_PER_SECOND) / requestsPerSecond;
    world.schedule(atMs, () => sent.push({ atMs, sending: sendRequest(gates, requestNumber) }));
  }
  world.runFor(END_MS + WINDOW_MS + SERVICE_MS);
  const getSentBetween = (fromMs: number, toMs: number) =>
    sent.filter(({ atMs }) => atMs >= fromMs && atMs < toMs);
  const getCompletedFraction = (fromMs: number, toMs: number, dataCentreCount: number) => {
    const sentInInterval = getSentBetween(fromMs, toMs);
    const answeredCount = sentInInterval.filter(
      ({ sending }) => sending.answer?.status === 200,
    ).length;
    return answeredCount / getMaxCompletions(sentInInterval.length, dataCentreCount, toMs - fromMs);
  };
  const runs = world.requestRuns.map((run) => ({
    atMs: run.atMs - startMs,
    isInDrained: run.address.startsWith(`target-${DRAINED_DATA_CENTRE}-`),
  }));
  const startsWhileOut = runs.filter(
    ({ atMs, isInDrained }) =>
      isInDrained && atMs > OUT_OF_SERVICE_AT_MS && atMs < BACK_IN_SERVICE_AT_MS,
  );
  const countStartsInSecond = (fromMs: number) =>
    runs.filter(
      ({ atMs, isInDrained }) => isInDrained && atMs >= fromMs && atMs < fromMs + MS_PER_SECOND,
    ).length;
  const startsBySecond = Array.from({ length: 12 }, (_, index) =>
    countStartsInSecond(BACK_IN_SERVICE_AT_MS + index * MS_PER_SECOND),
  );
  const steadyStarts = countStartsInSecond(END_MS - 2 * MS_PER_SECOND);
  const createFigure = (name: string, value: number, unit: string) => ({
    name: `${requestsPerSecond} requests/s, ${name}`,
    value,
    unit,
  });
  const lastStartAtMs = Math.max(OUT_OF_SERVICE_AT_MS, ...startsWhileOut.map(({ atMs }) => atMs));
  return [
    createFigure(
      'completed fraction, all in service',
      getCompletedFraction(0, OUT_OF_SERVICE_AT_MS, 4),
      '',
    ),
    createFigure(
      'completed fraction, one out of service',
      getCompletedFraction(OUT_OF_SERVICE_AT_MS, BACK_IN_SERVICE_AT_MS, 3),
      '',
    ),
    createFigure(
      'completed fraction, all back in service',
      getCompletedFraction(BACK_IN_SERVICE_AT_MS, END_MS, 4),
      '',
    ),
    createFigure('last start there after removal', lastStartAtMs - OUT_OF_SERVICE_AT_MS, 'ms'),
    createFigure('starts there in the first second after return', startsBySecond[0] ?? 0, ''),
    createFigure(
      'most starts there per second in the first 12 s after return',
      Math.max(...startsBySecond),
      '',
    ),
    createFigure('starts there per second in steady state', steadyStarts, ''),
  ];
}

/** The `datacentre` benchmark. */
export const datacentre: Benchmark = {
  name: 'datacentre',
  description: 'completed fraction of the possible work while a data centre is out of service',
  async run() {
    return LOADS.flatMap(measure);
  },
};
