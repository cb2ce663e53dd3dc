/** Implementation of the commands, independent of parsing and printing. */

import VError from 'verror';
import { createSecret, getDigest } from '../config/keys';
import { tryReadJsonFile } from '../config/jsonFile';
import { getSheetDiff } from '../config/sheetDiff';
import { tryParseSheet } from '../config/sheetSchema';
import type { AcceptedConfig, ChangeResponse, Sheet } from '../config/types';
import { tryParseJobSpec } from '../jobs/jobSchema';
import { Diagnostics } from '../types/diagnostics';
import type { Diagnostic } from '../types/diagnostics';
import { fail } from '../types/outcomes';
import type { Result } from '../types/outcomes';
import { renderValue, renderChange, renderConfig, renderDiff } from './render';
import { ExitCodes } from './types';
import type { CliCall, CliResult, CommandOutcome, ExitCode, GateApi } from './types';

const MAX_ATTEMPTS = 3;

function createOutput(
  value: unknown,
  text: string,
  exitCode: ExitCode = ExitCodes.ok,
): CommandOutcome {
  return { kind: 'output', exitCode, value, text };
}

function createFileFailure(diagnostic: Diagnostic): CommandOutcome {
  const { code, message } = Diagnostics[diagnostic.name];
  const cause = new VError('%s', diagnostic.detail ?? message);
  const error = new VError(cause, '%s %s', code, message);
  return { kind: 'failure', exitCode: ExitCodes.usage, error };
}

function createCallFailure(call: CliCall, result: Exclude<CliResult, { kind: 'value' }>) {
  const isRefused = result.kind === 'refused';
  const cause = isRefused
    ? new VError('%s %s', result.code, result.message)
    : new VError('%s', result.detail);
  const summary = isRefused ? 'refused' : 'no answer, the outcome is unknown';
  const error = new VError(cause, '%s %s: %s', call.method, call.path, summary);
  const exitCode = isRefused ? ExitCodes.refused : ExitCodes.unknown;
  return { kind: 'failure', exitCode, error } as const;
}

/**
 * Performs one call and renders the returned value.
 * @param gate - the gate to call
 * @param call - the call
 * @param render - renders the value as human-readable text
 * @returns the outcome of the command
 */
export async function callAndRender(
  gate: GateApi,
  call: CliCall,
  render: (value: unknown) => string = renderValue,
): Promise<CommandOutcome> {
  const result = await gate.call(call);
  if (result.kind !== 'value') return createCallFailure(call, result);
  return createOutput(result.value, render(result.value));
}

/** A gate forwards each attempt to another scheduler, so a retry can succeed after a scheduler has failed. */
function isRetryable(result: CliResult): boolean {
  if (result.kind === 'unknown') return true;
  return result.kind === 'refused' && result.code === Diagnostics.noOwner.code;
}

/** Retries a call that another scheduler may accept; its operation id prevents a second effect. */
async function callWithRetries(gate: GateApi, call: CliCall): Promise<CliResult> {
  let result = await gate.call(call);
  for (let attempt = 1; attempt < MAX_ATTEMPTS && isRetryable(result); attempt += 1) {
    result = await gate.call(call);
  }
  return result;
}

/**
 * Submits a configuration change.
 * @param gate - the gate to call
 * @param change - the change
 * @param operationId - idempotency key of the change
 * @returns the outcome of the command
 */
export async function changeConfig(
  gate: GateApi,
  change: object,
  operationId = createSecret(),
): Promise<CommandOutcome> {
  const path = 'operator/config/changes';
  const call: CliCall = { method: 'POST', path, body: change, operationId };
  const result = await callWithRetries(gate, call);
  if (result.kind !== 'value') return createCallFailure(call, result);
  return createOutput(result.value, renderChange(result.value as ChangeResponse));
}

function tryReadSheet(file: string): Result<Sheet> {
  const json = tryReadJsonFile(file, 'badSheet');
  if (json.kind === 'error') return json;
  const sheet = tryParseSheet(json.value);
  if (sheet.kind === 'ok') return sheet;
  const detail = `${file}: ${sheet.diagnostic.detail ?? ''}`;
  return fail({ name: 'badSheet', detail });
}

