/**
 * Guards against seconds without a confirmed run of a task for which no log line tells what the owner believes of it,
 * on which targets it depends and until when at the latest.
 */

import { OwnerState } from '../src/owner/ownerState';
import type { Run } from '../src/owner/run';
import { getSilentForMs, getTaskBelief } from '../src/owner/taskBelief';
import type { OwnerEffect } from '../src/owner/types';
import { toEpoch } from '../src/types/ids';
import { Random } from '../src/types/random';
import type { SubmissionId, TargetId } from '../src/types/ids';
import type { StepSpec, Submission } from '../src/work/types';
import { parseRanges } from '../src/work/indexRanges';
import { MonitorParts } from './support/monitorParts';
import { addRun, createStep, createTarget } from './support/ownerParts';
import { createSubmission, NO_FAULTS, OwnerWorld, toSubmissionId } from './support/ownerWorld';

const BELIEF_MESSAGE = 'tasks without a confirmed run';
const END_MESSAGE = 'tasks have a confirmed run again';
const LEFT_OUT_MESSAGE = 'steps without a confirmed run are left out';

/** A wait of a second is found by the next check, a second later at most. */
const FIRST_LINE_MS = 2_100;

const MAX_LINE_GAP_MS = 5_000;

/** Time of some ticks, in which a bound that is over is acted on. */
const REACTION_MS = 100;

const MAX_LINES = 20;

const LARGER_THAN_ANY_TARGET = { cpuMillis: 99_000, memoryMb: 1_024, accelerators: 0 };

const LASTING: Partial<StepSpec> = {
  estimateMs: 600_000,
  policy: { kind: 'standing', latencyTargetMs: 0, maxUnavailableCount: 0 },
};

/** A log line with its time. */
interface Line {
  readonly atMs: number;
  readonly epoch: number;
  readonly message: string;
  readonly fields: Extract<OwnerEffect, { kind: 'log' }>['fields'];
}

/** A fleet whose log lines and metrics are kept. */
class Scenario {
  readonly world: OwnerWorld;

  readonly lines: Line[] = [];

  readonly metrics = new Set<string>();

  readonly counts = new Map<string, number>();

  constructor(targetCount = 4) {
    this.world = new OwnerWorld({ seed: 1, targetCount, faults: NO_FAULTS });
    this.world.onEffect = (epoch, effect) => this.onEffect(epoch, effect);
    this.world.takeOver();
    this.world.run(1_000);
  }

  onEffect(epoch: number, effect: OwnerEffect): void {
    if (effect.kind === 'record') this.metrics.add(effect.name);
    if (effect.kind === 'count')
      this.counts.set(effect.name, (this.counts.get(effect.name) ?? 0) + effect.step);
    if (effect.kind !== 'log') return;
    const { message, fields } = effect;
    this.lines.push({ atMs: this.world.time.nowMs, epoch, message, fields });
  }

  submit(step: Partial<StepSpec> = {}, overrides: Parameters<typeof createSubmission>[2] = {}) {
    this.world.submit(createSubmission(1, [step], overrides));
  }

  /** Lines about a task of the first step of a submission. */
  getLines(message: string, index = 0, submissionId = toSubmissionId(1)): readonly Line[] {
    return this.lines.filter(
      (line) =>
        line.message === message &&
        line.fields.submissionId === submissionId &&
        line.fields.step === `${submissionId}.0.0` &&
        parseRanges(String(line.fields.tasks)).has(index),
    );
  }

  getBeliefs(belief: string, reason?: string): readonly Line[] {
    return this.getLines(BELIEF_MESSAGE).filter(
      ({ fields }) => fields.belief === belief && fields.reason === reason,
    );
  }

  /** Cuts the only holder of the first submission's tasks off. */
  cutHolder(durationMs: number): TargetId {
    const holder = [...this.world.targets.values()].find(({ runs }) => runs.size > 0);
    if (holder === undefined) throw new Error('no target runs anything');
    this.world.partition(holder.id, durationMs);
    return holder.id;
  }

  /** Cuts the target of the next start off before its answer. */
  cutNextStart(durationMs: number): TargetId[] {
    const cutIds: TargetId[] = [];
    this.world.onEffect = (epoch, effect) => {
      this.onEffect(epoch, effect);
      if (effect.kind !== 'startRun' || cutIds.length > 0) return;
      cutIds.push(effect.targetId);
      this.world.partition(effect.targetId, durationMs);
    };
    return cutIds;
  }

