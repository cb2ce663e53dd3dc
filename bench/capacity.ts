/** Messages, bytes and reducer time of one idle scheduler, by deployment size, in virtual time. */

import { createSheet } from '../tests/support/sheets';
import { World } from '../tests/support/world';
import { toConfigVersion, toId } from '../src/types/ids';
import type { Benchmark, Figure } from './types';

const SETTLE_MS = 15_000;
const MEASURE_MS = 20_000;
const MS_PER_SECOND = 1_000;
const KB = 1_024;
const SEED = 7;

/** The current deployment, and steps up to the size expected within two years. */
const DEPLOYMENT_SIZES = [
  { memberCount: 6, dataCentreCount: 4, targetCount: 32, shardsPerDataCentre: 3, teamCount: 6 },
  { memberCount: 9, dataCentreCount: 4, targetCount: 32, shardsPerDataCentre: 3, teamCount: 6 },
  { memberCount: 9, dataCentreCount: 8, targetCount: 304, shardsPerDataCentre: 8, teamCount: 44 },
  { memberCount: 9, dataCentreCount: 8, targetCount: 920, shardsPerDataCentre: 16, teamCount: 44 },
  { memberCount: 24, dataCentreCount: 8, targetCount: 920, shardsPerDataCentre: 16, teamCount: 44 },
] as const;

const CAPACITY = {
  cpuMillis: 64_000,
  memoryMb: 131_072,
  accelerators: 2,
  slots: 8,
  connections: 64,
};

type DeploymentSize = (typeof DEPLOYMENT_SIZES)[number];

/** Messages, rows and bytes of all schedulers during the measurement. */
interface Traffic {
  platformCalls: number;
  writtenRows: number;
  peerCalls: number;
  targetCalls: number;
  platformBytes: number;
  peerBytes: number;
  targetBytes: number;
  replyBytes: number;
  platformAnswerBytes: number;
  targetAnswerBytes: number;
}

function getJsonLength(value: unknown): number {
  return JSON.stringify(value ?? null).length;
}

function createWorld(size: DeploymentSize): World {
  const dataCentreIds = Array.from({ length: size.dataCentreCount }, (_, index) => `dc-${index}`);
  const teamIds = Array.from({ length: size.teamCount }, (_, index) => `team-${index}`);
  const world = new World({
    seed: SEED,
    memberCount: size.memberCount,
    dataCentreIds,
    targetsPerDataCentre: size.targetCount / size.dataCentreCount,
    capacity: CAPACITY,
  });
  world.runFor(2_000);
  const { shardsPerDataCentre } = size;
  const sheet = createSheet(teamIds, dataCentreIds, { limitSlots: 2_000, shardsPerDataCentre });
  const change = { kind: 'applySheet', basedOnVersion: toConfigVersion(0), sheet } as const;
  world.call(0, { kind: 'changeConfig', change, operationId: toId('bench') }, () => undefined);
  world.runFor(SETTLE_MS);
  return world;
}

function countTraffic(world: World): Traffic {
  const traffic: Traffic = {
    platformCalls: 0,
    writtenRows: 0,
    peerCalls: 0,
    targetCalls: 0,
    platformBytes: 0,
    peerBytes: 0,
    targetBytes: 0,
    replyBytes: 0,
    platformAnswerBytes: 0,
    targetAnswerBytes: 0,
  };
  world.onEvent = (_process, event, effects) => {
    if (event.kind === 'platformReplied')
      traffic.platformAnswerBytes += getJsonLength(event.result);
    if (event.kind === 'targetReplied') traffic.targetAnswerBytes += getJsonLength(event.result);
    effects.forEach((effect) => {
      switch (effect.kind) {
        case 'callPlatform':
          traffic.platformCalls += 1;
          traffic.platformBytes += getJsonLength(effect.call);
          if (effect.call.kind === 'transact') {
            traffic.writtenRows += effect.call.transaction.writes.length;
          }
          break;
        case 'callPeer':
          traffic.peerCalls += 1;
          traffic.peerBytes += getJsonLength(effect.call);
          break;
        case 'callTarget':
          traffic.targetCalls += 1;
          traffic.targetBytes += getJsonLength(effect.call);
          break;
        case 'replyCall':
          traffic.replyBytes += getJsonLength(effect.value);
          break;
        default:
      }
    });
  };
  return traffic;
}

function measure(size: DeploymentSize): readonly Figure[] {
  const world = createWorld(size);
  const traffic = countTraffic(world);
  const eventsBefore = world.eventCount;
  const cpuBefore = process.cpuUsage();
  world.runFor(MEASURE_MS);
  const cpu = process.cpuUsage(cpuBefore);
  const cpuMs = (cpu.user + cpu.system) / MS_PER_SECOND;
  const seconds = MEASURE_MS / MS_PER_SECOND;
  const perMemberPerSecond = (value: number) => value / size.memberCount / seconds;
  const prefix = `${size.memberCount} entry VMs, ${size.targetCount} targets`;
  const createFigure = (name: string, value: number, unit: string) => ({
    name: `${prefix}, ${name}`,
    value,
    unit,
  });
  return [
    createFigure('platform calls, all schedulers', traffic.platformCalls / seconds, '/s'),
    createFigure('written rows, all schedulers', traffic.writtenRows / seconds, '/s'),
    createFigure('peer calls', perMemberPerSecond(traffic.peerCalls), '/s per scheduler'),
    createFigure('target calls', perMemberPerSecond(traffic.targetCalls), '/s per scheduler'),
    createFigure('JSON to the platform', perMemberPerSecond(traffic.platformBytes) / KB, 'KB/s'),
    createFigure(
      'JSON from the platform',
      perMemberPerSecond(traffic.platformAnswerBytes) / KB,
      'KB/s',
    ),
    createFigure('JSON from targets', perMemberPerSecond(traffic.targetAnswerBytes) / KB, 'KB/s'),
    createFigure('JSON to peers', perMemberPerSecond(traffic.peerBytes) / KB, 'KB/s'),
    createFigure('JSON answered to peers', perMemberPerSecond(traffic.replyBytes) / KB, 'KB/s'),
    createFigure('JSON to targets', perMemberPerSecond(traffic.targetBytes) / KB, 'KB/s'),
    createFigure('events', perMemberPerSecond(world.eventCount - eventsBefore), '/s per scheduler'),
    createFigure(
      'reducer and harness',
      (cpuMs / (MEASURE_MS * size.memberCount)) * 100,
      '% of a core',
    ),
  ];
}

/** The `capacity` benchmark. */
export const capacity: Benchmark = {
  name: 'capacity',
  description: 'messages, bytes and reducer time of one idle scheduler by deployment size',
  async run() {
    return DEPLOYMENT_SIZES.flatMap(measure);
  },
};
