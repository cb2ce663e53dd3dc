/** Budgets of the targets and the charges against them; every start is charged here first. */

import type { ShardId, TargetId, TeamId } from '../types/ids';
import { addResources, isFitting, NO_RESOURCES } from '../types/resources';
import type { ResourceVector } from '../types/resources';
import { getAcceleratorRoom, getRequestRoom, getTaskRoom, RoomIndex } from './roomIndex';
import type { Charge, ChargeResult, LimitSource, Target } from './types';

interface TargetState {
  target: Target;
  used: ResourceVector;
  free: ResourceVector;
}

const NO_TARGETS: readonly Target[] = [];

/** The targets that the platform lists, with what this scheduler has running on them. */
export class TargetPool {
  #states = new Map<TargetId, TargetState>();

  #targets: readonly Target[] = NO_TARGETS;

  #byShard = new Map<ShardId, Target[]>();

  #slotsByTeam = new Map<ShardId, Map<TeamId, number>>();

  #taskRoom = new RoomIndex(getTaskRoom);

  #acceleratorRoom = new RoomIndex(getAcceleratorRoom);

  #requestRoom = new RoomIndex(getRequestRoom);

  #limits: LimitSource;

  #union: { readonly key: string; readonly targets: readonly Target[] } | undefined;

  /**
   * @param limits - how much of each team's limit each shard may use
   */
  constructor(limits: LimitSource) {
    this.#limits = limits;
  }

  /** Every target with its state. */
  get targets(): readonly Target[] {
    return this.#targets;
  }

  /** Targets by the room for tasks that is left on them. Leaving targets are not in it. */
  get taskRoom(): RoomIndex {
    return this.#taskRoom;
  }

  /** Targets by the accelerators that are left. Leaving targets are not in it. */
  get acceleratorRoom(): RoomIndex {
    return this.#acceleratorRoom;
  }

  /** Targets by the slots and connections that are left. Leaving targets are not in it. */
  get requestRoom(): RoomIndex {
    return this.#requestRoom;
  }

