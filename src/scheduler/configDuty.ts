/** The scheduler's part in keeping one configuration in force everywhere. */

import { ConfigChanger } from '../config/configChanger';
import { isAcceptedConfig } from '../config/configHolder';
import type { ConfigHolder } from '../config/configHolder';
import { ConfigMembers } from '../config/configMembers';
import type { ConfigEffect, ConfigPeerOrigin } from '../config/effects';
import {
  CONFIG_HEAD_KEY,
  CONFIG_KEY,
  CONFIG_MEMBER_PREFIX,
  getConfigMemberKey,
  hasRows,
  isConfigHeadRow,
  toJson,
} from '../config/rows';
import type { ConfigOrigin } from '../config/rows';
import type { AcceptedConfig, ConfigGossip } from '../config/types';
import type { PlatformResult, Row } from '../platform/types';
import type { HeartbeatReply, RpcResult, SchedulerCall } from '../rpc/types';
import { assertNever } from '../types/debug';
import { toId } from '../types/ids';
import type { MemberId, OperationId } from '../types/ids';

const READ_INTERVAL_MS = 1_000;
const LIST_INTERVAL_MS = 5_000;
const REGISTER_INTERVAL_MS = 500;
const UNREGISTER_INTERVAL_MS = 2_000;
const LIST_LIMIT = 1_000;

/** A heartbeat that was sent. */
export interface SentHeartbeat {
  readonly address: string;
  readonly sentMs: number;
}

/** Configuration duties of one scheduler. */
export class ConfigDuty {
  #processId: MemberId;

  #address: string;

  #holder: ConfigHolder;

  #members: ConfigMembers;

  #changer: ConfigChanger;

  #isBegun = false;

  #due = { readMs: 0, listMs: 0, registerMs: 0, unregisterMs: 0 };

  #ownRowVersion = 0;

  #operationCount = 0;

  /**
   * @param processId - this run of this scheduler
   * @param address - where others reach it
   * @param holder - the configuration in force
   */
  constructor(processId: MemberId, address: string, holder: ConfigHolder) {
    this.#processId = processId;
    this.#address = address;
    this.#holder = holder;
    this.#members = new ConfigMembers(processId);
    this.#changer = new ConfigChanger(processId, holder, this.#members);
  }

  /** Where heartbeats have to go so that the configuration can be confirmed. */
  get peers(): readonly { readonly processId: MemberId; readonly address: string }[] {
    return this.#members.live;
  }

