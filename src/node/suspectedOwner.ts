/**
 * What a node knows of an owner that it suspects, and when that suffices for a claim. A claim is safe by the rule in
 * voterSet.ts; everything else here avoids needless takeovers.
 */

import { getHash } from '../types/hash';
import type { NodeId } from '../types/ids';
import type {
  OwnerCandidate,
  OwnerRow,
  PeerAnswers,
  SuspicionReason,
  VotelessClaim,
} from './ownershipTypes';
import { getFormerActsUntilMs, isVotelessClaimDue, isVoteQuorum } from './voterSet';

/** Delay of a claim per rank, so that candidates do not compete; a claim takes about 10 ms. */
const CLAIM_STAGGER_MS = 120;

/**
 * With a slow store, a candidate waits the duration of this many reads for each higher-ranked
 * candidate; a claim takes two.
 */
const READS_PER_RANK = 3;

/** Upper bound of the delay by rank: higher-ranked candidates may all be lost, and the store decides in the end. */
const MAX_RANK_DELAY_MS = 3_000;

/** A node that reaches no peer claims only when the alive row has not changed for this long. */
const ISOLATED_CLAIM_DELAY_MS = 2_500;

/** An owner that renews the alive row is replaced only when no node that was asked has reached it for this long. */
const UNREACHED_OWNER_DELAY_MS = 5_000;

/** After a longer time without a read, the owner may have renewed the alive row meanwhile. */
const MAX_READ_GAP_MS = 1_000;

/** Interval at which peers are asked. */
const ASK_INTERVAL_MS = 400;

/** An unanswered question is repeated after this time at the latest. */
const ASK_TIMEOUT_MS = 2_000;

/** What a candidate does next; a claim without votes depends on the alive row, see voterSet.ts. */
export type SuspicionStep = 'claim' | 'claimWithoutVotes' | 'wait' | 'ask';

/** A series of reads without a gap that have found the same version of the alive row. */
interface Observation {
  readonly sinceMs: number;
  /** The store's clock at the first read; undefined where the store does not tell it. */
  readonly sinceStoreMs: number | undefined;
  readonly lastReadAtMs: number;
}

/** The suspicion of one owner. */
export class SuspectedOwner {
  readonly enteredAtMs: number;

  readonly suspicion: SuspicionReason;

  /** Successor named by an owner that resigns. */
  successorId: NodeId | undefined;

  /** Duration of the last read of the owner row. */
  readDurationMs = 0;

  /** The owner has promised to rely on the store alone until it has stored another voter set. */
  #isYielding = false;

  #isReleased = false;

  #aliveVersion: number | undefined;

  #aliveChangedAtMs: number;

  #observation: Observation | undefined;

  /** The owner has renewed the alive row since it was suspected. */
  #hasRenewed = false;

  #answers: PeerAnswers | undefined;

  #votedIds = new Set<NodeId>();

  #votedVersion: number | undefined;

  #askedAtMs: number | undefined;

  #isAsking = false;

  #probedAtMs = -Infinity;

  /**
   * @param suspicion - why the owner is suspected
   * @param nowMs - current time
   */
  constructor(suspicion: SuspicionReason, nowMs: number) {
    this.suspicion = suspicion;
    this.enteredAtMs = nowMs;
    this.#aliveChangedAtMs = nowMs;
  }

  /** Whether the owner has renewed the alive row since it was suspected. */
  get hasRenewed(): boolean {
    return this.#hasRenewed;
  }

  /** Nodes that have voted against the stored voter set. */
  get votedIds(): ReadonlySet<NodeId> {
    return this.#votedIds;
  }

