/**
 * Seeded random histories in which targets leave as announced, are silent, crash or are cut off while they drain, their
 * entries lapse or are replaced by those of other writers, the store goes away and owners follow one another.
 */

import type { SubmissionId, TargetId } from '../../src/types/ids';
import { Random } from '../../src/types/random';
import { DepartureModel, DRAIN_MS } from './departureModel';
import { createSubmission, NO_FAULTS, OwnerWorld } from './ownerWorld';
import { findLostTasks, LASTING, LASTING_TASKS } from './takeoverHistories';
import { drawFate } from './takeoverStorms';

const TARGET_COUNT = 24;
const ACTION_COUNT = 40;
const MAX_ACTION_INTERVAL_MS = 1_200;

/** So many targets at most cannot be reached, and so many drain at a time, so that there is room for all tasks. */
const MAX_CUT_COUNT = 4;
const MAX_DRAINING_COUNT = 4;

const MAX_CUT_MS = 16_000;

/** Targets may drain for many seconds longer than they have to. */
const MAX_LATE_EXIT_MS = 10_000;

const MAX_OUTAGE_MS = 8_000;
const MAX_STALL_MS = 7_000;

/** Late requests, leases, doubts and quarantines have ended by then. */
const CALM_MS = 45_000;

/** The last exit of a target that drains, a repeated notice included. */
const MAX_DEPARTURE_MS = DRAIN_MS + MAX_LATE_EXIT_MS + MAX_OUTAGE_MS + MAX_CUT_MS;

/** A history in progress. */
class DepartureStorm {
  readonly world: OwnerWorld;

  readonly #model: DepartureModel;

  readonly #random: Random;

  #isCalm = false;

  /** When all injected faults have ended. */
  #faultsEndAtMs = 0;

  #feedStalledUntilMs = 0;

  #cutIds = new Set<TargetId>();

  #batchIds: SubmissionId[] = [];

