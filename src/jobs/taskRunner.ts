/** Runs tasks on the targets that this scheduler owns, and tells their homes what became of them. */

import { BestFit } from '../placement/bestFit';
import type { Charge, Target } from '../placement/types';
import type { TargetPool } from '../placement/targetPool';
import type { StartGuard, StartPermit } from '../requests/types';
import type { TaskStart } from '../rpc/types';
import type { TargetCall, TargetReport, TargetResult, TaskReport } from '../target/types';
import { assertNever } from '../types/debug';
import type { JobId, ShardId, TargetId, TaskId, TeamId } from '../types/ids';
import { pickSurplus } from './surplus';
import type { TaskAnnotation, TaskNews } from './types';

/** Lease that a task runs under; renewed with every report. */
export const TASK_LEASE_MS = 15_000;
const TARGET_TIMEOUT_MS = 2_000;

/** Which call a target's result belongs to. */
export type TaskOrigin =
  | { readonly kind: 'taskStart'; readonly taskId: TaskId }
  | { readonly kind: 'taskAcknowledge'; readonly taskId: TaskId }
  /** A checkpoint that is followed by a stop, for a task above its team's limit. */
  | { readonly kind: 'taskCheckpoint'; readonly taskId: TaskId }
  | { readonly kind: 'taskStop'; readonly taskId: TaskId };

/** What the task runner wants done. */
export type TaskEffect =
  | {
      readonly kind: 'callTarget';
      readonly origin: TaskOrigin;
      readonly address: string;
      readonly call: TargetCall;
      readonly timeoutMs: number;
      readonly notAfterMs: number;
    }
  | { readonly kind: 'tellHome'; readonly news: TaskNews };

/** What runs of a team on a shard above its allotment. */
export interface TeamSurplus {
  readonly shardId: ShardId;
  readonly teamId: TeamId;
  readonly slots: number;
}

interface RunningTask {
  readonly taskId: TaskId;
  readonly jobId: JobId;
  readonly targetId: TargetId;
  readonly serviceName: string;
  readonly charge: Charge;
  isConfirmed: boolean;
  isStopping: boolean;
  checkpointFraction: number;
}

function parseAnnotation(text: string): TaskAnnotation {
  return JSON.parse(text) as TaskAnnotation;
}

function createStartCall(start: TaskStart, target: Target, permit: StartPermit): TaskEffect {
  const annotation: TaskAnnotation = {
    jobId: start.jobId,
    queueId: start.queueId,
    serviceName: start.serviceName,
    dataCentreId: target.dataCentreId,
  };
  return {
    kind: 'callTarget',
    origin: { kind: 'taskStart', taskId: start.taskId },
    address: target.address,
    call: {
      kind: 'startTask',
      token: { shardId: target.shardId, epoch: permit.epoch },
      taskId: start.taskId,
      teamId: start.teamId,
      demand: start.demand,
      leaseMs: TASK_LEASE_MS,
      runMs: start.runMs,
      resumeFraction: start.resumeFraction,
      annotation: JSON.stringify(annotation),
    },
    timeoutMs: TARGET_TIMEOUT_MS,
    notAfterMs: permit.untilMs,
  };
}

function createNews(
  task: RunningTask,
  state: TaskNews['state'],
  checkpointFraction: number,
): TaskEffect {
  const { taskId, jobId, targetId } = task;
  return {
    kind: 'tellHome',
    news: { kind: 'taskNews', taskId, jobId, targetId, state, checkpointFraction },
  };
}

function createRefusal({ taskId, jobId }: TaskStart): TaskEffect {
  const news = {
    kind: 'taskNews',
    taskId,
    jobId,
    targetId: '' as TargetId,
    state: 'refused',
    checkpointFraction: 0,
  } as const;
  return { kind: 'tellHome', news };
}

/** The owner's side of every task on its targets. */
export class TaskRunner {
  #pool: TargetPool;

  #guard: StartGuard;

  #bestFit: BestFit;

