/**
 * Tracks the processes that must be notified of every change, and derives from their heartbeats
 * whether the active configuration is the newest.
 *
 * A process that accepts a change responds to the operator only after every registered process has
 * the version or is proven dead, or after ANNOUNCEMENT_TIMEOUT_MS. Therefore a process to which all
 * registered processes replied with versions no higher than its own knows, without the platform,
 * that no newer change was confirmed to an operator before the earliest of these heartbeats.
 */

import type { Row } from '../platform/types';
import type { ConfigVersion, MemberId } from '../types/ids';
import { toConfigVersion } from '../types/ids';
import { isConfigMemberRow } from './rows';
import type { ConfigGossip } from './types';

/** Maximum time for which the response to an operator waits for processes that do not confirm. */
export const ANNOUNCEMENT_TIMEOUT_MS = 4_000;

/**
 * A dead process is excluded from further confirmations only if its death is detected within this
 * time after its last confirmation. The time is less than ANNOUNCEMENT_TIMEOUT_MS, so the process
 * cannot have confirmed a newer change to an operator in between.
 */
export const MAX_DEATH_DETECTION_DELAY_MS = 3_500;

/** Silence after which a process is unregistered by a peer that exchanged heartbeats with it. */
export const UNREGISTRATION_DELAY_MS = 30_000;

/** A registered process other than this one. */
interface ConfigMember {
  readonly processId: MemberId;
  readonly address: string;
  /** Version of its row; 0 while it is not listed. */
  rowVersion: number;
  /** Highest configuration version that it is known to have. */
  version: ConfigVersion;
  /** Send time of the last heartbeat to which it replied with a version not above the local one. */
  confirmedAtMs: number;
  /** Send time of the last heartbeat to which it replied. */
  lastExchangeAtMs: number;
  /** Time of the last heartbeat or reply received from it. */
  lastHeardAtMs: number;
  /** `deadLate`: its death was detected too late, so it may have accepted a change before. */
  state: 'live' | 'dead' | 'deadLate';
  /** Send time of the first list request whose result did not contain it. */
  missingSinceMs: number | undefined;
}

/** A member whose row can be deleted. */
export interface UnregisterableMember {
  readonly processId: MemberId;
  readonly rowVersion: number;
}

/** The registered processes as known to one process. */
export class ConfigMembers {
  #processId: MemberId;

  #members = new Map<MemberId, ConfigMember>();

  #registeredAtMs = Number.POSITIVE_INFINITY;

  /**
   * @param processId - incarnation of this process
   */
  constructor(processId: MemberId) {
    this.#processId = processId;
  }

  /** True if the last member list contains this process. */
  get isSelfRegistered(): boolean {
    return Number.isFinite(this.#registeredAtMs);
  }

  /** Members that are not proven dead. */
  get live(): readonly ConfigMember[] {
    return [...this.#members.values()].filter((member) => member.state === 'live');
  }

  /**
   * Applies a list of all member rows.
   * @param rows - rows of all registered processes
   * @param sentMs - time at which the list was requested
   * @param nowMs - time at which it was received
   */
  applyMemberList(rows: readonly Row[], sentMs: number, nowMs: number): void {
    const listedIds = new Set<MemberId>();
    rows.forEach(({ value, version }) => {
      if (!isConfigMemberRow(value)) return;
      listedIds.add(value.processId);
      if (value.processId === this.#processId) return;
      const member = this.#getOrAdd(value.processId, value.address);
      member.rowVersion = version;
      member.missingSinceMs = undefined;
    });
    const isSelfListed = listedIds.has(this.#processId);
    if (!isSelfListed) this.#registeredAtMs = Number.POSITIVE_INFINITY;
    else if (!this.isSelfRegistered) this.#registeredAtMs = nowMs;
    this.#members.forEach((member) => {
      if (listedIds.has(member.processId) || member.lastHeardAtMs >= sentMs) return;
      member.rowVersion = 0;
      member.missingSinceMs ??= sentMs;
    });
  }

  /**
   * Records that the newest configuration was read. A later read shows all changes that a
   * process accepted before it disappeared from the member list, so it is removed only then.
   * @param sentMs - time at which the read was sent
   */
  applyConfigRead(sentMs: number): void {
    this.#members.forEach((member) => {
      if (member.missingSinceMs === undefined || member.missingSinceMs > sentMs) return;
      this.#members.delete(member.processId);
    });
  }

