/**
 * `npm run soak:fleet -- --seed N --rounds N --seconds N`: plays rounds against real node processes and checks that no
 * accepted lasting task stays without a run.
 */

import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { hideBin } from 'yargs/helpers';
import yargs from 'yargs';
import { SoakRound } from './round';

async function main(): Promise<void> {
  const options = await yargs(hideBin(process.argv))
    .option('seed', { type: 'number', default: 1, describe: 'seed of the first round' })
    .option('rounds', { type: 'number', default: 1, describe: 'number of rounds' })
    .option('seconds', { type: 'number', default: 60, describe: 'duration of a round' })
    .option('nodes', { type: 'number', default: 6, describe: 'node processes' })
    .option('targets', { type: 'number', default: 33, describe: 'targets' })
    .option('load', { type: 'number', default: 1, describe: 'factor of urgent and batch work' })
    .option('store-delay', { type: 'number', default: 0, describe: 'ms added to each answer' })
    .option('program', {
      type: 'string',
      default: join(__dirname, 'hemlockway-node.js'),
      describe: 'program of a node',
    })
    .option('logs', { type: 'string', describe: 'directory for the logs of rounds with a find' })
    .strict()
    .parse();
  let lostCount = 0;
  const play = async (seed: number): Promise<void> => {
    const round = new SoakRound({
      ...{ seed, seconds: options.seconds, program: options.program, load: options.load },
      ...{ nodeCount: options.nodes, targetCount: options.targets },
      storeDelayMs: options['store-delay'],
    });
    const onExit = () => round.close();
    process.on('exit', onExit);
    const report = await round.run();
    process.off('exit', onExit);
    lostCount += report.lost.length;
    console.log(
      [
        `seed ${seed}: ${report.lost.length} lost`,
        `longest wait ${report.longestMs} ms`,
        `${report.acceptedCount} accepted`,
        `${report.lastingTaskCount} lasting tasks`,
        `${report.exitCount} exits`,
      ].join(', '),
    );
    if (report.lost.length === 0) return;
    report.events.forEach((event) => console.log(`  ${event}`));
    if (options.logs === undefined) return;
    mkdirSync(options.logs, { recursive: true });
    report.logs.forEach((log, name) => {
      writeFileSync(join(options.logs ?? '', `seed-${seed}-${name}.log`), log);
    });
  };
  await Array.from({ length: options.rounds }, (_, index) => options.seed + index).reduce(
    (previous, seed) => previous.then(() => play(seed)),
    Promise.resolve(),
  );
  process.exitCode = lostCount === 0 ? 0 : 1;
}

['SIGINT', 'SIGTERM'].forEach((signal) => process.on(signal, () => process.exit(2)));
main().catch((error: unknown) => {
  console.error(error);
  process.exit(2);
});