  /**
   * Reads, registers, lists and carries changes on as far as it is time to.
   * @param nowMs - this process's clock
   * @returns what to do
   */
  tick(nowMs: number): readonly ConfigEffect[] {
    if (!this.#isBegun) this.#holder.setStartTime(nowMs);
    this.#isBegun = true;
    this.#holder.confirm(this.#members.getConfirmedAtMs(nowMs));
    return [
      ...this.#read(nowMs),
      ...this.#register(nowMs),
      ...this.#list(nowMs),
      ...this.#unregister(nowMs),
      ...this.#changer.tick(nowMs),
    ];
  }

  /**
   * Gets what every heartbeat carries.
   * @param nowMs - this process's clock
   * @returns version and age of its confirmation
   */
  getGossip(nowMs: number): ConfigGossip {
    const { version, confirmedAtMs: confirmedMs } = this.#holder;
    const confirmedAgeMs = Number.isFinite(confirmedMs) ? nowMs - confirmedMs : null;
    return { processId: this.#processId, address: this.#address, version, confirmedAgeMs };
  }

  /**
   * Takes in a peer's heartbeat.
   * @param nowMs - this process's clock
   * @param gossip - what it said
   * @returns what to do
   */
  applyHeartbeat(nowMs: number, gossip: ConfigGossip): readonly ConfigEffect[] {
    this.#members.recordGossip(gossip, nowMs);
    return this.#fetchFrom(gossip);
  }

  /**
   * Asks whether this process accepts no change without telling another.
   * @param processId - the other
   * @returns true when the other may rely on it
   */
  isCounted(processId: MemberId): boolean {
    return this.#members.isCounted(processId);
  }

  /**
   * Takes in what came of a heartbeat to a peer.
   * @param nowMs - this process's clock
   * @param sent - the heartbeat
   * @param result - what came of it
   * @returns what to do
   */
  applyHeartbeatResult(
    nowMs: number,
    sent: SentHeartbeat,
    result: RpcResult<HeartbeatReply>,
  ): readonly ConfigEffect[] {
    if (result.kind === 'notSent' && result.isRefused) {
      this.#members.recordConnectionRefused(sent.address, nowMs);
    }
    if (result.kind !== 'ok') return [];
    const { config: gossip, isCallerCounted } = result.value;
    const { version } = this.#holder;
    this.#members.applyHeartbeatReply(gossip, isCallerCounted, sent.sentMs, nowMs, version);
    const { confirmedAgeMs } = gossip;
    // Another's confirmation holds here too, as of the same moment.
    if (gossip.version <= version && confirmedAgeMs !== null) {
      this.#holder.confirm(sent.sentMs - confirmedAgeMs);
    }
    this.#holder.confirm(this.#members.getConfirmedAtMs(nowMs));
    return this.#fetchFrom(gossip);
  }

  /**
   * Takes in a peer's answer to an offer or a fetch.
   * @param nowMs - this process's clock
   * @param origin - which call
   * @param result - the answer
   * @returns what to do
   */
  applyPeer(
    nowMs: number,
    origin: ConfigPeerOrigin,
    result: RpcResult<unknown>,
  ): readonly ConfigEffect[] {
    if (result.kind !== 'ok') return [];
    switch (origin.kind) {
      case 'configFetch':
        return isAcceptedConfig(result.value) ? this.adopt(result.value) : [];
      case 'configOffer':
        this.#members.recordConfirmedVersion(origin.processId, origin.version);
        return this.#changer.tick(nowMs);
      default:
        return assertNever(origin);
    }
  }

  /**
   * Adopts a configuration unless it is older.
   * @param config - from the platform or a peer
   * @returns what to do
   */
  adopt(config: AcceptedConfig): readonly ConfigEffect[] {
    return this.#holder.tryAdopt(config) ? [{ kind: 'configChanged' }] : [];
  }

  /**
   * Takes in an operator's change.
   * @param nowMs - this process's clock
   * @param callId - of the call to answer
   * @param call - the change
   * @returns what to do
   */
  change(
    nowMs: number,
    callId: number,
    call: Extract<SchedulerCall, { kind: 'changeConfig' }>,
  ): readonly ConfigEffect[] {
    return this.#changer.start(nowMs, callId, call);
  }

  /**
   * Takes in what came of a platform call.
   * @param nowMs - this process's clock
   * @param origin - which call
   * @param result - what came of it
   * @returns what to do
   */
  applyPlatform(
    nowMs: number,
    origin: ConfigOrigin,
    result: PlatformResult,
  ): readonly ConfigEffect[] {
    switch (origin.kind) {
      case 'configHead':
        return hasRows(result) ? this.#applyHead(nowMs, result.rows, origin.sentMs) : [];
      case 'configRead':
        return hasRows(result) ? this.#applyRead(result.rows, origin.sentMs) : [];
      case 'configMembers':
        if (hasRows(result)) this.#applyListing(result.rows, origin.sentMs, nowMs);
        return [];
      case 'configRegister':
        if (result.kind === 'conflict') this.#ownRowVersion = result.rows[0]?.version ?? 0;
        this.#due.listMs = nowMs;
        return [];
      case 'configUnregister':
        this.#due.listMs = nowMs;
        return [];
      case 'configChangeRead':
        return this.#changer.applyReadResult(nowMs, origin.attempt, result);
      case 'configChangeWrite':
        return this.#changer.applyWriteResult(nowMs, origin, result);
      default:
        return assertNever(origin);
    }
  }

  /**
   * Gets the state for an operator; it holds no secret.
   * @param nowMs - this process's clock
   * @returns plain data
   */
  dump(nowMs: number) {
    return {
      version: this.#holder.version,
      freshForMs: this.#holder.getFreshUntilMs() - nowMs,
      isRegistered: this.#members.isSelfRegistered,
      unmetProcessIds: this.#members.getUnmetProcessIds(),
      members: this.#members.dump(nowMs),
      changes: this.#changer.dump(nowMs),
    };
  }

  /** The whole configuration is read only when there is a newer one. */
  #applyHead(nowMs: number, rows: readonly Row[], sentMs: number): readonly ConfigEffect[] {
    const value = rows[0]?.value;
    if (isConfigHeadRow(value) && value.version > this.#holder.version) {
      const origin = { kind: 'configRead', sentMs: nowMs } as const;
      return [{ kind: 'callPlatform', origin, call: { kind: 'read', keys: [CONFIG_KEY] } }];
    }
    this.#confirmRead(sentMs);
    return [];
  }

  #applyRead(rows: readonly Row[], sentMs: number): readonly ConfigEffect[] {
    const value = rows[0]?.value;
    const effects = isAcceptedConfig(value) ? this.adopt(value) : [];
    this.#confirmRead(sentMs);
    return effects;
  }

