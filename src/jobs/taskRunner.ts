/** Runs tasks on the targets that this scheduler owns, and tells their homes what became of them. */

import { BestFit } from '../placement/bestFit';
import type { Charge, Target } from '../placement/types';
import type { TargetPool } from '../placement/targetPool';
import type { StartGuard, StartPermit } from '../requests/types';
import type { TargetCall, TargetReport, TargetResult, TaskReport } from '../target/types';
import { assertNever } from '../types/debug';
import { toId } from '../types/ids';
import type { Epoch, JobId, ShardId, TargetId, TaskId, TeamId } from '../types/ids';
import { ClosedAttempts } from './closedAttempts';
import { pickSurplus } from './surplus';
import { LEASE_CALL_LEAVES_MS, TASK_LEASE_MS } from './targetContacts';
import type { TargetContacts } from './targetContacts';
import type { TaskAnnotation, TaskAsk, TaskNews, TaskRun, TaskStart } from './types';

const TARGET_TIMEOUT_MS = 2_000;
/** No start arrives at a target later than this after its call was given up. */
const LATE_START_MS = 500;
const TELL_INTERVAL_MS = 1_000;

/** Which call a target's result belongs to. */
export type TaskOrigin =
  | { readonly kind: 'taskStart'; readonly runId: TaskId }
  | { readonly kind: 'taskStop'; readonly runId: TaskId }
  | { readonly kind: 'taskAcknowledge'; readonly runId: TaskId }
  /** A checkpoint that is followed by a stop, for a run above its team's limit. */
  | { readonly kind: 'taskCheckpoint'; readonly runId: TaskId }
  | { readonly kind: 'taskSurplusStop'; readonly runId: TaskId };

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

type StopKind = 'taskStop' | 'taskSurplusStop' | 'taskAcknowledge';

interface RunningTask {
  /** Names this run to the target. */
  readonly runId: TaskId;
  readonly run: TaskRun;
  readonly jobId: JobId;
  readonly target: Target;
  readonly serviceName: string;
  readonly charge: Charge;
  state: 'starting' | 'running' | 'ended';
  /** A report that was asked for after this time and doesn't list the run proves that it ended. */
  certainAfterMs: number;
  /** Told until the home has made it durable. */
  end: TaskNews | undefined;
  nextTellMs: number;
  /** It is checkpointed and stopped for its team's limit. */
  isSurplus: boolean;
  /** As last reported; a stop resumes from here. */
  checkpointFraction: number;
}

function getRunId({ taskId, attempt }: TaskRun): TaskId {
  return toId<TaskId>(`${taskId}~${attempt}`);
}

