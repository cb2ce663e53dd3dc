/** Resource usage of teams, checked against their limits. */

import type { TeamId } from '../types/ids';
import { addDemand, NO_DEMAND } from '../work/types';
import type { TaskDemand, Team } from '../work/types';

function isWithin(used: number, limit: number): boolean {
  return limit === 0 || used <= limit;
}

/** Sums the demand of charged runs by team. */
export class TeamUsage {
  #used = new Map<TeamId, TaskDemand>();

  #teams = new Map<TeamId, Team>();

  /**
   * Applies the limits of the current configuration.
   * @param teams - all teams of the configuration
   */
  setTeams(teams: readonly Team[]): void {
    this.#teams = new Map(teams.map((team) => [team.id, team]));
  }

  /**
   * Adds to or subtracts from the usage of a team.
   * @param teamId - the team
   * @param demand - demand of the run
   * @param factor - 1 adds the demand, -1 subtracts it
   */
  add(teamId: TeamId, demand: TaskDemand, factor: 1 | -1): void {
    this.#used.set(teamId, addDemand(this.getUsed(teamId), demand, factor));
  }

  /**
   * @param teamId - the team
   * @returns its usage
   */
  getUsed(teamId: TeamId): TaskDemand {
    return this.#used.get(teamId) ?? NO_DEMAND;
  }

  /**
   * @param teamId - a team
   * @returns whether anything limits what it may have running
   */
  hasLimit(teamId: TeamId): boolean {
    const limit = this.#teams.get(teamId)?.limit;
    if (limit === undefined) return false;
    return limit.cpuMillis > 0 || limit.memoryMb > 0 || limit.accelerators > 0;
  }

  /**
   * Checks whether further demand stays within the limit of a team.
   * @param teamId - the team; a team that is not configured has no limit
   * @param demand - demand to add
   * @param unseen - demand that may be running in addition to the charged runs
   * @returns true when the sum does not exceed the limit
   */
  isWithinLimit(teamId: TeamId, demand: TaskDemand, unseen: TaskDemand = NO_DEMAND): boolean {
    const limit = this.#teams.get(teamId)?.limit;
    if (limit === undefined) return true;
    const sum = addDemand(addDemand(this.getUsed(teamId), demand), unseen);
    return (
      isWithin(sum.cpuMillis, limit.cpuMillis) &&
      isWithin(sum.memoryMb, limit.memoryMb) &&
      isWithin(sum.accelerators, limit.accelerators)
    );
  }
}
