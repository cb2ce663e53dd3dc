/**
 * Sends random requests through several gates and schedulers while injecting faults. Guards against
 * non-idempotent requests that run twice, requests reported as not run that have run, and responses
 * that reach the wrong caller.
 */

import fc from 'fast-check';
import { toConfigVersion, toId } from '../src/types/ids';
import { GATE_COUNT, GateSimulation } from './support/gateSimulation';
import { createSheet } from './support/sheets';
import { World } from './support/world';

const DATA_CENTRES = ['rotterdam', 'delft'];
const TEAMS = ['team-a', 'team-b'];
const MEMBER_COUNT = 3;
const CAPACITY = {
  cpuMillis: 8_000,
  memoryMb: 8_192,
  accelerators: 0,
  slots: 1,
  connections: 16,
};

/** Builds a UUIDv7 with an issue time, made unique by an index. */
function createUuidV7(issuedMs: number, index: number): string {
  const time = Math.max(0, Math.trunc(issuedMs)).toString(16).padStart(12, '0');
  const tail = index.toString(16).padStart(12, '0');
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${tail}`;
}

function createWorld(seed: number): World {
  const world = new World({
    seed,
    memberCount: MEMBER_COUNT,
    dataCentreIds: DATA_CENTRES,
    targetsPerDataCentre: 3,
    capacity: CAPACITY,
  });
  world.runFor(2_000);
  const sheet = createSheet(TEAMS, DATA_CENTRES);
  const change = { kind: 'applySheet', basedOnVersion: toConfigVersion(0), sheet } as const;
  world.call(0, { kind: 'changeConfig', change, operationId: toId('op-1') }, () => undefined);
  world.runFor(7_000);
  return world;
}

const member = fc.nat(MEMBER_COUNT - 1);
const gateIndex = fc.nat(GATE_COUNT - 1);
const send = fc.record({
  kind: fc.constant('send' as const),
  gate: gateIndex,
  /** Index of the issued id to send again; 0 for a new id. */
  repeat: fc.oneof(fc.constant(0), fc.nat(40)),
  isOfOtherTeam: fc.boolean(),
  isIdempotent: fc.boolean(),
  serviceMs: fc.integer({ min: 5, max: 400 }),
  windowMs: fc.integer({ min: 100, max: 6_000 }),
  issueSkewMs: fc.oneof(
    { weight: 8, arbitrary: fc.integer({ min: -200, max: 400 }) },
    { weight: 1, arbitrary: fc.constantFrom(-30_000, 3_000, 60_000) },
  ),
});
const forMs = fc.integer({ min: 100, max: 9_000 });
const fault = fc.oneof(
  fc.record({ kind: fc.constant('kill' as const), member, forMs }),
  fc.record({ kind: fc.constant('pause' as const), member, forMs }),
  fc.record({ kind: fc.constant('platformCut' as const), member, forMs }),
  fc.record({ kind: fc.constant('gateCut' as const), member, gate: gateIndex, forMs }),
  fc.record({ kind: fc.constant('platformDown' as const), forMs }),
  fc.record({ kind: fc.constant('reset' as const), member }),
  fc.record({
    kind: fc.constant('loseAnswers' as const),
    how: fc.constantFrom('reset' as const, 'silent' as const),
    forMs,
  }),
  fc.record({ kind: fc.constant('blackHole' as const), target: fc.nat(5), forMs }),
);
const step = fc.record({
  waitMs: fc.oneof(fc.constant(0), fc.nat(50), fc.nat(1_000)),
  action: fc.oneof({ weight: 7, arbitrary: send }, { weight: 2, arbitrary: fault }),
});

type SendAction = typeof send extends fc.Arbitrary<infer T> ? T : never;
type FaultAction = typeof fault extends fc.Arbitrary<infer T> ? T : never;

interface IssuedId {
  readonly requestId: string;
  readonly teamId: string;
  readonly isIdempotent: boolean;
  readonly body: string;
}

/** Runs one generated sequence of requests and faults. */
class Scenario {
  readonly world: World;

  readonly gates: GateSimulation;

  readonly issuedIds: IssuedId[] = [];

  constructor(seed: number) {
    this.world = createWorld(seed);
    this.gates = new GateSimulation(this.world);
    this.world.processes.forEach((process, index) => {
      process.wallClockOffsetMs = [-200, 0, 200][index] ?? 0;
    });
    this.world.runFor(1_500);
  }

  perform(action: SendAction | FaultAction): void {
    if (action.kind === 'send') this.#send(action);
    else this.#injectFault(action);
  }

  #send(request: SendAction): void {
    const issued = this.issuedIds[request.repeat - 1] ?? this.#issueId(request);
    this.sendIssued(request.gate, issued, request.windowMs);
  }

  sendIssued(gate: number, issued: IssuedId, windowMs: number): void {
    this.gates.send(gate, {
      kind: 'request',
      token: `key-${issued.teamId}:secret-${issued.teamId}`,
      queueId: toId(issued.teamId),
      requestId: toId(issued.requestId),
      windowMs,
      isIdempotent: issued.isIdempotent,
      serviceName: '',
      contentType: 'text/plain',
      body: Buffer.from(issued.body),
    });
  }

  #issueId({ isIdempotent, isOfOtherTeam, issueSkewMs, serviceMs }: SendAction): IssuedId {
    const index = this.issuedIds.length + 1;
    const lastId = this.issuedIds.at(-1)?.requestId;
    const isShared = this.issuedIds.at(-2)?.requestId === lastId;
    const previous = isOfOtherTeam && !isShared ? lastId : undefined;
    const issued = {
      requestId: previous ?? createUuidV7(this.world.nowMs + issueSkewMs, index),
      teamId: TEAMS[index % TEAMS.length] ?? '',
      isIdempotent,
      // The target stub runs for the number of milliseconds in the body; the fraction makes it
      // unique.
      body: `${serviceMs}.${String(index).padStart(6, '0')}`,
    };
    this.issuedIds.push(issued);
    return issued;
  }

  #injectFault(action: FaultAction): void {
    const { world } = this;
    const undoAfter = (undo: () => void) => {
      if ('forMs' in action) world.schedule(action.forMs, undo);
    };
    switch (action.kind) {
      case 'reset':
        this.gates.resetConnections(action.member);
        return;
      case 'kill':
        if (world.processes[action.member]?.isDown !== false) return;
        world.kill(action.member);
        this.gates.resetConnections(action.member);
        undoAfter(() => world.restart(action.member));
        return;
      case 'pause':
        world.pause(action.member, action.forMs);
        return;
      case 'platformCut':
        world.setPlatformPartition(action.member, true);
        undoAfter(() => world.setPlatformPartition(action.member, false));
        return;
      case 'gateCut': {
        const link = `${action.gate}/${action.member}`;
        this.gates.partitionedLinks.add(link);
        undoAfter(() => this.gates.partitionedLinks.delete(link));
        return;
      }
      case 'platformDown':
        world.store.setFaults({ isDown: true });
        undoAfter(() => world.store.setFaults({ isDown: false }));
        return;
      case 'loseAnswers':
        world.answerFault = action.how;
        undoAfter(() => {
          world.answerFault = 'none';
        });
        return;
      case 'blackHole': {
        const target = [...world.targets.values()][action.target];
        target?.setFaults({ isBlackHole: true });
        undoAfter(() => target?.setFaults({ isBlackHole: false }));
        break;
      }
      default:
    }
  }
}

function countRuns(world: World): Map<string, number> {
  const counts = new Map<string, number>();
  world.requestRuns.forEach(({ teamId, requestId }) => {
    const key = `${teamId}/${requestId}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  });
  return counts;
}

