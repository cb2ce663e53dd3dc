/** `hemlockway`: the operators' and submitters' command line. */

import { readFileSync } from 'node:fs';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { createSecret, getDigest } from '../config/keys';
import { tryParseSheet } from '../config/sheetSchema';
import type { AcceptedConfig } from '../config/types';
import type { Result } from '../types/outcomes';
import { CliClient } from './client';
import type { CliResult } from './client';

const EXIT_REFUSED = 1;
const EXIT_USAGE = 2;
const EXIT_UNREACHABLE = 3;
const VERSION = '0.1.0';

/** Options that every command takes. */
interface CommonOptions {
  readonly gate: string;
  readonly token: string;
  readonly json: boolean;
}

function write(line: string): void {
  process.stdout.write(`${line}\n`);
}

function failWith(code: number, message: string): void {
  process.stderr.write(`hemlockway: ${message}\n`);
  process.exitCode = code;
}

function renderValue(value: unknown, isJson: boolean): string {
  if (isJson || typeof value !== 'object') return JSON.stringify(value);
  return JSON.stringify(value, null, 2);
}

function report(result: CliResult, isJson: boolean): void {
  switch (result.kind) {
    case 'value':
      write(renderValue(result.value, isJson));
      return;
    case 'refused':
      failWith(EXIT_REFUSED, `${result.code} ${result.message}`);
      return;
    default:
      failWith(EXIT_UNREACHABLE, `the gate did not answer: ${result.detail}`);
  }
}

async function callGate(
  options: CommonOptions,
  method: 'GET' | 'POST' | 'DELETE',
  path: string,
  body?: unknown,
): Promise<CliResult> {
  const client = new CliClient(options.gate, options.token);
  const result = await client.call(method, path, body);
  await client.close();
  return result;
}

function tryReadSheet(file: string): Result<unknown> {
  try {
    return tryParseSheet(JSON.parse(readFileSync(file, 'utf8')));
  } catch (error) {
    return { kind: 'error', diagnostic: { name: 'badJson', detail: String(error) } };
  }
}

async function change(options: CommonOptions, body: unknown): Promise<void> {
  report(await callGate(options, 'POST', 'operator/config/changes', body), options.json);
}

async function applySheet(options: CommonOptions, file: string): Promise<void> {
  const sheet = tryReadSheet(file);
  if (sheet.kind === 'error') {
    failWith(EXIT_USAGE, `${file}: ${sheet.diagnostic.detail ?? ''}`);
    return;
  }
  const current = await callGate(options, 'GET', 'operator/config');
  if (current.kind !== 'value') {
    report(current, options.json);
    return;
  }
  const basedOnVersion = (current.value as AcceptedConfig).version;
  await change(options, { kind: 'applySheet', basedOnVersion, sheet: sheet.value });
}

function checkSheet(options: CommonOptions, file: string): void {
  const sheet = tryReadSheet(file);
  if (sheet.kind === 'error') failWith(EXIT_USAGE, `${file}: ${sheet.diagnostic.detail ?? ''}`);
  else write(renderValue('ok', options.json));
}

async function grantKey(options: CommonOptions, keyId: string, teamId: string): Promise<void> {
  const secret = createSecret();
  const key = { keyId, teamId, secretDigest: getDigest(secret) };
  const result = await callGate(options, 'POST', 'operator/config/changes', {
    kind: 'grantKey',
    key,
  });
  if (result.kind !== 'value') report(result, options.json);
  else write(renderValue({ key: `${keyId}:${secret}`, version: result.value }, options.json));
}

const cli = yargs(hideBin(process.argv))
  .scriptName('hemlockway')
  .option('gate', { type: 'string', default: '127.0.0.1:8080', describe: 'gate, ip:port' })
  .option('token', { type: 'string', default: process.env.HEMLOCKWAY_TOKEN ?? '' })
  .option('json', { type: 'boolean', default: false, describe: 'machine-readable output' })
  .command(
    'sheet check <file>',
    'check a sheet',
    (y) => y.positional('file', { type: 'string', demandOption: true }),
    (argv) => checkSheet(argv, argv.file),
  )
  .command(
    'sheet apply <file>',
    'make a sheet the configuration in force',
    (y) => y.positional('file', { type: 'string', demandOption: true }),
    (argv) => applySheet(argv, argv.file),
  )
  .command(
    'sheet status',
    'show the configuration in force',
    (y) => y,
    async (argv) => report(await callGate(argv, 'GET', 'operator/config'), argv.json),
  )
  .command(
    'key grant <keyId> <teamId>',
    'create a key and print it once',
    (y) =>
      y
        .positional('keyId', { type: 'string', demandOption: true })
        .positional('teamId', { type: 'string', demandOption: true }),
    (argv) => grantKey(argv, argv.keyId, argv.teamId),
  )
  .command(
    'key withdraw <keyId>',
    'withdraw a key',
    (y) => y.positional('keyId', { type: 'string', demandOption: true }),
    (argv) => change(argv, { kind: 'withdrawKey', keyId: argv.keyId }),
  )
  .command(
    'datacentre <direction> <dataCentreId>',
    'take a data centre out of service or back in',
    (y) =>
      y
        .positional('direction', { choices: ['out', 'in'] as const, demandOption: true })
        .positional('dataCentreId', { type: 'string', demandOption: true }),
    (argv) =>
      change(argv, {
        kind: 'setDataCentre',
        dataCentreId: argv.dataCentreId,
        inService: argv.direction === 'in',
      }),
  )
  .command(
    'job submit <file>',
    'submit a job described in a JSON file',
    (y) => y.positional('file', { type: 'string', demandOption: true }),
    async (argv) => {
      const spec: unknown = JSON.parse(readFileSync(argv.file, 'utf8'));
      report(await callGate(argv, 'POST', 'jobs', spec), argv.json);
    },
  )
  .command(
    'job list',
    "list the team's jobs",
    (y) => y,
    async (argv) => report(await callGate(argv, 'GET', 'jobs'), argv.json),
  )
  .command(
    'job show <jobId>',
    'show one job',
    (y) => y.positional('jobId', { type: 'string', demandOption: true }),
    async (argv) => report(await callGate(argv, 'GET', `jobs/${argv.jobId}`), argv.json),
  )
  .command(
    'job cancel <jobId>',
    'cancel a job',
    (y) => y.positional('jobId', { type: 'string', demandOption: true }),
    async (argv) => report(await callGate(argv, 'DELETE', `jobs/${argv.jobId}`), argv.json),
  )
  .command(
    'state dump',
    'show the state of the gate and every scheduler',
    (y) => y,
    async (argv) => report(await callGate(argv, 'GET', 'operator/state'), argv.json),
  )
  .command(
    'drain <schedulerId>',
    'begin a planned stop of a scheduler',
    (y) => y.positional('schedulerId', { type: 'string', demandOption: true }),
    async (argv) => {
      report(await callGate(argv, 'POST', `operator/drain/${argv.schedulerId}`), argv.json);
    },
  )
  .command('version', 'print the version', {}, () => write(VERSION))
  .version(VERSION)
  .demandCommand(1)
  .strict()
  .exitProcess(false)
  .fail((message, error) => {
    throw error ?? new Error(message);
  });

cli.parseAsync().catch((error: unknown) => {
  failWith(EXIT_USAGE, error instanceof Error ? error.message : String(error));
});
