/** Waiting requests of one service: by urgency, then by the teams' order at this moment. */

import type { Queue } from '../config/types';
import type { TeamId } from '../types/ids';
import { RequestQueue } from './requestQueue';
import type { TeamOrder } from './types';

/** A request as it waits. */
export interface WaitingRequest {
  readonly callId: number;
  readonly teamId: TeamId;
  readonly urgency: Queue['urgency'];
  readonly deadlineMs: number;
}

const URGENCIES: readonly Queue['urgency'][] = ['urgent', 'normal', 'background'];

interface TeamQueue {
  readonly teamId: TeamId;
  readonly queue: RequestQueue;
}

/** One queue for each urgency and team; the head of the team that goes first goes first. */
export class FairQueue {
  #teamOrder: TeamOrder;

  #teams = new Map<Queue['urgency'], Map<TeamId, TeamQueue>>();

  #waiting = new Map<number, WaitingRequest>();

  /**
   * @param teamOrder - whose requests go first; asked whenever a request is about to start
   */
  constructor(teamOrder: TeamOrder) {
    this.#teamOrder = teamOrder;
    URGENCIES.forEach((urgency) => this.#teams.set(urgency, new Map()));
  }

  /** Requests that wait. */
  get size(): number {
    return this.#waiting.size;
  }

  /**
   * Adds a request.
   * @param request - it must not wait already
   */
  push(request: WaitingRequest): void {
    const { callId, teamId, urgency, deadlineMs } = request;
    const teams = this.#teams.get(urgency);
    const known = teams?.get(teamId) ?? { teamId, queue: new RequestQueue() };
    teams?.set(teamId, known);
    known.queue.push(callId, { urgency, teamPriority: 0, deadlineMs });
    this.#waiting.set(callId, request);
  }

  /**
   * Removes a request, if it waits.
   * @param callId - which
   */
  remove(callId: number): void {
    const request = this.#waiting.get(callId);
    if (request === undefined) return;
    this.#waiting.delete(callId);
    const teams = this.#teams.get(request.urgency);
    const known = teams?.get(request.teamId);
    known?.queue.remove(callId);
    if (known?.queue.size === 0) teams?.delete(request.teamId);
  }

  /**
   * Gets the request that goes next. Teams of equal priority go by their heads' deadlines.
   * @returns its call, undefined when none waits
   */
  peek(): number | undefined {
    const teams = URGENCIES.map((urgency) => this.#teams.get(urgency)).find(
      (known) => known !== undefined && known.size > 0,
    );
    let best: WaitingRequest | undefined;
    let bestPriority = Number.POSITIVE_INFINITY;
    teams?.forEach(({ teamId, queue }) => {
      const head = this.#waiting.get(queue.peek() ?? -1);
      if (head === undefined) return;
      const priority = this.#teamOrder.getPriority(teamId);
      const isEarlier = priority === bestPriority && head.deadlineMs < (best?.deadlineMs ?? 0);
      if (best !== undefined && priority >= bestPriority && !isEarlier) return;
      best = head;
      bestPriority = priority;
    });
    return best?.callId;
  }

  /**
   * Counts the requests that would go before a new one of a team. Under a fair order no more go
   * before it than every waiting team's turn for each of its own.
   * @param urgency - of the new request
   * @param teamId - of the new request
   * @returns the requests ahead of it, at most
   */
  countAhead(urgency: Queue['urgency'], teamId: TeamId): number {
    const ranks = URGENCIES.slice(0, URGENCIES.indexOf(urgency));
    const moreUrgentCount = ranks.reduce((sum, rank) => sum + this.#count(rank), 0);
    const teams = this.#teams.get(urgency);
    const ownCount = teams?.get(teamId)?.queue.size ?? 0;
    const turnCount = (ownCount + 1) * ((teams?.size ?? 0) + (ownCount === 0 ? 1 : 0));
    return moreUrgentCount + Math.min(this.#count(urgency), turnCount - 1);
  }

  #count(urgency: Queue['urgency']): number {
    return [...(this.#teams.get(urgency)?.values() ?? [])].reduce(
      (sum, { queue }) => sum + queue.size,
      0,
    );
  }
}