/** Totals over all scenarios, checked at the end so that a test run without coverage fails. */
const totals = { answered: 0, notRun: 0, unknown: 0, repeats: 0, runs: 0 };

function checkScenario({ world, gates, issuedIds: ids }: Scenario): void {
  const runCounts = countRuns(world);
  totals.runs += world.requestRuns.length;
  const getRunCount = (issued: IssuedId) =>
    runCounts.get(`${issued.teamId}/${issued.requestId}`) ?? 0;
  const executedTwice = ids.filter((issued) => !issued.isIdempotent && getRunCount(issued) > 1);
  expect(executedTwice).toEqual([]);
  ids.forEach((issued) => {
    const { teamId, requestId } = issued;
    const sentRequests = gates.sentRequests.filter(
      (sentRequest) => sentRequest.teamId === teamId && sentRequest.requestId === requestId,
    );
    const outcomes = sentRequests.map(
      (sentRequest) => sentRequest.answer?.headers['request-outcome'],
    );
    if (sentRequests.length > 1) totals.repeats += 1;
    if (outcomes.every((outcome) => outcome === 'refused-not-run')) {
      totals.notRun += 1;
      expect(getRunCount(issued)).toBe(0);
    }
    totals.unknown += outcomes.filter((outcome) => outcome === 'unknown').length;
  });
  gates.sentRequests.forEach(({ body, answer }) => {
    expect(answer).toBeDefined();
    if (answer?.headers['request-outcome'] !== 'answered') return;
    totals.answered += 1;
    expect(String(answer.body)).toBe(body);
  });
}

describe('requests under faults', () => {
  test('run at most once, never run when refused, and get their own responses', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 1_000 }),
        fc.array(step, { minLength: 20, maxLength: 60 }),
        (seed, steps) => {
          const scenario = new Scenario(seed);
          steps.forEach(({ waitMs, action }) => {
            scenario.world.runFor(waitMs);
            scenario.perform(action);
          });
          scenario.world.runFor(12_000);
          // Sends every non-idempotent request again, through any gate, as callers without a
          // response do.
          scenario.issuedIds
            .filter((issued) => !issued.isIdempotent)
            .forEach((issued, index) => scenario.sendIssued(index % GATE_COUNT, issued, 2_000));
          scenario.world.runFor(8_000);
          checkScenario(scenario);
        },
      ),
      // Shrinking to a minimal scenario takes minutes; enable it with SHRINK=1.
      { seed: 7, numRuns: 60, endOnFailure: process.env.SHRINK !== '1' },
    );
    expect(Object.values(totals).every((count) => count > 20)).toBe(true);
  });
});
