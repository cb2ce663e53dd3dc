/**
 * Seeded random histories in which targets fall silent and answer again while owners follow one another, starts are
 * carried out late and the record of used targets is written with trouble.
 */

import type { SubmissionId, TargetId } from '../../src/types/ids';
import { Random } from '../../src/types/random';
import type { CallFate, TargetCall } from './networkModel';
import { createSubmission, NO_FAULTS, OwnerWorld } from './ownerWorld';
import { findLostTasks, LASTING, LASTING_TASKS } from './takeoverHistories';

const TARGET_COUNT = 16;
const ACTION_COUNT = 36;
const MAX_ACTION_INTERVAL_MS = 1_200;

/** So many targets at most cannot be reached at a time, so that there is room for all tasks. */
const MAX_SILENT_COUNT = 5;

const MAX_SILENCE_MS = 16_000;

/** A request may be carried out this late. */
const MAX_EFFECT_DELAY_MS = 12_000;

const MAX_RECORD_TROUBLE_MS = 5_000;

/** Late requests, leases, doubts and quarantines have ended by then. */
const CALM_MS = 45_000;

/** Draws what happens to a request; most take their usual course. */
export function drawFate({ effect }: TargetCall, random: Random): CallFate {
  const course = random.nextFraction();
  const delay = random.nextFraction();
  const isStart = effect.kind === 'startRun';
  if (course < 0.02) return { isSilent: true };
  if (course < (isStart ? 0.15 : 0.03)) return { performDelayMs: delay * MAX_EFFECT_DELAY_MS };
  if (course < (isStart ? 0.2 : 0.05)) return { isAnswerLost: true };
  if (course < (isStart ? 0.24 : 0.06)) return { openDelayMs: 10 + delay * 600 };
  return {};
}

/** A history in progress. */
class Storm {
  readonly world: OwnerWorld;

  readonly #random: Random;

  #isCalm = false;

  /** When all injected faults have ended. */
  #faultsEndAtMs = 0;

  /** Targets that cannot be reached. */
  #silentIds = new Set<TargetId>();

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
  }

  run(): readonly string[] {
    const { world } = this;
    world.takeOver();
    world.registry?.startBeats(world.targets);
    world.run(500);
    world.submit(createSubmission(1, [LASTING]));
    world.run(2_000);
    for (let number = 2; number < 2 + ACTION_COUNT; number += 1) {
      this.#disturb(number);
      world.run(this.#random.nextInt(MAX_ACTION_INTERVAL_MS));
    }
    this.#isCalm = true;
    world.run(Math.max(0, this.#faultsEndAtMs - world.time.nowMs) + CALM_MS);
    const open = this.#batchIds.filter((id) => ['pending', 'running'].includes(world.getState(id)));
    const unfinished = open.map((id) => `LOST: ${id} has not ended`);
    return [...world.broken, ...findLostTasks(world.targets.values()), ...unfinished];
  }

  #disturb(number: number): void {
    const random = this.#random;
    const targetId = `target-${random.nextInt(TARGET_COUNT)}` as TargetId;
    switch (random.nextInt(12)) {
      case 0:
      case 1:
      case 2:
        this.#takeOver();
        break;
      case 3:
      case 4:
        this.#silence(targetId, random.nextInt(MAX_SILENCE_MS), 'all');
        break;
      case 5:
        this.#silence(targetId, random.nextInt(3_000), 'owners');
        break;
      case 6:
        this.#silenceAtStart();
        break;
      case 7:
        this.#failRun();
        break;
      case 8:
        this.#restart(targetId);
        break;
      case 9:
        this.#troubleRecord();
        break;
      default:
        this.#submitBatch(number);
    }
  }

  #later(delayMs: number, action: () => void): void {
    this.#faultsEndAtMs = Math.max(this.#faultsEndAtMs, this.world.time.nowMs + delayMs);
    this.world.time.after(delayMs, action);
  }

  /** Some owners follow soon after one another. */
  #takeOver(): void {
    const random = this.#random;
    const count = 1 + random.nextInt(2) * random.nextInt(3);
    for (let index = 0; index < count; index += 1) {
      const isFormerAlive = random.nextInt(2) === 0;
      const suspensionMs = random.nextInt(2) * random.nextInt(2_000);
      this.world.takeOver(isFormerAlive, suspensionMs);
      if (index + 1 < count) this.world.run(random.nextInt(1_500));
    }
  }

  /** A target that owners do not reach may reach the registry all the same. */
  #silence(targetId: TargetId, durationMs: number, from: 'all' | 'owners'): void {
    if (this.#silentIds.has(targetId) || this.#silentIds.size >= MAX_SILENT_COUNT) return;
    this.#silentIds.add(targetId);
    if (from === 'all') this.world.registry?.cutOffIds.add(targetId);
    this.world.partition(targetId, durationMs);
    this.#later(durationMs, () => {
      this.#silentIds.delete(targetId);
      this.world.registry?.cutOffIds.delete(targetId);
    });
  }

  /** The target of the next start falls silent with it. */
  #silenceAtStart(): void {
    const { world } = this;
    const random = this.#random;
    world.onEffect = (_epoch, effect) => {
      if (effect.kind !== 'startRun') return;
      world.onEffect = undefined;
      const { targetId } = effect;
      world.time.after(20 + random.nextInt(60), () => {
        if (!this.#isCalm) this.#silence(targetId, random.nextInt(MAX_SILENCE_MS), 'all');
      });
    };
    this.#failRun();
  }

  #failRun(): void {
    const task = LASTING_TASKS[this.#random.nextInt(LASTING_TASKS.length)];
    if (task === undefined) return;
    const holder = [...this.world.targets.values()].find(({ runs }) => runs.has(task));
    const run = holder?.runs.get(task);
    if (run !== undefined) holder?.endRun(run, 'failed');
  }

  #restart(targetId: TargetId): void {
    if (this.world.targets.get(targetId)?.isUp !== true) return;
    const downMs = 20 + this.#random.nextInt(800);
    this.#later(downMs, () => undefined);
    if (this.#random.nextInt(2) === 0) this.world.crash(targetId, downMs);
    else this.world.crashProcess(targetId, downMs);
  }

  #troubleRecord(): void {
    const { recordStore } = this.world;
    const random = this.#random;
    recordStore.areAnswersLost = random.nextInt(3) === 0;
    recordStore.lostAnswerFraction = random.nextInt(2) * random.nextFraction();
    recordStore.extraDelayMs = random.nextInt(2) * random.nextInt(2_500);
    this.#later(random.nextInt(MAX_RECORD_TROUBLE_MS), () => {
      recordStore.areAnswersLost = false;
      recordStore.lostAnswerFraction = 0;
      recordStore.extraDelayMs = 0;
    });
  }

  #submitBatch(number: number): void {
    const taskCount = 1 + this.#random.nextInt(6);
    const estimateMs = 400 + this.#random.nextInt(3_000);
    const submission = createSubmission(number, [{ taskCount, estimateMs }], { attemptLimit: 9 });
    this.#batchIds.push(submission.id);
    this.world.submit(submission);
  }
}

/**
 * Plays a history.
 * @param seed - determines the history
 * @returns the violations of the scheduler's guarantees, and the tasks that are without a run at its end
 */
export function playStorm(seed: number): readonly string[] {
  return new Storm(seed).run();
}
