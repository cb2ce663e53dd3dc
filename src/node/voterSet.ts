/**
 * The rule of ownership: a former owner acts on no target that has answered its successor, and on any other one at the
 * latest until its authority has ended after a claim with the votes of a vote quorum, or until its storeless limit
 * after a claim without these; and while the store has not confirmed an owner for as long as a claim without votes
 * waits, it starts no submission that it has learnt of since, and takes no target's silence since then for the end of
 * a lease.
 *
 * The first part is what a successor assumes (FormerOwners, OwnerState.setFormerAuthorityEnd), the second what an owner
 * itself keeps to (OwnerState.provenMs, OwnerHost). The voters that confirm an owner without the store, and the voters
 * that a claim needs, always have one in common, and a voter that has voted for a claim confirms the former owner no
 * more. A claim without votes is for the loss of so many voters that no vote quorum is left. To nodes that reach the
 * store, that looks like a cut with the owner and its voters on the other side; its harm is limited by the targets,
 * which refuse lower epochs.
 *
 * This is a leader lease with the store as the arbiter of claims; compare section 6.4.2 of Ongaro, Consensus: Bridging
 * Theory and Practice (2014), where the quorums are majorities. Here the owner's quorum is the larger one, so that few
 * nodes suffice for a takeover.
 */

import * as z from 'zod';
import { STORELESS_END_DELAY_MS, VOTELESS_CLAIM_DELAY_MS } from '../owner/constants';
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

/**
 * Gets until when an owner may act that a claim without votes replaces.
 * @param confirmedMs - when the store had confirmed it for the last time, or any later time
 * @returns a time of the same clock
 */
export function getFormerActsUntilMs(confirmedMs: number): number {
  return confirmedMs + STORELESS_END_DELAY_MS;
}

/**
 * Checks whether a claim without votes may be sent: the store has answered the claimant all the while, and has not
 * confirmed the owner. The claim also requires that the alive row is as it was observed.
 * @param observedForMs - for how long the claimant has read the same version of the alive row without a gap
 * @returns true once the owner takes nothing for certain any more that a successor could change
 */
export function isVotelessClaimDue(observedForMs: number): boolean {
  return observedForMs >= VOTELESS_CLAIM_DELAY_MS;
}

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
