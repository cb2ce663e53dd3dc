/**
 * Tells targets that have left as announced from targets that have fallen silent. What ran on one that has left has
 * ended, so no lease has to be waited for. The registry drops a target when it has left, and otherwise only after some
 * time of silence; an entry of a draining target that goes sooner than that shows that the target has left.
 */

import type { OwnerState } from './ownerState';
import type { TargetState } from './targetState';

/** A removal proves a departure within this fraction of the time after which the registry drops a silent target. */
const PROOF_FRACTION = 3 / 4;

/** One entry that says that the target drains may be that of another writer. */
const MIN_DRAINING_ENTRIES = 2;

/** Finds out which targets have left. */
export class Departures {
  #state: OwnerState;

  /** When the registry last dropped a target that neither drained nor was silent, on the owner's clock. */
  #unfoundedAtMs = Number.NEGATIVE_INFINITY;

  /** Targets whose removal may prove their departure. */
  #candidates = new Set<TargetState>();

  /**
   * @param state - the shared state of the owner
   */
  constructor(state: OwnerState) {
    this.#state = state;
  }

  /**
   * Handles the removal of a target's entry, which the registry has reported by itself.
   * @param removed - the target
   */
  onRemoved(removed: TargetState): void {
    const target = removed;
    const { nowMs, steadyMs, resumedAtMs } = this.#state;
    if (!target.entry.isDraining) {
      // The registry drops targets that are alive, as after an outage in which no entry was renewed.
      if (target.isContacted && target.isResponding) this.#unfoundedAtMs = nowMs;
      return;
    }
    // The steady clock does not count a suspension, in which the entry may have lapsed.
    const isElapsedKnown = target.ownEntries.writtenAfterMs > resumedAtMs;
    if (target.ownEntries.drainingCount < MIN_DRAINING_ENTRIES) return;
    if (!isElapsedKnown || steadyMs - target.ownEntries.writtenAfterMs >= this.#proofMs) return;
    target.leftAtMs = nowMs;
    this.#candidates.add(target);
  }

  /**
   * Takes the targets that have certainly left since the last call.
   * @returns targets whose runs have ended
   */
  takeDeparted(): readonly TargetState[] {
    if (this.#candidates.size === 0) return [];
    const departed: TargetState[] = [];
    this.#candidates.forEach((target) => {
      if (!this.#isCandidate(target)) this.#candidates.delete(target);
      else if (!target.isResponding) departed.push(target);
    });
    departed.forEach((target) => this.#candidates.delete(target));
    return departed;
  }

  /** A further entry, or an answer to a call that was sent after the removal, shows that the target is alive. */
  #isCandidate(candidate: TargetState): boolean {
    const target = candidate;
    const { leftAtMs } = target;
    if (leftAtMs === undefined || this.#state.targets.get(target.id) !== target) return false;
    if (target.isRegistered || Math.abs(leftAtMs - this.#unfoundedAtMs) < this.#proofMs) {
      target.leftAtMs = undefined;
      return false;
    }
    return true;
  }

  get #proofMs(): number {
    return this.#state.registryLapseMs * PROOF_FRACTION;
  }
}
