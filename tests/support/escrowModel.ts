/** Model of escrow ledgers that share a table, with every message as a separate step. */

import { EscrowLedger, getAllotmentKey, POOL_KEY } from '../../src/escrow/escrowLedger';
import type { EscrowContext, EscrowEffect, EscrowOrigin, TeamUnits } from '../../src/escrow/types';
import { TOTAL_UNITS } from '../../src/escrow/units';
import type { PlatformCall, RowCheck } from '../../src/platform/types';
import { toId } from '../../src/types/ids';
import type { ShardId, TeamId } from '../../src/types/ids';
import { FakePlatform } from '../../standins/fakePlatform';

export const TEAM: TeamId = toId('team');

interface ModelMember {
  readonly index: number;
  ledger: EscrowLedger;
  incarnation: number;
  isAlive: boolean;
  /** Without authority no work starts, but the ledger still manages its allotments. */
  hasAuthority: boolean;
  limitSlots: number;
  /** Lease rows under which shards are held; kept after a takeover until the member detects it. */
  readonly heldLeases: Map<ShardId, RowCheck>;
  /** Last known usage of the shards at the time authority was lost. */
  readonly lastKnownSlots: Map<ShardId, number>;
}

interface InFlightCall {
  readonly member: ModelMember;
  readonly incarnation: number;
  readonly origin: EscrowOrigin;
  readonly call: PlatformCall;
  isTimedOut: boolean;
}

/** How a call ends. The first `timedOutThenLate` times the call out, the second one executes it. */
export type Delivery = 'answered' | 'answerLost' | 'timedOutThenLate' | 'dropped';

/** One team with a few shards and members; the test makes all scheduling choices. */
export class EscrowModel {
  readonly store = new FakePlatform();

  readonly members: ModelMember[];

  readonly shardIds: readonly ShardId[];

  readonly running = new Map<ShardId, number>();

  readonly owners = new Map<ShardId, ModelMember>();

  inFlightCalls: InFlightCall[] = [];

  nowMs = 0;

  limitSlots: number;

  /** Highest limit since all members last had the same limit and usage was within it. */
  maxAllowedSlots: number;

  stoppedSlots = 0;

  constructor(memberCount: number, shardCount: number, limitSlots: number) {
    this.limitSlots = limitSlots;
    this.maxAllowedSlots = limitSlots;
    this.shardIds = Array.from({ length: shardCount }, (_, index) => toId<ShardId>(`s${index}`));
    this.members = Array.from({ length: memberCount }, (_, index) => ({
      index,
      ledger: new EscrowLedger(),
      incarnation: 0,
      isAlive: true,
      hasAuthority: true,
      limitSlots: 0,
      heldLeases: new Map(),
      lastKnownSlots: new Map(),
    }));
    this.members.forEach((member) => this.adoptLimit(member.index));
    this.shardIds.forEach((_, index) => this.takeOver(index, index % memberCount));
  }

  get totalSlots(): number {
    return [...this.running.values()].reduce((sum, slots) => sum + slots, 0);
  }

  /** Changes the configured limit; each member learns of it separately through `adoptLimit`. */
  changeLimit(limitSlots: number): void {
    this.limitSlots = limitSlots;
    this.maxAllowedSlots = Math.max(this.maxAllowedSlots, limitSlots);
  }

  adoptLimit(index: number): void {
    const member = this.#get(index);
    if (!member.isAlive) return;
    member.limitSlots = this.limitSlots;
    const team = { teamId: TEAM, shareWeight: 1, limitSlots: this.limitSlots };
    member.ledger.updateTeams([team]);
  }

  kill(index: number): void {
    const member = this.#get(index);
    this.loseAuthority(index);
    member.isAlive = false;
    member.incarnation += 1;
  }

  restart(index: number): void {
    const member = this.#get(index);
    if (member.isAlive) return;
    member.isAlive = true;
    member.hasAuthority = true;
    member.ledger = new EscrowLedger();
    member.heldLeases.clear();
    this.adoptLimit(index);
  }

