/**
 * Deduplicates the non-idempotent requests of one scheduler's home shards, so that none runs twice.
 */

import { getHomeShard } from '../lease/shards';
import { assert } from '../types/debug';
import type { RequestId, ShardId, TeamId } from '../types/ids';
import type { RequestOutcome } from '../types/outcomes';
import {
  FUTURE_ALLOWANCE_MS,
  MAX_KEPT_BODIES_BYTES,
  MAX_KEPT_BODY_BYTES,
  MAX_KEPT_OUTCOMES,
  OUTCOME_KEPT_MS,
  TAKEOVER_BARRIER_MS,
} from './constants';
import { getRequestKey, tryGetIssuedMs } from './requestId';
import type { RequestKey } from './requestId';

/** Deduplication state of a non-idempotent request id. */
export type IdState =
  /** The request has never run and may start now. */
  | { readonly kind: 'unseen' }
  | { readonly kind: 'running' }
  | { readonly kind: 'ended'; readonly outcome: RequestOutcome }
  /** A previous home scheduler may have run the request, or its outcome has been evicted. */
  | { readonly kind: 'unknowable' }
  /** The request has never run, but its issue time is too far in the future to be accepted. */
  | { readonly kind: 'fromFuture' };

/** Limits on retained outcomes. */
export interface MemoryLimits {
  readonly maxOutcomes: number;
  readonly maxBodyBytes: number;
  readonly maxBodiesBytes: number;
}

interface EndedRequest {
  readonly requestId: RequestId;
  readonly endedMs: number;
  outcome: RequestOutcome;
}

const DEFAULT_LIMITS: MemoryLimits = {
  maxOutcomes: MAX_KEPT_OUTCOMES,
  maxBodyBytes: MAX_KEPT_BODY_BYTES,
  maxBodiesBytes: MAX_KEPT_BODIES_BYTES,
};

function getBodyBytes(outcome: RequestOutcome): number {
  return outcome.kind === 'answered' ? outcome.bodyBase64.length : 0;
}

function dropBody(outcome: RequestOutcome): RequestOutcome {
  return outcome.kind === 'answered' ? { kind: 'alreadyRan', status: outcome.status } : outcome;
}

/**
 * Request ids known to their home scheduler. Each home shard has a watermark: ids issued at or
 * before it never start. A takeover sets the watermark past every id that a previous home scheduler
 * can have started, and evicting an outcome raises it past the evicted id. Eviction is therefore
 * safe whatever the clocks show.
 */
export class OutcomeMemory {
  #limits: MemoryLimits;

  #floorsMs = new Map<ShardId, number>();

  /** Shards whose watermark is set at the next tick, when the wall-clock time is known. */
  #unsetFloors = new Set<ShardId>();

  #running = new Set<RequestKey>();

  /** Completed requests, in order of completion. */
  #ended = new Map<RequestKey, EndedRequest>();

  /** Completed requests whose response body is retained, oldest first. */
  #withBody = new Set<RequestKey>();

  #bodiesBytes = 0;

  /**
   * @param limits - limits on retained outcomes
   */
  constructor(limits: MemoryLimits = DEFAULT_LIMITS) {
    this.#limits = limits;
  }

