/**
 * The processes that must learn of every change, and what their heartbeats prove.
 *
 * An accepting process answers its operator only after every registered process has the version, is
 * proven dead, or ANNOUNCE_WAIT_MS have passed. So a process that heard every registered one with a
 * version no higher than its own knows that no newer change was answered before the earliest of the
 * heartbeats, without the platform.
 */

import type { Row } from '../platform/types';
import type { ConfigVersion, MemberId } from '../types/ids';
import { toConfigVersion } from '../types/ids';
import { isConfigMemberRow } from './rows';
import type { ConfigGossip } from './types';

/** An operator's answer waits for silent processes for this long. */
export const ANNOUNCE_WAIT_MS = 4_000;

/** A death counts as proof only this soon after the process was heard; see ANNOUNCE_WAIT_MS. */
export const DEATH_GAP_MS = 3_500;

/** A process silent for longer is unregistered by one that has spoken to it. */
export const UNREGISTER_AFTER_MS = 30_000;

/** A registered process other than this one. */
interface ConfigMember {
  readonly processId: MemberId;
  readonly address: string;
  /** Version of its row, 0 while it is not listed. */
  rowVersion: number;
  /** Highest version that it is known to have. */
  version: ConfigVersion;
  /** When the heartbeat was sent that it answered with a version no higher than this process's. */
  goodMs: number;
  /** When the last heartbeat was sent that it answered. */
  exchangedMs: number;
  /** When it was last heard in either direction. */
  heardMs: number;
  /** `deadLate` died unobserved and may have accepted a change before. */
  state: 'live' | 'dead' | 'deadLate';
  /** When a listing without it was sent. */
  missingMs: number | undefined;
}

/** A member that can be unregistered. */
export interface Unregisterable {
  readonly processId: MemberId;
  readonly rowVersion: number;
}

/** Membership for configuration of one process. */
export class ConfigMembers {
  #processId: MemberId;

  #members = new Map<MemberId, ConfigMember>();

  #registeredMs = Number.POSITIVE_INFINITY;

  /**
   * @param processId - this run of this process
   */
  constructor(processId: MemberId) {
    this.#processId = processId;
  }

  /** True when the platform has listed this process. */
  get isSelfRegistered(): boolean {
    return Number.isFinite(this.#registeredMs);
  }

  /** Members that are not proven dead. */
  get live(): readonly ConfigMember[] {
    return [...this.#members.values()].filter((member) => member.state === 'live');
  }

  /**
   * Takes in a listing of all rows.
   * @param rows - every registered process
   * @param sentMs - when the listing was asked for
   * @param nowMs - when it came
   */
  applyListing(rows: readonly Row[], sentMs: number, nowMs: number): void {
    const listed = new Set<MemberId>();
    rows.forEach(({ value, version }) => {
      if (!isConfigMemberRow(value)) return;
      listed.add(value.processId);
      if (value.processId === this.#processId) return;
      const member = this.#getOrAdd(value.processId, value.address);
      member.rowVersion = version;
      member.missingMs = undefined;
    });
    const isSelfListed = listed.has(this.#processId);
    if (!isSelfListed) this.#registeredMs = Number.POSITIVE_INFINITY;
    else if (!this.isSelfRegistered) this.#registeredMs = nowMs;
    this.#members.forEach((member) => {
      if (listed.has(member.processId) || member.heardMs >= sentMs) return;
      member.rowVersion = 0;
      member.missingMs ??= sentMs;
    });
  }

  /**
   * Takes in that the newest configuration was read. What a process accepted before it was missing
   * from a listing is part of what a later read shows, so only then is it forgotten.
   * @param sentMs - when the read was sent
   */
  applyRead(sentMs: number): void {
    this.#members.forEach((member) => {
      if (member.missingMs === undefined || member.missingMs > sentMs) return;
      this.#members.delete(member.processId);
    });
  }

