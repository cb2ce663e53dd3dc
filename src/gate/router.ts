/** Picks the scheduler that a call goes to. */

import { getHomeShard } from '../lease/shards';
import type { MemberStatus, Routes } from '../rpc/types';
import type { DataCentreId, JobId, MemberId, RequestId } from '../types/ids';

/** What a request needs of the scheduler that it goes to. */
export interface RoutingNeed {
  readonly requestId: RequestId;
  readonly isIdempotent: boolean;
  readonly serviceName: string;
}

/** Prefers schedulers of the gate's own data centre by this many free slots. */
const NEAR_BONUS_SLOTS = 4;

/** Routing from the routes heard last. */
export class Router {
  #dataCentreId: DataCentreId;

  #routes: Routes | undefined;

  /**
   * @param dataCentreId - where the gate is
   */
  constructor(dataCentreId: DataCentreId) {
    this.#dataCentreId = dataCentreId;
  }

  /** Schedulers heard of. */
  get members(): readonly MemberStatus[] {
    return this.#routes?.members ?? [];
  }

  /**
   * Takes in newer routes.
   * @param routes - from a scheduler
   */
  update(routes: Routes): void {
    this.#routes = routes;
  }

  /**
   * Gets the scheduler that is home to a job or a non-idempotent request.
   * @param id - the job's or request's id
   * @returns the scheduler, or undefined when none is known
   */
  tryGetHome(id: JobId | RequestId): MemberStatus | undefined {
    const shardId = getHomeShard(id);
    const owner = this.#routes?.homeOwners.find((known) => known.shardId === shardId);
    return this.members.find((member) => member.memberId === owner?.memberId);
  }

  /**
   * Picks the scheduler for a request.
   * @param need - what the request needs
   * @param tried - members that refused it before
   * @returns the scheduler, or undefined when none suits
   */
  tryPick(need: RoutingNeed, tried: ReadonlySet<MemberId>): MemberStatus | undefined {
    if (!need.isIdempotent) {
      const home = this.tryGetHome(need.requestId);
      return home !== undefined && !tried.has(home.memberId) ? home : undefined;
    }
    const usable = this.members
      .filter((member) => !member.isDraining && !tried.has(member.memberId))
      .filter((member) => member.activeShards.length > 0)
      .filter((member) => need.serviceName === '' || member.services.includes(need.serviceName));
    return usable
      .map((member) => ({ member, score: this.#getScore(member) }))
      .sort((left, right) => right.score - left.score)
      .map(({ member }) => member)[0];
  }

  #getScore(member: MemberStatus): number {
    const bonus = member.dataCentreId === this.#dataCentreId ? NEAR_BONUS_SLOTS : 0;
    return member.freeSlots - member.queuedRequests + bonus;
  }
}
