/** Loaded before the program of a measured process; measures the process from inside when its parent asks. */

import { readFileSync } from 'node:fs';
import { Session } from 'node:inspector';
import { constants, monitorEventLoopDelay, PerformanceObserver } from 'node:perf_hooks';
import type { PerformanceEntry } from 'node:perf_hooks';
import { getProfileShares } from './profileShares';
import type { ProfileShares } from './profileShares';

const LOOP_DELAY_RESOLUTION_MS = 10;
const NS_PER_MS = 1e6;
const US_PER_MS = 1_000;
const BYTES_PER_MB = 1_048_576;

/** Asked by the parent process. */
export type ProbeRequest = 'read' | 'startProfile' | 'stopProfile';

/** Counters since the start of the process, and its current memory. */
export interface ProbeReading {
  readonly kind: 'reading';
  readonly atMs: number;
  readonly cpuMs: number;
  /** Times at which the process had to wait, mostly for events. */
  readonly wakeUpCount: number;
  readonly readCallCount: number;
  readonly writeCallCount: number;
  readonly scavengeMs: number;
  readonly scavengeCount: number;
  readonly otherCollectionMs: number;
  /** 99th percentile since the previous reading. */
  readonly loopDelayP99Ms: number;
  readonly residentMb: number;
  readonly heapUsedMb: number;
}

/** Answers of the probe. */
export type ProbeReply = ProbeReading | ({ readonly kind: 'profile' } & ProfileShares);

const loopDelay = monitorEventLoopDelay({ resolution: LOOP_DELAY_RESOLUTION_MS });
const session = new Session();
const collections = { scavengeMs: 0, scavengeCount: 0, otherCollectionMs: 0 };

function readCallCount(field: 'syscr' | 'syscw'): number {
  const counts = readFileSync('/proc/self/io', 'utf8');
  return Number(new RegExp(`^${field}: (\\d+)`, 'm').exec(counts)?.[1] ?? 0);
}

function read(): ProbeReading {
  const { user, system } = process.cpuUsage();
  const { rss, heapUsed } = process.memoryUsage();
  const reading: ProbeReading = {
    kind: 'reading',
    atMs: performance.now(),
    cpuMs: (user + system) / US_PER_MS,
    wakeUpCount: process.resourceUsage().voluntaryContextSwitches,
    readCallCount: readCallCount('syscr'),
    writeCallCount: readCallCount('syscw'),
    ...collections,
    loopDelayP99Ms: Math.max(0, loopDelay.percentile(99) / NS_PER_MS - LOOP_DELAY_RESOLUTION_MS),
    residentMb: rss / BYTES_PER_MB,
    heapUsedMb: heapUsed / BYTES_PER_MB,
  };
  loopDelay.reset();
  return reading;
}

function reply(message: ProbeReply): void {
  process.send?.(message);
}

function stopProfile(): void {
  session.post('Profiler.stop', (error, result) => {
    if (error === null) reply({ kind: 'profile', ...getProfileShares(result.profile) });
    session.disconnect();
  });
}

function startProfile(): void {
  session.connect();
  session.post('Profiler.enable');
  session.post('Profiler.start');
}

new PerformanceObserver((list) => {
  list.getEntries().forEach((entry) => {
    const { kind } = (entry as PerformanceEntry & { readonly detail: { readonly kind: number } })
      .detail;
    if (kind === constants.NODE_PERFORMANCE_GC_MINOR) {
      collections.scavengeMs += entry.duration;
      collections.scavengeCount += 1;
    } else {
      collections.otherCollectionMs += entry.duration;
    }
  });
}).observe({ entryTypes: ['gc'] });
loopDelay.enable();
process.on('message', (request: ProbeRequest) => {
  if (request === 'read') reply(read());
  else if (request === 'startProfile') startProfile();
  else stopProfile();
});