  #tasks = new Map<TaskId, RunningTask>();

  /**
   * @param pool - budgets of the targets
   * @param guard - the check at the moment of each start
   */
  constructor(pool: TargetPool, guard: StartGuard) {
    this.#pool = pool;
    this.#guard = guard;
    this.#bestFit = new BestFit(pool, guard);
  }

  /** Tasks that run or may run. */
  get taskCount(): number {
    return this.#tasks.size;
  }

  /** Services with a confirmed replica. */
  get services(): readonly string[] {
    const names = [...this.#tasks.values()]
      .filter((task) => task.isConfirmed && task.serviceName !== '')
      .map((task) => task.serviceName);
    return [...new Set(names)];
  }

  /**
   * Gets the targets that run a replica of a service.
   * @param serviceName - which service
   * @returns the targets
   */
  getReplicas(serviceName: string): readonly Target[] {
    return [...this.#tasks.values()]
      .filter((task) => task.isConfirmed && task.serviceName === serviceName)
      .map((task) => this.#pool.get(task.targetId))
      .filter((target): target is Target => target !== undefined);
  }

  /**
   * Starts a task on the owned target that it fills best.
   * @param nowMs - this process's clock
   * @param start - the task
   * @returns what to do
   */
  start(nowMs: number, start: TaskStart): readonly TaskEffect[] {
    const known = this.#tasks.get(start.taskId);
    if (known !== undefined) return known.isConfirmed ? [createNews(known, 'running', 0)] : [];
    const target = this.#getBestFit(nowMs, start);
    const permit = target && this.#guard.tryGetPermit(target, nowMs);
    if (target === undefined || permit === undefined) return [createRefusal(start)];
    const charged = this.#pool.tryCharge(target.targetId, start.teamId, start.demand);
    if (charged.kind !== 'charged') return [createRefusal(start)];
    this.#tasks.set(start.taskId, {
      taskId: start.taskId,
      jobId: start.jobId,
      targetId: target.targetId,
      serviceName: start.serviceName,
      charge: charged.charge,
      isConfirmed: false,
      isStopping: false,
      checkpointFraction: start.resumeFraction,
    });
    return [createStartCall(start, target, permit)];
  }

  /**
   * Takes in what came of a call to a target. A lost start is settled by the target's next report.
   * @param nowMs - this process's clock
   * @param origin - which call
   * @param result - what came
   * @returns what to do
   */
  applyTargetResult(
    nowMs: number,
    origin: TaskOrigin,
    result: TargetResult,
  ): readonly TaskEffect[] {
    const task = this.#tasks.get(origin.taskId);
    if (task === undefined) return [];
    switch (origin.kind) {
      case 'taskStart':
        return this.#applyStart(task, result);
      case 'taskAcknowledge':
        return [];
      case 'taskCheckpoint':
        return this.#callOwned(nowMs, task, 'stop');
      case 'taskStop':
        return this.#applyStop(task, result);
      default:
        return assertNever(origin);
    }
  }

  /**
   * Checkpoints and stops what runs of a team above its allotment on a shard.
   * @param nowMs - this process's clock
   * @param surplus - how much of which team where
   * @returns what to do
   */
  stopSurplus(nowMs: number, { shardId, teamId, slots }: TeamSurplus): readonly TaskEffect[] {
    const candidates = [...this.#tasks.values()]
      .filter(({ charge }) => charge.shardId === shardId && charge.teamId === teamId)
      .map((task) => ({
        task,
        slots: task.charge.demand.slots,
        serviceName: task.serviceName,
        isStopping: task.isStopping,
      }));
    return pickSurplus(candidates, slots).flatMap(({ task }) => {
      if (!task.isConfirmed) return [];
      task.isStopping = true;
      return this.#callOwned(nowMs, task, 'checkpoint');
    });
  }

  #callOwned(nowMs: number, task: RunningTask, kind: 'checkpoint' | 'stop'): readonly TaskEffect[] {
    const target = this.#pool.get(task.targetId);
    const permit = target && this.#guard.tryGetOwnerPermit(target, nowMs);
    if (target === undefined || permit === undefined) return [];
    const { taskId } = task;
    return [
      {
        kind: 'callTarget',
        origin: { kind: kind === 'checkpoint' ? 'taskCheckpoint' : 'taskStop', taskId },
        address: target.address,
        call: { kind, token: { shardId: target.shardId, epoch: permit.epoch }, taskId },
        timeoutMs: TARGET_TIMEOUT_MS,
        notAfterMs: permit.untilMs,
      },
    ];
  }

  #applyStop(task: RunningTask, result: TargetResult): readonly TaskEffect[] {
    if (result.kind !== 'accepted') {
      task.isStopping = false;
      return [];
    }
    this.#forget(task);
    return [createNews(task, 'stopped', task.checkpointFraction)];
  }

