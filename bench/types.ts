/** Benchmarks and the figures that they return. */

/** One measured figure. */
export interface Figure {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
}

/** One benchmark of `npm run bench`. */
export interface Bench {
  readonly name: string;
  readonly describe: string;
  run(): Promise<readonly Figure[]>;
}
