/** `hemlockway`: the operators' and submitters' command line. */

import VError from 'verror';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { CliClient } from './client';
import {
  applySheet,
  changeConfig,
  checkSheet,
  diffSheet,
  grantKey,
  show,
  showSheet,
  submitJob,
} from './commands';
import { print } from './print';
import { ExitCodes } from './types';
import type { CommandOutcome, GateApi } from './types';

const VERSION = '0.1.0';

/** Options that every command takes. */
interface CommonOptions {
  readonly gate: string;
  readonly token: string;
  readonly json: boolean;
  readonly verbose: boolean;
}

function report(outcome: CommandOutcome, options: CommonOptions): void {
  const { stdout, stderr } = print(outcome, options);
  process.stdout.write(stdout);
  process.stderr.write(stderr);
  process.exitCode = outcome.exitCode;
}

async function run(
  options: CommonOptions,
  command: (gate: GateApi) => Promise<CommandOutcome>,
): Promise<void> {
  const client = new CliClient(options.gate, options.token);
  report(await command(client), options);
  await client.close();
}

const cli = yargs(hideBin(process.argv))
  .scriptName('hemlockway')
  .option('gate', { type: 'string', default: '127.0.0.1:8080', describe: 'gate, ip:port' })
  .option('token', {
    type: 'string',
    default: process.env.HEMLOCKWAY_TOKEN ?? '',
    defaultDescription: 'HEMLOCKWAY_TOKEN',
    describe: "operators' token or a team's key",
  })
  .option('json', { type: 'boolean', default: false, describe: 'machine-readable output' })
  .option('verbose', { type: 'boolean', default: false, describe: 'print the causes of an error' })
  .command(
    'sheet check <file>',
    'check a sheet',
    (y) => y.positional('file', { type: 'string', demandOption: true }),
    (argv) => report(checkSheet(argv.file), argv),
  )
  .command(
    'sheet diff <file>',
    'compare the configuration in force with a sheet',
    (y) => y.positional('file', { type: 'string', demandOption: true }),
    (argv) => run(argv, (gate) => diffSheet(gate, argv.file)),
  )
  .command(
    'sheet apply <file>',
    'make a sheet the configuration in force',
    (y) =>
      y
        .positional('file', { type: 'string', demandOption: true })
        .option('based-on', { type: 'number', describe: 'version that the sheet was made from' }),
    (argv) => run(argv, (gate) => applySheet(gate, argv.file, argv.basedOn)),
  )
  .command(
    'sheet status',
    'show the configuration in force',
    (y) => y,
    (argv) => run(argv, showSheet),
  )
  .command(
    'key grant <keyId> <teamId>',
    'create a key and print it once',
    (y) =>
      y
        .positional('keyId', { type: 'string', demandOption: true })
        .positional('teamId', { type: 'string', demandOption: true }),
    (argv) => run(argv, (gate) => grantKey(gate, argv.keyId, argv.teamId)),
  )
  .command(
    'key withdraw <keyId>',
    'withdraw a key',
    (y) => y.positional('keyId', { type: 'string', demandOption: true }),
    (argv) => {
      const change = { kind: 'withdrawKey', keyId: argv.keyId };
      return run(argv, (gate) => changeConfig(gate, change));
    },
  )
  .command(
    'datacentre <direction> <dataCentreId>',
    'take a data centre out of service or back in',
    (y) =>
      y
        .positional('direction', { choices: ['out', 'in'] as const, demandOption: true })
        .positional('dataCentreId', { type: 'string', demandOption: true }),
    (argv) => {
      const inService = argv.direction === 'in';
      const change = { kind: 'setDataCentre', dataCentreId: argv.dataCentreId, inService };
      return run(argv, (gate) => changeConfig(gate, change));
    },
  )
  .command(
    'job submit <file>',
    'submit a job described in a JSON file',
    (y) => y.positional('file', { type: 'string', demandOption: true }),
    (argv) => run(argv, (gate) => submitJob(gate, argv.file)),
  )
  .command(
    'job list',
    "list the team's jobs",
    (y) => y,
    (argv) => run(argv, (gate) => show(gate, { method: 'GET', path: 'jobs' })),
  )
  .command(
    'job show <jobId>',
    'show one job',
    (y) => y.positional('jobId', { type: 'string', demandOption: true }),
    (argv) => run(argv, (gate) => show(gate, { method: 'GET', path: `jobs/${argv.jobId}` })),
  )
  .command(
    'job cancel <jobId>',
    'cancel a job',
    (y) => y.positional('jobId', { type: 'string', demandOption: true }),
    (argv) => run(argv, (gate) => show(gate, { method: 'DELETE', path: `jobs/${argv.jobId}` })),
  )
  .command(
    'state dump',
    'show the state of the gate and every scheduler',
    (y) => y,
    (argv) => run(argv, (gate) => show(gate, { method: 'GET', path: 'operator/state' })),
  )
  .command(
    'drain <schedulerId>',
    'begin a planned stop of a scheduler',
    (y) => y.positional('schedulerId', { type: 'string', demandOption: true }),
    (argv) => {
      const path = `operator/drain/${argv.schedulerId}`;
      return run(argv, (gate) => show(gate, { method: 'POST', path }));
    },
  )
  .command(
    'version',
    'print the version',
    (y) => y,
    (argv) => {
      const value = { version: VERSION };
      report({ kind: 'output', exitCode: ExitCodes.ok, value, text: VERSION }, argv);
    },
  )
  .version(VERSION)
  .demandCommand(1)
  .strict()
  .exitProcess(false)
  .fail((message, error) => {
    throw error ?? new Error(message);
  });

cli.parseAsync().catch((cause: unknown) => {
  const error = new VError('%s', cause instanceof Error ? cause.message : String(cause));
  const isVerbose = process.argv.includes('--verbose');
  const outcome = { kind: 'failure', exitCode: ExitCodes.usage, error } as const;
  process.stderr.write(print(outcome, { json: false, verbose: isVerbose }).stderr);
  process.exitCode = ExitCodes.usage;
});
