/**
 * Escrow of the team limits over the target shards (O'Neil, "The Escrow Transactional Method",
 * 1986): each shard holds a part of a team's limit, and its owner starts work within that part
 * without coordination.
 */

import type { Team } from '../config/types';
import type { AllotmentSource } from '../placement/types';
import type { JsonValue, PlatformResult, Row, RowCheck, RowWrite } from '../platform/types';
import { assertNever } from '../types/debug';
import { toId } from '../types/ids';
import type { OperationId, ShardId, TeamId } from '../types/ids';
import { Allotment } from './allotment';
import { createEscrowPlan } from './plan';
import type { EscrowPlan } from './plan';
import { Shortages } from './shortages';
import type { EscrowContext, EscrowEffect, EscrowOrigin, PoolRow } from './types';
import { unitsToSlots } from './units';

/** Key prefix of all allotment rows. */
export const ALLOTMENT_PREFIX = 'allotment/';

/** Key of the row with the units that no shard holds. */
export const POOL_KEY = `${ALLOTMENT_PREFIX}pool`;

/** Minimum time between transactions, regardless of the number of teams and shards. */
const WRITE_INTERVAL_MS = 1_000;

/** Time between reads of the pool while there is no shortage. */
const IDLE_READ_INTERVAL_MS = 2_000;

/** Time after which usage above an allotment is stopped, unless the pool supplies units before. */
export const SURPLUS_GRACE_MS = 2_500;

const EMPTY_POOL: PoolRow = { free: {}, wanted: {} };

interface PoolSnapshot {
  readonly row: PoolRow;
  readonly rowVersion: number;
}

interface PendingCall {
  readonly operation: number;
  /** Allotments that the call reads or writes, as held when it was sent. */
  readonly allotments: ReadonlyMap<ShardId, Allotment>;
}

/**
 * Gets the key of the allotment row of a shard.
 * @param shardId - the shard
 * @returns the key
 */
export function getAllotmentKey(shardId: ShardId): string {
  return `${ALLOTMENT_PREFIX}${shardId}`;
}

function isPoolRow(value: unknown): value is PoolRow {
  return typeof value === 'object' && value !== null && 'free' in value && 'wanted' in value;
}

function toJson(value: object): JsonValue {
  return JSON.parse(JSON.stringify(value)) as JsonValue;
}

/** The escrow state machine of one scheduler. */
export class EscrowLedger implements AllotmentSource {
  #teams = new Map<TeamId, Team>();

  #allotments = new Map<ShardId, Allotment>();

  #shortages = new Shortages();

  #surplusSinceMsByKey = new Map<string, number>();

  #pendingCall: PendingCall | undefined;

  #lastOperation = 0;

  #nextReadAtMs = 0;

  #nextWriteAtMs = 0;

