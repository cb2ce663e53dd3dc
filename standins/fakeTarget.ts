/** A target that follows the published rules: fences, leases, run numbers, ends until acknowledged. */

import * as E from 'fp-ts/Either';
import type { PollCall, StartCall, StopCall } from '../src/node/ports';
import type {
  EndedEntry,
  Inventory,
  TargetResponse,
  TargetEntry,
  TargetFailure,
} from '../src/owner/types';
import type { Checkpoint, DataCentreId, TargetId, TaskKey } from '../src/types/ids';
import type { EndKind, TaskDemand } from '../src/work/types';
import type { Timeline } from './timeline';

const STOP_MS = 100;
const GANG_WAIT_MS = 3_000;

/** A run on the target. */
export interface FakeRun {
  readonly taskKey: TaskKey;
  readonly run: number;
  readonly startedAtMs: number;
  readonly workMs: number;
  /** False while it waits for the other members of its gang. */
  isAtWork: boolean;
  isStopping: boolean;
}

/** What the world decides for a run. */
export interface RunPlan {
  readonly workMs: number;
  readonly how: 'done' | 'failed' | 'stuck';
  readonly isGang: boolean;
}

/** What the world is told. */
export interface FakeTargetEvents {
  /** Called before a start takes effect. */
  onStart(target: FakeTarget, call: StartCall): RunPlan;
  onEnd(target: FakeTarget, run: FakeRun, how: EndKind): void;
  onAcknowledged(target: FakeTarget, row: EndedEntry): void;
}

/** One target. */
export class FakeTarget {
  readonly runs = new Map<TaskKey, FakeRun>();

  #ended: EndedEntry[] = [];

  #sequence = 0;

  #fence = 0;

  #leaseUntilMs = 0;

  /** Ends that were listed when the lease lapsed; taking note of them later does not count. */
  #voidSequences = new Set<number>();

  #closedRuns = new Map<TaskKey, number>();

  #waiting: (() => void)[] = [];

  #bornAtMs: number;

  isUp = true;

  constructor(
    readonly id: TargetId,
    readonly capacity: TaskDemand,
    readonly time: Timeline,
    readonly events: FakeTargetEvents,
    /** Speed of its clock against the world's. */
    readonly clockRate: number,
  ) {
    this.#bornAtMs = Math.round(time.nowMs) + 1;
  }

  get entry(): TargetEntry {
    return {
      id: this.id,
      serviceName: 'service',
      address: this.id,
      dataCentreId: 'dc-a' as DataCentreId,
      capacity: this.capacity,
      labels: ['a', `r-${this.id.at(-1)}`],
      rack: `r-${this.id.at(-1)}`,
      isDraining: false,
      incarnationStartMs: this.#bornAtMs,
    };
  }

