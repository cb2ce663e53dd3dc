/** `npm run soak -- --seed N --events N`: runs fault-injection rounds until they have handled N events. */

import { hideBin } from 'yargs/helpers';
import yargs from 'yargs';
import { SoakRound } from './soakRound';

const DEFAULT_EVENTS = 1_000_000;
const MAX_PRINTED = 5;

async function main(): Promise<void> {
  const { seed, events } = await yargs(hideBin(process.argv))
    .option('seed', { type: 'number', default: 1, describe: 'seed of the first round' })
    .option('events', {
      type: 'number',
      default: DEFAULT_EVENTS,
      describe: 'minimum number of events',
    })
    .strict()
    .parse();
  const total = {
    rounds: 0,
    events: 0,
    runs: 0,
    answered: 0,
    notRun: 0,
    unknown: 0,
    violations: 0,
  };
  while (total.events < events) {
    const roundSeed = seed + total.rounds;
    const report = new SoakRound(roundSeed).run();
    total.rounds += 1;
    total.events += report.eventCount;
    total.runs += report.runCount;
    total.answered += report.answeredCount;
    total.notRun += report.notRunCount;
    total.unknown += report.unknownCount;
    total.violations += report.violations.length;
    report.violations.slice(0, MAX_PRINTED).forEach((violation) => {
      console.log(`seed ${roundSeed}: ${violation}`);
    });
  }
  Object.entries(total).forEach(([name, value]) => console.log(`${name.padEnd(12)} ${value}`));
  process.exitCode = total.violations === 0 ? 0 : 1;
}

main().catch((error: unknown) => {
  console.error(error);
  process.exitCode = 1;
});
