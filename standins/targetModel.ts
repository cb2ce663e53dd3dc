/** In-memory model of one target, which runs tasks under leases and requests in slots. */

import type {
  FencingToken,
  RunningRequest,
  TargetCall,
  TargetReport,
  TargetResult,
  TaskReport,
} from '../src/target/types';
import { assertNever } from '../src/types/debug';
import { toEpoch } from '../src/types/ids';
import type { Epoch, RequestId, TaskId, TeamId } from '../src/types/ids';
import { addResources, isFitting, NO_RESOURCES } from '../src/types/resources';
import type { ResourceVector } from '../src/types/resources';

/** Faults that a test can inject. */
export interface TargetFaults {
  /** The target accepts connections but does not respond in time. */
  readonly isBlackHole: boolean;
  /** All tasks and requests that start fail. */
  readonly isFailingEverything: boolean;
  /** The platform has told the target that it will be removed. */
  readonly isLeaving: boolean;
  /** Rejects stale fencing tokens; false for a target whose interface carries no tokens. */
  readonly isFencing: boolean;
}

/** No faults. */
export const NO_TARGET_FAULTS: TargetFaults = {
  isBlackHole: false,
  isFailingEverything: false,
  isLeaving: false,
  isFencing: true,
};

interface HostedTask {
  readonly taskId: TaskId;
  readonly teamId: TeamId;
  readonly demand: ResourceVector;
  readonly annotation: string;
  readonly runMs: number;
  startTimeMs: number;
  leaseExpiryMs: number;
  endTimeMs: number;
  resumeFraction: number;
  state: TaskReport['state'];
}

type StartTaskCall = Extract<TargetCall, { kind: 'startTask' }>;

/** A violation of a scheduling guarantee, as observed by the target. */
export interface TargetViolation {
  readonly atMs: number;
  readonly detail: string;
}

function getCompletedFraction(task: HostedTask, nowMs: number): number {
  if (task.runMs <= 0) return 0;
  const ranMs = Math.min(nowMs, task.endTimeMs) - task.startTimeMs;
  return Math.min(1, task.resumeFraction + ranMs / task.runMs);
}

/** State of one target and the calls that change it. */
export class TargetModel {
  #capacity: ResourceVector;

  #faults: TargetFaults = NO_TARGET_FAULTS;

  #highestEpoch: Epoch = toEpoch(0);

  #tasks = new Map<TaskId, HostedTask>();

  #requests: RunningRequest[] = [];

  #violations: TargetViolation[] = [];

  #startedCount = 0;

  /**
   * @param capacity - total resources of the target
   */
  constructor(capacity: ResourceVector) {
    this.#capacity = capacity;
  }

  /** Currently injected faults. */
  get faults(): TargetFaults {
    return this.#faults;
  }

  /** Observed violations: overcommitment of the capacity. */
  get violations(): readonly TargetViolation[] {
    return this.#violations;
  }

  /** Number of tasks and requests started. */
  get startedCount(): number {
    return this.#startedCount;
  }

