/**
 * Escrow of the teams' upper limits over the target shards (O'Neil, "The Escrow Transactional
 * Method", 1986): each shard holds a part of a team's limit, and its owner starts work within it
 * without asking anyone.
 */

import type { Team } from '../config/types';
import type { AllotmentSource } from '../placement/types';
import type { JsonValue, PlatformResult, Row, RowCheck, RowWrite } from '../platform/types';
import { assertNever } from '../types/debug';
import { toId } from '../types/ids';
import type { OperationId, ShardId, TeamId } from '../types/ids';
import { Allotment } from './allotment';
import { createPlan } from './plan';
import type { EscrowPlan } from './plan';
import { Shortages } from './shortages';
import type { EscrowContext, EscrowEffect, EscrowOrigin, PoolRow } from './types';
import { getSlots } from './units';

/** Prefix of the rows of all allotments. */
export const ALLOTMENT_PREFIX = 'allotment/';

/** Key of the row of what no shard holds. */
export const POOL_KEY = `${ALLOTMENT_PREFIX}pool`;

/** At most one transaction in this time, whatever the number of teams and shards. */
const WRITE_INTERVAL_MS = 1_000;

/** Time between reads of the pool while nothing is short. */
const IDLE_READ_INTERVAL_MS = 2_000;

/** What runs above an allotment is stopped after this, unless the pool gives units meanwhile. */
export const SURPLUS_GRACE_MS = 2_500;

const EMPTY_POOL: PoolRow = { free: {}, wanted: {} };

interface KnownPool {
  readonly row: PoolRow;
  readonly rowVersion: number;
}

interface OpenCall {
  readonly operation: number;
  /** The shards that the call is about, as owned when it was sent. */
  readonly allotments: ReadonlyMap<ShardId, Allotment>;
}

/**
 * Gets the key of a shard's allotment.
 * @param shardId - which shard
 * @returns the key of its row
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

/** The escrow reducer of one scheduler. */
export class EscrowLedger implements AllotmentSource {
  #teams = new Map<TeamId, Team>();

  #allotments = new Map<ShardId, Allotment>();

  #shortages = new Shortages();

  #surplusSinceMs = new Map<string, number>();

  #open: OpenCall | undefined;

  #operation = 0;

  #nextReadMs = 0;

  #nextWriteMs = 0;

