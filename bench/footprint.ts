/** Memory, processor time and traffic of the daemons, idle and under load, by number of entry VMs. */

import { readFileSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { Deployment } from '../demo/deployment';
import { LoadGenerator } from '../demo/loadGenerator';
import { createDemoSheet, OperatorClient, OPERATOR_TOKEN } from '../demo/operatorClient';
import { Metrics } from '../src/observe/metrics';
import { readProcessUsage } from './processUsage';
import type { Benchmark, Figure } from './types';

const MEMBER_COUNTS = [3, 6, 9];
const DATA_CENTRES = ['a', 'b', 'c'];
const TEAMS = ['team-a', 'team-b', 'team-c', 'team-d', 'team-e', 'team-f'];
const TARGETS_PER_DATA_CENTRE = 10;
const TARGET_SLOTS = 8;
const SETTLE_MS = 8_000;
const MEASURE_MS = 15_000;
const LOAD_REQUESTS_PER_SECOND = 200;
const BASE_PORT = 22_000;
const KB = 1_024;
const PROGRAMS = ['scheduler', 'gate'] as const;

/** Reads the bytes received on the loopback interface since boot, including headers and acknowledgements. */
function readLoopbackBytes(): number {
  const line = readFileSync('/proc/net/dev', 'utf8').match(/^\s*lo:\s*(\d+)/m);
  return Number(line?.[1] ?? 0);
}

function sumCpuMs(pids: readonly number[]): number {
  return pids.reduce((sum, pid) => sum + readProcessUsage(pid).cpuMs, 0);
}

async function measurePhase(
  deployment: Deployment,
  memberCount: number,
  phase: string,
): Promise<readonly Figure[]> {
  const indexes = Array.from({ length: memberCount }, (_, index) => index);
  const pidsByProgram = PROGRAMS.map((program) =>
    indexes.map((index) => deployment.getPid(`${program}-${index}`)),
  );
  const cpuBefore = pidsByProgram.map(sumCpuMs);
  const bytesBefore = readLoopbackBytes();
  await sleep(MEASURE_MS);
  const bytes = readLoopbackBytes() - bytesBefore;
  const figures = PROGRAMS.flatMap((program, programIndex): readonly Figure[] => {
    const pids = pidsByProgram[programIndex] ?? [];
    const cpuMs = sumCpuMs(pids) - (cpuBefore[programIndex] ?? 0);
    const usages = pids.map(readProcessUsage);
    const prefix = `${memberCount} entry VMs, ${phase}, ${program}`;
    return [
      {
        name: `${prefix}, resident, largest`,
        value: Math.max(...usages.map((usage) => usage.residentMb)),
        unit: 'MB',
      },
      {
        name: `${prefix}, proportional, largest`,
        value: Math.max(...usages.map((usage) => usage.proportionalMb)),
        unit: 'MB',
      },
      {
        name: `${prefix}, processor, mean`,
        value: (cpuMs / pids.length / MEASURE_MS) * 100,
        unit: '% of a core',
      },
    ];
  });
  const kbPerSecond = bytes / KB / (MEASURE_MS / 1_000) / memberCount;
  const name = `${memberCount} entry VMs, ${phase}, loopback bytes per entry Vm`;
  return [...figures, { name, value: kbPerSecond, unit: 'KB/s' }];
}

async function measure(memberCount: number): Promise<readonly Figure[]> {
  const deployment = new Deployment({
    basePort: BASE_PORT,
    memberCount,
    groups: DATA_CENTRES.map((dataCentreId) => ({
      dataCentreId,
      count: TARGETS_PER_DATA_CENTRE,
      targetsPerRack: 6,
    })),
    capacity: {
      cpuMillis: 64_000,
      memoryMb: 131_072,
      accelerators: 0,
      slots: TARGET_SLOTS,
      connections: 64,
    },
    operatorToken: OPERATOR_TOKEN,
  });
  try {
    await deployment.start();
    const operator = new OperatorClient(deployment);
    await operator.applySheet(createDemoSheet(TEAMS, DATA_CENTRES));
    await operator.waitForSlots(DATA_CENTRES.length * TARGETS_PER_DATA_CENTRE * TARGET_SLOTS);
    await sleep(SETTLE_MS);
    const idle = await measurePhase(deployment, memberCount, 'idle');
    const load = new LoadGenerator(
      deployment.httpClient,
      {
        gateAddresses: deployment.gateAddresses,
        teamIds: TEAMS,
        requestsPerSecond: LOAD_REQUESTS_PER_SECOND,
        durationMs: SETTLE_MS + MEASURE_MS,
        windowMs: 3_000,
        serviceMs: 20,
      },
      new Metrics(),
    );
    const running = load.run();
    await sleep(SETTLE_MS);
    const loaded = await measurePhase(
      deployment,
      memberCount,
      `${LOAD_REQUESTS_PER_SECOND} requests/s`,
    );
    await running;
    return [...idle, ...loaded];
  } finally {
    await deployment.stop();
  }
}

/** The `footprint` benchmark. Other loopback traffic during the run would be counted too. */
export const footprint: Benchmark = {
  name: 'footprint',
  description: 'memory, processor time and loopback traffic of the daemons',
  async run() {
    const figures: Figure[] = [];
    for (const memberCount of MEMBER_COUNTS) figures.push(...(await measure(memberCount)));
    return figures;
  },
};
