/**
 * Model of targets that leave as announced: a target says that it drains, goes on for a while, and then ends with all
 * that runs there, and its entry is removed at once. Besides, what looks like that and is not: the target runs on.
 */

import { assertNever } from '../../src/types/debug';
import type { TargetId } from '../../src/types/ids';
import { Random } from '../../src/types/random';
import type { FakeTarget } from '../../standins/fakeTarget';
import type { OwnerWorld } from './ownerWorld';
import type { RegistryModel } from './registryModel';

/** Time from the stored notice of a target to its end. */
export const DRAIN_MS = 4_000;

/** Interval at which a target repeats a notice that has not been stored. */
const NOTICE_RETRY_INTERVAL_MS = 100;

/** Interval at which a node tries to become the owner. */
const CLAIM_RETRY_INTERVAL_MS = 100;

/** For good, as seen by a history. */
export const FOREVER_MS = Number.POSITIVE_INFINITY;

/** How far the number of another writer's entry is ahead of that of the target. */
const REVISION_STEP = 1_000;

/** What is odd about an entry of another writer. */
export type ForeignKind = 'unreadable' | 'address' | 'revision' | 'draining';

/** How a target leaves. */
export interface DepartureOptions {
  /** Time from the stored notice to the end; targets may take longer than they have to. */
  readonly drainMs?: number;
  /** When another incarnation starts under the same id, counted from the end; never if it is not given. */
  readonly returnAfterMs?: number;
  /** Called when the notice has been stored. */
  readonly onAnnounced?: () => void;
}

/** Lets targets of a world leave. */
export class DepartureModel {
  readonly #world: OwnerWorld;

  readonly #registry: RegistryModel;

  /** @param world - a world with a registry that lags behind */
  constructor(world: OwnerWorld) {
    const { registry } = world;
    if (registry === undefined) throw new Error('expected a simulated registry');
    this.#world = world;
    this.#registry = registry;
  }

  /** Targets renew their entries, each at times of its own. */
  startBeats(seed: number): void {
    this.#registry.startSeparateBeats(this.#world.targets, new Random(seed));
  }

  /** A target announces that it leaves, and leaves once the store has had the notice for a while. */
  depart(targetId: TargetId, options: DepartureOptions = {}): void {
    const { drainMs = DRAIN_MS, returnAfterMs = FOREVER_MS, onAnnounced } = options;
    const target = this.#world.targets.get(targetId);
    if (target?.isUp !== true || target.entry.isDraining) return;
    target.startDraining();
    const { incarnationStartMs } = target.entry;
    const isSame = () => target.isUp && target.entry.incarnationStartMs === incarnationStartMs;
    const announce = () => {
      if (!isSame()) return;
      if (!this.#registry.put(target.entry)) {
        this.#world.time.after(NOTICE_RETRY_INTERVAL_MS, announce);
        return;
      }
      onAnnounced?.();
      this.#world.time.after(drainMs, () => isSame() && this.#exit(target, returnAfterMs));
    };
    announce();
  }

  /** The process ends and its host closes all connections. */
  #exit({ id }: FakeTarget, returnAfterMs: number): void {
    this.#world.crashProcess(id, returnAfterMs);
    this.#registry.removeForGood(id);
  }

  /**
   * A new owner reads the registry as it is, with the entries that it cannot decode. There is none while the store is
   * away, which decides who the owner is.
   */
  takeOver(isFormerAlive = false, suspensionMs = 0): void {
    const world = this.#world;
    if (!world.isStoreAvailable) {
      world.time.after(CLAIM_RETRY_INTERVAL_MS, () => this.takeOver(isFormerAlive, suspensionMs));
      return;
    }
    world.registryListing = this.#registry.readListing();
    world.takeOver(isFormerAlive, suspensionMs);
    world.registryListing = undefined;
  }

  /** Owners do not reach a target, which runs on; it may not reach the registry either. */
  cutOff(targetId: TargetId, durationMs: number, from: 'all' | 'owners' | 'registry'): void {
    const world = this.#world;
    if (from !== 'registry') world.partition(targetId, durationMs);
    if (from === 'owners') return;
    this.#registry.cutOffIds.add(targetId);
    world.time.after(durationMs, () => this.#registry.cutOffIds.delete(targetId));
  }

  /** The store is away: nobody writes or reads, and entries may lapse meanwhile. */
  stopStore(durationMs: number, mayLapse: boolean): void {
    const world = this.#world;
    const registry = this.#registry;
    this.#setStore(true, mayLapse);
    world.time.after(durationMs, () => {
      // Entries that have not lapsed meanwhile do so before their targets can write.
      registry.mayLapse = true;
      registry.lapseSilent(world.targets);
      this.#setStore(false, true);
    });
  }

  #setStore(isAway: boolean, mayLapse: boolean): void {
    this.#world.isStoreAvailable = !isAway;
    this.#registry.mayLapse = mayLapse;
    this.#registry.setAway(isAway);
  }

  /** Owners read what changes in the registry only after a while. */
  stallFeed(durationMs: number): void {
    this.#registry.setFeedStalled(true);
    this.#world.time.after(durationMs, () => this.#registry.setFeedStalled(false));
  }

  /** Another writer replaces the entry of a target, and removes it after a while. */
  writeForeign(targetId: TargetId, kind: ForeignKind, removeAfterMs: number): void {
    const target = this.#world.targets.get(targetId);
    if (target === undefined) return;
    const { entry } = target;
    const next = { ...entry, revision: entry.revision + 1 };
    switch (kind) {
      case 'unreadable':
        this.#registry.putUnreadable(targetId);
        break;
      case 'address':
        this.#registry.putForeign({ ...next, address: 'nowhere' });
        break;
      case 'revision':
        this.#registry.putForeign({ ...next, revision: entry.revision + REVISION_STEP });
        break;
      case 'draining':
        this.#registry.putForeign({ ...next, isDraining: true });
        break;
      default:
        assertNever(kind);
    }
    this.#world.time.after(removeAfterMs, () => this.#registry.removeForeign(targetId));
  }
}
