/** Settings of the daemons, read from a JSON file and validated at startup. */

import * as z from 'zod';
import { createDiagnostic } from '../types/diagnostics';
import type { DataCentreId, SchedulerId, VmId } from '../types/ids';
import { fail } from '../types/outcomes';
import type { Result } from '../types/outcomes';
import { tryReadJsonFile } from './jsonFile';
import { tryParse } from './sheetSchema';

const addressSchema = z.string().regex(/^[0-9.]+:\d+$/, 'expected ip:port');
const durationMsSchema = z.int().min(1).max(3_600_000);
const listenSchema = z.strictObject({ host: z.ipv4(), port: z.int().min(0).max(65_535) });
const digestSchema = z.string().regex(/^[0-9a-f]{64}$/, 'expected 64 hex digits');

const DEFAULT_PLATFORM_TIMEOUT_MS = 800;
const DEFAULT_MAX_BODY_BYTES = 1_048_576;
const DEFAULT_BODY_TIMEOUT_MS = 10_000;
const DEFAULT_MAX_OPEN_REQUESTS = 4_000;
const DEFAULT_DRAIN_TIMEOUT_MS = 30_000;

const schedulerSchema = z.strictObject({
  schedulerId: z.string().regex(/^[A-Za-z0-9._-]{1,64}$/),
  vmId: z.string().min(1).max(128),
  dataCentreId: z.string().min(1).max(128),
  region: z.string().min(1).max(128),
  listen: listenSchema,
  advertisedAddress: addressSchema,
  platformAddress: addressSchema,
  platformTimeoutMs: durationMsSchema.default(DEFAULT_PLATFORM_TIMEOUT_MS),
  drainTimeoutMs: durationMsSchema.default(DEFAULT_DRAIN_TIMEOUT_MS),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
});

const gateSchema = z.strictObject({
  gateId: z.string().regex(/^[A-Za-z0-9._-]{1,64}$/),
  dataCentreId: z.string().min(1).max(128),
  listen: listenSchema,
  schedulerAddresses: z.array(addressSchema).min(1),
  operatorTokenDigest: digestSchema,
  maxBodyBytes: z.int().min(1).default(DEFAULT_MAX_BODY_BYTES),
  bodyTimeoutMs: durationMsSchema.default(DEFAULT_BODY_TIMEOUT_MS),
  maxOpenRequests: z.int().min(1).default(DEFAULT_MAX_OPEN_REQUESTS),
  drainTimeoutMs: durationMsSchema.default(DEFAULT_DRAIN_TIMEOUT_MS),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
});

/** Address on which a daemon listens. */
export interface ListenSettings {
  readonly host: string;
  readonly port: number;
}

/** Settings of `hemlockway-scheduler`. */
export interface SchedulerSettings {
  readonly schedulerId: SchedulerId;
  readonly vmId: VmId;
  readonly dataCentreId: DataCentreId;
  readonly region: string;
  readonly listen: ListenSettings;
  readonly advertisedAddress: string;
  readonly platformAddress: string;
  readonly platformTimeoutMs: number;
  readonly drainTimeoutMs: number;
  readonly logLevel: 'debug' | 'info' | 'warn' | 'error';
}

/** Settings of `hemlockway-gate`. */
export interface GateSettings {
  readonly gateId: string;
  readonly dataCentreId: DataCentreId;
  readonly listen: ListenSettings;
  /** Schedulers to request routes from, the one on the same VM first. */
  readonly schedulerAddresses: readonly string[];
  readonly operatorTokenDigest: string;
  readonly maxBodyBytes: number;
  readonly bodyTimeoutMs: number;
  readonly maxOpenRequests: number;
  readonly drainTimeoutMs: number;
  readonly logLevel: 'debug' | 'info' | 'warn' | 'error';
}

/**
 * Validates the settings of a scheduler.
 * @param value - the parsed JSON
 * @returns the settings with defaults filled in, or a diagnostic that lists all errors
 */
export function tryParseSchedulerSettings(value: unknown): Result<SchedulerSettings> {
  return tryParse<SchedulerSettings>(schedulerSchema, value, 'badSettings');
}

/**
 * Validates the settings of a gate.
 * @param value - the parsed JSON
 * @returns the settings with defaults filled in, or a diagnostic that lists all errors
 */
export function tryParseGateSettings(value: unknown): Result<GateSettings> {
  return tryParse<GateSettings>(gateSchema, value, 'badSettings');
}

/**
 * Reads and validates a settings file.
 * @param file - path of the JSON file
 * @param tryParseSettings - validates the settings of the daemon
 * @returns the settings, or a diagnostic that lists all errors
 */
export function tryReadSettings<T>(
  file: string,
  tryParseSettings: (value: unknown) => Result<T>,
): Result<T> {
  const json = tryReadJsonFile(file, 'badSettings');
  if (json.kind === 'error') return json;
  const settings = tryParseSettings(json.value);
  if (settings.kind === 'ok') return settings;
  return fail(createDiagnostic('badSettings', `${file}: ${settings.diagnostic.detail ?? ''}`));
}
