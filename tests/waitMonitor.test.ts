/** Guards against waits that no log line and no metric show while they last. */

import type { OwnerEffect } from '../src/owner/types';
import type { TargetId, TaskKey, TeamId } from '../src/types/ids';
import { NO_DEMAND } from '../src/work/types';
import type { StepSpec, Team } from '../src/work/types';
import { createSubmission, NO_FAULTS, OwnerWorld, toSubmissionId } from './support/ownerWorld';

const TASK = `${toSubmissionId(1)}.0.0.0` as TaskKey;
const LARGER_THAN_ANY_TARGET = { cpuMillis: 99_000, memoryMb: 1_024, accelerators: 0 };

/** A wait is logged once it lasts 3 s; tasks are looked at each second. */
const LOGGED_MS = 4_500;

type LogEffect = Extract<OwnerEffect, { kind: 'log' }>;

/** A fleet whose log lines and metrics of waits are kept. */
class Scenario {
  readonly world: OwnerWorld;

  readonly lines: LogEffect['fields'][] = [];

  readonly metrics = new Set<string>();

  constructor(teams: readonly Team[] = []) {
    this.world = new OwnerWorld({ seed: 1, targetCount: 2, faults: NO_FAULTS, teams });
    this.world.onEffect = (_epoch, effect) => {
      if (effect.kind === 'record') this.metrics.add(effect.name);
      if (effect.kind === 'log' && effect.message === 'tasks wait') this.lines.push(effect.fields);
    };
    this.world.takeOver();
    this.world.run(1_000);
  }

  submit(step: Partial<StepSpec> = {}, advice?: 'cheap' | 'costly'): void {
    this.world.submit(createSubmission(1, [step], advice === undefined ? {} : { advice }));
  }

  expectLogged(reason: string): void {
    expect(this.lines).toContainEqual(expect.objectContaining({ reason, tasks: [TASK] }));
    expect(this.metrics).toContain(`task_wait_${reason}`);
  }
}

describe('a task that waits is logged while it waits for', () => {
  test('room', () => {
    const scenario = new Scenario();
    scenario.submit({ demand: LARGER_THAN_ANY_TARGET });
    scenario.world.run(LOGGED_MS);
    scenario.expectLogged('capacity');
  });

  test('room, although its queue needs advice', () => {
    const scenario = new Scenario();
    scenario.submit({ demand: LARGER_THAN_ANY_TARGET }, 'cheap');
    scenario.world.run(LOGGED_MS);
    scenario.expectLogged('capacity');
  });

  test('the limit of its team, also where it needs advice', () => {
    const limit = { cpuMillis: 1, memoryMb: 0, accelerators: 0 };
    const scenario = new Scenario([{ id: 'team-a' as TeamId, weight: 5, limit, keys: [] }]);
    scenario.submit({}, 'cheap');
    scenario.world.run(LOGGED_MS);
    scenario.expectLogged('teamLimit');
  });

  test('advice', () => {
    const scenario = new Scenario();
    scenario.world.advice.isAvailable = false;
    scenario.submit({}, 'cheap');
    scenario.world.run(LOGGED_MS);
    scenario.expectLogged('advice');
  });

  test('the service of its queue to be stored', () => {
    const scenario = new Scenario();
    const { world } = scenario;
    world.isStoreAvailable = false;
    const { queue } = createSubmission(1, [{}]);
    world.operator.setQueues([{ ...queue, serviceName: 'second' }]);
    world.readOperator();
    scenario.submit();
    world.run(LOGGED_MS);
    scenario.expectLogged('serviceRecord');
  });

  test('a target that may run it since a former owner', () => {
    const scenario = new Scenario();
    const { world } = scenario;
    scenario.submit({ estimateMs: 20_000 });
    world.run(500);
    world.targets.forEach(({ id }) => world.partition(id, 6_000));
    world.takeOver();
    world.run(LOGGED_MS);
    scenario.expectLogged('unseenRuns');
    const [line] = scenario.lines;
    expect(line?.unresolvedTargetIds).toEqual([...world.targets.keys()]);
  });

  test('a start without an answer, with its target', () => {
    const scenario = new Scenario();
    const { world } = scenario;
    const cutIds: TargetId[] = [];
    const { onEffect } = world;
    world.onEffect = (epoch, effect) => {
      onEffect?.(epoch, effect);
      if (effect.kind !== 'startRun' || cutIds.length > 0) return;
      cutIds.push(effect.targetId);
      world.partition(effect.targetId, 10_000);
    };
    scenario.submit();
    world.run(LOGGED_MS);
    scenario.expectLogged('startInDoubt');
    expect(scenario.lines[0]?.targetIds).toEqual(cutIds);
  });
});

test('a task that starts at once is not logged as waiting', () => {
  const scenario = new Scenario();
  scenario.submit({ estimateMs: 10_000 });
  scenario.world.run(LOGGED_MS);
  expect(scenario.lines).toEqual([]);
});

describe('a wait for advice or room', () => {
  const LASTING: Partial<StepSpec> = {
    policy: { kind: 'standing', latencyTargetMs: 0, maxUnavailableCount: 0 },
    taskCount: 2,
    maxTasksPerTarget: 1,
    estimateMs: 600_000,
  };

  // The clock began anew whenever the reason changed, so that no line showed waits of up to 20 s.
  test('is logged with its whole duration while its reason changes', () => {
    const scenario = new Scenario();
    const { world } = scenario;
    world.advice.isAvailable = false;
    scenario.submit(LASTING, 'cheap');
    const capacities = [...world.targets.values()].map(({ id, capacity }) => ({ id, capacity }));
    for (let count = 0; count < 9; count += 1) {
      world.run(1_000);
      const isFull = count % 2 === 0;
      capacities.forEach(({ id, capacity }) =>
        world.setCapacity(id, isFull ? NO_DEMAND : capacity),
      );
    }
    expect(new Set(scenario.lines.map(({ reason }) => reason))).toEqual(
      new Set(['advice', 'capacity']),
    );
    const longestMs = Math.max(...scenario.lines.map((line) => Number(line.longestMs)));
    expect(longestMs).toBeGreaterThan(6_000);
  });

  test('is logged with what each approved target lacks', () => {
    const scenario = new Scenario();
    const { world } = scenario;
    scenario.submit({ ...LASTING, taskCount: 20 }, 'cheap');
    world.run(LOGGED_MS);
    const [line] = scenario.lines;
    const [summary] = (line?.advice ?? []) as readonly { readonly approved: readonly object[] }[];
    expect(summary?.approved.length).toBeGreaterThan(0);
    summary?.approved.forEach((target) =>
      expect(target).toMatchObject({ lacks: expect.arrayContaining(['spread']) }),
    );
  });
});
