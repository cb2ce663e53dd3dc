/** Counters, gauges and latency histograms of a process, exported as a dump or as a metrics page. */

// The index of the package also loads its compressed encodings, which take 9 MB of memory and are not used.
import Int32Histogram from 'hdr-histogram-js/dist/Int32Histogram';

const LOWEST_MICROS = 1;
const HIGHEST_MICROS = 120_000_000;
const SIGNIFICANT_DIGITS = 2;
const MICROS_PER_MS = 1_000;
const PERCENTILES = [50, 90, 99, 99.9] as const;

/** Summary of a histogram. */
export interface LatencySummary {
  readonly name: string;
  readonly count: number;
  readonly p50Ms: number;
  readonly p90Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  readonly maxMs: number;
}

export interface CounterValue {
  readonly name: string;
  readonly value: number;
}

/** Values of all counters and histograms. */
export interface MetricsDump {
  readonly counters: readonly CounterValue[];
  readonly latencies: readonly LatencySummary[];
}

function getMs(histogram: Int32Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / MICROS_PER_MS;
}

/** Counters, gauges and histograms by name. */
export class Metrics {
  #counters = new Map<string, number>();

  #gauges = new Map<string, number>();

  #histograms = new Map<string, Int32Histogram>();

  /**
   * Increments a counter.
   * @param name - snake_case name without prefix
   * @param step - increment
   */
  count(name: string, step = 1): void {
    this.#counters.set(name, (this.#counters.get(name) ?? 0) + step);
  }

  /**
   * Sets a gauge.
   * @param name - snake_case name without prefix
   * @param value - its present value
   */
  set(name: string, value: number): void {
    this.#gauges.set(name, value);
  }

  /**
   * Records a duration in a histogram.
   * @param name - snake_case name without prefix
   * @param durationMs - the duration
   */
  record(name: string, durationMs: number): void {
    let histogram = this.#histograms.get(name);
    if (histogram === undefined) {
      histogram = new Int32Histogram(LOWEST_MICROS, HIGHEST_MICROS, SIGNIFICANT_DIGITS);
      this.#histograms.set(name, histogram);
    }
    const micros = Math.round(durationMs * MICROS_PER_MS);
    histogram.recordValue(Math.min(Math.max(micros, 1), HIGHEST_MICROS));
  }

  /** @returns all values, sorted by name */
  dump(): MetricsDump {
    const counters = [...this.#counters].map(([name, value]) => ({ name, value }));
    const latencies = [...this.#histograms].map(([name, histogram]) => ({
      name,
      count: histogram.totalCount,
      p50Ms: getMs(histogram, 50),
      p90Ms: getMs(histogram, 90),
      p99Ms: getMs(histogram, 99),
      p999Ms: getMs(histogram, 99.9),
      maxMs: histogram.maxValue / MICROS_PER_MS,
    }));
    const byName = (left: { name: string }, right: { name: string }) =>
      left.name.localeCompare(right.name);
    return { counters: counters.sort(byName), latencies: latencies.sort(byName) };
  }

  /** @returns the metrics page in the Prometheus text format */
  renderPage(): string {
    const { counters } = this.dump();
    const lines = counters.flatMap(({ name, value }) => [
      `# TYPE hemlockway_${name}_total counter`,
      `hemlockway_${name}_total ${value}`,
    ]);
    this.#gauges.forEach((value, name) => {
      lines.push(`# TYPE hemlockway_${name} gauge`, `hemlockway_${name} ${value}`);
    });
    this.#histograms.forEach((histogram, name) => {
      lines.push(`# TYPE hemlockway_${name}_ms summary`);
      PERCENTILES.forEach((percentile) => {
        const value = getMs(histogram, percentile);
        lines.push(`hemlockway_${name}_ms{quantile="${percentile / 100}"} ${value}`);
      });
      lines.push(`hemlockway_${name}_ms_count ${histogram.totalCount}`);
    });
    return `${lines.join('\n')}\n`;
  }
}
