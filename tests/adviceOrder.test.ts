/** Guards against lasting tasks that get no advice while the service is asked for steps that cannot use it (LOST). */

import type { OwnerEffect } from '../src/owner/types';
import type { SubmissionId, TeamId } from '../src/types/ids';
import type { StepSpec, Team } from '../src/work/types';
import { WALL_START_MS } from './support/ownerSubmissions';
import { createSubmission, NO_FAULTS, OwnerWorld, toSubmissionId } from './support/ownerWorld';

const LASTING: Partial<StepSpec> = {
  taskCount: 4,
  maxTasksPerTarget: 1,
  estimateMs: 600_000,
  policy: { kind: 'standing', latencyTargetMs: 0, maxUnavailableCount: 0 },
};

/** A task of it takes a small part of a target, so that the fleet never fills. */
const SMALL = { cpuMillis: 100, memoryMb: 100, accelerators: 0 };

const TARGET_COUNT = 20;

/** A lasting task has to run 3 s after it could, from 6 s after its submission. */
const START_LIMIT_MS = 9_000;

const UNLIMITED_MILLIS = 1e9;

function createTeam(name: string, weight: number, cpuMillis = UNLIMITED_MILLIS): Team {
  const limit = { cpuMillis, memoryMb: UNLIMITED_MILLIS, accelerators: 0 };
  return { id: name as TeamId, weight, limit, keys: [] };
}

/** A fleet whose calls for advice take as long as on a site where all lanes are in use. */
class Scenario {
  readonly world: OwnerWorld;

  /** Steps for which calls were sent, in order. */
  readonly asked: string[] = [];

  constructor(teams: readonly Team[]) {
    this.world = new OwnerWorld({ seed: 1, targetCount: TARGET_COUNT, faults: NO_FAULTS, teams });
    Object.assign(this.world.advice, { callMs: 450, perTargetMs: 6.5, ticketValidMs: 2_000 });
    this.world.onEffect = (_epoch, effect: OwnerEffect) => {
      if (effect.kind === 'askAdvice') this.asked.push(effect.stepKey);
    };
    this.world.takeOver();
    this.world.run(1_000);
  }

  /** Submits a batch submission each 100 ms: far more calls than the lanes can bear. */
  runBesideBatch(durationMs: number, firstNumber: number, teamId: string): void {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 100) {
      const step = { taskCount: 2, demand: SMALL, estimateMs: 500 };
      const number = firstNumber + elapsedMs / 100;
      const overrides = { priority: 2, teamId, advice: 'costly' as const };
      const submission = createSubmission(number, [step], overrides);
      const acceptedAtMs = WALL_START_MS + this.world.time.nowMs;
      this.world.submit({ ...submission, acceptedAtMs });
      this.world.run(100);
    }
  }

  submitLasting(number: number, teamId: string): SubmissionId {
    const overrides = { priority: 1, teamId, advice: 'costly' as const };
    this.world.submit(createSubmission(number, [LASTING], overrides));
    return toSubmissionId(number);
  }

  countRuns(submissionId: SubmissionId): number {
    return [...this.world.targets.values()]
      .flatMap(({ runs }) => [...runs.keys()])
      .filter((key) => key.startsWith(submissionId)).length;
  }
}

describe('a lasting task gets advice while batch work takes all calls', () => {
  // Its step came after all batch steps, and each of these was asked for anew when its tickets had expired.
  test('and its team has submitted more than its rate', () => {
    const scenario = new Scenario([createTeam('team-a', 1_000), createTeam('team-b', 1)]);
    const submissions = [1, 2, 3].map((number) => scenario.submitLasting(number, 'team-b'));
    scenario.runBesideBatch(START_LIMIT_MS, 100, 'team-a');
    submissions.forEach((id) => expect(scenario.countRuns(id)).toBe(LASTING.taskCount));
    expect(scenario.world.broken).toEqual([]);
  });

  test('and has lost its run', () => {
    const scenario = new Scenario([createTeam('team-a', 1_000), createTeam('team-b', 1)]);
    const submissions = [1, 2, 3].map((number) => scenario.submitLasting(number, 'team-b'));
    scenario.world.run(6_000);
    submissions.forEach((id) => expect(scenario.countRuns(id)).toBe(LASTING.taskCount));
    scenario.runBesideBatch(2_000, 100, 'team-a');
    [...scenario.world.targets.keys()].slice(0, 5).forEach((id) => scenario.world.crash(id, 300));
    scenario.runBesideBatch(START_LIMIT_MS, 500, 'team-a');
    submissions.forEach((id) => expect(scenario.countRuns(id)).toBe(LASTING.taskCount));
    expect(scenario.world.broken).toEqual([]);
  });
});

describe('the advice service is not asked for a step', () => {
  test('that the limit of its team keeps from starting, and is once it may start', () => {
    const scenario = new Scenario([createTeam('team-a', 1_000, 400)]);
    const submit = (number: number) => {
      const step = { taskCount: 4, demand: SMALL, estimateMs: 20_000 };
      scenario.world.submit(createSubmission(number, [step], { priority: 2, advice: 'costly' }));
    };
    submit(1);
    scenario.world.run(2_000);
    expect(scenario.countRuns(toSubmissionId(1))).toBe(4);
    submit(2);
    scenario.world.run(3_000);
    const isSecond = (step: string) => step.startsWith(toSubmissionId(2));
    expect(scenario.asked.filter(isSecond)).toEqual([]);
    scenario.world.run(20_000);
    expect(scenario.countRuns(toSubmissionId(2))).toBeGreaterThan(0);
  });
});