  /**
   * Takes in that a process called.
   * @param gossip - what it said
   * @param nowMs - this process's clock
   */
  applyCall(gossip: ConfigGossip, nowMs: number): void {
    if (gossip.processId === this.#processId) return;
    this.#markReplaced(gossip, nowMs);
    const member = this.#getOrAdd(gossip.processId, gossip.address);
    if (member.state !== 'live') return;
    member.heardMs = nowMs;
    if (gossip.version > member.version) member.version = gossip.version;
  }

  /**
   * Takes in the answer to a heartbeat.
   * @param gossip - what the process said
   * @param isCallerCounted - whether it accepts no change without telling this process
   * @param sentMs - when the heartbeat was sent
   * @param nowMs - when the answer came
   * @param ownVersion - the version in force here
   */
  applyReply(
    gossip: ConfigGossip,
    isCallerCounted: boolean,
    sentMs: number,
    nowMs: number,
    ownVersion: ConfigVersion,
  ): void {
    this.applyCall(gossip, nowMs);
    const member = this.#members.get(gossip.processId);
    if (member === undefined || member.state !== 'live') return;
    member.exchangedMs = Math.max(member.exchangedMs, sentMs);
    if (gossip.version > ownVersion || !isCallerCounted) return;
    member.goodMs = Math.max(member.goodMs, sentMs);
  }

  /**
   * Takes in that a connection was refused, which proves that no process listens there.
   * @param address - where
   * @param nowMs - when the refusal came
   */
  applyRefused(address: string, nowMs: number): void {
    this.live
      .filter((member) => member.address === address)
      .forEach((member) => ConfigMembers.#markDead(member, nowMs));
  }

  /**
   * Takes in that a process has a version.
   * @param processId - which
   * @param version - what it confirmed
   */
  applyOffered(processId: MemberId, version: ConfigVersion): void {
    const member = this.#members.get(processId);
    if (member !== undefined && version > member.version) member.version = version;
  }

  /**
   * Asks whether this process accepts no change without telling another.
   * @param processId - the other
   * @returns true while this process is not registered, since it accepts nothing then, or when the
   *   other's row was in the last listing
   */
  isCounted(processId: MemberId): boolean {
    return !this.isSelfRegistered || (this.#members.get(processId)?.rowVersion ?? 0) > 0;
  }

  /**
   * Gets since when no newer change can have been answered, by what members said.
   * @param nowMs - this process's clock
   * @returns the time on this process's clock; negative infinity when it can't be said
   */
  getConfirmedMs(nowMs: number): number {
    if (!this.isSelfRegistered) return Number.NEGATIVE_INFINITY;
    const required = [...this.#members.values()].filter((member) => member.state !== 'dead');
    return Math.min(nowMs, ...required.map((member) => member.goodMs));
  }

  /**
   * Gets the processes that do not know yet that this one may accept changes.
   * @returns their ids; empty when it may
   */
  getUnmet(): readonly MemberId[] {
    if (!this.isSelfRegistered) return [this.#processId];
    return this.live
      .filter((member) => member.exchangedMs < this.#registeredMs)
      .map((member) => member.processId);
  }

  /**
   * Gets the processes that are not known to have a version.
   * @param version - the version
   * @returns the members that still have to be told
   */
  getBehind(version: ConfigVersion): readonly ConfigMember[] {
    return this.live.filter((member) => member.version < version);
  }

  /**
   * Gets a member whose row can go: it is dead, or it has spoken to this process and fell silent.
   * @param nowMs - this process's clock
   * @returns the member, if any
   */
  tryGetUnregisterable(nowMs: number): Unregisterable | undefined {
    return [...this.#members.values()].find((member) => {
      if (member.rowVersion === 0) return false;
      if (member.state !== 'live') return true;
      const hasMet = member.exchangedMs >= this.#registeredMs;
      return hasMet && nowMs - member.heardMs > UNREGISTER_AFTER_MS;
    });
  }

  /**
   * Gets the members for an operator.
   * @param nowMs - this process's clock
   * @returns plain data
   */
  dump(nowMs: number) {
    return [...this.#members.values()].map((member) => ({
      processId: member.processId,
      state: member.state,
      version: member.version,
      isListed: member.rowVersion > 0,
      confirmedForMs: nowMs - member.goodMs,
      heardAgoMs: nowMs - member.heardMs,
    }));
  }

  #getOrAdd(processId: MemberId, address: string): ConfigMember {
    const known = this.#members.get(processId);
    if (known !== undefined) return known;
    const member: ConfigMember = {
      processId,
      address,
      rowVersion: 0,
      version: toConfigVersion(0),
      goodMs: Number.NEGATIVE_INFINITY,
      exchangedMs: Number.NEGATIVE_INFINITY,
      heardMs: Number.NEGATIVE_INFINITY,
      state: 'live',
      missingMs: undefined,
    };
    this.#members.set(processId, member);
    return member;
  }

  #markReplaced(gossip: ConfigGossip, nowMs: number): void {
    this.live
      .filter(
        ({ address, processId }) => address === gossip.address && processId !== gossip.processId,
      )
      .forEach((member) => ConfigMembers.#markDead(member, nowMs));
  }

  static #markDead(member: ConfigMember, nowMs: number): void {
    member.state = nowMs - member.goodMs <= DEATH_GAP_MS ? 'dead' : 'deadLate';
  }
}
