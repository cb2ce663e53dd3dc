/**
 * Model of several lease managers that share a store. Message delivery, message loss, process
 * failures and the passage of time are explicit actions.
 */

import { LeaseManager } from '../../src/lease/leaseManager';
import type { EndedPromise, LeaseEffect, LeaseOrigin } from '../../src/lease/types';
import type { PlatformCall, PlatformResult } from '../../src/platform/types';
import { toId } from '../../src/types/ids';
import type { MemberId } from '../../src/types/ids';
import { FakePlatform } from '../../standins/fakePlatform';

/** Ticks that an eviction, a scan and an acquisition in a row need. */
const TICKS_PER_WORK = 4;

interface PlatformCallMessage {
  readonly kind: 'platformCall';
  readonly process: number;
  readonly incarnation: number;
  readonly origin: LeaseOrigin;
  readonly call: PlatformCall;
  /** Whether the call has timed out for the caller; it may still reach the store. */
  isTimedOut: boolean;
}

interface Heartbeat {
  readonly recipientId: MemberId;
  readonly senderId: MemberId;
  readonly sentMs: number;
}

type Message =
  | PlatformCallMessage
  | {
      readonly kind: 'platformAnswer';
      readonly process: number;
      readonly incarnation: number;
      readonly origin: LeaseOrigin;
      readonly result: PlatformResult;
    }
  | {
      readonly kind: 'heartbeatAnswer';
      readonly process: number;
      readonly incarnation: number;
      readonly heartbeat: Heartbeat;
      readonly answeredById: MemberId;
      readonly promiseMs: number;
      readonly endedPromises: readonly EndedPromise[];
    };

/** An action of the model. */
export type LeaseAction =
  | { readonly kind: 'wait'; readonly durationMs: number }
  | { readonly kind: 'tick'; readonly process: number }
  /** A process exchanges heartbeats and ticks without message loss until no work is left. */
  | { readonly kind: 'work'; readonly process: number }
  | { readonly kind: 'heartbeat'; readonly process: number; readonly recipient: number }
  | { readonly kind: 'deliver'; readonly message: number }
  | { readonly kind: 'timeOut'; readonly message: number }
  | { readonly kind: 'drop'; readonly message: number }
  | { readonly kind: 'kill'; readonly process: number }
  | { readonly kind: 'restart'; readonly process: number };

interface ModelProcess {
  leaseManager: LeaseManager;
  incarnation: number;
  isDown: boolean;
}

/** Size of a model and the actions that it allows. */
export interface LeaseModelOptions {
  readonly processCount: number;
  readonly shardCount: number;
  readonly waitDurationsMs: readonly number[];
  readonly actionKinds: readonly LeaseAction['kind'][];
}

/**
 * The model. Time passes only in `wait` actions; a process without ticks acts like a paused one.
 */
export class LeaseModel {
  readonly processes: ModelProcess[];

  nowMs = 0;

  /** Called for each platform call that the store performs. */
  onCall: ((process: number, call: PlatformCall, result: PlatformResult) => void) | undefined;

  #options: LeaseModelOptions;

  #store = new FakePlatform();

  #messages: Message[] = [];

  constructor(options: LeaseModelOptions) {
    this.#options = options;
    this.processes = Array.from({ length: options.processCount }, (_, index) => ({
      leaseManager: LeaseModel.#createLeaseManager(index, 0),
      incarnation: 0,
      isDown: false,
    }));
  }

