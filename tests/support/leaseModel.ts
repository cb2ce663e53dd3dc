/** Several lease keepers over one store, with every message, loss and passing of time as an action. */

import { LeaseKeeper } from '../../src/lease/leaseKeeper';
import type { EndedPromise, LeaseEffect, LeaseOrigin } from '../../src/lease/types';
import type { PlatformCall, PlatformResult } from '../../src/platform/types';
import { toId } from '../../src/types/ids';
import type { MemberId } from '../../src/types/ids';
import { FakePlatform } from '../../standins/fakePlatform';

/** Enough ticks for an eviction, a scan and an acquisition. */
const STEPS_OF_WORK = 4;

interface PlatformMessage {
  readonly kind: 'platformCall';
  readonly process: number;
  readonly incarnation: number;
  readonly origin: LeaseOrigin;
  readonly call: PlatformCall;
  /** The caller has been told that the call may or may not take effect. */
  isGivenUp: boolean;
}

interface Heartbeat {
  readonly sentToId: MemberId;
  readonly sentById: MemberId;
  readonly sentMs: number;
}

type Message =
  | PlatformMessage
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

/** One thing that can happen. */
export type LeaseAction =
  | { readonly kind: 'wait'; readonly durationMs: number }
  | { readonly kind: 'tick'; readonly process: number }
  /** A process runs undisturbed until it has nothing left to do. */
  | { readonly kind: 'work'; readonly process: number }
  | { readonly kind: 'beat'; readonly process: number; readonly to: number }
  | { readonly kind: 'deliver'; readonly message: number }
  | { readonly kind: 'giveUp'; readonly message: number }
  | { readonly kind: 'drop'; readonly message: number }
  | { readonly kind: 'kill'; readonly process: number }
  | { readonly kind: 'restart'; readonly process: number };

interface Process {
  keeper: LeaseKeeper;
  incarnation: number;
  isDown: boolean;
}

/** What a model allows. */
export interface LeaseModelPlan {
  readonly processCount: number;
  readonly shardCount: number;
  readonly waitsMs: readonly number[];
  readonly kinds: readonly LeaseAction['kind'][];
}

/** The model; time passes only by `wait`, and a process that is not ticked is paused. */
export class LeaseModel {
  readonly processes: Process[];

  nowMs = 0;

  /** Called with each platform call that takes effect. */
  onCall: ((process: number, call: PlatformCall, result: PlatformResult) => void) | undefined;

  #plan: LeaseModelPlan;

  #store = new FakePlatform();

  #messages: Message[] = [];

  constructor(plan: LeaseModelPlan) {
    this.#plan = plan;
    this.processes = Array.from({ length: plan.processCount }, (_, index) => ({
      keeper: LeaseModel.#createKeeper(index, 0),
      incarnation: 0,
      isDown: false,
    }));
  }

