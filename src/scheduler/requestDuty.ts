/** The scheduler's part in requests: admission, the home of non-idempotent ids, and the table. */

import type { ConfigHolder } from '../config/configHolder';
import type { LeaseManager } from '../lease/leaseManager';
import { getHomeShard } from '../lease/shards';
import type { TargetPool } from '../placement/targetPool';
import { OutcomeMemory } from '../requests/outcomeMemory';
import { RequestTable } from '../requests/requestTable';
import type {
  HomeGuard,
  OwnedReport,
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

/** When a request arrived. */
export interface Arrival {
  /** On this process's clock. */
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

/** Which targets and which requests go first. */
export interface RequestChoice {
  readonly nearDataCentreId: DataCentreId;
  readonly teamOrder: TeamOrder;
}

/** Requests of one scheduler. */
export class RequestDuty implements HomeGuard {
  #lease: LeaseManager;

  #config: ConfigHolder;

  #memory = new OutcomeMemory();

  #table: RequestTable;

  /**
   * @param lease - says for which ids this scheduler is the home
   * @param config - what may be admitted
   * @param pool - budgets of the targets
   * @param guard - the check at the moment of each start
   * @param choice - which targets and which requests go first
   */
  constructor(
    lease: LeaseManager,
    config: ConfigHolder,
    pool: TargetPool,
    guard: StartGuard,
    choice: RequestChoice,
  ) {
    this.#lease = lease;
    this.#config = config;
    this.#table = new RequestTable({
      pool,
      guard,
      admission: config,
      homes: this,
      memory: this.#memory,
      ...choice,
    });
  }

  /** Requests that wait for a target. */
  get waitingCount(): number {
    return this.#table.waitingCount;
  }

  /** Requests that are not answered yet. */
  get openCount(): number {
    return this.#table.openCount;
  }

  /** What the outcome memory holds. */
  get memoryUse() {
    return this.#memory.use;
  }

  /** {@inheritDoc HomeGuard.getHomeUntilMs} */
  getHomeUntilMs(requestId: RequestId): number {
    return this.#lease.getAuthorityUntilMs(getHomeShard(requestId));
  }

  /**
   * Records that this scheduler has become the home of a shard's ids.
   * @param shardId - the home shard
   */
  markTakenOver(shardId: ShardId): void {
    this.#memory.markTakenOver(shardId);
  }

  /**
   * Admits a request, or answers it at once.
   * @param arrival - when it came
   * @param call - the request
   * @returns what to do
   */
  start(arrival: Arrival, call: RequestStart): readonly SchedulerEffect[] {
    const { nowMs, callId } = arrival;
    const answer = call.isIdempotent ? undefined : this.#tryAnswerKnown(arrival, call);
    if (answer !== undefined) return [{ kind: 'replyCall', callId, value: answer }];
    const refuse = (reason: NotRunReason): readonly SchedulerEffect[] => {
      const outcome: RequestOutcome = { kind: 'refusedNotRun', reason };
      return [{ kind: 'replyCall', callId, value: outcome }];
    };
    if (arrival.isDraining) return refuse('draining');
    if (nowMs >= this.#config.getFreshUntilMs()) return refuse('configStale');
    const queue = this.#config.checkAdmission(call.teamId, call.keyId, call.queueId);
    if (typeof queue === 'string') return refuse(queue);
    return toSchedulerEffects(this.#table.start(nowMs, { callId, call, queue }));
  }

  /** Everything that can be said of a non-idempotent id without starting it. */
  #tryAnswerKnown(
    { nowMs, wallMs }: Arrival,
    { teamId, requestId }: RequestStart,
  ): RequestOutcome | undefined {
    this.#memory.tick(nowMs, wallMs);
    const state = this.#memory.getState(teamId, requestId, wallMs);
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
   * Cancels a request that has not started.
   * @param nowMs - this process's clock
   * @param cancelId - which
   * @returns what to do
   */
  cancel(nowMs: number, cancelId: string): readonly SchedulerEffect[] {
    return toSchedulerEffects(this.#table.cancel(nowMs, cancelId));
  }

  /**
   * Takes in what came of a call to a target.
   * @param nowMs - this process's clock
   * @param origin - which attempt of which request
   * @param result - what came
   * @returns what to do
   */
  applyTargetResult(
    nowMs: number,
    origin: RequestOrigin,
    result: TargetResult,
  ): readonly SchedulerEffect[] {
    return toSchedulerEffects(this.#table.applyTargetResult(nowMs, origin, result));
  }

  /**
   * Takes in a target's report.
   * @param nowMs - this process's clock
   * @param sentMs - when the report was asked for
   * @param targetId - which target
   * @param report - what it runs
   * @returns what to do
   */
  applyReport(nowMs: number, owned: OwnedReport): readonly SchedulerEffect[] {
    return toSchedulerEffects(this.#table.applyReport(nowMs, owned));
  }

  /**
   * Applies the passing of time.
   * @param nowMs - this process's clock
   * @param wallMs - the wall clock
   * @returns what to do
   */
  tick(nowMs: number, wallMs: number): readonly SchedulerEffect[] {
    this.#memory.tick(nowMs, wallMs);
    return toSchedulerEffects(this.#table.tick(nowMs));
  }
}
