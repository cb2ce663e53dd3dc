/** Decides whether the limit of a team permits further runs, with those that may run without having been listed yet. */

import type { TargetId, TeamId } from '../types/ids';
import { addDemand, NO_DEMAND } from '../work/types';
import type { TaskDemand } from '../work/types';
import type { StepState } from './stepState';
import type { TargetState } from './targetState';
import type { TeamUsage } from './teamUsage';

/** State of the owner that the limits depend on. */
export interface TeamLimitsSource {
  readonly teamUsage: TeamUsage;
  readonly ready: ReadonlySet<StepState>;
  readonly targets: ReadonlyMap<TargetId, TargetState>;
  readonly unresolvedTargets: ReadonlySet<TargetId>;
  readonly areSubmissionPartsUnread: boolean;
  readonly wereSubmissionPartsUnread: boolean;
  readonly steadyMs: number;
}

/** Checks demand against the limits of teams. */
export class TeamLimits {
  #source: TeamLimitsSource;

  #unseenUsage = new Map<TeamId, TaskDemand>();

  /** Whether targets may run tasks of submissions that have not been read, of any team and of any size. */
  #mayRunUnread = false;

  /**
   * @param source - the owner's state
   */
  constructor(source: TeamLimitsSource) {
    this.#source = source;
  }

  /** Looks up what may run unseen; called once for each scheduling pass. */
  refresh(): void {
    this.#unseenUsage = this.#getUnseenUsage();
    this.#mayRunUnread = this.#findUnreadRuns();
  }

  /**
   * Checks whether the team of a step may have further runs of it.
   * @param step - the step
   * @param taskCount - number of further runs
   * @returns true when the limit of its team permits them
   */
  isWithinLimit(step: StepState, taskCount = 1): boolean {
    const { teamId } = step.record.submission;
    const { teamUsage } = this.#source;
    if (this.#mayRunUnread && teamUsage.hasLimit(teamId)) return false;
    const demand = taskCount === 1 ? step.charge : addDemand(NO_DEMAND, step.charge, taskCount);
    return teamUsage.isWithinLimit(teamId, demand, this.#unseenUsage.get(teamId));
  }

  /**
   * Checks whether the limit of its team keeps a step from starting anything.
   * @param step - the step
   * @returns true when not one task of it, or not all members of a gang, may start
   */
  isReached(step: StepState): boolean {
    return !this.isWithinLimit(step, step.isGang ? step.spec.taskCount : 1);
  }

  /**
   * Until a part of the store has been read, nobody knows whose the runs are that targets list of its submissions; they
   * are counted once their targets have listed them again.
   */
  #findUnreadRuns(): boolean {
    const { areSubmissionPartsUnread, unresolvedTargets, targets, steadyMs } = this.#source;
    if (!this.#source.wereSubmissionPartsUnread) return false;
    if (areSubmissionPartsUnread && unresolvedTargets.size > 0) return true;
    return [...targets.values()].some(
      ({ hasUnreadRuns, orphanRuns, lease }) =>
        hasUnreadRuns && orphanRuns.size > 0 && !lease.isExpired(steadyMs),
    );
  }

  /** Demand by team that may be running on targets which have not listed their runs since the takeover. */
  #getUnseenUsage(): Map<TeamId, TaskDemand> {
    const unseen = new Map<TeamId, TaskDemand>();
    if (this.#source.unresolvedTargets.size === 0) return unseen;
    this.#source.ready.forEach((step) => {
      if (!step.mayRunUnseen) return;
      const { teamId } = step.record.submission;
      const previous = unseen.get(teamId) ?? NO_DEMAND;
      unseen.set(teamId, addDemand(previous, step.charge, step.waiting.size));
    });
    return unseen;
  }
}
