/** The stored form of a submission's progress, and its decoding. */

import * as E from 'fp-ts/Either';
import * as z from 'zod';
import { tryParseJson } from '../types/json';
import type { StoredStepProgress } from './stepProgress';

const storedStepSchema = z.object({
  done: z
    .string()
    .regex(/^(\d+(-\d+)?(,\d+(-\d+)?)*)?$/)
    .optional(),
  failedRuns: z.record(z.string(), z.array(z.int())).optional(),
  checkpoints: z.record(z.string(), z.string()).optional(),
});

const storedProgressSchema = z.object({
  outcome: z.enum(['succeeded', 'failed', 'cancelled']).optional(),
  outcomeAtMs: z.number().optional(),
  hasBegun: z.boolean().optional(),
  steps: z.record(z.string(), storedStepSchema).optional(),
});

/** What is stored of a submission beside the submission itself. */
export interface StoredProgress {
  /** Set once nothing of the submission will run any more. */
  readonly outcome?: 'succeeded' | 'failed' | 'cancelled' | undefined;
  /** Milliseconds since 1970 at which the outcome was decided. */
  readonly outcomeAtMs?: number | undefined;
  readonly hasBegun?: boolean | undefined;
  /** Progress by `occurrence.step`. */
  readonly steps?: Readonly<Record<string, StoredStepProgress>> | undefined;
}

/**
 * Reads a stored row.
 * @param text - the row's value
 * @returns the progress, or what is wrong with the row
 */
export function decodeProgress(text: string): E.Either<string, StoredProgress> {
  const parsed = storedProgressSchema.safeParse(tryParseJson(text));
  return parsed.success ? E.right(parsed.data) : E.left(z.prettifyError(parsed.error));
}