  loseAuthority(index: number): void {
    const member = this.#get(index);
    if (!member.hasAuthority) return;
    member.hasAuthority = false;
    member.heldLeases.forEach((_, shardId) => {
      member.lastKnownSlots.set(shardId, this.running.get(shardId) ?? 0);
    });
  }

  /** The member scans the lease rows, drops lost shards and regains authority over the others. */
  scanLeases(index: number): void {
    const member = this.#get(index);
    if (!member.isAlive) return;
    member.heldLeases.forEach((_, shardId) => {
      if (this.owners.get(shardId) === member) return;
      member.heldLeases.delete(shardId);
      member.ledger.removeShard(shardId);
    });
    member.hasAuthority = true;
  }

  /** Takes over a shard if its owner can no longer start work on it. */
  takeOver(shardIndex: number, index: number): void {
    const shardId = this.shardIds[shardIndex] as ShardId;
    const member = this.#get(index);
    const owner = this.owners.get(shardId);
    const hasAuthorizedOwner = owner?.hasAuthority === true && owner.heldLeases.has(shardId);
    if (!member.isAlive || !member.hasAuthority || hasAuthorizedOwner) return;
    const key = `shard/${shardId}`;
    this.store.perform(
      {
        kind: 'transact',
        transaction: {
          operationId: toId('takeover'),
          checks: [],
          writes: [{ key, value: { shardId, ownerId: index } }],
        },
      },
      this.nowMs,
    );
    this.owners.set(shardId, member);
    member.heldLeases.set(shardId, { key, version: this.#read(key).version });
    member.ledger.addShard(shardId);
  }

  /** @returns true if the start was within the allotment */
  tryStart(shardIndex: number): boolean {
    const shardId = this.shardIds[shardIndex] as ShardId;
    const owner = this.owners.get(shardId);
    if (owner === undefined || !owner.isAlive || !owner.hasAuthority) return false;
    const used = this.running.get(shardId) ?? 0;
    if (used + 1 > owner.ledger.getAllottedSlots(shardId, TEAM)) {
      owner.ledger.recordShortage(shardId, TEAM, 1);
      return false;
    }
    this.running.set(shardId, used + 1);
    return true;
  }

  endOne(shardIndex: number): void {
    const shardId = this.shardIds[shardIndex] as ShardId;
    this.running.set(shardId, Math.max(0, (this.running.get(shardId) ?? 0) - 1));
  }

  tick(index: number): void {
    const member = this.#get(index);
    if (!member.isAlive) return;
    this.#perform(member, member.ledger.tick(this.nowMs, this.#getContext(member)));
  }

  deliver(callIndex: number, delivery: Delivery): void {
    const inFlightCall = this.inFlightCalls[callIndex];
    if (inFlightCall === undefined) return;
    if (delivery === 'timedOutThenLate' && !inFlightCall.isTimedOut) {
      inFlightCall.isTimedOut = true;
      this.#reply(inFlightCall, { kind: 'unavailable', detail: 'timeout' });
      return;
    }
    this.inFlightCalls.splice(callIndex, 1);
    const result =
      delivery === 'dropped'
        ? ({ kind: 'unavailable', detail: 'dropped' } as const)
        : this.store.perform(inFlightCall.call, this.nowMs);
    const isResponseLost = delivery === 'answerLost';
    if (inFlightCall.isTimedOut) return;
    this.#reply(inFlightCall, isResponseLost ? { kind: 'unavailable', detail: 'lost' } : result);
  }

  /** Runs all members without faults. */
  runUndisturbed(durationMs: number, beforeEachStep: () => void): void {
    const untilMs = this.nowMs + durationMs;
    while (this.nowMs < untilMs) {
      beforeEachStep();
      this.members.forEach((member) => this.tick(member.index));
      while (this.inFlightCalls.length > 0) this.deliver(0, 'answered');
      this.nowMs += 250;
    }
  }

  /** Reads the units of the pool and of all shards from the table. */
  getStoredUnits(): { readonly free: number; readonly shards: readonly number[] } {
    const pool = this.#read(POOL_KEY).value as { free: TeamUnits } | null;
    const shards = this.shardIds.map((shardId) => {
      const row = this.#read(getAllotmentKey(shardId)).value as { units: TeamUnits } | null;
      return row?.units[TEAM] ?? 0;
    });
    return { free: pool?.free[TEAM] ?? TOTAL_UNITS, shards };
  }

  findViolation(): string | undefined {
    const { free, shards } = this.getStoredUnits();
    const sum = shards.reduce((total, units) => total + units, free);
    if (sum !== TOTAL_UNITS) return `the units add up to ${sum}`;
    if (free < 0 || shards.some((units) => units < 0)) return 'negative units';
    if (this.totalSlots > this.maxAllowedSlots)
      return `${this.totalSlots} slots in use exceed the limit of ${this.maxAllowedSlots}`;
    return undefined;
  }

  /** All state on which later behaviour depends, except what the ledgers' dumps leave out. */
  getState(): object {
    return {
      nowMs: this.nowMs,
      table: this.getStoredUnits(),
      limitSlots: this.limitSlots,
      running: [...this.running],
      owners: [...this.owners].map(([shardId, { index }]) => [shardId, index]),
      inFlightCalls: this.inFlightCalls.map(({ member, incarnation, call, isTimedOut }) => [
        member.index,
        incarnation,
        JSON.stringify(call),
        isTimedOut,
      ]),
      members: this.members.map((member) => [
        member.isAlive,
        member.hasAuthority,
        member.limitSlots,
        [...member.heldLeases],
        this.shardIds.map((id) => member.ledger.getAllottedSlots(id, TEAM)),
        member.ledger.dump(),
      ]),
    };
  }

  #perform(member: ModelMember, effects: readonly EscrowEffect[]): void {
    effects.forEach((effect) => {
      if (effect.kind === 'callPlatform') {
        const { origin, call } = effect;
        const { incarnation } = member;
        this.inFlightCalls.push({ member, incarnation, origin, call, isTimedOut: false });
        return;
      }
      if (!member.hasAuthority || this.owners.get(effect.shardId) !== member) return;
      const used = this.running.get(effect.shardId) ?? 0;
      this.running.set(effect.shardId, Math.max(0, used - effect.slots));
      this.stoppedSlots += effect.slots;
    });
  }

  #reply(
    { member, incarnation, origin }: InFlightCall,
    result: ReturnType<FakePlatform['perform']>,
  ): void {
    if (!member.isAlive || member.incarnation !== incarnation) return;
    const context = this.#getContext(member);
    this.#perform(member, member.ledger.applyResult(this.nowMs, origin, result, context));
  }

  #getContext(member: ModelMember): EscrowContext {
    const getUsedSlots = (shardId: ShardId): number => {
      const isOwner = this.owners.get(shardId) === member && member.hasAuthority;
      const slotsByShard = isOwner ? this.running : member.lastKnownSlots;
      return slotsByShard.get(shardId) ?? 0;
    };
    return {
      memberId: toId(`m${member.index}#${member.incarnation}`),
      shardCount: this.shardIds.length,
      getUsedSlots,
      getTeamsInUse: (shardId) => (getUsedSlots(shardId) > 0 ? [TEAM] : []),
      tryGetLeaseCheck: (shardId) => member.heldLeases.get(shardId),
    };
  }

  #read(key: string) {
    const result = this.store.perform({ kind: 'read', keys: [key] }, this.nowMs);
    if (result.kind !== 'rows' || result.rows[0] === undefined) throw new Error('no row');
    return result.rows[0];
  }

  #get(index: number): ModelMember {
    return this.members[index] as ModelMember;
  }
}