  /** Expects a line for each second of a wait. */
  expectCovered(fromMs: number, untilMs: number, index = 0, submissionId?: SubmissionId): void {
    const timesMs = this.getLines(BELIEF_MESSAGE, index, submissionId)
      .map(({ atMs }) => atMs)
      .filter((atMs) => atMs >= fromMs && atMs <= untilMs);
    expect(timesMs[0]).toBeLessThanOrEqual(fromMs + FIRST_LINE_MS);
    const gapsMs = [...timesMs, untilMs].slice(1).map((atMs, at) => atMs - (timesMs[at] ?? 0));
    gapsMs.forEach((gapMs) => expect(gapMs).toBeLessThanOrEqual(MAX_LINE_GAP_MS));
  }

  /** Expects that the belief is over by the bound of each of its lines. */
  expectBounded(lines: readonly Line[]): void {
    const lastAtMs = lines[lines.length - 1]?.atMs ?? Number.POSITIVE_INFINITY;
    const next = this.getLines(BELIEF_MESSAGE)
      .concat(this.getLines(END_MESSAGE))
      .filter((line) => line.atMs > lastAtMs)
      .map(({ atMs, fields }) => atMs - Number(fields.beliefForMs ?? 0));
    const overByMs = Math.min(...next);
    lines.forEach(({ atMs, fields }) => {
      expect(fields.endsWithinMs).toEqual(expect.any(Number));
      // A check that finds another belief comes up to a second after the belief has ended.
      expect(overByMs).toBeLessThanOrEqual(
        atMs + Number(fields.endsWithinMs) + 1_000 + REACTION_MS,
      );
    });
  }
}

describe('while a task has no run, lines tell that it waits for', () => {
  test('room, without a bound', () => {
    const scenario = new Scenario();
    scenario.submit({ ...LASTING, taskCount: 9, demand: LARGER_THAN_ANY_TARGET });
    const { nowMs } = scenario.world.time;
    scenario.world.run(30_000);
    const lines = scenario.getBeliefs('waiting', 'capacity');
    expect(lines.length).toBeGreaterThanOrEqual(6);
    expect(lines.length).toBeLessThanOrEqual(9);
    lines.forEach(({ atMs, fields }) => {
      expect(fields.tasks).toBe('0-8');
      expect(fields).not.toHaveProperty('endsWithinMs');
      expect(fields.sinceMs).toBe(Math.round(atMs - nowMs));
    });
    scenario.expectCovered(nowMs, scenario.world.time.nowMs, 8);
  });

  test('advice', () => {
    const scenario = new Scenario();
    scenario.world.advice.isAvailable = false;
    scenario.submit({}, { advice: 'cheap' });
    scenario.world.run(10_000);
    expect(scenario.getBeliefs('waiting', 'advice')).not.toEqual([]);
  });

  test('the service of its queue to be stored', () => {
    const scenario = new Scenario();
    const { world } = scenario;
    world.isStoreAvailable = false;
    const { queue } = createSubmission(1, [{}]);
    world.operator.setQueues([{ ...queue, serviceName: 'second' }]);
    world.readOperator();
    scenario.submit();
    const { nowMs } = world.time;
    world.run(10_000);
    expect(scenario.getBeliefs('waiting', 'serviceRecord')).not.toEqual([]);
    scenario.expectCovered(nowMs, world.time.nowMs);
  });

  test('targets that may run it since a former owner, with the latest end of that', () => {
    const scenario = new Scenario();
    const { world } = scenario;
    scenario.submit(LASTING);
    world.run(2_000);
    world.targets.forEach(({ id }) => world.partition(id, 60_000));
    world.takeOver();
    const { nowMs } = world.time;
    world.run(20_000);
    const lines = scenario.getBeliefs('waiting', 'unseenRuns');
    expect(lines[0]?.epoch).toBe(2);
    expect(lines[0]?.fields.targetIds).toEqual([...world.targets.keys()]);
    scenario.expectBounded(lines);
    scenario.expectCovered(nowMs, world.time.nowMs);
    expect(scenario.getBeliefs('waiting', 'capacity')).not.toEqual([]);
  });

  test('at most ten of many such targets by name, with their number', () => {
    const scenario = new Scenario(15);
    const { world } = scenario;
    scenario.submit(LASTING);
    world.run(2_000);
    world.targets.forEach(({ id }) => world.partition(id, 60_000));
    world.takeOver();
    world.run(4_000);
    const [line] = scenario.getBeliefs('waiting', 'unseenRuns');
    expect(line?.fields.targetIds).toHaveLength(10);
    expect(line?.fields.targetCount).toBe(15);
  });
});

