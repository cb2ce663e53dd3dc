/**
 * Guards against tasks that run twice because a queue was moved to another service and back: a later owner knows the
 * service at the acceptance of a submission and the present one, but its tasks may run at one in between.
 */

import type { OwnerEffect } from '../src/owner/types';
import type { Queue, StepSpec, Submission } from '../src/work/types';
import { runMovedQueueHistory } from './support/ownerHistories';
import { createSubmission, NO_FAULTS, OwnerWorld, toSubmissionId } from './support/ownerWorld';
import type { WorldOptions } from './support/ownerWorld';

const SECOND = 'second';
const LONG: Partial<StepSpec> = { taskCount: 2, estimateMs: 20_000 };
/** The leases of former owners have ended this long after a takeover. */
const LEASES_ENDED_MS = 14_000;

const BOUND_MS = 60_000;

function moveTo(submission: Submission, serviceName: string): Queue {
  return { ...submission.queue, serviceName };
}

/** A fleet with two targets of the usual service and two of a second one. */
class Scenario {
  readonly world: OwnerWorld;

  readonly submission = createSubmission(1, [LONG]);

  /** Services of the targets that starts were sent to, with the time. */
  readonly starts: { readonly serviceName: string; readonly atMs: number }[] = [];

  constructor(options: Partial<WorldOptions> = {}) {
    this.world = new OwnerWorld({ seed: 1, targetCount: 2, faults: NO_FAULTS, ...options });
    ['second-1', 'second-2'].forEach((id) => this.world.addTarget(id, { serviceName: SECOND }));
    this.world.onEffect = (_epoch, effect) => this.#onEffect(effect);
    this.world.takeOver();
    this.world.run(LEASES_ENDED_MS);
  }

  #onEffect(effect: OwnerEffect): void {
    if (effect.kind !== 'startRun') return;
    const serviceName = this.world.targets.get(effect.targetId)?.serviceName ?? '';
    this.starts.push({ serviceName, atMs: this.world.time.nowMs });
  }

  move(serviceName: string): void {
    this.world.operator.setQueues([moveTo(this.submission, serviceName)]);
    this.world.readOperator();
  }

  cutOff(serviceName: string, durationMs: number): void {
    this.world.targets.forEach((target) => {
      if (target.serviceName === serviceName) this.world.partition(target.id, durationMs);
    });
  }

  expectOneRunEach(): void {
    this.world.run(BOUND_MS);
    expect(this.world.broken).toEqual([]);
    expect(this.world.getState(toSubmissionId(1))).toBe('succeeded');
  }
}

describe('a task whose queue was at another service in between', () => {
  // The successor knows only the service at acceptance and the present one, which are the same.
  test('is not started again while a target of that service is cut off at a takeover', () => {
    const scenario = new Scenario();
    const { world } = scenario;
    scenario.move(SECOND);
    world.submit(scenario.submission);
    world.run(1_000);
    scenario.move('service');
    world.run(500);
    scenario.cutOff(SECOND, 4_000);
    world.run(200);
    world.takeOver();
    scenario.expectOneRunEach();
    expect(scenario.starts.map(({ serviceName }) => serviceName)).toEqual([SECOND, SECOND]);
  });

  // What the first owner has stored has to last until the next but one.
  test('is not started again after two takeovers', () => {
    const scenario = new Scenario();
    const { world } = scenario;
    scenario.move(SECOND);
    world.submit(scenario.submission);
    world.run(1_000);
    world.takeOver();
    world.run(100);
    scenario.move('service');
    world.run(300);
    scenario.cutOff(SECOND, 4_000);
    world.run(200);
    world.takeOver();
    scenario.expectOneRunEach();
  });

  // The former owner has applied a change that its successor has not read yet.
  test('is not started again by a successor that reads the change late', () => {
    const scenario = new Scenario();
    const { world } = scenario;
    scenario.move(SECOND);
    world.submit(scenario.submission);
    world.run(1_000);
    scenario.cutOff(SECOND, 4_000);
    world.operator.forgetQueues();
    world.takeOver();
    world.run(200);
    scenario.move(SECOND);
    scenario.expectOneRunEach();
  });

  // A start before the service is durable would be unknown to a successor.
  test('starts at the other service only once that is stored', () => {
    const scenario = new Scenario();
    const { world } = scenario;
    world.isStoreAvailable = false;
    scenario.move(SECOND);
    world.submit(scenario.submission);
    world.run(1_000);
    expect(scenario.starts).toEqual([]);
    world.isStoreAvailable = true;
    world.run(500);
    expect(scenario.starts).toHaveLength(2);
    scenario.expectOneRunEach();
  });

  // The service at acceptance is known to each owner.
  test('starts at the service of its acceptance while the store is away', () => {
    const scenario = new Scenario();
    const { world } = scenario;
    world.isStoreAvailable = false;
    world.submit(scenario.submission);
    world.run(300);
    expect(scenario.starts).toHaveLength(2);
    world.isStoreAvailable = true;
    scenario.expectOneRunEach();
  });

  // Waiting for each service that a queue ever had would hold up its tasks for targets that cannot run them.
  test('no longer waits for a service where none of its tasks can be', () => {
    const scenario = new Scenario();
    const { world } = scenario;
    const capacity = { cpuMillis: 100, memoryMb: 100, accelerators: 0 };
    world.addTarget('third-1', { serviceName: 'third', capacity });
    world.run(1_000);
    world.submit(scenario.submission);
    scenario.move('third');
    world.run(300);
    scenario.move(SECOND);
    world.run(300);
    expect(world.store.get(toSubmissionId(1))?.value.serviceNames).toEqual([SECOND]);
    scenario.expectOneRunEach();
  });
});

/** Seeds of which many fail when a later owner waits only for the first and the present service. */
const SEEDS = Array.from({ length: 30 }, (_, index) => index + 1);

// Moves of queues come at any moment around takeovers and cuts, and owners read them at different times.
test('histories with moved queues violate no guarantee', () => {
  const violations = SEEDS.flatMap((seed) =>
    runMovedQueueHistory(seed).broken.map((violation) => `seed ${seed}: ${violation}`),
  );
  expect(violations).toEqual([]);
});
