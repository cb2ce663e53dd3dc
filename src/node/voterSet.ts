/**
 * The rule of ownership: the voters that confirm an owner without the store, and the voters that a claim needs, always
 * have one in common, and a voter that has voted for a claim confirms the former owner no more. So an owner ends within
 * its authority of the moment at which a claim against its voter set may first be sent.
 *
 * This is a leader lease with the store as the arbiter of claims; compare section 6.4.2 of Ongaro, Consensus: Bridging
 * Theory and Practice (2014), where the quorums are majorities. Here the owner's quorum is the larger one, so that few
 * nodes suffice for a takeover.
 */

import * as z from 'zod';
import type { Epoch, NodeId } from '../types/ids';
import { tryParseJson } from '../types/json';

/** Of this many voters one need not confirm the owner. */
const VOTERS_PER_ABSENCE = 4;

/** One process that follows the owner. */
export interface Voter {
  readonly nodeId: NodeId;
  /** Start time of its process, in milliseconds since 1970. */
  readonly startedAtMs: number;
}

/** The voters of an epoch as stored by its owner. */
export interface VoterSet {
  /** Version of the row; 0 when there is none. */
  readonly version: number;
  readonly epoch: Epoch;
  readonly voters: readonly Voter[];
}

const voterSetSchema = z.object({
  epoch: z.int(),
  voters: z.array(z.tuple([z.string(), z.number()])),
});

function getToleratedAbsences(voterCount: number): number {
  return Math.floor(voterCount / VOTERS_PER_ABSENCE);
}

/**
 * Gets how many voters have to confirm an owner that does not reach the store.
 * @param voterCount - size of the voter set
 * @returns the number; 0 when the set is empty
 */
export function getLeaseQuorum(voterCount: number): number {
  return voterCount - getToleratedAbsences(voterCount);
}

/**
 * Gets how many voters have to vote for a claim: any of these sets shares a member with each lease quorum.
 * @param voterCount - size of the voter set
 * @returns the number
 */
export function getVoteQuorum(voterCount: number): number {
  return getToleratedAbsences(voterCount) + 1;
}

/**
 * Encodes a voter set for its row.
 * @param epoch - epoch of the owner
 * @param voters - the voters
 * @returns the value of the row
 */
export function encodeVoterSet(epoch: Epoch, voters: readonly Voter[]): string {
  const entries = voters.map(({ nodeId, startedAtMs }) => [nodeId, startedAtMs]);
  return JSON.stringify({ epoch, voters: entries });
}

/**
 * Decodes the row of a voter set.
 * @param row - version and value of the row; undefined when there is none
 * @returns the set; one without voters, of no epoch, when no owner has written a valid one
 */
export function decodeVoterSet(
  row: { readonly version: number; readonly value: string } | undefined,
): VoterSet {
  const parsed = voterSetSchema.safeParse(tryParseJson(row?.value ?? ''));
  const version = row?.version ?? 0;
  if (!parsed.success) return { version, epoch: 0 as Epoch, voters: [] };
  const voters = parsed.data.voters.map(([nodeId, startedAtMs]) => ({
    ...{ nodeId: nodeId as NodeId, startedAtMs },
  }));
  return { version, epoch: parsed.data.epoch as Epoch, voters };
}

/**
 * Checks whether the votes of some nodes suffice for a claim.
 * @param voterSet - the voter set of the owner that would be replaced
 * @param votedIds - nodes that have voted for the claim
 * @returns true when they are a vote quorum
 */
export function isVoteQuorum(voterSet: VoterSet, votedIds: ReadonlySet<NodeId>): boolean {
  const { voters } = voterSet;
  const voteCount = voters.filter(({ nodeId }) => votedIds.has(nodeId)).length;
  return voteCount >= getVoteQuorum(voters.length);
}
