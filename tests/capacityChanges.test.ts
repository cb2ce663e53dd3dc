/** Guards against starts beyond the capacity of a target that shrinks and grows while it runs. */

import type { TargetId } from '../src/types/ids';
import { Random } from '../src/types/random';
import type { StepSpec } from '../src/work/types';
import { createSubmission, NO_FAULTS, OwnerWorld, toSubmissionId } from './support/ownerWorld';

const TARGET_COUNT = 6;
const FULL_CPU_MILLIS = 16_000;

function getStep(random: Random): Partial<StepSpec> {
  const step = { taskCount: 1 + random.nextInt(8), estimateMs: 200 + random.nextInt(1_500) };
  switch (random.nextInt(3)) {
    case 0:
      return { ...step, taskCount: 3, policy: { kind: 'gang', isSameRack: false } };
    case 1:
      return { ...step, policy: { kind: 'batch', isSpeculative: true } };
    default:
      return step;
  }
}

/** Changes the capacity of a random target to between a quarter and all of its processors. */
function changeCapacity(world: OwnerWorld, random: Random): void {
  const targetId = `target-${random.nextInt(TARGET_COUNT)}` as TargetId;
  const cpuMillis = (FULL_CPU_MILLIS / 4) * (1 + random.nextInt(4));
  world.setCapacity(targetId, { cpuMillis, memoryMb: 32_768, accelerators: 0 });
}

test('no start exceeds a changed capacity, also over takeovers, crashes and trials', () => {
  const problems = Array.from({ length: 60 }, (_value, index) => index + 1).flatMap((seed) => {
    const random = new Random(seed);
    const world = new OwnerWorld({ seed, targetCount: TARGET_COUNT, faults: NO_FAULTS });
    world.takeOver();
    for (let number = 1; number <= 60; number += 1) {
      const priority = random.nextInt(3);
      world.submit(createSubmission(number, [getStep(random)], { priority }));
      world.run(random.nextInt(150));
      changeCapacity(world, random);
      const fault = random.nextInt(20);
      const targetId = `target-${random.nextInt(TARGET_COUNT)}` as TargetId;
      if (fault === 0) world.takeOver(random.nextInt(2) === 0);
      if (fault === 1) world.crashProcess(targetId, 3_000);
      if (fault === 2) world.partition(targetId, 2_000);
    }
    for (let index = 0; index < TARGET_COUNT; index += 1) {
      const targetId = `target-${index}` as TargetId;
      const capacity = { cpuMillis: FULL_CPU_MILLIS, memoryMb: 32_768, accelerators: 0 };
      world.setCapacity(targetId, capacity);
    }
    world.run(60_000);
    const states = Array.from({ length: 60 }, (_value, index) => index + 1).flatMap((number) => {
      const state = world.getState(toSubmissionId(number));
      return state === 'succeeded' ? [] : [`submission ${number} is ${state}`];
    });
    return [...states, ...world.broken].map((problem) => `seed ${seed}: ${problem}`);
  });
  expect(problems).toEqual([]);
});
