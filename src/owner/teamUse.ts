/** What each team has running, against its upper limit. */

import type { TeamId } from '../types/ids';
import { addDemand, NO_DEMAND } from '../work/types';
import type { TaskDemand, Team } from '../work/types';

function isWithin(used: number, limit: number): boolean {
  return limit === 0 || used <= limit;
}

/** Sums of the charges by team. */
export class TeamUse {
  #used = new Map<TeamId, TaskDemand>();

  #teams = new Map<TeamId, Team>();

  /**
   * Takes the limits in force.
   * @param teams - every team of the configuration
   */
  setTeams(teams: readonly Team[]): void {
    this.#teams = new Map(teams.map((team) => [team.id, team]));
  }

  /**
   * Adds to what a team has running.
   * @param teamId - the team
   * @param demand - the charge
   * @param factor - -1 takes it away
   */
  add(teamId: TeamId, demand: TaskDemand, factor: 1 | -1): void {
    this.#used.set(teamId, addDemand(this.getUsed(teamId), demand, factor));
  }

  /**
   * @param teamId - the team
   * @returns what it has running
   */
  getUsed(teamId: TeamId): TaskDemand {
    return this.#used.get(teamId) ?? NO_DEMAND;
  }

  /**
   * Asks whether a team may have more running.
   * @param teamId - the team; one that the configuration does not name has no limit
   * @param demand - what is to be added
   * @param unseen - what may be running beside what is charged
   * @returns true when the sum stays within the limit
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