  #applyStart(task: RunningTask, result: TargetResult): readonly TaskEffect[] {
    if (result.kind === 'accepted') {
      task.isConfirmed = true;
      return [createNews(task, 'running', 0)];
    }
    if (result.kind !== 'refused' && result.kind !== 'notSent') return [];
    this.#forget(task);
    return [createNews(task, 'refused', 0)];
  }

  /**
   * Brings the tasks of one target in line with what it reports, also after taking it over.
   * @param target - which target
   * @param permit - the ownership under which the report was asked for
   * @param report - what it says
   * @returns what to do
   */
  applyReport(target: Target, permit: StartPermit, report: TargetReport): readonly TaskEffect[] {
    return report.tasks.flatMap((task) => this.#applyTaskReport(target, permit, task));
  }

  /**
   * Drops what ran on a shard that this scheduler no longer owns.
   * @param targets - the shard's targets
   */
  forgetTargets(targets: readonly Target[]): void {
    const ids = new Set(targets.map((target) => target.targetId));
    this.#tasks.forEach((task) => {
      if (ids.has(task.targetId)) this.#forget(task);
    });
  }

  #applyTaskReport(target: Target, permit: StartPermit, report: TaskReport): readonly TaskEffect[] {
    const known = this.#tasks.get(report.taskId) ?? this.#adopt(target, report);
    known.checkpointFraction = report.checkpointFraction;
    if (report.state === 'running') {
      if (known.isConfirmed) return [];
      known.isConfirmed = true;
      return [createNews(known, 'running', report.checkpointFraction)];
    }
    this.#forget(known);
    return [
      createNews(known, report.state, report.checkpointFraction),
      {
        kind: 'callTarget',
        origin: { kind: 'taskAcknowledge', taskId: report.taskId },
        address: target.address,
        call: {
          kind: 'stop',
          token: { shardId: target.shardId, epoch: permit.epoch },
          taskId: report.taskId,
        },
        timeoutMs: TARGET_TIMEOUT_MS,
        notAfterMs: permit.untilMs,
      },
    ];
  }

  #adopt(target: Target, report: TaskReport): RunningTask {
    const annotation = parseAnnotation(report.annotation);
    const task: RunningTask = {
      taskId: report.taskId,
      jobId: annotation.jobId,
      targetId: target.targetId,
      serviceName: annotation.serviceName,
      charge: this.#pool.forceCharge(target, report.teamId, report.demand),
      isConfirmed: false,
      isStopping: false,
      checkpointFraction: report.checkpointFraction,
    };
    this.#tasks.set(task.taskId, task);
    return task;
  }

  #forget(task: RunningTask): void {
    this.#tasks.delete(task.taskId);
    this.#pool.release(task.charge);
  }

  #getBestFit(nowMs: number, { teamId, demand, serviceName }: TaskStart): Target | undefined {
    const usedRacks =
      serviceName === '' ? [] : this.getReplicas(serviceName).map((target) => target.rack);
    return this.#bestFit.tryGetTarget({ nowMs, teamId, demand, usedRacks });
  }
}
