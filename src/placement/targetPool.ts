/** Resource accounting of the targets. Every start is charged here before it is sent. */

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

/** Targets listed by the platform, with the resources charged for work of this scheduler. */
export class TargetPool {
  #states = new Map<TargetId, TargetState>();

  #targets: readonly Target[] = NO_TARGETS;

  #byShard = new Map<ShardId, Target[]>();

  #useByTeam = new Map<TeamId, ResourceVector>();

  #capacity = NO_RESOURCES;

  #slotsByTeam = new Map<ShardId, Map<TeamId, number>>();

  #taskRoom = new RoomIndex(getTaskRoom);

  #acceleratorRoom = new RoomIndex(getAcceleratorRoom);

  #requestRoom = new RoomIndex(getRequestRoom);

  #limits: LimitSource;

  #union: { readonly key: string; readonly targets: readonly Target[] } | undefined;

  /**
   * @param allotments - the part of each team's limit that each shard may use
   */
  constructor(limits: LimitSource) {
    this.#limits = limits;
  }

  /** All targets, including unlisted ones that still hold charges. */
  get targets(): readonly Target[] {
    return this.#targets;
  }

  /** Total capacity of all targets. */
  get capacity(): ResourceVector {
    return this.#capacity;
  }

  /** Index by free capacity for tasks. Targets that are leaving are excluded. */
  get taskRoom(): RoomIndex {
    return this.#taskRoom;
  }

  /** Index by free accelerators. Targets that are leaving are excluded. */
  get acceleratorRoom(): RoomIndex {
    return this.#acceleratorRoom;
  }

  /** Index by free slots and connections. Targets that are leaving are excluded. */
  get requestRoom(): RoomIndex {
    return this.#requestRoom;
  }

  /**
   * Applies the platform's list of targets. A target that is no longer listed is kept as leaving until
   * all of its charges have been released.
   * @param targets - the current list
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

  get(targetId: TargetId): Target | undefined {
    return this.#states.get(targetId)?.target;
  }

  getOfShard(shardId: ShardId): readonly Target[] {
    return this.#byShard.get(shardId) ?? NO_TARGETS;
  }

  /**
   * Gets the targets of several shards. Returns the same array for the same shards until the list of
   * targets changes, so that callers can cache by identity.
   * @param shardIds - the shards
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
   * Gets the free resources of a target.
   * @param targetId - the target
   * @returns the free amounts; all zero for an unknown target
   */
  getFree(targetId: TargetId): ResourceVector {
    return this.#states.get(targetId)?.free ?? NO_RESOURCES;
  }

  /**
   * Atomically charges a start to the target's resources and to the team's allotment on the shard.
   * @param targetId - target of the start
   * @param teamId - team that the work belongs to
   * @param demand - resources that the work needs
   * @returns the charge to release later, or why nothing was charged
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
   * Charges work without checking capacity or allotment. Used for work that already runs, such as that found
   * on a shard that was taken over.
   * @param target - target on which the work runs
   * @param teamId - team that the work belongs to
   * @param demand - resources that the work uses
   * @returns the charge to release later
   */
  forceCharge(target: Target, teamId: TeamId, demand: ResourceVector): Charge {
    const { shardId, targetId } = target;
    this.#add({ targetId, shardId, teamId, demand }, 1);
    return { targetId, shardId, teamId, demand };
  }

  /**
   * Releases a charge.
   * @param charge - a charge that has not been released yet
   */
  release(charge: Charge): void {
    this.#add(charge, -1);
  }

  /**
   * Gets the slots that a team uses on a shard.
   * @param shardId - the shard
   * @param teamId - the team
   * @returns the number of slots in use
   */
  getTeamSlots(shardId: ShardId, teamId: TeamId): number {
    return this.#slotsByTeam.get(shardId)?.get(teamId) ?? 0;
  }

  /**
   * Gets the resources that a team uses on all targets of this scheduler.
   * @param teamId - the team
   * @returns the amount of each resource in use
   */
  getTeamUse(teamId: TeamId): ResourceVector {
    return this.#useByTeam.get(teamId) ?? NO_RESOURCES;
  }

  /**
   * Gets the teams that use slots on a shard.
   * @param shardId - the shard
   * @returns the teams in no particular order
   */
  getTeamsInUse(shardId: ShardId): readonly TeamId[] {
    const byTeam = this.#slotsByTeam.get(shardId) ?? new Map<TeamId, number>();
    return [...byTeam].filter(([, slots]) => slots > 0).map(([teamId]) => teamId);
  }

  /**
   * Checks whether a start would stay within the team's allotment on a shard.
   * @param shardId - the shard
   * @param teamId - the team
   * @param slots - slots that the start needs
   * @returns true when the allotment covers the start
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
    const use = this.#useByTeam.get(charge.teamId) ?? NO_RESOURCES;
    this.#useByTeam.set(charge.teamId, addResources(use, charge.demand, factor));
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
    this.#capacity = this.#targets.reduce(
      (sum, { capacity }) => addResources(sum, capacity),
      NO_RESOURCES,
    );
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