  /** Number of retained outcomes and total size of their bodies. */
  get use() {
    return { keptOutcomes: this.#ended.size, keptBodiesBytes: this.#bodiesBytes };
  }

  /**
   * Records that this scheduler has become the home of a shard.
   * @param shardId - the home shard
   */
  markTakenOver(shardId: ShardId): void {
    this.#unsetFloors.add(shardId);
  }

  /**
   * Sets pending watermarks and evicts expired outcomes.
   * @param nowMs - current time of this process's monotonic clock
   * @param wallMs - current wall-clock time
   */
  tick(nowMs: number, wallMs: number): void {
    this.#unsetFloors.forEach((shardId) => this.#raiseFloor(shardId, wallMs + TAKEOVER_BARRIER_MS));
    this.#unsetFloors.clear();
    for (const [key, ended] of this.#ended) {
      if (nowMs < ended.endedMs + OUTCOME_KEPT_MS) break;
      this.#forget(key, ended);
    }
  }

  /**
   * Looks up a request id.
   * @param teamId - team of the request
   * @param requestId - id of the request
   * @param wallMs - current wall-clock time
   * @returns the deduplication state of the id
   */
  getState(teamId: TeamId, requestId: RequestId, wallMs: number): IdState {
    const key = getRequestKey(teamId, requestId);
    if (this.#running.has(key)) return { kind: 'running' };
    const ended = this.#ended.get(key);
    if (ended !== undefined) return { kind: 'ended', outcome: ended.outcome };
    const issuedMs = tryGetIssuedMs(requestId) ?? Number.NEGATIVE_INFINITY;
    if (issuedMs <= this.#getFloorMs(getHomeShard(requestId))) return { kind: 'unknowable' };
    return issuedMs > wallMs + FUTURE_ALLOWANCE_MS ? { kind: 'fromFuture' } : { kind: 'unseen' };
  }

  /**
   * Reserves the id of a request that is about to start.
   * @param teamId - team of the request
   * @param requestId - an id in state `unseen`
   */
  reserve(teamId: TeamId, requestId: RequestId): void {
    const key = getRequestKey(teamId, requestId);
    assert(
      !this.#running.has(key) && !this.#ended.has(key),
      'request id is already reserved or completed',
    );
    this.#running.add(key);
  }

  /**
   * Records the outcome of a reserved id. An id that was refused without running may be submitted
   * again.
   * @param nowMs - current time of this process's monotonic clock
   * @param teamId - team of the request
   * @param requestId - the reserved id
   * @param outcome - the outcome reported to the caller
   */
  record(nowMs: number, teamId: TeamId, requestId: RequestId, outcome: RequestOutcome): void {
    const key = getRequestKey(teamId, requestId);
    this.#running.delete(key);
    if (outcome.kind === 'refusedNotRun') return;
    const isKept = getBodyBytes(outcome) <= this.#limits.maxBodyBytes;
    const kept = isKept ? outcome : dropBody(outcome);
    this.#ended.set(key, { requestId, endedMs: nowMs, outcome: kept });
    if (kept.kind === 'answered') this.#withBody.add(key);
    this.#bodiesBytes += getBodyBytes(kept);
    this.#enforceLimits();
  }

  #enforceLimits(): void {
    for (const key of this.#withBody) {
      if (this.#bodiesBytes <= this.#limits.maxBodiesBytes) break;
      this.#dropBodyOf(key);
    }
    for (const [key, ended] of this.#ended) {
      if (this.#ended.size <= this.#limits.maxOutcomes) break;
      this.#forget(key, ended);
    }
  }

  #dropBodyOf(key: RequestKey): void {
    const ended = this.#ended.get(key);
    if (ended === undefined || !this.#withBody.delete(key)) return;
    this.#bodiesBytes -= getBodyBytes(ended.outcome);
    ended.outcome = dropBody(ended.outcome);
  }

  #forget(key: RequestKey, { requestId }: EndedRequest): void {
    this.#dropBodyOf(key);
    this.#ended.delete(key);
    const issuedMs = tryGetIssuedMs(requestId) ?? Number.POSITIVE_INFINITY;
    this.#raiseFloor(getHomeShard(requestId), issuedMs);
  }

  #getFloorMs(shardId: ShardId): number {
    if (this.#unsetFloors.has(shardId)) return Number.POSITIVE_INFINITY;
    return this.#floorsMs.get(shardId) ?? Number.POSITIVE_INFINITY;
  }

  #raiseFloor(shardId: ShardId, floorMs: number): void {
    const knownMs = this.#floorsMs.get(shardId) ?? Number.NEGATIVE_INFINITY;
    this.#floorsMs.set(shardId, Math.max(knownMs, floorMs));
  }
}