  #confirmRead(sentMs: number): void {
    this.#members.applyConfigRead(sentMs);
    this.#holder.confirm(sentMs);
  }

  #applyListing(rows: readonly Row[], sentMs: number, nowMs: number): void {
    this.#members.applyMemberList(rows, sentMs, nowMs);
    if (!this.#members.isSelfRegistered) this.#due.registerMs = nowMs;
  }

  #fetchFrom(gossip: ConfigGossip): readonly ConfigEffect[] {
    if (gossip.version <= this.#holder.version) return [];
    const origin = { kind: 'configFetch' } as const;
    return [{ kind: 'callPeer', origin, address: gossip.address, call: { kind: 'getConfig' } }];
  }

  #read(nowMs: number): readonly ConfigEffect[] {
    if (nowMs < this.#due.readMs) return [];
    this.#due.readMs = nowMs + READ_INTERVAL_MS;
    const origin = { kind: 'configHead', sentMs: nowMs } as const;
    return [{ kind: 'callPlatform', origin, call: { kind: 'read', keys: [CONFIG_HEAD_KEY] } }];
  }

  #list(nowMs: number): readonly ConfigEffect[] {
    if (nowMs < this.#due.listMs) return [];
    this.#due.listMs = nowMs + LIST_INTERVAL_MS;
    const origin = { kind: 'configMembers', sentMs: nowMs } as const;
    const prefix = CONFIG_MEMBER_PREFIX;
    const call = { kind: 'range', prefix, after: '', limit: LIST_LIMIT } as const;
    return [{ kind: 'callPlatform', origin, call }];
  }

  #register(nowMs: number): readonly ConfigEffect[] {
    if (this.#members.isSelfRegistered || nowMs < this.#due.registerMs) return [];
    this.#due.registerMs = nowMs + REGISTER_INTERVAL_MS;
    const key = getConfigMemberKey(this.#processId);
    const row = { processId: this.#processId, address: this.#address };
    return [this.#write('configRegister', key, this.#ownRowVersion, row)];
  }

  #unregister(nowMs: number): readonly ConfigEffect[] {
    const member = this.#members.tryGetUnregisterableMember(nowMs);
    if (member === undefined || nowMs < this.#due.unregisterMs) return [];
    this.#due.unregisterMs = nowMs + UNREGISTER_INTERVAL_MS;
    const key = getConfigMemberKey(member.processId);
    return [this.#write('configUnregister', key, member.rowVersion, null)];
  }

  #write(
    kind: 'configRegister' | 'configUnregister',
    key: string,
    version: number,
    row: object | null,
  ): ConfigEffect {
    this.#operationCount += 1;
    const operationId = toId<OperationId>(`${this.#processId}/config/${this.#operationCount}`);
    const checks = [{ key, version }];
    const writes = [{ key, value: row === null ? null : toJson(row) }];
    const call = { kind: 'transact', transaction: { operationId, checks, writes } } as const;
    return { kind: 'callPlatform', origin: { kind }, call };
  }
}
