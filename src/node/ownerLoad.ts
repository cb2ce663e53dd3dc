/** Measures how busy the owner's process is and what its thread spends the time on. */

import { performance } from 'node:perf_hooks';
import { CollectionTimes } from '../observe/collectionTimes';
import type { Logger } from '../observe/logger';
import type { Metrics } from '../observe/metrics';
import type { OwnerEffect } from '../owner/types';
import { assertNever } from '../types/debug';
import type { Epoch } from '../types/ids';
import { WorkSums } from './workSums';

/** Processor time that one thread can use, in thousandths of a core. */
const ONE_THREAD_MILLIS = 1_000;

/** The load is evaluated over windows of this length. */
const WINDOW_MS = 1_000;

/** The owner counts as overloaded above the first share of its processor, until it falls below the second. */
const OVERLOADED_SHARE = 0.8;
const RELIEVED_SHARE = 0.6;

/** Interval at which the load is logged while the owner is overloaded, and otherwise. */
const OVERLOAD_LOG_INTERVAL_MS = 1_000;
const LOG_INTERVAL_MS = 5_000;

/** Percentile of the delay that is logged. */
const LOGGED_DELAY_FRACTION = 0.99;

const MICROS_PER_MS = 1_000;

/** Readings of the process. */
export interface LoadSources {
  /** Milliseconds of a monotonic clock. */
  nowMs(): number;
  /** Processor time that all threads of the process have used. */
  processorMicros(): number;
  /** Time in which the event loop was not waiting for events. */
  activeMs(): number;
  /** Time of garbage collections since the first reading. */
  collectionMs(): number;
}

const COLLECTION_TIMES = new CollectionTimes();

const PROCESS_SOURCES: LoadSources = {
  nowMs: () => performance.now(),
  processorMicros: () => {
    const { user, system } = process.cpuUsage();
    return user + system;
  },
  activeMs: () => performance.eventLoopUtilization().active,
  collectionMs: () => COLLECTION_TIMES.readMs(),
};

/** What waits for the owner or for its calls. */
export interface OwnerBacklog {
  readonly callsInFlightCount: number;
  readonly readyStepCount: number;
}

/** Destinations of the measurements, and what else a line about the load tells. */
export interface OwnerLoadPorts {
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly epoch: Epoch;
  /** Processor capacity of the Vm, in thousandths of a core. */
  readonly processorMillis: number;
  getBacklog(): OwnerBacklog;
}

/**
 * Names the kind of work that an effect causes.
 * @param kind - kind of the effect
 * @returns variable part of the counter's name
 */
export function getEffectWork(kind: OwnerEffect['kind']): string {
  switch (kind) {
    case 'poll':
    case 'startRun':
    case 'stopRun':
    case 'askAdvice':
      return 'send';
    case 'writeProgress':
    case 'recordTargets':
    case 'writeLearnt':
    case 'deleteSubmissions':
    case 'deleteCancellations':
      return 'store';
    case 'log':
      return 'log';
    case 'count':
    case 'set':
    case 'record':
      return 'measure';
    case 'stepDown':
      return 'stepDown';
    case 'handoverPrepared':
      return 'handover';
    default:
      return assertNever(kind);
  }
}

/** Load of the owner during one ownership. */
export class OwnerLoad {
  #ports: OwnerLoadPorts;

  #sources: LoadSources;

  /** The thread cannot use more than one core, whatever the Vm has. */
  #capacityMillis: number;

  #lapStartMs = 0;

  #workMs = new Map<string, number>();

  #lastTickAtMs: number | undefined;

  #delaysMs: number[] = [];

  #windowStartMs: number;

  #windowStartMicros: number;

  #windowStartActiveMs: number;

  #isOverloaded = false;

  /** What has been measured since the last line about the load. */
  #loggedWork = new WorkSums();

  #loggedAtMs: number;

  #loggedMicros: number;

  #loggedActiveMs: number;

  #loggedCollectionMs: number;

  /**
   * @param ports - logger, metrics and capacity
   * @param sources - readings of the process
   */
  constructor(ports: OwnerLoadPorts, sources: LoadSources = PROCESS_SOURCES) {
    this.#ports = ports;
    this.#sources = sources;
    this.#capacityMillis = Math.min(ports.processorMillis, ONE_THREAD_MILLIS);
    this.#windowStartMs = sources.nowMs();
    this.#windowStartMicros = sources.processorMicros();
    this.#windowStartActiveMs = sources.activeMs();
    this.#loggedAtMs = this.#windowStartMs;
    this.#loggedMicros = this.#windowStartMicros;
    this.#loggedActiveMs = this.#windowStartActiveMs;
    this.#loggedCollectionMs = sources.collectionMs();
  }

  /** Begins a piece of work; the next one begins where this one ends. */
  beginWork(): void {
    this.#lapStartMs = this.#sources.nowMs();
  }

