/**
 * Odd entries of other writers among those of the targets: each value of each field, under a new id and under that of a
 * live target, before a takeover and amid it, as a change and in a snapshot. Nothing of them remains once the target
 * has written again, and the others hold.
 */

import * as fc from 'fast-check';
import * as E from 'fp-ts/Either';
import { targetRegistry } from '../platform/targetRegistry';
import type { TargetEntry } from '../src/owner/types';
import type { TargetId } from '../src/types/ids';
import { WALL_START_MS } from './support/ownerSubmissions';
import { createSubmission, NO_FAULTS, OwnerWorld, toSubmissionId } from './support/ownerWorld';

/** Interval at which targets write their entries. */
const BEAT_MS = 1_500;

/** Time until all work is done when nothing is wrong. */
const FINISH_MS = 20_000;

/** Beats after which nothing of an odd entry may be left: the second own entry proves the first. */
const BEATS_TO_FORGET = 2;

const TARGET_COUNT = 5;
const NEW_ID = 'target-odd' as TargetId;
const ADDRESS_PREFIX = '10.0.0.';

/** The targets of the world have their ids as addresses, so addresses of rows are translated. */
function toRowAddress(address: string): string {
  return `${ADDRESS_PREFIX}${address.replace('target-', '10')}:80`;
}

function toWorldAddress(rowAddress: string): string {
  const match = /^10\.0\.0\.10(\d+):80$/.exec(rowAddress);
  return match === null ? rowAddress : `target-${match[1]}`;
}

type WireEntry = Record<string, unknown>;

function toWire(entry: TargetEntry, seq: number): WireEntry {
  return {
    ...{ service: entry.serviceName, addr: toRowAddress(entry.address), zone: entry.dataCentreId },
    ...{ version: 'v1', slots: 8, state: entry.isDraining ? 'draining' : 'ready' },
    ...{ 'cold-left-ms': 0, labels: entry.labels, born: entry.incarnationStartMs, seq },
    capacity: {
      cpu: entry.capacity.cpuMillis,
      'mem-mb': entry.capacity.memoryMb,
      gpu: entry.capacity.accelerators,
    },
  };
}

const NESTED = JSON.parse(`${'['.repeat(50)}${']'.repeat(50)}`) as unknown;

/** Values of other types, and numbers and texts out of all bounds. */
const STRANGE: readonly unknown[] = [
  ...[undefined, null, true, [], {}, '', 'x'.repeat(5_000), NESTED, [NESTED], { cpu: NESTED }],
  ...[-1, 0.5, 1e308, Number.MAX_SAFE_INTEGER, -Number.MAX_SAFE_INTEGER, '8', '\u0000'],
];

/** Values that a worker might write as well, so that only what follows tells them from its own. */
const PLAUSIBLE: Readonly<Record<string, readonly unknown[]>> = {
  service: ['other-service'],
  zone: ['other-zone'],
  state: ['draining'],
  labels: [[], ['other', 'rack-9'], Array.from({ length: 500 }, () => 'l')],
  addr: [
    ...['10.0.0.99:80', '10.0.0.102:80', '10.0.0.101:81', '0.0.0.0:80', '255.255.255.255:80'],
    ...['224.0.0.1:80', '10.0.0.1:0', '10.0.0.1:65536', '10.0.0.1:99999', '10.0.0.256:80'],
  ],
  born: [0, 1, 900, 2_500, WALL_START_MS, WALL_START_MS + 3_600_000, WALL_START_MS * 2],
  seq: [0, 1, 7, 100, 1_000_000, 2 ** 31],
  capacity: [
    ...[{}, { cpu: 0 }, { cpu: 1, 'mem-mb': 1 }, { cpu: 1e9, 'mem-mb': 1e12, gpu: 1e9 }],
    ...[{ cpu: -1 }, { cpu: 16_000, 'mem-mb': 1e308 }, { cpu: '1' }],
  ],
};

const FIELDS = ['service', 'addr', 'zone', 'state', 'capacity', 'labels', 'born', 'seq'] as const;

/** One to three fields of an entry with odd values. */
const oddFields = fc
  .uniqueArray(fc.constantFrom(...FIELDS), { minLength: 1, maxLength: 3 })
  .chain((fields) =>
    fc.tuple(
      ...fields.map((field) =>
        fc
          .oneof(
            { weight: 3, arbitrary: fc.constantFrom(...(PLAUSIBLE[field] ?? [])) },
            { weight: 1, arbitrary: fc.constantFrom(...STRANGE) },
          )
          .map((value) => [field, value] as const),
      ),
    ),
  );

const oddCase = fc.record({
  fields: oddFields,
  isNewId: fc.boolean(),
  when: fc.constantFrom('before', 'amid', 'without' as const),
  isSnapshot: fc.boolean(),
  /** How often the other writer repeats the entry before the target writes again. */
  repeats: fc.integer({ min: 1, max: 2 }),
  /** Whether the target runs something that would be noticed if it were started again. */
  isBusy: fc.boolean(),
});

