/** Time until a configuration change is in force in every process, and its traffic, in virtual time. */

import type { SchedulerEffect } from '../src/scheduler/types';
import { toConfigVersion, toId } from '../src/types/ids';
import type { OperationId } from '../src/types/ids';
import type { ConfigChange } from '../src/config/types';
import { createSheet } from '../tests/support/sheets';
import { World } from '../tests/support/world';
import type { SchedulerProcess } from '../tests/support/world';
import type { Benchmark, Figure } from './types';

const MEMBER_COUNTS = [3, 6, 9];
const SCENARIOS = [
  'no fault',
  'one process paused',
  'one peer link cut',
  'platform unreachable from one',
] as const;
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
const TEAM_COUNT = 44;
const DATA_CENTRES = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
const CAPACITY = { cpuMillis: 1, memoryMb: 1, accelerators: 0, slots: 8, connections: 64 };
const SETTLE_MS = 14_000;
const PAUSE_MS = 8_000;
const CHECK_INTERVAL_MS = 20;
const IDLE_MEASURE_MS = 20_000;
const MAX_WAIT_MS = 20_000;
const CHANGES_PER_DAY = 390;
const SECONDS_PER_DAY = 86_400;
const WITHDRAW_KEY_CHANGE: ConfigChange = { kind: 'withdrawKey', keyId: toId('key-team-1') };

type Scenario = (typeof SCENARIOS)[number];

/** Duration and traffic of one change. */
interface ChangeRun {
  /** Time until no process admits requests under an older version. */
  readonly inForceMs: number;
  /** Time until all processes run unpaused and have adopted the version. */
  readonly adoptedMs: number;
  readonly answeredMs: number;
  /** Time until the periodic reads of every process have returned the version: the delay with polling alone. */
  readonly polledMs: number;
  readonly messageCount: number;
  readonly byteCount: number;
}

function createWorld(seed: number, memberCount: number): World {
  const dataCentreIds = DATA_CENTRES;
  const options = { seed, memberCount, dataCentreIds, targetsPerDataCentre: 1, capacity: CAPACITY };
  const world = new World(options);
  world.runFor(2_500);
  const teamIds = Array.from({ length: TEAM_COUNT }, (_, index) => `team-${index}`);
  const sheet = createSheet(teamIds, dataCentreIds);
  const change = { kind: 'applySheet', basedOnVersion: toConfigVersion(0), sheet } as const;
  world.call(0, { kind: 'changeConfig', change, operationId: toId('first') }, () => undefined);
  world.runFor(SETTLE_MS + seed * 97);
  return world;
}

function injectFault(world: World, scenario: Scenario): void {
  const last = world.processes.length - 1;
  if (scenario === 'one process paused') world.pause(last, PAUSE_MS);
  if (scenario === 'one peer link cut') world.setPeerPartition(0, last, true);
  if (scenario === 'platform unreachable from one') world.setPlatformPartition(last, true);
}

function isChangeTraffic(effect: SchedulerEffect): boolean {
  switch (effect.kind) {
    case 'callPlatform':
      return ['configChangeRead', 'configChangeWrite'].includes(effect.origin.kind);
    case 'callPeer':
      return ['configFetch', 'configOffer'].includes(effect.origin.kind);
    default:
      return false;
  }
}

