/** The command line's grammar. */

import VError from 'verror';
import yargs from 'yargs';
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
import { ExitCodes } from './types';
import type { CommandOutcome, GateApi } from './types';

const VERSION = '0.1.0';
const DEFAULT_GATE = '127.0.0.1:8080';
const NEED_COMMAND = 'expected a command; --help lists them';

/** Options that every command takes. */
export interface CommonOptions {
  readonly gate: string;
  readonly token: string;
  readonly json: boolean;
  readonly verbose: boolean;
}

/** A command with its arguments filled in; one that needs no gate ignores it. */
export type Command = (gate: GateApi) => Promise<CommandOutcome> | CommandOutcome;

/** Performs a parsed command and prints its outcome. */
export type RunCommand = (options: CommonOptions, command: Command) => Promise<void>;

function createCommon(args: readonly string[]) {
  return yargs([...args])
    .scriptName('hemlockway')
    .option('gate', { type: 'string', default: DEFAULT_GATE, describe: 'gate, ip:port' })
    .option('token', {
      type: 'string',
      default: process.env.HEMLOCKWAY_TOKEN ?? '',
      defaultDescription: 'HEMLOCKWAY_TOKEN',
      describe: "operators' token or a team's key",
    })
    .option('json', { type: 'boolean', default: false, describe: 'machine-readable output' })
    .option('verbose', { type: 'boolean', default: false, describe: 'print causes of an error' });
}

type Parser = ReturnType<typeof createCommon>;

function addSheet(parser: Parser, run: RunCommand): Parser {
  const file = { type: 'string', demandOption: true } as const;
  return parser.command('sheet', "check, compare and apply the operators' sheet", (y) =>
    y
      .command(
        'check <file>',
        'check a sheet',
        (z) => z.positional('file', file),
        (argv) => run(argv, () => checkSheet(argv.file)),
      )
      .command(
        'diff <file>',
        'compare the configuration in force with a sheet',
        (z) => z.positional('file', file),
        (argv) => run(argv, (gate) => diffSheet(gate, argv.file)),
      )
      .command(
        'apply <file>',
        'make a sheet the configuration in force',
        (z) =>
          z
            .positional('file', file)
            .option('based-on', { type: 'number', describe: 'version that it was made from' }),
        (argv) => run(argv, (gate) => applySheet(gate, argv.file, argv.basedOn)),
      )
      .command(
        'status',
        'show the configuration in force',
        (z) => z,
        (argv) => run(argv, showSheet),
      )
      .demandCommand(1, NEED_COMMAND),
  );
}

function addKeys(parser: Parser, run: RunCommand): Parser {
  const name = { type: 'string', demandOption: true } as const;
  return parser.command('key', 'grant and withdraw keys', (y) =>
    y
      .command(
        'grant <keyId> <teamId>',
        'create a key and print it once',
        (z) => z.positional('keyId', name).positional('teamId', name),
        (argv) => run(argv, (gate) => grantKey(gate, argv.keyId, argv.teamId)),
      )
      .command(
        'withdraw <keyId>',
        'withdraw a key',
        (z) => z.positional('keyId', name),
        (argv) => {
          const change = { kind: 'withdrawKey', keyId: argv.keyId };
          return run(argv, (gate) => changeConfig(gate, change));
        },
      )
      .demandCommand(1, NEED_COMMAND),
  );
}

function addDataCentres(parser: Parser, run: RunCommand): Parser {
  return parser.command(
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
  );
}

function addJobs(parser: Parser, run: RunCommand): Parser {
  const name = { type: 'string', demandOption: true } as const;
  return parser.command('job', 'submit, query and cancel jobs', (y) =>
    y
      .command(
        'submit <file>',
        'submit a job described in a JSON file',
        (z) => z.positional('file', name),
        (argv) => run(argv, (gate) => submitJob(gate, argv.file)),
      )
      .command(
        'list',
        "list the team's jobs",
        (z) => z,
        (argv) => run(argv, (gate) => show(gate, { method: 'GET', path: 'jobs' })),
      )
      .command(
        'show <jobId>',
        'show one job',
        (z) => z.positional('jobId', name),
        (argv) => run(argv, (gate) => show(gate, { method: 'GET', path: `jobs/${argv.jobId}` })),
      )
      .command(
        'cancel <jobId>',
        'cancel a job',
        (z) => z.positional('jobId', name),
        (argv) => run(argv, (gate) => show(gate, { method: 'DELETE', path: `jobs/${argv.jobId}` })),
      )
      .demandCommand(1, NEED_COMMAND),
  );
}

function addProcesses(parser: Parser, run: RunCommand): Parser {
  return parser
    .command('state', 'look into the processes', (y) =>
      y
        .command(
          'dump',
          'show the state of the gate and every scheduler',
          (z) => z,
          (argv) => run(argv, (gate) => show(gate, { method: 'GET', path: 'operator/state' })),
        )
        .demandCommand(1, NEED_COMMAND),
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
        return run(argv, () => ({ kind: 'output', exitCode: ExitCodes.ok, value, text: VERSION }));
      },
    );
}

/**
 * Parses a command line and runs its command.
 * @param args - the words after the program's name
 * @param run - performs the command
 * @returns the mistake in the command line, or undefined when it was run
 */
export async function parseAndRun(
  args: readonly string[],
  run: RunCommand,
): Promise<CommandOutcome | undefined> {
  const steps = [addSheet, addKeys, addDataCentres, addJobs, addProcesses];
  const parser = steps
    .reduce((known, add) => add(known, run), createCommon(args))
    .version(VERSION)
    .demandCommand(1, NEED_COMMAND)
    .strict()
    .exitProcess(false)
    .fail((message, error) => {
      throw error ?? new VError('%s', message);
    });
  try {
    await parser.parseAsync();
    return undefined;
  } catch (cause) {
    const message = cause instanceof Error ? cause.message : String(cause);
    const error = new VError('%s', message);
    return { kind: 'failure', exitCode: ExitCodes.usage, error };
  }
}
