/** Selects the scheduler that a call is forwarded to. */

import { getHomeShard } from '../lease/shards';
import type { MemberStatus, Routes } from '../rpc/types';
import type { DataCentreId, JobId, MemberId, RequestId } from '../types/ids';

/** Properties of a request that determine which schedulers can serve it. */
export interface RoutingRequirements {
  readonly requestId: RequestId;
  readonly isIdempotent: boolean;
  readonly serviceName: string;
}

/** Score bonus, in free slots, of schedulers in the gate's own data centre. */
const LOCAL_BONUS_SLOTS = 4;

/** Routes calls based on the latest routes received from a scheduler. */
export class Router {
  #dataCentreId: DataCentreId;

  #routes: Routes | undefined;

  /**
   * @param dataCentreId - data centre of the gate
   */
  constructor(dataCentreId: DataCentreId) {
    this.#dataCentreId = dataCentreId;
  }

  /** Known schedulers. */
  get members(): readonly MemberStatus[] {
    return this.#routes?.members ?? [];
  }

  /**
   * Replaces the routes.
   * @param routes - the latest routes from a scheduler
   */
  update(routes: Routes): void {
    this.#routes = routes;
  }

  /**
   * Gets the home scheduler of a job or a non-idempotent request.
   * @param id - id of the job or request
   * @returns the scheduler, or undefined if it is not known
   */
  tryGetHome(id: JobId | RequestId): MemberStatus | undefined {
    const shardId = getHomeShard(id);
    const owner = this.#routes?.homeOwners.find((homeOwner) => homeOwner.shardId === shardId);
    return this.members.find((member) => member.memberId === owner?.memberId);
  }

  /**
   * Selects the scheduler for a request.
   * @param requirements - properties of the request
   * @param triedMemberIds - members that the request was already sent to
   * @returns the scheduler, or undefined if none is suitable
   */
  tryPickScheduler(
    requirements: RoutingRequirements,
    triedMemberIds: ReadonlySet<MemberId>,
  ): MemberStatus | undefined {
    if (!requirements.isIdempotent) {
      const home = this.tryGetHome(requirements.requestId);
      return home !== undefined && !triedMemberIds.has(home.memberId) ? home : undefined;
    }
    const eligible = this.members
      .filter((member) => !member.isDraining && !triedMemberIds.has(member.memberId))
      .filter((member) => member.activeShards.length > 0)
      .filter(
        (member) =>
          requirements.serviceName === '' || member.services.includes(requirements.serviceName),
      );
    return eligible
      .map((member) => ({ member, score: this.#getScore(member) }))
      .sort((left, right) => right.score - left.score)
      .map(({ member }) => member)[0];
  }

  #getScore(member: MemberStatus): number {
    const bonus = member.dataCentreId === this.#dataCentreId ? LOCAL_BONUS_SLOTS : 0;
    return member.freeSlots - member.queuedRequests + bonus;
  }
}
