/**
 * Applies `src/share` to the owner's state: collects what runs and waits, and keeps which priorities are contended and
 * what the shares of the teams are.
 */

import type { TeamId } from '../types/ids';
import type { ResourceVector } from '../types/resources';
import { addDemand, NO_DEMAND } from '../work/types';
import type { TaskDemand, Team } from '../work/types';
import { ContentionDetector } from '../share/contention';
import type { PriorityDemand } from '../share/contention';
import { getEffectiveWeight } from '../share/entitlement';
import { TeamShares } from '../share/teamShares';
import type { TeamDebt, TeamUse } from '../share/teamShares';
import { PREEMPTION_DELAY_MS } from './constants';
import { DemandSum } from './demandSum';
import type { OwnerState } from './ownerState';
import type { StepState } from './stepState';

/**
 * The shares are computed again after this time. Several passes fit into it; runs of the shortest kind take 640 ms, so
 * the shares change little within it.
 */
const REFRESH_INTERVAL_MS = 100;

const LOG_INTERVAL_MS = 5_000;

/** Number of teams in a log line or a dump, those farthest from their entitlements first. */
const MAX_LOGGED_TEAMS = 20;

const PERCENT = 100;

/** What waits at one priority for one service. */
interface WaitingGroup {
  readonly serviceName: string;
  readonly priority: number;
  readonly teamIds: Set<TeamId>;
  readonly demand: DemandSum;
}

/** Capacity and use of one service. */
interface ServiceUse {
  readonly capacity: DemandSum;
  readonly free: DemandSum;
  readonly runningByTeam: Map<TeamId, DemandSum>;
}

function getSum<K>(sums: Map<K, DemandSum>, key: K): DemandSum {
  const known = sums.get(key);
  if (known !== undefined) return known;
  const sum = new DemandSum();
  sums.set(key, sum);
  return sum;
}

/**
 * @param demand - a demand or capacity
 * @returns it with resources that tasks do not name
 */
export function toResources({ cpuMillis, memoryMb, accelerators }: TaskDemand): ResourceVector {
  return { cpuMillis, memoryMb, accelerators, slots: 0, connections: 0 };
}

function toGroupKey(serviceName: string, priority: number): string {
  return `${priority}|${serviceName}`;
}

function clampToLimit(demand: TaskDemand, limit: TaskDemand | undefined): TaskDemand {
  if (limit === undefined) return demand;
  const clamp = (amount: number, max: number) => (max > 0 ? Math.min(amount, max) : amount);
  return {
    cpuMillis: clamp(demand.cpuMillis, limit.cpuMillis),
    memoryMb: clamp(demand.memoryMb, limit.memoryMb),
    accelerators: clamp(demand.accelerators, limit.accelerators),
  };
}

/** Contention and shares at the latest scheduling pass. */
export class CapacityShares {
  #state: OwnerState;

  #detector = new ContentionDetector();

  #byService = new Map<string, TeamShares>();

  /** Services and priorities at which a team waits that is far below its entitlement, so that others yield. */
  #yieldedTo = new Set<string>();

  #teams: readonly Team[] | undefined;

  #limits = new Map<TeamId, TaskDemand>();

  #getWeight = getEffectiveWeight(new Map());

  #capacities = new Map<string, TaskDemand>();

  #isFresh = false;

  #nextRefreshAtMs = Number.NEGATIVE_INFINITY;

  #loggedAtMs = Number.NEGATIVE_INFINITY;

  #changeCount = 0;

  /**
   * @param state - the owner's state
   */
  constructor(state: OwnerState) {
    this.#state = state;
  }

  /** Whether this pass has computed the shares; in others they do not show what has been started or stopped since. */
  get isFresh(): boolean {
    return this.#isFresh;
  }

  /** Whether any priority is contended. */
  get isAnyContended(): boolean {
    return this.#detector.isAnyContended;
  }

  /**
   * @param step - a step
   * @returns whether its priority is contended
   */
  isContended(step: StepState): boolean {
    return this.#detector.isContended(step.record.queue.priority);
  }

