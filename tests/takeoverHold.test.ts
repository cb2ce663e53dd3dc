/**
 * Guards against a takeover that holds up tasks for targets that cannot run them, and against a record of used targets
 * that an owner relies on although it is not durable.
 */

import type { OwnerEffect } from '../src/owner/types';
import type { SubmissionId, TargetId } from '../src/types/ids';
import { createRecord } from './support/ownerSubmissions';
import { createSubmission, NO_FAULTS, OwnerWorld, toSubmissionId } from './support/ownerWorld';

type StartEffect = Extract<OwnerEffect, { kind: 'startRun' }>;

/** A start, when it was sent and whether its target was recorded then. */
interface SentStart {
  readonly atMs: number;
  readonly epoch: number;
  readonly effect: StartEffect;
  readonly isRecorded: boolean;
}

/** A target that an address which leads nowhere stands for. */
const NOWHERE = 'nowhere-1';

/** Time within which the first tasks start after a takeover. */
const START_LIMIT_MS = 1_000;

/** By then the leases of former owners have ended. */
const BOUND_MS = 8_000;

const CHECK_INTERVAL_MS = 20;

const LONG = { estimateMs: 60_000 };

/** Only an enlarged target has room for it. */
const LARGE = { cpuMillis: 20_000, memoryMb: 4_096, accelerators: 0 };

class Scenario {
  readonly world = new OwnerWorld({ seed: 1, targetCount: 4, faults: NO_FAULTS });

  readonly starts: SentStart[] = [];

  #removalCount = 0;

  constructor() {
    const { world } = this;
    world.onEffect = (epoch, effect) => {
      if (effect.kind === 'recordTargets') this.#removalCount += effect.removals.length;
      if (effect.kind !== 'startRun') return;
      const isRecorded = world.recordStore.rows.has(effect.targetId);
      this.starts.push({ atMs: world.time.nowMs, epoch, effect, isRecorded });
    };
  }

  /** The first owner has recorded the fleet. */
  static createAged(): Scenario {
    const scenario = new Scenario();
    scenario.world.takeOver();
    scenario.world.run(1_000);
    return scenario;
  }

  /** Lets time pass, during which each target that holds runs has to be recorded. */
  runChecked(durationMs: number): void {
    const { world } = this;
    const untilMs = world.time.nowMs + durationMs;
    while (world.time.nowMs < untilMs) {
      world.run(Math.min(CHECK_INTERVAL_MS, untilMs - world.time.nowMs));
      world.targets.forEach(({ id, runs }) => {
        if (runs.size > 0 && !world.recordStore.rows.has(id))
          world.reportViolation('TWICE', `${id} holds runs and is not recorded`);
      });
    }
  }

  /** Lets time pass until a row is being removed. */
  runUntilRemoval(): void {
    const untilMs = this.world.time.nowMs + BOUND_MS;
    while (this.#removalCount === 0) {
      if (this.world.time.nowMs >= untilMs) throw new Error('no row is removed');
      this.world.run(CHECK_INTERVAL_MS);
    }
  }

  getStarts(number: number): readonly SentStart[] {
    const isOf = (id: SubmissionId) => (start: SentStart) => start.effect.taskKey.startsWith(id);
    return this.starts.filter(isOf(toSubmissionId(number)));
  }

  getHolder(): TargetId {
    const holder = [...this.world.targets.values()].find(({ runs }) => runs.size > 0);
    if (holder === undefined) throw new Error('nothing runs');
    return holder.id;
  }

  /** A row that the owner has not written, such as one whose write it takes for lost. */
  addForeignRow(targetId: TargetId): void {
    const entry = this.world.targets.get(targetId)?.entry;
    const [row] = createRecord(entry === undefined ? [] : [entry]).targets;
    if (row !== undefined) this.world.recordStore.rows.set(targetId, row);
  }

  expectSafe(): void {
    expect(this.world.broken).toEqual([]);
    expect(this.starts.filter(({ isRecorded }) => !isRecorded)).toEqual([]);
  }
}

