/** Histories in which a target falls silent with a run or with a start of a task while owners follow one another. */

import { assertNever } from '../../src/types/debug';
import type { TargetId, TaskKey } from '../../src/types/ids';
import { Random } from '../../src/types/random';
import { NO_DEMAND } from '../../src/work/types';
import type { StepSpec } from '../../src/work/types';
import type { FakeTarget } from '../../standins/fakeTarget';
import { createSubmission, NO_FAULTS, OwnerWorld, toSubmissionId } from './ownerWorld';

const TARGET_COUNT = 24;
const TASK_COUNT = 8;

/** Tasks of services that stay. */
export const LASTING: Partial<StepSpec> = {
  demand: { cpuMillis: 1_000, memoryMb: 512, accelerators: 0 },
  estimateMs: 600_000,
  maxTasksPerTarget: 1,
  policy: { kind: 'standing', latencyTargetMs: 0, maxUnavailableCount: 0 },
  taskCount: TASK_COUNT,
};

/** The lasting tasks of a history. */
export const LASTING_TASKS: readonly TaskKey[] = Array.from(
  { length: TASK_COUNT },
  (_, index) => `${toSubmissionId(1)}.0.0.${index}` as TaskKey,
);

/** By then all tasks run on targets that have listed them. */
const SETTLING_MS = 4_000;

/** Time in which each target has had a run. */
const USE_MS = 2_000;

/** Delay until a row of the registry is stored, and until an owner reads it. */
const MAX_REGISTRY_DELAY_MS = 200;

/** Resolution of the time without a run. */
const STEP_MS = 10;

/** A task that has had a run for this long after the last takeover has one to stay. */
const KEPT_MS = 500;

/** A task that is without a run for this long is given up. */
const MAX_PLAY_MS = 90_000;

/** Time within which a task whose run has failed is started again. */
const RESTART_LIMIT_MS = 5_000;

/** Time for which a target restarts before it is used, and the calls for its former incarnation have ended. */
const RESTART_DOWN_MS = 50;

/** A takeover, its time counted from the loss of the target. */
export interface Takeover {
  readonly atMs: number;
  /** Whether the former owner goes on unaware of it, after a suspension. */
  readonly isFormerAlive: boolean;
  readonly suspensionMs: number;
  /** The former owner hands over, as before a planned stop. */
  readonly isPlanned?: boolean;
}

/** How a task loses its target. */
export interface Loss {
  readonly seed: number;
  /** What is lost: the next start of a task whose run has failed, or its run. */
  readonly lostWork: 'start' | 'run';
  /** The target goes down for good, or nobody reaches it any more, and neither does it reach the registry. */
  readonly kind: 'crash' | 'cut';
  /** Whether the targets that are free have restarted under their ids shortly before, so that leases may be long. */
  readonly haveRestarted: boolean;
  /** When a target that was cut off is reachable again, counted from the loss; never if it is not given. */
  readonly healAfterMs?: number;
  /** Added to the time before the loss, so that polls are pending for different times. */
  readonly phaseMs?: number;
}

/** What has become of a task. */
export interface LossOutcome {
  /** Time without a run on a target that can be reached. */
  readonly idleMs: number;
  /** Violations of the scheduler's guarantees. */
  readonly broken: readonly string[];
}

/** Creates takeovers whose former owners have stopped. */
export function createSeries(timesMs: readonly number[]): readonly Takeover[] {
  return timesMs.map((atMs) => ({ atMs, isFormerAlive: false, suspensionMs: 0 }));
}

/** Creates planned handovers. */
export function createHandovers(timesMs: readonly number[]): readonly Takeover[] {
  return createSeries(timesMs).map((takeover) => ({ ...takeover, isPlanned: true }));
}

/** Draws takeovers; half of the former owners go on, some of them after a suspension. */
export function drawSeries(random: Random, minCount: number, maxAtMs: number): readonly Takeover[] {
  const count = minCount + random.nextInt(7 - minCount);
  const takeovers = Array.from({ length: count }, () => ({
    atMs: random.nextInt(maxAtMs),
    isFormerAlive: random.nextInt(2) === 0,
    suspensionMs: random.nextInt(2) * random.nextInt(2_000),
  }));
  return takeovers.sort((left, right) => left.atMs - right.atMs);
}

/** A fleet with lasting tasks, one of which loses its target. */
export class LossHistory {
  readonly world: OwnerWorld;

  readonly #loss: Loss;

  readonly #random: Random;

  readonly #task: TaskKey;

  /** The target that is lost, until it is reachable again. */
  #lostId: TargetId | undefined;

  #lostAtMs: number | undefined;

  constructor(loss: Loss) {
    const { seed } = loss;
    this.#loss = loss;
    this.#random = new Random(seed);
    const delays = new Random(seed + 1_000_003);
    this.world = new OwnerWorld({
      ...{ seed, targetCount: TARGET_COUNT, faults: NO_FAULTS },
      network: {
        chooseFate: () => ({}),
        getRegistryDelayMs: () => delays.nextInt(MAX_REGISTRY_DELAY_MS),
      },
    });
    this.#task = LASTING_TASKS[this.#random.nextInt(TASK_COUNT)] ?? ('' as TaskKey);
  }

