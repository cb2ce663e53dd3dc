/** Memory and processor time of a process, read from /proc. */

import { readFileSync } from 'node:fs';

/** USER_HZ, the unit of the times in /proc/PID/stat. */
const TICKS_PER_SECOND = 100;
const KB = 1_024;

/** Resource usage of one process. */
export interface ProcessUsage {
  readonly residentMb: number;
  /** Proportional set size: each shared page is divided among the processes that map it. */
  readonly proportionalMb: number;
  readonly cpuMs: number;
}

/**
 * Reads the resource usage of a process.
 * @param pid - the process
 * @returns its current memory and the processor time since its start
 */
export function readProcessUsage(pid: number): ProcessUsage {
  const memory = readFileSync(`/proc/${pid}/smaps_rollup`, 'utf8');
  const getMb = (field: string) =>
    Number(new RegExp(`^${field}:\\s+(\\d+)`, 'm').exec(memory)?.[1] ?? 0) / KB;
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  return {
    residentMb: getMb('Rss'),
    proportionalMb: getMb('Pss'),
    cpuMs: (ticks * 1_000) / TICKS_PER_SECOND,
  };
}