describe('a takeover holds nothing up for', () => {
  // No former owner has started anything on a target that has never answered.
  test.each([0, 3_000])('a registered target that leads nowhere, %i ms old', (ageMs) => {
    const scenario = Scenario.createAged();
    const { world } = scenario;
    world.addTarget(NOWHERE, { isReachable: false });
    world.run(ageMs);
    world.submit(createSubmission(1, [{ estimateMs: 200 }, { after: [0] }]));
    world.run(50);
    const takenOverAtMs = world.time.nowMs;
    world.takeOver();
    world.submit(createSubmission(2, [{}]));
    world.run(START_LIMIT_MS);
    const [first] = scenario.getStarts(2);
    expect(first?.atMs).toBeLessThan(takenOverAtMs + START_LIMIT_MS);
    expect(scenario.getStarts(1).map(({ epoch }) => epoch)).toEqual([1, 2]);
    scenario.expectSafe();
  });

  // Nothing that needs this service can run there.
  test('a silent target of another service', () => {
    const scenario = Scenario.createAged();
    const { world } = scenario;
    const other = world.addTarget('other-1', { serviceName: 'other' });
    world.run(1_000);
    expect(world.recordStore.rows.has(other.id)).toBe(true);
    world.submit(createSubmission(1, [{ estimateMs: 200 }, { after: [0] }]));
    world.run(50);
    world.partition(other.id, 60_000);
    world.takeOver();
    world.submit(createSubmission(2, [{}]));
    world.run(START_LIMIT_MS);
    expect(scenario.getStarts(2)).toHaveLength(1);
    expect(scenario.getStarts(1).map(({ epoch }) => epoch)).toEqual([1, 2]);
    scenario.expectSafe();
  });

  // It holds nothing with the label that the task needs.
  test('a silent target without the label that a task needs', () => {
    const scenario = Scenario.createAged();
    const { world } = scenario;
    world.partition('target-3' as TargetId, 60_000);
    world.takeOver();
    world.submit(createSubmission(1, [{ requiredLabel: 'r-1' }]));
    world.submit(createSubmission(2, [{ requiredLabel: 'r-3' }]));
    world.submit(createSubmission(3, [{}]));
    world.run(START_LIMIT_MS);
    expect([1, 2, 3].map((number) => scenario.getStarts(number).length)).toEqual([1, 0, 0]);
    scenario.expectSafe();
  });

  // The former owner has seen that it was silent with nothing to report.
  test('a target that had been silent without runs, or had left, for some time', () => {
    const scenario = Scenario.createAged();
    const { world } = scenario;
    const left = world.addTarget('left-1');
    world.run(10_000);
    world.submit(createSubmission(1, [LONG]));
    world.run(100);
    world.partition(scenario.getHolder(), 60_000);
    world.targets.delete(left.id);
    world.removeEntry(left.id);
    world.run(12_000);
    world.takeOver();
    world.submit(createSubmission(2, [{}]));
    world.run(START_LIMIT_MS);
    expect(scenario.getStarts(2)).toHaveLength(1);
    scenario.expectSafe();
  });

  // The former owner has reported all its runs, so that only these wait.
  test('a lost target whose registration has lapsed', () => {
    const scenario = Scenario.createAged();
    const { world } = scenario;
    world.submit(createSubmission(1, [LONG]));
    world.run(100);
    const holder = world.targets.get(scenario.getHolder());
    if (holder === undefined) throw new Error('no target');
    world.partition(holder.id, 60_000);
    world.run(1_500);
    world.targets.delete(holder.id);
    world.takeOver();
    world.targets.set(holder.id, holder);
    world.submit(createSubmission(2, [{}]));
    world.run(START_LIMIT_MS);
    expect([1, 2].map((number) => scenario.getStarts(number).length)).toEqual([1, 1]);
    scenario.expectSafe();
  });

  // The version of the row and the end of the former owners' authority become known in either order.
  test.each(['row', 'end'])(
    'a submission stored after the former owners, when the %s is known first',
    (first) => {
      const scenario = Scenario.createAged();
      const { world } = scenario;
      world.submit(createSubmission(1, [LONG]));
      world.run(100);
      world.partition(scenario.getHolder(), 60_000);
      world.takeOver();
      world.run(2_200);
      if (first === 'end') world.endFormerOwners(100);
      world.submit(createSubmission(2, [{}]), 120);
      if (first === 'row') world.endFormerOwners(100);
      world.run(100);
      expect([1, 2].map((number) => scenario.getStarts(number).length)).toEqual([1, 1]);
      scenario.expectSafe();
    },
  );
});