  /** Shards whose allotments are held. */
  get shardIds(): readonly ShardId[] {
    return [...this.#allotments.keys()];
  }

  /**
   * Takes in the teams of a configuration. A lowered limit shrinks every allotment at once and in
   * proportion, without a write.
   * @param teams - the teams with their limits
   */
  updateTeams(teams: readonly Team[]): void {
    this.#teams = new Map(teams.map((team) => [team.teamId, team]));
  }

  /**
   * Begins to hold the allotment of a shard that was just acquired; it is empty until it is read.
   * @param shardId - which shard
   */
  addShard(shardId: ShardId): void {
    this.#allotments.set(shardId, new Allotment());
    this.#nextReadMs = 0;
  }

  /**
   * Drops the allotment of a shard that was lost; its row stays for the next owner.
   * @param shardId - which shard
   */
  removeShard(shardId: ShardId): void {
    this.#allotments.delete(shardId);
  }

  /** {@inheritDoc LimitSource.getAllottedSlots} */
  getAllottedSlots(shardId: ShardId, teamId: TeamId): number {
    const limitSlots = this.#teams.get(teamId)?.limitSlots ?? 0;
    return getSlots(this.#allotments.get(shardId)?.getUsable(teamId) ?? 0, limitSlots);
  }

  /** {@inheritDoc LimitSource.noteShortage} */
  recordShortage(shardId: ShardId, teamId: TeamId, slots: number): void {
    if (this.#allotments.has(shardId)) this.#shortages.note(shardId, teamId, slots);
  }

  /**
   * Reads the rows when it is time to and reports what runs above an allotment.
   * @param nowMs - this process's clock
   * @param context - usage and lease rows
   * @returns what to do
   */
  tick(nowMs: number, context: EscrowContext): readonly EscrowEffect[] {
    this.#shortages.check(nowMs);
    const surplus = this.#findSurplus(nowMs, context);
    const isHurried = !this.#shortages.isEmpty || this.#surplusSinceMs.size > 0;
    const dueMs = isHurried ? Math.min(this.#nextReadMs, this.#nextWriteMs) : this.#nextReadMs;
    if (this.#open !== undefined || this.#allotments.size === 0 || nowMs < dueMs) return surplus;
    return [...surplus, this.#read(nowMs)];
  }

  /**
   * Takes in what came of a platform call.
   * @param nowMs - this process's clock
   * @param origin - which call
   * @param result - what came
   * @param context - usage and lease rows
   * @returns what to do
   */
  applyResult(
    nowMs: number,
    origin: EscrowOrigin,
    result: PlatformResult,
    context: EscrowContext,
  ): readonly EscrowEffect[] {
    const open = this.#open;
    if (open === undefined || open.operation !== origin.operation) return [];
    this.#open = undefined;
    switch (origin.kind) {
      case 'escrowRead':
        return result.kind === 'rows' ? this.#applyRead(nowMs, open, result.rows, context) : [];
      case 'escrowWrite':
        this.#applyWrite(open, result);
        return [];
      default:
        return assertNever(origin);
    }
  }

  /**
   * Gets the state for an operator.
   * @returns plain data
   */
  dump() {
    return {
      isCallOpen: this.#open !== undefined,
      nextReadMs: this.#nextReadMs,
      nextWriteMs: this.#nextWriteMs,
      shortages: this.#shortages.dump(),
      allotments: [...this.#allotments].map(([shardId, allotment]) => ({
        shardId,
        ...allotment.dump(),
      })),
    };
  }

  #begin(allotments: ReadonlyMap<ShardId, Allotment>): number {
    this.#operation += 1;
    this.#open = { operation: this.#operation, allotments };
    return this.#operation;
  }

  #read(nowMs: number): EscrowEffect {
    this.#nextReadMs = nowMs + IDLE_READ_INTERVAL_MS;
    // A loaded row that is not in doubt is certain, since nobody else writes it.
    const unsure = [...this.#allotments].filter(([, known]) => !known.isLoaded || known.isInDoubt);
    const operation = this.#begin(new Map(unsure));
    const keys = [POOL_KEY, ...unsure.map(([shardId]) => getAllotmentKey(shardId))];
    return {
      kind: 'callPlatform',
      origin: { kind: 'escrowRead', operation },
      call: { kind: 'read', keys },
    };
  }

  #applyRead(
    nowMs: number,
    open: OpenCall,
    rows: readonly Row[],
    context: EscrowContext,
  ): readonly EscrowEffect[] {
    const [poolRow, ...allotmentRows] = rows;
    if (poolRow === undefined) return [];
    // A shard that was lost meanwhile has another allotment object, so this reaches no successor.
    [...open.allotments.values()].forEach((allotment, index) => {
      const row = allotmentRows[index];
      if (row !== undefined) allotment.load(row);
    });
    if (nowMs < this.#nextWriteMs) return [];
    const row = isPoolRow(poolRow.value) ? poolRow.value : EMPTY_POOL;
    const plan = createPlan({
      teams: [...this.#teams.values()],
      pool: row,
      allotments: this.#allotments,
      context,
      getShortSlots: (shardId, teamId) => this.#shortages.get(shardId, teamId),
    });
    if (plan.isEmpty) return [];
    this.#nextWriteMs = nowMs + WRITE_INTERVAL_MS;
    return [this.#write(plan, { row, rowVersion: poolRow.version }, context)];
  }

  #write(plan: EscrowPlan, pool: KnownPool, context: EscrowContext): EscrowEffect {
    const changed = plan.shards.flatMap(({ shardId, units }) => {
      const allotment = this.#allotments.get(shardId);
      const leaseCheck = context.tryGetLeaseCheck(shardId);
      if (allotment === undefined || leaseCheck === undefined) return [];
      return [{ shardId, units, allotment, leaseCheck }];
    });
    const operation = this.#begin(
      new Map(changed.map(({ shardId, allotment }) => [shardId, allotment])),
    );
    changed.forEach(({ allotment, units }) => allotment.begin(operation, units));
    const checks: readonly RowCheck[] = [
      { key: POOL_KEY, version: pool.rowVersion },
      ...changed.map(({ shardId, allotment }) => ({
        key: getAllotmentKey(shardId),
        version: allotment.rowVersion,
      })),
      // A former owner finds the lease row changed, so it can no longer move the shard's units.
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

  #applyWrite({ operation, allotments }: OpenCall, result: PlatformResult): void {
    if (result.kind === 'committed') {
      [...allotments.values()].forEach((allotment, index) => {
        const row = result.rows[index + 1];
        if (row !== undefined) allotment.commit(operation, row.version);
      });
      return;
    }
    this.#nextReadMs = this.#nextWriteMs;
    if (result.kind === 'conflict') allotments.forEach((allotment) => allotment.drop(operation));
  }

  #findSurplus(nowMs: number, context: EscrowContext): readonly EscrowEffect[] {
    const effects: EscrowEffect[] = [];
    const seen = new Map<string, number>();
    this.#allotments.forEach((allotment, shardId) => {
      if (!allotment.isLoaded) return;
      context.getTeamsInUse(shardId).forEach((teamId) => {
        const usedSlots = context.getUsedSlots(shardId, teamId);
        const slots = usedSlots - this.getAllottedSlots(shardId, teamId);
        if (slots <= 0) return;
        const key = `${shardId}|${teamId}`;
        const sinceMs = this.#surplusSinceMs.get(key) ?? nowMs;
        seen.set(key, sinceMs);
        if (nowMs - sinceMs < SURPLUS_GRACE_MS) return;
        effects.push({ kind: 'stopSurplus', shardId, teamId, slots });
      });
    });
    this.#surplusSinceMs = seen;
    return effects;
  }
}