  static #createLeaseManager(index: number, incarnation: number): LeaseManager {
    return new LeaseManager(toId<MemberId>(`s${index}#${incarnation}`), {
      address: `s${index}`,
      vmId: toId(`entry-${index}`),
      dataCentreId: toId('delft'),
      region: 'west',
    });
  }

  getActions(): readonly LeaseAction[] {
    const indexes = this.processes.map((_, index) => index);
    const runningIndexes = indexes.filter((index) => this.processes[index]?.isDown === false);
    const { waitDurationsMs, actionKinds } = this.#options;
    const actions: readonly LeaseAction[] = [
      ...waitDurationsMs.map((durationMs): LeaseAction => ({ kind: 'wait', durationMs })),
      ...this.#messages.flatMap((message, index) => LeaseModel.#getMessageActions(message, index)),
      ...runningIndexes.map((process): LeaseAction => ({ kind: 'tick', process })),
      ...runningIndexes.flatMap((process) =>
        indexes
          .filter((to) => to !== process)
          .map((recipient): LeaseAction => ({ kind: 'heartbeat', process, recipient })),
      ),
      ...runningIndexes.map((process): LeaseAction => ({ kind: 'work', process })),
      ...this.#getProcessActions(),
    ];
    return actions.filter(({ kind }) => actionKinds.includes(kind));
  }

  apply(action: LeaseAction): void {
    switch (action.kind) {
      case 'wait':
        this.nowMs += action.durationMs;
        break;
      case 'tick':
        this.tick(action.process);
        break;
      case 'work':
        this.#runUndisturbed(action.process);
        break;
      case 'heartbeat':
        this.sendHeartbeat(action.process, action.recipient);
        break;
      case 'deliver':
        this.#deliver(action.message);
        break;
      case 'timeOut':
        this.#timeOut(action.message);
        break;
      case 'drop':
        this.#drop(action.message);
        break;
      case 'kill':
        this.#getProcess(action.process).isDown = true;
        break;
      case 'restart':
        this.#restart(action.process);
        break;
      default:
    }
  }

  /** The complete state, including the absolute time. */
  getState(): object {
    const state = {
      processes: this.processes.map(({ leaseManager, isDown }) => ({
        isDown,
        leaseManager: leaseManager.dump(),
      })),
      rows: this.#store.perform({ kind: 'range', prefix: '', after: '', limit: 100 }, 0),
      messages: this.#messages,
      nowMs: this.nowMs,
    };
    return JSON.parse(JSON.stringify(state)) as object;
  }

  findViolation(): string | undefined {
    const owners = new Map<string, number>();
    let violation: string | undefined;
    this.processes.forEach(({ leaseManager, isDown }, index) => {
      if (isDown) return;
      leaseManager.ownedShardIds
        .filter((shardId) => this.nowMs < leaseManager.getAuthorityUntilMs(shardId))
        .forEach((shardId) => {
          const other = owners.get(shardId);
          if (other !== undefined) violation = `${shardId} owned by ${other} and ${index}`;
          owners.set(shardId, index);
        });
    });
    return violation;
  }

  tick(index: number): void {
    const process = this.#getProcess(index);
    const shards = Array.from({ length: this.#options.shardCount }, (_, shard) => ({
      shardId: toId<never>(`shard-${shard}`),
      dataCentreId: 'delft',
    }));
    const effects = process.leaseManager.tick(this.nowMs, {
      shards,
      busyShardIds: new Set(),
      isLeaving: false,
      isHandingOver: false,
    });
    this.#send(index, effects);
  }

  /**
   * Sends a heartbeat, which arrives immediately; its reply becomes a message. A process that is
   * down refuses the connection.
   */
  sendHeartbeat(index: number, recipient: number): void {
    const process = this.#getProcess(index);
    const peer = this.#getProcess(recipient);
    const view = process.leaseManager.members.views.find(
      ({ row }) => row.address === `s${recipient}`,
    );
    if (view === undefined) return;
    const recipientId = view.row.memberId;
    if (peer.isDown) {
      process.leaseManager.recordPeerDeath(this.nowMs, recipientId);
      return;
    }
    const { memberId: senderId } = process.leaseManager;
    this.#messages.push({
      kind: 'heartbeatAnswer',
      process: index,
      incarnation: process.incarnation,
      heartbeat: { recipientId, senderId, sentMs: this.nowMs },
      answeredById: peer.leaseManager.memberId,
      promiseMs: peer.leaseManager.getPromiseMs(senderId, this.nowMs),
      endedPromises: peer.leaseManager.endedPromises,
    });
  }

  /** Runs every process once per second of model time, without message loss. */
  settle(roundCount: number): void {
    for (let round = 0; round < roundCount; round += 1) {
      this.nowMs += 1_000;
      this.processes.forEach(({ isDown }, index) => {
        if (!isDown) this.#runUndisturbed(index);
      });
    }
  }

  #runUndisturbed(index: number): void {
    this.processes.forEach((_, recipient) => {
      if (recipient !== index) this.sendHeartbeat(index, recipient);
    });
    for (let step = 0; step < TICKS_PER_WORK; step += 1) {
      this.tick(index);
      this.#deliverMessagesOf(index);
    }
  }

  #deliverMessagesOf(index: number): void {
    for (;;) {
      const ownIndex = this.#messages.findIndex((message) => message.process === index);
      if (ownIndex < 0) return;
      this.#deliver(ownIndex);
    }
  }

  #getProcess(index: number): ModelProcess {
    const process = this.processes[index];
    if (process === undefined) throw new Error(`no process ${index}`);
    return process;
  }

  static #getMessageActions(message: Message, index: number): readonly LeaseAction[] {
    const deliver = { kind: 'deliver', message: index } as const;
    const drop = { kind: 'drop', message: index } as const;
    if (message.kind !== 'platformCall' || message.isTimedOut) return [deliver, drop];
    return [deliver, drop, { kind: 'timeOut', message: index }];
  }

  #getProcessActions(): readonly LeaseAction[] {
    return this.processes.map(({ isDown }, process) =>
      isDown ? { kind: 'restart', process } : { kind: 'kill', process },
    );
  }

  #send(index: number, effects: readonly LeaseEffect[]): void {
    const { incarnation } = this.#getProcess(index);
    effects.forEach((effect) => {
      if (effect.kind !== 'callPlatform') return;
      const { origin, call } = effect;
      this.#messages.push({
        kind: 'platformCall',
        process: index,
        incarnation,
        origin,
        call,
        isTimedOut: false,
      });
    });
  }

  #deliverResult(message: Message, result: PlatformResult): void {
    const process = this.#getProcess(message.process);
    if (process.isDown || process.incarnation !== message.incarnation) return;
    if (message.kind === 'heartbeatAnswer') return;
    const effects = process.leaseManager.applyResult(this.nowMs, message.origin, result);
    this.#send(message.process, effects);
  }

  #removeMessage(index: number): Message {
    const [message] = this.#messages.splice(index, 1);
    if (message === undefined) throw new Error(`no message ${index}`);
    return message;
  }

  #deliver(index: number): void {
    const message = this.#removeMessage(index);
    if (message.kind === 'platformAnswer') {
      this.#deliverResult(message, message.result);
      return;
    }
    const { process: processIndex, incarnation } = message;
    if (message.kind === 'platformCall') {
      const result = this.#store.perform(message.call, 0);
      this.onCall?.(processIndex, message.call, result);
      if (message.isTimedOut) return;
      const { origin } = message;
      this.#messages.push({
        kind: 'platformAnswer',
        process: processIndex,
        incarnation,
        origin,
        result,
      });
      return;
    }
    const process = this.#getProcess(processIndex);
    if (process.isDown || process.incarnation !== incarnation) return;
    const { heartbeat, answeredById, promiseMs, endedPromises } = message;
    process.leaseManager.applyHeartbeatReply(this.nowMs, {
      ...heartbeat,
      answeredById,
      promiseMs,
      endedPromises,
    });
  }

  /** A call times out for its caller while it is still in flight. */
  #timeOut(index: number): void {
    const message = this.#messages[index];
    if (message?.kind !== 'platformCall') return;
    message.isTimedOut = true;
    this.#deliverResult(message, { kind: 'unavailable', detail: 'timeout' });
  }

  /** A call or its response is lost; a caller that still waits for it observes a timeout. */
  #drop(index: number): void {
    const message = this.#removeMessage(index);
    const isCallerInformed = message.kind === 'platformCall' && message.isTimedOut;
    if (!isCallerInformed) this.#deliverResult(message, { kind: 'unavailable', detail: 'lost' });
  }

  #restart(index: number): void {
    const process = this.#getProcess(index);
    process.isDown = false;
    process.incarnation += 1;
    process.leaseManager = LeaseModel.#createLeaseManager(index, process.incarnation);
  }
}
