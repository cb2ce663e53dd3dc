/**
 * Fake target that implements the target protocol: fencing, leases, run numbers, and ended runs that stay
 * listed until they are acknowledged.
 */

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
  /** False while the run waits for the other members of its gang. */
  isAtWork: boolean;
  isStopping: boolean;
}

/** Behaviour of a run, chosen by the test. */
export interface RunPlan {
  readonly workMs: number;
  readonly how: 'done' | 'failed' | 'stuck';
  readonly isGang: boolean;
}

/** Callbacks of the test. */
export interface FakeTargetEvents {
  /** Called before a start takes effect; returns the behaviour of the run. */
  onStart(target: FakeTarget, call: StartCall): RunPlan;
  onEnd(target: FakeTarget, run: FakeRun, how: EndKind): void;
  onAcknowledged(target: FakeTarget, row: EndedEntry): void;
}

/** In-memory target whose clock may run at another rate than the time source. */
export class FakeTarget {
  readonly runs = new Map<TaskKey, FakeRun>();

  #ended: EndedEntry[] = [];

  #sequence = 0;

  #fence = 0;

  #leaseUntilMs = 0;

  /** Sequence numbers of ends that were listed when the lease expired; later acknowledgements are not reported. */
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
    /** Rate of the target's clock relative to the time source. */
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

  /** Simulates a power loss: all runs are lost and pending polls are never answered. */
  fail(): void {
    this.isUp = false;
    this.runs.clear();
    this.#waiting = [];
  }

  /** Starts a new incarnation without any state of the previous one. */
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

  /** Responds immediately when there are ended runs to list; otherwise at the next end or after `waitMs`. */
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

  /** Ends a run unless it has already ended. */
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
