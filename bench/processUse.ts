/** Memory and processor time of a process, as the kernel counts them. */

import { readFileSync } from 'node:fs';

const TICKS_PER_SECOND = 100;
const KB = 1_024;

/** What one process uses. */
export interface ProcessUse {
  readonly residentMb: number;
  /** Resident, with pages shared between processes divided among them. */
  readonly proportionalMb: number;
  readonly cpuMs: number;
}

/**
 * Reads what a process uses.
 * @param pid - which
 * @returns memory now and processor time so far
 */
export function readUse(pid: number): ProcessUse {
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
