/** Benchmarks and the figures that they return. */

/** One measured figure. */
export interface Figure {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
}

/** One benchmark of `npm run bench`. */
export interface Benchmark {
  readonly name: string;
  readonly description: string;
  run(): Promise<readonly Figure[]>;
}
