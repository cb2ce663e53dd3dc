/**
 * `npm run bench -- NAME [--json]`: runs one benchmark and prints its figures. Without a known name, lists
 * the benchmarks.
 */

import { hideBin } from 'yargs/helpers';
import yargs from 'yargs';
import { capacity } from './capacity';
import { charge } from './charge';
import { configuration } from './configuration';
import { datacentre } from './datacentre';
import { decision } from './decision';
import { durability } from './durability';
import { footprint } from './footprint';
import { overload } from './overload';
import { owner } from './owner';
import { packing } from './packing';
import { plot } from './plot';
import { recovery } from './recovery';
import { request } from './request';
import { share } from './share';
import type { Bench, Figure } from './types';

const BENCHES: readonly Bench[] = [
  capacity,
  charge,
  configuration,
  datacentre,
  decision,
  durability,
  footprint,
  overload,
  owner,
  packing,
  plot,
  recovery,
  request,
  share,
];

function print(figures: readonly Figure[], isJson: boolean): void {
  if (isJson) {
    console.log(JSON.stringify(figures, null, 2));
    return;
  }
  figures.forEach(({ name, value, unit }) => {
    console.log(`${name.padEnd(56)} ${value.toFixed(3).padStart(14)} ${unit}`);
  });
}

async function main(): Promise<void> {
  const { _: names, json } = await yargs(hideBin(process.argv))
    .option('json', { type: 'boolean', default: false })
    .parse();
  const bench = BENCHES.find((known) => known.name === String(names[0]));
  if (bench === undefined) {
    BENCHES.forEach((known) => console.log(`${known.name.padEnd(14)} ${known.describe}`));
    process.exitCode = names.length === 0 ? 0 : 2;
    return;
  }
  print(await bench.run(), json);
}

main().then(
  () => process.exit(),
  (error: unknown) => {
    console.error(error);
    process.exit(1);
  },
);
