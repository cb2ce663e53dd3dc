/** Admits requests, deduplicates non-idempotent ids at their home scheduler, and runs the request table. */

import type { ConfigHolder } from '../config/configHolder';
import type { LeaseManager } from '../lease/leaseManager';
import { getHomeShard } from '../lease/shards';
import type { TargetPool } from '../placement/targetPool';
import { DeduplicationTable } from '../requests/deduplicationTable';
import { RequestTable } from '../requests/requestTable';
import type {
  HomeGuard,
  OwnedTargetReport,
  RequestEffect,
  RequestOrigin,
  StartGuard,
  TeamOrder,
} from '../requests/types';
import type { RequestStart } from '../rpc/types';
import type { TargetResult } from '../target/types';
import { assertNever } from '../types/debug';
import type { DataCentreId, RequestId, ShardId } from '../types/ids';
import type { NotRunReason, RequestOutcome } from '../types/outcomes';
import type { SchedulerEffect } from './types';

/** Context in which a request arrived. */
export interface Arrival {
  /** Arrival time on this process's monotonic clock. */
  readonly nowMs: number;
  readonly wallMs: number;
  readonly callId: number;
  readonly isDraining: boolean;
}

function toSchedulerEffects(effects: readonly RequestEffect[]): readonly SchedulerEffect[] {
  return effects.map((effect): SchedulerEffect => {
    switch (effect.kind) {
      case 'callTarget':
      case 'count':
        return effect;
      case 'reply':
        return { kind: 'replyCall', callId: effect.callId, value: effect.outcome };
      default:
        return assertNever(effect);
    }
  });
}

/** Preferences in the choice of targets and of waiting requests. */
export interface RequestPreferences {
  readonly nearDataCentreId: DataCentreId;
  readonly teamOrder: TeamOrder;
}

/** Handles the requests sent to one scheduler. */
export class RequestController implements HomeGuard {
  #lease: LeaseManager;

  #config: ConfigHolder;

  #deduplication = new DeduplicationTable();

  #requestTable: RequestTable;

  /**
   * @param lease - determines for which ids this scheduler is the home
   * @param config - checks admission against the active configuration
   * @param pool - budgets of the targets
   * @param guard - authorizes each start
   * @param preferences - preferred data centre and order of the teams
   */
  constructor(
    lease: LeaseManager,
    config: ConfigHolder,
    pool: TargetPool,
    guard: StartGuard,
    preferences: RequestPreferences,
  ) {
    this.#lease = lease;
    this.#config = config;
    this.#requestTable = new RequestTable({
      pool,
      guard,
      admission: config,
      homeGuard: this,
      deduplication: this.#deduplication,
      ...preferences,
    });
  }

  /** Number of requests waiting for a target. */
  get waitingCount(): number {
    return this.#requestTable.waitingCount;
  }

  /** Number of requests without a reply. */
  get openCount(): number {
    return this.#requestTable.openCount;
  }

  /** Statistics of the deduplication table. */
  get deduplicationStatistics() {
    return this.#deduplication.statistics;
  }

  /** {@inheritDoc HomeGuard.getHomeUntilMs} */
  getHomeUntilMs(requestId: RequestId): number {
    return this.#lease.getAuthorityUntilMs(getHomeShard(requestId));
  }

  /**
   * Records that this scheduler has taken over the request ids of a home shard.
   * @param shardId - the home shard
   */
  markTakenOver(shardId: ShardId): void {
    this.#deduplication.markTakenOver(shardId);
  }

  /**
   * Admits a request, or replies immediately if it is a duplicate or refused.
   * @param arrival - context of the arrival
   * @param call - the request
   * @returns the effects to perform
   */
  start(arrival: Arrival, call: RequestStart): readonly SchedulerEffect[] {
    const { nowMs, callId } = arrival;
    const answer = call.isIdempotent ? undefined : this.#tryAnswerWithoutStart(arrival, call);
    if (answer !== undefined) return [{ kind: 'replyCall', callId, value: answer }];
    const refuse = (reason: NotRunReason): readonly SchedulerEffect[] => {
      const outcome: RequestOutcome = { kind: 'refusedNotRun', reason };
      return [{ kind: 'replyCall', callId, value: outcome }];
    };
    if (arrival.isDraining) return refuse('draining');
    if (nowMs >= this.#config.getFreshUntilMs()) return refuse('configStale');
    const queue = this.#config.checkAdmission(call.teamId, call.keyId, call.queueId);
    if (typeof queue === 'string') return refuse(queue);
    return toSchedulerEffects(this.#requestTable.start(nowMs, { callId, call, queue }));
  }

  /** Gets the outcome of a non-idempotent request that must not be started, or undefined if it may start. */
  #tryAnswerWithoutStart(
    { nowMs, wallMs }: Arrival,
    { teamId, requestId }: RequestStart,
  ): RequestOutcome | undefined {
    this.#deduplication.tick(nowMs, wallMs);
    const state = this.#deduplication.getState(teamId, requestId, wallMs);
    const isHome = nowMs < this.getHomeUntilMs(requestId);
    switch (state.kind) {
      case 'running':
        return { kind: 'duplicateRunning' };
      case 'ended':
        return state.outcome;
      case 'unknowable':
        if (!isHome) return { kind: 'refusedNotRun', reason: 'noOwner' };
        return { kind: 'unknown', detail: 'issued before its home took over' };
      case 'fromFuture':
        if (!isHome) return { kind: 'refusedNotRun', reason: 'noOwner' };
        return { kind: 'refusedNotRun', reason: 'badRequestId', detail: 'issued in the future' };
      case 'unseen':
        return isHome ? undefined : { kind: 'refusedNotRun', reason: 'noOwner' };
      default:
        return assertNever(state);
    }
  }

  /**
   * Cancels a request that has not been started.
   * @param nowMs - current time of this process's monotonic clock
   * @param cancelId - id for cancellation, set by the caller
   * @returns the effects to perform
   */
  cancel(nowMs: number, cancelId: string): readonly SchedulerEffect[] {
    return toSchedulerEffects(this.#requestTable.cancel(nowMs, cancelId));
  }

  /**
   * Applies the result of a call to a target.
   * @param nowMs - current time of this process's monotonic clock
   * @param origin - identifies the request and the attempt
   * @param result - result of the call
   * @returns the effects to perform
   */
  applyTargetResult(
    nowMs: number,
    origin: RequestOrigin,
    result: TargetResult,
  ): readonly SchedulerEffect[] {
    return toSchedulerEffects(this.#requestTable.applyTargetResult(nowMs, origin, result));
  }

  /**
   * Applies a target's report.
   * @param nowMs - current time of this process's monotonic clock
   * @param ownedReport - the report with its target and the time of the call
   * @returns the effects to perform
   */
  applyReport(nowMs: number, ownedReport: OwnedTargetReport): readonly SchedulerEffect[] {
    return toSchedulerEffects(this.#requestTable.applyReport(nowMs, ownedReport));
  }

  /**
   * Handles a tick: expires waiting requests, overdue attempts and retained outcomes.
   * @param nowMs - current time of this process's monotonic clock
   * @param wallMs - current time of the wall clock, in Unix milliseconds
   * @returns the effects to perform
   */
  tick(nowMs: number, wallMs: number): readonly SchedulerEffect[] {
    this.#deduplication.tick(nowMs, wallMs);
    return toSchedulerEffects(this.#requestTable.tick(nowMs));
  }
}
