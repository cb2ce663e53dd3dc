/** Runs tasks on the targets that this scheduler owns, and reports their status to the jobs' homes. */

import { BestFit } from '../placement/bestFit';
import type { Target } from '../placement/types';
import type { TargetPool } from '../placement/targetPool';
import type { StartGuard, StartPermit } from '../requests/types';
import type { TargetReport, TargetResult, TaskReport } from '../target/types';
import { assertNever } from '../types/debug';
import type { Epoch, ShardId, TargetId, TaskId, TeamId } from '../types/ids';
import { ClosedAttempts } from './closedAttempts';
import { pickSurplus } from './surplus';
import { LEASE_CALL_LEAVES_MS } from './targetContacts';
import type { TargetContacts } from './targetContacts';
import {
  createNews,
  createStartCall,
  createStopCall,
  getRunId,
  parseAnnotation,
  TARGET_TIMEOUT_MS,
} from './taskCalls';
import type { RunningTask, StopKind, TaskEffect, TaskOrigin } from './taskCalls';
import type { TaskAnnotation, TaskAsk, TaskNews, TaskRun, TaskStart } from './types';

/** Upper bound on the time from the timeout of a start call to its arrival at the target. */
const LATE_START_MS = 500;
const TELL_INTERVAL_MS = 1_000;
/** A reservation that its home does not extend expires after this time. */
const RESERVATION_MS = 4_000;

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

  #contacts: TargetContacts;

  #bestFit: BestFit;

  #runs = new Map<TaskId, RunningTask>();

  #closed = new ClosedAttempts();

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
    contacts: TargetContacts,
  ) {
    this.#pool = pool;
    this.#guard = guard;
    this.#bestFit = new BestFit(pool, guard);
    this.#authority = authority;
    this.#contacts = contacts;
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
   * @returns the effects to perform; none while the status is not known, so that the home repeats the command
   */
  ask(nowMs: number, ask: TaskAsk): readonly TaskEffect[] {
    const { taskId, jobId, placement } = ask.kind === 'stop' ? ask : ask.start;
    const epoch = this.#authority.tryGetEpoch(placement.shardId, nowMs);
    if (epoch === undefined || epoch < placement.epoch) return [];
    const run = { taskId, attempt: placement.attempt };
    const known = this.#runs.get(getRunId(run));
    if (known !== undefined) return this.#askKnown(nowMs, known, epoch, ask);
    const createAnswer = (state: TaskNews['state']): TaskEffect => {
      const targetId = '' as TargetId;
      const news = { ...run, jobId, epoch, targetId, state, checkpointFraction: 0 };
      return { kind: 'tellHome', news };
    };
    if (this.#closed.has(placement.shardId, run)) return [createAnswer('absent')];
    // A placement is valid only in its own epoch; a later owner only reports the status that it found.
    if (placement.epoch !== epoch) {
      const isCertain = this.#contacts.isShardCertain(
        placement.shardId,
        this.#pool.getOfShard(placement.shardId),
        epoch,
        nowMs,
      );
      return isCertain ? [createAnswer('absent')] : [];
    }
    const started = ask.kind === 'stop' ? undefined : this.#tryStart(nowMs, ask);
    if (started !== undefined) return [started];
    this.#closed.add(placement.shardId, run, nowMs);
    return [createAnswer(ask.kind === 'stop' ? 'absent' : 'refused')];
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
        return this.#applyStart(nowMs, run, result);
      case 'taskStop':
        // The next report tells whether the run was stopped or had finished before.
        return [];
      case 'taskCheckpoint':
        return this.#createStop(nowMs, run, 'taskSurplusStop');
      case 'taskSurplusStop':
        run.isSurplus = result.kind === 'accepted';
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
    sentMs: number,
  ): readonly TaskEffect[] {
    const reported = new Set(report.tasks.map((task) => task.taskId));
    const gone = [...this.#runs.values()].filter(
      (run) =>
        run.target.targetId === target.targetId &&
        (run.state === 'starting' || run.state === 'running') &&
        !reported.has(run.runId) &&
        sentMs > run.certainAfterMs,
    );
    return [
      ...gone.flatMap((run) =>
        this.#end(nowMs, run, run.state === 'starting' ? 'refused' : 'stopped', 0),
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
        if (nowMs >= run.reservedUntilMs) this.#dropReserved(nowMs, run);
        return [];
      }
      if (run.end === undefined) {
        const isLost = this.#contacts.isLost(run.target, epoch, nowMs);
        return isLost ? this.#end(nowMs, run, 'stopped', 0) : [];
      }
      if (nowMs < run.nextTellMs) return [];
      run.nextTellMs = nowMs + TELL_INTERVAL_MS;
      return [{ kind: 'tellHome', news: { ...run.end, epoch } }];
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
        isStopping: run.isSurplus,
      }));
    return pickSurplus(candidates, slots).flatMap(({ run }) => {
      run.isSurplus = true;
      return this.#createCheckpoint(nowMs, run);
    });
  }

  /**
   * Removes runs whose end is durable at their home, and lets their targets forget them.
   * @param nowMs - current time on this process's clock
   * @param acknowledged - the runs
   * @returns the effects to perform
   */
  acknowledge(nowMs: number, taken: readonly TaskRun[]): readonly TaskEffect[] {
    return taken.flatMap((run) => {
      const known = this.#runs.get(getRunId(run));
      if (known === undefined || known.state !== 'ended') return [];
      this.#runs.delete(known.runId);
      this.#closed.add(known.target.shardId, run, nowMs);
      return this.#createStop(nowMs, known, 'taskAcknowledge');
    });
  }

  /**
   * Removes the runs of a shard that this scheduler no longer owns.
   * @param shardId - the shard
   */
  forgetShard(shardId: ShardId): void {
    this.#closed.forget(shardId);
    this.#runs.forEach((run) => {
      if (run.target.shardId !== shardId) return;
      this.#runs.delete(run.runId);
      if (run.state !== 'ended') this.#pool.release(run.charge);
    });
  }

  #askKnown(nowMs: number, run: RunningTask, epoch: Epoch, ask: TaskAsk): readonly TaskEffect[] {
    if (run.end !== undefined) return [{ kind: 'tellHome', news: { ...run.end, epoch } }];
    if (run.state === 'starting') return [];
    if (run.state === 'reserved') return this.#askReserved(nowMs, run, epoch, ask);
    if (ask.kind !== 'stop') return [createNews(run, epoch, 'running', 0)];
    if (!ask.isResumed) return this.#createStop(nowMs, run, 'taskStop');
    if (run.isSurplus) return [];
    run.isSurplus = true;
    return this.#createCheckpoint(nowMs, run);
  }

  #askReserved(nowMs: number, run: RunningTask, epoch: Epoch, ask: TaskAsk): readonly TaskEffect[] {
    switch (ask.kind) {
      case 'reserve':
        run.reservedUntilMs = nowMs + RESERVATION_MS;
        return [createNews(run, epoch, 'reserved', 0)];
      case 'start': {
        const permit = this.#guard.tryGetPermit(run.target, nowMs);
        if (permit === undefined || permit.epoch !== epoch) {
          this.#dropReserved(nowMs, run);
          return [createNews(run, epoch, 'refused', 0)];
        }
        return [this.#sendStart(nowMs, run, ask.start, permit)];
      }
      case 'stop':
        this.#dropReserved(nowMs, run);
        return [createNews(run, epoch, 'absent', 0)];
      default:
        return assertNever(ask);
    }
  }

  #dropReserved(nowMs: number, run: RunningTask): void {
    this.#runs.delete(run.runId);
    this.#pool.release(run.charge);
    this.#closed.add(run.target.shardId, run.run, nowMs);
  }

  #tryStart(
    nowMs: number,
    { kind, start }: Exclude<TaskAsk, { kind: 'stop' }>,
  ): TaskEffect | undefined {
    const target = this.#getBestFit(nowMs, start);
    const permit = target && this.#guard.tryGetPermit(target, nowMs);
    if (target === undefined || permit === undefined) return undefined;
    if (permit.epoch !== start.placement.epoch) return undefined;
    const charged = this.#pool.tryCharge(target.targetId, start.teamId, start.demand);
    if (charged.kind !== 'charged') return undefined;
    const taskRun = { taskId: start.taskId, attempt: start.placement.attempt };
    const runId = getRunId(taskRun);
    const run: RunningTask = {
      runId,
      run: taskRun,
      jobId: start.jobId,
      target,
      serviceName: start.serviceName,
      charge: charged.charge,
      state: 'reserved',
      reservedUntilMs: nowMs + RESERVATION_MS,
      certainAfterMs: Number.POSITIVE_INFINITY,
      end: undefined,
      nextTellMs: nowMs,
      isSurplus: false,
      checkpointFraction: start.resumeFraction,
    };
    this.#runs.set(runId, run);
    if (kind === 'reserve') return createNews(run, permit.epoch, 'reserved', 0);
    return this.#sendStart(nowMs, run, start, permit);
  }

  #sendStart(nowMs: number, run: RunningTask, start: TaskStart, permit: StartPermit): TaskEffect {
    const { runId, target } = run;
    run.state = 'starting';
    run.certainAfterMs = nowMs + TARGET_TIMEOUT_MS + LATE_START_MS;
    this.#contacts.recordExtension(target.targetId, permit.epoch, nowMs);
    const untilMs = Math.min(permit.untilMs, nowMs + LEASE_CALL_LEAVES_MS);
    return createStartCall(start, runId, target, { epoch: permit.epoch, untilMs });
  }

  #applyStart(nowMs: number, run: RunningTask, result: TargetResult): readonly TaskEffect[] {
    const epoch = this.#authority.tryGetEpoch(run.target.shardId, nowMs);
    if (result.kind === 'accepted') {
      run.state = 'running';
      run.certainAfterMs = nowMs;
      return epoch === undefined ? [] : [createNews(run, epoch, 'running', 0)];
    }
    // A start without a result is resolved by a report requested after the start can no longer arrive.
    if (result.kind !== 'refused' && result.kind !== 'notSent') return [];
    return this.#end(nowMs, run, 'refused', 0);
  }

  #applyTaskReport(
    nowMs: number,
    target: Target,
    permit: StartPermit,
    report: TaskReport,
  ): readonly TaskEffect[] {
    const annotation = parseAnnotation(report.annotation);
    const isClosed = this.#closed.has(target.shardId, annotation);
    const known = this.#runs.get(report.taskId);
    if (known === undefined && isClosed) {
      // The target did not receive the acknowledgement, or the run outlived its lease.
      const kind = report.state === 'running' ? 'taskStop' : 'taskAcknowledge';
      return [createStopCall(target, permit, report.taskId, kind)];
    }
    const run = known ?? this.#adopt(nowMs, target, report, annotation);
    if (run.state === 'ended') {
      // The run outlived its lease, or the report was created before its end.
      if (report.state !== 'running') return [];
      return [createStopCall(target, permit, report.taskId, 'taskStop')];
    }
    if (report.state !== 'running') {
      return this.#end(nowMs, run, report.state, report.checkpointFraction);
    }
    run.checkpointFraction = report.checkpointFraction;
    if (run.state === 'running') return [];
    run.state = 'running';
    run.certainAfterMs = nowMs;
    return [createNews(run, permit.epoch, 'running', report.checkpointFraction)];
  }

  #adopt(
    nowMs: number,
    target: Target,
    report: TaskReport,
    annotation: TaskAnnotation,
  ): RunningTask {
    const run: RunningTask = {
      runId: report.taskId,
      run: { taskId: annotation.taskId, attempt: annotation.attempt },
      jobId: annotation.jobId,
      target,
      serviceName: annotation.serviceName,
      charge: this.#pool.forceCharge(target, report.teamId, report.demand),
      state: 'starting',
      reservedUntilMs: nowMs,
      certainAfterMs: nowMs,
      end: undefined,
      nextTellMs: nowMs,
      isSurplus: false,
      checkpointFraction: report.checkpointFraction,
    };
    this.#runs.set(run.runId, run);
    return run;
  }

  /** Ends a run: releases its charge and reports the final status to its home. */
  #end(
    nowMs: number,
    run: RunningTask,
    state: TaskNews['state'],
    checkpointFraction: number,
  ): readonly TaskEffect[] {
    run.state = 'ended';
    this.#pool.release(run.charge);
    const epoch = this.#authority.tryGetEpoch(run.target.shardId, nowMs) ?? (0 as Epoch);
    const news = createNews(run, epoch, state, checkpointFraction);
    run.end = news.news;
    run.nextTellMs = nowMs + TELL_INTERVAL_MS;
    return [news];
  }

  #createCheckpoint(nowMs: number, { target, runId }: RunningTask): readonly TaskEffect[] {
    const epoch = this.#authority.tryGetEpoch(target.shardId, nowMs);
    if (epoch === undefined) return [];
    const token = { shardId: target.shardId, epoch };
    return [
      {
        kind: 'callTarget',
        origin: { kind: 'taskCheckpoint', runId },
        address: target.address,
        call: { kind: 'checkpoint', token, taskId: runId },
        timeoutMs: TARGET_TIMEOUT_MS,
        notAfterMs: nowMs + TARGET_TIMEOUT_MS,
      },
    ];
  }

  #createStop(nowMs: number, run: RunningTask, kind: StopKind): readonly TaskEffect[] {
    const { target } = run;
    const epoch = this.#authority.tryGetEpoch(target.shardId, nowMs);
    if (epoch === undefined) return [];
    const permit = { epoch, untilMs: nowMs + TARGET_TIMEOUT_MS };
    return [createStopCall(target, permit, run.runId, kind)];
  }

  #getBestFit(nowMs: number, start: TaskStart): Target | undefined {
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
