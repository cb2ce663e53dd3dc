/**
 * Encodes the progress of a submission as rows of the store, which limits the size of a row. A progress that does not
 * fit into one is split: the row of the submission then tells how many rows hold its text. All are written in one
 * transaction.
 */

import * as E from 'fp-ts/Either';
import * as z from 'zod';
import { MAX_WRITE_BYTES, MAX_WRITE_BYTES_PER_ROW } from '../owner/constants';
import type { StoredRow } from '../store/types';
import { tryParseJson } from '../types/json';
import { isBystanderReport } from '../work/stepProgress';
import type { StoredStepProgress } from '../work/stepProgress';
import { decodeProgress } from '../work/storedProgress';
import type { StoredProgress } from '../work/storedProgress';

/** Maximum size of the value of a row; the store takes up to 64 KB. */
export const MAX_ROW_BYTES = MAX_WRITE_BYTES_PER_ROW;

/** Maximum size of a progress; the store takes transactions of up to 1 MB, in which values grow by a third. */
export const MAX_PROGRESS_BYTES = MAX_WRITE_BYTES;

/** Tells the row of a split progress without parsing those of all others. */
const HEAD_PREFIX = '{"rowCount":';

const headSchema = z.object({ rowCount: z.int().min(1) });

/** One character is one byte, so that a text can be split anywhere. */
function toAsciiJson(value: unknown): string {
  return JSON.stringify(value).replace(
    /[\u007f-\uffff]/g,
    (character) => `\\u${character.charCodeAt(0).toString(16).padStart(4, '0')}`,
  );
}

function mapSteps(
  progress: StoredProgress,
  map: (step: StoredStepProgress) => StoredStepProgress,
): StoredProgress {
  const steps = Object.entries(progress.steps ?? {}).map(([name, step]) => [name, map(step)]);
  return { ...progress, steps: Object.fromEntries(steps) as StoredProgress['steps'] };
}

/** Leaves out what only saves work: a later owner waits for a silent target whose runs are not all reported. */
function withoutBystanders(step: StoredStepProgress): StoredStepProgress {
  const crashes = Object.entries(step.crashes ?? {})
    .map(
      ([index, reports]) => [index, reports.filter((crash) => !isBystanderReport(crash))] as const,
    )
    .filter(([, reports]) => reports.length > 0);
  return { ...step, crashes: crashes.length > 0 ? Object.fromEntries(crashes) : undefined };
}

/** Leaves checkpoints out of a progress that would need several rows, and more if it would be too large for these. */
function toText(progress: StoredProgress, maxRowBytes: number): string {
  const text = toAsciiJson(progress);
  if (text.length <= maxRowBytes) return text;
  const reduced = mapSteps(progress, (step) => ({ ...step, checkpoints: undefined }));
  const reducedText = toAsciiJson(reduced);
  if (reducedText.length <= MAX_PROGRESS_BYTES) return reducedText;
  return toAsciiJson(mapSteps(reduced, withoutBystanders));
}

/**
 * Gets the key of one of the rows that hold the text of a progress.
 * @param submissionId - the submission
 * @param number - number of the row, from 1 on
 * @returns its key, which is no id of a submission
 */
export function getExtraRowKey(submissionId: string, number: number): string {
  return `${submissionId}.${number}`;
}

/**
 * Encodes a progress.
 * @param progress - the progress
 * @param maxRowBytes - maximum size of the value of a row
 * @returns the value of the row of the submission, and those of the further rows
 */
export function encodeProgress(
  progress: StoredProgress,
  maxRowBytes = MAX_ROW_BYTES,
): { readonly head: string; readonly extra: readonly string[] } {
  const text = toText(progress, maxRowBytes);
  if (text.length <= maxRowBytes) return { head: text, extra: [] };
  const rowCount = Math.ceil(text.length / maxRowBytes);
  const extra = Array.from({ length: rowCount }, (_, index) =>
    text.slice(index * maxRowBytes, (index + 1) * maxRowBytes),
  );
  return { head: JSON.stringify({ rowCount }), extra };
}

/**
 * Decodes a progress.
 * @param head - the row of the submission
 * @param getValue - looks up the value of a row by its key
 * @returns the progress, or a description of the error
 */
export function decodeProgressRows(
  { key, value }: Pick<StoredRow, 'key' | 'value'>,
  getValue: (key: string) => string | undefined,
): E.Either<string, StoredProgress> {
  if (!value.startsWith(HEAD_PREFIX)) return decodeProgress(value);
  const parsed = headSchema.safeParse(tryParseJson(value));
  if (!parsed.success) return E.left(z.prettifyError(parsed.error));
  let text = '';
  for (let number = 1; number <= parsed.data.rowCount; number += 1) {
    const extra = getValue(getExtraRowKey(key, number));
    if (extra === undefined) return E.left(`row ${number} of ${parsed.data.rowCount} is missing`);
    text += extra;
  }
  return decodeProgress(text);
}

/**
 * Counts the further rows of each submission.
 * @param rows - all rows that hold progress
 * @returns the counts, of the submissions that have any
 */
export function countExtraRows(rows: readonly StoredRow[]): Map<string, number> {
  const counts = new Map<string, number>();
  rows.forEach(({ key }) => {
    const [submissionId = '', number] = key.split('.');
    if (number === undefined) return;
    counts.set(submissionId, Math.max(counts.get(submissionId) ?? 0, Number(number)));
  });
  return counts;
}
