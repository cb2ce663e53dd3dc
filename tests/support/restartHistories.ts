/**
 * Seeded random histories in which targets restart under the same id while requests to them are on their way, and
 * the check that no task waits once nothing about it is in doubt.
 */

import { OWNER_AUTHORITY_MS } from '../../src/owner/constants';
import type { SubmissionId, TargetId, TaskKey, TeamId } from '../../src/types/ids';
import { Random } from '../../src/types/random';
import { parseRanges } from '../../src/work/indexRanges';
import { addDemand, getChargedDemand, isDemandFitting, NO_DEMAND } from '../../src/work/types';
import type { StepSpec, Submission } from '../../src/work/types';
import type { FakeTarget } from '../../standins/fakeTarget';
import type { CallFate } from './networkModel';
import { createSubmission, NO_FAULTS, OwnerWorld } from './ownerWorld';

const TARGET_COUNT = 9;
const ACTION_COUNT = 24;

/** Late requests have been performed by then. */
const MIN_CALM_MS = 14_000;

/** By then all work is done, also that of a team that keeps within its limit. */
const MAX_CALM_MS = 70_000;

const CHECK_INTERVAL_MS = 50;

/** Longest time for which a registration is missing around a takeover. */
const MAX_LAPSE_MS = 4_000;

/** A task that could run may be without a run for this long (LOST). */
const MAX_IDLE_MS = 3_000;

/** Submissions with tasks that are suspected of having crashed a target have this time more (LOST). */
const SUSPECT_GRACE_MS = 4_000;

/** Limit of the team that half of the submissions belong to. */
const LIMITED_TEAM = {
  ...{ id: 'team-b' as TeamId, keys: [], weight: 1 },
  limit: { cpuMillis: 24_000, memoryMb: 0, accelerators: 0 },
};

/** Policies of the tasks in a history. */
export type PolicyName = 'plain' | 'gang' | 'standing' | 'speculative';

const STANDING_ESTIMATE_MS = 100_000;

function isStanding({ policy }: StepSpec): boolean {
  return policy.kind === 'standing';
}

/** Draws the steps of a submission. */
function drawSteps(policy: PolicyName, random: Random): Partial<StepSpec>[] {
  const taskCount = 1 + random.nextInt(4);
  const estimateMs = 400 + random.nextInt(3_000);
  switch (policy) {
    case 'gang':
      return [
        {
          taskCount: 2 + random.nextInt(3),
          estimateMs,
          policy: { kind: 'gang', isSameRack: false },
        },
      ];
    case 'standing':
      return [
        {
          taskCount: 1 + random.nextInt(2),
          estimateMs: STANDING_ESTIMATE_MS,
          policy: { kind: 'standing', latencyTargetMs: 0, maxUnavailableCount: 0 },
          demand: { cpuMillis: 1_000, memoryMb: 512, accelerators: 0 },
        },
      ];
    case 'speculative':
      return [{ taskCount, estimateMs, policy: { kind: 'batch', isSpeculative: true } }];
    default:
      return random.nextInt(2) === 0
        ? [{ taskCount, estimateMs }]
        : [
            { taskCount, estimateMs: 400 },
            { taskCount: 2, estimateMs, after: [0] },
          ];
  }
}

/** Draws what happens to a request; most take their usual course. */
function drawFate(random: Random): CallFate {
  const opensConnection = random.nextFraction() < 0.3;
  const isSlowToOpen = random.nextFraction() < 0.3;
  const openDelayMs = isSlowToOpen ? 10 + random.nextInt(600) : 1;
  const course = random.nextFraction();
  const delay = random.nextFraction();
  const opening = opensConnection ? { openDelayMs } : {};
  if (course < 0.03) return { ...opening, isSilent: true };
  if (course < 0.07) return { ...opening, performDelayMs: 2_000 + delay * 10_000 };
  if (course < 0.1) return { ...opening, repeatDelayMs: delay * 8_000 };
  if (course < 0.15) return { ...opening, isAnswerLost: true };
  if (course < 0.25) return { ...opening, answerDelayMs: delay * 400 };
  return opening;
}

