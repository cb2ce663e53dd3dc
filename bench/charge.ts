/** Charging all limits of a start atomically, compared with charging them one by one. */

import { TargetPool } from '../src/placement/targetPool';
import type { Charge, Target } from '../src/placement/types';
import { toId } from '../src/types/ids';
import { Random } from '../src/types/random';
import { addResources, NO_RESOURCES, RESOURCE_KINDS } from '../src/types/resources';
import type { ResourceKind, ResourceVector } from '../src/types/resources';
import type { Benchmark, Figure } from './types';

const TARGET_COUNT = 30;
const ATTEMPT_COUNT = 20_000;
const TEAM_LIMIT_SLOTS = 150;
const SEED = 5;
const NS_PER_US = 1_000;
const CAPACITY: ResourceVector = {
  cpuMillis: 64_000,
  memoryMb: 131_072,
  accelerators: 2,
  slots: 8,
  connections: 64,
};

interface Charger {
  /** @returns a function that releases the charge, or undefined when the start was refused */
  tryCharge(targetIndex: number, demand: ResourceVector): (() => void) | undefined;
}

function createDemand(random: Random): ResourceVector {
  return {
    cpuMillis: 1_000 + random.nextInt(24_000),
    memoryMb: 1_024 + random.nextInt(48_000),
    accelerators: random.nextInt(2),
    slots: 1,
    connections: 1,
  };
}

function createAtomicCharger(): Charger {
  const pool = new TargetPool({
    getAllottedSlots: () => TEAM_LIMIT_SLOTS,
    recordShortage: () => undefined,
  });
  const targets = Array.from({ length: TARGET_COUNT }, (_, index): Target => ({
    targetId: toId(`t${index}`),
    shardId: toId('s'),
    address: '',
    dataCentreId: toId('d'),
    rack: 'r',
    capacity: CAPACITY,
    isLeaving: false,
  }));
  pool.updateTargets(targets);
  return {
    tryCharge(targetIndex, demand) {
      const result = pool.tryCharge(toId(`t${targetIndex}`), toId('team'), demand);
      if (result.kind !== 'charged') return undefined;
      const { charge }: { charge: Charge } = result;
      return () => pool.release(charge);
    },
  };
}

/** Charges each limit before it checks the next; a refusal leaks the charges made before it. */
function createSequentialCharger(): Charger {
  const free = Array.from({ length: TARGET_COUNT }, () => ({ ...CAPACITY }) as ResourceVector);
  let teamSlots = 0;
  const tryTake = (index: number, kind: ResourceKind, demand: ResourceVector): boolean => {
    const available = free[index] ?? NO_RESOURCES;
    if (available[kind] < demand[kind]) return false;
    free[index] = { ...available, [kind]: available[kind] - demand[kind] };
    return true;
  };
  return {
    tryCharge(targetIndex, demand) {
      if (teamSlots + demand.slots > TEAM_LIMIT_SLOTS) return undefined;
      teamSlots += demand.slots;
      if (!RESOURCE_KINDS.every((kind) => tryTake(targetIndex, kind, demand))) return undefined;
      return () => {
        teamSlots -= demand.slots;
        free[targetIndex] = addResources(free[targetIndex] ?? NO_RESOURCES, demand);
      };
    },
  };
}

function measure(name: string, charger: Charger): readonly Figure[] {
  const random = new Random(SEED);
  const running: (() => void)[] = [];
  let startedCount = 0;
  let secondHalfCount = 0;
  const startNs = process.hrtime.bigint();
  for (let attempt = 0; attempt < ATTEMPT_COUNT; attempt += 1) {
    const release = charger.tryCharge(random.nextInt(TARGET_COUNT), createDemand(random));
    if (release !== undefined) {
      startedCount += 1;
      if (attempt >= ATTEMPT_COUNT / 2) secondHalfCount += 1;
      running.push(release);
    }
    if (random.nextInt(3) === 0) running.shift()?.();
  }
  const elapsedNs = Number(process.hrtime.bigint() - startNs);
  return [
    { name: `${name}, started of ${ATTEMPT_COUNT} attempts`, value: startedCount, unit: 'starts' },
    { name: `${name}, started in the second half`, value: secondHalfCount, unit: 'starts' },
    { name: `${name}, time per attempt`, value: elapsedNs / ATTEMPT_COUNT / NS_PER_US, unit: 'us' },
  ];
}

/** The `charge` benchmark. */
export const charge: Benchmark = {
  name: 'charge',
  description: 'all limits of a start charged atomically, compared with one by one',
  async run() {
    return [
      ...measure('atomic', createAtomicCharger()),
      ...measure('baseline sequential', createSequentialCharger()),
    ];
  },
};
