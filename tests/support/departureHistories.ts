/** Fleets with lasting tasks whose targets leave as announced, one or all of them. */

import type { TargetId } from '../../src/types/ids';
import { Random } from '../../src/types/random';
import type { StepSpec } from '../../src/work/types';
import type { FakeTarget } from '../../standins/fakeTarget';
import { DepartureModel, DRAIN_MS } from './departureModel';
import { IdleMeter } from './idleMeter';
import { createSubmission, NO_FAULTS, OwnerWorld } from './ownerWorld';
import { BEAT_MS } from './registryModel';
import { findLostTasks, LASTING, LASTING_TASKS } from './takeoverHistories';

/** Enough for all tasks, also while six drain and the advice service refuses four of ten. */
const TARGET_COUNT = 32;

/** By then all tasks run on targets that have listed them. */
const SETTLING_MS = 4_000;

/** Enough where one target is in trouble and no advice is needed. */
const TROUBLE_TARGET_COUNT = 12;

/** Delay until an owner reads a change of the registry. */
const MAX_REGISTRY_DELAY_MS = 200;

/** Targets are replaced this far apart. */
const REPLACEMENT_INTERVAL_MS = 700;

/** Time in which tasks that have no run get one, also when all leases have to end first. */
const AFTERMATH_MS = 16_000;

/** A target may drain for many seconds longer than it has to; its runs last as long, or until the lease ends. */
const LATE_EXIT_MS = 12_000;

/** Trouble begins before the target has to leave. */
const MAX_TROUBLE_AFTER_MS = 4_000;
const MAX_EARLY_TROUBLE_MS = 400;

const MAX_TAKEOVER_AT_MS = 9_000;

/** All that happens to a target in trouble has happened by then. */
const TROUBLE_MS = 18_000;

/** Tasks that end after a history; they advance fast enough not to be stopped for want of progress. */
const ENDING: Partial<StepSpec> = {
  ...LASTING,
  estimateMs: 90_000,
  policy: { kind: 'batch', isSpeculative: false },
};

/** How a history is played. */
export interface DepartureSetting {
  readonly seed: number;
  /** Whether the queue of the lasting tasks has advice. */
  readonly hasAdvice: boolean;
  /** When new owners take over, counted from the first notice; the former ones have stopped. */
  readonly takeoversMs?: readonly number[];
  readonly targetCount?: number;
  /** Whether the tasks end some day, so that they are not moved off a target that drains. */
  readonly areEnding?: boolean;
}

/** What has become of the tasks. */
export interface DepartureOutcome {
  /** The longest time for which a lasting task had no run on a target that is up. */
  readonly idleMs: number;
  /** Violations of the scheduler's guarantees, and tasks that do not have one run at the end. */
  readonly violations: readonly string[];
}

/** A fleet with lasting tasks, all of which have a run. */
export class DepartureHistory {
  readonly world: OwnerWorld;

  readonly model: DepartureModel;

  readonly random: Random;

  readonly #meter: IdleMeter;

  constructor(setting: DepartureSetting) {
    const { seed, hasAdvice, targetCount = TARGET_COUNT, areEnding = false } = setting;
    this.random = new Random(seed);
    const delays = new Random(seed + 1_000_003);
    this.world = new OwnerWorld({
      ...{ seed, targetCount, faults: NO_FAULTS },
      network: {
        chooseFate: () => ({}),
        getRegistryDelayMs: () => delays.nextInt(MAX_REGISTRY_DELAY_MS),
      },
    });
    this.model = new DepartureModel(this.world);
    this.#meter = new IdleMeter(this.world, LASTING_TASKS);
    this.world.takeOver();
    this.model.startBeats(seed + 2_000_003);
    this.world.run(500);
    this.world.submit(
      createSubmission(1, [areEnding ? ENDING : LASTING], hasAdvice ? { advice: 'costly' } : {}),
    );
    this.world.run(SETTLING_MS);
    this.world.run(this.random.nextInt(BEAT_MS));
    if (findLostTasks(this.world.targets.values()).length > 0)
      throw new Error('expected that all tasks run');
  }

