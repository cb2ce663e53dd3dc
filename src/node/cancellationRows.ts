/**
 * Rows of the table of cancellations. That of a submission which was known to the gate has its id as the key and no
 * value. One that was stored ahead of the submission names who has cancelled it, as ids are chosen by callers: the key
 * differs from requester to requester, so that none can take the place of another's.
 */

import * as z from 'zod';
import type { CancellationSource, StoredCancellation } from '../owner/types';
import type { StoredText } from '../store/types';
import { assertNever } from '../types/debug';
import { getHash } from '../types/hash';
import type { QueueId, SubmissionId, TeamId } from '../types/ids';
import { tryParseJson } from '../types/json';
import type { RoutedCall } from './router';
import { tryParseSubmissionId } from './router';
import { CANCELS_TABLE, SUBMISSIONS_TABLE } from './tables';

/** Id of the submission, kind of the requester, and hash of its name. */
const EARLY_KEY = /^([0-9a-f]{16})\.(?:t|q)[0-9a-f]{16}$/;

const earlySchema = z.object({
  by: z.enum(['team', 'queue']),
  name: z.string(),
  /** Wall clock of the gate, in Unix milliseconds. */
  atMs: z.number(),
});

/** A decoded row. */
export interface DecodedCancellation {
  readonly submissionId: SubmissionId;
  readonly source: CancellationSource;
  /** Set for a row that was stored ahead of the submission. */
  readonly stored: StoredCancellation | undefined;
}

/** Who cancels a submission that need not exist yet. */
export type Requester = Exclude<CancellationSource, { kind: 'checked' }>;

/**
 * Gets who makes a request: the team of its key, or anyone in a public queue.
 * @param routed - the request
 * @returns the requester
 */
export function getRequester({ queue, teamId }: RoutedCall): Requester {
  return queue.isPublic ? { kind: 'queue', queueId: queue.id } : { kind: 'team', teamId };
}

/**
 * Gets the name of a requester.
 * @param requester - the requester
 * @returns the id of the team or of the queue
 */
export function getRequesterName(requester: Requester): string {
  switch (requester.kind) {
    case 'team':
      return requester.teamId;
    case 'queue':
      return requester.queueId;
    default:
      return assertNever(requester);
  }
}

function toHexDigits(text: string): string {
  return getHash(text).toString(16).padStart(8, '0');
}

/**
 * Encodes a cancellation that is stored ahead of its submission.
 * @param submissionId - the submission
 * @param requester - who cancels it
 * @param wallMs - wall clock in Unix milliseconds
 * @returns key and value of the row
 */
export function encodeEarlyCancellation(
  submissionId: SubmissionId,
  requester: Requester,
  wallMs: number,
): Pick<StoredText, 'key' | 'value'> {
  const name = getRequesterName(requester);
  const hash = [name, `${name}|`].map(toHexDigits).join('');
  const key = `${submissionId}.${requester.kind === 'team' ? 't' : 'q'}${hash}`;
  return { key, value: JSON.stringify({ by: requester.kind, name, atMs: Math.round(wallMs) }) };
}

/**
 * Parses the key of a cancellation.
 * @param key - the key
 * @returns the submission; undefined when the key is not valid
 */
export function tryParseCancellationKey(key: string): SubmissionId | undefined {
  return tryParseSubmissionId(key) ?? (EARLY_KEY.exec(key)?.[1] as SubmissionId | undefined);
}

/**
 * Parses the key of a row that a gate stores.
 * @param table - table of the row
 * @param key - its key
 * @returns the submission; undefined when gates store no such row
 */
export function tryParseRowKey(table: string, key: string): SubmissionId | undefined {
  switch (table) {
    case SUBMISSIONS_TABLE:
      return tryParseSubmissionId(key);
    case CANCELS_TABLE:
      return tryParseCancellationKey(key);
    default:
      return undefined;
  }
}

/**
 * Decodes a row of the table of cancellations.
 * @param row - the row
 * @returns the cancellation; undefined when the row cannot be read
 */
export function decodeCancellation({
  key,
  value,
  part,
}: StoredText): DecodedCancellation | undefined {
  const checkedId = tryParseSubmissionId(key);
  if (checkedId !== undefined)
    return { submissionId: checkedId, source: { kind: 'checked' }, stored: undefined };
  const submissionId = tryParseCancellationKey(key);
  const parsed = earlySchema.safeParse(tryParseJson(value));
  if (submissionId === undefined || !parsed.success) return undefined;
  const { by, name, atMs } = parsed.data;
  const source: CancellationSource =
    by === 'team'
      ? { kind: 'team', teamId: name as TeamId }
      : { kind: 'queue', queueId: name as QueueId };
  return { submissionId, source, stored: { submissionId, part, key, cancelledAtMs: atMs } };
}

/**
 * Decodes rows of the table of cancellations; those that cannot be read are left out.
 * @param rows - the rows
 * @param onUnreadable - called for each row that cannot be read
 * @returns the cancellations
 */
export function decodeCancellations(
  rows: readonly StoredText[],
  onUnreadable: (row: StoredText) => void = () => undefined,
): readonly DecodedCancellation[] {
  return rows.flatMap((row) => {
    const decoded = decodeCancellation(row);
    if (decoded === undefined) onUnreadable(row);
    return decoded ?? [];
  });
}
