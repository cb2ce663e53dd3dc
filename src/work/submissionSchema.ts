/** Schema, decoders and encoder of stored submissions. */

import * as E from 'fp-ts/Either';
import * as z from 'zod';
import { tryParseJson } from '../types/json';
import type { QueueId, SubmissionId, TeamId } from '../types/ids';
import type { Submission } from './types';

/** Tasks of the largest step that an owner can hold in its memory; gates accept fewer. */
const MAX_STORED_TASKS = 100_000;

const demandSchema = z.object({
  cpuMillis: z.number(),
  memoryMb: z.number(),
  accelerators: z.number(),
});

const policySchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('batch'), isSpeculative: z.boolean() }),
  z.object({ kind: z.literal('gang'), isSameRack: z.boolean() }),
  z.object({
    kind: z.literal('standing'),
    latencyTargetMs: z.number(),
    maxUnavailableCount: z.number(),
  }),
]);

const stepSchema = z.object({
  taskCount: z.int().min(1).max(MAX_STORED_TASKS),
  demand: demandSchema,
  estimateMs: z.number(),
  after: z.array(z.int()),
  hasCheckpoints: z.boolean(),
  policy: policySchema,
  requiredLabel: z.string(),
  dataRack: z.string(),
  maxTasksPerTarget: z.int(),
  image: z.string(),
  isFiller: z.boolean(),
});

const scheduleSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('once') }),
  z.object({
    kind: z.literal('repeated'),
    occurrenceCount: z.int().min(1),
    firstAtMs: z.number(),
    intervalMs: z.number(),
  }),
]);

const queueSchema = z.object({
  id: z.string().transform((text) => text as QueueId),
  host: z.string(),
  pathPrefix: z.string(),
  serviceName: z.string(),
  priority: z.number(),
  attemptLimit: z.number(),
  stretchFactor: z.number(),
  latencyGoalMs: z.number(),
  timeoutMs: z.number(),
  advice: z
    .object({ callMs: z.number(), perTargetMs: z.number(), ticketValidMs: z.number() })
    .optional(),
  isPublic: z.boolean(),
});

const submissionSchema = z.object({
  id: z.string().transform((text) => text as SubmissionId),
  queue: queueSchema.transform((queue) => ({ ...queue, advice: queue.advice })),
  teamId: z.string().transform((text) => text as TeamId),
  acceptedAtMs: z.number(),
  spec: z.object({ payload: z.string(), steps: z.array(stepSchema), schedule: scheduleSchema }),
});

const finishedSubmissionSchema = submissionSchema.extend({
  spec: z.object({ schedule: scheduleSchema }),
});

/**
 * Decodes a stored submission.
 * @param text - the value of the row
 * @returns the submission, or a description of the error
 */
export function decodeSubmission(text: string): E.Either<string, Submission> {
  const parsed = submissionSchema.safeParse(tryParseJson(text));
  return parsed.success ? E.right(parsed.data) : E.left(z.prettifyError(parsed.error));
}

/**
 * Decodes a stored submission that has ended. Its steps make up most of the row and are not needed any more, so
 * they are dropped.
 * @param text - the value of the row
 * @returns the submission without steps, or a description of the error
 */
export function decodeFinishedSubmission(text: string): E.Either<string, Submission> {
  const parsed = finishedSubmissionSchema.safeParse(tryParseJson(text));
  if (!parsed.success) return E.left(z.prettifyError(parsed.error));
  const { spec, ...rest } = parsed.data;
  return E.right({ ...rest, spec: { ...spec, payload: '', steps: [] } });
}

/**
 * Encodes a submission in its stored form.
 * @param submission - the submission
 * @returns the value of the row
 */
export function encodeSubmission(submission: Submission): string {
  return JSON.stringify(submission);
}
