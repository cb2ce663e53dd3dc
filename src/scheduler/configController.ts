/** Keeps a scheduler's configuration current and takes part in the agreement on changes. */

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

const HEAD_READ_INTERVAL_MS = 1_000;
const MEMBER_LIST_INTERVAL_MS = 5_000;
const REGISTER_INTERVAL_MS = 500;
const UNREGISTER_INTERVAL_MS = 2_000;
const MAX_LISTED_MEMBERS = 1_000;

/** Address and send time of a heartbeat. */
export interface SentHeartbeat {
  readonly address: string;
  readonly sentMs: number;
}

/** Reads, confirms and changes the configuration on behalf of one scheduler. */
export class ConfigController {
  #processId: MemberId;

  #address: string;

  #holder: ConfigHolder;

  #members: ConfigMembers;

  #changer: ConfigChanger;

  #hasStarted = false;

  #schedule = { nextReadMs: 0, nextListMs: 0, nextRegisterMs: 0, nextUnregisterMs: 0 };

  #ownRowVersion = 0;

  #operationCount = 0;

  /**
   * @param processId - incarnation of this scheduler
   * @param address - address at which other processes reach it
   * @param holder - holds the active configuration
   */
  constructor(processId: MemberId, address: string, holder: ConfigHolder) {
    this.#processId = processId;
    this.#address = address;
    this.#holder = holder;
    this.#members = new ConfigMembers(processId);
    this.#changer = new ConfigChanger(processId, holder, this.#members);
  }

  /** Processes that must receive heartbeats for the configuration to be confirmed. */
  get peers(): readonly { readonly processId: MemberId; readonly address: string }[] {
    return this.#members.live;
  }