/** A task whose turn has come. */
interface DueTask {
  readonly taskKey: TaskKey;
  readonly step: StepSpec;
  readonly submission: Submission;
}

/** A history in progress. */
class RestartHistory {
  readonly world: OwnerWorld;

  readonly #random: Random;

  /** Draws of histories with lapsed registrations. */
  readonly #lapseRandom: Random | undefined;

  #unreachableCount = 0;

  #submissions: Submission[] = [];

  #isCalm = false;

  /** When all injected faults have ended. */
  #faultsEndAtMs = 0;

  #rowMissingUntilMs = 0;

  #idleSinceMs: ReadonlyMap<TaskKey, number> = new Map();

  constructor(seed: number, hasLapses: boolean) {
    this.#random = new Random(seed);
    if (hasLapses) this.#lapseRandom = new Random(seed + 3_000_017);
    const networkRandom = new Random(seed + 1_000_003);
    this.world = new OwnerWorld({
      ...{ seed, targetCount: TARGET_COUNT, faults: { ...NO_FAULTS, failedRuns: 0.04 } },
      teams: [LIMITED_TEAM],
      network: {
        chooseFate: () => (this.#isCalm ? {} : drawFate(networkRandom)),
        getRegistryDelayMs: () => networkRandom.nextInt(this.#isCalm ? 10 : 300),
      },
    });
  }

  run(policy: PolicyName): OwnerWorld {
    const { world } = this;
    world.takeOver();
    world.run(300);
    for (let number = 1; number <= ACTION_COUNT; number += 1) {
      // Standing tasks stay, so few submissions have them.
      if (policy !== 'standing' || number % 3 === 1) this.#submit(policy, number);
      world.run(this.#random.nextInt(400));
      this.#disturb();
    }
    this.#isCalm = true;
    world.run(Math.max(0, this.#faultsEndAtMs - world.time.nowMs));
    const calmSinceMs = world.time.nowMs;
    while (this.#isUnfinished(world.time.nowMs - calmSinceMs)) {
      world.run(CHECK_INTERVAL_MS);
      this.#checkWaitingTasks();
    }
    this.#checkOutcomes();
    return world;
  }

  #isUnfinished(calmMs: number): boolean {
    if (calmMs < MIN_CALM_MS) return true;
    const isOpen = this.#submissions.some(
      ({ id, spec }) => !spec.steps.some(isStanding) && this.#isOpen(id),
    );
    return isOpen && calmMs < MAX_CALM_MS;
  }

  #isOpen(submissionId: SubmissionId): boolean {
    return ['pending', 'running'].includes(this.world.getState(submissionId));
  }

  #submit(policy: PolicyName, number: number): void {
    const teamId = this.#random.nextInt(2) === 0 ? 'team-a' : LIMITED_TEAM.id;
    const submission = createSubmission(number, drawSteps(policy, this.#random), { teamId });
    this.#submissions.push(submission);
    this.world.submit(submission);
  }

  #disturb(): void {
    const random = this.#random;
    const targetId = this.#drawTarget();
    switch (random.nextInt(10)) {
      case 0:
      case 1:
      case 2:
        this.#restartMany();
        break;
      case 3:
        this.#restart(targetId);
        break;
      case 4:
        this.#extendFaults(800);
        this.world.registry?.goBack(targetId, random.nextInt(500));
        break;
      case 5:
        this.#removeRow(targetId, random.nextInt(1_500));
        break;
      case 6:
        this.#extendFaults(800);
        this.world.registry?.listFormer(random.nextInt(500));
        break;
      case 7:
        this.#takeOver();
        break;
      default:
    }
  }

  #drawTarget(): TargetId {
    return `target-${this.#random.nextInt(TARGET_COUNT)}` as TargetId;
  }

  #extendFaults(durationMs: number): void {
    this.#faultsEndAtMs = Math.max(this.#faultsEndAtMs, this.world.time.nowMs + durationMs);
  }

