/** Runs tasks on the targets that this scheduler owns, and reports their status to the jobs' homes. */

import { BestFit } from '../placement/bestFit';
import type { Target } from '../placement/types';
import type { TargetPool } from '../placement/targetPool';
import type { StartGuard, StartPermit } from '../requests/types';
import type { TargetReport, TargetResult, TaskReport } from '../target/types';
import { assertNever } from '../types/debug';
import type { Epoch, ShardId, TargetId, TaskId, TeamId } from '../types/ids';
import { ClosedAttempts } from './closedAttempts';
import { selectTasksToStop } from './surplus';
import { LEASE_CALL_SEND_TIMEOUT_MS } from './targetLeaseTracker';
import type { TargetLeaseTracker } from './targetLeaseTracker';
import {
  createStatusUpdate,
  createStartCall,
  createStopCall,
  getRunId,
  parseAnnotation,
  TARGET_CALL_TIMEOUT_MS,
} from './taskCalls';
import type { TaskRunRecord, StopKind, TaskEffect, TaskOrigin } from './taskCalls';
import type { TaskAnnotation, TaskCommand, TaskStatusUpdate, TaskRun, TaskStart } from './types';

/** Upper bound on the time from the timeout of a start call to its arrival at the target. */
const LATE_START_GRACE_MS = 500;
const NOTIFICATION_INTERVAL_MS = 1_000;
/** A reservation that its home does not extend expires after this time. */
const RESERVATION_TIMEOUT_MS = 4_000;

/** Provides the epochs of the shards that this scheduler owns. */
export interface ShardAuthority {
  /**
   * @param shardId - a shard of targets
   * @param nowMs - current time on this process's clock
   * @returns the epoch, or undefined if the shard is not owned at this time
   */
  tryGetEpoch(shardId: ShardId, nowMs: number): Epoch | undefined;
}

/** Slots that a team uses on a shard in excess of its allotment. */
export interface TeamSurplus {
  readonly shardId: ShardId;
  readonly teamId: TeamId;
  readonly slots: number;
}

/** Manages the task runs on the targets of the owned shards. */
export class TaskRunner {
  #pool: TargetPool;

  #guard: StartGuard;

  #authority: ShardAuthority;

  #leaseTracker: TargetLeaseTracker;

  #bestFit: BestFit;

  #runs = new Map<TaskId, TaskRunRecord>();

  #closedAttempts = new ClosedAttempts();

  /**
   * @param pool - capacity accounting of the targets
   * @param guard - checks permission at each start
   * @param authority - epochs of the owned shards
   * @param leaseTracker - tracks the task leases on the targets
   */
  constructor(
    pool: TargetPool,
    guard: StartGuard,
    authority: ShardAuthority,
    leaseTracker: TargetLeaseTracker,
  ) {
    this.#pool = pool;
    this.#guard = guard;
    this.#bestFit = new BestFit(pool, guard);
    this.#authority = authority;
    this.#leaseTracker = leaseTracker;
  }

  /** Number of run records: reservations, runs, and ended runs not yet acknowledged by their home. */
  get taskCount(): number {
    return this.#runs.size;
  }

