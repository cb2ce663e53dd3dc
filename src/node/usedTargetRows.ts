/** Decodes the stored record of the targets that owners use. */

import * as z from 'zod';
import { isRecordComplete } from '../owner/targetRecord';
import type {
  RecordedTarget,
  RecordVersion,
  StoreClockReading,
  StoredTargetRecord,
} from '../owner/types';
import type { StoredRow } from '../store/types';
import { toEpoch } from '../types/ids';
import type { DataCentreId, Epoch, TargetId } from '../types/ids';
import { tryParseJson } from '../types/json';
import { decodeSilenceSinceEpoch } from './ownerRows';
import { RECORDED_KEY } from './tables';

const silenceSchema = z.object({
  epoch: z.int(),
  incarnationStartMs: z.int(),
  sinceMs: z.number(),
  endsAtMs: z.number(),
});

const recordedTargetSchema = z.object({
  address: z.string(),
  serviceNames: z.array(z.string()).min(1),
  labels: z.array(z.string()),
  dataCentreId: z.string(),
  incarnationStartMs: z.int(),
  // Writers of earlier versions did not tell.
  mayHoldLongLease: z.boolean().default(true),
  silence: silenceSchema.optional().catch(undefined),
});

const recordedSchema = z.object({ epoch: z.int() });

/**
 * Encodes a row of the record; the target's id is the key.
 * @param target - the target
 * @returns the value of the row
 */
export function encodeRecordedTarget(target: RecordedTarget): string {
  const { id, ...value } = target;
  return JSON.stringify(value);
}

/**
 * Encodes the row that declares the record complete.
 * @param epoch - the epoch of the owner that declares it
 * @returns the value of the row
 */
export function encodeRecordedEpoch(epoch: Epoch): string {
  return JSON.stringify({ epoch });
}

function tryDecodeEpoch(row: StoredRow | undefined): Epoch | undefined {
  const parsed = recordedSchema.safeParse(tryParseJson(row?.value ?? ''));
  return parsed.success ? (parsed.data.epoch as Epoch) : undefined;
}

/**
 * Decodes the record.
 * @param epoch - the epoch of the owner that has read it
 * @param rows - the rows of the targets
 * @param ownershipRows - the rows of the ownership table: one declares the record complete, and that of the owner tells
 *   since when silent targets are recorded
 * @param readAt - the store's clock when the rows were read, if it is known
 * @returns the record; it is not complete when a row cannot be decoded
 */
export function decodeTargetRecord(
  epoch: Epoch,
  rows: readonly StoredRow[],
  ownershipRows: readonly StoredRow[],
  readAt: StoreClockReading | undefined = undefined,
): StoredTargetRecord {
  const sinceEpoch = decodeSilenceSinceEpoch(ownershipRows) ?? epoch;
  const targets: { readonly target: RecordedTarget; readonly version: number }[] = [];
  const malformed: RecordVersion[] = [];
  rows.forEach(({ key, value, version }) => {
    const id = key as TargetId;
    const parsed = recordedTargetSchema.safeParse(tryParseJson(value));
    if (!parsed.success) {
      malformed.push({ targetId: id, version });
      return;
    }
    const { dataCentreId, silence, ...decoded } = parsed.data;
    // An owner in between that did not keep these may have granted longer leases.
    const isKept = silence !== undefined && silence.epoch >= sinceEpoch;
    const target = {
      ...{ ...decoded, id, dataCentreId: dataCentreId as DataCentreId },
      ...(isKept ? { silence: { ...silence, epoch: toEpoch(silence.epoch) } } : {}),
    };
    targets.push({ target, version });
  });
  const completeEpoch = tryDecodeEpoch(ownershipRows.find(({ key }) => key === RECORDED_KEY));
  const isComplete = malformed.length === 0 && isRecordComplete(epoch, completeEpoch);
  return { isComplete, targets, malformed, readAt };
}
