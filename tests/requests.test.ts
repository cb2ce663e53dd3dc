/** Requests through several gates and schedulers under faults: at most once, true refusals, own answers. */

import fc from 'fast-check';
import { toConfigVersion, toId } from '../src/types/ids';
import { GATE_COUNT, GateLoop } from './support/gateLoop';
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

/** Builds a UUIDv7 of a time, unique by its index. */
function createId(issuedMs: number, index: number): string {
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
  /** Which known id to send again, 0 for a new one. */
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
  act: fc.oneof({ weight: 7, arbitrary: send }, { weight: 2, arbitrary: fault }),
});

type Send = typeof send extends fc.Arbitrary<infer T> ? T : never;
type Fault = typeof fault extends fc.Arbitrary<infer T> ? T : never;

interface KnownId {
  readonly requestId: string;
  readonly teamId: string;
  readonly isIdempotent: boolean;
  readonly body: string;
}

/** Runs one drawn history. */
class History {
  readonly world: World;

  readonly gates: GateLoop;

  readonly ids: KnownId[] = [];

  constructor(seed: number) {
    this.world = createWorld(seed);
    this.gates = new GateLoop(this.world);
    this.world.processes.forEach((process, index) => {
      process.wallClockOffsetMs = [-200, 0, 200][index] ?? 0;
    });
    this.world.runFor(1_500);
  }

  perform(act: Send | Fault): void {
    if (act.kind === 'send') this.#send(act);
    else this.#inject(act);
  }

  #send(act: Send): void {
    const known = this.ids[act.repeat - 1] ?? this.#createId(act);
    this.sendAgain(act.gate, known, act.windowMs);
  }

  sendAgain(gate: number, known: KnownId, windowMs: number): void {
    this.gates.send(gate, {
      kind: 'request',
      token: `key-${known.teamId}:secret-${known.teamId}`,
      queueId: toId(known.teamId),
      requestId: toId(known.requestId),
      windowMs,
      isIdempotent: known.isIdempotent,
      serviceName: '',
      contentType: 'text/plain',
      body: Buffer.from(known.body),
    });
  }

  #createId({ isIdempotent, isOfOtherTeam, issueSkewMs, serviceMs }: Send): KnownId {
    const index = this.ids.length + 1;
    const lastId = this.ids.at(-1)?.requestId;
    const isShared = this.ids.at(-2)?.requestId === lastId;
    const previous = isOfOtherTeam && !isShared ? lastId : undefined;
    const known = {
      requestId: previous ?? createId(this.world.nowMs + issueSkewMs, index),
      teamId: TEAMS[index % TEAMS.length] ?? '',
      isIdempotent,
      // The stand-in runs for as many milliseconds as the body says; the fraction makes it unique.
      body: `${serviceMs}.${String(index).padStart(6, '0')}`,
    };
    this.ids.push(known);
    return known;
  }

  #inject(act: Fault): void {
    const { world } = this;
    const undoAfter = (undo: () => void) => {
      if ('forMs' in act) world.schedule(act.forMs, undo);
    };
    switch (act.kind) {
      case 'reset':
        this.gates.reset(act.member);
        return;
      case 'kill':
        if (world.processes[act.member]?.isDown !== false) return;
        world.kill(act.member);
        this.gates.reset(act.member);
        undoAfter(() => world.restart(act.member));
        return;
      case 'pause':
        world.pause(act.member, act.forMs);
        return;
      case 'platformCut':
        world.setPlatformPartition(act.member, true);
        undoAfter(() => world.setPlatformPartition(act.member, false));
        return;
      case 'gateCut': {
        const link = `${act.gate}/${act.member}`;
        this.gates.cuts.add(link);
        undoAfter(() => this.gates.cuts.delete(link));
        return;
      }
      case 'platformDown':
        world.store.setFaults({ isDown: true });
        undoAfter(() => world.store.setFaults({ isDown: false }));
        return;
      case 'loseAnswers':
        world.answerFault = act.how;
        undoAfter(() => {
          world.answerFault = 'none';
        });
        return;
      case 'blackHole': {
        const target = [...world.targets.values()][act.target];
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

/** Counts over all histories, so that a run that tests nothing is seen. */
const seen = { answered: 0, notRun: 0, unknown: 0, repeats: 0, runs: 0 };

function check({ world, gates, ids }: History): void {
  const runCounts = countRuns(world);
  seen.runs += world.requestRuns.length;
  const getRuns = (known: KnownId) => runCounts.get(`${known.teamId}/${known.requestId}`) ?? 0;
  const doubled = ids.filter((known) => !known.isIdempotent && getRuns(known) > 1);
  expect(doubled).toEqual([]);
  ids.forEach((known) => {
    const { teamId, requestId } = known;
    const sendings = gates.sendings.filter(
      (sending) => sending.teamId === teamId && sending.requestId === requestId,
    );
    const outcomes = sendings.map((sending) => sending.answer?.headers['request-outcome']);
    if (sendings.length > 1) seen.repeats += 1;
    if (outcomes.every((outcome) => outcome === 'refused-not-run')) {
      seen.notRun += 1;
      expect(getRuns(known)).toBe(0);
    }
    seen.unknown += outcomes.filter((outcome) => outcome === 'unknown').length;
  });
  gates.sendings.forEach(({ body, answer }) => {
    expect(answer).toBeDefined();
    if (answer?.headers['request-outcome'] !== 'answered') return;
    seen.answered += 1;
    expect(String(answer.body)).toBe(body);
  });
}

describe('requests under faults', () => {
  test('run at most once, are truly not run when refused, and get their own answers', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 1_000 }),
        fc.array(step, { minLength: 20, maxLength: 60 }),
        (seed, steps) => {
          const history = new History(seed);
          steps.forEach(({ waitMs, act }) => {
            history.world.runFor(waitMs);
            history.perform(act);
          });
          history.world.runFor(12_000);
          // Callers that were left without an answer try again, through any gate.
          history.ids
            .filter((known) => !known.isIdempotent)
            .forEach((known, index) => history.sendAgain(index % GATE_COUNT, known, 2_000));
          history.world.runFor(8_000);
          check(history);
        },
      ),
      // A minimal history takes minutes to find; ask for it with SHRINK=1.
      { seed: 7, numRuns: 60, endOnFailure: process.env.SHRINK !== '1' },
    );
    expect(Object.values(seen).every((count) => count > 20)).toBe(true);
  });
});