  /**
   * Records what was read of the owner.
   * @param row - the rows of the owner
   * @param nowMs - current time
   */
  onRead({ aliveVersion, storeMs }: OwnerRow, nowMs: number): void {
    const isSame = this.#aliveVersion === aliveVersion;
    const observed = this.#observation;
    const isGapless = observed !== undefined && nowMs <= observed.lastReadAtMs + MAX_READ_GAP_MS;
    this.#observation =
      isSame && isGapless
        ? { ...observed, lastReadAtMs: nowMs }
        : { sinceMs: nowMs, sinceStoreMs: storeMs, lastReadAtMs: nowMs };
    if (isSame) return;
    this.#hasRenewed = this.#aliveVersion !== undefined;
    this.#aliveVersion = aliveVersion;
    this.#aliveChangedAtMs = nowMs;
  }

  /**
   * Gets what a claim without votes depends on.
   * @param row - the rows of the owner
   * @returns the condition of the claim, and what later owners have to know of it
   */
  getVotelessClaim({ aliveVersion }: OwnerRow): VotelessClaim {
    const sinceMs = this.#observation?.sinceStoreMs;
    const formerActsUntilMs = sinceMs === undefined ? undefined : getFormerActsUntilMs(sinceMs);
    return { aliveVersion, formerActsUntilMs };
  }

  /** Whether the owner has promised to rely on the store alone for good, so that a claim depends on no voter set. */
  get isReleased(): boolean {
    return this.#isReleased;
  }

  /** Records that promise. */
  onReleased(): void {
    this.#isReleased = true;
  }

