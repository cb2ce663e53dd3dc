/**
 * Model of the network between owners and targets. Each request is bound to the process that is alive when its
 * connection opens, so a request that was sent before a restart can reach the new incarnation.
 */

import * as E from 'fp-ts/Either';
import type { PollCall, StartCall, StopCall } from '../../src/node/ports';
import type { TargetFailure } from '../../src/owner/types';
import type { TargetId } from '../../src/types/ids';
import type { FakeTarget } from '../../standins/fakeTarget';
import type { VirtualTime } from './virtualTime';

/** Time that a message takes in one direction. */
export const LINK_LATENCY_MS = 1;

/** Interval between attempts to open a connection to a host that does not answer. */
const OPEN_RETRY_INTERVAL_MS = 20;

/** A request of an owner to a target. */
export interface TargetCall {
  readonly epoch: number;
  readonly effect: PollCall | StartCall | StopCall;
  readonly target: FakeTarget | undefined;
  /** Time until the owner's process goes on; 0 unless it is suspended. */
  getPauseMs(): number;
  /** Evaluated right before the request is written; a reason voids the request. */
  findObstacle(): string | undefined;
  perform(target: FakeTarget, answer: (result: E.Either<unknown, unknown>) => void): void;
  onAnswered(result: E.Either<unknown, unknown>): void;
}

/** Delivers requests to targets and responses back. */
export interface Network {
  call(call: TargetCall): void;
}

/** What happens to one request; what is not given takes its usual course. */
export interface CallFate {
  /** Opens a new connection, which takes this long; an idle one is used otherwise. */
  readonly openDelayMs?: number;
  /** The request is written but never arrives, as on a connection that has gone dark. */
  readonly isSilent?: boolean;
  /** The target performs the request this long after its arrival, unless its process ends first. */
  readonly performDelayMs?: number;
  /** The request is delivered to the same process again after this time. */
  readonly repeatDelayMs?: number;
  readonly isAnswerLost?: boolean;
  /** The response takes this much longer; it is dropped once the caller's time is up. */
  readonly answerDelayMs?: number;
}

/** Choices of a simulation with connections. */
export interface NetworkOptions {
  chooseFate(call: TargetCall): CallFate;
  /** Delay until a target's row is stored, and until the owner of an epoch reads the change. */
  getRegistryDelayMs(epoch?: number): number;
}

/** Check of an owner that its host evaluates before it writes a request. */
interface HostCheck {
  readonly epoch: number;
  isCurrentTarget?(targetId: TargetId, incarnationStartMs: number): boolean;
}

/** Checks whether the owner still takes the incarnation that a request was meant for as the current one. */
export function isStillCurrent(core: HostCheck, effect: TargetCall['effect']): boolean {
  if (!('incarnationStartMs' in effect)) return true;
  return core.isCurrentTarget?.(effect.targetId, effect.incarnationStartMs) ?? true;
}

/** A target refuses what is meant for another one that was believed to be at its address. */
export function refuseForOthers(
  targetId: TargetId,
  perform: TargetCall['perform'],
): TargetCall['perform'] {
  return (target, answer) => {
    if (target.id === targetId) perform(target, answer);
    else answer(E.left({ kind: 'otherLife' }));
  };
}

/** A connection, bound to the process that accepted it. */
interface Connection {
  readonly target: FakeTarget;
  readonly incarnationStartMs: number;
}

/** A request that has not been answered yet. */
interface OpenCall {
  readonly call: TargetCall;
  readonly fate: CallFate;
  connection: Connection | undefined;
  isSettled: boolean;
}

function isAlive({ target, incarnationStartMs }: Connection): boolean {
  return target.isUp && target.entry.incarnationStartMs === incarnationStartMs;
}

/** Network with connections that outlive neither their process nor a time-out. */
export class NetworkModel implements Network {
  #time: VirtualTime;

  #isCut: (targetId: TargetId) => boolean;

  /** Idle connections by owner and target. */
  #idle = new Map<string, Connection[]>();

  #openCalls = new Set<OpenCall>();

  /** Chooses what happens to a request. */
  chooseFate: (call: TargetCall) => CallFate;

  constructor(
    time: VirtualTime,
    chooseFate: (call: TargetCall) => CallFate,
    isCut: (targetId: TargetId) => boolean,
  ) {
    this.#time = time;
    this.chooseFate = chooseFate;
    this.#isCut = isCut;
  }

  call(call: TargetCall): void {
    const open: OpenCall = {
      call,
      fate: this.chooseFate(call),
      connection: undefined,
      isSettled: false,
    };
    this.#openCalls.add(open);
    this.#time.after(call.effect.timeoutMs, () => this.#onTimeout(open));
    if (call.target === undefined) return;
    const idle = open.fate.openDelayMs === undefined ? this.#takeIdle(call) : undefined;
    if (idle === undefined) {
      const delayMs = open.fate.openDelayMs ?? LINK_LATENCY_MS;
      this.#time.after(delayMs, () => this.#tryOpen(open, call.target));
    } else this.#write(open, idle);
  }

