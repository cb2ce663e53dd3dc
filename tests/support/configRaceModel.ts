/** Model of two configuration controllers and a platform; every message is an explicit action. */

import { ConfigHolder } from '../../src/config/configHolder';
import type { ConfigEffect } from '../../src/config/effects';
import { isConfigOperationRow, isConfigVersionRow } from '../../src/config/rows';
import type { ChangeResponse, ConfigChange } from '../../src/config/types';
import type { PlatformResult } from '../../src/platform/types';
import type { HeartbeatReply } from '../../src/rpc/types';
import { ConfigController } from '../../src/scheduler/configController';
import { toConfigVersion, toId } from '../../src/types/ids';
import type { MemberId } from '../../src/types/ids';
import type { Result } from '../../src/types/outcomes';
import { FakePlatform } from '../../standins/fakePlatform';
import type { ExplorerModel } from './explorer';
import { createSheet } from './sheets';

const TICK_INTERVAL_MS = 250;
const MAX_TICKS = 3;
const sheet = createSheet(['team-a'], ['delft']);

/** Delivers or loses the message at an index, advances time at a process, or requests a change. */
export type RaceAction =
  | { readonly kind: 'deliver' | 'lose'; readonly index: number }
  | { readonly kind: 'tick' | 'ask'; readonly index: number };

interface PendingMessage {
  readonly label: string;
  readonly isLosable: boolean;
  deliver(isLost: boolean): void;
}

const CHANGES: readonly ConfigChange[] = [
  { kind: 'withdrawKey', keyId: toId('key-team-a') },
  { kind: 'applySheet', basedOnVersion: toConfigVersion(1), sheet },
];

export class ConfigRaceModel implements ExplorerModel<RaceAction> {
  #store = new FakePlatform();

  #holders = CHANGES.map(() => new ConfigHolder());