describe('a run that counts as running on a silent target', () => {
  function playSilence() {
    const scenario = new Scenario();
    const { world } = scenario;
    scenario.submit(LASTING);
    world.run(3_000);
    const cutAtMs = world.time.nowMs;
    const holderId = scenario.cutHolder(60_000);
    world.run(20_000);
    return { scenario, cutAtMs, holderId };
  }

  test('is logged with its target, its number and a bound that holds', () => {
    const { scenario, holderId } = playSilence();
    const lines = scenario.getBeliefs('silentRun', 'running');
    expect(lines).not.toEqual([]);
    lines.forEach(({ fields }) => {
      expect(fields).toMatchObject({ tasks: '0', targetIds: [holderId] });
      expect(fields.runs).toEqual([{ index: 0, run: expect.any(Number), targetId: holderId }]);
      expect(fields.silentMs).toBeLessThanOrEqual(Number(fields.sinceMs));
    });
    scenario.expectBounded(lines);
    const endsAtMs = lines.map(({ atMs, fields }) => atMs + Number(fields.endsWithinMs));
    const restarted = scenario.lines.filter(
      ({ message, fields, atMs }) =>
        message === 'run started' && fields.targetId !== holderId && atMs > (lines[0]?.atMs ?? 0),
    );
    expect(restarted[0]?.atMs).toBeLessThanOrEqual(Math.min(...endsAtMs) + REACTION_MS);
    expect(scenario.metrics).toContain('task_wait_silentRun');
  });

  test('is covered from the first second until it runs again, which a line closes', () => {
    const { scenario, cutAtMs } = playSilence();
    const [end, ...others] = scenario.getLines(END_MESSAGE);
    expect(others).toEqual([]);
    expect(end?.fields).toMatchObject({ tasks: '0', lastBelief: expect.any(String) });
    const endAtMs = end?.atMs ?? 0;
    // The silence is noticed by the poll that is pending when it begins.
    scenario.expectCovered(cutAtMs + 1_000, endAtMs);
    const withoutRunMs = Number(end?.fields.withoutRunMs);
    expect(withoutRunMs).toBeGreaterThan(4_000);
    expect(withoutRunMs).toBeLessThanOrEqual(endAtMs - cutAtMs);
    const after = scenario.getLines(BELIEF_MESSAGE).filter(({ atMs }) => atMs > endAtMs);
    expect(after).toEqual([]);
  });

  test('is logged by the next owner too, in its epoch', () => {
    const scenario = new Scenario();
    const { world } = scenario;
    scenario.submit(LASTING);
    world.run(3_000);
    const holderId = scenario.cutHolder(60_000);
    world.run(3_500);
    world.takeOver();
    const takenAtMs = world.time.nowMs;
    world.run(20_000);
    const lines = scenario.getLines(BELIEF_MESSAGE);
    expect(lines.some(({ epoch }) => epoch === 1)).toBe(true);
    const later = lines.filter(({ epoch }) => epoch === 2);
    expect(later[0]?.fields.targetIds).toEqual([holderId]);
    expect(later[0]?.fields.endsWithinMs).toEqual(expect.any(Number));
    // Its silence counts from before the takeover.
    const silentSinceMs = (later[0]?.atMs ?? 0) - Number(later[0]?.fields.silentMs);
    expect(silentSinceMs).toBeLessThan(takenAtMs - 1_500);
    const [end] = scenario.getLines(END_MESSAGE);
    expect(end?.epoch).toBe(2);
    scenario.expectCovered(takenAtMs, end?.atMs ?? 0);
  });

  test('ends once the target answers again; the lines name all tasks of the step', () => {
    const scenario = new Scenario(1);
    const { world } = scenario;
    scenario.submit({ ...LASTING, taskCount: 3 });
    world.run(3_000);
    scenario.cutHolder(3_500);
    world.run(5_000);
    const [line] = scenario.getLines(BELIEF_MESSAGE, 2);
    expect(line?.fields).toMatchObject({ tasks: '0-2', belief: 'silentRun' });
    const [end] = scenario.getLines(END_MESSAGE, 2);
    expect(end?.fields).toMatchObject({ tasks: '0-2', lastBelief: 'silentRun' });
  });
});

