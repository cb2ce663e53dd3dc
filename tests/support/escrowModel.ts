/** Escrow ledgers of several processes against one table, with every message as a step of its own. */

import { EscrowLedger, getAllotmentKey, POOL_KEY } from '../../src/escrow/escrowLedger';
import type { EscrowContext, EscrowEffect, EscrowOrigin, TeamUnits } from '../../src/escrow/types';
import { WHOLE_UNITS } from '../../src/escrow/units';
import type { PlatformCall, RowCheck } from '../../src/platform/types';
import { toId } from '../../src/types/ids';
import type { ShardId, TeamId } from '../../src/types/ids';
import { FakePlatform } from '../../standins/fakePlatform';

export const TEAM: TeamId = toId('team');

interface Member {
  readonly index: number;
  ledger: EscrowLedger;
  incarnation: number;
  isAlive: boolean;
  /** Without it nothing starts, but the ledger still acts on what it holds. */
  hasAuthority: boolean;
  limitSlots: number;
  /** The lease rows under which shards are held, also after they were taken over. */
  readonly held: Map<ShardId, RowCheck>;
  /** Usage as last known of a shard whose authority is gone. */
  readonly frozenSlots: Map<ShardId, number>;
}

interface Flight {
  readonly member: Member;
  readonly incarnation: number;
  readonly origin: EscrowOrigin;
  readonly call: PlatformCall;
  isGivenUp: boolean;
}

/** How a call ends. */
export type Delivery = 'answered' | 'answerLost' | 'givenUpThenLate' | 'dropped';

/** One team, a few shards and members; all the choices are the test's. */
export class EscrowModel {
  readonly store = new FakePlatform();

  readonly members: Member[];

  readonly shardIds: readonly ShardId[];

  readonly running = new Map<ShardId, number>();

  readonly owners = new Map<ShardId, Member>();

  flights: Flight[] = [];

  nowMs = 0;

  limitSlots: number;

  /** The highest limit since all members last agreed and nothing ran above it. */
  boundSlots: number;

  stoppedSlots = 0;

  constructor(memberCount: number, shardCount: number, limitSlots: number) {
    this.limitSlots = limitSlots;
    this.boundSlots = limitSlots;
    this.shardIds = Array.from({ length: shardCount }, (_, index) => toId<ShardId>(`s${index}`));
    this.members = Array.from({ length: memberCount }, (_, index) => ({
      index,
      ledger: new EscrowLedger(),
      incarnation: 0,
      isAlive: true,
      hasAuthority: true,
      limitSlots: 0,
      held: new Map(),
      frozenSlots: new Map(),
    }));
    this.members.forEach((member) => this.adopt(member.index));
    this.shardIds.forEach((_, index) => this.takeOver(index, index % memberCount));
  }

  get totalSlots(): number {
    return [...this.running.values()].reduce((sum, slots) => sum + slots, 0);
  }

  /** Changes the limit in the table of configurations; members learn of it one by one. */
  changeLimit(limitSlots: number): void {
    this.limitSlots = limitSlots;
    this.boundSlots = Math.max(this.boundSlots, limitSlots);
  }

  adopt(index: number): void {
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
    member.held.clear();
    this.adopt(index);
  }

  loseAuthority(index: number): void {
    const member = this.#get(index);
    if (!member.hasAuthority) return;
    member.hasAuthority = false;
    member.held.forEach((_, shardId) => {
      member.frozenSlots.set(shardId, this.running.get(shardId) ?? 0);
    });
  }

  /** The member scans the lease rows and finds what it lost; what it kept it may use again. */
  scanLeases(index: number): void {
    const member = this.#get(index);
    if (!member.isAlive) return;
    member.held.forEach((_, shardId) => {
      if (this.owners.get(shardId) === member) return;
      member.held.delete(shardId);
      member.ledger.removeShard(shardId);
    });
    member.hasAuthority = true;
  }

