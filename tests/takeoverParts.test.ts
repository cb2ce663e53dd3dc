/** A takeover while a part of the store does not answer. */

import * as E from 'fp-ts/Either';
import type { StartCall } from '../src/node/ports';
import { getSubmissionPart, SUBMISSION_PARTS, SUBMISSIONS_TABLE } from '../src/node/tables';
import type { RowStore, StoredRow } from '../src/store/types';
import { encodeSubmission } from '../src/work/submissionSchema';
import {
  createAnsweringTargets,
  createAuthorizedHost,
  createPending,
  createPorts,
  delay,
} from './support/ownerHostPorts';
import { createSubmission, toSubmissionId } from './support/ownerWorld';

/** By this time after a takeover the former rate of starts is to be back. */
const MAX_TAKEOVER_MS = 2_000;

const DEMAND = { cpuMillis: 1, memoryMb: 1, accelerators: 0 };

/** Reads of the given part of the given table end without an answer. */
function silence(readRange: RowStore['readRange'], silentPart: string): RowStore['readRange'] {
  return async (query, timeoutMs) => {
    if (query.table !== SUBMISSIONS_TABLE || query.part !== silentPart)
      return readRange(query, timeoutMs);
    await delay(timeoutMs);
    return E.left({ kind: 'unknown', detail: 'no answer' });
  };
}

test('a takeover starts the submissions that it can read while a part of the store is silent', async () => {
  const id = toSubmissionId(1);
  const part = getSubmissionPart(id);
  const silentPart = SUBMISSION_PARTS.find((other) => other !== part) ?? '';
  const value = encodeSubmission(createSubmission(1, [{ demand: DEMAND }]));
  const row: StoredRow = { table: SUBMISSIONS_TABLE, part, key: id, version: 2, value };
  const starts: StartCall[] = [];
  const ports = createPorts([row], createPending, createAnsweringTargets(starts));
  const readRange = silence(ports.store.readRange, silentPart);
  const host = createAuthorizedHost({ ...ports, store: { ...ports.store, readRange } });
  const started = host.start();
  await delay(MAX_TAKEOVER_MS);
  host.stop();
  await started;
  expect(starts).toHaveLength(1);
});
