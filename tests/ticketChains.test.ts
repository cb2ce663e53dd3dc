/** Guards against steps towards a start that together take longer than the ticket that they rest on is valid (LOST). */

import { MIN_TICKET_LIFE_AFTER_STOP_MS } from '../src/owner/constants';
import type { OwnerEffect } from '../src/owner/types';
import { Random } from '../src/types/random';
import type { StepKey, TargetId } from '../src/types/ids';
import { NO_DEMAND } from '../src/work/types';
import type { StepSpec } from '../src/work/types';
import { AdviceModel } from './support/adviceModel';
import { createSubmission, NO_FAULTS, OwnerWorld, toSubmissionId } from './support/ownerWorld';
import { getAdvice } from './support/worldChecks';

const TARGET_COUNT = 12;
const TICKET_VALID_MS = 2_000;
const TASK_COUNT = 4;

const LASTING: Partial<StepSpec> = {
  taskCount: TASK_COUNT,
  maxTasksPerTarget: 1,
  estimateMs: 600_000,
  policy: { kind: 'standing', latencyTargetMs: 0, maxUnavailableCount: 0 },
};

/** The rule: 3 s beside room, from 6 s after the last run. */
const START_LIMIT_MS = 9_000;

const TARGET = 'target-0' as TargetId;
const LARGE = { cpuMillis: 8_000, memoryMb: 4_096, accelerators: 0 };

function getStepKey(number: number): StepKey {
  return `${toSubmissionId(number)}.0.0` as StepKey;
}

function countRuns(world: OwnerWorld): number {
  return [...world.targets.values()]
    .flatMap(({ runs }) => [...runs.keys()])
    .filter((key) => key.startsWith(toSubmissionId(1))).length;
}

/** Lasting tasks are suspected, as their targets crash right after their first starts. */
function playCrash(
  seed: number,
  { storeLatencyMs, callMs, transitMs }: Record<'storeLatencyMs' | 'callMs' | 'transitMs', number>,
): OwnerWorld {
  const world = new OwnerWorld({ seed, targetCount: TARGET_COUNT, faults: NO_FAULTS });
  Object.assign(world.advice, { callMs, transitMs, perTargetMs: 6.5 });
  world.advice.ticketValidMs = TICKET_VALID_MS;
  const crashed = new Set<TargetId>();
  world.onEffect = (_epoch, effect: OwnerEffect) => {
    if (effect.kind !== 'startRun' || crashed.size >= 3 || crashed.has(effect.targetId)) return;
    crashed.add(effect.targetId);
    world.time.after(40, () => world.crashProcess(effect.targetId, 300));
  };
  world.takeOver();
  world.run(1_000);
  world.submit(createSubmission(1, [LASTING], { advice: 'costly' }));
  world.run(1_200);
  world.store.latencyMs = storeLatencyMs;
  return world;
}

describe('a suspected lasting task is tried', () => {
  // The report of the trial was durable only after its ticket had expired, so that each reservation was given up.
  test.each([1, 2, 3, 4])(
    'although the store takes nearly the life of a ticket, seed %i',
    (seed) => {
      const world = playCrash(seed, { storeLatencyMs: 1_800, callMs: 450, transitMs: 0 });
      world.run(START_LIMIT_MS + 4 * 1_800);
      expect(countRuns(world)).toBe(TASK_COUNT);
      expect(world.broken).toEqual([]);
    },
  );

  test.each([1, 2, 3, 4, 5, 6, 7, 8])('with drawn delays of store and service, seed %i', (seed) => {
    const random = new Random(seed);
    const world = playCrash(seed, {
      storeLatencyMs: 4 + random.nextInt(1_500),
      callMs: 100 + random.nextInt(700),
      transitMs: random.nextInt(400),
    });
    world.run(START_LIMIT_MS + 4 * world.store.latencyMs);
    expect(countRuns(world)).toBe(TASK_COUNT);
    expect(world.broken).toEqual([]);
  });
});

describe('a ticket', () => {
  // Its life was counted from the receipt of the answer, so that targets rejected the start.
  test.each([0, 300, 900])(
    'is not used after it has expired when its answer takes %i ms',
    (transitMs) => {
      const world = new OwnerWorld({ seed: 1, targetCount: 3, faults: NO_FAULTS });
      Object.assign(world.advice, { callMs: 450, perTargetMs: 6.5, transitMs });
      Object.assign(world.advice, { ticketValidMs: TICKET_VALID_MS, areTicketsDated: true });
      const agesMs: number[] = [];
      world.onEffect = (_epoch, effect: OwnerEffect) => {
        if (effect.kind !== 'startRun' || effect.ticket === undefined) return;
        agesMs.push(world.time.nowMs - AdviceModel.getIssuedAtMs(effect.ticket));
      };
      world.takeOver();
      world.run(1_000);
      // Each task takes about as long as a ticket is valid, so that many starts are due near its end.
      const step = { taskCount: 60, estimateMs: 1_600, demand: LARGE };
      world.submit(createSubmission(1, [step], { advice: 'costly' }));
      world.run(30_000);
      expect(agesMs.length).toBeGreaterThan(10);
      expect(Math.max(...agesMs)).toBeLessThan(TICKET_VALID_MS);
    },
  );

  // The answer was taken for one about the present incarnation, so that a refusal held for it for good.
  test('and a refusal hold for the incarnation about which the service was asked', () => {
    const world = new OwnerWorld({ seed: 1, targetCount: 1, faults: NO_FAULTS });
    const asked: number[] = [];
    world.advice.callMs = 1_000;
    world.onEffect = (_epoch, effect: OwnerEffect) => {
      if (effect.kind === 'askAdvice') asked.push(effect.targetIds.length);
    };
    world.takeOver();
    world.run(1_000);
    const refused = Array.from({ length: 20 }, (_, index) => index + 1).find(
      (number) => getAdvice(getStepKey(number), [TARGET]).grants.length === 0,
    );
    world.submit(createSubmission(refused ?? 0, [LASTING], { advice: 'cheap' }));
    world.run(200);
    expect(asked).toEqual([1]);
    world.crashProcess(TARGET, 300);
    world.run(4_000);
    expect(asked).toEqual([1, 1]);
  });
});

