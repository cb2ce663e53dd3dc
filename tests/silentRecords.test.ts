/**
 * Guards against owners that wait anew for targets that their predecessors had already found silent, and against a
 * record of silent targets that is relied on although its target has been granted more since.
 */

import type { OwnerEffect } from '../src/owner/types';
import type { TargetId, TaskKey } from '../src/types/ids';
import type { StepSpec } from '../src/work/types';
import { createSubmission, NO_FAULTS, OwnerWorld, toSubmissionId } from './support/ownerWorld';

const LASTING: Partial<StepSpec> = {
  policy: { kind: 'standing', latencyTargetMs: 0, maxUnavailableCount: 0 },
};

const TASK = `${toSubmissionId(1)}.0.0.0` as TaskKey;

/** A target is recorded as silent by then: a lost poll, the delay of the record and its write. */
const RECORDED_MS = 2_200;

/** By then a successor has recorded a target that it does not reach. */
const SUCCESSOR_RECORDED_MS = 1_500;

/** Longest wait for a target that no owner hears: authority of a former owner, lease and margins. */
const MAX_WAIT_MS = 7_600;

/** A successor asks targets and starts tasks within this time. */
const START_MS = 1_000;

type PollEffect = Extract<OwnerEffect, { kind: 'poll' }>;

/** A lasting task at work on one of four targets. */
class Scenario {
  readonly world = new OwnerWorld({ seed: 1, targetCount: 4, faults: NO_FAULTS });

  readonly holderId: TargetId;

  readonly polls: PollEffect[] = [];

  constructor() {
    const { world } = this;
    world.takeOver();
    world.run(500);
    world.submit(createSubmission(1, [LASTING]));
    world.run(2_000);
    this.holderId = this.getHolder();
    world.onEffect = (_epoch, effect) => {
      if (effect.kind === 'poll' && effect.targetId === this.holderId) this.polls.push(effect);
    };
  }

  getHolder(): TargetId {
    const holder = [...this.world.targets.values()].find(({ runs }) => runs.has(TASK));
    if (holder === undefined) throw new Error('the task does not run');
    return holder.id;
  }

  isRecordedSilent(): boolean {
    return this.world.recordStore.rows.get(this.holderId)?.target.silence !== undefined;
  }

  /** Whether the task runs on a target other than its first one. */
  isRunningElsewhere(): boolean {
    return [...this.world.targets.values()].some(
      ({ id, runs }) => id !== this.holderId && runs.has(TASK),
    );
  }

  /** Lets time pass until the task runs elsewhere, and returns how long that took. */
  runUntilElsewhere(): number {
    const fromMs = this.world.time.nowMs;
    while (!this.isRunningElsewhere()) {
      if (this.world.time.nowMs > fromMs + 60_000) throw new Error('the task does not run again');
      this.world.run(20);
    }
    return this.world.time.nowMs - fromMs;
  }

  getGrants(): readonly PollEffect[] {
    return this.polls.filter(({ leaseUntilMs }) => leaseUntilMs !== undefined);
  }
}

describe('a successor does not wait anew for a target that', () => {
  // Each owner waited from its own takeover on (LOST).
  test('its predecessor had found silent', () => {
    const scenario = new Scenario();
    const { world, holderId } = scenario;
    world.partition(holderId, 60_000);
    world.run(RECORDED_MS);
    expect(scenario.isRecordedSilent()).toBe(true);
    world.run(3_000);
    world.takeOver();
    expect(RECORDED_MS + 3_000 + scenario.runUntilElsewhere()).toBeLessThan(MAX_WAIT_MS);
    expect(world.broken).toEqual([]);
  });

  test('no owner has reached since several takeovers', () => {
    const scenario = new Scenario();
    const { world, holderId } = scenario;
    const lostAtMs = world.time.nowMs;
    world.partition(holderId, 60_000);
    world.takeOver();
    for (let owner = 0; owner < 4; owner += 1) {
      world.run(SUCCESSOR_RECORDED_MS);
      world.takeOver();
    }
    scenario.runUntilElsewhere();
    expect(world.time.nowMs - lostAtMs).toBeLessThan(MAX_WAIT_MS + START_MS);
    expect(world.broken).toEqual([]);
  });

  // The row of a target that leaves nothing to wait for cannot be removed right after a takeover.
  test('holds nothing any more', () => {
    const scenario = new Scenario();
    const { world, holderId } = scenario;
    world.partition(holderId, 60_000);
    scenario.runUntilElsewhere();
    world.takeOver();
    world.run(RECORDED_MS);
    world.takeOver();
    world.submit(createSubmission(2, [{}]));
    world.run(START_MS);
    expect(world.startCountByTask.get(`${toSubmissionId(2)}.0.0.0` as TaskKey)).toBe(1);
    expect(world.broken).toEqual([]);
  });
});

