/** Model of the targets' registry, whose changes reach an owner late and at times out of date. */

import type { TargetEntry } from '../../src/owner/types';
import type { TargetId } from '../../src/types/ids';
import type { Random } from '../../src/types/random';
import type { FakeTarget } from '../../standins/fakeTarget';
import type { VirtualTime } from './virtualTime';

/** Interval at which targets renew their rows, and how many of them one may miss. */
export const BEAT_MS = 1_500;
const LAPSE_BEAT_COUNT = 3;

/** Resolution of the times at which single rows are renewed and lapse. */
const CHECK_INTERVAL_MS = 20;

/** A change of the registry as an owner receives it. */
export type RegistryEvent =
  | {
      readonly kind: 'targetChanged';
      readonly entry: TargetEntry;
      readonly writtenAfterMs?: number;
    }
  | { readonly kind: 'targetEntryUnreadable'; readonly targetId: TargetId }
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

  /** Changes that owners read once the feed goes on. */
  #unread: RegistryEvent[] = [];

  #isFeedStalled = false;

  #isAway = false;

  /** Targets whose rows are those of another writer and cannot be decoded. */
  #unreadableIds = new Set<TargetId>();

  constructor(time: VirtualTime, deliver: (event: RegistryEvent) => void) {
    this.#time = time;
    this.#deliver = (event) => {
      if (this.#isFeedStalled || this.#isAway) this.#unread.push(event);
      else deliver(event);
    };
  }

  /** While the feed is stalled, owners read no changes; then they read all of them at once. */
  setFeedStalled(isStalled: boolean): void {
    this.#isFeedStalled = isStalled;
    this.#flush();
  }

  /** While the store is away, targets write nothing and owners read nothing. */
  setAway(isAway: boolean): void {
    this.#isAway = isAway;
    this.#flush();
  }

  #flush(): void {
    if (this.#isFeedStalled || this.#isAway) return;
    const unread = this.#unread;
    this.#unread = [];
    unread.forEach((event) => this.#deliver(event));
  }

  /** A new owner reads the rows, and no change from before that. */
  readListing(): RegistryEvent {
    this.#unread = [];
    const unreadableIds = [...this.#unreadableIds];
    return { kind: 'targetsListed', entries: this.entries, unreadableIds };
  }

  /** The rows as a reader finds them now. */
  get entries(): readonly TargetEntry[] {
    return [...this.#rows.values()];
  }

  /**
   * A target writes its row.
   * @returns whether the row is stored
   */
  put(entry: TargetEntry): boolean {
    if (this.#isAway || this.cutOffIds.has(entry.id)) return false;
    const newest = this.#newest.get(entry.id);
    if (newest !== undefined && newest.incarnationStartMs > entry.incarnationStartMs) return false;
    if (newest !== undefined && newest.incarnationStartMs !== entry.incarnationStartMs)
      this.#former.set(entry.id, newest);
    this.#newest.set(entry.id, entry);
    this.#renewedAtMs.set(entry.id, this.#time.nowMs);
    this.#set(entry);
    return true;
  }

  /** Targets renew their rows from now on, and rows lapse that are not renewed. */
  startBeats(targets: ReadonlyMap<TargetId, FakeTarget>): void {
    targets.forEach((target) => {
      this.#renew(target);
      this.#lapseIfSilent(target.id);
    });
    this.#time.after(BEAT_MS, () => this.startBeats(targets));
  }

  /** Like {@link startBeats}, but each target renews its row at times of its own, and rows lapse at any time. */
  startSeparateBeats(targets: ReadonlyMap<TargetId, FakeTarget>, random: Random): void {
    const dueAtMs = new Map<TargetId, number>();
    const check = () => {
      const { nowMs } = this.#time;
      targets.forEach((target) => {
        const dueMs = dueAtMs.get(target.id) ?? nowMs + random.nextInt(BEAT_MS);
        if (nowMs >= dueMs) this.#renew(target);
        dueAtMs.set(target.id, nowMs >= dueMs ? dueMs + BEAT_MS : dueMs);
        this.#lapseIfSilent(target.id);
      });
      this.#time.after(CHECK_INTERVAL_MS, check);
    };
    check();
  }

  #renew(target: FakeTarget): void {
    if (!target.isUp || this.#isAway || this.cutOffIds.has(target.id)) return;
    this.put(target.renewEntry());
  }

  /** Removes the rows of all targets that have been silent for too long. */
  lapseSilent(targets: ReadonlyMap<TargetId, FakeTarget>): void {
    targets.forEach((_target, id) => this.#lapseIfSilent(id));
  }

  #lapseIfSilent(targetId: TargetId): void {
    const silentMs = this.#time.nowMs - (this.#renewedAtMs.get(targetId) ?? 0);
    if (this.mayLapse && silentMs >= LAPSE_BEAT_COUNT * BEAT_MS) this.#removeRow(targetId);
  }

  /** The row of a target that has left is removed for good, unless nobody can write it. */
  removeForGood(targetId: TargetId): void {
    if (this.#isAway || this.cutOffIds.has(targetId)) return;
    this.#removeRow(targetId);
    this.#newest.delete(targetId);
  }

  /** Another writer's entry replaces that of a target until that one writes again or is silent for too long. */
  putForeign(entry: TargetEntry): void {
    if (!this.#isAway) this.#set(entry);
  }

  /** Like {@link putForeign}, with bytes that cannot be decoded; owners are told only that. */
  putUnreadable(targetId: TargetId): void {
    if (this.#isAway || !this.#rows.delete(targetId)) return;
    this.#unreadableIds.add(targetId);
    this.#deliver({ kind: 'targetEntryUnreadable', targetId });
  }

  /** Another writer removes the row of a target, which is back once that one writes again. */
  removeForeign(targetId: TargetId): void {
    if (!this.#isAway) this.#removeRow(targetId);
  }

  #removeRow(targetId: TargetId): void {
    const wasUnreadable = this.#unreadableIds.delete(targetId);
    if (this.#rows.delete(targetId) || wasUnreadable)
      this.#deliver({ kind: 'targetRemoved', targetId });
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
    if (!this.#rows.has(targetId)) return;
    this.#removeRow(targetId);
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
    this.#unreadableIds.delete(entry.id);
    this.#rows.set(entry.id, entry);
    this.#deliver({ kind: 'targetChanged', entry, writtenAfterMs: this.#time.nowMs });
  }
}
