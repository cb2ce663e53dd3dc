/** Memory, processor time and traffic of the daemons, idle, at several numbers of entry VMs. */

import { readFileSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { Deployment } from '../demo/deployment';
import type { Bench, Figure } from './types';

const MEMBER_COUNTS = [3, 6, 9];
const SETTLE_MS = 6_000;
const MEASURE_MS = 10_000;
const BASE_PORT = 22_000;
const TICKS_PER_SECOND = 100;
const KB = 1_024;

const CAPACITY = {
  cpuMillis: 64_000,
  memoryMb: 131_072,
  accelerators: 0,
  slots: 8,
  connections: 64,
};

interface ProcessUse {
  readonly residentMb: number;
  readonly cpuMs: number;
}

function readUse(pid: number): ProcessUse {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const residentKb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  return { residentMb: residentKb / KB, cpuMs: (ticks * 1_000) / TICKS_PER_SECOND };
}

async function measure(memberCount: number): Promise<readonly Figure[]> {
  const deployment = new Deployment({
    basePort: BASE_PORT,
    memberCount,
    groups: [
      { dataCentreId: 'a', count: 15, targetsPerRack: 6 },
      { dataCentreId: 'b', count: 15, targetsPerRack: 6 },
    ],
    capacity: CAPACITY,
    operatorToken: 'bench',
  });
  try {
    await deployment.start();
    await sleep(SETTLE_MS);
    return await ['scheduler', 'gate'].reduce<Promise<readonly Figure[]>>(
      async (earlier, program) => {
        const figures = await earlier;
        const pid = deployment.getPid(`${program}-0`);
        const before = readUse(pid);
        await sleep(MEASURE_MS);
        const after = readUse(pid);
        const prefix = `${program}, ${memberCount} entry VMs, idle`;
        const cpuPercent = ((after.cpuMs - before.cpuMs) / MEASURE_MS) * 100;
        return [
          ...figures,
          { name: `${prefix}, resident`, value: after.residentMb, unit: 'MB' },
          { name: `${prefix}, processor`, value: cpuPercent, unit: '% of a core' },
        ];
      },
      Promise.resolve([]),
    );
  } finally {
    await deployment.stop();
  }
}

/** The `footprint` benchmark. */
export const footprint: Bench = {
  name: 'footprint',
  describe: 'memory, processor time and bytes a second per daemon',
  async run() {
    const figures: Figure[] = [];
    for (const memberCount of MEMBER_COUNTS) figures.push(...(await measure(memberCount)));
    return figures;
  },
};
