/** Rules about neighbours and availability, over drawn mixes of steps, ends, crashes and takeovers. */

import fc from 'fast-check';
import type { TargetId } from '../src/types/ids';
import type { StepSpec } from '../src/work/types';
import { createSubmission, NO_FAULTS, OwnerWorld, toSubmissionId } from './support/ownerWorld';

const TARGET_COUNT = 6;
const LOOK_MS = 100;
const RUNS = 25;

/** With checkpoints, so that a stop would lose little and be tempting. */
const SERVING: Partial<StepSpec> = {
  taskCount: 6,
  hasCheckpoints: true,
  policy: { kind: 'standing', latencyTargetMs: 100, maxUnavailableCount: 1 },
};
const FILLER: Partial<StepSpec> = { taskCount: 6, estimateMs: 1_500, isFiller: true };
/** Alone more than the fleet holds at a time. */
const WORK: Partial<StepSpec> = { taskCount: 30, estimateMs: 1_500 };
const KINDS = { serving: SERVING, filler: FILLER, work: WORK };

type Kind = keyof typeof KINDS;

/** One thing that happens in a drawn history. */
type Action =
  | { readonly kind: Kind; readonly priority: number }
  | { readonly kind: 'cancel'; readonly number: number }
  | { readonly kind: 'crash'; readonly target: number }
  | { readonly kind: 'takeOver' };

const drawnAction: fc.Arbitrary<Action> = fc.oneof(
  fc.record({
    kind: fc.constantFrom<Kind>('serving', 'filler', 'work'),
    priority: fc.nat({ max: 2 }),
  }),
  fc.record({ kind: fc.constant('cancel' as const), number: fc.integer({ min: 1, max: 12 }) }),
  fc.record({ kind: fc.constant('crash' as const), target: fc.nat({ max: TARGET_COUNT - 1 }) }),
  fc.record({ kind: fc.constant('takeOver' as const) }),
);

/** Plays a history and shows the world to a check after every step of time. */
function play(actions: readonly Action[], check: (world: OwnerWorld) => void): OwnerWorld {
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
    for (let passedMs = 0; passedMs < 600; passedMs += LOOK_MS) {
      world.run(LOOK_MS);
      check(world);
    }
  });
  return world;
}

/** Kinds of the steps that run on each target. */
function getSpecs(world: OwnerWorld): StepSpec[][] {
  return [...world.targets.values()].map((target) =>
    [...target.runs.values()].map((run) => world.getSpec(run.taskKey)),
  );
}

describe('rules over drawn histories', () => {
  test('HARM: what fills never shares a target with what serves', () => {
    fc.assert(
      fc.property(fc.array(drawnAction, { minLength: 4, maxLength: 12 }), (actions) => {
        play(actions, (world) => {
          getSpecs(world).forEach((specs) => {
            const isServing = specs.some(({ policy }) => policy.kind === 'standing');
            expect(isServing && specs.some(({ isFiller }) => isFiller)).toBe(false);
          });
        });
      }),
      { seed: 7, numRuns: RUNS },
    );
  });

  test('AVAIL: nothing stops a task that serves but the cancellation of its submission', () => {
    fc.assert(
      fc.property(
        fc.array(
          drawnAction.filter(({ kind }) => kind !== 'cancel' && kind !== 'crash'),
          { minLength: 4, maxLength: 12 },
        ),
        (actions) => {
          const world = play(actions, () => undefined);
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
