/**
 * Property tests of co-location and availability rules over generated histories of submissions, cancellations,
 * target crashes and takeovers.
 */

import fc from 'fast-check';
import type { TargetId } from '../src/types/ids';
import type { StepSpec } from '../src/work/types';
import { createSubmission, NO_FAULTS, OwnerWorld, toSubmissionId } from './support/ownerWorld';

const TARGET_COUNT = 6;
const CHECK_INTERVAL_MS = 100;
const RUNS = 25;

/** Has checkpoints, so that preempting its runs would cost little. */
const LATENCY_SENSITIVE: Partial<StepSpec> = {
  taskCount: 6,
  hasCheckpoints: true,
  policy: { kind: 'standing', latencyTargetMs: 100, maxUnavailableCount: 1 },
};
const FILLER: Partial<StepSpec> = { taskCount: 6, estimateMs: 1_500, isFiller: true };
/** Exceeds the capacity of all targets together. */
const BATCH: Partial<StepSpec> = { taskCount: 30, estimateMs: 1_500 };
const KINDS = { latencySensitive: LATENCY_SENSITIVE, filler: FILLER, batch: BATCH };

type Kind = keyof typeof KINDS;

/** One action of a generated history. */
type Action =
  | { readonly kind: Kind; readonly priority: number }
  | { readonly kind: 'cancel'; readonly number: number }
  | { readonly kind: 'crash'; readonly target: number }
  | { readonly kind: 'takeOver' };

const arbitraryAction: fc.Arbitrary<Action> = fc.oneof(
  fc.record({
    kind: fc.constantFrom<Kind>('latencySensitive', 'filler', 'batch'),
    priority: fc.nat({ max: 2 }),
  }),
  fc.record({ kind: fc.constant('cancel' as const), number: fc.integer({ min: 1, max: 12 }) }),
  fc.record({ kind: fc.constant('crash' as const), target: fc.nat({ max: TARGET_COUNT - 1 }) }),
  fc.record({ kind: fc.constant('takeOver' as const) }),
);

/** Simulates a history and calls a check after each time step. */
function runHistory(actions: readonly Action[], check: (world: OwnerWorld) => void): OwnerWorld {
  const world = new OwnerWorld({ seed: 1, targetCount: TARGET_COUNT, faults: NO_FAULTS });
  world.takeOver();
  let count = 0;
  actions.forEach((action) => {
    switch (action.kind) {
      case 'takeOver':
        world.takeOver();
        break;
      case 'cancel':
        if (action.number <= count) world.cancel(toSubmissionId(action.number));
        break;
      case 'crash':
        world.crash(`target-${action.target}` as TargetId, 400);
        break;
      default:
        count += 1;
        world.submit(createSubmission(count, [KINDS[action.kind]], { priority: action.priority }));
    }
    for (let passedMs = 0; passedMs < 600; passedMs += CHECK_INTERVAL_MS) {
      world.run(CHECK_INTERVAL_MS);
      check(world);
    }
  });
  return world;
}

/** Specifications of the steps that run on each target. */
function getSpecs(world: OwnerWorld): StepSpec[][] {
  return [...world.targets.values()].map((target) =>
    [...target.runs.values()].map((run) => world.getSpec(run.taskKey)),
  );
}

describe('rules over generated histories', () => {
  test('filler tasks never share a target with latency-sensitive tasks', () => {
    fc.assert(
      fc.property(fc.array(arbitraryAction, { minLength: 4, maxLength: 12 }), (actions) => {
        runHistory(actions, (world) => {
          getSpecs(world).forEach((specs) => {
            const hasLatencySensitive = specs.some(({ policy }) => policy.kind === 'standing');
            expect(hasLatencySensitive && specs.some(({ isFiller }) => isFiller)).toBe(false);
          });
        });
      }),
      { seed: 7, numRuns: RUNS },
    );
  });

  test('long-running tasks are stopped only when their submission is cancelled', () => {
    fc.assert(
      fc.property(
        fc.array(
          arbitraryAction.filter(({ kind }) => kind !== 'cancel' && kind !== 'crash'),
          { minLength: 4, maxLength: 12 },
        ),
        (actions) => {
          const world = runHistory(actions, () => undefined);
          const stopped = world.stoppedTaskKeys.filter(
            (taskKey) => world.getSpec(taskKey).policy.kind === 'standing',
          );
          expect(stopped).toEqual([]);
        },
      ),
      { seed: 8, numRuns: RUNS },
    );
  });
});
