/** Definition of the commands and options. */

import VError from 'verror';
import yargs from 'yargs';
import {
  applySheet,
  changeConfig,
  checkSheet,
  diffSheet,
  grantKey,
  callAndRender,
  showConfig,
  submitJob,
} from './commands';
import { ExitCodes } from './types';
import type { CommandOutcome, GateApi } from './types';

const VERSION = '0.1.0';
const DEFAULT_GATE = '127.0.0.1:8080';
const COMMAND_REQUIRED_MESSAGE = 'expected a command; run with --help for a list';

/** Options that are accepted by every command. */
export interface CommonOptions {
  readonly gate: string;
  readonly token: string;
  readonly json: boolean;
  readonly verbose: boolean;
}

/** A command with its arguments bound. Commands that run locally ignore the gate. */
export type Command = (gate: GateApi) => Promise<CommandOutcome> | CommandOutcome;

/** Executes a parsed command and prints its outcome. */
export type RunCommand = (options: CommonOptions, command: Command) => Promise<void>;

function createBaseParser(args: readonly string[]) {
  return yargs([...args])
    .scriptName('hemlockway')
    .option('gate', {
      type: 'string',
      default: DEFAULT_GATE,
      describe: 'address of the gate, ip:port',
    })
    .option('token', {
      type: 'string',
      default: process.env.HEMLOCKWAY_TOKEN ?? '',
      defaultDescription: 'HEMLOCKWAY_TOKEN',
      describe: "operator token or a team's key",
    })
    .option('json', { type: 'boolean', default: false, describe: 'machine-readable output' })
    .option('verbose', {
      type: 'boolean',
      default: false,
      describe: 'print the causes and stack traces of an error',
    });
}

type Parser = ReturnType<typeof createBaseParser>;

function addSheetCommands(parser: Parser, run: RunCommand): Parser {
  const requiredString = { type: 'string', demandOption: true } as const;
  return parser.command('sheet', 'check, compare and apply configuration sheets', (group) =>
    group
      .command(
        'check <file>',
        'validate a sheet without sending it',
        (command) => command.positional('file', requiredString),
        (argv) => run(argv, () => checkSheet(argv.file)),
      )
      .command(
        'diff <file>',
        'compare the current configuration with a sheet',
        (command) => command.positional('file', requiredString),
        (argv) => run(argv, (gate) => diffSheet(gate, argv.file)),
      )
      .command(
        'apply <file>',
        'replace the current configuration with a sheet',
        (command) =>
          command.positional('file', requiredString).option('based-on', {
            type: 'number',
            describe: 'configuration version that the sheet is based on',
          }),
        (argv) => run(argv, (gate) => applySheet(gate, argv.file, argv.basedOn)),
      )
      .command(
        'status',
        'show the current configuration',
        (command) => command,
        (argv) => run(argv, showConfig),
      )
      .demandCommand(1, COMMAND_REQUIRED_MESSAGE),
  );
}

function addKeyCommands(parser: Parser, run: RunCommand): Parser {
  const requiredString = { type: 'string', demandOption: true } as const;
  return parser.command('key', 'grant and withdraw keys', (group) =>
    group
      .command(
        'grant <keyId> <teamId>',
        'create a key and print it once',
        (command) =>
          command.positional('keyId', requiredString).positional('teamId', requiredString),
        (argv) => run(argv, (gate) => grantKey(gate, argv.keyId, argv.teamId)),
      )
      .command(
        'withdraw <keyId>',
        'withdraw a key',
        (command) => command.positional('keyId', requiredString),
        (argv) => {
          const change = { kind: 'withdrawKey', keyId: argv.keyId };
          return run(argv, (gate) => changeConfig(gate, change));
        },
      )
      .demandCommand(1, COMMAND_REQUIRED_MESSAGE),
  );
}

function addDataCentreCommand(parser: Parser, run: RunCommand): Parser {
  return parser.command(
    'datacentre <direction> <dataCentreId>',
    'take a data centre out of service or return it to service',
    (command) =>
      command
        .positional('direction', { choices: ['out', 'in'] as const, demandOption: true })
        .positional('dataCentreId', { type: 'string', demandOption: true }),
    (argv) => {
      const inService = argv.direction === 'in';
      const change = { kind: 'setDataCentre', dataCentreId: argv.dataCentreId, inService };
      return run(argv, (gate) => changeConfig(gate, change));
    },
  );
}

function addJobCommands(parser: Parser, run: RunCommand): Parser {
  const requiredString = { type: 'string', demandOption: true } as const;
  return parser.command('job', 'submit, query and cancel jobs', (group) =>
    group
      .command(
        'submit <file>',
        'submit a job described in a JSON file',
        (command) => command.positional('file', requiredString),
        (argv) => run(argv, (gate) => submitJob(gate, argv.file)),
      )
      .command(
        'list',
        "list the team's jobs",
        (command) => command,
        (argv) => run(argv, (gate) => callAndRender(gate, { method: 'GET', path: 'jobs' })),
      )
      .command(
        'show <jobId>',
        'show one job',
        (command) => command.positional('jobId', requiredString),
        (argv) =>
          run(argv, (gate) => callAndRender(gate, { method: 'GET', path: `jobs/${argv.jobId}` })),
      )
      .command(
        'cancel <jobId>',
        'cancel a job',
        (command) => command.positional('jobId', requiredString),
        (argv) =>
          run(argv, (gate) =>
            callAndRender(gate, { method: 'DELETE', path: `jobs/${argv.jobId}` }),
          ),
      )
      .demandCommand(1, COMMAND_REQUIRED_MESSAGE),
  );
}

function addProcessCommands(parser: Parser, run: RunCommand): Parser {
  return parser
    .command('state', 'inspect the running processes', (group) =>
      group
        .command(
          'dump',
          'show the state of the gate and every scheduler',
          (command) => command,
          (argv) =>
            run(argv, (gate) => callAndRender(gate, { method: 'GET', path: 'operator/state' })),
        )
        .demandCommand(1, COMMAND_REQUIRED_MESSAGE),
    )
    .command(
      'drain <schedulerId>',
      'drain a scheduler for a planned stop',
      (command) => command.positional('schedulerId', { type: 'string', demandOption: true }),
      (argv) => {
        const path = `operator/drain/${argv.schedulerId}`;
        return run(argv, (gate) => callAndRender(gate, { method: 'POST', path }));
      },
    )
    .command(
      'version',
      'print the version',
      (command) => command,
      (argv) => {
        const value = { version: VERSION };
        return run(argv, () => ({ kind: 'output', exitCode: ExitCodes.ok, value, text: VERSION }));
      },
    );
}

/**
 * Parses a command line and executes its command.
 * @param args - command-line arguments without the program name
 * @param run - executes the command and prints its outcome
 * @returns the usage error, or undefined when the command was executed
 */
export async function parseAndRun(
  args: readonly string[],
  run: RunCommand,
): Promise<CommandOutcome | undefined> {
  const commandGroups = [
    addSheetCommands,
    addKeyCommands,
    addDataCentreCommand,
    addJobCommands,
    addProcessCommands,
  ];
  const parser = commandGroups
    .reduce((base, addCommands) => addCommands(base, run), createBaseParser(args))
    .version(VERSION)
    .demandCommand(1, COMMAND_REQUIRED_MESSAGE)
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