  /**
   * Records the answers of peers.
   * @param answers - the answers
   */
  onAnswered(answers: PeerAnswers): void {
    this.#isAsking = false;
    this.#answers = answers;
    if (answers.isOwnerYielding === true) this.#isYielding = true;
    const { votersVersion, votedIds = [] } = answers;
    if (votersVersion === undefined) return;
    if (votersVersion !== this.#votedVersion) this.#votedIds.clear();
    this.#votedVersion = votersVersion;
    votedIds.forEach((nodeId) => this.#votedIds.add(nodeId));
  }

  /** Peers have to be asked anew, as no node could be asked before. */
  forgetAnswers(): void {
    this.#answers = undefined;
    this.#askedAtMs = undefined;
  }

  /**
   * Checks whether peers should be asked now; the caller asks when it returns true.
   * @param nowMs - current time
   * @returns true at most once per interval
   */
  takeAsk(nowMs: number): boolean {
    const askedAtMs = this.#askedAtMs ?? -Infinity;
    const pauseMs = this.#isAsking ? ASK_TIMEOUT_MS : ASK_INTERVAL_MS;
    if (nowMs < askedAtMs + pauseMs) return false;
    this.#askedAtMs = nowMs;
    this.#isAsking = true;
    return true;
  }

  /**
   * Checks whether the owner should be called on a new connection now, as only the usual one may be lost; the caller
   * does so when it returns true. The store is not needed for it.
   * @param nowMs - current time
   * @returns true at most once per interval
   */
  takeProbe(nowMs: number): boolean {
    const isSuspectedByChannel = this.suspicion === 'linkLost' || this.suspicion === 'silent';
    if (!isSuspectedByChannel || nowMs < this.#probedAtMs + ASK_INTERVAL_MS) return false;
    this.#probedAtMs = nowMs;
    return true;
  }

  /**
   * Checks whether a claim is safe and no other candidate should be preferred.
   * @param row - the owner
   * @param self - this node and all candidates; these are undefined until the list of nodes has been read
   * @param nowMs - current time
   * @returns the kind of claim to send, or what is missing
   */
  getNextStep(
    row: OwnerRow,
    self: { readonly nodeId: NodeId; readonly candidates: readonly OwnerCandidate[] | undefined },
    nowMs: number,
  ): SuspicionStep {
    const { nodeId, candidates } = self;
    const isSafe = this.#isClaimSafe(row, nowMs);
    // If another node has claimed meanwhile, the row's version makes the claim of the named successor fail.
    if (this.successorId === nodeId && row.version >= 0 && isSafe) return 'claim';
    // Every other candidate has to read the row again first, as another node may have claimed.
    if (this.#aliveVersion === undefined) return 'wait';
    if (nowMs < this.enteredAtMs + this.#getRankDelayMs(row, nodeId, candidates ?? []))
      return 'wait';
    if (this.suspicion === 'none' || row.nodeId === nodeId) return 'claim';
    const isCertain = this.suspicion === 'resigned' || this.suspicion === 'withoutStore';
    const isNeeded = isCertain || this.#isReplacementNeeded(row, nodeId, candidates, nowMs);
    if (isSafe) return isNeeded ? 'claim' : 'ask';
    // An owner that renews its row, if slowly, may be lost to this node alone.
    if (this.#hasRenewed && !isNeeded) return 'ask';
    return this.#mayClaimWithoutVotes(row, nowMs) ? 'claimWithoutVotes' : 'ask';
  }

  /** Whether so many voters seem lost that no vote quorum can be had; those that can be reached are asked before. */
  #mayClaimWithoutVotes({ voterSet }: OwnerRow, nowMs: number): boolean {
    const observation = this.#observation;
    if (voterSet === undefined || observation === undefined || this.#answers === undefined)
      return false;
    if (nowMs > observation.lastReadAtMs + MAX_READ_GAP_MS) return false;
    return isVotelessClaimDue(nowMs - observation.sinceMs);
  }

  /** Whether the former owner ends within its authority of a claim that is sent now; see voterSet.ts. */
  #isClaimSafe({ voterSet, epoch }: OwnerRow, nowMs: number): boolean {
    if (this.#isReleased) return true;
    if (voterSet === undefined) return false;
    if (this.#isYielding) return true;
    // An owner without a voter set of its own relies on the store alone.
    if (voterSet.epoch !== epoch) return true;
    if (voterSet.version === this.#votedVersion && isVoteQuorum(voterSet, this.#votedIds))
      return true;
    return nowMs >= getFormerActsUntilMs(this.#aliveChangedAtMs);
  }

  /** Whether the owner seems lost to all nodes, not only to this one. */
  #isReplacementNeeded(
    row: OwnerRow,
    selfId: NodeId,
    candidates: readonly OwnerCandidate[] | undefined,
    nowMs: number,
  ): boolean {
    const answers = this.#answers;
    if (answers === undefined) return false;
    const isSilentLong = nowMs > this.#aliveChangedAtMs + ISOLATED_CLAIM_DELAY_MS;
    if (this.#hasRenewed && !isSilentLong) {
      return answers.answeredCount > 0 && nowMs >= this.enteredAtMs + UNREACHED_OWNER_DELAY_MS;
    }
    // A node without peers has nobody to ask, but one that does not know them yet may be wrong about the owner.
    const isPeer = ({ nodeId }: OwnerCandidate) => nodeId !== selfId && nodeId !== row.nodeId;
    const hasNoPeers = candidates !== undefined && !candidates.some(isPeer);
    return answers.answeredCount > 0 || hasNoPeers || isSilentLong;
  }

  /**
   * Delay by the position of this node among the candidates. A successor named by the owner comes first, then nodes
   * with more processor capacity; among equals the order is pseudo-random and differs from epoch to epoch.
   */
  #getRankDelayMs(row: OwnerRow, selfId: NodeId, candidates: readonly OwnerCandidate[]): number {
    if (row.nodeId === selfId) return 0;
    const successorOffset = this.successorId === undefined ? 0 : 1;
    const ownMillis = candidates.find(({ nodeId }) => nodeId === selfId)?.processorMillis ?? 0;
    const getScore = (nodeId: NodeId) => getHash(`${row.epoch}|${nodeId}`);
    const ownScore = getScore(selfId);
    const higherRanked = candidates.filter(({ nodeId, processorMillis }) => {
      if (nodeId === selfId || nodeId === row.nodeId) return false;
      if (processorMillis !== ownMillis) return processorMillis > ownMillis;
      return getScore(nodeId) > ownScore;
    });
    const perRankMs = Math.max(CLAIM_STAGGER_MS, this.readDurationMs * READS_PER_RANK);
    return Math.min(MAX_RANK_DELAY_MS, (successorOffset + higherRanked.length) * perRankMs);
  }
}