  /**
   * Checks whether a step comes after those of other teams in its priority and rank.
   * @param step - a step of a contended priority
   * @returns true while its team has far more than its share and another one that waits has far less
   */
  isYielding(step: StepState): boolean {
    const { queue, submission } = step.record;
    if (!this.#yieldedTo.has(toGroupKey(queue.serviceName, queue.priority))) return false;
    const share = this.#byService.get(queue.serviceName)?.shares.get(submission.teamId);
    if (share === undefined || !share.isYielding) return false;
    return step.record.isExcess || share.isFarBeyond;
  }

  /**
   * @param serviceName - a service
   * @returns the shares of the teams there, if it has ever been contended
   */
  getShares(serviceName: string): TeamShares | undefined {
    return this.#byService.get(serviceName);
  }

  /**
   * @param serviceName - a service
   * @returns its capacity at the latest pass with contention
   */
  getCapacity(serviceName: string): TaskDemand {
    return this.#capacities.get(serviceName) ?? NO_DEMAND;
  }

  /** Follows what runs and waits; called at the beginning of each scheduling pass. */
  refresh(): void {
    const { options, nowMs } = this.#state;
    this.#isFresh = options.sharesContendedCapacity && nowMs >= this.#nextRefreshAtMs;
    if (!this.#isFresh) return;
    this.#nextRefreshAtMs = nowMs + REFRESH_INTERVAL_MS;
    const groups = this.#getWaitingGroups();
    const mayBegin = groups.some(({ teamIds }) => teamIds.size > 1);
    if (!mayBegin && !this.#detector.isAnyContended) return;
    const uses = this.#getServiceUses();
    this.#detector.update(CapacityShares.#getDemands(groups, uses), nowMs);
    this.#yieldedTo.clear();
    if (!this.#detector.isAnyContended) return;
    this.#applyTeams();
    const contended = groups.filter(({ priority }) => this.#detector.isContended(priority));
    this.#updateShares(new Set(contended.map(({ serviceName }) => serviceName)), uses);
    this.#report(contended);
  }

  /** Number of updates of the debts. */
  get changeCount(): number {
    return this.#changeCount;
  }

  /** Debts to be stored for a successor. */
  get debts(): readonly TeamDebt[] {
    return [...this.#byService].flatMap(([serviceName, shares]) =>
      [...shares.debts].map(([teamId, debt]) => ({ serviceName, teamId, debt })),
    );
  }

  /**
   * Adopts the debts that a former owner has stored.
   * @param debts - the debts
   */
  adoptDebts(debts: readonly TeamDebt[]): void {
    debts.forEach(({ serviceName, teamId, debt }) => {
      this.#getOrAddShares(serviceName).setDebt(teamId, debt);
    });
  }

  /** @returns the shares at the latest pass with contention, for operators */
  dump(): unknown {
    return {
      isContended: this.isAnyContended,
      services: [...this.#byService].map(([serviceName, shares]) => ({
        serviceName,
        teams: CapacityShares.#describe(shares),
      })),
    };
  }

  #getOrAddShares(serviceName: string): TeamShares {
    const shares = this.#byService.get(serviceName) ?? new TeamShares();
    this.#byService.set(serviceName, shares);
    return shares;
  }

  /** Steps that wait for capacity rather than for a pass, a limit or the work of a former owner. */
  #getWaitingGroups(): readonly WaitingGroup[] {
    const { ready, nowMs, teamLimits } = this.#state;
    const steps = [...ready].filter(
      (step) => !step.isHeld && nowMs - (step.readyAtMs ?? nowMs) >= PREEMPTION_DELAY_MS,
    );
    if (new Set(steps.map(({ record }) => record.submission.teamId)).size < 2) return [];
    const groups = new Map<string, WaitingGroup>();
    steps.forEach((step) => {
      if (teamLimits.isReached(step)) return;
      const { queue, submission } = step.record;
      const { serviceName, priority } = queue;
      const key = toGroupKey(serviceName, priority);
      const group = groups.get(key) ?? {
        ...{ serviceName, priority, teamIds: new Set<TeamId>(), demand: new DemandSum() },
      };
      groups.set(key, group);
      group.teamIds.add(submission.teamId);
      group.demand.add(step.charge, step.waiting.size);
    });
    return [...groups.values()].sort((left, right) => left.priority - right.priority);
  }

  #getServiceUses(): ReadonlyMap<string, ServiceUse> {
    const uses = new Map<string, ServiceUse>();
    this.#state.targets.forEach(({ entry, isRegistered, isPlannable, free, runs }) => {
      const { serviceName } = entry;
      const use = uses.get(serviceName) ?? {
        ...{ capacity: new DemandSum(), free: new DemandSum(), runningByTeam: new Map() },
      };
      uses.set(serviceName, use);
      if (isRegistered) use.capacity.add(entry.capacity);
      if (isPlannable) use.free.add(free);
      runs.forEach((run) => {
        if (run.phase === 'stopping') return;
        getSum(use.runningByTeam, run.step.record.submission.teamId).add(run.charge);
      });
    });
    return uses;
  }

  /** The groups are in the order of their priorities. */
  static #getDemands(
    groups: readonly WaitingGroup[],
    uses: ReadonlyMap<string, ServiceUse>,
  ): readonly PriorityDemand[] {
    const waiting = new Map<string, TaskDemand>();
    return groups.map(({ serviceName, priority, teamIds, demand }) => {
      const sum = addDemand(waiting.get(serviceName) ?? NO_DEMAND, demand);
      waiting.set(serviceName, sum);
      const free = uses.get(serviceName)?.free ?? NO_DEMAND;
      return {
        ...{ priority, teamCount: teamIds.size },
        ...{ waiting: toResources(sum), free: toResources(free) },
      };
    });
  }

  #applyTeams(): void {
    const teams = this.#state.operator.config?.teams ?? [];
    if (teams === this.#teams) return;
    this.#teams = teams;
    this.#getWeight = getEffectiveWeight(new Map(teams.map(({ id, weight }) => [id, weight])));
    this.#limits = new Map(teams.map(({ id, limit }) => [id, limit]));
  }

  #updateShares(serviceNames: ReadonlySet<string>, uses: ReadonlyMap<string, ServiceUse>): void {
    this.#changeCount += 1;
    const waiting = this.#getWaitingByTeam();
    serviceNames.forEach((serviceName) => {
      const use = uses.get(serviceName);
      if (use === undefined) return;
      const ofService = waiting.get(serviceName) ?? new Map<TeamId, TaskDemand>();
      const teamIds = new Set([...use.runningByTeam.keys(), ...ofService.keys()]);
      const teamUses = [...teamIds].map((teamId): TeamUse => {
        const running = use.runningByTeam.get(teamId) ?? NO_DEMAND;
        const wanted = addDemand(running, ofService.get(teamId) ?? NO_DEMAND);
        return {
          ...{ teamId, weight: this.#getWeight(teamId), running: toResources(running) },
          wanted: toResources(clampToLimit(wanted, this.#limits.get(teamId))),
        };
      });
      this.#capacities.set(serviceName, use.capacity);
      const shares = this.#getOrAddShares(serviceName);
      shares.update(teamUses, toResources(use.capacity), this.#state.nowMs);
    });
  }

  #getWaitingByTeam(): ReadonlyMap<string, ReadonlyMap<TeamId, TaskDemand>> {
    const waiting = new Map<string, Map<TeamId, DemandSum>>();
    this.#state.ready.forEach((step) => {
      if (step.isHeld) return;
      const { queue, submission } = step.record;
      const byTeam = waiting.get(queue.serviceName) ?? new Map<TeamId, DemandSum>();
      waiting.set(queue.serviceName, byTeam);
      getSum(byTeam, submission.teamId).add(step.charge, step.waiting.size);
    });
    return waiting;
  }

  #report(contended: readonly WaitingGroup[]): void {
    const { nowMs } = this.#state;
    this.#state.count('share_contended_passes');
    let worst = 1;
    contended.forEach(({ serviceName, priority, teamIds }) => {
      const shares = this.#byService.get(serviceName);
      teamIds.forEach((teamId) => {
        const share = shares?.shares.get(teamId);
        if (share === undefined || share.entitlement <= 0) return;
        if (shares?.isOwed(teamId) === true) this.#yieldedTo.add(toGroupKey(serviceName, priority));
        worst = Math.min(worst, share.running / share.entitlement);
      });
    });
    this.#state.emit({ kind: 'record', name: 'team_share_worst', durationMs: worst * PERCENT });
    if (nowMs < this.#loggedAtMs + LOG_INTERVAL_MS) return;
    this.#loggedAtMs = nowMs;
    new Set(contended.map(({ serviceName }) => serviceName)).forEach((serviceName) => {
      const shares = this.#byService.get(serviceName);
      if (shares === undefined) return;
      this.#state.log('capacity is contended', {
        serviceName,
        priorities: contended
          .filter((group) => group.serviceName === serviceName)
          .map(({ priority }) => priority),
        teamCount: shares.shares.size,
        teams: CapacityShares.#describe(shares),
      });
    });
  }

  /** Shares in thousandths of the capacity, those of teams farthest from their entitlements first. */
  static #describe({ shares }: TeamShares): readonly object[] {
    const toThousandths = (fraction: number) => Math.round(1_000 * fraction);
    return [...shares.values()]
      .sort(
        (left, right) =>
          Math.abs(right.running - right.entitlement) - Math.abs(left.running - left.entitlement),
      )
      .slice(0, MAX_LOGGED_TEAMS)
      .map(({ teamId, running, entitlement, debt, isYielding }) => ({
        ...{ teamId, share: toThousandths(running), entitlement: toThousandths(entitlement) },
        ...{ debt: toThousandths(debt), isYielding },
      }));
  }
}
