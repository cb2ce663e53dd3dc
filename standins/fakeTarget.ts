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
import type { TimeSource } from './timeSource';

const STOP_DURATION_MS = 100;
const GANG_START_TIMEOUT_MS = 3_000;

/** Time in which a start that was sent before a change of capacity arrives. */
const CAPACITY_GRACE_MS = 50;

/** A run on the target. */
export interface FakeRun {
  readonly taskKey: TaskKey;
  readonly run: number;
  readonly startedAtMs: number;
  /** Duration of its work; for a lasting run, of its startup. */
  readonly workMs: number;
  readonly isLasting: boolean;
  /** False while the run waits for the other members of its gang. */
  isAtWork: boolean;
  isStopping: boolean;
}

/** Behaviour of a run, chosen by the test. */
export interface RunPlan {
  /** Duration of its work; for a lasting run, of its startup, after which it is at work. */
  readonly workMs: number;
  readonly how: 'done' | 'failed' | 'lasting';
  readonly isGang: boolean;
}

/** Callbacks of the test. */
export interface FakeTargetEvents {
  /** Called before a start takes effect; returns the behaviour of the run. */
  onStart(target: FakeTarget, call: StartCall): RunPlan;
  onEnd(target: FakeTarget, run: FakeRun, how: EndKind): void;
  onAcknowledged(target: FakeTarget, entry: EndedEntry, call: PollCall): void;
}

interface PendingPoll {
  readonly respond: () => void;
  /** Reports a closed connection to the caller. */
  readonly close: () => void;
}

/** In-memory target whose clock may run at another rate than the time source. */
export class FakeTarget {
  readonly runs = new Map<TaskKey, FakeRun>();

  #endedEntries: EndedEntry[] = [];

  #sequence = 0;

  #highestFence = 0;

  #formerCapacities: TaskDemand[] = [];

  #leaseUntilMs = 0;

  #maxLeaseMs = Number.POSITIVE_INFINITY;

  #maxListedEnds = 500;

  /** Sequence numbers of ends that were listed when the lease expired; later acknowledgements are not reported. */
  #sequencesEndedBeforeExpiry = new Set<number>();

  #highestClosedRuns = new Map<TaskKey, number>();

  #pendingPolls: PendingPoll[] = [];

  #incarnationStartMs: number;

  #revision = 0;

  #isDraining = false;

  /** Service that it registers for. */
  serviceName = 'service';

  isUp = true;

  /** How many times as long as usual its runs take. */
  slowness = 1;

  /** While the target is down: its host refuses connections, as the process alone has ended. */
  isRefusing = false;

  constructor(
    readonly id: TargetId,
    private currentCapacity: TaskDemand,
    readonly time: TimeSource,
    readonly events: FakeTargetEvents,
    /** Rate of the target's clock relative to the time source. */
    readonly clockRate: number,
  ) {
    this.#incarnationStartMs = Math.round(time.nowMs) + 1;
  }

  get entry(): TargetEntry {
    return {
      id: this.id,
      serviceName: this.serviceName,
      address: this.id,
      dataCentreId: 'dc-a' as DataCentreId,
      capacity: this.capacity,
      labels: ['a', `r-${this.id.at(-1)}`],
      rack: `r-${this.id.at(-1)}`,
      isDraining: this.#isDraining,
      incarnationStartMs: this.#incarnationStartMs,
      revision: this.#revision,
    };
  }

  /** Counts another entry, as for a heartbeat. */
  renewEntry(): TargetEntry {
    this.#revision += 1;
    return this.entry;
  }

  /** The target is to be shut down: it goes on as before, and its entry says that it drains. */
  startDraining(): TargetEntry {
    this.#isDraining = true;
    return this.renewEntry();
  }

  /** Capacity as registered. */
  get capacity(): TaskDemand {
    return this.currentCapacity;
  }

