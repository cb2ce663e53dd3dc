/** Decodes the advice that an owner hands over to its successor. */

import * as z from 'zod';
import { MAX_HANDED_ADVICE } from '../owner/constants';
import type { HandedAdvice } from '../owner/types';
import type { StepKey, TargetId, Ticket } from '../types/ids';

const incarnationSchema = z.object({
  targetId: z.string().transform((text) => text as TargetId),
  incarnationStartMs: z.int(),
});

const adviceSchema = z.array(
  z.object({
    stepKey: z.string().transform((text) => text as StepKey),
    tickets: z
      .array(
        incarnationSchema.extend({
          ticket: z.string().transform((text) => text as Ticket),
          remainingMs: z.number().min(0),
        }),
      )
      .max(MAX_HANDED_ADVICE),
    refused: z.array(incarnationSchema).max(MAX_HANDED_ADVICE),
  }),
);

/**
 * Decodes handed advice.
 * @param value - as received; undefined from nodes of earlier builds
 * @returns the advice, or none when it is not as expected
 */
export function decodeHandedAdvice(value: unknown): readonly HandedAdvice[] {
  const parsed = adviceSchema.safeParse(value);
  return parsed.success ? parsed.data : [];
}
