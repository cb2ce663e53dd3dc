/** Two configuration duties, their platform and the messages between them as explicit actions. */

import { ConfigHolder } from '../../src/config/configHolder';
import type { ConfigEffect } from '../../src/config/effects';
import { isConfigOperationRow, isConfigVersionRow } from '../../src/config/rows';
import type { ChangeAnswer, ConfigChange } from '../../src/config/types';
import type { PlatformResult } from '../../src/platform/types';
import type { HeartbeatReply } from '../../src/rpc/types';
import { ConfigDuty } from '../../src/scheduler/configDuty';
import { toConfigVersion, toId } from '../../src/types/ids';
import type { MemberId } from '../../src/types/ids';
import type { Result } from '../../src/types/outcomes';
import { FakePlatform } from '../../standins/fakePlatform';
import type { ExplorerModel } from './explorer';
import { createSheet } from './sheets';

const TICK_MS = 250;
const MAX_TICKS = 3;
const sheet = createSheet(['team-a'], ['delft']);

/** Deliver or lose the message at an index, let time pass at one process, or ask for a change. */
export type Action =
  | { readonly kind: 'deliver' | 'lose'; readonly index: number }
  | { readonly kind: 'tick' | 'ask'; readonly index: number };

interface Message {
  readonly label: string;
  readonly isLosable: boolean;
  deliver(isLost: boolean): void;
}

const CHANGES: readonly ConfigChange[] = [
  { kind: 'withdrawKey', keyId: toId('key-team-a') },
  { kind: 'applySheet', basedOnVersion: toConfigVersion(1), sheet },
];

export class Race implements ExplorerModel<Action> {
  #store = new FakePlatform();

  #holders = CHANGES.map(() => new ConfigHolder());