  /**
   * Ends a piece of work.
   * @param work - what it was, the variable part of the counter's name
   */
  endWork(work: string): void {
    const nowMs = this.#sources.nowMs();
    this.#add(work, nowMs - this.#lapStartMs);
    this.#loggedWork.add(work, nowMs - this.#lapStartMs);
    this.#lapStartMs = nowMs;
  }

  /**
   * Measures the delay of the event loop by the lateness of the owner's tick, and once a second the load.
   * @param intervalMs - interval of the tick
   */
  onTick(intervalMs: number): void {
    const nowMs = this.#sources.nowMs();
    if (this.#lastTickAtMs !== undefined) {
      const delayMs = Math.max(0, nowMs - this.#lastTickAtMs - intervalMs);
      this.#delaysMs.push(delayMs);
      this.#ports.metrics.record('event_loop_delay', delayMs);
    }
    this.#lastTickAtMs = nowMs;
    if (nowMs - this.#windowStartMs >= WINDOW_MS) this.#endWindow(nowMs);
  }

  /** Reports what was measured since the last window; the gauges of this ownership end. */
  stop(): void {
    this.#countWork();
    this.#ports.metrics.set('owner_processor_share', 0);
    this.#ports.metrics.set('owner_calls_in_flight', 0);
    this.#ports.metrics.set('owner_ready_steps', 0);
  }

  #endWindow(nowMs: number): void {
    const micros = this.#sources.processorMicros();
    const activeMs = this.#sources.activeMs();
    const usedMillis = (micros - this.#windowStartMicros) / (nowMs - this.#windowStartMs);
    this.#add('active', activeMs - this.#windowStartActiveMs);
    this.#windowStartMs = nowMs;
    this.#windowStartMicros = micros;
    this.#windowStartActiveMs = activeMs;
    this.#countWork();
    this.#setLoad(usedMillis);
    this.#logLoad(nowMs);
    this.#delaysMs = [];
  }

  #add(work: string, durationMs: number): void {
    this.#workMs.set(work, (this.#workMs.get(work) ?? 0) + durationMs);
  }

  /** The counters take whole microseconds; the rest is kept for the next window. */
  #countWork(): void {
    this.#workMs.forEach((workMs, work) => {
      const micros = Math.floor(workMs * MICROS_PER_MS);
      this.#ports.metrics.count(`owner_time_${work}_micros`, micros);
      this.#workMs.set(work, workMs - micros / MICROS_PER_MS);
    });
  }

  #setLoad(usedMillis: number): void {
    const { metrics, logger, epoch, processorMillis } = this.#ports;
    const processorShare = usedMillis / this.#capacityMillis;
    const backlog = this.#ports.getBacklog();
    metrics.set('owner_processor_share', Number(processorShare.toFixed(3)));
    metrics.set('owner_calls_in_flight', backlog.callsInFlightCount);
    metrics.set('owner_ready_steps', backlog.readyStepCount);
    const wasOverloaded = this.#isOverloaded;
    this.#isOverloaded = processorShare > (wasOverloaded ? RELIEVED_SHARE : OVERLOADED_SHARE);
    if (this.#isOverloaded === wasOverloaded) return;
    const fields = {
      epoch,
      usedMillis: Math.round(usedMillis),
      processorMillis,
      delayP99Ms: this.#getDelayMs(LOGGED_DELAY_FRACTION),
      ...backlog,
    };
    if (this.#isOverloaded) logger.warn(fields, 'owner overloaded; decisions and calls are late');
    else logger.info(fields, 'owner no longer overloaded');
  }

  /** Tells what the time goes to, more often while there is too little of it. */
  #logLoad(nowMs: number): void {
    const elapsedMs = nowMs - this.#loggedAtMs;
    if (elapsedMs < (this.#isOverloaded ? OVERLOAD_LOG_INTERVAL_MS : LOG_INTERVAL_MS)) return;
    const { logger, epoch, processorMillis } = this.#ports;
    const micros = this.#sources.processorMicros();
    const activeMs = this.#sources.activeMs();
    const collectionMs = this.#sources.collectionMs();
    logger.info(
      {
        epoch,
        elapsedMs: Math.round(elapsedMs),
        usedMillis: Math.round((micros - this.#loggedMicros) / elapsedMs),
        processorMillis,
        activeMs: Math.round(activeMs - this.#loggedActiveMs),
        collectionMs: Math.round(collectionMs - this.#loggedCollectionMs),
        work: this.#loggedWork.takeLongest(),
        delayP99Ms: this.#getDelayMs(LOGGED_DELAY_FRACTION),
        ...this.#ports.getBacklog(),
      },
      'owner load',
    );
    this.#loggedAtMs = nowMs;
    this.#loggedMicros = micros;
    this.#loggedActiveMs = activeMs;
    this.#loggedCollectionMs = collectionMs;
  }

  #getDelayMs(fraction: number): number {
    const sorted = [...this.#delaysMs].sort((left, right) => left - right);
    return Math.round(sorted[Math.ceil(sorted.length * fraction) - 1] ?? 0);
  }
}
