/** Time until a configuration change is in force in every process, and its traffic, in virtual time. */

import type { SchedulerEffect } from '../src/scheduler/types';
import { toConfigVersion, toId } from '../src/types/ids';
import type { OperationId } from '../src/types/ids';
import type { ConfigChange } from '../src/config/types';
import { createSheet } from '../tests/support/sheets';
import { World } from '../tests/support/world';
import type { Process } from '../tests/support/world';
import type { Bench, Figure } from './types';

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
const FREEZE_MS = 8_000;
const POLL_MS = 20;
const IDLE_MS = 20_000;
const LIMIT_MS = 20_000;
const CHANGES_PER_DAY = 390;
const SECONDS_PER_DAY = 86_400;
const WITHDRAW: ConfigChange = { kind: 'withdrawKey', keyId: toId('key-team-1') };

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
  const plan = { seed, memberCount, dataCentreIds, targetsPerDataCentre: 1, capacity: CAPACITY };
  const world = new World(plan);
  world.runFor(2_500);
  const teamIds = Array.from({ length: TEAM_COUNT }, (_, index) => `team-${index}`);
  const sheet = createSheet(teamIds, dataCentreIds);
  const change = { kind: 'applySheet', basedOnVersion: toConfigVersion(0), sheet } as const;
  world.call(0, { kind: 'changeConfig', change, operationId: toId('first') }, () => undefined);
  world.runFor(SETTLE_MS + seed * 97);
  return world;
}

function impair(world: World, scenario: Scenario): void {
  const last = world.processes.length - 1;
  if (scenario === 'one process paused') world.pause(last, FREEZE_MS);
  if (scenario === 'one peer link cut') world.setPeerCut(0, last, true);
  if (scenario === 'platform unreachable from one') world.setPlatformCut(last, true);
}

function isPartOfChange(effect: SchedulerEffect): boolean {
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
  impair(world, scenario);
  const startMs = world.nowMs;
  const polledMs = new Map<number, number>();
  let [messageCount, byteCount, answeredMs] = [0, 0, Number.NaN];
  world.onEvent = (process, event, effects) => {
    effects.filter(isPartOfChange).forEach((effect) => {
      messageCount += 1;
      byteCount += JSON.stringify(effect).length;
    });
    const isRead = event.kind === 'platformReplied' && event.origin.kind === 'configHead';
    if (!isRead || event.result.kind !== 'rows') return;
    const { version } = (event.result.rows[0]?.value ?? { version: 0 }) as { version: number };
    if (version >= 2 && !polledMs.has(process.index)) {
      polledMs.set(process.index, world.nowMs - startMs);
    }
  };
  const operationId = toId<OperationId>('change');
  const call = { kind: 'changeConfig', change: WITHDRAW, operationId } as const;
  world.call(0, call, () => {
    answeredMs = world.nowMs - startMs;
  });
  let [inForceMs, adoptedMs] = [Number.NaN, Number.NaN];
  const isAdopted = (process: Process) => process.core.dump(world.nowMs).configVersion >= 2;
  const isInForce = (process: Process) =>
    isAdopted(process) || process.core.dump(world.nowMs).configFreshForMs <= 0;
  while (world.nowMs < startMs + LIMIT_MS) {
    world.runFor(POLL_MS);
    const passedMs = world.nowMs - startMs;
    const connected = world.processes.filter((process) => world.nowMs >= process.pausedUntilMs);
    if (Number.isNaN(inForceMs) && world.processes.every(isInForce)) inForceMs = passedMs;
    const isEverywhere = connected.length === memberCount && connected.every(isAdopted);
    if (Number.isNaN(adoptedMs) && isEverywhere) adoptedMs = passedMs;
  }
  const isPolled = polledMs.size === memberCount;
  return {
    inForceMs,
    adoptedMs,
    answeredMs,
    polledMs: isPolled ? Math.max(...polledMs.values()) : Number.POSITIVE_INFINITY,
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
  world.runFor(IDLE_MS);
  const value = (byteCount * 1_000) / IDLE_MS / memberCount / 1_024;
  return { name: `${memberCount} members, idle, JSON read`, value, unit: 'KB/s per scheduler' };
}

function summarize(memberCount: number, scenario: Scenario): readonly Figure[] {
  const runs = SEEDS.map((seed) => measure(seed, memberCount, scenario));
  const prefix = `${memberCount} members, ${scenario}`;
  const worst = (pick: (run: ChangeRun) => number) => Math.max(...runs.map(pick));
  const mean = (pick: (run: ChangeRun) => number) =>
    runs.reduce((sum, run) => sum + pick(run), 0) / runs.length;
  const bytes = mean((run) => run.byteCount);
  const figure = (name: string, value: number, unit: string) => ({
    name: `${prefix}, ${name}`,
    value,
    unit,
  });
  return [
    figure(
      'in force everywhere, worst',
      worst((run) => run.inForceMs),
      'ms',
    ),
    figure(
      'adopted everywhere, worst',
      worst((run) => run.adoptedMs),
      'ms',
    ),
    figure(
      'operator answered, worst',
      worst((run) => run.answeredMs),
      'ms',
    ),
    figure(
      'baseline, polling alone, worst',
      worst((run) => run.polledMs),
      'ms',
    ),
    figure(
      'messages per change',
      mean((run) => run.messageCount),
      '',
    ),
    figure('JSON per change', bytes / 1_024, 'KB'),
    figure(
      'at 390 changes per day',
      (bytes * CHANGES_PER_DAY) / SECONDS_PER_DAY,
      'B/s, all schedulers',
    ),
  ];
}

/** The `configuration` benchmark. */
export const configuration: Bench = {
  name: 'configuration',
  describe: 'time until a change is in force everywhere and its traffic, by member count and fault',
  async run() {
    return MEMBER_COUNTS.flatMap((memberCount) => [
      ...SCENARIOS.flatMap((scenario) => summarize(memberCount, scenario)),
      measureIdle(memberCount),
    ]);
  },
};