  /** Services with at least one replica confirmed as running. */
  get services(): readonly string[] {
    const names = [...this.#runs.values()]
      .filter((run) => run.state === 'running' && run.serviceName !== '')
      .map((run) => run.serviceName);
    return [...new Set(names)];
  }

  /**
   * Gets the targets that run a replica of a service.
   * @param serviceName - the service
   * @returns the targets
   */
  getReplicas(serviceName: string): readonly Target[] {
    return [...this.#runs.values()]
      .filter((run) => run.state === 'running' && run.serviceName === serviceName)
      .map((run) => this.#pool.get(run.target.targetId))
      .filter((target): target is Target => target !== undefined);
  }

  /**
   * Handles a command from a job's home about a placement.
   * @param nowMs - current time on this process's clock
   * @param command - the command
   * @returns the effects to perform; none while the status is unknown, so that the home repeats the command
   */
  handleCommand(nowMs: number, command: TaskCommand): readonly TaskEffect[] {
    const { taskId, jobId, placement } = command.kind === 'stop' ? command : command.start;
    const epoch = this.#authority.tryGetEpoch(placement.shardId, nowMs);
    if (epoch === undefined || epoch < placement.epoch) return [];
    const run = { taskId, attempt: placement.attempt };
    const existing = this.#runs.get(getRunId(run));
    if (existing !== undefined) return this.#handleCommandForRun(nowMs, existing, epoch, command);
    const createReply = (state: TaskStatusUpdate['state']): TaskEffect => {
      const targetId = '' as TargetId;
      const update = { ...run, jobId, epoch, targetId, state, checkpointFraction: 0 };
      return { kind: 'tellHome', news: update };
    };
    if (this.#closedAttempts.has(placement.shardId, run)) return [createReply('absent')];
    // A placement is valid only in its own epoch; a later owner only reports the status that it found.
    if (placement.epoch !== epoch) {
      const isStateKnown = this.#leaseTracker.isShardStateKnown(
        placement.shardId,
        this.#pool.getTargetsOfShard(placement.shardId),
        epoch,
        nowMs,
      );
      return isStateKnown ? [createReply('absent')] : [];
    }
    const started = command.kind === 'stop' ? undefined : this.#tryStartOrReserve(nowMs, command);
    if (started !== undefined) return [started];
    this.#closedAttempts.add(placement.shardId, run, nowMs);
    return [createReply(command.kind === 'stop' ? 'absent' : 'refused')];
  }

  /**
   * Applies the result of a call to a target.
   * @param nowMs - current time on this process's clock
   * @param origin - the call
   * @param result - its result
   * @returns the effects to perform
   */
  applyTargetResult(
    nowMs: number,
    origin: TaskOrigin,
    result: TargetResult,
  ): readonly TaskEffect[] {
    const run = this.#runs.get(origin.runId);
    if (run === undefined || run.state === 'ended') return [];
    switch (origin.kind) {
      case 'taskStart':
        return this.#applyStartResult(nowMs, run, result);
      case 'taskStop':
        // The next report tells whether the run was stopped or had finished before.
        return [];
      case 'taskCheckpoint':
        return this.#createStopCalls(nowMs, run, 'taskSurplusStop');
      case 'taskSurplusStop':
        run.isPreempted = result.kind === 'accepted';
        return [];
      case 'taskAcknowledge':
        return [];
      default:
        return assertNever(origin);
    }
  }

  /**
   * Reconciles the runs on a target with its report; adopts unknown runs, as after a takeover.
   * @param nowMs - current time on this process's clock
   * @param target - the target
   * @param permit - the ownership in which the report was requested
   * @param report - the report
   * @param requestedAtMs - when the report was requested
   * @returns the effects to perform
   */
  applyReport(
    nowMs: number,
    target: Target,
    permit: StartPermit,
    report: TargetReport,
    requestedAtMs: number,
  ): readonly TaskEffect[] {
    const reportedRunIds = new Set(report.tasks.map((task) => task.taskId));
    const vanished = [...this.#runs.values()].filter(
      (run) =>
        run.target.targetId === target.targetId &&
        (run.state === 'starting' || run.state === 'running') &&
        !reportedRunIds.has(run.runId) &&
        requestedAtMs > run.reportsConclusiveAfterMs,
    );
    return [
      ...vanished.flatMap((run) =>
        this.#endRun(nowMs, run, run.state === 'starting' ? 'refused' : 'stopped', 0),
      ),
      ...report.tasks.flatMap((task) => this.#applyTaskReport(nowMs, target, permit, task)),
    ];
  }

  /**
   * Repeats unacknowledged status updates, ends runs whose lease has expired, and releases expired
   * reservations.
   * @param nowMs - current time on this process's clock
   * @returns the effects to perform
   */
  tick(nowMs: number): readonly TaskEffect[] {
    return [...this.#runs.values()].flatMap((run): readonly TaskEffect[] => {
      const epoch = this.#authority.tryGetEpoch(run.target.shardId, nowMs);
      if (epoch === undefined) return [];
      if (run.state === 'reserved') {
        if (nowMs >= run.reservedUntilMs) this.#releaseReservation(nowMs, run);
        return [];
      }
      if (run.finalUpdate === undefined) {
        const isLost = this.#leaseTracker.isLost(run.target, epoch, nowMs);
        return isLost ? this.#endRun(nowMs, run, 'stopped', 0) : [];
      }
      if (nowMs < run.nextNotificationAtMs) return [];
      run.nextNotificationAtMs = nowMs + NOTIFICATION_INTERVAL_MS;
      return [{ kind: 'tellHome', news: { ...run.finalUpdate, epoch } }];
    });
  }

  /**
   * Checkpoints and stops runs of a team that exceeds its allotment on a shard.
   * @param nowMs - current time on this process's clock
   * @param surplus - the team, the shard, and the number of excess slots
   * @returns the effects to perform
   */
  stopSurplus(nowMs: number, { shardId, teamId, slots }: TeamSurplus): readonly TaskEffect[] {
    const candidates = [...this.#runs.values()]
      .filter((run) => run.charge.shardId === shardId && run.charge.teamId === teamId)
      .filter((run) => run.state === 'running')
      .map((run) => ({
        run,
        slots: run.charge.demand.slots,
        serviceName: run.serviceName,
        isStopping: run.isPreempted,
      }));
    return selectTasksToStop(candidates, slots).flatMap(({ run }) => {
      run.isPreempted = true;
      return this.#createCheckpointCalls(nowMs, run);
    });
  }

  /**
   * Removes runs whose end is durable at their home, and lets their targets forget them.
   * @param nowMs - current time on this process's clock
   * @param acknowledged - the runs
   * @returns the effects to perform
   */
  acknowledge(nowMs: number, acknowledged: readonly TaskRun[]): readonly TaskEffect[] {
    return acknowledged.flatMap((run) => {
      const existing = this.#runs.get(getRunId(run));
      if (existing === undefined || existing.state !== 'ended') return [];
      this.#runs.delete(existing.runId);
      this.#closedAttempts.add(existing.target.shardId, run, nowMs);
      return this.#createStopCalls(nowMs, existing, 'taskAcknowledge');
    });
  }

  /**
   * Removes the runs of a shard that this scheduler no longer owns.
   * @param shardId - the shard
   */
  removeShard(shardId: ShardId): void {
    this.#closedAttempts.removeShard(shardId);
    this.#runs.forEach((run) => {
      if (run.target.shardId !== shardId) return;
      this.#runs.delete(run.runId);
      if (run.state !== 'ended') this.#pool.release(run.charge);
    });
  }

  #handleCommandForRun(
    nowMs: number,
    run: TaskRunRecord,
    epoch: Epoch,
    command: TaskCommand,
  ): readonly TaskEffect[] {
    if (run.finalUpdate !== undefined)
      return [{ kind: 'tellHome', news: { ...run.finalUpdate, epoch } }];
    if (run.state === 'starting') return [];
    if (run.state === 'reserved')
      return this.#handleCommandForReservation(nowMs, run, epoch, command);
    if (command.kind !== 'stop') return [createStatusUpdate(run, epoch, 'running', 0)];
    if (!command.isResumed) return this.#createStopCalls(nowMs, run, 'taskStop');
    if (run.isPreempted) return [];
    run.isPreempted = true;
    return this.#createCheckpointCalls(nowMs, run);
  }

  #handleCommandForReservation(
    nowMs: number,
    run: TaskRunRecord,
    epoch: Epoch,
    command: TaskCommand,
  ): readonly TaskEffect[] {
    switch (command.kind) {
      case 'reserve':
        run.reservedUntilMs = nowMs + RESERVATION_TIMEOUT_MS;
        return [createStatusUpdate(run, epoch, 'reserved', 0)];
      case 'start': {
        const permit = this.#guard.tryGetPermit(run.target, nowMs);
        if (permit === undefined || permit.epoch !== epoch) {
          this.#releaseReservation(nowMs, run);
          return [createStatusUpdate(run, epoch, 'refused', 0)];
        }
        return [this.#sendStart(nowMs, run, command.start, permit)];
      }
      case 'stop':
        this.#releaseReservation(nowMs, run);
        return [createStatusUpdate(run, epoch, 'absent', 0)];
      default:
        return assertNever(command);
    }
  }

  #releaseReservation(nowMs: number, run: TaskRunRecord): void {
    this.#runs.delete(run.runId);
    this.#pool.release(run.charge);
    this.#closedAttempts.add(run.target.shardId, run.run, nowMs);
  }