  /** Measures how long the task has no run while owners follow one another. */
  play(takeovers: readonly Takeover[]): LossOutcome {
    const { world } = this;
    const lostAtMs = this.#lose();
    const pending = [...takeovers];
    let idleMs = 0;
    let keptMs = 0;
    while (world.time.nowMs < lostAtMs + MAX_PLAY_MS) {
      if (pending.length === 0 && keptMs >= KEPT_MS) break;
      const [next] = pending;
      if (next !== undefined && world.time.nowMs >= lostAtMs + next.atMs) {
        pending.shift();
        if (next.isPlanned === true) world.handovers.request();
        else world.takeOver(next.isFormerAlive, next.suspensionMs);
      }
      world.run(STEP_MS);
      const isRunning = this.#isRunning();
      idleMs += isRunning ? 0 : STEP_MS;
      keptMs = isRunning ? keptMs + STEP_MS : 0;
    }
    return { idleMs, broken: world.broken };
  }

  #isRunning(): boolean {
    return [...this.world.targets.values()].some(
      ({ id, isUp, runs }) => isUp && id !== this.#lostId && runs.has(this.#task),
    );
  }

  /** Returns when the target is lost. */
  #lose(): number {
    const { world } = this;
    this.#settle();
    const holder = [...world.targets.values()].find(({ runs }) => runs.has(this.#task));
    const run = holder?.runs.get(this.#task);
    if (holder === undefined || run === undefined) throw new Error('the task does not run');
    const { lostWork } = this.#loss;
    switch (lostWork) {
      case 'run':
        this.#loseTarget(holder.id);
        break;
      case 'start':
        this.#loseTargetOfNextStart();
        if (this.#loss.haveRestarted) this.#fill(holder);
        holder.endRun(run, 'failed');
        break;
      default:
        assertNever(lostWork);
    }
    const limitMs = world.time.nowMs + RESTART_LIMIT_MS;
    while (this.#lostAtMs === undefined) {
      if (world.time.nowMs > limitMs) throw new Error('the task is not started again');
      world.run(1);
    }
    return this.#lostAtMs;
  }

  #settle(): void {
    const { world } = this;
    world.takeOver();
    world.registry?.startBeats(world.targets);
    world.run(500);
    if (this.#loss.haveRestarted) {
      // Rows of all targets name their first incarnations.
      const used = { taskCount: TARGET_COUNT, maxTasksPerTarget: 1, estimateMs: 300 };
      world.submit(createSubmission(2, [used]));
      world.run(USE_MS);
    }
    const hasAdvice = this.#random.nextInt(2) === 0;
    world.submit(createSubmission(1, [LASTING], hasAdvice ? { advice: 'cheap' } : {}));
    world.run(SETTLING_MS + (this.#loss.phaseMs ?? 0));
    if (!this.#loss.haveRestarted) return;
    const free = [...world.targets.values()].filter(({ runs }) => runs.size === 0);
    free.forEach(({ id }) => world.crashProcess(id, RESTART_DOWN_MS));
    world.run(RESTART_DOWN_MS + 300 + this.#random.nextInt(900));
  }

  /** The next start has to go to a target that has restarted. */
  #fill({ id }: FakeTarget): void {
    this.world.setCapacity(id, NO_DEMAND);
    this.world.run(MAX_REGISTRY_DELAY_MS * 2);
  }

  #loseTargetOfNextStart(): void {
    const { world } = this;
    let isSent = false;
    world.onEffect = (_epoch, effect) => {
      if (isSent || effect.kind !== 'startRun' || effect.taskKey !== this.#task) return;
      isSent = true;
      const { targetId } = effect;
      world.time.after(20 + this.#random.nextInt(60), () => this.#loseTarget(targetId));
    };
  }

  #loseTarget(targetId: TargetId): void {
    const { world } = this;
    const { kind, healAfterMs } = this.#loss;
    this.#lostId = targetId;
    this.#lostAtMs = world.time.nowMs;
    switch (kind) {
      case 'crash':
        world.targets.get(targetId)?.crash();
        return;
      case 'cut':
        world.registry?.cutOffIds.add(targetId);
        world.partition(targetId, healAfterMs ?? Number.POSITIVE_INFINITY);
        if (healAfterMs !== undefined) world.time.after(healAfterMs, () => this.#heal(targetId));
        return;
      default:
        assertNever(kind);
    }
  }

  #heal(targetId: TargetId): void {
    this.world.registry?.cutOffIds.delete(targetId);
    this.#lostId = undefined;
  }
}

/** Finds lasting tasks that do not have one run. */
export function findLostTasks(targets: Iterable<FakeTarget>): readonly string[] {
  const up = [...targets].filter(({ isUp }) => isUp);
  return LASTING_TASKS.flatMap((task) => {
    const count = up.filter(({ runs }) => runs.has(task)).length;
    return count === 1 ? [] : [`LOST: ${task} has ${count} runs`];
  });
}