  /** Shards whose allotments this ledger manages. */
  get shardIds(): readonly ShardId[] {
    return [...this.#allotments.keys()];
  }

  /**
   * Applies the teams of a configuration. Lowering a limit reduces all allotments immediately and
   * proportionally, without a write.
   * @param teams - teams with their limits
   */
  updateTeams(teams: readonly Team[]): void {
    this.#teams = new Map(teams.map((team) => [team.teamId, team]));
  }

  /**
   * Starts managing the allotment of an acquired shard; it is empty until its row is read.
   * @param shardId - the acquired shard
   */
  addShard(shardId: ShardId): void {
    this.#allotments.set(shardId, new Allotment());
    this.#nextReadAtMs = 0;
  }

  /**
   * Stops managing the allotment of a lost shard; its row remains for the next owner.
   * @param shardId - the lost shard
   */
  removeShard(shardId: ShardId): void {
    this.#allotments.delete(shardId);
  }

  /** {@inheritDoc LimitSource.getAllottedSlots} */
  getAllottedSlots(shardId: ShardId, teamId: TeamId): number {
    const limitSlots = this.#teams.get(teamId)?.limitSlots ?? 0;
    return unitsToSlots(this.#allotments.get(shardId)?.getUsableUnits(teamId) ?? 0, limitSlots);
  }

  /** {@inheritDoc LimitSource.noteShortage} */
  recordShortage(shardId: ShardId, teamId: TeamId, slots: number): void {
    if (this.#allotments.has(shardId)) this.#shortages.note(shardId, teamId, slots);
  }

  /**
   * Reads the rows if this is due and reports usage above an allotment.
   * @param nowMs - current time of this process's monotonic clock
   * @param context - usage and lease rows
   * @returns the effects to perform
   */
  tick(nowMs: number, context: EscrowContext): readonly EscrowEffect[] {
    this.#shortages.check(nowMs);
    const surplus = this.#findSurplus(nowMs, context);
    const isTransferNeeded = !this.#shortages.isEmpty || this.#surplusSinceMsByKey.size > 0;
    const dueMs = isTransferNeeded
      ? Math.min(this.#nextReadAtMs, this.#nextWriteAtMs)
      : this.#nextReadAtMs;
    if (this.#pendingCall !== undefined || this.#allotments.size === 0 || nowMs < dueMs)
      return surplus;
    return [...surplus, this.#createReadCall(nowMs)];
  }

  /**
   * Applies the result of a platform call.
   * @param nowMs - current time of this process's monotonic clock
   * @param origin - identifies the call
   * @param result - its result
   * @param context - usage and lease rows
   * @returns the effects to perform
   */
  applyResult(
    nowMs: number,
    origin: EscrowOrigin,
    result: PlatformResult,
    context: EscrowContext,
  ): readonly EscrowEffect[] {
    const pendingCall = this.#pendingCall;
    if (pendingCall === undefined || pendingCall.operation !== origin.operation) return [];
    this.#pendingCall = undefined;
    switch (origin.kind) {
      case 'escrowRead':
        return result.kind === 'rows'
          ? this.#applyReadResult(nowMs, pendingCall, result.rows, context)
          : [];
      case 'escrowWrite':
        this.#applyWriteResult(pendingCall, result);
        return [];
      default:
        return assertNever(origin);
    }
  }

  /**
   * Returns the state for diagnostics.
   * @returns the state as plain data
   */
  dump() {
    return {
      isCallPending: this.#pendingCall !== undefined,
      nextReadAtMs: this.#nextReadAtMs,
      nextWriteAtMs: this.#nextWriteAtMs,
      shortages: this.#shortages.dump(),
      allotments: [...this.#allotments].map(([shardId, allotment]) => ({
        shardId,
        ...allotment.dump(),
      })),
    };
  }

  #beginCall(allotments: ReadonlyMap<ShardId, Allotment>): number {
    this.#lastOperation += 1;
    this.#pendingCall = { operation: this.#lastOperation, allotments };
    return this.#lastOperation;
  }

  #createReadCall(nowMs: number): EscrowEffect {
    this.#nextReadAtMs = nowMs + IDLE_READ_INTERVAL_MS;
    // A loaded row that is not in doubt is known, since no other process writes it.
    const uncertain = [...this.#allotments].filter(
      ([, known]) => !known.isLoaded || known.isInDoubt,
    );
    const operation = this.#beginCall(new Map(uncertain));
    const keys = [POOL_KEY, ...uncertain.map(([shardId]) => getAllotmentKey(shardId))];
    return {
      kind: 'callPlatform',
      origin: { kind: 'escrowRead', operation },
      call: { kind: 'read', keys },
    };
  }

  #applyReadResult(
    nowMs: number,
    pendingCall: PendingCall,
    rows: readonly Row[],
    context: EscrowContext,
  ): readonly EscrowEffect[] {
    const [poolRow, ...allotmentRows] = rows;
    if (poolRow === undefined) return [];
    // A shard that was lost and acquired again meanwhile has a new allotment object, which this
    // stale result does not reach.
    [...pendingCall.allotments.values()].forEach((allotment, index) => {
      const row = allotmentRows[index];
      if (row !== undefined) allotment.load(row);
    });
    if (nowMs < this.#nextWriteAtMs) return [];
    const row = isPoolRow(poolRow.value) ? poolRow.value : EMPTY_POOL;
    const plan = createEscrowPlan({
      teams: [...this.#teams.values()],
      pool: row,
      allotments: this.#allotments,
      context,
      getShortageSlots: (shardId, teamId) => this.#shortages.get(shardId, teamId),
    });
    if (plan.isEmpty) return [];
    this.#nextWriteAtMs = nowMs + WRITE_INTERVAL_MS;
    return [this.#createWriteCall(plan, { row, rowVersion: poolRow.version }, context)];
  }

  #createWriteCall(plan: EscrowPlan, pool: PoolSnapshot, context: EscrowContext): EscrowEffect {
    const changed = plan.shards.flatMap(({ shardId, units }) => {
      const allotment = this.#allotments.get(shardId);
      const leaseCheck = context.tryGetLeaseCheck(shardId);
      if (allotment === undefined || leaseCheck === undefined) return [];
      return [{ shardId, units, allotment, leaseCheck }];
    });
    const operation = this.#beginCall(
      new Map(changed.map(({ shardId, allotment }) => [shardId, allotment])),
    );
    changed.forEach(({ allotment, units }) => allotment.beginTransaction(operation, units));
    const checks: readonly RowCheck[] = [
      { key: POOL_KEY, version: pool.rowVersion },
      ...changed.map(({ shardId, allotment }) => ({
        key: getAllotmentKey(shardId),
        version: allotment.rowVersion,
      })),
      // A former owner's lease row has changed, so it can no longer transfer units of the shard.
      ...changed.map(({ leaseCheck }) => leaseCheck),
    ];
    const writes: readonly RowWrite[] = [
      { key: POOL_KEY, value: toJson(plan.pool) },
      ...changed.map(({ shardId, units }) => ({
        key: getAllotmentKey(shardId),
        value: toJson({ units }),
      })),
    ];
    const operationId = toId<OperationId>(`${context.memberId}/escrow/${operation}`);
    return {
      kind: 'callPlatform',
      origin: { kind: 'escrowWrite', operation },
      call: { kind: 'transact', transaction: { operationId, checks, writes } },
    };
  }

  #applyWriteResult({ operation, allotments }: PendingCall, result: PlatformResult): void {
    if (result.kind === 'committed') {
      [...allotments.values()].forEach((allotment, index) => {
        const row = result.rows[index + 1];
        if (row !== undefined) allotment.commitTransaction(operation, row.version);
      });
      return;
    }
    this.#nextReadAtMs = this.#nextWriteAtMs;
    if (result.kind === 'conflict')
      allotments.forEach((allotment) => allotment.abortTransaction(operation));
  }

  #findSurplus(nowMs: number, context: EscrowContext): readonly EscrowEffect[] {
    const effects: EscrowEffect[] = [];
    const currentSurplus = new Map<string, number>();
    this.#allotments.forEach((allotment, shardId) => {
      if (!allotment.isLoaded) return;
      context.getTeamsInUse(shardId).forEach((teamId) => {
        const usedSlots = context.getUsedSlots(shardId, teamId);
        const slots = usedSlots - this.getAllottedSlots(shardId, teamId);
        if (slots <= 0) return;
        const key = `${shardId}|${teamId}`;
        const sinceMs = this.#surplusSinceMsByKey.get(key) ?? nowMs;
        currentSurplus.set(key, sinceMs);
        if (nowMs - sinceMs < SURPLUS_GRACE_MS) return;
        effects.push({ kind: 'stopSurplus', shardId, teamId, slots });
      });
    });
    this.#surplusSinceMsByKey = currentSurplus;
    return effects;
  }
}