  /**
   * Performs the periodic reads and registrations that are due, and advances pending changes.
   * @param nowMs - current time of this process's monotonic clock
   * @returns the effects to perform
   */
  tick(nowMs: number): readonly ConfigEffect[] {
    if (!this.#hasStarted) this.#holder.setStartTime(nowMs);
    this.#hasStarted = true;
    this.#holder.confirm(this.#members.getConfirmedAtMs(nowMs));
    return [
      ...this.#readHeadIfDue(nowMs),
      ...this.#registerSelfIfDue(nowMs),
      ...this.#listMembersIfDue(nowMs),
      ...this.#unregisterMemberIfDue(nowMs),
      ...this.#changer.tick(nowMs),
    ];
  }

  /**
   * Creates the configuration part of a heartbeat.
   * @param nowMs - current time of this process's monotonic clock
   * @returns the active version and the age of its confirmation
   */
  getGossip(nowMs: number): ConfigGossip {
    const { version, confirmedAtMs: confirmedMs } = this.#holder;
    const confirmedAgeMs = Number.isFinite(confirmedMs) ? nowMs - confirmedMs : null;
    return { processId: this.#processId, address: this.#address, version, confirmedAgeMs };
  }

  /**
   * Applies a heartbeat received from a peer.
   * @param nowMs - current time of this process's monotonic clock
   * @param gossip - configuration part of the heartbeat
   * @returns the effects to perform
   */
  applyHeartbeat(nowMs: number, gossip: ConfigGossip): readonly ConfigEffect[] {
    this.#members.recordGossip(gossip, nowMs);
    return this.#fetchIfNewer(gossip);
  }

  /**
   * Determines whether this process notifies another process of every change that it accepts.
   * @param processId - the other process
   * @returns true if the other process may rely on being notified
   */
  isCounted(processId: MemberId): boolean {
    return this.#members.isCounted(processId);
  }

  /**
   * Applies the result of a heartbeat sent to a peer.
   * @param nowMs - current time of this process's monotonic clock
   * @param sent - the heartbeat
   * @param result - its result
   * @returns the effects to perform
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
    // The peer's confirmation also covers this process's version, which is at least as new. The age is
    // subtracted from the send time, since the peer measured it later.
    if (gossip.version <= version && confirmedAgeMs !== null) {
      this.#holder.confirm(sent.sentMs - confirmedAgeMs);
    }
    this.#holder.confirm(this.#members.getConfirmedAtMs(nowMs));
    return this.#fetchIfNewer(gossip);
  }

  /**
   * Applies a peer's response to an offer or a fetch.
   * @param nowMs - current time of this process's monotonic clock
   * @param origin - identifies the call
   * @param result - its result
   * @returns the effects to perform
   */
  applyPeerResult(
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
   * Adopts a configuration unless it is outdated.
   * @param config - configuration read from the platform or received from a peer
   * @returns the effects to perform
   */
  adopt(config: AcceptedConfig): readonly ConfigEffect[] {
    return this.#holder.tryAdopt(config) ? [{ kind: 'configChanged' }] : [];
  }

  /**
   * Starts a configuration change requested by an operator.
   * @param nowMs - current time of this process's monotonic clock
   * @param callId - id of the call to reply to
   * @param call - the requested change
   * @returns the effects to perform
   */
  change(
    nowMs: number,
    callId: number,
    call: Extract<SchedulerCall, { kind: 'changeConfig' }>,
  ): readonly ConfigEffect[] {
    return this.#changer.start(nowMs, callId, call);
  }

  /**
   * Applies the result of a platform call.
   * @param nowMs - current time of this process's monotonic clock
   * @param origin - identifies the call
   * @param result - its result
   * @returns the effects to perform
   */
  applyPlatformResult(
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
        if (hasRows(result)) this.#applyMemberList(result.rows, origin.sentMs, nowMs);
        return [];
      case 'configRegister':
        if (result.kind === 'conflict') this.#ownRowVersion = result.rows[0]?.version ?? 0;
        this.#schedule.nextListMs = nowMs;
        return [];
      case 'configUnregister':
        this.#schedule.nextListMs = nowMs;
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
   * Returns the state for operators, without secrets.
   * @param nowMs - current time of this process's monotonic clock
   * @returns plain, serializable data
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

  /** Applies the configuration head; the configuration itself is read only if its version is newer. */
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

  #applyMemberList(rows: readonly Row[], sentMs: number, nowMs: number): void {
    this.#members.applyMemberList(rows, sentMs, nowMs);
    if (!this.#members.isSelfRegistered) this.#schedule.nextRegisterMs = nowMs;
  }

  #fetchIfNewer(gossip: ConfigGossip): readonly ConfigEffect[] {
    if (gossip.version <= this.#holder.version) return [];
    const origin = { kind: 'configFetch' } as const;
    return [{ kind: 'callPeer', origin, address: gossip.address, call: { kind: 'getConfig' } }];
  }

  #readHeadIfDue(nowMs: number): readonly ConfigEffect[] {
    if (nowMs < this.#schedule.nextReadMs) return [];
    this.#schedule.nextReadMs = nowMs + HEAD_READ_INTERVAL_MS;
    const origin = { kind: 'configHead', sentMs: nowMs } as const;
    return [{ kind: 'callPlatform', origin, call: { kind: 'read', keys: [CONFIG_HEAD_KEY] } }];
  }

  #listMembersIfDue(nowMs: number): readonly ConfigEffect[] {
    if (nowMs < this.#schedule.nextListMs) return [];
    this.#schedule.nextListMs = nowMs + MEMBER_LIST_INTERVAL_MS;
    const origin = { kind: 'configMembers', sentMs: nowMs } as const;
    const prefix = CONFIG_MEMBER_PREFIX;
    const call = { kind: 'range', prefix, after: '', limit: MAX_LISTED_MEMBERS } as const;
    return [{ kind: 'callPlatform', origin, call }];
  }

  #registerSelfIfDue(nowMs: number): readonly ConfigEffect[] {
    if (this.#members.isSelfRegistered || nowMs < this.#schedule.nextRegisterMs) return [];
    this.#schedule.nextRegisterMs = nowMs + REGISTER_INTERVAL_MS;
    const key = getConfigMemberKey(this.#processId);
    const row = { processId: this.#processId, address: this.#address };
    return [this.#writeMemberRow('configRegister', key, this.#ownRowVersion, row)];
  }

  #unregisterMemberIfDue(nowMs: number): readonly ConfigEffect[] {
    const member = this.#members.tryGetUnregisterableMember(nowMs);
    if (member === undefined || nowMs < this.#schedule.nextUnregisterMs) return [];
    this.#schedule.nextUnregisterMs = nowMs + UNREGISTER_INTERVAL_MS;
    const key = getConfigMemberKey(member.processId);
    return [this.#writeMemberRow('configUnregister', key, member.rowVersion, null)];
  }

  #writeMemberRow(
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
