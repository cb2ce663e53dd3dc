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

  #teamQueuesByUrgency = new Map<Queue['urgency'], Map<TeamId, TeamQueue>>();

  #waitingByCallId = new Map<number, WaitingRequest>();

  /**
   * @param teamOrder - supplies team priorities; read each time the next request is selected
   */
  constructor(teamOrder: TeamOrder) {
    this.#teamOrder = teamOrder;
    URGENCIES.forEach((urgency) => this.#teamQueuesByUrgency.set(urgency, new Map()));
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.#waitingByCallId.size;
  }

  /**
   * Adds a request.
   * @param request - a request that is not in the queue yet
   */
  push(request: WaitingRequest): void {
    const { callId, teamId, urgency, deadlineMs } = request;
    const teamQueues = this.#teamQueuesByUrgency.get(urgency);
    const teamQueue = teamQueues?.get(teamId) ?? { teamId, queue: new RequestQueue() };
    teamQueues?.set(teamId, teamQueue);
    teamQueue.queue.push(callId, { urgency, teamPriority: 0, deadlineMs });
    this.#waitingByCallId.set(callId, request);
  }

  /**
   * Removes a request; does nothing if it is not queued.
   * @param callId - call id of the request
   */
  remove(callId: number): void {
    const request = this.#waitingByCallId.get(callId);
    if (request === undefined) return;
    this.#waitingByCallId.delete(callId);
    const teamQueues = this.#teamQueuesByUrgency.get(request.urgency);
    const teamQueue = teamQueues?.get(request.teamId);
    teamQueue?.queue.remove(callId);
    if (teamQueue?.queue.size === 0) teamQueues?.delete(request.teamId);
  }

  /**
   * Gets the next request. Between teams of equal priority, the earlier head deadline wins.
   * @returns its call id, or undefined if the queue is empty
   */
  peek(): number | undefined {
    const teamQueues = URGENCIES.map((urgency) => this.#teamQueuesByUrgency.get(urgency)).find(
      (candidates) => candidates !== undefined && candidates.size > 0,
    );
    let best: WaitingRequest | undefined;
    let bestPriority = Number.POSITIVE_INFINITY;
    teamQueues?.forEach(({ teamId, queue }) => {
      const head = this.#waitingByCallId.get(queue.peek() ?? -1);
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
    const higherUrgencies = URGENCIES.slice(0, URGENCIES.indexOf(urgency));
    const moreUrgentCount = higherUrgencies.reduce(
      (sum, higherUrgency) => sum + this.#count(higherUrgency),
      0,
    );
    const teamQueues = this.#teamQueuesByUrgency.get(urgency);
    const ownCount = teamQueues?.get(teamId)?.queue.size ?? 0;
    const maxFairCount = (ownCount + 1) * ((teamQueues?.size ?? 0) + (ownCount === 0 ? 1 : 0));
    return moreUrgentCount + Math.min(this.#count(urgency), maxFairCount - 1);
  }

  #count(urgency: Queue['urgency']): number {
    return [...(this.#teamQueuesByUrgency.get(urgency)?.values() ?? [])].reduce(
      (sum, { queue }) => sum + queue.size,
      0,
    );
  }
}