  static #createKeeper(index: number, incarnation: number): LeaseKeeper {
    return new LeaseKeeper(toId<MemberId>(`s${index}#${incarnation}`), {
      address: `s${index}`,
      vmId: toId(`entry-${index}`),
      dataCentreId: toId('delft'),
      region: 'west',
    });
  }

  getActions(): readonly LeaseAction[] {
    const indexes = this.processes.map((_, index) => index);
    const up = indexes.filter((index) => this.processes[index]?.isDown === false);
    const { waitsMs, kinds } = this.#plan;
    const actions: readonly LeaseAction[] = [
      ...waitsMs.map((durationMs): LeaseAction => ({ kind: 'wait', durationMs })),
      ...this.#messages.flatMap((message, index) => LeaseModel.#getFates(message, index)),
      ...up.map((process): LeaseAction => ({ kind: 'tick', process })),
      ...up.flatMap((process) =>
        indexes
          .filter((to) => to !== process)
          .map((to): LeaseAction => ({ kind: 'beat', process, to })),
      ),
      ...up.map((process): LeaseAction => ({ kind: 'work', process })),
      ...this.#getDeaths(),
    ];
    return actions.filter(({ kind }) => kinds.includes(kind));
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
        this.#work(action.process);
        break;
      case 'beat':
        this.beat(action.process, action.to);
        break;
      case 'deliver':
        this.#deliver(action.message);
        break;
      case 'giveUp':
        this.#giveUp(action.message);
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

  /** Everything, with times relative to now. */
  getState(): object {
    const state = {
      processes: this.processes.map(({ keeper, isDown }) => ({ isDown, keeper: keeper.dump() })),
      rows: this.#store.perform({ kind: 'range', prefix: '', after: '', limit: 100 }, 0),
      messages: this.#messages,
      nowMs: this.nowMs,
    };
    return JSON.parse(JSON.stringify(state)) as object;
  }

  findViolation(): string | undefined {
    const owners = new Map<string, number>();
    let violation: string | undefined;
    this.processes.forEach(({ keeper, isDown }, index) => {
      if (isDown) return;
      keeper.ownedShardIds
        .filter((shardId) => this.nowMs < keeper.getAuthorityUntilMs(shardId))
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
    const shards = Array.from({ length: this.#plan.shardCount }, (_, shard) => ({
      shardId: toId<never>(`shard-${shard}`),
      dataCentreId: 'delft',
    }));
    const effects = process.keeper.tick(this.nowMs, {
      shards,
      busyShardIds: new Set(),
      isLeaving: false,
      isHandingOver: false,
    });
    this.#send(index, effects);
  }

  /** A heartbeat arrives at once; its answer is a message. A process that is down refuses. */
  beat(index: number, to: number): void {
    const process = this.#getProcess(index);
    const peer = this.#getProcess(to);
    const view = process.keeper.members.views.find(({ row }) => row.address === `s${to}`);
    if (view === undefined) return;
    const sentToId = view.row.memberId;
    if (peer.isDown) {
      process.keeper.applyPeerDeath(this.nowMs, sentToId);
      return;
    }
    const { memberId: sentById } = process.keeper;
    this.#messages.push({
      kind: 'heartbeatAnswer',
      process: index,
      incarnation: process.incarnation,
      heartbeat: { sentToId, sentById, sentMs: this.nowMs },
      answeredById: peer.keeper.memberId,
      promiseMs: peer.keeper.getPromiseMs(sentById, this.nowMs),
      endedPromises: peer.keeper.endedPromises,
    });
  }

  /** Lets every process work for a while with nothing lost. */
  settle(roundCount: number): void {
    for (let round = 0; round < roundCount; round += 1) {
      this.nowMs += 1_000;
      this.processes.forEach(({ isDown }, index) => {
        if (!isDown) this.#work(index);
      });
    }
  }

  #work(index: number): void {
    this.processes.forEach((_, to) => {
      if (to !== index) this.beat(index, to);
    });
    for (let step = 0; step < STEPS_OF_WORK; step += 1) {
      this.tick(index);
      this.#deliverOwn(index);
    }
  }

  #deliverOwn(index: number): void {
    for (;;) {
      const own = this.#messages.findIndex((message) => message.process === index);
      if (own < 0) return;
      this.#deliver(own);
    }
  }

  #getProcess(index: number): Process {
    const process = this.processes[index];
    if (process === undefined) throw new Error(`no process ${index}`);
    return process;
  }

  static #getFates(message: Message, index: number): readonly LeaseAction[] {
    const deliver = { kind: 'deliver', message: index } as const;
    const drop = { kind: 'drop', message: index } as const;
    if (message.kind !== 'platformCall' || message.isGivenUp) return [deliver, drop];
    return [deliver, drop, { kind: 'giveUp', message: index }];
  }

  #getDeaths(): readonly LeaseAction[] {
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
        isGivenUp: false,
      });
    });
  }

  #answer(message: Message, result: PlatformResult): void {
    const process = this.#getProcess(message.process);
    if (process.isDown || process.incarnation !== message.incarnation) return;
    if (message.kind === 'heartbeatAnswer') return;
    const effects = process.keeper.applyResult(this.nowMs, message.origin, result);
    this.#send(message.process, effects);
  }

  #take(index: number): Message {
    const [message] = this.#messages.splice(index, 1);
    if (message === undefined) throw new Error(`no message ${index}`);
    return message;
  }

  #deliver(index: number): void {
    const message = this.#take(index);
    if (message.kind === 'platformAnswer') {
      this.#answer(message, message.result);
      return;
    }
    const { process: processIndex, incarnation } = message;
    if (message.kind === 'platformCall') {
      const result = this.#store.perform(message.call, 0);
      this.onCall?.(processIndex, message.call, result);
      if (message.isGivenUp) return;
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
    process.keeper.applyHeartbeatReply(this.nowMs, {
      ...heartbeat,
      answeredById,
      promiseMs,
      endedPromises,
    });
  }

  /** The caller's time limit passes while the call is still under way. */
  #giveUp(index: number): void {
    const message = this.#messages[index];
    if (message?.kind !== 'platformCall') return;
    message.isGivenUp = true;
    this.#answer(message, { kind: 'unavailable', detail: 'timeout' });
  }

  /** A call or an answer is lost; a caller that waits learns it by its time limit. */
  #drop(index: number): void {
    const message = this.#take(index);
    const isKnown = message.kind === 'platformCall' && message.isGivenUp;
    if (!isKnown) this.#answer(message, { kind: 'unavailable', detail: 'lost' });
  }

  #restart(index: number): void {
    const process = this.#getProcess(index);
    process.isDown = false;
    process.incarnation += 1;
    process.keeper = LeaseModel.#createKeeper(index, process.incarnation);
  }
}