  /** Changes the capacity while the target runs. A start that is on its way counts against the former one. */
  setCapacity(capacity: TaskDemand): void {
    const former = this.currentCapacity;
    this.#revision += 1;
    this.currentCapacity = capacity;
    this.#formerCapacities.push(former);
    this.time.after(CAPACITY_GRACE_MS, () => this.#formerCapacities.shift());
  }

  /** The capacities that a start may have been decided for. */
  get countedCapacities(): readonly TaskDemand[] {
    return [this.currentCapacity, ...this.#formerCapacities];
  }

  /** Sets the longest time for which a lease is granted; longer ones are shortened. */
  setMaxLease(maxLeaseMs: number): void {
    this.#maxLeaseMs = maxLeaseMs;
  }

  /** Sets the number of ends that are listed at a time. */
  setMaxListedEnds(maxListedEnds: number): void {
    this.#maxListedEnds = maxListedEnds;
  }

  /** Number of ends that have not been acknowledged. */
  get endCount(): number {
    return this.#endedEntries.length;
  }

  get clockMs(): number {
    return Math.floor((this.time.nowMs - this.#incarnationStartMs) * this.clockRate);
  }

  /** Simulates a power loss: all runs are lost and pending polls are never answered. */
  crash(): void {
    this.isUp = false;
    this.runs.clear();
    this.#pendingPolls = [];
  }

  /** Simulates the end of the process: all runs are lost and the host closes all connections. */
  crashProcess(): void {
    const closed = this.#pendingPolls;
    this.crash();
    this.isRefusing = true;
    closed.forEach(({ close }) => close());
  }

  /** Starts a new incarnation without any state of the previous one. */
  restart(): void {
    this.runs.clear();
    this.#endedEntries = [];
    this.#sequence = 0;
    this.#revision = 0;
    this.#isDraining = false;
    this.#highestFence = 0;
    this.#leaseUntilMs = 0;
    this.#highestClosedRuns.clear();
    this.#sequencesEndedBeforeExpiry.clear();
    this.#incarnationStartMs = Math.round(this.time.nowMs) + 1;
    this.isUp = true;
    this.isRefusing = false;
  }

  start(call: StartCall): E.Either<TargetFailure, TargetResponse> {
    const refusal = this.#checkFence(call.fence);
    if (refusal !== undefined) return E.left(refusal);
    const existing = this.runs.get(call.taskKey);
    if (existing?.run === call.run) return E.right({ clockMs: this.clockMs });
    if (call.notAfterMs <= this.clockMs) return E.left({ kind: 'late' });
    this.#extendLease(call.notAfterMs);
    const isStale = call.run <= (this.#highestClosedRuns.get(call.taskKey) ?? 0);
    if (isStale || existing !== undefined) return E.left({ kind: 'staleRun' });
    const plan = this.events.onStart(this, call);
    const run: FakeRun = {
      taskKey: call.taskKey,
      run: call.run,
      startedAtMs: this.time.nowMs,
      workMs: plan.workMs,
      isLasting: plan.how === 'lasting',
      isAtWork: !plan.isGang,
      isStopping: false,
    };
    this.runs.set(call.taskKey, run);
    if (plan.isGang)
      this.time.after(GANG_START_TIMEOUT_MS, () => !run.isAtWork && this.endRun(run, 'alone'));
    else if (plan.how !== 'lasting') {
      const { how } = plan;
      this.time.after(plan.workMs, () => this.endRun(run, how));
    }
    return E.right({ clockMs: this.clockMs });
  }

  stop(call: StopCall): E.Either<TargetFailure, TargetResponse> {
    const refusal = this.#checkFence(call.fence);
    if (refusal !== undefined) return E.left(refusal);
    this.#closeRun(call.taskKey, call.run);
    const run = this.runs.get(call.taskKey);
    if (run !== undefined && run.run <= call.run && !run.isStopping) {
      run.isStopping = true;
      this.time.after(STOP_DURATION_MS, () => this.endRun(run, 'stopped'));
    }
    return E.right({ clockMs: this.clockMs });
  }

  /** Responds at once when runs have ended, otherwise at the next end or after `waitMs`. */
  poll(call: PollCall, respond: (result: E.Either<TargetFailure, Inventory>) => void): void {
    const refusal = this.#checkFence(call.fence);
    if (refusal !== undefined) {
      respond(E.left(refusal));
      return;
    }
    if (call.leaseUntilMs !== undefined) this.#extendLease(call.leaseUntilMs);
    this.#endedEntries
      .filter(({ sequence }) => sequence <= call.acknowledgedSequence)
      .filter(({ sequence }) => !this.#sequencesEndedBeforeExpiry.has(sequence))
      .forEach((entry) => this.events.onAcknowledged(this, entry, call));
    this.#endedEntries = this.#endedEntries.filter(
      ({ sequence }) => sequence > call.acknowledgedSequence,
    );
    if (call.waitMs === 0 || this.#endedEntries.length > 0) {
      respond(E.right(this.#getInventory()));
      return;
    }
    let isAnswered = false;
    const incarnationStartMs = this.#incarnationStartMs;
    const respondOnce = () => {
      if (isAnswered || !this.isUp || this.#incarnationStartMs !== incarnationStartMs) return;
      isAnswered = true;
      respond(E.right(this.#getInventory()));
    };
    const close = () => {
      if (isAnswered) return;
      isAnswered = true;
      respond(E.left({ kind: 'lost', detail: 'connection closed', isConnectionClosed: true }));
    };
    this.#pendingPolls.push({ respond: respondOnce, close });
    this.time.after(call.waitMs, respondOnce);
  }

  /** Ends a run unless it has already ended. */
  endRun(run: FakeRun, how: EndKind): void {
    if (this.runs.get(run.taskKey) !== run) return;
    this.runs.delete(run.taskKey);
    this.#closeRun(run.taskKey, run.run);
    this.#sequence += 1;
    const checkpoint = how === 'done' ? undefined : (`${run.taskKey}@${run.run}` as Checkpoint);
    this.#endedEntries.push({
      ...{ sequence: this.#sequence, taskKey: run.taskKey, run: run.run, how, checkpoint },
    });
    this.events.onEnd(this, run, how);
    this.#answerPendingPolls();
  }

  #answerPendingPolls(): void {
    const responders = this.#pendingPolls;
    this.#pendingPolls = [];
    responders.forEach(({ respond }) => respond());
  }

  #closeRun(taskKey: TaskKey, run: number): void {
    this.#highestClosedRuns.set(taskKey, Math.max(run, this.#highestClosedRuns.get(taskKey) ?? 0));
  }

  #checkFence(fence: number): TargetFailure | undefined {
    if (fence < this.#highestFence) return { kind: 'fenced' };
    this.#highestFence = fence;
    return undefined;
  }

  #extendLease(requestedUntilMs: number): void {
    const untilMs = Math.min(requestedUntilMs, this.clockMs + this.#maxLeaseMs);
    this.#leaseUntilMs = Math.max(this.#leaseUntilMs, untilMs);
    const incarnationStartMs = this.#incarnationStartMs;
    this.time.after((untilMs - this.clockMs) / this.clockRate + 1, () => {
      if (this.#incarnationStartMs !== incarnationStartMs || this.clockMs < this.#leaseUntilMs)
        return;
      this.#endedEntries.forEach(({ sequence }) => this.#sequencesEndedBeforeExpiry.add(sequence));
      [...this.runs.values()].forEach((run) => this.endRun(run, 'lapsed'));
    });
  }

  /** A lasting run is at work with 100 percent; another one ends then. */
  #getPercent({ startedAtMs, workMs, isLasting }: FakeRun): number {
    const percent = Math.floor(((this.time.nowMs - startedAtMs) * 100) / workMs);
    return Math.min(isLasting ? 100 : 99, percent);
  }

  #getInventory(): Inventory {
    return {
      clockMs: this.clockMs,
      incarnationStartMs: this.#incarnationStartMs,
      running: [...this.runs.values()].map((run) => ({
        taskKey: run.taskKey,
        run: run.run,
        checkpoint: undefined,
        percent: this.#getPercent(run),
      })),
      ended: this.#endedEntries.slice(0, this.#maxListedEnds),
      areEndsComplete: this.#endedEntries.length < this.#maxListedEnds,
    };
  }
}