function measure(seed: number, memberCount: number, scenario: Scenario): ChangeRun {
  const world = createWorld(seed, memberCount);
  injectFault(world, scenario);
  const startMs = world.nowMs;
  const polledMsByProcess = new Map<number, number>();
  let [messageCount, byteCount, answeredMs] = [0, 0, Number.NaN];
  world.onEvent = (process, event, effects) => {
    effects.filter(isChangeTraffic).forEach((effect) => {
      messageCount += 1;
      byteCount += JSON.stringify(effect).length;
    });
    const isRead = event.kind === 'platformReplied' && event.origin.kind === 'configHead';
    if (!isRead || event.result.kind !== 'rows') return;
    const { version } = (event.result.rows[0]?.value ?? { version: 0 }) as { version: number };
    if (version >= 2 && !polledMsByProcess.has(process.index)) {
      polledMsByProcess.set(process.index, world.nowMs - startMs);
    }
  };
  const operationId = toId<OperationId>('change');
  const call = { kind: 'changeConfig', change: WITHDRAW_KEY_CHANGE, operationId } as const;
  world.call(0, call, () => {
    answeredMs = world.nowMs - startMs;
  });
  let [inForceMs, adoptedMs] = [Number.NaN, Number.NaN];
  const isAdopted = (process: SchedulerProcess) =>
    process.core.dump(world.nowMs).configVersion >= 2;
  const isInForce = (process: SchedulerProcess) =>
    isAdopted(process) || process.core.dump(world.nowMs).configFreshForMs <= 0;
  while (world.nowMs < startMs + MAX_WAIT_MS) {
    world.runFor(CHECK_INTERVAL_MS);
    const elapsedMs = world.nowMs - startMs;
    const connected = world.processes.filter((process) => world.nowMs >= process.pausedUntilMs);
    if (Number.isNaN(inForceMs) && world.processes.every(isInForce)) inForceMs = elapsedMs;
    const isAdoptedEverywhere = connected.length === memberCount && connected.every(isAdopted);
    if (Number.isNaN(adoptedMs) && isAdoptedEverywhere) adoptedMs = elapsedMs;
  }
  const haveAllPolled = polledMsByProcess.size === memberCount;
  return {
    inForceMs,
    adoptedMs,
    answeredMs,
    polledMs: haveAllPolled ? Math.max(...polledMsByProcess.values()) : Number.POSITIVE_INFINITY,
    messageCount,
    byteCount,
  };
}

/** Measures the configuration data that a scheduler reads while nothing changes. */
function measureIdle(memberCount: number): Figure {
  const world = createWorld(1, memberCount);
  let byteCount = 0;
  world.onEvent = (_process, event) => {
    const isRead = event.kind === 'platformReplied' && event.origin.kind.startsWith('config');
    if (isRead) byteCount += JSON.stringify(event.result).length;
  };
  world.runFor(IDLE_MEASURE_MS);
  const value = (byteCount * 1_000) / IDLE_MEASURE_MS / memberCount / 1_024;
  return { name: `${memberCount} members, idle, JSON read`, value, unit: 'KB/s per scheduler' };
}

function summarize(memberCount: number, scenario: Scenario): readonly Figure[] {
  const runs = SEEDS.map((seed) => measure(seed, memberCount, scenario));
  const prefix = `${memberCount} members, ${scenario}`;
  const getMax = (getValue: (run: ChangeRun) => number) => Math.max(...runs.map(getValue));
  const getMean = (getValue: (run: ChangeRun) => number) =>
    runs.reduce((sum, run) => sum + getValue(run), 0) / runs.length;
  const meanBytes = getMean((run) => run.byteCount);
  const createFigure = (name: string, value: number, unit: string) => ({
    name: `${prefix}, ${name}`,
    value,
    unit,
  });
  return [
    createFigure(
      'in force everywhere, worst',
      getMax((run) => run.inForceMs),
      'ms',
    ),
    createFigure(
      'adopted everywhere, worst',
      getMax((run) => run.adoptedMs),
      'ms',
    ),
    createFigure(
      'operator answered, worst',
      getMax((run) => run.answeredMs),
      'ms',
    ),
    createFigure(
      'baseline, polling alone, worst',
      getMax((run) => run.polledMs),
      'ms',
    ),
    createFigure(
      'messages per change',
      getMean((run) => run.messageCount),
      '',
    ),
    createFigure('JSON per change', meanBytes / 1_024, 'KB'),
    createFigure(
      'at 390 changes per day',
      (meanBytes * CHANGES_PER_DAY) / SECONDS_PER_DAY,
      'B/s, all schedulers',
    ),
  ];
}

/** The `configuration` benchmark. */
export const configuration: Benchmark = {
  name: 'configuration',
  description:
    'time until a change is in force everywhere and its traffic, by member count and fault',
  async run() {
    return MEMBER_COUNTS.flatMap((memberCount) => [
      ...SCENARIOS.flatMap((scenario) => summarize(memberCount, scenario)),
      measureIdle(memberCount),
    ]);
  },
};
