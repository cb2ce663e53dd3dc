/** Runs tasks on the targets that this scheduler owns, and tells their homes what became of them. */

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

/** No start arrives at a target later than this after its call was given up. */
const LATE_START_MS = 500;
const TELL_INTERVAL_MS = 1_000;
/** A reservation that its home does not extend is given up after this. */
const RESERVATION_MS = 4_000;

/** Says under which epoch this scheduler owns a shard. */
export interface ShardAuthority {
  /**
   * @param shardId - a shard of targets
   * @param nowMs - this process's clock
   * @returns the epoch, or undefined when the shard is not owned at this moment
   */
  tryGetEpoch(shardId: ShardId, nowMs: number): Epoch | undefined;
}

/** What runs of a team on a shard above its allotment. */
export interface TeamSurplus {
  readonly shardId: ShardId;
  readonly teamId: TeamId;
  readonly slots: number;
}

/** The owner's side of every task on its targets. */
export class TaskRunner {
  #pool: TargetPool;

  #guard: StartGuard;

  #authority: ShardAuthority;

  #contacts: TargetContacts;

  #bestFit: BestFit;

  #runs = new Map<TaskId, RunningTask>();

  #closed = new ClosedAttempts();

  /**
   * @param pool - budgets of the targets
   * @param guard - the check at the moment of each start
   * @param authority - which shards are owned
   * @param contacts - when targets were heard and renewed
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

  /** Tasks that run or may run. */
  get taskCount(): number {
    return this.#runs.size;
  }

  /** Services with a confirmed replica. */
  get services(): readonly string[] {
    const names = [...this.#runs.values()]
      .filter((run) => run.state === 'running' && run.serviceName !== '')
      .map((run) => run.serviceName);
    return [...new Set(names)];
  }

  /**
   * Gets the targets that run a replica of a service.
   * @param serviceName - which service
   * @returns the targets
   */
  getReplicas(serviceName: string): readonly Target[] {
    return [...this.#runs.values()]
      .filter((run) => run.state === 'running' && run.serviceName === serviceName)
      .map((run) => this.#pool.get(run.target.targetId))
      .filter((target): target is Target => target !== undefined);
  }

  /**
   * Answers what a job's home asks about a placement.
   * @param nowMs - this process's clock
   * @param ask - what it asks
   * @returns what to do; nothing when the truth is not known yet, so that the home asks again
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
    // A placement holds under its own epoch alone; a later owner only says what it found.
    if (placement.epoch !== epoch) {
      const isCertain = this.#contacts.isShardCertain(
        placement.shardId,
        this.#pool.getTargetsOfShard(placement.shardId),
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
   * Takes in what came of a call to a target.
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
    const run = this.#runs.get(origin.runId);
    if (run === undefined || run.state === 'ended') return [];
    switch (origin.kind) {
      case 'taskStart':
        return this.#applyStart(nowMs, run, result);
      case 'taskStop':
        // Whether it was stopped or had finished before is told by the next report.
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
   * Brings the tasks of one target in line with what it reports, also after taking it over.
   * @param nowMs - this process's clock
   * @param target - which target
   * @param permit - the ownership under which the report was asked for
   * @param report - what it says
   * @param sentMs - when it was asked for
   * @returns what to do
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
   * Tells homes again what they have not acknowledged, and gives up runs whose lease has lapsed.
   * @param nowMs - this process's clock
   * @returns what to do
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
   * Checkpoints and stops what runs of a team above its allotment on a shard.
   * @param nowMs - this process's clock
   * @param surplus - how much of which team where
   * @returns what to do
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
   * Forgets runs whose end is durable at their home; their targets may forget them too.
   * @param nowMs - this process's clock
   * @param taken - the runs
   * @returns what to do
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
   * Drops what ran on a shard that this scheduler no longer owns.
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
    // A lost start is settled by a report that was asked for after it can no longer arrive.
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
      // The acknowledgement was lost, or it outlived its lease.
      const kind = report.state === 'running' ? 'taskStop' : 'taskAcknowledge';
      return [createStopCall(target, permit, report.taskId, kind)];
    }
    const run = known ?? this.#adopt(nowMs, target, report, annotation);
    if (run.state === 'ended') {
      // It outlived its lease, or the report is from before its end.
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
      charge: this.#pool.chargeUnchecked(target, report.teamId, report.demand),
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

  /** The run is over on the target, so its charge is given back; its home must hear of it. */
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