test('a start in doubt is logged with its target and a bound that holds', () => {
  const scenario = new Scenario();
  const cutIds = scenario.cutNextStart(60_000);
  scenario.submit(LASTING);
  const { nowMs } = scenario.world.time;
  scenario.world.run(40_000);
  const lines = scenario.getBeliefs('inDoubt', 'unconfirmed');
  expect(lines.length).toBeGreaterThan(2);
  lines.forEach(({ fields }) => expect(fields.targetIds).toEqual(cutIds));
  scenario.expectBounded(lines);
  const [end] = scenario.getLines(END_MESSAGE);
  expect(end?.fields.lastBelief).toBe('inDoubt');
  scenario.expectCovered(nowMs, end?.atMs ?? 0);
});

/** When a history's targets fall silent, and when owners take over. */
const HISTORY_MS = 60_000;
const SAMPLE_MS = 100;

/** The silence of a target is noticed by then: a poll that waits, and its time-out. */
const NOTICED_MS = 1_000;

/** Samples which tasks have a run on a target that is reachable, while targets are cut off and owners change. */
function playHistory(seed: number) {
  const TASK_COUNT = 12;
  const scenario = new Scenario(8);
  const { world } = scenario;
  const random = new Random(seed);
  const cutUntilMs = new Map<TargetId, number>();
  const takeoversMs: number[] = [];
  const withoutRunMs = new Map<number, number[]>();
  scenario.submit({ ...LASTING, taskCount: TASK_COUNT, maxTasksPerTarget: 2 });
  world.run(2_000);
  const endMs = world.time.nowMs + HISTORY_MS;
  while (world.time.nowMs < endMs) {
    if (random.nextFraction() < 0.03) {
      const id = `target-${random.nextInt(8)}` as TargetId;
      const durationMs = 1_000 + random.nextInt(14_000);
      if ((cutUntilMs.get(id) ?? 0) < world.time.nowMs) {
        cutUntilMs.set(id, world.time.nowMs + durationMs);
        world.partition(id, durationMs);
      }
    }
    if (random.nextFraction() < 0.008) {
      takeoversMs.push(world.time.nowMs);
      world.takeOver();
    }
    world.run(SAMPLE_MS);
    const running = new Set<string>(
      [...world.targets.values()]
        .filter(({ id }) => (cutUntilMs.get(id) ?? 0) < world.time.nowMs)
        .flatMap(({ runs }) => [...runs.keys()]),
    );
    for (let index = 0; index < TASK_COUNT; index += 1) {
      if (running.has(`${toSubmissionId(1)}.0.0.${index}`)) continue;
      withoutRunMs.set(index, [...(withoutRunMs.get(index) ?? []), world.time.nowMs]);
    }
  }
  return { scenario, takeoversMs, withoutRunMs };
}

describe('each second of a lasting task without a reachable run is covered by a line', () => {
  test.each([1, 2, 3, 4, 5, 6])('in a history of silences and takeovers, seed %i', (seed) => {
    const { scenario, takeoversMs, withoutRunMs } = playHistory(seed);
    expect(scenario.world.broken).toEqual([]);
    let checkedCount = 0;
    withoutRunMs.forEach((timesMs, index) => {
      const linesMs = scenario.getLines(BELIEF_MESSAGE, index).map(({ atMs }) => atMs);
      timesMs.forEach((atMs) => {
        // Only times count that are well inside a wait, and in which its owner has had the time to notice it.
        const fromMs = atMs - FIRST_LINE_MS - NOTICED_MS;
        const isLong = timesMs.filter((other) => other > fromMs && other <= atMs).length >= 31;
        const isNewOwner = takeoversMs.some((takenMs) => takenMs > fromMs && takenMs <= atMs);
        if (!isLong || isNewOwner) return;
        checkedCount += 1;
        const isCovered = linesMs.some(
          (lineMs) => lineMs <= atMs && lineMs > atMs - MAX_LINE_GAP_MS,
        );
        expect({ index, atMs, isCovered }).toEqual({ index, atMs, isCovered: true });
      });
    });
    expect(checkedCount).toBeGreaterThan(100);
  });
});

