/** Model of the targets' registry, whose changes reach an owner late and at times out of date. */

import type { TargetEntry } from '../../src/owner/types';
import type { TargetId } from '../../src/types/ids';
import type { FakeTarget } from '../../standins/fakeTarget';
import type { VirtualTime } from './virtualTime';

/** Interval at which targets renew their rows, and how many of them one may miss. */
const BEAT_MS = 1_500;
const LAPSE_BEAT_COUNT = 3;

/** A change of the registry as an owner receives it. */
export type RegistryEvent =
  | {
      readonly kind: 'targetChanged';
      readonly entry: TargetEntry;
      readonly writtenAfterMs?: number;
    }
  | { readonly kind: 'targetRemoved'; readonly targetId: TargetId }
  | {
      readonly kind: 'targetsListed';
      readonly entries: readonly TargetEntry[];
      readonly unreadableIds?: readonly TargetId[];
    };

/** Keeps the rows that targets have written, and those of their former incarnations. */
export class RegistryModel {
  #time: VirtualTime;

  #deliver: (event: RegistryEvent) => void;

  #rows = new Map<TargetId, TargetEntry>();

  #newest = new Map<TargetId, TargetEntry>();

  #former = new Map<TargetId, TargetEntry>();

  #renewedAtMs = new Map<TargetId, number>();

  /** Targets that do not reach the registry. */
  readonly cutOffIds = new Set<TargetId>();

  /** Whether rows lapse, which they may not while the store is away. */
  mayLapse = true;

  constructor(time: VirtualTime, deliver: (event: RegistryEvent) => void) {
    this.#time = time;
    this.#deliver = deliver;
  }

  /** The rows as a reader finds them now. */
  get entries(): readonly TargetEntry[] {
    return [...this.#rows.values()];
  }

  /** A target writes its row. */
  put(entry: TargetEntry): void {
    if (this.cutOffIds.has(entry.id)) return;
    const newest = this.#newest.get(entry.id);
    if (newest !== undefined && newest.incarnationStartMs > entry.incarnationStartMs) return;
    if (newest !== undefined && newest.incarnationStartMs !== entry.incarnationStartMs)
      this.#former.set(entry.id, newest);
    this.#newest.set(entry.id, entry);
    this.#set(entry);
  }

  /** Targets renew their rows from now on, and rows lapse that are not renewed. */
  startBeats(targets: ReadonlyMap<TargetId, FakeTarget>): void {
    targets.forEach((target) => {
      if (target.isUp && !this.cutOffIds.has(target.id)) {
        this.#renewedAtMs.set(target.id, this.#time.nowMs);
        this.put(target.renewEntry());
      }
      const silentMs = this.#time.nowMs - (this.#renewedAtMs.get(target.id) ?? 0);
      const isLapsed = this.mayLapse && silentMs >= LAPSE_BEAT_COUNT * BEAT_MS;
      if (isLapsed && this.#rows.delete(target.id))
        this.#deliver({ kind: 'targetRemoved', targetId: target.id });
    });
    this.#time.after(BEAT_MS, () => this.startBeats(targets));
  }

  /** A late write of a target is performed, unless a later incarnation has written its row. */
  putLate(entry: TargetEntry): void {
    const newest = this.#newest.get(entry.id);
    if (newest?.incarnationStartMs === entry.incarnationStartMs) this.#set(entry);
  }

  /** The row of the former incarnation replaces that of a target for a while, as after a late write. */
  goBack(targetId: TargetId, durationMs: number): void {
    const former = this.#former.get(targetId);
    if (former === undefined) return;
    this.#set(former);
    this.#time.after(durationMs, () => this.#restore(targetId));
  }

  /** The row of a target is missing for a while. */
  remove(targetId: TargetId, durationMs: number): void {
    if (!this.#rows.delete(targetId)) return;
    this.#deliver({ kind: 'targetRemoved', targetId });
    this.#time.after(durationMs, () => this.#restore(targetId));
  }

  /** Lists all targets, those that have restarted with the rows of their former incarnations for a while. */
  listFormer(durationMs: number): void {
    this.#former.forEach((entry) => this.#rows.set(entry.id, entry));
    this.#deliver({ kind: 'targetsListed', entries: this.entries });
    this.#time.after(durationMs, () => {
      this.#newest.forEach((entry) => this.#rows.set(entry.id, entry));
      this.#deliver({ kind: 'targetsListed', entries: this.entries });
    });
  }

  #restore(targetId: TargetId): void {
    const newest = this.#newest.get(targetId);
    if (newest !== undefined) this.#set(newest);
  }

  #set(entry: TargetEntry): void {
    this.#rows.set(entry.id, entry);
    this.#deliver({ kind: 'targetChanged', entry, writtenAfterMs: this.#time.nowMs });
  }
}