  /**
   * Records the configuration state received from a process.
   * @param gossip - the received state
   * @param nowMs - current time of this process's monotonic clock
   */
  recordGossip(gossip: ConfigGossip, nowMs: number): void {
    if (gossip.processId === this.#processId) return;
    this.#markPredecessorsDead(gossip, nowMs);
    const member = this.#getOrAdd(gossip.processId, gossip.address);
    if (member.state !== 'live') return;
    member.lastHeardAtMs = nowMs;
    if (gossip.version > member.version) member.version = gossip.version;
  }

  /**
   * Applies the reply to a heartbeat.
   * @param gossip - configuration state of the replying process
   * @param isCallerCounted - whether it notifies this process of every change that it accepts
   * @param sentMs - time at which the heartbeat was sent
   * @param nowMs - time at which the reply was received
   * @param ownVersion - version of the active configuration of this process
   */
  applyHeartbeatReply(
    gossip: ConfigGossip,
    isCallerCounted: boolean,
    sentMs: number,
    nowMs: number,
    ownVersion: ConfigVersion,
  ): void {
    this.recordGossip(gossip, nowMs);
    const member = this.#members.get(gossip.processId);
    if (member === undefined || member.state !== 'live') return;
    member.lastExchangeAtMs = Math.max(member.lastExchangeAtMs, sentMs);
    if (gossip.version > ownVersion || !isCallerCounted) return;
    member.confirmedAtMs = Math.max(member.confirmedAtMs, sentMs);
  }

  /**
   * Records a refused connection, which proves that no process listens at the address.
   * @param address - the address
   * @param nowMs - time of the refusal
   */
  recordConnectionRefused(address: string, nowMs: number): void {
    this.live
      .filter((member) => member.address === address)
      .forEach((member) => ConfigMembers.#markDead(member, nowMs));
  }

  /**
   * Records that a process confirmed a version.
   * @param processId - the process
   * @param version - the confirmed version
   */
  recordConfirmedVersion(processId: MemberId, version: ConfigVersion): void {
    const member = this.#members.get(processId);
    if (member !== undefined && version > member.version) member.version = version;
  }

  /**
   * Determines whether this process notifies another process of every change that it accepts.
   * @param processId - the other process
   * @returns true if the last member list contained the other process, or if this process is not
   *   registered, since it accepts no changes then
   */
  isCounted(processId: MemberId): boolean {
    return !this.isSelfRegistered || (this.#members.get(processId)?.rowVersion ?? 0) > 0;
  }

  /**
   * Gets the latest time before which, according to the members' replies, no newer change was
   * confirmed to an operator.
   * @param nowMs - current time of this process's monotonic clock
   * @returns the time on this process's monotonic clock; negative infinity if it is unknown
   */
  getConfirmedAtMs(nowMs: number): number {
    if (!this.isSelfRegistered) return Number.NEGATIVE_INFINITY;
    const required = [...this.#members.values()].filter((member) => member.state !== 'dead');
    return Math.min(nowMs, ...required.map((member) => member.confirmedAtMs));
  }

  /**
   * Gets the processes that may not know yet that this process is able to accept changes.
   * @returns their ids; empty if this process may accept changes
   */
  getUnmetProcessIds(): readonly MemberId[] {
    if (!this.isSelfRegistered) return [this.#processId];
    return this.live
      .filter((member) => member.lastExchangeAtMs < this.#registeredAtMs)
      .map((member) => member.processId);
  }

  /**
   * Gets the processes that are not known to have a version.
   * @param version - the version
   * @returns the members that still have to be notified
   */
  getOutdatedMembers(version: ConfigVersion): readonly ConfigMember[] {
    return this.live.filter((member) => member.version < version);
  }

  /**
   * Finds a member whose row can be deleted: a dead member, or one that exchanged heartbeats with
   * this process and has been silent since.
   * @param nowMs - current time of this process's monotonic clock
   * @returns the member, or undefined if there is none
   */
  tryGetUnregisterableMember(nowMs: number): UnregisterableMember | undefined {
    return [...this.#members.values()].find((member) => {
      if (member.rowVersion === 0) return false;
      if (member.state !== 'live') return true;
      const hasExchanged = member.lastExchangeAtMs >= this.#registeredAtMs;
      return hasExchanged && nowMs - member.lastHeardAtMs > UNREGISTRATION_DELAY_MS;
    });
  }

  /**
   * Returns the members for the state dump.
   * @param nowMs - current time of this process's monotonic clock
   * @returns the members as plain data
   */
  dump(nowMs: number) {
    return [...this.#members.values()].map((member) => ({
      processId: member.processId,
      state: member.state,
      version: member.version,
      isListed: member.rowVersion > 0,
      confirmedForMs: nowMs - member.confirmedAtMs,
      heardAgoMs: nowMs - member.lastHeardAtMs,
    }));
  }

  #getOrAdd(processId: MemberId, address: string): ConfigMember {
    const existing = this.#members.get(processId);
    if (existing !== undefined) return existing;
    const member: ConfigMember = {
      processId,
      address,
      rowVersion: 0,
      version: toConfigVersion(0),
      confirmedAtMs: Number.NEGATIVE_INFINITY,
      lastExchangeAtMs: Number.NEGATIVE_INFINITY,
      lastHeardAtMs: Number.NEGATIVE_INFINITY,
      state: 'live',
      missingSinceMs: undefined,
    };
    this.#members.set(processId, member);
    return member;
  }

  #markPredecessorsDead(gossip: ConfigGossip, nowMs: number): void {
    this.live
      .filter(
        ({ address, processId }) => address === gossip.address && processId !== gossip.processId,
      )
      .forEach((member) => ConfigMembers.#markDead(member, nowMs));
  }

  static #markDead(member: ConfigMember, nowMs: number): void {
    member.state =
      nowMs - member.confirmedAtMs <= MAX_DEATH_DETECTION_DELAY_MS ? 'dead' : 'deadLate';
  }
}