type OddCase = typeof oddCase extends fc.Arbitrary<infer T> ? T : never;

/** A fleet whose entries are rows that pass through the decoder, as another writer may change them. */
class OddWorld {
  readonly world = new OwnerWorld({ seed: 7, targetCount: TARGET_COUNT, faults: NO_FAULTS });

  /** The target under whose id the other writer writes. */
  victim = 'target-1' as TargetId;

  #rows = new Map<TargetId, string>();

  #seqs = new Map<TargetId, number>();

  constructor() {
    this.world.targets.forEach((_target, id) => this.#writeOwn(id));
    this.#setListing();
    this.world.takeOver();
    this.world.run(200);
  }

  takeOver(): void {
    this.#setListing();
    this.world.takeOver();
  }

  /** Lets time pass in which targets write their entries; the silent one does not. */
  run(durationMs: number, silent?: TargetId): void {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += BEAT_MS) {
      this.world.run(Math.min(BEAT_MS, durationMs - elapsedMs));
      this.beat(silent);
    }
  }

  beat(silent?: TargetId): void {
    this.world.targets.forEach((_target, id) => {
      if (id === silent) return;
      this.#writeOwn(id);
      this.#readChange(id);
    });
  }

  writeOdd({ fields, isNewId, isSnapshot }: OddCase): void {
    const id = isNewId ? NEW_ID : this.victim;
    const own = this.world.targets.get(this.victim);
    if (own === undefined) throw new Error('expected the target');
    const seq = (this.#seqs.get(this.victim) ?? 0) + 1;
    this.#rows.set(
      id,
      JSON.stringify({ ...toWire(own.entry, seq), ...Object.fromEntries(fields) }),
    );
    if (!isSnapshot) {
      this.#readChange(id);
      return;
    }
    this.world.readRegistry(this.#list());
  }

  #writeOwn(id: TargetId): void {
    const target = this.world.targets.get(id);
    if (target === undefined) throw new Error('expected the target');
    const seq = (this.#seqs.get(id) ?? 0) + 1;
    this.#seqs.set(id, seq);
    this.#rows.set(id, JSON.stringify(toWire(target.entry, seq)));
  }

  #setListing(): void {
    this.world.registryListing = this.#list();
  }

  #list() {
    const decoded = [...this.#rows.keys()].map((id) => ({ id, entry: this.#decode(id) }));
    return {
      kind: 'targetsListed' as const,
      entries: decoded.flatMap(({ entry }) => (entry === undefined ? [] : [entry])),
      unreadableIds: decoded.flatMap(({ id, entry }) => (entry === undefined ? [id] : [])),
    };
  }

  #readChange(id: TargetId): void {
    const entry = this.#decode(id);
    if (entry !== undefined) this.world.readRegistry({ kind: 'targetChanged', entry });
  }

  #decode(id: TargetId): TargetEntry | undefined {
    const row = {
      table: 'servers',
      part: '',
      key: id,
      version: 1,
      value: this.#rows.get(id) ?? '',
    };
    const decoded = targetRegistry.decode(row, WALL_START_MS + this.world.time.nowMs);
    if (E.isLeft(decoded)) return undefined;
    return { ...decoded.right, address: toWorldAddress(decoded.right.address) };
  }
}

function getTargets(world: OwnerWorld) {
  const { targets } = world.core.dump() as {
    targets: readonly { id: string; isDraining: boolean; isListed: boolean; free: object }[];
  };
  return targets;
}

/** A long task on each target but one, on which one that is taken for lost would be started again. */
function occupy(odd: OddWorld): void {
  const { world } = odd;
  const step = { taskCount: TARGET_COUNT - 1, estimateMs: 9_000, maxTasksPerTarget: 1 };
  world.submit(createSubmission(1, [step]));
  world.run(1_000);
  const holder = [...world.targets.values()].find(({ runs }) => runs.size > 0);
  if (holder === undefined) throw new Error('expected a target with a run');
  odd.victim = holder.id;
}