describe('a takeover waits for', () => {
  test('a silent target that may run a waiting task, until its lease has ended', () => {
    const scenario = Scenario.createAged();
    const { world } = scenario;
    world.submit(createSubmission(1, [LONG]));
    world.run(100);
    world.partition(scenario.getHolder(), 60_000);
    world.takeOver();
    world.run(5_000);
    expect(scenario.getStarts(1)).toHaveLength(1);
    world.run(BOUND_MS - 5_000);
    expect(scenario.getStarts(1)).toHaveLength(2);
    scenario.expectSafe();
  });

  // The reports name the runs of the former incarnation, which say nothing about those of the next one.
  test('a target that has restarted since its runs were reported', () => {
    const scenario = Scenario.createAged();
    const { world } = scenario;
    world.submit(createSubmission(1, [{ estimateMs: 400 }]));
    world.run(100);
    const holder = world.targets.get(scenario.getHolder());
    if (holder === undefined) throw new Error('no target');
    world.crashProcess(holder.id, 600);
    world.run(700);
    world.submit(createSubmission(2, [{ ...LONG, taskCount: 15 }]));
    world.run(500);
    expect(holder.runs.size).toBeGreaterThan(0);
    const recorded = world.recordStore.rows.get(holder.id)?.target;
    expect(recorded?.incarnationStartMs).toBe(holder.entry.incarnationStartMs);
    world.partition(holder.id, 60_000);
    world.targets.delete(holder.id);
    world.takeOver();
    world.targets.set(holder.id, holder);
    world.run(4_000);
    scenario.expectSafe();
  });

  // An owner of the version before has recorded nothing.
  test('every registered target after an owner that kept no record, and for fewer one takeover later', () => {
    const scenario = Scenario.createAged();
    const { world } = scenario;
    const late = world.addTarget('late-1');
    world.setCapacity(late.id, { ...late.capacity, cpuMillis: 64_000 });
    world.run(500);
    world.submit(createSubmission(1, [{ ...LONG, demand: LARGE }]));
    world.run(100);
    expect(scenario.getHolder()).toBe(late.id);
    world.recordStore.rows.delete(late.id);
    world.recordStore.forgetDeclaration();
    world.partition(late.id, 3_000);
    world.takeOver();
    world.submit(createSubmission(2, [{}]));
    world.run(2_000);
    expect(scenario.getStarts(2)).toEqual([]);
    world.run(BOUND_MS);
    expect(scenario.getStarts(2)).toHaveLength(1);
    world.addTarget(NOWHERE, { isReachable: false });
    world.takeOver();
    world.submit(createSubmission(3, [{}]));
    world.run(START_LIMIT_MS);
    expect(scenario.getStarts(3)).toHaveLength(1);
    scenario.expectSafe();
  });

  // It may name any target; the next takeover finds it replaced or removed.
  test.each(['target-0', 'gone-1'])(
    'every registered target after a malformed row of %s, once',
    (name) => {
      const scenario = Scenario.createAged();
      const { world } = scenario;
      world.addTarget('gone-1');
      world.run(500);
      world.targets.delete('gone-1' as TargetId);
      world.recordStore.malformedIds.add(name as TargetId);
      world.addTarget(NOWHERE, { isReachable: false });
      world.takeOver();
      world.submit(createSubmission(1, [{}]));
      world.run(START_LIMIT_MS);
      expect(scenario.getStarts(1)).toEqual([]);
      world.run(BOUND_MS + 3_000);
      world.takeOver();
      world.submit(createSubmission(2, [{}]));
      world.run(START_LIMIT_MS);
      expect(scenario.getStarts(2)).toHaveLength(1);
      scenario.expectSafe();
    },
  );

  // It cannot tell what the target of which it does not know holds.
  test('every registered target after an owner without a record and one that was replaced soon', () => {
    const scenario = Scenario.createAged();
    const { world } = scenario;
    world.submit(createSubmission(1, [LONG]));
    world.run(100);
    const holder = scenario.getHolder();
    world.recordStore.rows.delete(holder);
    world.recordStore.forgetDeclaration();
    world.partition(holder, 60_000);
    world.takeOver();
    world.run(1_000);
    world.takeOver();
    world.run(2_500);
    expect(scenario.getStarts(1)).toHaveLength(1);
    world.run(BOUND_MS);
    expect(scenario.getStarts(1)).toHaveLength(2);
    scenario.expectSafe();
  });

  // Epochs in between may be those of owners that kept no record.
  test('every registered target when the record was declared complete before the last owner', () => {
    const scenario = Scenario.createAged();
    const { world } = scenario;
    world.isStoreAvailable = false;
    world.takeOver();
    world.run(1_000);
    world.isStoreAvailable = true;
    world.addTarget(NOWHERE, { isReachable: false });
    world.takeOver();
    world.submit(createSubmission(1, [{}]));
    world.run(START_LIMIT_MS);
    expect(scenario.getStarts(1)).toEqual([]);
    world.run(BOUND_MS);
    expect(scenario.getStarts(1)).toHaveLength(1);
    scenario.expectSafe();
  });
});

