/**
 * Knows which targets have room while no capacity is freed, as during one scheduling pass, so that in a full fleet only
 * these are examined for each of many waiting steps.
 */

import type { TaskDemand } from '../work/types';
import type { TargetState } from './targetState';

/** Targets on which a demand may fit; those of any greater demand are among them. */
interface Room {
  readonly charge: TaskDemand;
  targets: readonly TargetState[];
}

/** A resource that is not demanded fits anywhere, also where more is in use than there is. */
function mayFit(demanded: number, free: number): boolean {
  return demanded <= 0 || demanded <= free;
}

function mayDemandFit(charge: TaskDemand, free: TaskDemand): boolean {
  return (
    mayFit(charge.cpuMillis, free.cpuMillis) &&
    mayFit(charge.memoryMb, free.memoryMb) &&
    mayFit(charge.accelerators, free.accelerators)
  );
}

function isAtLeast(charge: TaskDemand, smaller: TaskDemand): boolean {
  return (
    charge.cpuMillis >= smaller.cpuMillis &&
    charge.memoryMb >= smaller.memoryMb &&
    charge.accelerators >= smaller.accelerators
  );
}

/** Targets with room by list of targets. */
export class RoomyTargets {
  #isCounted: (target: TargetState) => boolean;

  #rooms = new Map<readonly TargetState[], Room>();

  /**
   * @param isCounted - checks whether a target may be used at all
   */
  constructor(isCounted: (target: TargetState) => boolean) {
    this.#isCounted = isCounted;
  }

  /**
   * Gets the targets on which a task may fit.
   * @param targets - the targets to choose from, always the same array for the same targets
   * @param charge - its demand
   * @returns all of them on which it fits, and perhaps others, in the same order
   */
  get(targets: readonly TargetState[], charge: TaskDemand): readonly TargetState[] {
    const known = this.#rooms.get(targets);
    if (known !== undefined && isAtLeast(charge, known.charge)) {
      known.targets = known.targets.filter(({ free }) => mayDemandFit(known.charge, free));
      return known.targets;
    }
    const roomy = targets.filter(
      (target) => this.#isCounted(target) && mayDemandFit(charge, target.free),
    );
    this.#rooms.set(targets, { charge, targets: roomy });
    return roomy;
  }
}
