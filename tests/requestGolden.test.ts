/**
 * Compares the effects of one gate and one request table for a fixed event sequence with a golden
 * file.
 */

import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { GateCore } from '../src/gate/core';
import type { GateCall, GateEvent } from '../src/gate/types';
import { TargetPool } from '../src/placement/targetPool';
import type { Target } from '../src/placement/types';
import { DeduplicationTable } from '../src/requests/deduplicationTable';
import { RequestTable } from '../src/requests/requestTable';
import type { RequestStart } from '../src/rpc/types';
import type { TargetResult } from '../src/target/types';
import { getHomeShard } from '../src/lease/shards';
import { toConfigVersion, toEpoch, toId } from '../src/types/ids';
import { createSheet } from './support/sheets';

const GOLDEN_FILE = join(__dirname, 'golden', 'requests.golden.json');
const FIRST_UUID = '00000000-2710-7000-8000-000000000001';
const SECOND_UUID = '00000000-2710-7000-8000-000000000002';
const CAPACITY = { cpuMillis: 1, memoryMb: 1, accelerators: 0, slots: 1, connections: 4 };

function createCall(requestId: string, isIdempotent: boolean): GateCall {
  return {
    kind: 'request',
    token: 'key-team-a:secret-team-a',
    queueId: toId('team-a'),
    requestId: toId(requestId),
    windowMs: 2_000,
    isIdempotent,
    serviceName: '',
    contentType: 'text/plain',
    body: Buffer.from('siding 4'),
  };
}

function createMember(name: string) {
  return {
    memberId: toId<never>(name),
    address: name,
    dataCentreId: toId<never>('delft'),
    configVersion: toConfigVersion(1),
    isDraining: false,
    freeSlots: name === 's0' ? 8 : 4,
    queuedRequests: 0,
    activeShards: [toId<never>('targets.delft.0')],
    services: [],
  };
}

function runGate(): readonly unknown[] {
  const core = new GateCore(
    {
      gateId: 'g0',
      dataCentreId: toId('delft'),
      listen: { host: '127.0.0.1', port: 1 },
      schedulerAddresses: ['s0', 's1'],
      operatorTokenDigest: '',
      maxBodyBytes: 1,
      bodyTimeoutMs: 1,
      maxOpenRequests: 10,
      drainTimeoutMs: 1,
      logLevel: 'info',
    },
    'g0#1',
  );
  const homeOwners = [FIRST_UUID, SECOND_UUID].map((id) => ({
    shardId: getHomeShard(id),
    memberId: toId<never>('s0'),
    epoch: toEpoch(1),
  }));
  const version = toConfigVersion(1);
  const config = { version, sheet: createSheet(['team-a'], ['delft']), tombstones: [] };
  const routes = {
    configVersion: version,
    freshForMs: 60_000,
    members: [createMember('s0'), createMember('s1')],
    homeOwners,
  };
  const answered = {
    kind: 'answered',
    status: 200,
    contentType: 'text/plain',
    bodyBase64: Buffer.from('siding 4').toString('base64'),
    targetId: 't0',
  };
  const reply = (nowMs: number, callId: number, attempt: number, result: unknown): GateEvent => ({
    kind: 'schedulerReplied',
    nowMs,
    origin: { kind: 'forward', callId, attempt },
    result: result as never,
  });
  const refusal = { kind: 'ok', value: { kind: 'refusedNotRun', reason: 'limitReached' } };
  const routesReply = (nowMs: number): GateEvent => ({
    kind: 'schedulerReplied',
    nowMs,
    origin: { kind: 'routes', address: 's0', sentMs: nowMs },
    result: { kind: 'ok', value: routes },
  });
  const events: readonly GateEvent[] = [
    { kind: 'arrived', nowMs: 5, callId: 1, call: createCall('too-early', true) },
    routesReply(10),
    {
      kind: 'schedulerReplied',
      nowMs: 12,
      origin: { kind: 'config' },
      result: { kind: 'ok', value: config },
    },
    routesReply(14),
    // Refused by one scheduler and accepted by the other; a late reply of the first is discarded.
    { kind: 'arrived', nowMs: 20, callId: 2, call: createCall('quote-1', true) },
    reply(21, 2, 1, refusal),
    reply(22, 2, 1, { kind: 'ok', value: answered }),
    reply(23, 2, 2, { kind: 'ok', value: answered }),
    // An idempotent request whose response is lost is retried and never reported as not run
    // afterwards.
    { kind: 'arrived', nowMs: 30, callId: 3, call: createCall('quote-2', true) },
    reply(31, 3, 1, { kind: 'lost', detail: 'reset' }),
    reply(32, 3, 2, refusal),
    // A non-idempotent request is not retried.
    { kind: 'arrived', nowMs: 40, callId: 4, call: createCall(FIRST_UUID, false) },
    reply(41, 4, 1, { kind: 'lost', detail: 'reset' }),
    // The caller disconnects; the attempt is cancelled.
    { kind: 'arrived', nowMs: 50, callId: 5, call: createCall(SECOND_UUID, false) },
    { kind: 'callerGone', nowMs: 51, callId: 5 },
    reply(52, 5, 1, { kind: 'ok', value: answered }),
    // The home scheduler is unreachable at first; the request is retried after a back-off.
    { kind: 'arrived', nowMs: 60, callId: 6, call: createCall(FIRST_UUID, false) },
    reply(61, 6, 1, { kind: 'notSent', isRefused: true }),
    { kind: 'tick', nowMs: 170 },
    reply(171, 6, 2, { kind: 'ok', value: { kind: 'duplicateRunning' } }),
    { kind: 'drainRequested', nowMs: 200 },
    { kind: 'arrived', nowMs: 201, callId: 7, call: createCall('quote-3', true) },
    { kind: 'arrived', nowMs: 202, callId: 8, call: { kind: 'health' } },
  ];
  return events.map((event) => ({ event, effects: core.reduce(event) }));
}