  #controllers = this.#holders.map(
    (holder, index) => new ConfigController(toId<MemberId>(`p${index}#0`), `p${index}`, holder),
  );

  /** Log of the messages and responses, in order. */
  readonly session: string[] = [];

  #messages: PendingMessage[] = [];

  #responses = new Map<number, Result<ChangeResponse>>();

  #requestedIndexes = new Set<number>();

  #highestVersions = this.#holders.map(() => 0);

  #nowMs = 0;

  #tickCount = 0;

  constructor() {
    for (let round = 0; round < 6; round += 1) {
      this.#nowMs += TICK_INTERVAL_MS;
      this.#controllers.forEach((controller, index) =>
        this.#perform(index, controller.tick(this.#nowMs)),
      );
      this.#exchangeHeartbeat(0, 1);
      this.#exchangeHeartbeat(1, 0);
      if (round === 3) this.#requestChange(0, 9, { ...CHANGES[1], basedOnVersion: 0 } as never);
      while (this.#messages.length > 0) this.#messages.shift()?.deliver(false);
    }
  }

  getActions(): readonly RaceAction[] {
    const messages = this.#messages.flatMap((message, index): readonly RaceAction[] => {
      const deliver = { kind: 'deliver', index } as const;
      return message.isLosable ? [deliver, { kind: 'lose', index }] : [deliver];
    });
    const indexesToAsk = [0, 1].filter((index) => !this.#requestedIndexes.has(index));
    const indexesToTick = this.#tickCount < MAX_TICKS ? [0, 1] : [];
    return [
      ...messages,
      ...indexesToAsk.map((index) => ({ kind: 'ask', index }) as const),
      ...indexesToTick.map((index) => ({ kind: 'tick', index }) as const),
    ];
  }

  apply(action: RaceAction): void {
    switch (action.kind) {
      case 'ask':
        this.#requestedIndexes.add(action.index);
        this.session.push(`p${action.index} asked ${CHANGES[action.index]?.kind}`);
        this.#requestChange(action.index, action.index, CHANGES[action.index] as ConfigChange);
        return;
      case 'tick':
        this.#tickCount += 1;
        this.#nowMs += TICK_INTERVAL_MS;
        this.#perform(action.index, this.#controllers[action.index]?.tick(this.#nowMs) ?? []);
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
      asked: [...this.#requestedIndexes],
      answers: [...this.#responses],
      messages: this.#messages.map((message) => message.label),
      controllers: this.#controllers.map((controller) => controller.dump(this.#nowMs)),
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
    if (versions.length !== operations.length) return 'a change took effect twice or partially';
    for (const [index, holder] of this.#holders.entries()) {
      if (holder.version < (this.#highestVersions[index] ?? 0))
        return `p${index} returned to an older version`;
      this.#highestVersions[index] = holder.version;
    }
    for (const [callId, answer] of this.#responses) {
      const row = operations.find(({ key }) => key === `config/operation/op-${callId}`)?.value;
      if (answer.kind === 'error' && row !== undefined) return 'a refused change took effect';
      if (answer.kind === 'error') continue;
      if (!isConfigOperationRow(row)) return 'a confirmed change did not take effect';
      const { version } = answer.value;
      if (row.report.version !== version)
        return 'a change was confirmed with another version than it has';
      const stored = versions.find(({ key }) => key === `config/version/${version}`)?.value;
      if (!isConfigVersionRow(stored) || stored.operationId !== `op-${callId}`)
        return 'the version row of a confirmed change was overwritten';
    }
    return undefined;
  }

  #getRows(prefix: string) {
    const result = this.#store.perform({ kind: 'range', prefix, after: '', limit: 100 }, 0);
    return result.kind === 'rows' ? result.rows : [];
  }

  #requestChange(index: number, callId: number, change: ConfigChange): void {
    const call = { kind: 'changeConfig', change, operationId: toId(`op-${callId}`) } as const;
    this.#perform(
      index,
      this.#controllers[index]?.change(this.#nowMs, callId, call as never) ?? [],
    );
  }

  #exchangeHeartbeat(callerIndex: number, peerIndex: number): void {
    const [caller, peer] = [this.#controllers[callerIndex], this.#controllers[peerIndex]];
    if (caller === undefined || peer === undefined) return;
    const gossip = caller.getGossip(this.#nowMs);
    this.#perform(peerIndex, peer.applyHeartbeat(this.#nowMs, gossip));
    const isCallerCounted = peer.isCounted(gossip.processId);
    const value = { config: peer.getGossip(this.#nowMs), isCallerCounted } as HeartbeatReply;
    const sent = { address: `p${peerIndex}`, sentMs: this.#nowMs };
    const result = { kind: 'ok', value } as const;
    this.#perform(callerIndex, caller.applyHeartbeatResult(this.#nowMs, sent, result));
  }

  #perform(index: number, effects: readonly ConfigEffect[]): void {
    effects.forEach((effect) => {
      if (effect.kind === 'configChanged') {
        this.session.push(`p${index} has ${this.#holders[index]?.version} in force`);
      }
      if (effect.kind === 'replyCall') {
        this.session.push(`p${index} answers ${JSON.stringify(effect.value)}`);
        this.#responses.set(effect.callId, effect.value as Result<ChangeResponse>);
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
    const deliverResult = (result: PlatformResult, isLost: boolean) => {
      const controller = this.#controllers[index];
      const received = isLost ? ({ kind: 'unavailable', detail: 'lost' } as const) : result;
      this.#perform(
        index,
        controller?.applyPlatformResult(this.#nowMs, effect.origin, received) ?? [],
      );
    };
    const execute = (isLost: boolean) => deliverResult(this.#store.perform(effect.call, 0), isLost);
    this.#messages.push({ label, isLosable: effect.call.kind === 'transact', deliver: execute });
  }

  #sendToPeer(index: number, effect: Extract<ConfigEffect, { kind: 'callPeer' }>): void {
    const { call, origin } = effect;
    if (call.kind !== 'offerConfig') return;
    const deliver = (isLost: boolean) => {
      if (isLost) return;
      const peerIndex = 1 - index;
      this.#perform(peerIndex, this.#controllers[peerIndex]?.adopt(call.config) ?? []);
      const result = { kind: 'ok', value: {} } as const;
      this.#perform(
        index,
        this.#controllers[index]?.applyPeerResult(this.#nowMs, origin, result) ?? [],
      );
    };
    this.#messages.push({
      label: `p${index} offer ${call.config.version}`,
      isLosable: true,
      deliver,
    });
  }
}