  /** The targets that hold tasks. */
  get holders(): readonly FakeTarget[] {
    return [...this.world.targets.values()].filter(({ isUp, runs }) => isUp && runs.size > 0);
  }

  /** Draws a target that holds a task. */
  drawHolder(): FakeTarget {
    const { holders } = this;
    const holder = holders[this.random.nextInt(holders.length)];
    if (holder === undefined) throw new Error('expected a target with a run');
    return holder;
  }

  /** Schedules takeovers, their times counted from now. */
  scheduleTakeovers(timesMs: readonly number[]): void {
    timesMs.forEach((atMs) => this.world.time.after(atMs, () => this.model.takeOver()));
  }

  /** Lets time pass and measures the time without a run. */
  play(durationMs: number): DepartureOutcome {
    this.#meter.run(durationMs);
    const lost = findLostTasks(this.world.targets.values());
    return { idleMs: this.#meter.longestMs, violations: [...this.world.broken, ...lost] };
  }
}

/** One target with a lasting task leaves. */
export function playDeparture(setting: DepartureSetting): DepartureOutcome {
  const history = new DepartureHistory(setting);
  history.model.depart(history.drawHolder().id);
  history.scheduleTakeovers(setting.takeoversMs ?? []);
  return history.play(DRAIN_MS + AFTERMATH_MS);
}

/** All targets that the fleet had leave one after another, and another one starts for each. */
export function playReplacement(setting: DepartureSetting): DepartureOutcome {
  const history = new DepartureHistory(setting);
  const { world, model } = history;
  const ids: readonly TargetId[] = [...world.targets.keys()];
  ids.forEach((id, index) => {
    world.time.after(index * REPLACEMENT_INTERVAL_MS, () => {
      model.depart(id);
      world.addTarget(`replacement-${index}`);
    });
  });
  history.scheduleTakeovers(setting.takeoversMs ?? []);
  return history.play(ids.length * REPLACEMENT_INTERVAL_MS + DRAIN_MS + AFTERMATH_MS);
}

/** What happens to a target while it drains, or without a notice; its runs go on. */
export type Trouble = (history: DepartureHistory, targetId: TargetId) => void;

/** How a target gets into trouble. */
export interface TroubleOptions {
  /** Time from the notice to the end. */
  readonly drainMs?: number;
  readonly isAnnounced?: boolean;
}

/** Draws up to two takeovers, before or after the entry of a target that drains has gone. */
function drawTakeovers(random: Random): readonly number[] {
  return Array.from({ length: random.nextInt(3) }, () => random.nextInt(MAX_TAKEOVER_AT_MS));
}

/**
 * Plays a history in which a target with a task is in trouble some time after its notice.
 * @param seed - determines when the trouble begins and when owners follow one another
 * @param trouble - what happens to the target
 * @returns violations, with the times that were drawn
 */
export function playTrouble(
  seed: number,
  trouble: Trouble,
  { drainMs = LATE_EXIT_MS, isAnnounced = true }: TroubleOptions = {},
): readonly string[] {
  const areEnding = seed % 3 > 0;
  const setting = { seed, hasAdvice: false, targetCount: TROUBLE_TARGET_COUNT, areEnding };
  const history = new DepartureHistory(setting);
  const { world, model, random } = history;
  const { id } = history.drawHolder();
  // Lasting tasks may soon be moved off a target that drains.
  const troubleAfterMs = random.nextInt(areEnding ? MAX_TROUBLE_AFTER_MS : MAX_EARLY_TROUBLE_MS);
  const takeoversMs = drawTakeovers(random);
  if (isAnnounced) model.depart(id, { drainMs });
  world.time.after(troubleAfterMs, () => trouble(history, id));
  history.scheduleTakeovers(takeoversMs);
  world.run(TROUBLE_MS + AFTERMATH_MS);
  const lost = findLostTasks(world.targets.values());
  const timing = `trouble after ${troubleAfterMs} ms, takeovers [${takeoversMs.join(', ')}]`;
  return [...world.broken, ...lost].map((line) => `seed ${seed}, ${timing}: ${line}`);
}