/** Writes the odd entry and has the target write again; returns what went wrong. */
function playOddCase(oddity: OddCase): readonly string[] {
  const odd = new OddWorld();
  const { world } = odd;
  if (oddity.isBusy) occupy(odd);
  for (let repeat = 0; repeat < oddity.repeats; repeat += 1) {
    odd.writeOdd(oddity);
    world.run(400);
  }
  if (oddity.when === 'before') odd.takeOver();
  if (oddity.when === 'amid') {
    odd.takeOver();
    world.run(20);
    odd.writeOdd(oddity);
  }
  world.run(300);
  for (let beat = 0; beat < BEATS_TO_FORGET; beat += 1) {
    odd.beat();
    world.run(BEAT_MS);
  }
  const victim = getTargets(world).find(({ id }) => id === odd.victim);
  const isUsable = victim !== undefined && victim.isListed && !victim.isDraining;
  const problems = isUsable ? [] : [`the target is not used: ${JSON.stringify(victim)}`];
  const others = getTargets(world).filter(({ id }) => id !== odd.victim && id !== NEW_ID);
  if (others.length !== TARGET_COUNT - 1) problems.push('another target is missing');
  const requiredLabel = `r-${odd.victim.at(-1)}`;
  // Only the target itself has the label, so its service, labels and address are right when the tasks are done.
  world.submit(createSubmission(2, [{ taskCount: 4, estimateMs: 500, requiredLabel }]));
  world.submit(createSubmission(3, [{ taskCount: 4 * TARGET_COUNT, estimateMs: 1_000 }]));
  odd.run(FINISH_MS);
  const expectedIds = oddity.isBusy ? [1, 2, 3] : [2, 3];
  expectedIds.forEach((number) => {
    const state = world.getState(toSubmissionId(number));
    if (state !== 'succeeded') problems.push(`submission ${number} is ${state}`);
  });
  world.startCountByTask.forEach((count, key) => {
    if (count !== 1) problems.push(`${key} was started ${count} times`);
  });
  const free = getTargets(world).find(({ id }) => id === odd.victim)?.free;
  const capacity = world.targets.get(odd.victim)?.capacity;
  if (JSON.stringify(free) !== JSON.stringify(capacity))
    problems.push(
      `expected free capacity ${JSON.stringify(capacity)}, got ${JSON.stringify(free)}`,
    );
  return [...problems, ...world.broken];
}

describe('an odd entry', () => {
  test('leaves nothing once the target has written again', () => {
    fc.assert(
      fc.property(oddCase, (oddity) => {
        expect(playOddCase(oddity)).toEqual([]);
      }),
      { numRuns: 300 },
    );
  }, 120_000);

  const SAMPLES: readonly [string, Partial<OddCase> & Pick<OddCase, 'fields'>][] = [
    [
      'seq too large',
      {
        fields: [
          ['seq', Number.MAX_SAFE_INTEGER],
          ['state', 'draining'],
        ],
      },
    ],
    [
      'seq ahead',
      {
        fields: [
          ['seq', 1_000_000],
          ['state', 'draining'],
        ],
      },
    ],
    [
      'seq ahead with no capacity',
      {
        fields: [
          ['seq', 1_000],
          ['capacity', {}],
        ],
      },
    ],
    ['born too large', { fields: [['born', Number.MAX_SAFE_INTEGER]] }],
    ['born later', { fields: [['born', WALL_START_MS]] }],
    ['address of nobody', { fields: [['addr', '10.0.0.99:80']] }],
    ['address of another target', { fields: [['addr', '10.0.0.102:80']] }],
    [
      'later born at the address of nobody',
      {
        fields: [
          ['born', 2_500],
          ['addr', '10.0.0.99:80'],
        ],
      },
    ],
    ['deeply nested', { fields: [['labels', NESTED]] }],
    ['unknown state', { fields: [['state', 'gone']] }],
  ];
  const CASES = SAMPLES.flatMap(([name, sample]) =>
    (['before', 'amid', 'without'] as const).flatMap((when) =>
      [true, false].map(
        (isSnapshot) =>
          [
            `${name}, ${when} a takeover, ${isSnapshot ? 'snapshot' : 'change'}`,
            sample,
            when,
            isSnapshot,
          ] as const,
      ),
    ),
  );
  test.each(CASES)('%s', (_name, sample, when, isSnapshot) => {
    const oddity = { isNewId: false, repeats: 1, isBusy: true, when, isSnapshot, ...sample };
    expect(playOddCase(oddity as OddCase)).toEqual([]);
  });
});

/** The owner learns from one late write of the registry nothing about a target that drains. */
test('an entry of before the draining that is written late does not bring starts back', () => {
  const { world, victim } = new OddWorld();
  const own = world.targets.get(victim)?.entry;
  if (own === undefined) throw new Error('expected the target');
  const isDraining = () => getTargets(world).find(({ id }) => id === victim)?.isDraining;
  const entries = [
    { ...own, isDraining: true, revision: 10 },
    { ...own, revision: 9 },
    { ...own, isDraining: true, revision: 11 },
    { ...own, revision: 8 },
    { ...own, revision: 8 },
    { ...own, isDraining: true, revision: 12 },
    { ...own, revision: 9 },
  ];
  entries.forEach((entry) => {
    world.readRegistry({ kind: 'targetChanged', entry });
    world.run(500);
    expect(isDraining()).toBe(true);
  });
});
