/** Resource accounting of the targets. Every start is charged here before it is sent. */

import type { ShardId, TargetId, TeamId } from '../types/ids';
import { addResources, isFitting, NO_RESOURCES } from '../types/resources';
import type { ResourceVector } from '../types/resources';
import {
  getFreeAcceleratorFraction,
  getFreeRequestFraction,
  getFreeTaskFraction,
  FreeCapacityIndex,
} from './freeCapacityIndex';
import type { Charge, ChargeResult, AllotmentSource, Target } from './types';

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

  #usageByTeam = new Map<TeamId, ResourceVector>();

  #capacity = NO_RESOURCES;

  #slotsByTeam = new Map<ShardId, Map<TeamId, number>>();

  #taskIndex = new FreeCapacityIndex(getFreeTaskFraction);

  #acceleratorIndex = new FreeCapacityIndex(getFreeAcceleratorFraction);

  #requestIndex = new FreeCapacityIndex(getFreeRequestFraction);

  #allotments: AllotmentSource;

  #cachedUnion: { readonly key: string; readonly targets: readonly Target[] } | undefined;

  /**
   * @param allotments - the part of each team's limit that each shard may use
   */
  constructor(allotments: AllotmentSource) {
    this.#allotments = allotments;
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
  get taskIndex(): FreeCapacityIndex {
    return this.#taskIndex;
  }

  /** Index by free accelerators. Targets that are leaving are excluded. */
  get acceleratorIndex(): FreeCapacityIndex {
    return this.#acceleratorIndex;
  }

  /** Index by free slots and connections. Targets that are leaving are excluded. */
  get requestIndex(): FreeCapacityIndex {
    return this.#requestIndex;
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

  getTargetsOfShard(shardId: ShardId): readonly Target[] {
    return this.#byShard.get(shardId) ?? NO_TARGETS;
  }

  /**
   * Gets the targets of several shards. Returns the same array for the same shards until the list of
   * targets changes, so that callers can cache by identity.
   * @param shardIds - the shards
   * @returns their targets
   */
  getTargetsOfShards(shardIds: readonly ShardId[]): readonly Target[] {
    const key = shardIds.join('|');
    if (this.#cachedUnion?.key === key) return this.#cachedUnion.targets;
    const targets = shardIds.flatMap((shardId) => this.getTargetsOfShard(shardId));
    this.#cachedUnion = { key, targets };
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
    if (teamSlots > this.#allotments.getAllottedSlots(shardId, teamId)) {
      this.#allotments.recordShortage(shardId, teamId, demand.slots);
      return { kind: 'limitReached' };
    }
    if (!isFitting(demand, state.free)) return { kind: 'noCapacity' };
    return { kind: 'charged', charge: this.chargeUnchecked(state.target, teamId, demand) };
  }

  /**
   * Charges work without checking capacity or allotment. Used for work that already runs, such as that found
   * on a shard that was taken over.
   * @param target - target on which the work runs
   * @param teamId - team that the work belongs to
   * @param demand - resources that the work uses
   * @returns the charge to release later
   */
  chargeUnchecked(target: Target, teamId: TeamId, demand: ResourceVector): Charge {
    const { shardId, targetId } = target;
    this.#applyCharge({ targetId, shardId, teamId, demand }, 1);
    return { targetId, shardId, teamId, demand };
  }

  /**
   * Releases a charge.
   * @param charge - a charge that has not been released yet
   */
  release(charge: Charge): void {
    this.#applyCharge(charge, -1);
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
  getTeamUsage(teamId: TeamId): ResourceVector {
    return this.#usageByTeam.get(teamId) ?? NO_RESOURCES;
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
  isWithinAllotment(shardId: ShardId, teamId: TeamId, slots: number): boolean {
    const teamSlots = this.getTeamSlots(shardId, teamId) + slots;
    return teamSlots <= this.#allotments.getAllottedSlots(shardId, teamId);
  }

  #applyCharge(charge: Charge, factor: 1 | -1): void {
    const state = this.#states.get(charge.targetId);
    if (state !== undefined) {
      state.used = addResources(state.used, charge.demand, factor);
      state.free = addResources(state.free, charge.demand, -factor);
      this.#updateIndexes(state);
    }
    const usage = this.#usageByTeam.get(charge.teamId) ?? NO_RESOURCES;
    this.#usageByTeam.set(charge.teamId, addResources(usage, charge.demand, factor));
    const byTeam = this.#slotsByTeam.get(charge.shardId) ?? new Map<TeamId, number>();
    byTeam.set(charge.teamId, (byTeam.get(charge.teamId) ?? 0) + factor * charge.demand.slots);
    this.#slotsByTeam.set(charge.shardId, byTeam);
  }

  #updateIndexes({ target, free }: TargetState): void {
    if (target.isLeaving) return;
    this.#taskIndex.update(target, free);
    this.#acceleratorIndex.update(target, free);
    this.#requestIndex.update(target, free);
  }

  #rebuildIndexes(): void {
    this.#targets = [...this.#states.values()].map((state) => state.target);
    this.#cachedUnion = undefined;
    this.#capacity = this.#targets.reduce(
      (sum, { capacity }) => addResources(sum, capacity),
      NO_RESOURCES,
    );
    this.#byShard.clear();
    this.#taskIndex.clear();
    this.#acceleratorIndex.clear();
    this.#requestIndex.clear();
    this.#states.forEach((state) => {
      const { target } = state;
      const targetsOfShard = this.#byShard.get(target.shardId);
      if (targetsOfShard === undefined) this.#byShard.set(target.shardId, [target]);
      else targetsOfShard.push(target);
      this.#updateIndexes(state);
    });
  }
}
