/** Entry point of `hemlockway`, the command line for operators and job submitters. */

import { hideBin } from 'yargs/helpers';
import { CliClient } from './client';
import { parseAndRun } from './parser';
import type { Command, CommonOptions } from './parser';
import { renderOutcome } from './renderOutcome';
import type { CommandOutcome } from './types';

function printOutcome(outcome: CommandOutcome, options: { json: boolean; verbose: boolean }): void {
  const { stdout, stderr } = renderOutcome(outcome, options);
  process.stdout.write(stdout);
  process.stderr.write(stderr);
  process.exitCode = outcome.exitCode;
}

async function run(options: CommonOptions, command: Command): Promise<void> {
  const client = new CliClient(options.gate, options.token);
  printOutcome(await command(client), options);
  await client.close();
}

async function main(): Promise<void> {
  const args = hideBin(process.argv);
  const usageError = await parseAndRun(args, run);
  if (usageError === undefined) return;
  printOutcome(usageError, { json: false, verbose: args.includes('--verbose') });
}

main().catch((error: unknown) => {
  process.stderr.write(`hemlockway: ${String(error)}\n`);
  process.exitCode = 1;
});
