/** All-or-nothing placement of gangs. */

import { CandidateCosts, isStarved, isLastAttempt } from './candidates';
import type { Candidate, CapacityView } from './candidates';
import { PlannedCapacity } from './plannedCapacity';
import type { GetPlacementCost } from './placement';
import type { StepState } from './stepState';

/** Costs and free capacity that differ from those on even targets. */
export interface PlacementRules {
  getCost(step: StepState): GetPlacementCost | undefined;
  getView(step: StepState): CapacityView;
}

/** The target chosen for one member of a gang. */
export interface MemberPlacement {
  readonly index: number;
  readonly candidate: Candidate;
}

function placeMembers(
  step: StepState,
  candidates: readonly Candidate[],
  nowMs: number,
  rules?: PlacementRules,
): readonly MemberPlacement[] | undefined {
  const isCautious = isLastAttempt(step, 0) && !isStarved(step, nowMs);
  const capacity = new PlannedCapacity(rules?.getView(step));
  const placements: MemberPlacement[] = [];
  const place = (candidate: Candidate) => {
    capacity.place(step, candidate.target);
    placements.push({ index: placements.length, candidate });
  };
  const costs = new CandidateCosts(step, candidates, capacity.getView(step), rules?.getCost(step));
  while (placements.length < step.spec.taskCount) {
    if (!costs.tryPlace(isCautious, place)) return undefined;
  }
  return placements;
}

function placeInSingleRack(
  step: StepState,
  candidates: readonly Candidate[],
  nowMs: number,
  rules?: PlacementRules,
): readonly MemberPlacement[] | undefined {
  const racks = new Set(candidates.map(({ target }) => target.entry.rack));
  let placements: readonly MemberPlacement[] | undefined;
  racks.forEach((rack) => {
    const inRack = candidates.filter(({ target }) => target.entry.rack === rack);
    placements ??= placeMembers(step, inRack, nowMs, rules);
  });
  return placements;
}

/**
 * Places all members of a gang, in a single rack if the step prefers that and a rack has the capacity.
 * @param step - the gang
 * @param candidates - the targets on which its members may run
 * @param nowMs - elapsed time of this process
 * @param rules - what holds instead of the rules for even targets
 * @returns a placement for each member, or undefined when they do not all fit
 */
export function placeGang(
  step: StepState,
  candidates: readonly Candidate[],
  nowMs: number,
  rules?: PlacementRules,
): readonly MemberPlacement[] | undefined {
  const { policy } = step.spec;
  const prefersSingleRack = policy.kind === 'gang' && policy.isSameRack;
  const inSingleRack = prefersSingleRack
    ? placeInSingleRack(step, candidates, nowMs, rules)
    : undefined;
  return inSingleRack ?? placeMembers(step, candidates, nowMs, rules);
}