  #removeRow(targetId: TargetId, durationMs: number): void {
    this.#extendFaults(durationMs + 300);
    this.#rowMissingUntilMs = Math.max(this.#rowMissingUntilMs, this.world.time.nowMs + durationMs);
    this.world.registry?.remove(targetId, durationMs);
  }

  /** Histories without lapses are older than the record of used targets, and keep to what owners could know then. */
  #takeOver(): void {
    const isFormerAlive = this.#random.nextInt(3) > 0;
    const suspensionMs = this.#random.nextInt(2) * this.#random.nextInt(OWNER_AUTHORITY_MS);
    if (this.#lapseRandom !== undefined) this.#lapse(this.#lapseRandom);
    else if (this.world.time.nowMs <= this.#rowMissingUntilMs) return;
    this.#extendFaults(isFormerAlive ? OWNER_AUTHORITY_MS : 0);
    this.world.takeOver(isFormerAlive, suspensionMs);
  }

  /** Registrations are missing at a takeover, and one that leads nowhere is there instead. */
  #lapse(random: Random): void {
    const lapsed = [...this.world.targets.keys()].filter(() => random.nextInt(5) === 0);
    lapsed.forEach((targetId) => this.#removeRow(targetId, random.nextInt(MAX_LAPSE_MS)));
    if (random.nextInt(2) === 0) return;
    this.#unreachableCount += 1;
    const name = `nowhere-${this.#unreachableCount}`;
    this.world.addTarget(name, { isReachable: false, capacity: NO_DEMAND });
    this.world.run(random.nextInt(400));
  }

  /** A third of the targets restart at nearly the same time, some of them again soon afterwards. */
  #restartMany(): void {
    const spreadMs = 1 + this.#random.nextInt(400);
    const targetIds = [...this.world.targets.keys()].filter(() => this.#random.nextInt(3) === 0);
    targetIds.forEach((targetId) => {
      this.#later(this.#random.nextInt(spreadMs), () => this.#restart(targetId));
      if (this.#random.nextInt(3) > 0) return;
      this.#later(300 + this.#random.nextInt(2_000), () => this.#restart(targetId));
    });
  }

  #later(delayMs: number, action: () => void): void {
    this.#extendFaults(delayMs);
    this.world.time.after(delayMs, action);
  }

  #restart(targetId: TargetId): void {
    if (this.world.targets.get(targetId)?.isUp !== true) return;
    const isShort = this.#random.nextInt(2) === 0;
    const downMs = 20 + this.#random.nextInt(isShort ? 200 : 1_980);
    this.#extendFaults(downMs + 600);
    switch (this.#random.nextInt(4)) {
      case 0:
        this.world.crash(targetId, downMs);
        break;
      case 1: {
        const cutMs = downMs + this.#random.nextInt(1_000);
        this.#extendFaults(cutMs);
        this.world.partition(targetId, cutMs);
        this.world.crash(targetId, downMs);
        break;
      }
      default:
        this.world.crashProcess(targetId, downMs);
    }
  }

  #checkWaitingTasks(): void {
    const { nowMs } = this.world.time;
    const running = new Set(
      [...this.world.targets.values()].flatMap(({ runs }) => [...runs.keys()]),
    );
    const waiting = this.#getTasksDue().filter(
      ({ taskKey, step, submission }) =>
        !running.has(taskKey) && this.#hasCapacity(submission, step),
    );
    const idleSinceMs = new Map(
      waiting.map(({ taskKey }) => [taskKey, this.#idleSinceMs.get(taskKey) ?? nowMs]),
    );
    this.#idleSinceMs = idleSinceMs;
    waiting.forEach(({ taskKey, step, submission }) => {
      const sinceMs = idleSinceMs.get(taskKey) ?? nowMs;
      if (nowMs - sinceMs <= MAX_IDLE_MS) return;
      if (this.#isSuspected(taskKey) && !this.#isOverdue(submission, step)) return;
      this.world.reportViolation('LOST', `${taskKey} has no run since ${Math.round(sinceMs)} ms`);
      idleSinceMs.set(taskKey, Number.POSITIVE_INFINITY);
    });
  }

  /** Suspected tasks are started one by one, but not all of a submission wait for long. */
  #isOverdue({ id }: Submission, step: StepSpec): boolean {
    const dueAtMs = this.#faultsEndAtMs + SUSPECT_GRACE_MS + MAX_IDLE_MS;
    if (this.world.time.nowMs < dueAtMs) return false;
    return isStanding(step) || this.#getUsed(new Set([id])).cpuMillis === 0;
  }

  #isSuspected(taskKey: TaskKey): boolean {
    const { suspectedTasks } = this.world.core.dump() as {
      readonly suspectedTasks: readonly { readonly task: TaskKey }[];
    };
    return suspectedTasks.some(({ task }) => task === taskKey);
  }

  /** The owner may know of an end that its target did not live to see acknowledged. */
  #isDone(submissionId: SubmissionId, taskKey: TaskKey): boolean {
    const [, occurrence, step, index] = taskKey.split('.');
    const stored = this.world.store.get(submissionId)?.value;
    const done = stored?.steps?.[`${occurrence}.${step}`]?.done ?? '';
    return stored?.outcome !== undefined || parseRanges(done).has(Number(index));
  }

  /** Tasks of open submissions whose turn has come and that have not ended as done. */
  #getTasksDue(): readonly DueTask[] {
    const open = this.#submissions.filter(({ id }) => this.#isOpen(id));
    return open.flatMap((submission) => {
      const { steps } = submission.spec;
      const getKeys = (index: number) =>
        Array.from(
          { length: steps[index]?.taskCount ?? 0 },
          (_, task) => `${submission.id}.0.${index}.${task}` as TaskKey,
        );
      const isDone = (key: TaskKey) => this.#isDone(submission.id, key);
      return steps.flatMap((step, index) => {
        const isDue = step.after.every((dependency) => getKeys(dependency).every(isDone));
        const keys = getKeys(index);
        if (!isDue || (step.policy.kind === 'gang' && keys.some(isDone))) return [];
        return keys.filter((key) => !isDone(key)).map((taskKey) => ({ taskKey, step, submission }));
      });
    });
  }

  /** Checks whether half of the targets have room for a task, and its team for all tasks of the step. */
  #hasCapacity(submission: Submission, step: StepSpec): boolean {
    const fitting = [...this.world.targets.values()].filter((target) =>
      isDemandFitting(getChargedDemand(step), this.#getFree(target)),
    );
    if (fitting.length < TARGET_COUNT / 2) return false;
    if (submission.teamId !== LIMITED_TEAM.id) return true;
    const limited = this.#submissions.filter(({ teamId }) => teamId === LIMITED_TEAM.id);
    const used = this.#getUsed(new Set(limited.map(({ id }) => id)));
    const wanted = addDemand(used, getChargedDemand(step), step.taskCount);
    const { cpuMillis } = LIMITED_TEAM.limit;
    return used.cpuMillis < cpuMillis / 2 && wanted.cpuMillis <= cpuMillis;
  }

  #getFree(target: FakeTarget) {
    return [...target.runs.keys()].reduce(
      (free, key) => addDemand(free, getChargedDemand(this.world.getSpec(key)), -1),
      target.capacity,
    );
  }

  #getUsed(submissionIds: ReadonlySet<SubmissionId>) {
    return [...this.world.targets.values()]
      .flatMap(({ runs }) => [...runs.keys()])
      .filter((key) => submissionIds.has(key.slice(0, key.indexOf('.')) as SubmissionId))
      .reduce((sum, key) => addDemand(sum, getChargedDemand(this.world.getSpec(key))), NO_DEMAND);
  }

  #checkOutcomes(): void {
    this.#submissions.forEach(({ id, spec }) => {
      const state = this.world.getState(id);
      if (
        spec.steps.some(isStanding) ? state !== 'running' : !['succeeded', 'failed'].includes(state)
      )
        this.world.reportViolation('LOST', `submission ${id} is ${state} at the end`);
      const givenUpTask = this.world.store.get(id)?.value.givenUpTask;
      if (givenUpTask !== undefined)
        this.world.reportViolation('LOST', `${givenUpTask} was given up without cause`);
    });
  }
}

/** Simulates the random history of a seed, then a calm period in which everything has to run or end. */
export function runRestartHistory(policy: PolicyName, seed: number, hasLapses = false): OwnerWorld {
  return new RestartHistory(seed, hasLapses).run(policy);
}
