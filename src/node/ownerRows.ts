/** Reads and writes the owner row, the alive row and the voter set. */

import * as E from 'fp-ts/Either';
import * as z from 'zod';
import type { Committed, RowStore, StoredRow, StoreFailure, StoreOutcome } from '../store/types';
import type { Epoch, NodeId } from '../types/ids';
import { tryParseJson } from '../types/json';
import type { VoterWrite } from './leaseQuorum';
import type { OwnerRow, OwnerRowFailure, VotelessClaim } from './ownershipTypes';
import {
  ALIVE_KEY,
  FORMER_OWNERS_KEY,
  OWNER_KEY,
  OWNER_PART,
  OWNERSHIP_TABLE,
  VOTERS_KEY,
} from './tables';
import { decodeVoterSet } from './voterSet';

/** Timeout of each call; a slow store takes 0.6 s for a transaction. */
const TIMEOUT_MS = 1_500;

/** Page size of a read; the table holds only a few rows. */
const ROW_LIMIT = 10;

const ownerSchema = z.object({
  nodeId: z.string(),
  address: z.string(),
  epoch: z.int(),
  /** Not written by earlier builds, which do not keep the record of silent targets. */
  silenceSinceEpoch: z.int().optional(),
});

const formerOwnersSchema = z.object({ actUntilMs: z.number().optional() });

function toFailure(failure: StoreFailure): OwnerRowFailure {
  if (failure.kind === 'conflict') return { kind: 'conflict' };
  return { kind: 'unavailable', detail: 'detail' in failure ? failure.detail : failure.kind };
}

function toAddress(key: string) {
  return { table: OWNERSHIP_TABLE, part: OWNER_PART, key };
}

/**
 * Reads the owner row with the version of the alive row and the voter set.
 * @param store - the store
 * @returns the owner, undefined when there has never been one, or the failure
 */
export async function readOwnerRow(
  store: RowStore,
): Promise<E.Either<OwnerRowFailure, OwnerRow | undefined>> {
  const query = { table: OWNERSHIP_TABLE, part: OWNER_PART, fromKey: '', limit: ROW_LIMIT };
  const page = await store.readRange(query, TIMEOUT_MS);
  if (E.isLeft(page)) return E.left(toFailure(page.left));
  const row = page.right.rows.find(({ key }) => key === OWNER_KEY);
  if (row === undefined) return E.right(undefined);
  const parsed = ownerSchema.safeParse(tryParseJson(row.value));
  if (!parsed.success) return E.left({ kind: 'unavailable', detail: 'malformed owner row' });
  const alive = page.right.rows.find(({ key }) => key === ALIVE_KEY);
  return E.right({
    nodeId: parsed.data.nodeId as NodeId,
    address: parsed.data.address,
    epoch: parsed.data.epoch as Epoch,
    version: row.version,
    aliveVersion: alive?.version ?? 0,
    silenceSinceEpoch: parsed.data.silenceSinceEpoch as Epoch | undefined,
    voterSet: decodeVoterSet(page.right.rows.find(({ key }) => key === VOTERS_KEY)),
    storeMs: page.right.storeMs,
  });
}

/**
 * Gets until when former owners may act on targets that have not answered a later one.
 * @param rows - the rows of the ownership table
 * @returns a time of the store's clock; infinite when a claim without votes could not tell it; undefined when there
 *   has been no such claim
 */
export function decodeFormerActsUntilMs(rows: readonly StoredRow[]): number | undefined {
  const row = rows.find(({ key }) => key === FORMER_OWNERS_KEY);
  if (row === undefined) return undefined;
  const parsed = formerOwnersSchema.safeParse(tryParseJson(row.value));
  return (parsed.success ? parsed.data.actUntilMs : undefined) ?? Number.POSITIVE_INFINITY;
}

/**
 * Gets the epoch since which all owners have kept the record of silent targets.
 * @param rows - the rows of the ownership table
 * @returns the epoch, or undefined when the owner row does not tell
 */
export function decodeSilenceSinceEpoch(rows: readonly StoredRow[]): Epoch | undefined {
  const row = rows.find(({ key }) => key === OWNER_KEY);
  const parsed = ownerSchema.safeParse(tryParseJson(row?.value ?? ''));
  return parsed.success ? (parsed.data.silenceSinceEpoch as Epoch | undefined) : undefined;
}

/**
 * Replaces the owner row with a compare-and-set.
 * @param store - the store
 * @param owner - id, address and epoch of the new owner, and since when silent targets are recorded
 * @param expectedVersion - version of the row to replace
 * @param votersVersion - version of the voter set on which the claim depends; undefined when it depends on none
 * @param voteless - set for a claim without votes
 * @returns the row's new version, or the failure
 */
export async function claimOwnerRow(
  store: RowStore,
  owner: Pick<OwnerRow, 'nodeId' | 'address' | 'epoch' | 'silenceSinceEpoch'>,
  expectedVersion: number,
  votersVersion?: number,
  voteless?: VotelessClaim,
): Promise<E.Either<OwnerRowFailure, number>> {
  const votersConditions =
    votersVersion === undefined ? [] : [{ ...toAddress(VOTERS_KEY), version: votersVersion }];
  const aliveConditions =
    voteless === undefined ? [] : [{ ...toAddress(ALIVE_KEY), version: voteless.aliveVersion }];
  const formerOwners =
    voteless === undefined
      ? []
      : [
          {
            ...toAddress(FORMER_OWNERS_KEY),
            value: JSON.stringify({ actUntilMs: voteless.formerActsUntilMs }),
          },
        ];
  const outcome = await store.transact(
    {
      conditions: [
        { ...toAddress(OWNER_KEY), version: expectedVersion },
        ...votersConditions,
        ...aliveConditions,
      ],
      puts: [{ ...toAddress(OWNER_KEY), value: JSON.stringify(owner) }, ...formerOwners],
      removals: [],
    },
    TIMEOUT_MS,
  );
  return E.isRight(outcome) ? E.right(outcome.right.version) : E.left(toFailure(outcome.left));
}

/**
 * Rewrites the alive row, on condition that the owner row is unchanged. This shows other nodes that
 * the owner is alive, and shows the owner whether it still owns the fleet.
 * @param store - the store
 * @param rowVersion - version of the owner row
 * @returns the new version, or the failure; a conflict means that another node has become the owner
 */
export async function renewAliveRow(
  store: RowStore,
  rowVersion: number,
): Promise<E.Either<OwnerRowFailure, number>> {
  const outcome = await store.transact(
    {
      conditions: [{ ...toAddress(OWNER_KEY), version: rowVersion }],
      puts: [{ ...toAddress(ALIVE_KEY), value: '' }],
      removals: [],
    },
    TIMEOUT_MS,
  );
  return E.isRight(outcome) ? E.right(outcome.right.version) : E.left(toFailure(outcome.left));
}

/**
 * Replaces the voter set, on condition that the owner row and the set are unchanged.
 * @param store - the store
 * @param rowVersion - version of the owner row
 * @param write - the new set and the version of the row that it replaces
 * @returns the outcome
 */
export function writeVoterSet(
  store: RowStore,
  rowVersion: number,
  write: Pick<VoterWrite, 'expectedVersion' | 'value'>,
): Promise<StoreOutcome<Committed>> {
  const { expectedVersion, value } = write;
  return store.transact(
    {
      conditions: [
        { ...toAddress(OWNER_KEY), version: rowVersion },
        { ...toAddress(VOTERS_KEY), version: expectedVersion },
      ],
      puts: [{ ...toAddress(VOTERS_KEY), value }],
      removals: [],
    },
    TIMEOUT_MS,
  );
}
