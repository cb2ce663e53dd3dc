/**
 * Forecasts the wait until a task of a new submission starts. It answers a load in which more work is submitted than
 * targets can do: bursts of 4 to 7 s, lasting overload, and teams that submit several times their rate.
 *
 * The forecast follows the order of waiting steps: those within their team's rate come first, then by priority of the
 * queue, then steps that can still be in time before late ones. Work that can no longer count comes after all other
 * work of its priority and delays no new submission there.
 */

import { addWork, DecayedRate, NO_WORK } from './decayedRate';
import type { Work } from './decayedRate';

/** Shortest measurement of throughput on which a forecast is based. */
export const MIN_MEASURED_MS = 2_000;

/** Half-life of the measured throughput: a few runs of urgent tasks, which take about 0.8 s. */
const THROUGHPUT_HALF_LIFE_MS = 4_000;

/**
 * The inflow of other work is the lower one of two means. The short one follows the end of a burst at once; the long
 * one outlasts a burst, which takes 4 to 7 s and alone does not make submissions hopeless.
 */
const SHORT_INFLOW_HALF_LIFE_MS = 2_000;
const LONG_INFLOW_HALF_LIFE_MS = 15_000;

/** Fraction of the capacity that waiting tasks fill at least; the rest are fragments and targets without a ticket. */
const FILLED_FRACTION = 0.85;

/** A longer wait is reported as this, which is above three times any objective. */
export const MAX_WAIT_MS = 3_600_000;

/** Whether a step can still meet its objective, is late but counts, or no longer counts. */
export type Lateness = 'inTime' | 'late' | 'lost';

/** Waiting tasks of steps that come in the same place of the order. */
export interface WaitingWork {
  readonly serviceName: string;
  readonly priority: number;
  /** Whether it exceeds the rate of its team. */
  readonly isExcess: boolean;
  /** Whether its team submits far more than its rate at present. */
  readonly isTeamOver: boolean;
  readonly lateness: Lateness;
  readonly work: Work;
  /** Demand of those of its tasks that may start now. */
  readonly demand: Work;
}

/** Work that was submitted since the previous sample, of all its steps. */
export type ArrivedWork = Pick<
  WaitingWork,
  'serviceName' | 'priority' | 'isExcess' | 'isTeamOver' | 'work'
>;

/** Targets of one service. Amounts are in thousandths of a core and megabytes. */
export interface ServiceLoad {
  /** Used by runs that will end. */
  readonly ending: Work;
  readonly used: Work;
  readonly free: Work;
  /** Expected work of the runs that have ended successfully since the previous sample. */
  readonly done: Work;
}

/** What the owner knows at one time. */
export interface LoadSample {
  readonly nowMs: number;
  /** Whether something is unknown on which the forecast depends. */
  readonly isIncomplete: boolean;
  readonly services: ReadonlyMap<string, ServiceLoad>;
  readonly waiting: readonly WaitingWork[];
  readonly arrived: readonly ArrivedWork[];
}

/** When a new submission's tasks start if everything goes as expected. */
export interface WaitForecast {
  /** Wait behind the work that can still be in time, as long as the submission can itself. */
  readonly inTimeMs: number;
  /** Wait once the submission is late, so that new ones pass it. */
  readonly lateMs: number;
  /** Time in which the work of its priority could be done that no longer counts. */
  readonly lostMs: number;
}

/** The forecasts for one queue. */
export interface QueueForecast {
  /** For teams within their rate, regardless of the work of others. */
  readonly within: WaitForecast;
  /** For submissions that exceed the rate of their team. */
  readonly whole: WaitForecast;
}

/** Inflow of work of one place in the order. */
interface Inflow {
  readonly place: Omit<ArrivedWork, 'work'>;
  readonly short: DecayedRate;
  readonly long: DecayedRate;
}

type Resource = keyof Work;

/** Selects the places in the order whose work counts. */
type PlaceFilter = (place: Omit<ArrivedWork, 'work'>) => boolean;

const isWithin: PlaceFilter = ({ isExcess, isTeamOver }) => !isExcess && !isTeamOver;

function toInflowKey({ serviceName, priority, isExcess, isTeamOver }: Inflow['place']): string {
  return `${serviceName}|${priority}|${isExcess}|${isTeamOver}`;
}

function divide(work: number, rate: number): number {
  if (work <= 0) return 0;
  if (rate <= 0) return MAX_WAIT_MS;
  return Math.min(MAX_WAIT_MS, work / rate);
}

/** Resource of which the larger part is in use. */
function getScarcerResource({ used, free }: ServiceLoad): Resource {
  const getFraction = (resource: Resource) =>
    used[resource] / Math.max(1, used[resource] + free[resource]);
  return getFraction('memory') > getFraction('cpu') ? 'memory' : 'cpu';
}

/** Measures the load of each service and forecasts the waits of its queues. */
export class LoadForecaster {
  #throughput = new Map<string, DecayedRate>();

  #inflows = new Map<string, Inflow>();

  #measuredMs = 0;

  #sample: LoadSample | undefined;