describe('nothing is started on a target whose record is not durable', () => {
  test('while the store is away; others go on', () => {
    const scenario = Scenario.createAged();
    const { world } = scenario;
    world.isStoreAvailable = false;
    world.addTarget('late-1');
    world.run(500);
    world.submit(createSubmission(1, [{ taskCount: 40, estimateMs: 500 }]));
    world.run(3_000);
    const ids = new Set(scenario.starts.map(({ effect }) => effect.targetId));
    expect([...ids].sort()).toEqual(['target-0', 'target-1', 'target-2', 'target-3']);
    world.isStoreAvailable = true;
    world.submit(createSubmission(2, [{ taskCount: 40, estimateMs: 500 }]));
    world.run(3_000);
    expect(scenario.starts.some(({ effect }) => effect.targetId === 'late-1')).toBe(true);
    scenario.expectSafe();
  });

  test.each(['lost answers', 'late transactions', 'a row that was not known'])(
    'with %s',
    (fault) => {
      const scenario = new Scenario();
      const { world } = scenario;
      const { recordStore } = world;
      recordStore.areAnswersLost = fault === 'lost answers';
      recordStore.extraDelayMs = fault === 'late transactions' ? 600 : 0;
      world.takeOver();
      if (fault === 'a row that was not known') scenario.addForeignRow('target-0' as TargetId);
      world.submit(createSubmission(1, [{ taskCount: 16 }]));
      world.run(500);
      recordStore.areAnswersLost = false;
      world.run(2_000);
      expect(scenario.getStarts(1)).toHaveLength(16);
      scenario.expectSafe();
    },
  );

  // The row is removed late, or its removal is not confirmed, while the target is back.
  test.each([
    ['lost answers', true],
    ['late transactions', true],
    ['lost answers', false],
    ['late transactions', false],
  ])('when it comes back during a removal, with %s (silence recorded: %s)', (fault, hasClock) => {
    const scenario = Scenario.createAged();
    const { world } = scenario;
    const { recordStore } = world;
    recordStore.hasClock = hasClock;
    world.run(10_000);
    world.submit(createSubmission(1, [LONG]));
    world.run(100);
    const holder = scenario.getHolder();
    recordStore.areAnswersLost = fault === 'lost answers';
    recordStore.extraDelayMs = fault === 'late transactions' ? 2_500 : 0;
    world.partition(holder, 60_000);
    scenario.runUntilRemoval();
    world.partition(holder, 0);
    world.run(600);
    world.submit(createSubmission(2, [{ taskCount: 14, estimateMs: 3_000 }]));
    scenario.runChecked(3_500);
    recordStore.areAnswersLost = false;
    recordStore.extraDelayMs = 0;
    scenario.runChecked(6_000);
    world.submit(createSubmission(3, [{ taskCount: 14, estimateMs: 500 }]));
    scenario.runChecked(2_000);
    const isOnHolder = ({ effect }: SentStart) => effect.targetId === holder;
    expect(scenario.getStarts(3).some(isOnHolder)).toBe(true);
    scenario.expectSafe();
  });

  // Its transaction carries the owner row as a precondition, and the successor reads the record after its claim.
  test.each([false, true])('by a former owner that has authority (replaced: %s)', (isReplaced) => {
    const scenario = new Scenario();
    const { world } = scenario;
    world.takeOver();
    world.submit(createSubmission(1, [{ taskCount: 20, ...LONG }]));
    world.run(500);
    expect(scenario.getStarts(1)).toHaveLength(16);
    const late = world.addTarget('late-1');
    if (isReplaced) world.takeOver(true);
    world.run(1_500);
    const onLate = scenario.starts.filter(({ effect }) => effect.targetId === late.id);
    expect(onLate.filter(({ epoch }) => epoch === 1)).toHaveLength(isReplaced ? 0 : 4);
    scenario.expectSafe();
  });
});
