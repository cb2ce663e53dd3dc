/** Every schema accepts or rejects any JSON value without throwing, and describes its errors. */

import * as fc from 'fast-check';
import { tryParseGateSettings, tryParseSchedulerSettings } from '../src/config/settings';
import { tryParseChange, tryParseSheet } from '../src/config/sheetSchema';
import { tryParseJobSpec } from '../src/jobs/jobSchema';
import { createSheet } from './support/sheets';

const PARSERS = [
  tryParseSheet,
  tryParseChange,
  tryParseJobSpec,
  tryParseGateSettings,
  tryParseSchedulerSettings,
] as const;

const JOB = {
  jobId: 'plan',
  queueId: 'team-a',
  policy: { kind: 'batch', taskCount: 2 },
  demand: { cpuMillis: 1, memoryMb: 1, accelerators: 0, slots: 1, connections: 0 },
  expectedRunMs: 1,
};

/** Replaces one field, at any depth, with another value. */
function replaceField(value: object, path: readonly number[], replacement: unknown): unknown {
  const [step, ...rest] = path;
  const keys = Object.keys(value);
  const key = step === undefined ? undefined : keys[step % Math.max(1, keys.length)];
  if (key === undefined) return replacement;
  const field: unknown = Reflect.get(value, key);
  const isObject = typeof field === 'object' && field !== null;
  const next = isObject ? replaceField(field, rest, replacement) : replacement;
  if (Array.isArray(value)) return Object.assign([...value], { [key]: next });
  return { ...value, [key]: next };
}

function expectDetail(result: ReturnType<(typeof PARSERS)[number]>): void {
  if (result.kind === 'ok') return;
  expect(result.diagnostic.detail?.length).toBeGreaterThan(0);
}

describe('schemas', () => {
  test('reject arbitrary JSON with a description of the error', () => {
    fc.assert(
      fc.property(fc.jsonValue(), (value) => {
        PARSERS.forEach((tryParse) => {
          const result = tryParse(value);
          expect(result.kind).toBe('error');
          expectDetail(result);
        });
      }),
      { seed: 31, numRuns: 400 },
    );
  });

  test('handle a sheet and a job with one replaced field without throwing', () => {
    const path = fc.array(fc.nat(20), { minLength: 1, maxLength: 5 });
    fc.assert(
      fc.property(path, fc.jsonValue(), (steps, replacement) => {
        expectDetail(
          tryParseSheet(replaceField(createSheet(['team-a'], ['delft']), steps, replacement)),
        );
        expectDetail(tryParseJobSpec(replaceField(JOB, steps, replacement)));
      }),
      { seed: 32, numRuns: 600 },
    );
  });

  test('reject an unknown field', () => {
    expect(tryParseJobSpec({ ...JOB, colour: 'red' })).toMatchObject({ kind: 'error' });
    expect(tryParseJobSpec(JOB)).toMatchObject({ kind: 'ok' });
  });
});