/**
 * Validates a configuration sheet locally, without calling a gate.
 * @param file - path of the sheet
 * @returns the outcome of the command, with the number of entries in each section
 */
export function checkSheet(file: string): CommandOutcome {
  const sheet = tryReadSheet(file);
  if (sheet.kind === 'error') return createFileFailure(sheet.diagnostic);
  const { teams, keys, queues, dataCentres } = sheet.value;
  const counts = {
    teams: teams.length,
    keys: keys.length,
    queues: queues.length,
    dataCentres: dataCentres.length,
  };
  return createOutput(counts, renderValue(counts));
}

/**
 * Compares the current configuration with a sheet.
 * @param gate - the gate to call
 * @param file - path of the sheet
 * @returns the outcome of the command; its exit code is `different` when there are differences
 */
export async function diffSheet(gate: GateApi, file: string): Promise<CommandOutcome> {
  const sheet = tryReadSheet(file);
  if (sheet.kind === 'error') return createFileFailure(sheet.diagnostic);
  const call = { method: 'GET', path: 'operator/config' } as const;
  const result = await gate.call(call);
  if (result.kind !== 'value') return createCallFailure(call, result);
  const differences = getSheetDiff((result.value as AcceptedConfig).sheet, sheet.value);
  const exitCode = differences.length === 0 ? ExitCodes.ok : ExitCodes.different;
  return createOutput(differences, renderDiff(differences), exitCode);
}

/**
 * Replaces the current configuration with a sheet.
 * @param gate - the gate to call
 * @param file - path of the sheet
 * @param basedOn - configuration version that the sheet is based on; defaults to the current version
 * @returns the outcome of the command
 */
export async function applySheet(
  gate: GateApi,
  file: string,
  basedOn?: number,
): Promise<CommandOutcome> {
  const sheet = tryReadSheet(file);
  if (sheet.kind === 'error') return createFileFailure(sheet.diagnostic);
  const call = { method: 'GET', path: 'operator/config' } as const;
  const current = await gate.call(call);
  if (current.kind !== 'value') return createCallFailure(call, current);
  const basedOnVersion = basedOn ?? (current.value as AcceptedConfig).version;
  return changeConfig(gate, { kind: 'applySheet', basedOnVersion, sheet: sheet.value });
}

/**
 * Shows the current configuration.
 * @param gate - the gate to call
 * @returns the outcome of the command
 */
export function showConfig(gate: GateApi): Promise<CommandOutcome> {
  const call = { method: 'GET', path: 'operator/config' } as const;
  return callAndRender(gate, call, (value) => renderConfig(value as AcceptedConfig));
}

/**
 * Creates an API key. Its secret is printed once; only its digest is sent and stored.
 * @param gate - the gate to call
 * @param keyId - id of the key
 * @param teamId - team that the key authenticates
 * @returns the outcome of the command
 */
export async function grantKey(
  gate: GateApi,
  keyId: string,
  teamId: string,
): Promise<CommandOutcome> {
  const secret = createSecret();
  const key = { keyId, teamId, secretDigest: getDigest(secret) };
  const outcome = await changeConfig(gate, { kind: 'grantKey', key });
  if (outcome.kind !== 'output') return outcome;
  const token = `${keyId}:${secret}`;
  const value = { ...(outcome.value as ChangeResponse), key: token };
  return createOutput(value, `${outcome.text}\nkey, shown once: ${token}`);
}

/**
 * Submits a job.
 * @param gate - the gate to call
 * @param file - path of the job description
 * @returns the outcome of the command
 */
export async function submitJob(gate: GateApi, file: string): Promise<CommandOutcome> {
  const json = tryReadJsonFile(file, 'badJob');
  if (json.kind === 'error') return createFileFailure(json.diagnostic);
  const spec = tryParseJobSpec(json.value);
  if (spec.kind === 'error') {
    const detail = `${file}: ${spec.diagnostic.detail ?? ''}`;
    return createFileFailure({ name: 'badJob', detail });
  }
  return callAndRender(gate, { method: 'POST', path: 'jobs', body: json.value });
}