  /** The host of a process that has ended closes its connections. */
  onProcessEnded(target: FakeTarget): void {
    const isOfTarget = (connection: Connection | undefined) => connection?.target === target;
    const closed = [...this.#openCalls].filter(({ connection }) => isOfTarget(connection));
    this.#time.after(LINK_LATENCY_MS, () => {
      closed.forEach((open) => this.#reset(open));
      this.#idle.forEach((connections, key) =>
        this.#idle.set(
          key,
          connections.filter((connection) => !isOfTarget(connection) || isAlive(connection)),
        ),
      );
    });
  }

  static #getPoolKey({ epoch, effect }: TargetCall): string {
    return `${epoch}/${effect.targetId}`;
  }

  #takeIdle(call: TargetCall): Connection | undefined {
    return this.#idle.get(NetworkModel.#getPoolKey(call))?.pop();
  }

  #returnIdle({ call, connection }: OpenCall): void {
    if (connection === undefined) return;
    const key = NetworkModel.#getPoolKey(call);
    this.#idle.set(key, [...(this.#idle.get(key) ?? []), connection]);
  }

  #tryOpen(open: OpenCall, target: FakeTarget | undefined): void {
    if (open.isSettled || target === undefined) return;
    const pauseMs = open.call.getPauseMs();
    if (pauseMs > 0) {
      this.#time.after(pauseMs, () => this.#tryOpen(open, target));
      return;
    }
    if (this.#isCut(target.id) || (!target.isUp && !target.isRefusing)) {
      this.#time.after(OPEN_RETRY_INTERVAL_MS, () => this.#tryOpen(open, target));
      return;
    }
    if (!target.isUp) {
      this.#settle(open, E.left({ kind: 'notSent', detail: 'refused', isConnectionClosed: true }));
      return;
    }
    this.#write(open, { target, incarnationStartMs: target.entry.incarnationStartMs });
  }

  #write(opened: OpenCall, connection: Connection): void {
    const open = opened;
    const obstacle = open.call.findObstacle();
    if (obstacle !== undefined) {
      // The caller does not expect an answer while it emits the call.
      this.#time.after(0, () => this.#settle(open, E.left({ kind: 'notSent', detail: obstacle })));
      return;
    }
    open.connection = connection;
    this.#time.after(LINK_LATENCY_MS, () => this.#arrive(open, connection));
  }

  #arrive(open: OpenCall, connection: Connection): void {
    const { fate } = open;
    const { target } = connection;
    if (fate.isSilent === true || this.#isCut(target.id)) return;
    if (!isAlive(connection)) {
      if (target.isUp || target.isRefusing)
        this.#time.after(LINK_LATENCY_MS, () => this.#reset(open));
      return;
    }
    this.#time.after(fate.performDelayMs ?? 0, () => this.#perform(open, connection));
    if (fate.repeatDelayMs === undefined) return;
    this.#time.after(fate.repeatDelayMs, () => {
      if (isAlive(connection)) open.call.perform(target, () => undefined);
    });
  }

  #perform(open: OpenCall, connection: Connection): void {
    const { fate, call } = open;
    const { target } = connection;
    if (!isAlive(connection)) return;
    call.perform(target, (result) => {
      if (fate.isAnswerLost === true || this.#isCut(target.id)) return;
      this.#time.after(LINK_LATENCY_MS + (fate.answerDelayMs ?? 0), () => {
        if (open.isSettled) return;
        const isReset = E.isLeft(result) && (result.left as TargetFailure).kind === 'lost';
        if (!isReset) this.#returnIdle(open);
        this.#settle(open, result);
      });
    });
  }

  #reset(open: OpenCall): void {
    const failure = { kind: 'lost', detail: 'connection closed', isConnectionClosed: true };
    this.#settle(open, E.left(failure));
  }

  /** A request that was not written in time never is; after a time-out the idle connections are not used again. */
  #onTimeout(open: OpenCall): void {
    if (open.isSettled) return;
    this.#idle.delete(NetworkModel.#getPoolKey(open.call));
    const kind = open.connection === undefined ? 'notSent' : 'lost';
    this.#settle(open, E.left({ kind, detail: 'timeout' }));
  }

  #settle(settled: OpenCall, result: E.Either<unknown, unknown>): void {
    const open = settled;
    if (open.isSettled) return;
    open.isSettled = true;
    this.#openCalls.delete(open);
    open.call.onAnswered(result);
  }
}