// Calls for the incarnation that was recorded may still grant leases to the one that has taken its place (TWICE).
test('what is recorded of a silent target does not hold for its next incarnation', () => {
  const scenario = new Scenario();
  const { world, holderId } = scenario;
  world.partition(holderId, 60_000);
  scenario.runUntilElsewhere();
  world.crash(holderId, 40);
  world.run(500);
  world.takeOver();
  world.run(100);
  const { unresolvedTargetIds } = world.core.dump() as { readonly unresolvedTargetIds: TargetId[] };
  expect(unresolvedTargetIds).toEqual([holderId]);
});

describe('a target that answers again after it was recorded as silent', () => {
  // A successor would start its tasks again while it still runs them (TWICE).
  test('is granted no longer lease until that is stored', () => {
    const scenario = new Scenario();
    const { world, holderId } = scenario;
    world.partition(holderId, RECORDED_MS);
    world.run(RECORDED_MS - 100);
    expect(scenario.isRecordedSilent()).toBe(true);
    world.isStoreAvailable = false;
    world.run(200);
    scenario.polls.splice(0);
    world.run(1_500);
    expect(scenario.polls.length).toBeGreaterThan(0);
    expect(scenario.getGrants()).toEqual([]);
    world.isStoreAvailable = true;
    world.run(1_000);
    expect(scenario.isRecordedSilent()).toBe(false);
    expect(scenario.getGrants().length).toBeGreaterThan(0);
    expect(scenario.getHolder()).toBe(holderId);
    expect(world.broken).toEqual([]);
  });

  test('is granted no longer lease while the fate of its row is unknown', () => {
    const scenario = new Scenario();
    const { world, holderId } = scenario;
    world.recordStore.areAnswersLost = true;
    world.partition(holderId, RECORDED_MS);
    world.run(RECORDED_MS + 100);
    scenario.polls.splice(0);
    world.run(500);
    expect(scenario.polls.length).toBeGreaterThan(0);
    expect(scenario.getGrants()).toEqual([]);
    world.recordStore.areAnswersLost = false;
    world.run(2_000);
    expect(scenario.isRecordedSilent()).toBe(false);
    expect(scenario.getGrants().length).toBeGreaterThan(0);
    expect(world.broken).toEqual([]);
  });

  test('keeps its run over a takeover, also when it falls silent again', () => {
    const scenario = new Scenario();
    const { world, holderId } = scenario;
    world.partition(holderId, RECORDED_MS);
    world.run(RECORDED_MS + 500);
    world.takeOver();
    world.run(500);
    expect(scenario.getHolder()).toBe(holderId);
    world.partition(holderId, 60_000);
    world.takeOver();
    scenario.runUntilElsewhere();
    expect(world.broken).toEqual([]);
  });
});

// The end of a silence is passed on in time of the store's clock (TWICE).
test.each([0.98, 1, 1.02])(
  'a store whose clock runs at %d does not shorten a lease',
  (clockRate) => {
    const scenario = new Scenario();
    const { world, holderId } = scenario;
    world.recordStore.clockRate = clockRate;
    world.run(60_000);
    world.partition(holderId, 60_000);
    for (let owner = 0; owner < 4; owner += 1) {
      world.run(RECORDED_MS);
      world.takeOver();
    }
    scenario.runUntilElsewhere();
    expect(world.broken).toEqual([]);
  },
);
