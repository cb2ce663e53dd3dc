/** Seeded random histories of submissions, faults and takeovers for simulations of the owner. */

import type { QueueId, TargetId } from '../../src/types/ids';
import { Random } from '../../src/types/random';
import type { Queue, StepSpec } from '../../src/work/types';
import { createSubmission, OwnerWorld, toSubmissionId } from './ownerWorld';
import type { WorldFaults, WorldOptions } from './ownerWorld';

const FAULTS: WorldFaults = { lostAnswers: 0.03, lateCalls: 0.02, failedRuns: 0.05 };

function getSteps(random: Random): Partial<StepSpec>[] {
  const first: Partial<StepSpec> = { taskCount: 1 + random.nextInt(6), estimateMs: 600 };
  const second: Partial<StepSpec> = {
    taskCount: 1 + random.nextInt(8),
    after: [0],
    estimateMs: 1_200,
  };
  switch (random.nextInt(4)) {
    case 0:
      return [first];
    case 1:
      return [first, second];
    case 2:
      return [{ taskCount: 2 + random.nextInt(3), policy: { kind: 'gang', isSameRack: false } }];
    default:
      return [{ ...first, policy: { kind: 'batch', isSpeculative: true } }, second];
  }
}

/** Limits of the pages that a history lowers, so that it reaches them. */
export type HistoryLimits = Pick<WorldOptions, 'maxListedEnds' | 'maxRowBytes'>;

/** Simulates the random history of a seed, then 90 s with the store available so that all submissions can end. */
export function runRandomHistory(seed: number, limits: HistoryLimits = {}): OwnerWorld {
  const random = new Random(seed);
  const world = new OwnerWorld({ ...limits, seed, targetCount: 6, faults: FAULTS });
  world.takeOver();
  for (let number = 1; number <= 30; number += 1) {
    const advice = random.nextInt(2) === 0 ? 'cheap' : undefined;
    world.submit(
      createSubmission(number, getSteps(random), {
        ...(advice === undefined ? {} : { advice }),
        priority: random.nextInt(3),
      }),
    );
    world.run(random.nextInt(500));
    const targetId = `target-${random.nextInt(6)}` as TargetId;
    switch (random.nextInt(12)) {
      case 0:
        world.takeOver(random.nextInt(2) === 0);
        break;
      case 1:
        world.crash(targetId, random.nextInt(4_000));
        break;
      case 2:
        world.partition(targetId, random.nextInt(12_000));
        break;
      case 3:
        world.cancel(toSubmissionId(1 + random.nextInt(number)));
        break;
      case 4:
        world.isStoreAvailable = !world.isStoreAvailable;
        break;
      default:
    }
  }
  world.isStoreAvailable = true;
  world.run(90_000);
  return world;
}

const TARGETS_PER_SERVICE = 2;
/** Long enough for a queue to be moved twice while a task runs. */
const LONG_ESTIMATE_MS = 4_000;

const SERVICES = ['service', 'second', 'third'];

/** The longest time that an owner takes to read a change of the configuration. */
const MAX_CONFIG_DELAY_MS = 2_000;

/**
 * Simulates the random history of a seed in which the operator moves queues between services around cuts and takeovers,
 * then 90 s in which all submissions can end.
 */
export function runMovedQueueHistory(seed: number): OwnerWorld {
  const random = new Random(seed);
  const world = new OwnerWorld({ seed, targetCount: TARGETS_PER_SERVICE, faults: FAULTS });
  SERVICES.slice(1).forEach((serviceName) => {
    for (let number = 0; number < TARGETS_PER_SERVICE; number += 1)
      world.addTarget(`${serviceName}-${number}`, { serviceName });
  });
  const cutOff = (serviceName: string, durationMs: number) =>
    world.targets.forEach((target) => {
      if (target.serviceName === serviceName) world.partition(target.id, durationMs);
    });
  const queues = new Map<QueueId, Queue>();
  const draw = <T>(values: readonly T[]) => values[random.nextInt(values.length)] as T;
  world.takeOver();
  for (let number = 1; number <= 30; number += 1) {
    const priority = random.nextInt(2);
    const steps = getSteps(random).map((step) => ({ ...step, estimateMs: LONG_ESTIMATE_MS }));
    const { queue } = createSubmission(number, steps, { priority });
    const { serviceName } = queues.get(queue.id) ?? queue;
    world.submit(createSubmission(number, steps, { priority, serviceName }));
    world.run(random.nextInt(700));
    switch (random.nextInt(8)) {
      case 0:
        world.takeOver(random.nextInt(2) === 0);
        break;
      case 1:
      case 2:
        cutOff(draw(SERVICES), 500 + random.nextInt(6_000));
        world.run(random.nextInt(300));
        world.takeOver(random.nextInt(2) === 0);
        break;
      case 3:
        world.isStoreAvailable = !world.isStoreAvailable;
        break;
      case 4:
        break;
      default: {
        queues.set(queue.id, { ...queue, serviceName: draw(SERVICES) });
        const delayMs = random.nextInt(2) * random.nextInt(MAX_CONFIG_DELAY_MS);
        world.operator.setQueues([...queues.values()]);
        world.time.after(delayMs, () => world.readOperator());
      }
    }
  }
  world.isStoreAvailable = true;
  world.run(90_000);
  return world;
}
