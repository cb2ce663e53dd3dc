/** Runs on targets that restart under their former id. */

import type { TargetId } from '../src/types/ids';
import { createSubmission, NO_FAULTS, OwnerWorld, toSubmissionId } from './support/ownerWorld';

const RESTARTED = 'target-0' as TargetId;

/** Creates a fleet whose first target has restarted without the owner's knowledge. */
function createWorld(registryDelayMs: number): OwnerWorld {
  const world = new OwnerWorld({ seed: 1, targetCount: 4, faults: NO_FAULTS });
  world.takeOver();
  world.run(1_000);
  world.crash(RESTARTED, 0, registryDelayMs);
  world.run(1);
  return world;
}

describe('a task is not started twice when its target has restarted under the same id', () => {
  // The start goes to the new incarnation, and the owner learns of the restart only afterwards.
  test('and the new incarnation has answered the start', () => {
    const world = createWorld(300);
    world.submit(createSubmission(1, [{ taskCount: 8, estimateMs: 4_000 }]));
    world.run(12_000);
    expect(world.broken).toEqual([]);
    expect(world.startCount).toBe(8);
    expect(world.getState(toSubmissionId(1))).toBe('succeeded');
  });
});
