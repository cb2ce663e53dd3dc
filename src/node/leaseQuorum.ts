/**
 * Keeps the voter set of an owner and computes until when the voters confirm it without the store. The rule is stated
 * in voterSet.ts.
 */

import * as E from 'fp-ts/Either';
import type { Committed, StoreFailure, StoreOutcome } from '../store/types';
import { assertNever } from '../types/debug';
import type { Epoch, NodeId } from '../types/ids';
import { decodeVoterSet, encodeVoterSet, getLeaseQuorum } from './voterSet';
import type { Voter } from './voterSet';
import { VOTERS_KEY } from './tables';

/** Minimum interval between writes, so that nodes that connect one after another cost one write. */
const WRITE_INTERVAL_MS = 1_000;

/** The same while the present set serves its purpose or the store is slow, as the owner has other rows to write. */
const CALM_WRITE_INTERVAL_MS = 5_000;

/** A node that has not been heard for this long is no voter any more. */
const VOTER_RETENTION_MS = 30_000;

/** The same for a node that was being stopped; one that is restarted is back by then. */
const LEAVING_RETENTION_MS = 5_000;

/**
 * Nodes that are up have connected to a new owner by then. The list of nodes may name lost ones for longer, so that the
 * connected ones are not a majority of it.
 */
const SETTLE_MS = 6_000;

/** A voter whose last confirmation is older does not confirm the owner at present. */
const RECENT_MS = 1_500;

/** After the owner has yielded to a claimant, the claim has this much time before a new voter set is written. */
const YIELD_MS = 3_000;

/** What an owner knows of a node that follows it. */
export interface LeaseHolder extends Voter {
  /**
   * Reading of the owner's clock in the last answer that the node has acknowledged; undefined before the first
   * one, and for nodes of earlier builds.
   */
  readonly acknowledgedMs?: number | undefined;
  /** Version of the last voter set against which the node has voted. */
  readonly votedVersion: number;
  readonly isLeaving: boolean;
}

/** A write of the voter set. */
export interface VoterWrite {
  readonly expectedVersion: number;
  readonly value: string;
  readonly voters: readonly Voter[];
  readonly sentAtMs: number;
}

interface KnownNode {
  holder: LeaseHolder;
  heardAtMs: number;
}

function isSameSet(left: readonly Voter[], right: readonly Voter[]): boolean {
  if (left.length !== right.length) return false;
  const startedAtMsById = new Map(left.map(({ nodeId, startedAtMs }) => [nodeId, startedAtMs]));
  return right.every(({ nodeId, startedAtMs }) => startedAtMsById.get(nodeId) === startedAtMs);
}

/** The voters of one epoch. */
export class LeaseQuorum {
  #epoch: Epoch;

  #nodes = new Map<NodeId, KnownNode>();

  #committed: { readonly version: number; readonly voters: readonly Voter[] } | undefined;

  /** Sets of writes that may have taken effect, or may still do so. */
  #uncertain: (readonly Voter[])[] = [];

  #expectedVersion: number;

  #isWriting = false;

  #lastWriteAtMs: number;

  #settledAtMs: number;

  #yieldedAtMs: number | undefined;

  #isResigned = false;

  /**
   * @param epoch - the epoch
   * @param rowVersion - version of the row with the voter set of a former owner; 0 when it is not known
   * @param nowMs - current time
   */
  constructor(epoch: Epoch, rowVersion: number, nowMs: number) {
    this.#epoch = epoch;
    this.#expectedVersion = rowVersion;
    this.#lastWriteAtMs = nowMs - WRITE_INTERVAL_MS / 2;
    this.#settledAtMs = nowMs + SETTLE_MS;
  }

  /** Number of nodes in the stored voter set; undefined while none is stored. */
  get voterCount(): number | undefined {
    return this.#committed?.voters.length;
  }

  /**
   * Records a heartbeat.
   * @param holder - what the node reports
   * @param nowMs - current time
   */
  note(holder: LeaseHolder, nowMs: number): void {
    if (holder.acknowledgedMs === undefined || holder.acknowledgedMs > nowMs) return;
    this.#nodes.set(holder.nodeId, { holder, heardAtMs: nowMs });
  }

