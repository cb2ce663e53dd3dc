/** Budgets of the targets and the charges against them; every start is charged here first. */

import type { ShardId, TargetId, TeamId } from '../types/ids';
import { addResources, isFitting, NO_RESOURCES } from '../types/resources';
import type { ResourceVector } from '../types/resources';
import type { Charge, ChargeResult, LimitSource, Target } from './types';

interface TargetState {
  target: Target;
  used: ResourceVector;
}

function getTeamKey(shardId: ShardId, teamId: TeamId): string {
  return `${shardId}|${teamId}`;
}

/** The targets that the platform lists, with what this scheduler has running on them. */
export class TargetPool {
  #states = new Map<TargetId, TargetState>();

  #slotsByTeam = new Map<string, number>();

  #limits: LimitSource;

  /**
   * @param limits - how much of each team's limit each shard may use
   */
  constructor(limits: LimitSource) {
    this.#limits = limits;
  }

  /** Every target with its state. */
  get targets(): readonly Target[] {
    return [...this.#states.values()].map((state) => state.target);
  }

  /**
   * Takes in the platform's list. A target that is no longer listed keeps its charges until its
   * owner has given them back.
   * @param targets - the list
   */
  updateTargets(targets: readonly Target[]): void {
    const listed = new Set(targets.map((target) => target.targetId));
    targets.forEach((target) => {
      const known = this.#states.get(target.targetId);
      this.#states.set(target.targetId, { target, used: known?.used ?? NO_RESOURCES });
    });
    this.#states.forEach((state, targetId) => {
      if (listed.has(targetId)) return;
      if (state.used.slots === 0) this.#states.delete(targetId);
      else state.target = { ...state.target, isLeaving: true };
    });
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
    return this.targets.filter((target) => target.shardId === shardId);
  }

  /**
   * Gets what is left of a target.
   * @param targetId - which
   * @returns the free amounts; nothing for an unknown target
   */
  getFree(targetId: TargetId): ResourceVector {
    const state = this.#states.get(targetId);
    if (state === undefined) return NO_RESOURCES;
    return addResources(state.target.capacity, state.used, -1);
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
    const teamKey = getTeamKey(shardId, teamId);
    const teamSlots = (this.#slotsByTeam.get(teamKey) ?? 0) + demand.slots;
    if (teamSlots > this.#limits.getAllottedSlots(shardId, teamId)) return { kind: 'limitReached' };
    if (!isFitting(demand, this.getFree(targetId))) return { kind: 'noCapacity' };
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
    return this.#slotsByTeam.get(getTeamKey(shardId, teamId)) ?? 0;
  }

  #add(charge: Charge, factor: 1 | -1): void {
    const state = this.#states.get(charge.targetId);
    if (state !== undefined) state.used = addResources(state.used, charge.demand, factor);
    const teamKey = getTeamKey(charge.shardId, charge.teamId);
    const teamSlots = (this.#slotsByTeam.get(teamKey) ?? 0) + factor * charge.demand.slots;
    this.#slotsByTeam.set(teamKey, teamSlots);
  }
}
