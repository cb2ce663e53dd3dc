/**
 * Queue of the waiting requests of one service, ordered by urgency, then by current team priority.
 */

import type { Queue } from '../config/types';
import type { TeamId } from '../types/ids';
import { RequestQueue } from './requestQueue';
import type { TeamOrder } from './types';

/** A request that is waiting in the queue. */
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

/**
 * Keeps one queue per urgency and team; the next request is the head of the highest-priority team's
 * queue.
 */
export class FairQueue {
  #teamOrder: TeamOrder;

  #teams = new Map<Queue['urgency'], Map<TeamId, TeamQueue>>();

  #waiting = new Map<number, WaitingRequest>();

  /**
   * @param teamOrder - supplies team priorities; read each time the next request is selected
   */
  constructor(teamOrder: TeamOrder) {
    this.#teamOrder = teamOrder;
    URGENCIES.forEach((urgency) => this.#teams.set(urgency, new Map()));
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.#waiting.size;
  }

  /**
   * Adds a request.
   * @param request - a request that is not in the queue yet
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
   * Removes a request; does nothing if it is not queued.
   * @param callId - call id of the request
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
   * Gets the next request. Between teams of equal priority, the earlier head deadline wins.
   * @returns its call id, or undefined if the queue is empty
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
   * Counts the requests that would be served before a new one. Within its urgency, fair sharing
   * bounds the number by one request of every waiting team per request of the new request's own
   * team.
   * @param urgency - urgency of the new request
   * @param teamId - team of the new request
   * @returns an upper bound on the number of requests ahead
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