describe('no line is written', () => {
  test('for a task that starts at once', () => {
    const scenario = new Scenario();
    scenario.submit(LASTING);
    scenario.world.run(10_000);
    expect(scenario.getLines(BELIEF_MESSAGE)).toEqual([]);
    expect(scenario.getLines(END_MESSAGE)).toEqual([]);
  });

  test('for a submission that has been cancelled', () => {
    const scenario = new Scenario();
    scenario.submit({ ...LASTING, demand: LARGER_THAN_ANY_TARGET });
    scenario.world.run(4_000);
    scenario.world.cancel(toSubmissionId(1));
    const { nowMs } = scenario.world.time;
    scenario.world.run(10_000);
    expect(scenario.getLines(BELIEF_MESSAGE).filter(({ atMs }) => atMs > nowMs)).toEqual([]);
    expect(scenario.getLines(END_MESSAGE)).toEqual([]);
  });
});

test('a bounded number of lines is written in a second, about lasting tasks first, and the rest is counted', () => {
  const scenario = new Scenario();
  const { world } = scenario;
  const create = (number: number, step: Partial<StepSpec>): Submission =>
    createSubmission(number, [{ ...step, demand: LARGER_THAN_ANY_TARGET }]);
  for (let number = 1; number <= 30; number += 1) world.submit(create(number, {}));
  world.run(500);
  for (let number = 31; number <= 45; number += 1) world.submit(create(number, LASTING));
  const { nowMs } = world.time;
  world.run(10_000);
  const countBySecond = new Map<number, number>();
  scenario.lines
    .filter(({ message }) => message === BELIEF_MESSAGE)
    .forEach(({ atMs }) => countBySecond.set(atMs, (countBySecond.get(atMs) ?? 0) + 1));
  expect(Math.max(...countBySecond.values())).toBe(MAX_LINES);
  for (let number = 31; number <= 45; number += 1)
    scenario.expectCovered(nowMs, world.time.nowMs, 0, toSubmissionId(number));
  const leftOut = scenario.lines.filter(({ message }) => message === LEFT_OUT_MESSAGE);
  expect(leftOut[0]?.fields.stepCount).toEqual(expect.any(Number));
  expect(scenario.counts.get('task_belief_steps_left_out')).toBe(
    leftOut.reduce((sum, { fields }) => sum + Number(fields.stepCount), 0),
  );
  // Nobody is left out for good: the others come while the first ones are not due.
  for (let number = 1; number <= 30; number += 1)
    expect(scenario.getLines(BELIEF_MESSAGE, 0, toSubmissionId(number))).not.toEqual([]);
});

describe('what is believed of a task', () => {
  function createParts() {
    const record = { isComplete: false, targets: [], malformed: [] };
    const state = new OwnerState(toEpoch(1), 10_000, record);
    state.setClocks({ nowMs: 5_000, wallMs: 5_000, steadyMs: 5_000 });
    const target = createTarget(1);
    target.isContacted = true;
    state.addTarget(target);
    const step = createStep({ taskCount: 2 });
    state.ready.add(step);
    return { state, step, target };
  }

  test.each<[string, Partial<Run>, boolean, string | undefined]>([
    ['running', {}, true, undefined],
    ['running, target silent', {}, false, 'silentRun'],
    ['stopping', { phase: 'stopping' }, true, 'stopping'],
    ['stopping, target silent', { phase: 'stopping' }, false, 'silentRun'],
    ['starting', { phase: 'starting', isListed: false }, true, 'starting'],
    ['starting, target silent', { phase: 'starting', isListed: false }, false, 'starting'],
    ['starting, but listed', { phase: 'starting' }, true, undefined],
    ['unconfirmed', { phase: 'unconfirmed', isListed: false }, true, 'inDoubt'],
    ['unconfirmed, target silent', { phase: 'unconfirmed', isListed: false }, false, 'inDoubt'],
    [
      'stopping without having been confirmed',
      { phase: 'stopping', isListed: false, doubtSinceMs: 1 },
      false,
      'inDoubt',
    ],
  ])('with a run that is %s', (_name, overrides, isResponding, kind) => {
    const { state, step, target } = createParts();
    target.isResponding = isResponding;
    addRun(step, 0, target, overrides);
    expect(getTaskBelief(state, step, 0)?.kind).toBe(kind);
  });

  test('with a confirmed copy besides one on a silent target', () => {
    const { state, step, target } = createParts();
    target.isResponding = false;
    const other = createTarget(2);
    other.isContacted = true;
    state.addTarget(other);
    addRun(step, 0, target);
    addRun(step, 0, other);
    expect(getTaskBelief(state, step, 0)).toBeUndefined();
  });

  test('that is suspected of having crashed a target', () => {
    const { state, step } = createParts();
    step.progress.setCrash(1, { incarnation: '10.0.0.9:80@1', recordedAtMs: 1 });
    expect(getTaskBelief(state, step, 0)).toEqual({ kind: 'waiting', reason: 'capacity' });
    expect(getTaskBelief(state, step, 1)).toEqual({ kind: 'waiting', reason: 'trial' });
  });

  test('whose step could not be planned', () => {
    const { state, step } = createParts();
    state.ready.delete(step);
    expect(getTaskBelief(state, step, 0)).toBeUndefined();
    state.setAsideUntilMs.set(step, 9_000);
    expect(getTaskBelief(state, step, 0)).toEqual({ kind: 'setAside', untilMs: 9_000 });
  });

  test('the silence of its target counts from the loss of contact', () => {
    const { state, target } = createParts();
    expect(getSilentForMs(state, target)).toBeUndefined();
    target.lostAtMs = 2_000;
    expect(getSilentForMs(state, target)).toBe(3_000);
  });
});