  /** Possible only when the former owner can no longer start anything. */
  takeOver(shardIndex: number, index: number): void {
    const shardId = this.shardIds[shardIndex] as ShardId;
    const member = this.#get(index);
    const owner = this.owners.get(shardId);
    const isOwned = owner?.hasAuthority === true && owner.held.has(shardId);
    if (!member.isAlive || !member.hasAuthority || isOwned) return;
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
    member.held.set(shardId, { key, version: this.#read(key).version });
    member.ledger.addShard(shardId);
  }

  /** @returns true when the start was within the allotment */
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

  end(shardIndex: number): void {
    const shardId = this.shardIds[shardIndex] as ShardId;
    this.running.set(shardId, Math.max(0, (this.running.get(shardId) ?? 0) - 1));
  }

  tick(index: number): void {
    const member = this.#get(index);
    if (!member.isAlive) return;
    this.#perform(member, member.ledger.tick(this.nowMs, this.#getContext(member)));
  }

  deliver(flightIndex: number, delivery: Delivery): void {
    const flight = this.flights[flightIndex];
    if (flight === undefined) return;
    if (delivery === 'givenUpThenLate' && !flight.isGivenUp) {
      flight.isGivenUp = true;
      this.#reply(flight, { kind: 'unavailable', detail: 'timeout' });
      return;
    }
    this.flights.splice(flightIndex, 1);
    const result =
      delivery === 'dropped'
        ? ({ kind: 'unavailable', detail: 'dropped' } as const)
        : this.store.perform(flight.call, this.nowMs);
    const isLost = delivery === 'answerLost';
    if (flight.isGivenUp) return;
    this.#reply(flight, isLost ? { kind: 'unavailable', detail: 'lost' } : result);
  }

  /** Lets all members run undisturbed. */
  settle(durationMs: number, beforeEachStep: () => void): void {
    const untilMs = this.nowMs + durationMs;
    while (this.nowMs < untilMs) {
      beforeEachStep();
      this.members.forEach((member) => this.tick(member.index));
      while (this.flights.length > 0) this.deliver(0, 'answered');
      this.nowMs += 250;
    }
  }

  /** What the table holds: units of the pool and of every shard. */
  getTable(): { readonly free: number; readonly shards: readonly number[] } {
    const pool = this.#read(POOL_KEY).value as { free: TeamUnits } | null;
    const shards = this.shardIds.map((shardId) => {
      const row = this.#read(getAllotmentKey(shardId)).value as { units: TeamUnits } | null;
      return row?.units[TEAM] ?? 0;
    });
    return { free: pool?.free[TEAM] ?? WHOLE_UNITS, shards };
  }

  findViolation(): string | undefined {
    const { free, shards } = this.getTable();
    const sum = shards.reduce((total, units) => total + units, free);
    if (sum !== WHOLE_UNITS) return `the table holds ${sum} units`;
    if (free < 0 || shards.some((units) => units < 0)) return 'negative units';
    if (this.totalSlots > this.boundSlots) return `${this.totalSlots} of ${this.boundSlots} run`;
    return undefined;
  }

  /** Everything that later behaviour depends on but the ledgers' private state. */
  getState(): object {
    return {
      nowMs: this.nowMs,
      table: this.getTable(),
      limitSlots: this.limitSlots,
      running: [...this.running],
      owners: [...this.owners].map(([shardId, { index }]) => [shardId, index]),
      flights: this.flights.map(({ member, incarnation, call, isGivenUp }) => [
        member.index,
        incarnation,
        JSON.stringify(call),
        isGivenUp,
      ]),
      members: this.members.map((member) => [
        member.isAlive,
        member.hasAuthority,
        member.limitSlots,
        [...member.held],
        this.shardIds.map((id) => member.ledger.getAllottedSlots(id, TEAM)),
        member.ledger.dump(),
      ]),
    };
  }

  #perform(member: Member, effects: readonly EscrowEffect[]): void {
    effects.forEach((effect) => {
      if (effect.kind === 'callPlatform') {
        const { origin, call } = effect;
        const { incarnation } = member;
        this.flights.push({ member, incarnation, origin, call, isGivenUp: false });
        return;
      }
      if (!member.hasAuthority || this.owners.get(effect.shardId) !== member) return;
      const used = this.running.get(effect.shardId) ?? 0;
      this.running.set(effect.shardId, Math.max(0, used - effect.slots));
      this.stoppedSlots += effect.slots;
    });
  }

  #reply(
    { member, incarnation, origin }: Flight,
    result: ReturnType<FakePlatform['perform']>,
  ): void {
    if (!member.isAlive || member.incarnation !== incarnation) return;
    const context = this.#getContext(member);
    this.#perform(member, member.ledger.applyResult(this.nowMs, origin, result, context));
  }

  #getContext(member: Member): EscrowContext {
    const getUsedSlots = (shardId: ShardId): number => {
      const isOwner = this.owners.get(shardId) === member && member.hasAuthority;
      const known = isOwner ? this.running : member.frozenSlots;
      return known.get(shardId) ?? 0;
    };
    return {
      memberId: toId(`m${member.index}#${member.incarnation}`),
      shardCount: this.shardIds.length,
      getUsedSlots,
      getTeamsInUse: (shardId) => (getUsedSlots(shardId) > 0 ? [TEAM] : []),
      tryGetLeaseCheck: (shardId) => member.held.get(shardId),
    };
  }

  #read(key: string) {
    const result = this.store.perform({ kind: 'read', keys: [key] }, this.nowMs);
    if (result.kind !== 'rows' || result.rows[0] === undefined) throw new Error('no row');
    return result.rows[0];
  }

  #get(index: number): Member {
    return this.members[index] as Member;
  }
}
