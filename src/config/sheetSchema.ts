/** Validates sheets and configuration changes from clients and reports all errors at once. */

import * as z from 'zod';
import { createDiagnostic } from '../types/diagnostics';
import type { DiagnosticName } from '../types/diagnostics';
import { fail, ok } from '../types/outcomes';
import type { Result } from '../types/outcomes';
import type { ConfigChange, Sheet } from './types';

const MAX_ID_LENGTH = 128;
const MAX_SLOTS = 10_000_000;
const MAX_SHARDS_PER_DATA_CENTRE = 256;

const idSchema = z
  .string()
  .min(1)
  .max(MAX_ID_LENGTH)
  .regex(/^[A-Za-z0-9._-]+$/, 'letters, digits, dot, underscore and dash');

const teamSchema = z.strictObject({
  teamId: idSchema,
  shareWeight: z.number().positive(),
  limitSlots: z.int().min(0).max(MAX_SLOTS),
});

const keySchema = z.strictObject({
  keyId: idSchema,
  teamId: idSchema,
  secretDigest: z.string().regex(/^[0-9a-f]{64}$/, '64 hex digits'),
});

const queueSchema = z.strictObject({
  queueId: idSchema,
  access: z.discriminatedUnion('kind', [
    z.strictObject({ kind: z.literal('open') }),
    z.strictObject({ kind: z.literal('team'), teamId: idSchema }),
  ]),
  urgency: z.enum(['urgent', 'normal', 'background']),
});

const dataCentreSchema = z.strictObject({
  dataCentreId: idSchema,
  region: idSchema,
  inService: z.boolean(),
});

function areDistinct(values: readonly string[]): boolean {
  return new Set(values).size === values.length;
}

const sheetSchema = z
  .strictObject({
    teams: z.array(teamSchema),
    keys: z.array(keySchema),
    queues: z.array(queueSchema),
    dataCentres: z.array(dataCentreSchema),
    shardsPerDataCentre: z.int().min(1).max(MAX_SHARDS_PER_DATA_CENTRE),
  })
  .superRefine((sheet, context) => {
    const teamIds = new Set(sheet.teams.map((team) => team.teamId));
    const report = (path: (string | number)[], message: string) =>
      context.addIssue({ code: 'custom', path, message });
    if (!areDistinct(sheet.teams.map((team) => team.teamId))) {
      report(['teams'], 'expected distinct teamIds');
    }
    if (!areDistinct(sheet.keys.map((key) => key.keyId))) {
      report(['keys'], 'expected distinct keyIds');
    }
    if (!areDistinct(sheet.queues.map((queue) => queue.queueId))) {
      report(['queues'], 'expected distinct queueIds');
    }
    if (!areDistinct(sheet.dataCentres.map((dataCentre) => dataCentre.dataCentreId))) {
      report(['dataCentres'], 'expected distinct dataCentreIds');
    }
    sheet.keys.forEach((key, index) => {
      if (teamIds.has(key.teamId)) return;
      report(['keys', index, 'teamId'], `expected a listed team, got ${key.teamId}`);
    });
    sheet.queues.forEach((queue, index) => {
      if (queue.access.kind === 'open' || teamIds.has(queue.access.teamId)) return;
      report(['queues', index, 'access'], `expected a listed team, got ${queue.access.teamId}`);
    });
  });

const changeSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('applySheet'),
    basedOnVersion: z.int().min(0),
    sheet: sheetSchema,
  }),
  z.strictObject({ kind: z.literal('grantKey'), key: keySchema }),
  z.strictObject({ kind: z.literal('withdrawKey'), keyId: idSchema }),
  z.strictObject({
    kind: z.literal('setDataCentre'),
    dataCentreId: idSchema,
    inService: z.boolean(),
  }),
]);

/** Values of properties with such a name are never included in an error report. */
const SECRET_NAME_PATTERN = /digest|secret|token/i;
const MAX_RENDERED_VALUE_LENGTH = 60;

function getAtPath(value: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>((inner, name) => {
    if (typeof inner !== 'object' || inner === null) return undefined;
    return Object.getOwnPropertyDescriptor(inner, name)?.value;
  }, value);
}

function renderReceived(value: unknown, path: readonly PropertyKey[]): string {
  if (path.some((name) => SECRET_NAME_PATTERN.test(String(name)))) return 'a hidden value';
  const received = getAtPath(value, path);
  if (received === undefined) return 'nothing';
  const text = JSON.stringify(received);
  return text.length > MAX_RENDERED_VALUE_LENGTH
    ? `${text.slice(0, MAX_RENDERED_VALUE_LENGTH)}...`
    : text;
}

/**
 * Formats all issues of a failed validation as `path: got VALUE, MESSAGE`, joined by semicolons.
 * @param error - the error that the schema reported
 * @param value - the validated value
 * @returns the issues on one line, without secrets
 */
export function formatIssues(error: z.ZodError, value: unknown): string {
  return error.issues
    .map(({ path, message }) => {
      const name = path.join('.') || '(root)';
      return `${name}: got ${renderReceived(value, path)}, ${message}`;
    })
    .join('; ');
}

/**
 * Validates a value against a schema.
 * @param schema - the schema
 * @param value - the value
 * @param name - name of the diagnostic for an invalid value
 * @returns the typed value, or a diagnostic that lists all issues
 */
export function tryParse<T>(schema: z.ZodType, value: unknown, name: DiagnosticName): Result<T> {
  const parsed = schema.safeParse(value);
  if (!parsed.success) return fail(createDiagnostic(name, formatIssues(parsed.error, value)));
  return ok(parsed.data as T);
}

/**
 * Validates a sheet.
 * @param value - the parsed JSON
 * @returns the sheet, or a diagnostic that lists all issues
 */
export function tryParseSheet(value: unknown): Result<Sheet> {
  return tryParse<Sheet>(sheetSchema, value, 'badBody');
}

/**
 * Validates a configuration change.
 * @param value - the parsed JSON
 * @returns the change, or a diagnostic that lists all issues
 */
export function tryParseChange(value: unknown): Result<ConfigChange> {
  return tryParse<ConfigChange>(changeSchema, value, 'badBody');
}
