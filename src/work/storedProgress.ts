/** Schema and decoder of the stored progress of a submission. */

import * as E from 'fp-ts/Either';
import * as z from 'zod';
import { tryParseJson } from '../types/json';
import type { StoredStepProgress } from './stepProgress';

const crashReportSchema = z.object({
  incarnation: z.string(),
  recordedAtMs: z.number(),
  isConfirmed: z.boolean().optional(),
  suspectCount: z.int().optional(),
  ageMs: z.number().optional(),
  run: z.int().optional(),
  runCount: z.int().optional(),
  isUnlikely: z.boolean().optional(),
  isDoubtful: z.boolean().optional(),
});

const rangesSchema = z.string().regex(/^(\d+(-\d+)?(,\d+(-\d+)?)*)?$/);

const storedStepSchema = z.object({
  done: rangesSchema.optional(),
  failedRuns: z.record(z.string(), z.array(z.int())).optional(),
  checkpoints: z.record(z.string(), z.string()).optional(),
  crashes: z.record(z.string(), z.array(crashReportSchema)).optional(),
});

const storedProgressSchema = z.object({
  outcome: z.enum(['succeeded', 'failed', 'cancelled']).optional(),
  outcomeAtMs: z.number().optional(),
  hasBegun: z.boolean().optional(),
  givenUpTask: z.string().optional(),
  doneOccurrences: rangesSchema.optional(),
  serviceNames: z.array(z.string()).optional(),
  steps: z.record(z.string(), storedStepSchema).optional(),
});

/** Progress of a submission, stored in a row next to the submission itself. */
export interface StoredProgress {
  /** Set once the submission has ended. */
  readonly outcome?: 'succeeded' | 'failed' | 'cancelled' | undefined;
  /** Time at which the outcome was decided, in milliseconds since 1970. */
  readonly outcomeAtMs?: number | undefined;
  readonly hasBegun?: boolean | undefined;
  /** The task that was given up because targets crashed under it, when that was the reason of the outcome. */
  readonly givenUpTask?: string | undefined;
  /** Occurrences of a schedule that are done, as ranges; their steps are left out. */
  readonly doneOccurrences?: string | undefined;
  /** Services besides that of the queue at acceptance on whose targets tasks may have been started. */
  readonly serviceNames?: readonly string[] | undefined;
  /** Progress by `occurrence.step`. */
  readonly steps?: Readonly<Record<string, StoredStepProgress>> | undefined;
}

/**
 * Decodes a stored progress row.
 * @param text - the value of the row
 * @returns the progress, or a description of the error
 */
export function decodeProgress(text: string): E.Either<string, StoredProgress> {
  const parsed = storedProgressSchema.safeParse(tryParseJson(text));
  return parsed.success ? E.right(parsed.data) : E.left(z.prettifyError(parsed.error));
}