  #tryStartOrReserve(
    nowMs: number,
    { kind, start }: Exclude<TaskCommand, { kind: 'stop' }>,
  ): TaskEffect | undefined {
    const target = this.#tryGetBestFit(nowMs, start);
    const permit = target && this.#guard.tryGetPermit(target, nowMs);
    if (target === undefined || permit === undefined) return undefined;
    if (permit.epoch !== start.placement.epoch) return undefined;
    const chargeResult = this.#pool.tryCharge(target.targetId, start.teamId, start.demand);
    if (chargeResult.kind !== 'charged') return undefined;
    const taskRun = { taskId: start.taskId, attempt: start.placement.attempt };
    const runId = getRunId(taskRun);
    const run: TaskRunRecord = {
      runId,
      run: taskRun,
      jobId: start.jobId,
      target,
      serviceName: start.serviceName,
      charge: chargeResult.charge,
      state: 'reserved',
      reservedUntilMs: nowMs + RESERVATION_TIMEOUT_MS,
      reportsConclusiveAfterMs: Number.POSITIVE_INFINITY,
      finalUpdate: undefined,
      nextNotificationAtMs: nowMs,
      isPreempted: false,
      checkpointFraction: start.resumeFraction,
    };
    this.#runs.set(runId, run);
    if (kind === 'reserve') return createStatusUpdate(run, permit.epoch, 'reserved', 0);
    return this.#sendStart(nowMs, run, start, permit);
  }

  #sendStart(nowMs: number, run: TaskRunRecord, start: TaskStart, permit: StartPermit): TaskEffect {
    const { runId, target } = run;
    run.state = 'starting';
    run.reportsConclusiveAfterMs = nowMs + TARGET_CALL_TIMEOUT_MS + LATE_START_GRACE_MS;
    this.#leaseTracker.recordExtension(target.targetId, permit.epoch, nowMs);
    const untilMs = Math.min(permit.untilMs, nowMs + LEASE_CALL_SEND_TIMEOUT_MS);
    return createStartCall(start, runId, target, { epoch: permit.epoch, untilMs });
  }

  #applyStartResult(
    nowMs: number,
    run: TaskRunRecord,
    result: TargetResult,
  ): readonly TaskEffect[] {
    const epoch = this.#authority.tryGetEpoch(run.target.shardId, nowMs);
    if (result.kind === 'accepted') {
      run.state = 'running';
      run.reportsConclusiveAfterMs = nowMs;
      return epoch === undefined ? [] : [createStatusUpdate(run, epoch, 'running', 0)];
    }
    // A start without a result is resolved by a report requested after the start can no longer arrive.
    if (result.kind !== 'refused' && result.kind !== 'notSent') return [];
    return this.#endRun(nowMs, run, 'refused', 0);
  }

  #applyTaskReport(
    nowMs: number,
    target: Target,
    permit: StartPermit,
    report: TaskReport,
  ): readonly TaskEffect[] {
    const annotation = parseAnnotation(report.annotation);
    const isClosed = this.#closedAttempts.has(target.shardId, annotation);
    const existing = this.#runs.get(report.taskId);
    if (existing === undefined && isClosed) {
      // The target did not receive the acknowledgement, or the run outlived its lease.
      const kind = report.state === 'running' ? 'taskStop' : 'taskAcknowledge';
      return [createStopCall(target, permit, report.taskId, kind)];
    }
    const run = existing ?? this.#adoptRun(nowMs, target, report, annotation);
    if (run.state === 'ended') {
      // The run outlived its lease, or the report was created before its end.
      if (report.state !== 'running') return [];
      return [createStopCall(target, permit, report.taskId, 'taskStop')];
    }
    if (report.state !== 'running') {
      return this.#endRun(nowMs, run, report.state, report.checkpointFraction);
    }
    run.checkpointFraction = report.checkpointFraction;
    if (run.state === 'running') return [];
    run.state = 'running';
    run.reportsConclusiveAfterMs = nowMs;
    return [createStatusUpdate(run, permit.epoch, 'running', report.checkpointFraction)];
  }

  #adoptRun(
    nowMs: number,
    target: Target,
    report: TaskReport,
    annotation: TaskAnnotation,
  ): TaskRunRecord {
    const run: TaskRunRecord = {
      runId: report.taskId,
      run: { taskId: annotation.taskId, attempt: annotation.attempt },
      jobId: annotation.jobId,
      target,
      serviceName: annotation.serviceName,
      charge: this.#pool.chargeUnchecked(target, report.teamId, report.demand),
      state: 'starting',
      reservedUntilMs: nowMs,
      reportsConclusiveAfterMs: nowMs,
      finalUpdate: undefined,
      nextNotificationAtMs: nowMs,
      isPreempted: false,
      checkpointFraction: report.checkpointFraction,
    };
    this.#runs.set(run.runId, run);
    return run;
  }

  /** Ends a run: releases its charge and reports the final status to its home. */
  #endRun(
    nowMs: number,
    run: TaskRunRecord,
    state: TaskStatusUpdate['state'],
    checkpointFraction: number,
  ): readonly TaskEffect[] {
    run.state = 'ended';
    this.#pool.release(run.charge);
    const epoch = this.#authority.tryGetEpoch(run.target.shardId, nowMs) ?? (0 as Epoch);
    const effect = createStatusUpdate(run, epoch, state, checkpointFraction);
    run.finalUpdate = effect.news;
    run.nextNotificationAtMs = nowMs + NOTIFICATION_INTERVAL_MS;
    return [effect];
  }

  #createCheckpointCalls(nowMs: number, { target, runId }: TaskRunRecord): readonly TaskEffect[] {
    const epoch = this.#authority.tryGetEpoch(target.shardId, nowMs);
    if (epoch === undefined) return [];
    const token = { shardId: target.shardId, epoch };
    return [
      {
        kind: 'callTarget',
        origin: { kind: 'taskCheckpoint', runId },
        address: target.address,
        call: { kind: 'checkpoint', token, taskId: runId },
        timeoutMs: TARGET_CALL_TIMEOUT_MS,
        notAfterMs: nowMs + TARGET_CALL_TIMEOUT_MS,
      },
    ];
  }

  #createStopCalls(nowMs: number, run: TaskRunRecord, kind: StopKind): readonly TaskEffect[] {
    const { target } = run;
    const epoch = this.#authority.tryGetEpoch(target.shardId, nowMs);
    if (epoch === undefined) return [];
    const permit = { epoch, untilMs: nowMs + TARGET_CALL_TIMEOUT_MS };
    return [createStopCall(target, permit, run.runId, kind)];
  }

  #tryGetBestFit(nowMs: number, start: TaskStart): Target | undefined {
    const { teamId, demand, serviceName, placement } = start;
    const usedRacks =
      serviceName === '' ? [] : this.getReplicas(serviceName).map((target) => target.rack);
    return this.#bestFit.tryGetTarget({
      nowMs,
      shardId: placement.shardId,
      teamId,
      demand,
      usedRacks,
    });
  }
}
