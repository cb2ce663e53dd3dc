/**
 * Entitlements of teams: weighted dominant resource fairness (Ghodsi et al., 2011) by progressive filling. All teams
 * are given capacity at a rate proportional to their weight; one that needs no more leaves the rest to the others.
 *
 * Load answered: up to three teams at 4 to 7 times their usual rate beside teams that need less than their part.
 */

import { getDominantFraction, RESOURCE_KINDS } from '../types/resources';
import type { ResourceKind, ResourceVector } from '../types/resources';

type ByResource = Record<ResourceKind, number>;

/** Rounding errors of sums over 1,000 teams stay far below this. */
const TOLERANCE = 1e-9;

/** What a team has and wants of one service. */
export interface TeamNeed {
  readonly teamId: string;
  /** Positive; see {@link getEffectiveWeight}. */
  readonly weight: number;
  /** Demand of its runs and of its tasks that wait, within its limit. */
  readonly wanted: ResourceVector;
}

/** A team while capacity is being filled. */
interface FilledTeam {
  readonly teamId: string;
  readonly weight: number;
  /** Dominant share with which it needs no more. */
  readonly maxShare: number;
  /** Use of each resource, as a fraction of the capacity, for each unit of the dominant share. */
  readonly profile: Readonly<ByResource>;
}

/**
 * Gets the weights with which teams count.
 * @param weights - the configured weights
 * @returns the weight of a team; one without a positive weight counts as the smallest positive one, or as 1
 */
export function getEffectiveWeight(
  weights: ReadonlyMap<string, number>,
): (teamId: string) => number {
  const positive = [...weights.values()].filter((weight) => weight > 0);
  const smallest = positive.reduce((least, weight) => Math.min(least, weight), Infinity);
  const fallback = positive.length === 0 ? 1 : smallest;
  return (teamId) => {
    const weight = weights.get(teamId) ?? 0;
    return weight > 0 ? weight : fallback;
  };
}

function createByResource(getValue: (kind: ResourceKind) => number): ByResource {
  return {
    cpuMillis: getValue('cpuMillis'),
    memoryMb: getValue('memoryMb'),
    accelerators: getValue('accelerators'),
    slots: getValue('slots'),
    connections: getValue('connections'),
  };
}

function toFilledTeam({ teamId, weight, wanted }: TeamNeed, capacity: ResourceVector): FilledTeam {
  // What the service does not have cannot be divided; tasks that need it wait whatever the shares are.
  const possible = createByResource((kind) => (capacity[kind] > 0 ? wanted[kind] : 0));
  const maxShare = getDominantFraction(possible, capacity);
  const profile = createByResource((kind) =>
    possible[kind] === 0 ? 0 : possible[kind] / capacity[kind] / maxShare,
  );
  return { teamId, weight, maxShare, profile };
}

/** The share for each unit of weight at which a resource is used up, if no further team is satisfied before. */
function getLevelAtCapacity(fixed: ByResource, slope: ByResource): number {
  return RESOURCE_KINDS.reduce((level, kind) => {
    if (slope[kind] <= TOLERANCE) return level;
    return Math.min(level, Math.max(0, 1 - fixed[kind]) / slope[kind]);
  }, Infinity);
}

/**
 * Divides the capacity of a service among teams.
 * @param needs - the teams that have or want something of it
 * @param capacity - its capacity
 * @returns the dominant share to which each team is entitled, at most what it wants
 */
export function getEntitlements(
  needs: readonly TeamNeed[],
  capacity: ResourceVector,
): Map<string, number> {
  const teams = needs
    .map((need) => toFilledTeam(need, capacity))
    .filter(({ maxShare }) => maxShare > 0)
    .sort((left, right) => left.maxShare / left.weight - right.maxShare / right.weight);
  const fixed = createByResource(() => 0);
  const slope = createByResource(() => 0);
  const addTo = (sums: ByResource, { profile }: FilledTeam, factor: number) =>
    RESOURCE_KINDS.forEach((kind) => {
      sums[kind] += profile[kind] * factor;
    });
  teams.forEach((team) => addTo(slope, team, team.weight));
  const entitlements = new Map<string, number>();
  let level = Infinity;
  teams.forEach((team) => {
    if (level === Infinity) {
      const atCapacity = getLevelAtCapacity(fixed, slope);
      if (atCapacity < team.maxShare / team.weight) level = atCapacity;
    }
    entitlements.set(team.teamId, Math.min(team.maxShare, level * team.weight));
    addTo(fixed, team, team.maxShare);
    addTo(slope, team, -team.weight);
  });
  return entitlements;
}
