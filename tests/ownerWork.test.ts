/** The owner's work for each start does not grow with the number of targets, counted independently of the machine. */

import { TargetState } from '../src/owner/targetState';
import { createSubmission, NO_FAULTS, OwnerWorld } from './support/ownerWorld';

const SMALL_FLEET = 30;
const LARGE_FLEET = 300;

/** The decision time is to be flat within a tenth from 30 targets on. */
const FLAT_FACTOR = 1.1;

const TASKS_PER_TARGET = 4;
const TASKS_PER_STEP = 20;
const TASK_DURATION_MS = 2_000;
const WARM_UP_MS = 500;
const SETTLING_MS = 3_000;
const MEASURE_MS = 6_000;

/** Runs a load with a number of steps that wait, and counts how often the free capacity of a target is examined. */
function countExaminationsPerStart(targetCount: number, waitingSteps: number): number {
  const world = new OwnerWorld({ seed: 1, targetCount, faults: NO_FAULTS });
  world.takeOver();
  world.run(WARM_UP_MS);
  const runningSteps = Math.ceil((targetCount * TASKS_PER_TARGET) / TASKS_PER_STEP);
  let number = 0;
  const submit = () => {
    number += 1;
    const step = { taskCount: TASKS_PER_STEP, estimateMs: TASK_DURATION_MS };
    world.submit(createSubmission(number, [step], { priority: number % 3 }));
  };
  for (let count = 0; count < runningSteps + waitingSteps; count += 1) submit();
  const intervalMs = TASK_DURATION_MS / runningSteps;
  const runLoad = (durationMs: number) => {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += intervalMs) {
      submit();
      world.run(intervalMs);
    }
  };
  runLoad(SETTLING_MS);
  const startsBefore = world.startCount;
  const free = jest.spyOn(TargetState.prototype, 'free', 'get');
  runLoad(MEASURE_MS);
  const examinations = free.mock.calls.length;
  free.mockRestore();
  expect(world.broken).toEqual([]);
  expect(world.startCount - startsBefore).toBeGreaterThan(targetCount);
  return examinations / (world.startCount - startsBefore);
}

describe('examinations of targets for each start', () => {
  test('are as few in a large fleet as in a small one while many steps wait that need no advice', () => {
    const small = countExaminationsPerStart(SMALL_FLEET, 100);
    expect(countExaminationsPerStart(LARGE_FLEET, 100)).toBeLessThanOrEqual(small * FLAT_FACTOR);
  });
});