  #duties = this.#holders.map(
    (holder, index) => new ConfigDuty(toId<MemberId>(`p${index}#0`), `p${index}`, holder),
  );

  /** What was delivered, lost, sent and answered, in order. */
  readonly session: string[] = [];

  #messages: Message[] = [];

  #answers = new Map<number, Result<ChangeAnswer>>();

  #asked = new Set<number>();

  #highest = this.#holders.map(() => 0);

  #nowMs = 0;

  #tickCount = 0;

  constructor() {
    for (let round = 0; round < 6; round += 1) {
      this.#nowMs += TICK_MS;
      this.#duties.forEach((duty, index) => this.#perform(index, duty.tick(this.#nowMs)));
      this.#meet(0, 1);
      this.#meet(1, 0);
      if (round === 3) this.#ask(0, 9, { ...CHANGES[1], basedOnVersion: 0 } as never);
      while (this.#messages.length > 0) this.#messages.shift()?.deliver(false);
    }
  }

  getActions(): readonly Action[] {
    const messages = this.#messages.flatMap((message, index): readonly Action[] => {
      const deliver = { kind: 'deliver', index } as const;
      return message.isLosable ? [deliver, { kind: 'lose', index }] : [deliver];
    });
    const asks = [0, 1].filter((index) => !this.#asked.has(index));
    const ticks = this.#tickCount < MAX_TICKS ? [0, 1] : [];
    return [
      ...messages,
      ...asks.map((index) => ({ kind: 'ask', index }) as const),
      ...ticks.map((index) => ({ kind: 'tick', index }) as const),
    ];
  }

  apply(action: Action): void {
    switch (action.kind) {
      case 'ask':
        this.#asked.add(action.index);
        this.session.push(`p${action.index} asked ${CHANGES[action.index]?.kind}`);
        this.#ask(action.index, action.index, CHANGES[action.index] as ConfigChange);
        return;
      case 'tick':
        this.#tickCount += 1;
        this.#nowMs += TICK_MS;
        this.#perform(action.index, this.#duties[action.index]?.tick(this.#nowMs) ?? []);
        return;
      default: {
        const [message] = this.#messages.splice(action.index, 1);
        this.session.push(`${action.kind} ${message?.label}`);
        message?.deliver(action.kind === 'lose');
      }
    }
  }

  getState(): object {
    return {
      tickCount: this.#tickCount,
      asked: [...this.#asked],
      answers: [...this.#answers],
      messages: this.#messages.map((message) => message.label),
      duties: this.#duties.map((duty) => duty.dump(this.#nowMs)),
      rows: this.#getRows('config/').map(({ key, version, value }) => ({
        key,
        version,
        operationId: isConfigVersionRow(value) ? value.operationId : '',
      })),
    };
  }

  findViolation(): string | undefined {
    const versions = this.#getRows('config/version/');
    const operations = this.#getRows('config/operation/');
    if (versions.length !== operations.length) return 'a change took effect twice or halfway';
    for (const [index, holder] of this.#holders.entries()) {
      if (holder.version < (this.#highest[index] ?? 0)) return `p${index} went back`;
      this.#highest[index] = holder.version;
    }
    for (const [callId, answer] of this.#answers) {
      const row = operations.find(({ key }) => key === `config/operation/op-${callId}`)?.value;
      if (answer.kind === 'error' && row !== undefined) return 'a refused change took effect';
      if (answer.kind === 'error') continue;
      if (!isConfigOperationRow(row)) return 'an answered change did not take effect';
      const { version } = answer.value;
      if (row.report.version !== version) return 'answered with another version';
      const stored = versions.find(({ key }) => key === `config/version/${version}`)?.value;
      if (!isConfigVersionRow(stored) || stored.operationId !== `op-${callId}`)
        return 'overwritten';
    }
    return undefined;
  }

  #getRows(prefix: string) {
    const result = this.#store.perform({ kind: 'range', prefix, after: '', limit: 100 }, 0);
    return result.kind === 'rows' ? result.rows : [];
  }

  #ask(index: number, callId: number, change: ConfigChange): void {
    const call = { kind: 'changeConfig', change, operationId: toId(`op-${callId}`) } as const;
    this.#perform(index, this.#duties[index]?.change(this.#nowMs, callId, call as never) ?? []);
  }

  #meet(from: number, to: number): void {
    const [caller, peer] = [this.#duties[from], this.#duties[to]];
    if (caller === undefined || peer === undefined) return;
    const gossip = caller.getGossip(this.#nowMs);
    this.#perform(to, peer.applyHeartbeat(this.#nowMs, gossip));
    const isCallerCounted = peer.isCounted(gossip.processId);
    const value = { config: peer.getGossip(this.#nowMs), isCallerCounted } as HeartbeatReply;
    const sent = { address: `p${to}`, sentMs: this.#nowMs };
    const result = { kind: 'ok', value } as const;
    this.#perform(from, caller.applyHeartbeatResult(this.#nowMs, sent, result));
  }

  #perform(index: number, effects: readonly ConfigEffect[]): void {
    effects.forEach((effect) => {
      if (effect.kind === 'configChanged') {
        this.session.push(`p${index} has ${this.#holders[index]?.version} in force`);
      }
      if (effect.kind === 'replyCall') {
        this.session.push(`p${index} answers ${JSON.stringify(effect.value)}`);
        this.#answers.set(effect.callId, effect.value as Result<ChangeAnswer>);
      }
      if (effect.kind === 'callPlatform') this.#sendToPlatform(index, effect);
      if (effect.kind === 'callPeer') this.#sendToPeer(index, effect);
    });
  }

  #sendToPlatform(index: number, effect: Extract<ConfigEffect, { kind: 'callPlatform' }>): void {
    const checks = effect.call.kind === 'transact' ? effect.call.transaction.checks : [];
    const attempt = 'attempt' in effect.origin ? effect.origin.attempt : 0;
    const versions = checks.map(({ version }) => version).join();
    const label = `p${index} ${effect.origin.kind} ${attempt} ${versions}`;
    const answer = (result: PlatformResult, isLost: boolean) => {
      const duty = this.#duties[index];
      const received = isLost ? ({ kind: 'unavailable', detail: 'lost' } as const) : result;
      this.#perform(index, duty?.applyPlatform(this.#nowMs, effect.origin, received) ?? []);
    };
    const execute = (isLost: boolean) => answer(this.#store.perform(effect.call, 0), isLost);
    this.#messages.push({ label, isLosable: effect.call.kind === 'transact', deliver: execute });
  }

  #sendToPeer(index: number, effect: Extract<ConfigEffect, { kind: 'callPeer' }>): void {
    const { call, origin } = effect;
    if (call.kind !== 'offerConfig') return;
    const deliver = (isLost: boolean) => {
      if (isLost) return;
      const peerIndex = 1 - index;
      this.#perform(peerIndex, this.#duties[peerIndex]?.adopt(call.config) ?? []);
      const result = { kind: 'ok', value: {} } as const;
      this.#perform(index, this.#duties[index]?.applyPeer(this.#nowMs, origin, result) ?? []);
    };
    this.#messages.push({
      label: `p${index} offer ${call.config.version}`,
      isLosable: true,
      deliver,
    });
  }
}
