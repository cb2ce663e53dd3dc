/** Stored progress rows with versions, as one part of the platform's store keeps them, and its limits. */

import * as E from 'fp-ts/Either';
import { decodeProgressRows, encodeProgress, getExtraRowKey } from '../../src/node/progressRows';
import type { ProgressRow, RecordFailure, WriteFailure } from '../../src/owner/types';
import type { SubmissionId } from '../../src/types/ids';
import type { StoredProgress } from '../../src/work/storedProgress';
import type { VirtualTime } from './virtualTime';
import { STORE_LATENCY_MS } from './worldConstants';

const FIRST_VERSION = 10;

/** Limits of the store, of which the first can be lowered so that histories reach it. */
const MAX_ROW_BYTES = 60_000;
const MAX_TRANSACTION_ENTRIES = 100;
const MAX_TRANSACTION_BYTES = 1_000_000;

/** Values are transferred as base64. */
const BASE64_FACTOR = 4 / 3;

interface StoredRow {
  readonly value: StoredProgress;
  readonly version: number;
}

/** Keeps the progress of submissions. */
export class ProgressStore {
  /** Time from a write to its answer. */
  latencyMs = STORE_LATENCY_MS;

  #version = FIRST_VERSION;

  #rows = new Map<SubmissionId, StoredRow>();

  #maxRowBytes: number;

  /** Size of the largest progress that was written. */
  maxProgressBytes = 0;

  /** Submissions whose progress is rejected. */
  readonly rejectedIds = new Set<SubmissionId>();

  #time: VirtualTime;

  constructor(time: VirtualTime, maxRowBytes = MAX_ROW_BYTES) {
    this.#time = time;
    this.#maxRowBytes = maxRowBytes;
  }

  get(submissionId: SubmissionId): StoredRow | undefined {
    return this.#rows.get(submissionId);
  }

  /** Writes rows unless there is an obstacle, and answers after a while. */
  tryWrite(
    rows: readonly ProgressRow[],
    obstacle: RecordFailure | undefined,
    isAnswerLost: () => boolean,
    onAnswered: (result: E.Either<unknown, number>) => void,
  ): void {
    const written = obstacle === undefined ? this.write(rows) : E.left(obstacle);
    const unavailable = E.left({ kind: 'unavailable', detail: 'response lost' });
    const answer = E.isRight(written) && isAnswerLost() ? unavailable : written;
    this.#time.after(this.latencyMs / 2, () => onAnswered(answer));
  }

  /** Writes all rows or, when a version is not the expected one or a limit is exceeded, none of them. */
  write(rows: readonly ProgressRow[]): E.Either<WriteFailure, number> {
    const versions = rows.map(({ submissionId }) => ({
      submissionId,
      version: this.get(submissionId)?.version ?? 0,
    }));
    const encoded = rows.map(({ submissionId, value }) => ({
      submissionId,
      ...encodeProgress(value, this.#maxRowBytes),
    }));
    if (this.#isRejected(encoded)) return E.left({ kind: 'rejected', detail: 'status 400' });
    const isCurrent = rows.every((row, index) => row.expectedVersion === versions[index]?.version);
    if (!isCurrent) return E.left({ kind: 'conflict', versions });
    this.#version += 1;
    const version = this.#version;
    encoded.forEach(({ submissionId, head, extra }) => {
      const values = new Map(
        extra.map((value, index) => [getExtraRowKey(submissionId, index + 1), value]),
      );
      const decoded = decodeProgressRows({ key: submissionId, value: head }, (key) =>
        values.get(key),
      );
      if (E.isLeft(decoded)) throw new Error(decoded.left);
      this.#rows.set(submissionId, { value: decoded.right, version });
    });
    return E.right(version);
  }

  #isRejected(
    encoded: readonly { submissionId: SubmissionId; head: string; extra: readonly string[] }[],
  ): boolean {
    const values = encoded.flatMap(({ head, extra }) => [head, ...extra]);
    const sizes = values.map((value) => Buffer.byteLength(value));
    const byteCount = sizes.reduce((sum, size) => sum + size, 0);
    this.maxProgressBytes = Math.max(this.maxProgressBytes, ...sizes);
    return (
      encoded.some(({ submissionId }) => this.rejectedIds.has(submissionId)) ||
      sizes.some((size) => size > this.#maxRowBytes) ||
      1 + encoded.length + values.length > MAX_TRANSACTION_ENTRIES ||
      byteCount * BASE64_FACTOR > MAX_TRANSACTION_BYTES
    );
  }
}
