/** Request queues of a scheduler, one per service, with an estimate of the queueing delay. */

import type { OpenRequest } from './openRequest';
import { FairQueue } from './fairQueue';
import { LatencyEstimator } from './latencyEstimator';
import type { TeamOrder } from './types';

/** Requests that are waiting for a target. */
export class WaitQueues {
  #teamOrder: TeamOrder;

  #queuesByService = new Map<string, FairQueue>();

  #deadlinesMsByCallId = new Map<number, number>();

  #runningCounts = new Map<string, number>();

  #times = new LatencyEstimator();

  /**
   * @param teamOrder - supplies team priorities
   */
  constructor(teamOrder: TeamOrder) {
    this.#teamOrder = teamOrder;
  }

  /** Latency estimates by service. */
  get times(): LatencyEstimator {
    return this.#times;
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.#deadlinesMsByCallId.size;
  }

  /** Names of the services with waiting requests. */
  get serviceNames(): readonly string[] {
    return [...this.#queuesByService.keys()];
  }

  /**
   * Checks whether any request is waiting for a service.
   * @param serviceName - name of the service
   * @returns true if at least one request is waiting
   */
  has(serviceName: string): boolean {
    return this.#queuesByService.has(serviceName);
  }

  /**
   * Adds a request.
   * @param request - a request that is not queued yet
   */
  push(request: OpenRequest): void {
    const { callId, call, queue } = request.arrived;
    const fairQueue = this.#queuesByService.get(call.serviceName) ?? new FairQueue(this.#teamOrder);
    this.#queuesByService.set(call.serviceName, fairQueue);
    this.#deadlinesMsByCallId.set(callId, request.deadlineMs);
    fairQueue.push({
      callId,
      teamId: call.teamId,
      urgency: queue.urgency,
      deadlineMs: request.deadlineMs,
    });
  }

  /**
   * Removes a request; does nothing if it is not queued.
   * @param request - the request
   */
  remove(request: OpenRequest): void {
    const { callId, call } = request.arrived;
    if (!this.#deadlinesMsByCallId.delete(callId)) return;
    const fairQueue = this.#queuesByService.get(call.serviceName);
    fairQueue?.remove(callId);
    if (fairQueue?.size === 0) this.#queuesByService.delete(call.serviceName);
  }

  /**
   * Gets the next request of a service.
   * @param serviceName - name of the service
   * @returns its call id, or undefined if no request is waiting
   */
  peek(serviceName: string): number | undefined {
    return this.#queuesByService.get(serviceName)?.peek();
  }

  /**
   * Gets the waiting requests whose deadline has passed.
   * @param nowMs - current time of this process's monotonic clock
   * @returns their call ids
   */
  getExpired(nowMs: number): readonly number[] {
    return [...this.#deadlinesMsByCallId]
      .filter(([, deadlineMs]) => nowMs >= deadlineMs)
      .map(([callId]) => callId);
  }

  /**
   * Records the start of an attempt.
   * @param serviceName - name of the service
   */
  recordStart(serviceName: string): void {
    this.#runningCounts.set(serviceName, this.#getRunningCount(serviceName) + 1);
  }

  /**
   * Records the end of an attempt.
   * @param serviceName - name of the service
   */
  recordEnd(serviceName: string): void {
    const count = this.#getRunningCount(serviceName) - 1;
    if (count > 0) this.#runningCounts.set(serviceName, count);
    else this.#runningCounts.delete(serviceName);
  }

  /**
   * Estimates whether a request will be answered before its deadline. By Little's law the queueing
   * delay is the number of requests ahead divided by the service rate, and the rate is the number
   * of running requests divided by their mean latency.
   * @param nowMs - current time of this process's monotonic clock
   * @param request - the request
   * @returns false if the request should be refused immediately
   */
  canMeetDeadline(nowMs: number, request: OpenRequest): boolean {
    const { call, queue } = request.arrived;
    const meanMs = this.#times.getMeanMs(call.serviceName);
    const aheadCount =
      this.#queuesByService.get(call.serviceName)?.countAhead(queue.urgency, call.teamId) ?? 0;
    const runningCount = Math.max(1, this.#getRunningCount(call.serviceName));
    const expectedWaitMs = ((aheadCount + 1) * meanMs) / runningCount;
    const tailMs = this.#times.getTailMs(call.serviceName);
    return nowMs + expectedWaitMs + tailMs <= request.deadlineMs;
  }

  /**
   * Estimates whether a waiting request would miss its deadline if it started now.
   * @param nowMs - current time of this process's monotonic clock
   * @param request - the request
   * @returns true if the request should be refused instead of started
   */
  wouldMissDeadline(nowMs: number, request: OpenRequest): boolean {
    return nowMs + this.#times.getTailMs(request.arrived.call.serviceName) > request.deadlineMs;
  }

  #getRunningCount(serviceName: string): number {
    return this.#runningCounts.get(serviceName) ?? 0;
  }
}
