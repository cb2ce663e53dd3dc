/** Tests of what suffices to give a task up, and of the reports about a lost target. */

import * as fc from 'fast-check';
import { isGivenUp } from '../src/owner/crashEvidence';
import type { TargetId } from '../src/types/ids';
import type { CrashReport } from '../src/work/stepProgress';
import { createSubmission, NO_FAULTS, OwnerWorld, toSubmissionId } from './support/ownerWorld';

let incarnation = 0;

function createReport(report: Partial<CrashReport>): CrashReport {
  incarnation += 1;
  return {
    incarnation: `10.0.0.1:80@${incarnation}`,
    recordedAtMs: 0,
    ...{ isConfirmed: true, suspectCount: 1, ageMs: 11 },
    ...report,
  };
}

describe('a task is given up', () => {
  test('after two crashes of the same delay, one of them alone', () => {
    expect(isGivenUp([createReport({ suspectCount: 4 }), createReport({ ageMs: 25 })])).toBe(true);
  });

  test.each<[string, readonly Partial<CrashReport>[]]>([
    ['one crash', [{}]],
    ['crashes of different delays', [{ ageMs: 11 }, { ageMs: 90 }]],
    ['crashes in which others had been started too', [{ suspectCount: 2 }, { suspectCount: 3 }]],
    ['a crash while other targets were lost', [{ isDoubtful: true }, {}]],
    ['a loss that may be silence', [{}, { isConfirmed: false }]],
    ['crashes after later starts of others', [{}, { isUnlikely: true }, { isUnlikely: true }]],
    [
      'crashes of different delays among others, seed 268 of the storms',
      [
        { ageMs: 308, isDoubtful: true },
        { ageMs: 138, suspectCount: undefined, isDoubtful: true },
        { ageMs: 440, isDoubtful: true },
      ],
    ],
    [
      'four crashes of which none is like another, seed 257 of the storms',
      [
        { ageMs: 156, suspectCount: 2 },
        { ageMs: 19, suspectCount: undefined },
        { ageMs: undefined, suspectCount: undefined },
        { ageMs: 68, isDoubtful: true },
      ],
    ],
    ['crashes of which no owner saw how', [{ suspectCount: undefined, ageMs: undefined }, {}]],
  ])('but not after %s', (_name, reports) => {
    expect(isGivenUp(reports.map(createReport))).toBe(false);
  });

  test('after five confirmed crashes in any case, and never by reports that are not confirmed', () => {
    const anyReport = fc.record({
      suspectCount: fc.option(fc.integer({ min: 1, max: 5 }), { nil: undefined }),
      ageMs: fc.option(fc.integer({ min: 0, max: 200 }), { nil: undefined }),
      isDoubtful: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(anyReport, { minLength: 5, maxLength: 7 }), (reports) => {
        expect(isGivenUp(reports.map(createReport))).toBe(true);
        const pending = reports.map((report) => createReport({ ...report, isConfirmed: false }));
        expect(isGivenUp(pending)).toBe(false);
      }),
    );
  });
});

test('a suspected task is not started while the store cannot record it', () => {
  const world = new OwnerWorld({ seed: 1, targetCount: 4, faults: NO_FAULTS });
  world.takeOver();
  const submission = createSubmission(1, [{ estimateMs: 20_000 }]);
  world.submit(submission);
  world.run(30);
  const [holder] = [...world.targets.values()].filter(({ runs }) => runs.size > 0);
  if (holder === undefined) throw new Error('nothing runs');
  world.crashProcess(holder.id, 1_000);
  world.run(500);
  const { startCount } = world;
  world.isStoreAvailable = false;
  world.run(5_000);
  expect(world.startCount).toBe(startCount);
  world.isStoreAvailable = true;
  world.run(2_000);
  expect(world.startCount).toBe(startCount + 1);
});

test('reports about a lost target are void once it answers, and a later owner does not go by them', () => {
  const world = new OwnerWorld({ seed: 1, targetCount: 2, faults: NO_FAULTS });
  world.takeOver();
  world.submit(createSubmission(1, [{ taskCount: 8, estimateMs: 4_000 }]));
  world.run(300);
  const targetId = 'target-0' as TargetId;
  world.partition(targetId, 1_500);
  world.run(2_500);
  expect(world.core.dump()).toMatchObject({ suspectedTasks: [] });
  world.takeOver(true);
  world.run(20_000);
  expect(world.getState(toSubmissionId(1))).toBe('succeeded');
  expect(world.broken).toEqual([]);
});

test('a trial starts only after the store has its report', () => {
  const world = new OwnerWorld({ seed: 1, targetCount: 4, faults: NO_FAULTS });
  const writes: { readonly atMs: number; readonly text: string }[] = [];
  const starts: {
    readonly atMs: number;
    readonly taskKey: string;
    readonly incarnation: string;
  }[] = [];
  world.onEffect = (_epoch, effect) => {
    const { nowMs: atMs } = world.time;
    if (effect.kind === 'writeProgress') writes.push({ atMs, text: JSON.stringify(effect.rows) });
    if (effect.kind !== 'startRun') return;
    const born = world.targets.get(effect.targetId)?.entry.incarnationStartMs;
    const { taskKey, address } = effect;
    starts.push({ atMs, taskKey, incarnation: `${address}@${born}` });
  };
  world.takeOver();
  world.submit(createSubmission(1, [{ estimateMs: 20_000 }]));
  world.run(30);
  const [holder] = [...world.targets.values()].filter(({ runs }) => runs.size > 0);
  world.crashProcess(holder?.id as TargetId, 1_000);
  // Answers of targets about other work cause a planning pass every few milliseconds.
  for (let number = 2; number <= 150; number += 1) {
    world.submit(createSubmission(number, [{ estimateMs: 15 }]));
    world.run(10);
  }
  world.run(2_000);
  const [, trial] = starts.filter(({ taskKey }) => taskKey.startsWith(toSubmissionId(1)));
  const report = writes.find(({ text }) => text.includes(trial?.incarnation ?? 'no trial'));
  expect(trial?.atMs).toBeGreaterThanOrEqual((report?.atMs ?? Number.POSITIVE_INFINITY) + 4);
});

test('a target that was lost gets no starts until the store no longer tells that it holds only its former runs', () => {
  const world = new OwnerWorld({ seed: 1, targetCount: 2, faults: NO_FAULTS });
  const targetId = 'target-0' as TargetId;
  let startCount = 0;
  world.onEffect = (_epoch, effect) => {
    if (effect.kind === 'startRun' && effect.targetId === targetId) startCount += 1;
  };
  world.takeOver();
  world.submit(createSubmission(1, [{ taskCount: 40, estimateMs: 600 }]));
  world.run(300);
  world.partition(targetId, 1_500);
  world.run(1_200);
  const { length: reported } = (world.core.dump() as { suspectedTasks: unknown[] }).suspectedTasks;
  expect(reported).toBeGreaterThan(0);
  world.isStoreAvailable = false;
  startCount = 0;
  world.run(2_500);
  expect(startCount).toBe(0);
  world.isStoreAvailable = true;
  world.run(1_500);
  expect(startCount).toBeGreaterThan(0);
  expect(world.broken).toEqual([]);
});
