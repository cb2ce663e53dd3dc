/** `npm run soak -- --seed N --events N`: runs fault-injection rounds until they have handled N events. */

import { hideBin } from 'yargs/helpers';
import yargs from 'yargs';
import { SoakRound } from './soakRound';

const DEFAULT_EVENT_COUNT = 1_000_000;
const MAX_PRINTED_VIOLATIONS = 5;

async function main(): Promise<void> {
  const { seed, events } = await yargs(hideBin(process.argv))
    .option('seed', { type: 'number', default: 1, describe: 'seed of the first round' })
    .option('events', {
      type: 'number',
      default: DEFAULT_EVENT_COUNT,
      describe: 'minimum number of events',
    })
    .strict()
    .parse();
  const totals = {
    rounds: 0,
    events: 0,
    runs: 0,
    answered: 0,
    notRun: 0,
    unknown: 0,
    violations: 0,
  };
  while (totals.events < events) {
    const roundSeed = seed + totals.rounds;
    const report = new SoakRound(roundSeed).run();
    totals.rounds += 1;
    totals.events += report.eventCount;
    totals.runs += report.runCount;
    totals.answered += report.answeredCount;
    totals.notRun += report.notRunCount;
    totals.unknown += report.unknownCount;
    totals.violations += report.violations.length;
    report.violations.slice(0, MAX_PRINTED_VIOLATIONS).forEach((violation) => {
      console.log(`seed ${roundSeed}: ${violation}`);
    });
  }
  Object.entries(totals).forEach(([name, value]) => console.log(`${name.padEnd(12)} ${value}`));
  process.exitCode = totals.violations === 0 ? 0 : 1;
}

main().catch((error: unknown) => {
  console.error(error);
  process.exitCode = 1;
});
