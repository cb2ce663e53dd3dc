/** Remembers the non-idempotent requests of the home shards of one scheduler, so that none runs twice. */

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

/** What is known of a non-idempotent id. */
export type IdState =
  /** It has never run and may start now. */
  | { readonly kind: 'unseen' }
  | { readonly kind: 'running' }
  | { readonly kind: 'ended'; readonly outcome: RequestOutcome }
  /** An earlier home may have run it, or its outcome was forgotten. */
  | { readonly kind: 'unknowable' }
  /** It has never run, and its issue time is not plausible yet. */
  | { readonly kind: 'fromFuture' };

/** Bounds of the memory. */
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
 * The home's record of ids. Per home shard there is a floor: ids issued at or before it never start.
 * A takeover sets it past every id that an earlier home can have started, and forgetting an outcome
 * raises it past the forgotten id. Forgetting is therefore safe under any clock.
 */
export class OutcomeMemory {
  #limits: MemoryLimits;

  #floorsMs = new Map<ShardId, number>();

  /** Shards whose floor waits for the next reading of the wall clock. */
  #unsetFloors = new Set<ShardId>();

  #running = new Set<RequestKey>();

  /** In the order in which they ended. */
  #ended = new Map<RequestKey, EndedRequest>();

  /** Ended requests with a body, oldest first. */
  #withBody = new Set<RequestKey>();

  #bodiesBytes = 0;

  /**
   * @param limits - bounds of the memory
   */
  constructor(limits: MemoryLimits = DEFAULT_LIMITS) {
    this.#limits = limits;
  }

  /** Outcomes kept, and the bytes of their bodies. */
  get use() {
    return { keptOutcomes: this.#ended.size, keptBodiesBytes: this.#bodiesBytes };
  }

  /**
   * Records that this scheduler has become the home of a shard's ids.
   * @param shardId - the home shard
   */
  markTakenOver(shardId: ShardId): void {
    this.#unsetFloors.add(shardId);
  }

  /**
   * Takes in the passing of time.
   * @param nowMs - this process's clock
   * @param wallMs - the wall clock
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
   * Looks an id up.
   * @param teamId - whose request
   * @param requestId - its id
   * @param wallMs - the wall clock
   * @returns what is known of it
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
   * Records that an id is about to start.
   * @param teamId - whose request
   * @param requestId - an id in state `unseen`
   */
  reserve(teamId: TeamId, requestId: RequestId): void {
    const key = getRequestKey(teamId, requestId);
    assert(!this.#running.has(key) && !this.#ended.has(key), 'a known id was reserved again');
    this.#running.add(key);
  }

  /**
   * Records what became of a reserved id. One that certainly has not run may be tried again.
   * @param nowMs - this process's clock
   * @param teamId - whose request
   * @param requestId - the id
   * @param outcome - what its caller is told
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
