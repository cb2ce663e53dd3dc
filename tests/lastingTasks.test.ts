/** Guards against lasting tasks that do not run although approved targets have room for them. */

import { chooseTargetsToQuery, isFurtherAdviceUseful } from '../src/owner/adviceChoice';
import type { StepKey, TargetId, Ticket } from '../src/types/ids';
import type { StepSpec } from '../src/work/types';
import { createStep, createTarget } from './support/ownerParts';
import { createSubmission, NO_FAULTS, OwnerWorld, toSubmissionId } from './support/ownerWorld';
import { getAdvice } from './support/worldChecks';

const TASK_COUNT = 9;
const SILENT_COUNT = 5;
const JOINING_COUNT = 10;

/** The lease of a silent target has ended by then, and its tasks have had the time to start elsewhere (LOST). */
const RESTART_LIMIT_MS = 9_000;

const LASTING: Partial<StepSpec> = {
  taskCount: TASK_COUNT,
  maxTasksPerTarget: 1,
  estimateMs: 600_000,
  policy: { kind: 'standing', latencyTargetMs: 0, maxUnavailableCount: 0 },
};

function getHolders(world: OwnerWorld): readonly TargetId[] {
  return [...world.targets.values()].filter(({ runs }) => runs.size > 0).map(({ id }) => id);
}

function countReachableRuns(world: OwnerWorld, silentIds: readonly TargetId[]): number {
  return getHolders(world).filter((id) => !silentIds.includes(id)).length;
}

/** Nine tasks run on 20 targets, ten more join, and five that hold a task fall silent but stay registered. */
function playSilence(seed: number, joiningName: string) {
  const world = new OwnerWorld({ seed, targetCount: 20, faults: NO_FAULTS });
  world.takeOver();
  world.run(1_000);
  world.submit(createSubmission(seed, [LASTING], { advice: 'costly' }));
  world.run(5_000);
  const holders = getHolders(world);
  for (let number = 0; number < JOINING_COUNT; number += 1)
    world.addTarget(`${joiningName}-${number}`);
  world.run(500);
  const silentIds = holders.slice(0, SILENT_COUNT);
  silentIds.forEach((targetId) => world.partition(targetId, 60_000));
  world.run(RESTART_LIMIT_MS);
  const step = `${toSubmissionId(seed)}.0.0` as StepKey;
  const { grants } = getAdvice(step, [...world.targets.keys()]);
  const approvedIds = grants.map(({ targetId }) => targetId);
  const reachableCount = approvedIds.filter((id) => !silentIds.includes(id)).length;
  return {
    broken: world.broken,
    running: countReachableRuns(world, silentIds),
    wanted: Math.min(TASK_COUNT, reachableCount),
  };
}

describe('a lasting task runs again when its target is silent', () => {
  // The advice service was asked about the silent targets again and again, and about none of the others (LOST).
  test.each([1, 2, 3, 4, 5, 6, 7, 8])('and new targets have room for it, seed %i', (seed) => {
    const { broken, running, wanted } = playSilence(seed, 'joining');
    expect(broken).toEqual([]);
    expect(running).toBe(wanted);
  });
});

// A restarted target may be of another kind, so what the service has said of the former one says nothing (LOST).
test('the advice service is asked again about a refused target that has restarted', () => {
  const world = new OwnerWorld({ seed: 1, targetCount: 6, faults: NO_FAULTS });
  const askedIds: TargetId[] = [];
  world.onEffect = (_epoch, effect) => {
    if (effect.kind === 'askAdvice') askedIds.push(...effect.targetIds);
  };
  world.takeOver();
  world.run(1_000);
  const submission = createSubmission(1, [{ ...LASTING, taskCount: 6 }], { advice: 'cheap' });
  world.submit(submission);
  world.run(2_000);
  const targetIds = [...world.targets.keys()];
  const { grants } = getAdvice(`${submission.id}.0.0` as StepKey, targetIds);
  const refusedId = targetIds.find((id) => !grants.some(({ targetId }) => targetId === id));
  if (refusedId === undefined) throw new Error('no target is refused');
  const countAsked = () => askedIds.filter((id) => id === refusedId).length;
  const beforeCount = countAsked();
  world.run(2_000);
  expect(countAsked()).toBe(beforeCount);
  world.crash(refusedId, 200);
  world.run(3_000);
  expect(countAsked()).toBe(beforeCount + 1);
});

describe('a paused target', () => {
  const COSTS = { callMs: 450, perTargetMs: 6.5, ticketValidMs: 2_500 };
  const NOW_MS = 1_000;

  function createPausedAndOther() {
    const [paused, other] = [createTarget(1), createTarget(2)];
    paused.quarantine(NOW_MS);
    const step = createStep({ taskCount: 2 });
    const ids = [paused.id];
    step.advice.addAnswer(
      NOW_MS,
      ids,
      ids.map((targetId) => ({ targetId, ticket: 'ticket' as Ticket })),
      NOW_MS + 2_000,
      () => paused.entry.incarnationStartMs,
    );
    return { paused, other, step };
  }

  // A ticket for a target that may not be used now kept calls about the others back (LOST).
  test('does not keep the service from being asked about another one', () => {
    const { paused, other, step } = createPausedAndOther();
    const targets = [paused, other];
    expect(isFurtherAdviceUseful(step, targets, () => true, NOW_MS)).toBe(true);
    expect(chooseTargetsToQuery(step, targets, COSTS, NOW_MS)[0]).toBe(other);
  });

  // Its runs are not known, say, or it is reserved for a trial: nothing may be started there, whatever room it has.
  test('and one that takes no runs for a while do not keep the service from being asked', () => {
    const { paused, other, step } = createPausedAndOther();
    paused.pausedUntilMs = 0;
    paused.unplannableSinceMs = NOW_MS - 900;
    const targets = [paused, other];
    expect(isFurtherAdviceUseful(step, targets, () => true, NOW_MS)).toBe(false);
    paused.unplannableSinceMs = NOW_MS - 1_000;
    expect(isFurtherAdviceUseful(step, targets, () => true, NOW_MS)).toBe(true);
    expect(chooseTargetsToQuery(step, targets, COSTS, NOW_MS)[0]).toBe(other);
  });

  // A starving step uses it all the same, for which it needs a ticket.
  test('is named when there is no other one', () => {
    const { paused, step } = createPausedAndOther();
    expect(chooseTargetsToQuery(step, [paused], COSTS, NOW_MS)).toEqual([paused]);
  });
});