  /**
   * Takes in the platform's list. A target that is no longer listed keeps its charges until its
   * owner has given them back.
   * @param targets - the list
   */
  updateTargets(targets: readonly Target[]): void {
    const listed = new Set(targets.map((target) => target.targetId));
    targets.forEach((target) => {
      const used = this.#states.get(target.targetId)?.used ?? NO_RESOURCES;
      const free = addResources(target.capacity, used, -1);
      this.#states.set(target.targetId, { target, used, free });
    });
    this.#states.forEach((state, targetId) => {
      if (listed.has(targetId)) return;
      if (state.used.slots === 0) this.#states.delete(targetId);
      else state.target = { ...state.target, isLeaving: true };
    });
    this.#rebuildIndexes();
  }

  /**
   * Gets one target.
   * @param targetId - which
   * @returns the target, or undefined when it is unknown
   */
  get(targetId: TargetId): Target | undefined {
    return this.#states.get(targetId)?.target;
  }

  /**
   * Gets the targets of one shard.
   * @param shardId - which shard
   * @returns its targets
   */
  getOfShard(shardId: ShardId): readonly Target[] {
    return this.#byShard.get(shardId) ?? NO_TARGETS;
  }

  /**
   * Gets the targets of several shards. The same shards give the same array until the list changes.
   * @param shardIds - which shards
   * @returns their targets
   */
  getOfShards(shardIds: readonly ShardId[]): readonly Target[] {
    const key = shardIds.join('|');
    if (this.#union?.key === key) return this.#union.targets;
    const targets = shardIds.flatMap((shardId) => this.getOfShard(shardId));
    this.#union = { key, targets };
    return targets;
  }

  /**
   * Gets what is left of a target.
   * @param targetId - which
   * @returns the free amounts; nothing for an unknown target
   */
  getFree(targetId: TargetId): ResourceVector {
    return this.#states.get(targetId)?.free ?? NO_RESOURCES;
  }

  /**
   * Charges a start to the target's budgets and the team's limit together, or to none of them.
   * @param targetId - where it would run
   * @param teamId - whose work it is
   * @param demand - what it takes
   * @returns the charge to give back later, or what is missing
   */
  tryCharge(targetId: TargetId, teamId: TeamId, demand: ResourceVector): ChargeResult {
    const state = this.#states.get(targetId);
    if (state === undefined) return { kind: 'noCapacity' };
    const { shardId } = state.target;
    const teamSlots = this.getTeamSlots(shardId, teamId) + demand.slots;
    if (teamSlots > this.#limits.getAllottedSlots(shardId, teamId)) {
      this.#limits.noteShortage(shardId, teamId, demand.slots);
      return { kind: 'limitReached' };
    }
    if (!isFitting(demand, state.free)) return { kind: 'noCapacity' };
    return { kind: 'charged', charge: this.forceCharge(state.target, teamId, demand) };
  }

  /**
   * Charges what already runs, as found on a shard that was taken over, without asking for room.
   * @param target - where it runs
   * @param teamId - whose work it is
   * @param demand - what it takes
   * @returns the charge
   */
  forceCharge(target: Target, teamId: TeamId, demand: ResourceVector): Charge {
    const { shardId, targetId } = target;
    this.#add({ targetId, shardId, teamId, demand }, 1);
    return { targetId, shardId, teamId, demand };
  }

  /**
   * Gives a charge back.
   * @param charge - from an earlier start; each is given back once
   */
  release(charge: Charge): void {
    this.#add(charge, -1);
  }

  /**
   * Gets what a team has running on a shard.
   * @param shardId - which shard
   * @param teamId - which team
   * @returns the slots in use
   */
  getTeamSlots(shardId: ShardId, teamId: TeamId): number {
    return this.#slotsByTeam.get(shardId)?.get(teamId) ?? 0;
  }

  /**
   * Gets the teams with something running on a shard.
   * @param shardId - which shard
   * @returns the teams, in no order
   */
  getTeamsInUse(shardId: ShardId): readonly TeamId[] {
    const byTeam = this.#slotsByTeam.get(shardId) ?? new Map<TeamId, number>();
    return [...byTeam].filter(([, slots]) => slots > 0).map(([teamId]) => teamId);
  }

  /**
   * Asks whether a shard's allotment has room for a start of a team.
   * @param shardId - which shard
   * @param teamId - which team
   * @param slots - what the start takes
   * @returns true when the team would stay within the shard's allotment
   */
  isAllotted(shardId: ShardId, teamId: TeamId, slots: number): boolean {
    const teamSlots = this.getTeamSlots(shardId, teamId) + slots;
    return teamSlots <= this.#limits.getAllottedSlots(shardId, teamId);
  }

  #add(charge: Charge, factor: 1 | -1): void {
    const state = this.#states.get(charge.targetId);
    if (state !== undefined) {
      state.used = addResources(state.used, charge.demand, factor);
      state.free = addResources(state.free, charge.demand, -factor);
      this.#updateRoom(state);
    }
    const byTeam = this.#slotsByTeam.get(charge.shardId) ?? new Map<TeamId, number>();
    byTeam.set(charge.teamId, (byTeam.get(charge.teamId) ?? 0) + factor * charge.demand.slots);
    this.#slotsByTeam.set(charge.shardId, byTeam);
  }

  #updateRoom({ target, free }: TargetState): void {
    if (target.isLeaving) return;
    this.#taskRoom.update(target, free);
    this.#acceleratorRoom.update(target, free);
    this.#requestRoom.update(target, free);
  }

  #rebuildIndexes(): void {
    this.#targets = [...this.#states.values()].map((state) => state.target);
    this.#union = undefined;
    this.#byShard.clear();
    this.#taskRoom.clear();
    this.#acceleratorRoom.clear();
    this.#requestRoom.clear();
    this.#states.forEach((state) => {
      const { target } = state;
      const ofShard = this.#byShard.get(target.shardId);
      if (ofShard === undefined) this.#byShard.set(target.shardId, [target]);
      else ofShard.push(target);
      this.#updateRoom(state);
    });
  }
}
