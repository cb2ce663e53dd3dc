/**
 * Deduplicates the non-idempotent requests of one scheduler's home shards, so that none runs twice.
 */

import { getHomeShard } from '../lease/shards';
import { assert } from '../types/debug';
import type { RequestId, ShardId, TeamId } from '../types/ids';
import type { RequestOutcome } from '../types/outcomes';
import {
  MAX_FUTURE_SKEW_MS,
  MAX_TOTAL_BODY_BYTES,
  MAX_RETAINED_BODY_BYTES,
  MAX_RETAINED_OUTCOMES,
  OUTCOME_RETENTION_MS,
  TAKEOVER_MARGIN_MS,
} from './constants';
import { getRequestKey, tryGetIssueTimeMs } from './requestId';
import type { RequestKey } from './requestId';

/** Deduplication state of a non-idempotent request id. */
export type RequestIdState =
  /** The request has never run and may start now. */
  | { readonly kind: 'unseen' }
  | { readonly kind: 'running' }
  | { readonly kind: 'ended'; readonly outcome: RequestOutcome }
  /** A previous home scheduler may have run the request, or its outcome has been evicted. */
  | { readonly kind: 'unknowable' }
  /** The request has never run, but its issue time is too far in the future to be accepted. */
  | { readonly kind: 'fromFuture' };

/** Limits on retained outcomes. */
export interface DeduplicationLimits {
  readonly maxOutcomes: number;
  readonly maxBodyBytes: number;
  readonly maxBodiesBytes: number;
}

interface CompletedRequest {
  readonly requestId: RequestId;
  readonly endedAtMs: number;
  outcome: RequestOutcome;
}

const DEFAULT_LIMITS: DeduplicationLimits = {
  maxOutcomes: MAX_RETAINED_OUTCOMES,
  maxBodyBytes: MAX_RETAINED_BODY_BYTES,
  maxBodiesBytes: MAX_TOTAL_BODY_BYTES,
};

function getBodyBytes(outcome: RequestOutcome): number {
  return outcome.kind === 'answered' ? outcome.bodyBase64.length : 0;
}

function stripBody(outcome: RequestOutcome): RequestOutcome {
  return outcome.kind === 'answered' ? { kind: 'alreadyRan', status: outcome.status } : outcome;
}

/**
 * Request ids known to their home scheduler. Each home shard has a watermark: ids issued at or
 * before it never start. A takeover sets the watermark past every id that a previous home scheduler
 * can have started, and evicting an outcome raises it past the evicted id. Eviction is therefore
 * safe whatever the clocks show.
 */
export class DeduplicationTable {
  #limits: DeduplicationLimits;

  #watermarksMs = new Map<ShardId, number>();

  /** Shards whose watermark is set at the next tick, when the wall-clock time is known. */
  #shardsAwaitingWatermark = new Set<ShardId>();

  #running = new Set<RequestKey>();

  /** Completed requests, in order of completion. */
  #completed = new Map<RequestKey, CompletedRequest>();

  /** Completed requests whose response body is retained, oldest first. */
  #keysWithBody = new Set<RequestKey>();

  #totalBodyBytes = 0;

  /**
   * @param limits - limits on retained outcomes
   */
  constructor(limits: DeduplicationLimits = DEFAULT_LIMITS) {
    this.#limits = limits;
  }

  /** Number of retained outcomes and total size of their bodies. */
  get statistics() {
    return { keptOutcomes: this.#completed.size, keptBodiesBytes: this.#totalBodyBytes };
  }

  /**
   * Records that this scheduler has become the home of a shard.
   * @param shardId - the home shard
   */
  markTakenOver(shardId: ShardId): void {
    this.#shardsAwaitingWatermark.add(shardId);
  }

  /**
   * Sets pending watermarks and evicts expired outcomes.
   * @param nowMs - current time of this process's monotonic clock
   * @param wallMs - current wall-clock time
   */
  tick(nowMs: number, wallMs: number): void {
    this.#shardsAwaitingWatermark.forEach((shardId) =>
      this.#raiseWatermark(shardId, wallMs + TAKEOVER_MARGIN_MS),
    );
    this.#shardsAwaitingWatermark.clear();
    for (const [key, ended] of this.#completed) {
      if (nowMs < ended.endedAtMs + OUTCOME_RETENTION_MS) break;
      this.#evict(key, ended);
    }
  }

  /**
   * Looks up a request id.
   * @param teamId - team of the request
   * @param requestId - id of the request
   * @param wallMs - current wall-clock time
   * @returns the deduplication state of the id
   */
  getState(teamId: TeamId, requestId: RequestId, wallMs: number): RequestIdState {
    const key = getRequestKey(teamId, requestId);
    if (this.#running.has(key)) return { kind: 'running' };
    const completed = this.#completed.get(key);
    if (completed !== undefined) return { kind: 'ended', outcome: completed.outcome };
    const issuedMs = tryGetIssueTimeMs(requestId) ?? Number.NEGATIVE_INFINITY;
    if (issuedMs <= this.#getWatermarkMs(getHomeShard(requestId))) return { kind: 'unknowable' };
    return issuedMs > wallMs + MAX_FUTURE_SKEW_MS ? { kind: 'fromFuture' } : { kind: 'unseen' };
  }

  /**
   * Reserves the id of a request that is about to start.
   * @param teamId - team of the request
   * @param requestId - an id in state `unseen`
   */
  reserve(teamId: TeamId, requestId: RequestId): void {
    const key = getRequestKey(teamId, requestId);
    assert(
      !this.#running.has(key) && !this.#completed.has(key),
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
    const isBodyRetained = getBodyBytes(outcome) <= this.#limits.maxBodyBytes;
    const retained = isBodyRetained ? outcome : stripBody(outcome);
    this.#completed.set(key, { requestId, endedAtMs: nowMs, outcome: retained });
    if (retained.kind === 'answered') this.#keysWithBody.add(key);
    this.#totalBodyBytes += getBodyBytes(retained);
    this.#enforceLimits();
  }

  #enforceLimits(): void {
    for (const key of this.#keysWithBody) {
      if (this.#totalBodyBytes <= this.#limits.maxBodiesBytes) break;
      this.#evictBody(key);
    }
    for (const [key, ended] of this.#completed) {
      if (this.#completed.size <= this.#limits.maxOutcomes) break;
      this.#evict(key, ended);
    }
  }

  #evictBody(key: RequestKey): void {
    const completed = this.#completed.get(key);
    if (completed === undefined || !this.#keysWithBody.delete(key)) return;
    this.#totalBodyBytes -= getBodyBytes(completed.outcome);
    completed.outcome = stripBody(completed.outcome);
  }

  #evict(key: RequestKey, { requestId }: CompletedRequest): void {
    this.#evictBody(key);
    this.#completed.delete(key);
    const issuedMs = tryGetIssueTimeMs(requestId) ?? Number.POSITIVE_INFINITY;
    this.#raiseWatermark(getHomeShard(requestId), issuedMs);
  }

  #getWatermarkMs(shardId: ShardId): number {
    if (this.#shardsAwaitingWatermark.has(shardId)) return Number.POSITIVE_INFINITY;
    return this.#watermarksMs.get(shardId) ?? Number.POSITIVE_INFINITY;
  }

  #raiseWatermark(shardId: ShardId, watermarkMs: number): void {
    const currentMs = this.#watermarksMs.get(shardId) ?? Number.NEGATIVE_INFINITY;
    this.#watermarksMs.set(shardId, Math.max(currentMs, watermarkMs));
  }
}
