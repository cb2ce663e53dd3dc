/** Reads what former owners have learnt. The takeover does not wait for it. */

import * as E from 'fp-ts/Either';
import type { LearntRow } from '../owner/types';
import { readPartSnapshot } from '../store/tableFollower';
import type { RowStore } from '../store/types';
import { DURATIONS_TABLE, OWNER_PART } from './tables';

/** Timeout for reading a page, and the pause after a read that has failed. */
const READ_TIMEOUT_MS = 2_000;
const RETRY_DELAY_MS = 500;

/** After this many reads the owner learns anew; a store that is away for longer has lost more than that. */
const MAX_READS = 5;

/**
 * Reads the rows, also while the store does not answer for some seconds.
 * @param store - the store
 * @param isStopped - whether nobody waits for the rows any longer
 * @param readsLeft - number of reads
 * @returns the rows, or why they have not been read
 */
export async function readLearntRows(
  store: Pick<RowStore, 'readRange'>,
  isStopped: () => boolean,
  readsLeft = MAX_READS,
): Promise<E.Either<string, readonly LearntRow[]>> {
  const read = await readPartSnapshot(store, DURATIONS_TABLE, OWNER_PART, READ_TIMEOUT_MS);
  if (E.isRight(read)) return E.right(read.right.rows.map(({ key, value }) => ({ key, value })));
  if (readsLeft <= 1 || isStopped()) return read;
  await new Promise((resolve) => {
    setTimeout(resolve, RETRY_DELAY_MS);
  });
  return readLearntRows(store, isStopped, readsLeft - 1);
}