  constructor(seed: number) {
    this.#random = new Random(seed);
    const networkRandom = new Random(seed + 1_000_003);
    this.world = new OwnerWorld({
      ...{ seed, targetCount: TARGET_COUNT, faults: NO_FAULTS },
      network: {
        chooseFate: (call) => (this.#isCalm ? {} : drawFate(call, networkRandom)),
        getRegistryDelayMs: () => networkRandom.nextInt(this.#isCalm ? 10 : 400),
      },
    });
    this.#model = new DepartureModel(this.world);
    this.world.takeOver();
    this.#model.startBeats(seed + 2_000_003);
  }

  run(): readonly string[] {
    const { world } = this;
    const random = this.#random;
    world.run(500);
    world.submit(
      createSubmission(1, [LASTING], random.nextInt(2) === 0 ? { advice: 'cheap' } : {}),
    );
    world.run(2_000);
    for (let number = 2; number < 2 + ACTION_COUNT; number += 1) {
      this.#disturb(number);
      world.run(random.nextInt(MAX_ACTION_INTERVAL_MS));
    }
    this.#isCalm = true;
    world.run(Math.max(0, this.#faultsEndAtMs - world.time.nowMs) + CALM_MS);
    const open = this.#batchIds.filter((id) => ['pending', 'running'].includes(world.getState(id)));
    const unfinished = open.map((id) => `LOST: ${id} has not ended`);
    return [...world.broken, ...findLostTasks(world.targets.values()), ...unfinished];
  }

  #disturb(number: number): void {
    const random = this.#random;
    const targetId = this.#drawTarget();
    switch (random.nextInt(16)) {
      case 0:
      case 1:
      case 2:
        this.#depart(targetId, number);
        break;
      case 3:
      case 4:
        this.#departWithTrouble(targetId, number);
        break;
      case 5:
        this.#cut(targetId);
        break;
      case 6:
        this.#restart(targetId);
        break;
      case 7:
      case 8:
        this.#stopStore();
        break;
      case 9:
        this.#stallFeed();
        break;
      case 10:
        this.#writeForeign(targetId);
        break;
      case 11:
      case 12:
        this.#takeOver();
        break;
      case 13:
        this.#failRun();
        break;
      default:
        this.#submitBatch(number);
    }
  }

  /** Prefers targets that hold lasting tasks. */
  #drawTarget(): TargetId {
    const up = [...this.world.targets.values()].filter(({ isUp }) => isUp);
    const holders = up.filter(({ runs }) => LASTING_TASKS.some((task) => runs.has(task)));
    const drawn = holders.length > 0 && this.#random.nextInt(4) > 0 ? holders : up;
    const target = drawn[this.#random.nextInt(drawn.length)];
    if (target === undefined) throw new Error('expected a target');
    return target.id;
  }

  #extendFaults(durationMs: number): void {
    this.#faultsEndAtMs = Math.max(this.#faultsEndAtMs, this.world.time.nowMs + durationMs);
  }

  #countDraining(): number {
    return [...this.world.targets.values()].filter(({ isUp, entry }) => isUp && entry.isDraining)
      .length;
  }

  /** A target leaves, and another one starts for it; some come back under their ids. */
  #depart(targetId: TargetId, number: number, onAnnounced = () => {}): void {
    if (this.#countDraining() >= MAX_DRAINING_COUNT) return;
    const random = this.#random;
    const isLate = random.nextInt(3) === 0;
    const drainMs = DRAIN_MS + random.nextInt(isLate ? MAX_LATE_EXIT_MS : 300);
    const returns = random.nextInt(4) === 0;
    const returnAfterMs = returns ? { returnAfterMs: 20 + random.nextInt(6_000) } : {};
    this.#extendFaults(MAX_DEPARTURE_MS);
    this.#model.depart(targetId, { drainMs, onAnnounced, ...returnAfterMs });
    this.world.addTarget(`replacement-${number}`);
  }

  /** Something happens to a target while it drains, so that its entry goes for another reason. */
  #departWithTrouble(targetId: TargetId, number: number): void {
    const random = this.#random;
    const delayMs = random.nextInt(DRAIN_MS);
    const trouble = random.nextInt(5);
    this.#depart(targetId, number, () =>
      this.world.time.after(delayMs, () => {
        if (trouble === 0) this.#restart(targetId);
        else if (trouble === 1) this.#writeForeign(targetId);
        else this.#cut(targetId);
      }),
    );
  }

  #cut(targetId: TargetId): void {
    if (this.#isCalm || this.#cutIds.has(targetId) || this.#cutIds.size >= MAX_CUT_COUNT) return;
    const random = this.#random;
    const from = (['all', 'all', 'owners', 'registry'] as const)[random.nextInt(4)] ?? 'all';
    const durationMs = random.nextInt(MAX_CUT_MS);
    this.#cutIds.add(targetId);
    this.#extendFaults(durationMs);
    this.world.time.after(durationMs, () => this.#cutIds.delete(targetId));
    this.#model.cutOff(targetId, durationMs, from);
  }

  #restart(targetId: TargetId): void {
    if (this.#isCalm || this.world.targets.get(targetId)?.isUp !== true) return;
    const downMs = 20 + this.#random.nextInt(this.#random.nextInt(2) === 0 ? 800 : 8_000);
    this.#extendFaults(downMs);
    if (this.#random.nextInt(2) === 0) this.world.crash(targetId, downMs);
    else this.world.crashProcess(targetId, downMs);
  }

  #stopStore(): void {
    if (!this.world.isStoreAvailable) return;
    const durationMs = 500 + this.#random.nextInt(MAX_OUTAGE_MS - 500);
    this.#extendFaults(durationMs);
    this.#model.stopStore(durationMs, this.#random.nextInt(2) === 0);
  }

  #stallFeed(): void {
    const { nowMs } = this.world.time;
    if (nowMs < this.#feedStalledUntilMs) return;
    const durationMs = this.#random.nextInt(MAX_STALL_MS);
    this.#feedStalledUntilMs = nowMs + durationMs;
    this.#extendFaults(durationMs);
    this.#model.stallFeed(durationMs);
  }

  #writeForeign(targetId: TargetId): void {
    if (this.#isCalm) return;
    const kinds = ['unreadable', 'address', 'revision'] as const;
    const kind = kinds[this.#random.nextInt(kinds.length)] ?? 'unreadable';
    const removeAfterMs = this.#random.nextInt(2_500);
    this.#extendFaults(removeAfterMs);
    this.#model.writeForeign(targetId, kind, removeAfterMs);
  }

  #takeOver(): void {
    const random = this.#random;
    const isFormerAlive = random.nextInt(2) === 0;
    this.#model.takeOver(isFormerAlive, random.nextInt(2) * random.nextInt(2_000));
  }

  #failRun(): void {
    const task = LASTING_TASKS[this.#random.nextInt(LASTING_TASKS.length)];
    if (task === undefined) return;
    const holder = [...this.world.targets.values()].find(({ runs }) => runs.has(task));
    const run = holder?.runs.get(task);
    if (run !== undefined) holder?.endRun(run, 'failed');
  }

  #submitBatch(number: number): void {
    const taskCount = 1 + this.#random.nextInt(6);
    const isLong = this.#random.nextInt(2) === 0;
    const estimateMs = 400 + this.#random.nextInt(isLong ? 15_000 : 3_000);
    const submission = createSubmission(number, [{ taskCount, estimateMs }], { attemptLimit: 9 });
    this.#batchIds.push(submission.id);
    this.world.submit(submission);
  }
}

/**
 * Plays a history.
 * @param seed - determines the history
 * @returns the violations of the scheduler's guarantees, and the tasks that do not have one run at its end
 */
export function playDepartureStorm(seed: number): readonly string[] {
  return new DepartureStorm(seed).run();
}
