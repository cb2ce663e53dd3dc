/** Decides which members may be evicted so that a shard never has two owners that start work. */

import type { MemberTable } from '../membership/memberTable';
import type { MemberView } from '../membership/types';
import type { Vm } from '../platform/types';
import type { MemberId, VmId } from '../types/ids';
import { MEMBER_EXPIRY_MS, VM_ABSENCE_TIMEOUT_MS } from './constants';
import { EvictionPromises } from './evictionPromises';
import type { EndedPromise } from './types';

interface ReportedPromiseEnd extends EndedPromise {
  readonly standbyId: MemberId;
}

/**
 * Facts about other members' deaths and promises. Once known, a fact never becomes invalid for the
 * row version that it concerns.
 */
export class EvictionPolicy {
  #members: MemberTable;

  #address: string;

  #vmId: VmId;

  #promises = new EvictionPromises();

  #deadIds = new Set<MemberId>();

  #reportedEnds: readonly ReportedPromiseEnd[] = [];

  #vmLastListedMs = new Map<VmId, number>();

  #lastVmListMs = Number.NEGATIVE_INFINITY;

  /**
   * @param members - members by the last scan
   * @param address - the address that this process listens on
   * @param vmId - the Vm that this process runs on
   */
  constructor(members: MemberTable, address: string, vmId: VmId) {
    this.#members = members;
    this.#address = address;
    this.#vmId = vmId;
  }

  /** Promises of this process that have ended. */
  get endedPromises(): readonly EndedPromise[] {
    return this.#promises.ended;
  }

  /**
   * Grants an owner the promise not to evict it, unless this process may already evict it.
   * @param ownerId - the owner
   * @param nowMs - the current time on this process's clock
   * @returns the duration of the promise in milliseconds; 0 if none is granted
   */
  getPromiseMs(ownerId: MemberId, nowMs: number): number {
    return this.#promises.getPromiseMs(ownerId, this.#members.get(ownerId)?.rowVersion, nowMs);
  }

  /**
   * Records that an incarnation is proven dead.
   * @param memberId - the incarnation
   */
  recordDeath(memberId: MemberId): void {
    this.#deadIds.add(memberId);
  }

  /**
   * Records which promises another member has ended, in place of its previous report.
   * @param standbyId - the member that reports them
   * @param ended - every promise that it has ended
   */
  recordEndedPromises(standbyId: MemberId, ended: readonly EndedPromise[]): void {
    const fromOthers = this.#reportedEnds.filter((reported) => reported.standbyId !== standbyId);
    this.#reportedEnds = [...fromOthers, ...ended.map((end) => ({ ...end, standbyId }))];
  }

  /**
   * Records the platform's list of Vms. A list that lacks this process's own Vm is not reliable and
   * is ignored.
   * @param vms - the list
   * @param nowMs - the current time on this process's clock
   */
  recordVmList(vms: readonly Vm[], nowMs: number): void {
    if (!vms.some((vm) => vm.vmId === this.#vmId)) return;
    this.#lastVmListMs = nowMs;
    vms.forEach((vm) => {
      if (vm.role === 'system') this.#vmLastListedMs.set(vm.vmId, nowMs);
    });
  }

  /**
   * Removes expired promises and what is known about members without a row.
   * @param nowMs - the current time on this process's clock
   */
  prune(nowMs: number): void {
    const isKnown = (memberId: MemberId) => this.#members.get(memberId) !== undefined;
    this.#promises.prune(isKnown, nowMs);
    this.#reportedEnds = this.#reportedEnds.filter((end) => isKnown(end.memberId));
    this.#deadIds.forEach((memberId) => {
      if (!isKnown(memberId)) this.#deadIds.delete(memberId);
    });
    const vmIds = new Set(this.#members.views.map((view) => view.row.vmId));
    [...this.#vmLastListedMs.keys()]
      .filter((vmId) => !vmIds.has(vmId))
      .forEach((vmId) => this.#vmLastListedMs.delete(vmId));
  }

  /**
   * Returns whether an incarnation is proven dead: a proof was recorded, or this process listens on
   * its address.
   * @param view - the member
   * @returns true if its process cannot act any more
   */
  isDead(view: MemberView): boolean {
    return this.#deadIds.has(view.row.memberId) || view.row.address === this.#address;
  }

  /**
   * Returns whether a member's row may be deleted at its current version. The call has a side
   * effect: it ends this process's own promise to the member if that promise has expired.
   * @param view - the member; not this process
   * @param selfId - this incarnation
   * @param nowMs - the current time on this process's clock
   * @returns true if the member cannot start work under this row version, now or later
   */
  canEvict(view: MemberView, selfId: MemberId, nowMs: number): boolean {
    if (this.isDead(view)) return true;
    if (!this.#members.isExpired(view, MEMBER_EXPIRY_MS, nowMs)) return false;
    const { memberId, standbyIds } = view.row;
    if (standbyIds.length === 0) return true;
    if (this.#isPromiseEndReported(view)) return true;
    if (standbyIds.includes(selfId)) {
      return this.#promises.tryEnd(memberId, view.rowVersion, nowMs);
    }
    return this.#isVmGone(view);
  }

  #isPromiseEndReported({ row, rowVersion }: MemberView): boolean {
    return this.#reportedEnds.some(
      (end) =>
        end.memberId === row.memberId &&
        end.rowVersion === rowVersion &&
        row.standbyIds.includes(end.standbyId),
    );
  }

  #isVmGone({ row, versionSeenMs }: MemberView): boolean {
    const lastListedMs = this.#vmLastListedMs.get(row.vmId) ?? versionSeenMs;
    return this.#lastVmListMs - Math.max(lastListedMs, versionSeenMs) > VM_ABSENCE_TIMEOUT_MS;
  }

  /**
   * Returns the state as plain data.
   * @returns the state; times are on this process's clock
   */
  dump() {
    return {
      promises: this.#promises.dump(),
      deadIds: [...this.#deadIds],
      reportedEnds: this.#reportedEnds,
    };
  }
}