function createTarget(index: number): Target {
  return {
    targetId: toId(`t${index}`),
    shardId: toId('targets.delft.0'),
    address: `t${index}`,
    dataCentreId: toId('delft'),
    rack: 'r0',
    capacity: CAPACITY,
    isLeaving: false,
  };
}

function createStart(requestId: string, isIdempotent: boolean, windowMs: number): RequestStart {
  return {
    kind: 'startRequest',
    requestId: toId(requestId),
    cancelId: `cancel-${requestId}`,
    teamId: toId('team-a'),
    keyId: toId('key-team-a'),
    queueId: toId('team-a'),
    serviceName: '',
    isIdempotent,
    windowRemainingMs: windowMs,
    contentType: 'text/plain',
    bodyBase64: '',
  };
}

function runTable(): readonly unknown[] {
  const pool = new TargetPool({ getAllottedSlots: () => 10, recordShortage: () => undefined });
  pool.updateTargets([createTarget(0), createTarget(1)]);
  const getQueue = (urgency: 'urgent' | 'normal') => ({
    queueId: toId<never>('team-a'),
    access: { kind: 'open' } as const,
    urgency,
  });
  let homeUntilMs = 1_000;
  const deduplication = new DeduplicationTable();
  deduplication.markTakenOver(getHomeShard(FIRST_UUID));
  deduplication.tick(0, 0);
  const table = new RequestTable({
    pool,
    deduplication,
    nearDataCentreId: toId('delft'),
    admission: { checkAdmission: () => getQueue('normal') },
    homeGuard: { getHomeUntilMs: () => homeUntilMs },
    guard: {
      tryGetOwnerPermit: () => ({ epoch: toEpoch(3), untilMs: 5_000 }),
      tryGetPermit: () => ({ epoch: toEpoch(3), untilMs: 5_000 }),
      getCandidates: () => pool.targets,
      getReplicas: () => [],
    },
  });
  const session: unknown[] = [];
  const record = (step: string, effects: readonly unknown[]) => session.push({ step, effects });
  const start = (
    nowMs: number,
    callId: number,
    requestId: string,
    options: { isIdempotent?: boolean; windowMs?: number; urgency?: 'urgent' | 'normal' } = {},
  ) => {
    const { isIdempotent = true, windowMs = 900, urgency = 'normal' } = options;
    const call = createStart(requestId, isIdempotent, windowMs);
    record(`start ${requestId}`, table.start(nowMs, { callId, call, queue: getQueue(urgency) }));
  };
  const reply = (nowMs: number, callId: number, attempt: number, result: TargetResult) => {
    const origin = { kind: 'request', callId, attempt } as const;
    record(`${result.kind} for call ${callId}`, table.applyTargetResult(nowMs, origin, result));
  };
  const answer = (requestId: string): TargetResult => ({
    kind: 'answer',
    requestId: toId(requestId),
    status: 200,
    contentType: 'text/plain',
    bodyBase64: '',
  });
  start(10, 1, 'quote-1');
  start(11, 2, 'quote-2');
  start(12, 3, 'quote-3');
  start(13, 4, 'quote-4', { urgency: 'urgent' });
  start(14, 5, 'quote-2');
  record('cancel quote-3', table.cancel(15, 'cancel-quote-3'));
  reply(30, 1, 1, answer('quote-1'));
  reply(31, 1, 1, answer('quote-1'));
  reply(40, 4, 1, { kind: 'lost', detail: 'reset' });
  reply(50, 2, 1, answer('quote-2'));
  start(51, 6, 'hasty', { windowMs: 5 });
  reply(60, 4, 2, { kind: 'refused', detail: 'full', highestEpoch: toEpoch(3) });
  start(70, 7, FIRST_UUID, { isIdempotent: false });
  homeUntilMs = 75;
  reply(80, 4, 3, answer('quote-4'));
  session.push({ memory: deduplication.getState(toId('team-a'), toId(FIRST_UUID), 10_100) });
  homeUntilMs = 1_000;
  start(90, 8, FIRST_UUID, { isIdempotent: false });
  reply(95, 8, 1, { kind: 'lost', detail: 'reset' });
  session.push({ memory: deduplication.getState(toId('team-a'), toId(FIRST_UUID), 10_100) });
  start(96, 9, 'quote-5', { windowMs: 20 });
  record('tick', table.tick(120));
  return session;
}

test('requests match the golden session', () => {
  const session = JSON.parse(JSON.stringify({ gate: runGate(), table: runTable() }));
  if (process.env.ACCEPT_GOLDEN === '1') {
    writeFileSync(GOLDEN_FILE, `${JSON.stringify(session, null, 2)}\n`);
  }
  expect(session).toEqual(JSON.parse(readFileSync(GOLDEN_FILE, 'utf8')));
});
