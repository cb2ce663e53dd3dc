/** Validates submitted job descriptions. */

import * as z from 'zod';
import { tryParse } from '../config/sheetSchema';
import type { Result } from '../types/outcomes';
import type { JobSpec } from './types';

const MAX_TASKS = 10_000;
const MAX_EXPECTED_RUN_MS = 7 * 24 * 3_600_000;
const MAX_RESOURCE_AMOUNT = 10_000_000;

const idSchema = z
  .string()
  .min(1)
  .max(128)
  .regex(/^[A-Za-z0-9._-]+$/, 'letters, digits, dot, underscore and dash');
const amountSchema = z.int().min(0).max(MAX_RESOURCE_AMOUNT);
const taskCountSchema = z.int().min(1).max(MAX_TASKS);

const jobSchema = z.strictObject({
  jobId: idSchema,
  queueId: idSchema,
  policy: z.discriminatedUnion('kind', [
    z.strictObject({
      kind: z.literal('service'),
      serviceName: idSchema,
      replicas: taskCountSchema,
    }),
    z.strictObject({
      kind: z.literal('batch'),
      taskCount: taskCountSchema,
      deadlineMs: z.int().min(0).optional(),
    }),
    z.strictObject({ kind: z.literal('gang'), taskCount: taskCountSchema }),
    z.strictObject({ kind: z.literal('watch') }),
  ]),
  demand: z.strictObject({
    cpuMillis: amountSchema,
    memoryMb: amountSchema,
    accelerators: amountSchema.default(0),
    slots: z.int().min(1).max(MAX_RESOURCE_AMOUNT).default(1),
    connections: amountSchema.default(0),
  }),
  expectedRunMs: z.int().min(0).max(MAX_EXPECTED_RUN_MS),
});

/**
 * Validates a submitted job.
 * @param value - parsed JSON
 * @returns the job with defaults filled in, or all validation errors
 */
export function tryParseJobSpec(value: unknown): Result<JobSpec> {
  return tryParse<JobSpec>(jobSchema, value, 'badBody');
}
