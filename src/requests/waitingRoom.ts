/** The bounded queues of a scheduler by service, and the wait that a request must expect there. */

import type { OpenRequest } from './openRequest';
import { FairQueue } from './fairQueue';
import { ServiceTimes } from './serviceTimes';
import type { TeamOrder } from './types';

/** Requests that wait for a target. */
export class WaitingRoom {
  #teamOrder: TeamOrder;

  #queues = new Map<string, FairQueue>();

  #deadlinesMs = new Map<number, number>();

  #runningCounts = new Map<string, number>();

  #times = new ServiceTimes();

  /**
   * @param teamOrder - whose requests go first
   */
  constructor(teamOrder: TeamOrder) {
    this.#teamOrder = teamOrder;
  }

  /** Estimates by service. */
  get times(): ServiceTimes {
    return this.#times;
  }

  /** Requests that wait. */
  get size(): number {
    return this.#deadlinesMs.size;
  }

  /** Services that requests wait for. */
  get serviceNames(): readonly string[] {
    return [...this.#queues.keys()];
  }

  /**
   * Asks whether requests wait for a service.
   * @param serviceName - the service
   * @returns true when at least one does
   */
  has(serviceName: string): boolean {
    return this.#queues.has(serviceName);
  }

  /**
   * Adds a request.
   * @param request - it must not wait already
   */
  push(request: OpenRequest): void {
    const { callId, call, queue } = request.arrived;
    const known = this.#queues.get(call.serviceName) ?? new FairQueue(this.#teamOrder);
    this.#queues.set(call.serviceName, known);
    this.#deadlinesMs.set(callId, request.deadlineMs);
    known.push({
      callId,
      teamId: call.teamId,
      urgency: queue.urgency,
      deadlineMs: request.deadlineMs,
    });
  }

  /**
   * Removes a request, if it waits.
   * @param request - which
   */
  remove(request: OpenRequest): void {
    const { callId, call } = request.arrived;
    if (!this.#deadlinesMs.delete(callId)) return;
    const known = this.#queues.get(call.serviceName);
    known?.remove(callId);
    if (known?.size === 0) this.#queues.delete(call.serviceName);
  }

  /**
   * Gets the request that goes next.
   * @param serviceName - of which service
   * @returns its call, undefined when none waits
   */
  peek(serviceName: string): number | undefined {
    return this.#queues.get(serviceName)?.peek();
  }

  /**
   * Gets the requests whose window has passed.
   * @param nowMs - this process's clock
   * @returns their calls
   */
  getExpired(nowMs: number): readonly number[] {
    return [...this.#deadlinesMs]
      .filter(([, deadlineMs]) => nowMs >= deadlineMs)
      .map(([callId]) => callId);
  }

  /**
   * Counts a start.
   * @param serviceName - of which service
   */
  recordStart(serviceName: string): void {
    this.#runningCounts.set(serviceName, this.#getRunningCount(serviceName) + 1);
  }

  /**
   * Counts the end of an attempt.
   * @param serviceName - of which service
   */
  recordEnd(serviceName: string): void {
    const count = this.#getRunningCount(serviceName) - 1;
    if (count > 0) this.#runningCounts.set(serviceName, count);
    else this.#runningCounts.delete(serviceName);
  }

  /**
   * Asks whether a request can expect its answer within its window. By Little's law the wait is the
   * number ahead over the rate, and the rate is the number running over their mean time.
   * @param nowMs - this process's clock
   * @param request - the request
   * @returns false when it should be refused at once
   */
  isHopeful(nowMs: number, request: OpenRequest): boolean {
    const { call, queue } = request.arrived;
    const meanMs = this.#times.getMeanMs(call.serviceName);
    const aheadCount =
      this.#queues.get(call.serviceName)?.countAhead(queue.urgency, call.teamId) ?? 0;
    const runningCount = Math.max(1, this.#getRunningCount(call.serviceName));
    const expectedWaitMs = ((aheadCount + 1) * meanMs) / runningCount;
    const likelyMs = this.#times.getLikelyMs(call.serviceName);
    return nowMs + expectedWaitMs + likelyMs <= request.deadlineMs;
  }

  /**
   * Asks whether a request that waited would be answered too late if it started now.
   * @param nowMs - this process's clock
   * @param request - the request
   * @returns true when it should be refused, not run
   */
  isPastHope(nowMs: number, request: OpenRequest): boolean {
    return nowMs + this.#times.getLikelyMs(request.arrived.call.serviceName) > request.deadlineMs;
  }

  #getRunningCount(serviceName: string): number {
    return this.#runningCounts.get(serviceName) ?? 0;
  }
}