  get clockMs(): number {
    return Math.floor((this.time.nowMs - this.#bornAtMs) * this.clockRate);
  }

  /** Loses power: nothing runs and nobody is answered. */
  fail(): void {
    this.isUp = false;
    this.runs.clear();
    this.#waiting = [];
  }

  /** Starts anew, with nothing of before. */
  restart(): void {
    this.runs.clear();
    this.#ended = [];
    this.#sequence = 0;
    this.#fence = 0;
    this.#leaseUntilMs = 0;
    this.#closedRuns.clear();
    this.#voidSequences.clear();
    this.#bornAtMs = Math.round(this.time.nowMs) + 1;
    this.isUp = true;
  }

  start(call: StartCall): E.Either<TargetFailure, TargetResponse> {
    const refusal = this.#checkFence(call.fence);
    if (refusal !== undefined) return E.left(refusal);
    const known = this.runs.get(call.taskKey);
    if (known?.run === call.run) return E.right({ clockMs: this.clockMs });
    if (call.notAfterMs <= this.clockMs) return E.left({ kind: 'late' });
    this.#extendLease(call.notAfterMs);
    const isStale = call.run <= (this.#closedRuns.get(call.taskKey) ?? 0);
    if (isStale || known !== undefined) return E.left({ kind: 'staleRun' });
    const plan = this.events.onStart(this, call);
    const run: FakeRun = {
      taskKey: call.taskKey,
      run: call.run,
      startedAtMs: this.time.nowMs,
      workMs: plan.workMs,
      isAtWork: !plan.isGang,
      isStopping: false,
    };
    this.runs.set(call.taskKey, run);
    if (plan.isGang) this.time.after(GANG_WAIT_MS, () => !run.isAtWork && this.end(run, 'alone'));
    else if (plan.how !== 'stuck')
      this.time.after(plan.workMs, () => this.end(run, plan.how as EndKind));
    return E.right({ clockMs: this.clockMs });
  }

  stop(call: StopCall): E.Either<TargetFailure, TargetResponse> {
    const refusal = this.#checkFence(call.fence);
    if (refusal !== undefined) return E.left(refusal);
    this.#close(call.taskKey, call.run);
    const run = this.runs.get(call.taskKey);
    if (run !== undefined && run.run <= call.run && !run.isStopping) {
      run.isStopping = true;
      this.time.after(STOP_MS, () => this.end(run, 'stopped'));
    }
    return E.right({ clockMs: this.clockMs });
  }

  /** Answers at once, or after an end. */
  look(call: PollCall, answer: (result: E.Either<TargetFailure, Inventory>) => void): void {
    const refusal = this.#checkFence(call.fence);
    if (refusal !== undefined) {
      answer(E.left(refusal));
      return;
    }
    if (call.leaseUntilMs !== undefined) this.#extendLease(call.leaseUntilMs);
    this.#ended
      .filter(({ sequence }) => sequence <= call.acknowledgedSequence)
      .filter(({ sequence }) => !this.#voidSequences.has(sequence))
      .forEach((row) => this.events.onAcknowledged(this, row));
    this.#ended = this.#ended.filter(({ sequence }) => sequence > call.acknowledgedSequence);
    if (call.waitMs === 0 || this.#ended.length > 0) {
      answer(E.right(this.#getInventory()));
      return;
    }
    let isAnswered = false;
    const bornAtMs = this.#bornAtMs;
    const respond = () => {
      if (isAnswered || !this.isUp || this.#bornAtMs !== bornAtMs) return;
      isAnswered = true;
      answer(E.right(this.#getInventory()));
    };
    this.#waiting.push(respond);
    this.time.after(call.waitMs, respond);
  }

  /** Ends a run, if it still runs. */
  end(run: FakeRun, how: EndKind): void {
    if (this.runs.get(run.taskKey) !== run) return;
    this.runs.delete(run.taskKey);
    this.#close(run.taskKey, run.run);
    this.#sequence += 1;
    const checkpoint = how === 'done' ? undefined : (`${run.taskKey}@${run.run}` as Checkpoint);
    this.#ended.push({
      ...{ sequence: this.#sequence, taskKey: run.taskKey, run: run.run, how, checkpoint },
    });
    this.events.onEnd(this, run, how);
    this.#wake();
  }

  #wake(): void {
    const waiting = this.#waiting;
    this.#waiting = [];
    waiting.forEach((respond) => respond());
  }

  #close(taskKey: TaskKey, run: number): void {
    this.#closedRuns.set(taskKey, Math.max(run, this.#closedRuns.get(taskKey) ?? 0));
  }

  #checkFence(fence: number): TargetFailure | undefined {
    if (fence < this.#fence) return { kind: 'fenced' };
    this.#fence = fence;
    return undefined;
  }

  #extendLease(untilMs: number): void {
    this.#leaseUntilMs = Math.max(this.#leaseUntilMs, untilMs);
    const bornAtMs = this.#bornAtMs;
    this.time.after((untilMs - this.clockMs) / this.clockRate + 1, () => {
      if (this.#bornAtMs !== bornAtMs || this.clockMs < this.#leaseUntilMs) return;
      this.#ended.forEach(({ sequence }) => this.#voidSequences.add(sequence));
      [...this.runs.values()].forEach((run) => this.end(run, 'lapsed'));
    });
  }

  #getInventory(): Inventory {
    return {
      clockMs: this.clockMs,
      incarnationStartMs: this.#bornAtMs,
      running: [...this.runs.values()].map((run) => ({
        taskKey: run.taskKey,
        run: run.run,
        checkpoint: undefined,
        percent: Math.min(99, Math.floor(((this.time.nowMs - run.startedAtMs) * 100) / run.workMs)),
      })),
      ended: this.#ended.slice(0, 500),
    };
  }
}