  /**
   * Gets the tasks in a state, for assertions in tests.
   * @param state - the state
   * @param nowMs - current time of the target's clock
   * @returns ids of the tasks
   */
  getTaskIds(state: TaskReport['state'], nowMs: number): readonly TaskId[] {
    this.#updateTaskStates(nowMs);
    return [...this.#tasks.values()]
      .filter((task) => task.state === state)
      .map((task) => task.taskId);
  }

  /**
   * Changes the injected faults.
   * @param faults - the fields to change
   */
  setFaults(faults: Partial<TargetFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
  }

  /**
   * Checks a fencing token and records the highest epoch seen.
   * @param token - fencing token of a call
   * @returns true when a higher epoch has been seen before
   */
  isStale(token: FencingToken): boolean {
    if (!this.#faults.isFencing) return false;
    if (token.epoch < this.#highestEpoch) return true;
    this.#highestEpoch = token.epoch;
    return false;
  }

  /**
   * Executes a call other than a request.
   * @param call - the call
   * @param nowMs - current time of the target's clock
   * @returns the result
   */
  perform(call: Exclude<TargetCall, { kind: 'request' }>, nowMs: number): TargetResult {
    if (this.isStale(call.token)) return this.#createRefusal('stale epoch');
    this.#updateTaskStates(nowMs);
    switch (call.kind) {
      case 'startTask':
        return this.#startTask(call, nowMs);
      case 'renew':
        this.#tasks.forEach((task) => {
          task.leaseExpiryMs = nowMs + call.leaseMs;
        });
        return { kind: 'accepted' };
      case 'report':
        return { kind: 'report', report: this.#createReport(nowMs) };
      case 'checkpoint':
      case 'throttle':
        return this.#tasks.has(call.taskId)
          ? { kind: 'accepted' }
          : this.#createRefusal('unknown task');
      case 'stop': {
        const task = this.#tasks.get(call.taskId);
        if (task === undefined) return this.#createRefusal('unknown task');
        TargetModel.#endTask(task, 'stopped', nowMs);
        return { kind: 'accepted' };
      }
      case 'acknowledge': {
        if (this.#tasks.get(call.taskId)?.state === 'running')
          return this.#createRefusal('still runs');
        this.#tasks.delete(call.taskId);
        return { kind: 'accepted' };
      }
      default:
        return assertNever(call);
    }
  }

  /**
   * Occupies a slot and a connection for a request.
   * @param token - fencing token of the call
   * @param teamId - team that sent the request
   * @param nowMs - current time of the target's clock
   * @param requestId - id of the request
   * @returns undefined when the request may run, otherwise the refusal
   */
  tryBeginRequest(
    token: FencingToken,
    teamId: TeamId,
    nowMs: number,
    requestId: RequestId,
  ): TargetResult | undefined {
    if (this.isStale(token)) return this.#createRefusal('stale epoch');
    this.#updateTaskStates(nowMs);
    this.#requests.push({ requestId, teamId });
    this.#startedCount += 1;
    this.#checkCapacity(nowMs);
    return undefined;
  }

  /**
   * Releases the slot and connection of a request.
   * @param teamId - team that sent the request
   * @param requestId - id of the request
   */
  endRequest(teamId: TeamId, requestId: RequestId): void {
    const index = this.#requests.findIndex(
      (running) => running.requestId === requestId && running.teamId === teamId,
    );
    this.#requests.splice(index, 1);
  }

  #createRefusal(detail: string): TargetResult {
    return { kind: 'refused', detail, highestEpoch: this.#highestEpoch };
  }

  #startTask(call: StartTaskCall, nowMs: number): TargetResult {
    if (this.#tasks.has(call.taskId)) return { kind: 'accepted' };
    this.#startedCount += 1;
    this.#tasks.set(call.taskId, {
      taskId: call.taskId,
      teamId: call.teamId,
      demand: call.demand,
      annotation: call.annotation,
      runMs: call.runMs,
      startTimeMs: nowMs,
      leaseExpiryMs: nowMs + call.leaseMs,
      endTimeMs: this.#faults.isFailingEverything ? nowMs : Number.POSITIVE_INFINITY,
      resumeFraction: call.resumeFraction,
      state: this.#faults.isFailingEverything ? 'failed' : 'running',
    });
    this.#checkCapacity(nowMs);
    return { kind: 'accepted' };
  }

  #updateTaskStates(nowMs: number): void {
    this.#tasks.forEach((task) => {
      if (task.state !== 'running') return;
      if (task.runMs > 0 && getCompletedFraction(task, Math.min(nowMs, task.leaseExpiryMs)) >= 1) {
        TargetModel.#endTask(task, 'finished', nowMs);
      } else if (nowMs > task.leaseExpiryMs)
        TargetModel.#endTask(task, 'stopped', task.leaseExpiryMs);
    });
  }

  static #endTask(task: HostedTask, state: TaskReport['state'], endTimeMs: number): void {
    if (task.state !== 'running') return;
    task.state = state;
    task.endTimeMs = endTimeMs;
  }

  /** Ended tasks are reported until the owner acknowledges them. */
  #createReport(nowMs: number): TargetReport {
    const tasks = [...this.#tasks.values()].map((task) => ({
      taskId: task.taskId,
      teamId: task.teamId,
      state: task.state,
      usage: task.demand,
      demand: task.demand,
      checkpointFraction: getCompletedFraction(task, nowMs),
      annotation: task.annotation,
    }));
    return {
      highestEpoch: this.#highestEpoch,
      leaving: this.#faults.isLeaving,
      requests: [...this.#requests],
      tasks,
    };
  }

  #checkCapacity(nowMs: number): void {
    const tasks = [...this.#tasks.values()].filter((task) => task.state === 'running');
    const taskUsage = tasks.reduce((sum, task) => addResources(sum, task.demand), NO_RESOURCES);
    const requestUsage = {
      ...NO_RESOURCES,
      slots: this.#requests.length,
      connections: this.#requests.length,
    };
    const totalUsage = addResources(taskUsage, requestUsage);
    if (isFitting(totalUsage, this.#capacity)) return;
    this.#violations.push({ atMs: nowMs, detail: `overcommitted: ${JSON.stringify(totalUsage)}` });
  }
}
