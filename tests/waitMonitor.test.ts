/** Guards against waits that no log line and no metric show while they last. */

import type { OwnerEffect } from '../src/owner/types';
import type { TargetId, TaskKey } from '../src/types/ids';
import type { StepSpec } from '../src/work/types';
import { createSubmission, NO_FAULTS, OwnerWorld, toSubmissionId } from './support/ownerWorld';

const TASK = `${toSubmissionId(1)}.0.0.0` as TaskKey;
const LARGER_THAN_ANY_TARGET = { cpuMillis: 99_000, memoryMb: 1_024, accelerators: 0 };

/** A wait is logged once it lasts 3 s; tasks are looked at each second. */
const LOGGED_MS = 4_500;

type LogEffect = Extract<OwnerEffect, { kind: 'log' }>;

/** A fleet whose log lines and metrics of waits are kept. */
class Scenario {
  readonly world = new OwnerWorld({ seed: 1, targetCount: 2, faults: NO_FAULTS });

  readonly lines: LogEffect['fields'][] = [];

  readonly metrics = new Set<string>();

  constructor() {
    this.world.onEffect = (_epoch, effect) => {
      if (effect.kind === 'record') this.metrics.add(effect.name);
      if (effect.kind === 'log' && effect.message === 'tasks wait') this.lines.push(effect.fields);
    };
    this.world.takeOver();
    this.world.run(1_000);
  }

  submit(step: Partial<StepSpec> = {}, advice?: 'cheap'): void {
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

  test('advice', () => {
    const scenario = new Scenario();
    scenario.submit({ demand: LARGER_THAN_ANY_TARGET }, 'cheap');
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