  /**
   * Adds a sample.
   * @param sample - the load now, and what has happened since the previous sample
   */
  addSample(sample: LoadSample): void {
    const previousMs = this.#sample?.nowMs;
    this.#sample = sample;
    if (previousMs === undefined) return;
    const elapsedMs = sample.nowMs - previousMs;
    if (elapsedMs <= 0) return;
    this.#measuredMs += elapsedMs;
    sample.services.forEach(({ done }, serviceName) => {
      const rate = this.#throughput.get(serviceName) ?? new DecayedRate(THROUGHPUT_HALF_LIFE_MS);
      rate.add(done, elapsedMs);
      this.#throughput.set(serviceName, rate);
    });
    this.#addInflow(sample.arrived, elapsedMs);
  }

  /**
   * Forecasts the waits of a queue.
   * @param serviceName - service of the queue
   * @param priority - priority of the queue
   * @returns undefined when they are not known
   */
  getForecast(serviceName: string, priority: number): QueueForecast | undefined {
    const service = this.#sample?.services.get(serviceName);
    const isKnown = this.#sample?.isIncomplete === false && this.#measuredMs >= MIN_MEASURED_MS;
    if (!isKnown || service === undefined) return undefined;
    const resource = getScarcerResource(service);
    const throughput = this.#getThroughput(serviceName, service, resource);
    if (throughput <= 0) return undefined;
    const isBefore: PlaceFilter = (place) =>
      place.serviceName === serviceName && place.priority < priority;
    const isUpTo: PlaceFilter = (place) =>
      place.serviceName === serviceName && place.priority <= priority;
    const isOfService: PlaceFilter = (place) => place.serviceName === serviceName;
    const forecast = (passes: PlaceFilter, isAhead: PlaceFilter) =>
      this.#forecast(service, resource, throughput, passes, isAhead);
    return {
      within: forecast(
        (place) => isWithin(place) && isBefore(place),
        (place) => isWithin(place) && isUpTo(place),
      ),
      whole: forecast(
        (place) => isOfService(place) && (!place.isExcess || isBefore(place)),
        (place) => isOfService(place) && (!place.isExcess || isUpTo(place)),
      ),
    };
  }

  /**
   * @param service - targets of the service
   * @param resource - the scarcer resource
   * @param throughput - work per millisecond
   * @param passes - places that come first in any case; their new work passes the submission at any time
   * @param isAhead - these and the submission's own place, whose new work passes it once it is late
   * @returns the waits
   */
  #forecast(
    service: ServiceLoad,
    resource: Resource,
    throughput: number,
    passes: PlaceFilter,
    isAhead: PlaceFilter,
  ): WaitForecast {
    const ahead = (this.#sample?.waiting ?? []).filter(
      (waiting) => passes(waiting) || (isAhead(waiting) && waiting.lateness !== 'lost'),
    );
    const demand = ahead.reduce((sum, waiting) => addWork(sum, waiting.demand), NO_WORK);
    if (demand.cpu <= service.free.cpu && demand.memory <= service.free.memory)
      return { inTimeMs: 0, lateMs: 0, lostMs: 0 };
    const sum = (isCounted: (waiting: WaitingWork) => boolean) =>
      ahead.reduce((total, known) => total + (isCounted(known) ? known.work[resource] : 0), 0);
    const passing = this.#getInflow(passes, resource);
    const passingLate = this.#getInflow(isAhead, resource);
    const inTimeMs = divide(
      sum((waiting) => passes(waiting) || waiting.lateness === 'inTime'),
      throughput - passing,
    );
    const lateMs = divide(
      sum(() => true),
      throughput - passingLate,
    );
    const lost = (this.#sample?.waiting ?? []).reduce((total, known) => {
      const isLost = known.lateness === 'lost' && isAhead(known) && !passes(known);
      return isLost ? total + known.work[resource] : total;
    }, 0);
    const lostMs = divide(lost, throughput);
    return { inTimeMs, lateMs: Math.max(inTimeMs, lateMs), lostMs };
  }

  /** The runs that are going to end free what they use, so the throughput is at least that. */
  #getThroughput(serviceName: string, service: ServiceLoad, resource: Resource): number {
    const measured = this.#throughput.get(serviceName)?.perMs[resource] ?? 0;
    const usable = service.ending[resource] + Math.max(0, service.free[resource]);
    return Math.max(measured, service.ending[resource], FILLED_FRACTION * usable);
  }

  #addInflow(arrived: readonly ArrivedWork[], elapsedMs: number): void {
    const added = new Map<string, Work>();
    arrived.forEach(({ work, ...place }) => {
      const key = toInflowKey(place);
      added.set(key, addWork(added.get(key) ?? NO_WORK, work));
      if (this.#inflows.has(key)) return;
      this.#inflows.set(key, {
        place,
        short: new DecayedRate(SHORT_INFLOW_HALF_LIFE_MS),
        long: new DecayedRate(LONG_INFLOW_HALF_LIFE_MS),
      });
    });
    this.#inflows.forEach(({ short, long }, key) => {
      const work = added.get(key) ?? NO_WORK;
      short.add(work, elapsedMs);
      long.add(work, elapsedMs);
    });
  }

  #getInflow(isCounted: PlaceFilter, resource: Resource): number {
    let shortSum = 0;
    let longSum = 0;
    this.#inflows.forEach(({ place, short, long }) => {
      if (!isCounted(place)) return;
      shortSum += short.risingPerMs[resource];
      longSum += long.risingPerMs[resource];
    });
    return Math.min(shortSum, longSum);
  }
}