  /**
   * Creates the next write if the voter set has to change.
   * @param nowMs - current time
   * @param memberCount - number of nodes in the list, with the owner; 0 while it has not been read
   * @param isStoreSlow - whether the store answers late
   * @returns undefined when nothing has to be written now
   */
  tryCreateWrite(nowMs: number, memberCount: number, isStoreSlow = false): VoterWrite | undefined {
    if (this.#isWriting || this.#isResigned) return undefined;
    if (nowMs < this.#lastWriteAtMs + WRITE_INTERVAL_MS) return undefined;
    const isCalm = isStoreSlow || !this.#isChangeUrgent(nowMs);
    if (isCalm && nowMs < this.#lastWriteAtMs + CALM_WRITE_INTERVAL_MS) return undefined;
    if (this.#yieldedAtMs !== undefined && nowMs < this.#yieldedAtMs + YIELD_MS) return undefined;
    const voters = this.#getDesiredVoters(nowMs);
    // If the few nodes of a small set were lost, a claim without their votes would have to follow.
    const isMajority = memberCount > 0 && (voters.length + 1) * 2 > memberCount;
    const isSettled = memberCount > 0 && nowMs >= this.#settledAtMs;
    if (!(isMajority || isSettled) || this.#isUpToDate(voters)) return undefined;
    this.#isWriting = true;
    this.#lastWriteAtMs = nowMs;
    this.#uncertain = [...this.#uncertain, voters];
    const value = encodeVoterSet(this.#epoch, voters);
    return { expectedVersion: this.#expectedVersion, value, voters, sentAtMs: nowMs };
  }

  /**
   * Applies the outcome of a write.
   * @param write - the write
   * @param outcome - its outcome; a conflict reports the stored row
   */
  onWritten(write: VoterWrite, outcome: StoreOutcome<Committed>): void {
    this.#isWriting = false;
    if (E.isRight(outcome)) this.#onCommitted(write, outcome.right.version);
    else this.#onFailed(write, outcome.left);
  }

  /**
   * Gets since when the voters confirm the owner.
   * @param nowMs - current time
   * @returns time of the oldest confirmation that is needed; undefined while the store alone confirms the owner
   */
  tryGetConfirmedMs(nowMs: number): number | undefined {
    const committed = this.#committed;
    if (committed === undefined || this.#isResigned || this.#yieldedAtMs !== undefined)
      return undefined;
    const sets = [committed.voters, ...this.#uncertain];
    const times = sets.map((voters) => this.#getQuorumMs(voters, committed.version, nowMs));
    const oldestMs = Math.min(...times);
    return Number.isFinite(oldestMs) ? oldestMs : undefined;
  }

  /**
   * Promises to rely on the store alone until a voter set is stored that is written later.
   * @param nowMs - current time
   */
  yield(nowMs: number): void {
    this.#yieldedAtMs = nowMs;
  }

  /** Promises to rely on the store alone for good, so that the successor's claim depends on no voter set. */
  resign(): void {
    this.#isResigned = true;
  }

  /** Whether the stored set does not confirm the owner at present. */
  #isChangeUrgent(nowMs: number): boolean {
    const committed = this.#committed;
    if (committed === undefined || this.#yieldedAtMs !== undefined) return true;
    const { voters, version } = committed;
    const recent = voters.filter(
      (voter) => this.#getConfirmedMs(voter, version) >= nowMs - RECENT_MS,
    );
    return recent.length < getLeaseQuorum(voters.length);
  }

  #getDesiredVoters(nowMs: number): readonly Voter[] {
    this.#nodes.forEach(({ holder, heardAtMs }, nodeId) => {
      const retentionMs = holder.isLeaving ? LEAVING_RETENTION_MS : VOTER_RETENTION_MS;
      if (nowMs >= heardAtMs + retentionMs) this.#nodes.delete(nodeId);
    });
    return [...this.#nodes.values()].map(({ holder: { nodeId, startedAtMs } }) => ({
      ...{ nodeId, startedAtMs },
    }));
  }

  #isUpToDate(voters: readonly Voter[]): boolean {
    const committed = this.#committed;
    if (committed === undefined || this.#yieldedAtMs !== undefined) return false;
    if (this.#uncertain.length > 0 || !isSameSet(committed.voters, voters)) return false;
    return voters.every(({ nodeId }) => {
      const votedVersion = this.#nodes.get(nodeId)?.holder.votedVersion ?? 0;
      return votedVersion < committed.version;
    });
  }

  #onCommitted({ voters, sentAtMs }: VoterWrite, version: number): void {
    this.#expectedVersion = version;
    this.#committed = { version, voters };
    // Each write depends on the row's version, so none of the earlier ones can take effect any more.
    this.#uncertain = [];
    if (this.#yieldedAtMs !== undefined && this.#yieldedAtMs < sentAtMs)
      this.#yieldedAtMs = undefined;
  }

  #onFailed(write: VoterWrite, failure: StoreFailure): void {
    switch (failure.kind) {
      case 'conflict': {
        const row = failure.rows.find(({ key }) => key === VOTERS_KEY);
        if (row === undefined) return;
        if (row.value === write.value) this.#onCommitted(write, row.version);
        else this.#expectedVersion = decodeVoterSet(row).version;
        return;
      }
      case 'notDone':
      case 'rejected':
      case 'busy':
      case 'historyLost':
        this.#uncertain = this.#uncertain.filter((set) => set !== write.voters);
        return;
      case 'unknown': {
        const { voters } = write;
        const isOther = (set: readonly Voter[]) => set === voters || !isSameSet(set, voters);
        this.#uncertain = this.#uncertain.filter(isOther);
        return;
      }
      default:
        assertNever(failure);
    }
  }

  /** Time of the oldest confirmation of the quorum that has confirmed last. */
  #getQuorumMs(voters: readonly Voter[], version: number, nowMs: number): number {
    const quorum = getLeaseQuorum(voters.length);
    if (quorum === 0) return nowMs;
    const times = voters.map((voter) => this.#getConfirmedMs(voter, version));
    times.sort((left, right) => right - left);
    return times[quorum - 1] ?? -Infinity;
  }

  #getConfirmedMs({ nodeId, startedAtMs }: Voter, version: number): number {
    const holder = this.#nodes.get(nodeId)?.holder;
    if (holder === undefined || holder.startedAtMs !== startedAtMs) return -Infinity;
    if (holder.votedVersion >= version) return -Infinity;
    return holder.acknowledgedMs ?? -Infinity;
  }
}
