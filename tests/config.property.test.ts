/**
 * Random interleavings of operators' changes and faults: no work starts under a configuration that
 * was overridden more than 9 s before (guarantees 3, 4, 6 and 10), and no process returns to an older
 * version (guarantee 12).
 */

import * as fc from 'fast-check';
import type { ConfigChange } from '../src/config/types';
import { EMPTY_CONFIG } from '../src/config/types';
import { getDigest } from '../src/config/keys';
import { toConfigVersion, toId } from '../src/types/ids';
import { GATE_COUNT } from './support/gateSimulation';
import { ConfigWorld, createConfigSheet, DATA_CENTRES, TEAMS } from './support/configWorld';

const MEMBER_COUNT = 3;

type Step =
  | { readonly kind: 'change'; readonly index: number; readonly change: ConfigChange }
  | { readonly kind: 'sheet'; readonly index: number; readonly basedOnVersion: number }
  | {
      readonly kind:
        'kill' | 'restart' | 'partition' | 'heal' | 'isolate' | 'rejoin' | 'staleOffer';
      readonly index: number;
    }
  | { readonly kind: 'pause'; readonly index: number; readonly durationMs: number }
  | { readonly kind: 'link'; readonly index: number; readonly isPartitioned: boolean }
  | { readonly kind: 'platform'; readonly isDown: boolean; readonly delayMs: number }
  | { readonly kind: 'leave'; readonly address: string }
  | {
      readonly kind: 'gateLink';
      readonly gate: number;
      readonly index: number;
      readonly isPartitioned: boolean;
    }
  | { readonly kind: 'loseAnswers'; readonly count: number };

const arbitraryMemberIndex = fc.nat({ max: MEMBER_COUNT - 1 });
const arbitraryTeamId = fc.constantFrom(...TEAMS);

const arbitraryChange: fc.Arbitrary<ConfigChange> = fc.oneof(
  arbitraryTeamId.map(
    (team) => ({ kind: 'withdrawKey', keyId: toId(`key-${team}`) }) as ConfigChange,
  ),
  arbitraryTeamId.map((team) => {
    const secretDigest = getDigest(`secret-${team}`);
    const key = { keyId: toId(`key-${team}`), teamId: toId(team), secretDigest } as const;
    return { kind: 'grantKey', key } as ConfigChange;
  }),
  fc
    .tuple(fc.constantFrom(...DATA_CENTRES), fc.boolean())
    .map(
      ([dataCentreId, inService]) =>
        ({ kind: 'setDataCentre', dataCentreId: toId(dataCentreId), inService }) as ConfigChange,
    ),
);

const arbitraryStep: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('change'),
      index: arbitraryMemberIndex,
      change: arbitraryChange,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('sheet'),
      index: arbitraryMemberIndex,
      basedOnVersion: fc.integer({ min: 1, max: 6 }),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constantFrom('kill', 'restart', 'partition', 'heal'),
      index: arbitraryMemberIndex,
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constantFrom('isolate', 'rejoin', 'staleOffer'),
      index: arbitraryMemberIndex,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('pause'),
      index: arbitraryMemberIndex,
      durationMs: fc.integer({ min: 500, max: 14_000 }),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('link'),
      index: arbitraryMemberIndex,
      isPartitioned: fc.boolean(),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('platform'),
      isDown: fc.boolean(),
      delayMs: fc.constantFrom(0, 0, 300, 1_200),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('leave'),
      address: fc.constantFrom('target-rotterdam-0', 'target-rotterdam-2', 'target-delft-1'),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('gateLink'),
      gate: fc.nat({ max: GATE_COUNT - 1 }),
      index: arbitraryMemberIndex,
      isPartitioned: fc.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('loseAnswers'),
      count: fc.integer({ min: 1, max: 3 }),
    }),
  },
) as fc.Arbitrary<Step>;

const arbitraryScenario = fc.record({
  seed: fc.nat(),
  steps: fc.array(fc.tuple(fc.constantFrom(0, 0, 300, 1_500, 4_000, 10_000), arbitraryStep), {
    minLength: 4,
    maxLength: 14,
  }),
});

function applyStep(config: ConfigWorld, step: Step): void {
  const { world } = config;
  switch (step.kind) {
    case 'change':
      config.change(step.index, step.change);
      return;
    case 'sheet': {
      const basedOnVersion = toConfigVersion(step.basedOnVersion);
      config.change(step.index, { kind: 'applySheet', basedOnVersion, sheet: createConfigSheet() });
      return;
    }
    case 'kill':
      world.kill(step.index);
      return;
    case 'restart':
      world.restart(step.index);
      return;
    case 'partition':
    case 'heal':
      world.setPlatformPartition(step.index, step.kind === 'partition');
      return;
    case 'isolate':
    case 'rejoin': {
      const isPartitioned = step.kind === 'isolate';
      world.setPlatformPartition(step.index, isPartitioned);
      world.setPeerPartition(step.index, (step.index + 1) % MEMBER_COUNT, isPartitioned);
      world.setPeerPartition(step.index, (step.index + 2) % MEMBER_COUNT, isPartitioned);
      return;
    }
    case 'staleOffer': {
      const [oldest] = config.getVersions();
      const offer = { kind: 'offerConfig', config: oldest ?? EMPTY_CONFIG } as const;
      world.call(step.index, offer, () => undefined);
      return;
    }
    case 'pause':
      world.pause(step.index, step.durationMs);
      return;
    case 'link':
      world.setPeerPartition(step.index, (step.index + 1) % MEMBER_COUNT, step.isPartitioned);
      return;
    case 'leave':
      config.startLeaving(step.address);
      return;
    case 'gateLink': {
      const link = `${step.gate}/${step.index}`;
      if (step.isPartitioned) config.gates.partitionedLinks.add(link);
      else config.gates.partitionedLinks.delete(link);
      return;
    }
    case 'platform':
      world.store.setFaults({ isDown: step.isDown, delayMs: step.delayMs });
      return;
    default:
      world.store.setFaults({ loseAnswerCount: step.count });
  }
}

test('no work starts under a configuration overridden 9 s before, and no version decreases', () => {
  let answered = 0;
  let runs = 0;
  fc.assert(
    fc.property(arbitraryScenario, ({ seed, steps }) => {
      const config = new ConfigWorld(seed, MEMBER_COUNT);
      steps.forEach(([waitMs, next]) => {
        config.runFor(waitMs);
        applyStep(config, next);
      });
      config.runFor(11_000);
      answered += config.answered.length;
      runs += config.world.requestRuns.length;
      expect(config.violations).toEqual([]);
    }),
    { seed: 4, numRuns: Number(process.env.CONFIG_RUNS ?? 40) },
  );
  // Guards against vacuous runs in which the faults prevent all changes and runs.
  expect(answered).toBeGreaterThan(60);
  expect(runs).toBeGreaterThan(10_000);
});
