/** Decides which members may be evicted without a second owner ever starting work. */

import type { MemberTable } from '../membership/memberTable';
import type { MemberView } from '../membership/types';
import type { Vm } from '../platform/types';
import type { MemberId, VmId } from '../types/ids';
import { SILENT_MS, VM_GONE_MS } from './constants';
import { PromiseBook } from './promiseBook';
import type { EndedPromise } from './types';

interface HeardEnd extends EndedPromise {
  readonly standbyId: MemberId;
}

/** What is known of others' deaths and promises. Each fact holds for good for one row version. */
export class EvictionJudge {
  #members: MemberTable;

  #address: string;

  #vmId: VmId;

  #promises = new PromiseBook();

  #deadIds = new Set<MemberId>();

  #heardEnds: readonly HeardEnd[] = [];

  #vmListedMs = new Map<VmId, number>();

  #lastListMs = Number.NEGATIVE_INFINITY;

  /**
   * @param members - members as scanned
   * @param address - where this process itself listens
   * @param vmId - the Vm that this process runs on
   */
  constructor(members: MemberTable, address: string, vmId: VmId) {
    this.#members = members;
    this.#address = address;
    this.#vmId = vmId;
  }

  /** Promises of this process that were ended. */
  get endedPromises(): readonly EndedPromise[] {
    return this.#promises.ended;
  }

  /**
   * Gives an owner the promise not to evict it, if that can still be kept.
   * @param ownerId - the owner
   * @param nowMs - this process's clock
   * @returns for how long, in milliseconds; 0 for no promise
   */
  getPromiseMs(ownerId: MemberId, nowMs: number): number {
    return this.#promises.getPromiseMs(ownerId, this.#members.get(ownerId)?.rowVersion, nowMs);
  }

  /**
   * Records a proof that an incarnation is dead.
   * @param memberId - which
   */
  applyDeath(memberId: MemberId): void {
    this.#deadIds.add(memberId);
  }

  /**
   * Records which promises another member has ended.
   * @param standbyId - who said so
   * @param ended - all that it has ended
   */
  applyEnded(standbyId: MemberId, ended: readonly EndedPromise[]): void {
    const others = this.#heardEnds.filter((known) => known.standbyId !== standbyId);
    this.#heardEnds = [...others, ...ended.map((end) => ({ ...end, standbyId }))];
  }

  /**
   * Takes in the platform's list of Vms. A list without this process's own Vm says nothing.
   * @param vms - the list
   * @param nowMs - this process's clock
   */
  applyVms(vms: readonly Vm[], nowMs: number): void {
    if (!vms.some((vm) => vm.vmId === this.#vmId)) return;
    this.#lastListMs = nowMs;
    vms.forEach((vm) => {
      if (vm.role === 'system') this.#vmListedMs.set(vm.vmId, nowMs);
    });
  }

  /**
   * Drops what concerns members without a row.
   * @param nowMs - this process's clock
   */
  forgetGone(nowMs: number): void {
    const isKnown = (memberId: MemberId) => this.#members.get(memberId) !== undefined;
    this.#promises.forgetGone(isKnown, nowMs);
    this.#heardEnds = this.#heardEnds.filter((end) => isKnown(end.memberId));
    this.#deadIds.forEach((memberId) => {
      if (!isKnown(memberId)) this.#deadIds.delete(memberId);
    });
    const vmIds = new Set(this.#members.views.map((view) => view.row.vmId));
    [...this.#vmListedMs.keys()]
      .filter((vmId) => !vmIds.has(vmId))
      .forEach((vmId) => this.#vmListedMs.delete(vmId));
  }

  /**
   * Asks whether an incarnation is proven dead: another process has its address.
   * @param view - the member
   * @returns true when it can do nothing any more
   */
  isDead(view: MemberView): boolean {
    return this.#deadIds.has(view.row.memberId) || view.row.address === this.#address;
  }

  /**
   * Asks whether a member's row at its present version may be deleted. A promise of this process's
   * own that has lapsed is ended by the question.
   * @param view - the member, not this process
   * @param selfId - this incarnation
   * @param nowMs - this process's clock
   * @returns true when the member can start nothing, now or later, under this row
   */
  canEvict(view: MemberView, selfId: MemberId, nowMs: number): boolean {
    if (this.isDead(view)) return true;
    if (!this.#members.isExpired(view, SILENT_MS, nowMs)) return false;
    const { memberId, standbyIds } = view.row;
    if (standbyIds.length === 0) return true;
    if (this.#hasHeardEnd(view)) return true;
    if (standbyIds.includes(selfId)) {
      return this.#promises.tryEnd(memberId, view.rowVersion, nowMs);
    }
    return this.#isVmGone(view);
  }

  #hasHeardEnd({ row, rowVersion }: MemberView): boolean {
    return this.#heardEnds.some(
      (end) =>
        end.memberId === row.memberId &&
        end.rowVersion === rowVersion &&
        row.standbyIds.includes(end.standbyId),
    );
  }

  #isVmGone({ row, versionSeenMs }: MemberView): boolean {
    const listedMs = this.#vmListedMs.get(row.vmId) ?? versionSeenMs;
    return this.#lastListMs - Math.max(listedMs, versionSeenMs) > VM_GONE_MS;
  }

  /**
   * Gets the state as plain data.
   * @returns times on this process's clock
   */
  dump() {
    return {
      promises: this.#promises.dump(),
      deadIds: [...this.#deadIds],
      heardEnds: this.#heardEnds,
    };
  }
}