function parseAnnotation(text: string): TaskAnnotation {
  return JSON.parse(text) as TaskAnnotation;
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
    const { taskId, jobId, placement } = ask.kind === 'start' ? ask.start : ask;
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
        this.#pool.getOfShard(placement.shardId),
        epoch,
        nowMs,
      );
      return isCertain ? [createAnswer('absent')] : [];
    }
    const started = ask.kind === 'start' ? this.#tryStart(nowMs, ask.start) : undefined;
    if (started !== undefined) return [started];
    this.#closed.add(placement.shardId, run, nowMs);
    return [createAnswer(ask.kind === 'start' ? 'refused' : 'absent')];
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
        return result.kind === 'accepted' ? this.#end(nowMs, run, 'stopped', 0) : [];
      case 'taskCheckpoint':
        return this.#createStop(nowMs, run, 'taskSurplusStop');
      case 'taskSurplusStop':
        run.isSurplus = result.kind === 'accepted';
        return run.isSurplus ? this.#end(nowMs, run, 'stopped', run.checkpointFraction) : [];
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
        run.state !== 'ended' &&
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
      if (run.end === undefined) {
        const isLapsed = this.#contacts.isLapsed(run.target, epoch, nowMs);
        return isLapsed ? this.#end(nowMs, run, 'stopped', 0) : [];
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
    if (ask.kind === 'start') return [TaskRunner.#createNews(run, epoch, 'running', 0)];
    return this.#createStop(nowMs, run, 'taskStop');
  }

  #tryStart(nowMs: number, start: TaskStart): TaskEffect | undefined {
    const target = this.#getBestFit(nowMs, start);
    const permit = target && this.#guard.tryGetPermit(target, nowMs);
    if (target === undefined || permit === undefined) return undefined;
    if (permit.epoch !== start.placement.epoch) return undefined;
    const charged = this.#pool.tryCharge(target.targetId, start.teamId, start.demand);
    if (charged.kind !== 'charged') return undefined;
    const run = { taskId: start.taskId, attempt: start.placement.attempt };
    const runId = getRunId(run);
    this.#runs.set(runId, {
      runId,
      run,
      jobId: start.jobId,
      target,
      serviceName: start.serviceName,
      charge: charged.charge,
      state: 'starting',
      certainAfterMs: nowMs + TARGET_TIMEOUT_MS + LATE_START_MS,
      end: undefined,
      nextTellMs: nowMs,
      isSurplus: false,
      checkpointFraction: start.resumeFraction,
    });
    this.#contacts.recordExtension(target.targetId, permit.epoch, nowMs);
    const untilMs = Math.min(permit.untilMs, nowMs + LEASE_CALL_LEAVES_MS);
    return TaskRunner.#createStartCall(start, runId, target, { epoch: permit.epoch, untilMs });
  }

  static #createStartCall(
    start: TaskStart,
    runId: TaskId,
    target: Target,
    permit: StartPermit,
  ): TaskEffect {
    const annotation: TaskAnnotation = {
      taskId: start.taskId,
      attempt: start.placement.attempt,
      jobId: start.jobId,
      queueId: start.queueId,
      serviceName: start.serviceName,
      dataCentreId: target.dataCentreId,
    };
    return {
      kind: 'callTarget',
      origin: { kind: 'taskStart', runId },
      address: target.address,
      call: {
        kind: 'startTask',
        token: { shardId: target.shardId, epoch: permit.epoch },
        taskId: runId,
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

  #applyStart(nowMs: number, run: RunningTask, result: TargetResult): readonly TaskEffect[] {
    const epoch = this.#authority.tryGetEpoch(run.target.shardId, nowMs);
    if (result.kind === 'accepted') {
      run.state = 'running';
      run.certainAfterMs = nowMs;
      return epoch === undefined ? [] : [TaskRunner.#createNews(run, epoch, 'running', 0)];
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
      // The stop that acknowledged the end was lost.
      return [TaskRunner.#createStopCall(target, permit, report.taskId, 'taskAcknowledge')];
    }
    const run = known ?? this.#adopt(nowMs, target, report, annotation);
    if (run.state === 'ended') {
      // It outlived its lease, or the report is from before its end.
      if (report.state !== 'running') return [];
      return [TaskRunner.#createStopCall(target, permit, report.taskId, 'taskAcknowledge')];
    }
    if (report.state !== 'running') {
      return this.#end(nowMs, run, report.state, report.checkpointFraction);
    }
    run.checkpointFraction = report.checkpointFraction;
    if (run.state === 'running') return [];
    run.state = 'running';
    run.certainAfterMs = nowMs;
    return [TaskRunner.#createNews(run, permit.epoch, 'running', report.checkpointFraction)];
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
    const news = TaskRunner.#createNews(run, epoch, state, checkpointFraction);
    run.end = news.news;
    run.nextTellMs = nowMs + TELL_INTERVAL_MS;
    return [news];
  }

  static #createNews(
    { run, jobId, target }: RunningTask,
    epoch: Epoch,
    state: TaskNews['state'],
    checkpointFraction: number,
  ): Extract<TaskEffect, { kind: 'tellHome' }> {
    const { targetId } = target;
    return {
      kind: 'tellHome',
      news: { ...run, jobId, epoch, targetId, state, checkpointFraction },
    };
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
    return [TaskRunner.#createStopCall(target, permit, run.runId, kind)];
  }

  static #createStopCall(
    target: Target,
    permit: StartPermit,
    runId: TaskId,
    kind: StopKind,
  ): TaskEffect {
    return {
      kind: 'callTarget',
      origin: { kind, runId },
      address: target.address,
      call: {
        kind: 'stop',
        token: { shardId: target.shardId, epoch: permit.epoch },
        taskId: runId,
      },
      timeoutMs: TARGET_TIMEOUT_MS,
      notAfterMs: permit.untilMs,
    };
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