describe('a run is stopped for another start', () => {
  /** Tasks of others fill all targets but one, which drains, and end one after another. */
  function playMove(seed: number, ticketValidMs = TICKET_VALID_MS): readonly number[] {
    const world = new OwnerWorld({ seed, targetCount: 6, faults: NO_FAULTS });
    Object.assign(world.advice, { callMs: 450, perTargetMs: 6.5, ticketValidMs });
    const stoppedAtMs: number[] = [];
    const gapsMs: number[] = [];
    const isMoved = (taskKey: string) => taskKey.startsWith(toSubmissionId(1));
    world.onEffect = (_epoch, effect: OwnerEffect) => {
      if (effect.kind === 'stopRun' && isMoved(effect.taskKey)) stoppedAtMs.push(world.time.nowMs);
      if (effect.kind !== 'startRun' || !isMoved(effect.taskKey)) return;
      const stoppedMs = stoppedAtMs.pop();
      if (stoppedMs !== undefined) gapsMs.push(world.time.nowMs - stoppedMs);
    };
    world.takeOver();
    world.run(1_000);
    const capacity = world.targets.get(TARGET)?.capacity ?? NO_DEMAND;
    const demand = { ...capacity, memoryMb: 1 };
    const submission = createSubmission(1, [{ ...LASTING, taskCount: 1, demand }]);
    const advice = { callMs: 450, perTargetMs: 6.5, ticketValidMs };
    world.submit({ ...submission, queue: { ...submission.queue, advice } });
    world.run(3_000);
    const fillers = [{ taskCount: 5, demand, estimateMs: 4_000 }];
    world.submit(createSubmission(2, fillers, { priority: 0 }));
    world.run(1_000);
    [...world.targets.values()]
      .filter(({ runs }) => [...runs.keys()].some(isMoved))
      .forEach((target) => {
        const entry = target.startDraining();
        world.readRegistry({ kind: 'targetChanged', entry });
      });
    world.run(12_000);
    expect(world.broken).toEqual([]);
    return gapsMs;
  }

  // The ticket expired while the run was being stopped, so that the task had no run until another call was answered.
  test('only with a ticket that outlives the stop', () => {
    const gapsMs = Array.from({ length: 120 }, (_, index) => playMove(index + 1)).flat();
    expect(gapsMs.length).toBeGreaterThan(10);
    expect(Math.max(...gapsMs)).toBeLessThan(MIN_TICKET_LIFE_AFTER_STOP_MS);
  });

  // No ticket was ever valid for long enough.
  test('also where tickets are valid for less than that', () => {
    const gapsMs = [1, 2, 3, 4, 5].map((seed) => playMove(seed, 550)).flat();
    expect(gapsMs.length).toBeGreaterThan(0);
  });
});

// From the time at which a ticket was too short for a stop to its end nothing was preempted and no call was made.
test('an urgent step that waits for room keeps a ticket that outlives a stop', () => {
  const world = new OwnerWorld({ seed: 1, targetCount: 8, faults: NO_FAULTS });
  Object.assign(world.advice, { callMs: 24, ticketValidMs: TICKET_VALID_MS });
  const askedAtMs: number[] = [];
  world.onEffect = (_epoch, effect: OwnerEffect) => {
    if (effect.kind === 'askAdvice') askedAtMs.push(world.time.nowMs);
  };
  const urgent = { priority: 0, advice: 'cheap' as const };
  const queues = [urgent, { priority: 1 }, { priority: 2 }];
  world.operator.setQueues(queues.map((queue) => createSubmission(9, [{}], queue).queue));
  world.takeOver();
  world.run(1_000);
  const capacity = world.targets.get(TARGET)?.capacity ?? NO_DEMAND;
  const demand = { ...capacity, memoryMb: 1 };
  // Lasting tasks are not preempted.
  const filler = { ...LASTING, taskCount: 8, demand };
  world.submit(createSubmission(1, [filler], { priority: 1 }));
  world.run(1_000);
  world.submit(createSubmission(2, [{ demand }], urgent));
  world.run(10_000);
  const gapsMs = askedAtMs.slice(1).map((atMs, index) => atMs - (askedAtMs[index] ?? atMs));
  expect(gapsMs.length).toBeGreaterThan(3);
  expect(Math.max(...gapsMs)).toBeLessThan(TICKET_VALID_MS - MIN_TICKET_LIFE_AFTER_STOP_MS + 100);
});