describe('a wait', () => {
  test('starts anew after a run that was confirmed and ended between two checks', () => {
    const parts = new MonitorParts({ ...LASTING, taskCount: 2 });
    [1_000, 2_000, 3_000].forEach((nowMs) => parts.checkAt(nowMs));
    const run = addRun(parts.step, 0, parts.target, { confirmedAtMs: 3_200, fence: toEpoch(1) });
    parts.target.removeRun(run.key);
    parts.step.removeRun(run, 3_700);
    [4_000, 5_000].forEach((nowMs) => parts.checkAt(nowMs));
    expect(parts.getFields(END_MESSAGE)).toEqual([
      expect.objectContaining({ tasks: '0', withoutRunMs: 3_200, lastBelief: 'waiting' }),
    ]);
    expect(parts.getFields(BELIEF_MESSAGE)).toEqual([
      expect.objectContaining({ tasks: '0-1', sinceMs: 1_000 }),
      expect.objectContaining({ tasks: '0-1', sinceMs: 5_000, shortestMs: 1_300 }),
    ]);
  });

  test('goes on over a start that has not been confirmed', () => {
    const parts = new MonitorParts({ ...LASTING, taskCount: 2 });
    [1_000, 2_000].forEach((nowMs) => parts.checkAt(nowMs));
    const run = addRun(parts.step, 0, parts.target, {
      ...{ phase: 'starting', isListed: false, confirmedAtMs: undefined },
      ...{ fence: toEpoch(1), sentAtMs: 2_500 },
    });
    parts.checkAt(3_000);
    parts.target.removeRun(run.key);
    parts.step.removeRun(run, 3_500);
    parts.checkAt(4_000);
    expect(parts.getFields(END_MESSAGE)).toEqual([]);
    expect(parts.getFields(BELIEF_MESSAGE)).toEqual([
      expect.objectContaining({ tasks: '0-1', belief: 'waiting' }),
      expect.objectContaining({
        ...{ tasks: '0', belief: 'starting', sinceMs: 3_000, beliefForMs: 500, endsWithinMs: 200 },
        runs: [{ index: 0, run: run.run, targetId: parts.target.id }],
      }),
      expect.objectContaining({ tasks: '0-1', belief: 'waiting', sinceMs: 4_000 }),
    ]);
  });

  test('for a step that could not be planned is logged and measured', () => {
    const parts = new MonitorParts({ ...LASTING, taskCount: 2 });
    parts.state.ready.delete(parts.step);
    parts.state.setAsideUntilMs.set(parts.step, 6_000);
    [1_000, 2_000].forEach((nowMs) => parts.checkAt(nowMs));
    expect(parts.getFields(BELIEF_MESSAGE)).toEqual([
      expect.objectContaining({ tasks: '0-1', belief: 'setAside', endsWithinMs: 5_000 }),
    ]);
    expect(parts.metrics).toContain('task_wait_setAside');
  });

  test('for a run that is being stopped is logged and measured', () => {
    const parts = new MonitorParts({ ...LASTING, taskCount: 2 });
    addRun(parts.step, 0, parts.target, { phase: 'stopping', stopSentAtMs: 500 });
    parts.step.readyAtMs = 2_000;
    [1_000, 2_000].forEach((nowMs) => parts.checkAt(nowMs));
    const [line, ...others] = parts.getFields(BELIEF_MESSAGE);
    expect(others).toEqual([]);
    expect(line).toMatchObject({ tasks: '0', belief: 'stopping', sinceMs: 1_500 });
    expect(line).not.toHaveProperty('endsWithinMs');
    expect(parts.metrics).toContain('task_wait_stopping');
  });
});
