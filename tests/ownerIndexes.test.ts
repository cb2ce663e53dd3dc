/** The owner's indexed decisions agree with plain ones that examine every target. */

import fc from 'fast-check';
import { chooseTargetsToQuery, isFurtherAdviceUseful } from '../src/owner/adviceChoice';
import { CandidateCosts, chooseCandidate } from '../src/owner/candidates';
import type { Candidate } from '../src/owner/candidates';
import { EmptiestFirst } from '../src/owner/emptiestFirst';
import { isTargetEligible } from '../src/owner/placement';
import { PreemptionTable } from '../src/owner/preemption';
import { PassCosts } from '../src/owner/passCosts';
import { RoomyTargets } from '../src/owner/roomyTargets';
import { OwnerState } from '../src/owner/ownerState';
import type { TargetState } from '../src/owner/targetState';
import type { RunPhase } from '../src/owner/types';
import { toEpoch } from '../src/types/ids';
import type { DataCentreId, SubmissionId, TargetId, Ticket } from '../src/types/ids';
import { addDemand, isDemandFitting, NO_DEMAND } from '../src/work/types';
import type { StepSpec, TaskDemand } from '../src/work/types';
import { addRun, createEntry, createStep, createTarget } from './support/ownerParts';
import {
  choosePlainPreemption,
  choosePlainTargetsToQuery,
  collectPlainVictims,
  hasPlainVictim,
  isPlainFurtherAdviceUseful,
} from './support/plainDecisions';

const NOW_MS = 1_000;
const RUN_COUNT = 300;
const PROPERTY = { seed: 17, numRuns: RUN_COUNT };

const demandArbitrary = fc.record({
  cpuMillis: fc.constantFrom(0, 1_000, 2_000, 4_000, 8_000),
  memoryMb: fc.constantFrom(0, 1_024, 4_096, 8_192),
  accelerators: fc.constantFrom(0, 0, 0, 1),
});

const policyArbitrary = fc.constantFrom<StepSpec['policy']>(
  { kind: 'batch', isSpeculative: false },
  { kind: 'batch', isSpeculative: true },
  { kind: 'standing', latencyTargetMs: 20, maxUnavailableCount: 1 },
);

const specArbitrary = fc.record({
  taskCount: fc.integer({ min: 1, max: 12 }),
  demand: demandArbitrary,
  policy: policyArbitrary,
  isFiller: fc.boolean(),
  hasCheckpoints: fc.boolean(),
  dataRack: fc.constantFrom('', 'r-0', 'r-1'),
  maxTasksPerTarget: fc.constantFrom(0, 0, 1, 2),
});

/** A run on a target: its step's specification, its priority, when it was sent and its phase. */
const runArbitrary = fc.record({
  spec: specArbitrary,
  priority: fc.integer({ min: 0, max: 3 }),
  sentAtMs: fc.constantFrom(0, 500, 700, 900, 950),
  phase: fc.constantFrom<RunPhase>('running', 'running', 'starting', 'stopping'),
});

const targetArbitrary = fc.record({
  capacity: fc.constantFrom<TaskDemand>(
    { cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0 },
    { cpuMillis: 8_000, memoryMb: 16_384, accelerators: 2 },
    // Less than what runs there, as after a reduction of the capacity.
    { cpuMillis: 1_000, memoryMb: 1_024, accelerators: 0 },
  ),
  rack: fc.constantFrom('', 'r-0', 'r-1'),
  slowdown: fc.constantFrom(1, 1, 1.5, Number.NaN),
  isSuspect: fc.boolean(),
  runs: fc.array(runArbitrary, { maxLength: 4 }),
});

type DrawnTarget = typeof targetArbitrary extends fc.Arbitrary<infer T> ? T : never;

function createDrawnTarget(drawn: DrawnTarget, number: number): TargetState {
  const target = createTarget(number, { capacity: drawn.capacity, rack: drawn.rack });
  target.slowdown = drawn.slowdown;
  if (drawn.isSuspect) target.addFailure('failed' as SubmissionId, NOW_MS);
  drawn.runs.forEach(({ spec, priority, sentAtMs, phase }) => {
    addRun(createStep(spec, { priority }), 0, target, { sentAtMs, phase });
  });
  return target;
}

const targetsArbitrary = fc
  .array(targetArbitrary, { minLength: 1, maxLength: 10 })
  .map((drawn) => drawn.map(createDrawnTarget));

describe('placement by costs that are kept', () => {
  test('chooses the target that an examination of all candidates would choose', () => {
    fc.assert(
      fc.property(
        targetsArbitrary,
        specArbitrary,
        fc.array(fc.boolean(), { minLength: 1, maxLength: 12 }),
        fc.boolean(),
        (targets, spec, cautions, isCrashLikely) => {
          const step = createStep({ ...spec, taskCount: cautions.length });
          step.record.isCrashLikely = isCrashLikely;
          const candidates = targets.map((target) => ({ target, ticket: undefined }));
          const costs = new CandidateCosts(step, candidates);
          cautions.forEach((isCautious, index) => {
            const expected = chooseCandidate(step, isCautious, candidates);
            let chosen: unknown;
            const isPlaced = costs.tryPlace(isCautious, (candidate) => {
              chosen = candidate;
              addRun(step, index, candidate.target);
            });
            expect(chosen).toBe(expected);
            expect(isPlaced).toBe(expected !== undefined);
          });
        },
      ),
      PROPERTY,
    );
  });
});

describe('preemption', () => {
  test('chooses what an examination of all targets and victims would choose', () => {
    fc.assert(
      fc.property(
        targetsArbitrary,
        fc.array(fc.record({ spec: specArbitrary, priority: fc.nat(2) }), {
          minLength: 1,
          maxLength: 8,
        }),
        (targets, drawnSteps) => {
          const plainVictims = collectPlainVictims(targets, NOW_MS);
          const plainReserved = new Map<TargetId, TaskDemand>();
          const table = new PreemptionTable(() => targets, NOW_MS);
          drawnSteps.forEach(({ spec, priority }) => {
            const step = createStep(spec, { priority });
            expect(table.hasVictim(step)).toBe(hasPlainVictim(plainVictims, step));
            if (!table.hasVictim(step)) return;
            const possible = targets.filter((target) => table.mayFit(step, target));
            for (let count = 0; count < spec.taskCount; count += 1) {
              const expected = choosePlainPreemption(step, targets, plainVictims, plainReserved);
              const chosen = table.choose(step, possible);
              expect(chosen?.target).toBe(expected?.target);
              expect(chosen?.victims).toEqual(expected?.victims);
              if (chosen === undefined) return;
              const { target } = chosen;
              table.reserve(target, step.charge);
              const reserved = plainReserved.get(target.id) ?? NO_DEMAND;
              plainReserved.set(target.id, addDemand(reserved, step.charge));
              chosen.victims.forEach((run) => Object.assign(run, { phase: 'stopping' }));
            }
          });
        },
      ),
      PROPERTY,
    );
  });
});

describe('advice', () => {
  test('is asked for the targets that a sort of all candidates would select', () => {
    fc.assert(
      fc.property(
        fc.array(targetArbitrary, { minLength: 1, maxLength: 140 }),
        specArbitrary,
        fc.array(fc.boolean(), { minLength: 1, maxLength: 7 }),
        fc.constantFrom(0.3, 6.5),
        (drawn, spec, approvals, perTargetMs) => {
          const targets = drawn.map(createDrawnTarget);
          const step = createStep(spec, { advice: 'cheap' });
          const grants = targets
            .filter((_target, index) => approvals[index % approvals.length])
            .map(({ id }) => ({ targetId: id, ticket: 'ticket' as Ticket }));
          step.advice.addAnswer(NOW_MS, [], grants, NOW_MS + 1_000, () => 1);
          const costs = { callMs: 20, perTargetMs, ticketValidMs: 2_500 };
          const selected = chooseTargetsToQuery(step, targets, costs, NOW_MS);
          const expected = choosePlainTargetsToQuery(step, targets, costs);
          expect(selected.map(({ id }) => id)).toEqual(expected.map(({ id }) => id));
          const emptiest = new EmptiestFirst();
          const sorted = emptiest.sort(targets);
          expect(emptiest.sort(targets)).toBe(sorted);
          expect(chooseTargetsToQuery(step, sorted, costs, NOW_MS)).toEqual(selected);
          expect(isFurtherAdviceUseful(step, targets, () => true, NOW_MS)).toBe(
            isPlainFurtherAdviceUseful(step, targets, NOW_MS),
          );
          expect(step.advice.hasUsableTicket(NOW_MS)).toBe(grants.length > 0);
          expect(step.advice.hasUsableTicket(NOW_MS + 1_000)).toBe(false);
        },
      ),
      { ...PROPERTY, numRuns: 100 },
    );
  });
});

describe('the index of eligible targets', () => {
  const changeArbitrary = fc.record({
    kind: fc.constantFrom('add', 'remove', 'replace', 'unregister', 'entry', 'close', 'open'),
    number: fc.nat(7),
    label: fc.constantFrom('a', 'b'),
    serviceName: fc.constantFrom('service', 'other'),
    isDraining: fc.boolean(),
  });

  test('holds the targets that an examination of each one would find, in the order of the table', () => {
    fc.assert(
      fc.property(fc.array(changeArbitrary, { maxLength: 40 }), (changes) => {
        const state = new OwnerState(toEpoch(1), 1_000, {
          isComplete: false,
          targets: [],
          malformed: [],
        });
        const { targets } = state;
        const index = state.eligibleTargets;
        const steps = ['service', 'other'].flatMap((serviceName) =>
          ['', 'a', 'b'].map((requiredLabel) => createStep({ requiredLabel }, {}, { serviceName })),
        );
        changes.forEach(({ kind, number, label, serviceName, isDraining }) => {
          const dataCentreId = `dc-${number % 2}` as DataCentreId;
          const entry = createEntry(number, {
            ...{ serviceName, labels: [label], isDraining, dataCentreId },
          });
          const target = targets.get(entry.id);
          if (kind === 'add' || kind === 'replace') state.addTarget(createTarget(number, entry));
          if (kind === 'remove' && target !== undefined) state.removeTarget(target);
          if (kind === 'unregister' && target !== undefined) target.isRegistered = false;
          if (kind === 'entry') target?.setEntry(entry);
          if (kind === 'close' || kind === 'open') {
            const closedDataCentreIds = kind === 'close' ? [dataCentreId] : [];
            state.operator = { config: undefined, closedDataCentreIds };
          }
          steps.forEach((step) => {
            const expected = [...targets.values()].filter((known) =>
              isTargetEligible(state, step, known),
            );
            const found = index.get(step);
            expect(found).toHaveLength(expected.length);
            expect(found.every((known, position) => known === expected[position])).toBe(true);
            expect(index.get(step)).toBe(index.get(step));
          });
          const positions = [...targets.values()].map(({ position }) => position);
          expect(positions).toEqual([...positions].sort((left, right) => left - right));
        });
      }),
      { ...PROPERTY, numRuns: 100 },
    );
  });
});

describe('the targets with room', () => {
  test('include all on which a task fits, in their order, and none that is full for all', () => {
    fc.assert(
      fc.property(
        targetsArbitrary,
        fc.array(specArbitrary, { minLength: 1, maxLength: 10 }),
        (targets, specs) => {
          const roomyTargets = new RoomyTargets(({ isPlannable }) => isPlannable);
          specs.forEach((spec) => {
            const step = createStep({ ...spec, taskCount: 1 });
            const fitting = targets.filter(({ free }) => isDemandFitting(step.charge, free));
            const roomy = roomyTargets.get(targets, step.charge);
            expect(targets.filter((target) => roomy.includes(target))).toEqual([...roomy]);
            expect(fitting.every((target) => roomy.includes(target))).toBe(true);
            const [first] = fitting;
            if (first !== undefined) addRun(step, 0, first);
          });
        },
      ),
      PROPERTY,
    );
    const full = [createTarget(0), createTarget(1), createTarget(2)];
    const large = { cpuMillis: 16_000, memoryMb: 1_024, accelerators: 0 };
    const roomyTargets = new RoomyTargets(({ isPlannable }) => isPlannable);
    full.slice(0, 1).forEach((target) => Object.assign(target, { isPlannable: false }));
    expect(roomyTargets.get(full, large)).toHaveLength(2);
    full.slice(1).forEach((target) => addRun(createStep({ demand: large }), 0, target));
    expect(roomyTargets.get(full, large)).toHaveLength(0);
  });
});

describe('costs that the steps of a pass share', () => {
  test('lead to the placements that an examination of all targets would lead to', () => {
    fc.assert(
      fc.property(
        targetsArbitrary,
        fc.array(specArbitrary, { minLength: 1, maxLength: 3 }),
        fc.array(fc.record({ spec: fc.nat(2), isCautious: fc.boolean() }), { maxLength: 30 }),
        (targets, specs, drawnSteps) => {
          const passCosts = new PassCosts();
          drawnSteps.forEach(({ spec: number, isCautious }) => {
            const spec = { ...specs[number % specs.length], taskCount: 2, maxTasksPerTarget: 0 };
            const step = createStep(spec);
            const candidates = targets.map((target) => ({ target, ticket: undefined }));
            const roomy = passCosts.getRoomy(targets, step.charge);
            const getCandidates = () => candidates.filter(({ target }) => roomy.includes(target));
            const expected = chooseCandidate(step, isCautious, candidates);
            const costs = passCosts.get(step, targets, step.placementClass, getCandidates);
            let chosen: Candidate | undefined;
            costs.tryPlace(isCautious, (candidate) => {
              chosen = candidate;
              passCosts.onPlaced(candidate.target);
              addRun(step, 0, candidate.target);
            });
            expect(chosen?.target).toBe(expected?.target);
            passCosts.isScarce = true;
          });
        },
      ),
      PROPERTY,
    );
  });
});

describe('the state of a target and of a step', () => {
  test('counts what a recount of the runs finds', () => {
    fc.assert(
      fc.property(
        fc.array(fc.record({ run: runArbitrary, target: fc.nat(2), isRemoved: fc.boolean() })),
        (changes) => {
          const targets = [createTarget(0), createTarget(1), createTarget(2)];
          const spread = createStep({ taskCount: 100, demand: NO_DEMAND });
          changes.forEach(({ run: drawn, target: number, isRemoved }, index) => {
            const target = targets[number] ?? createTarget(0);
            const run = addRun(createStep(drawn.spec), 0, target);
            const spreadRun = addRun(spread, index, target);
            if (isRemoved) {
              target.removeRun(run.key);
              target.removeRun(spreadRun.key);
              spread.removeRun(spreadRun, NOW_MS);
              spread.removeRun(spreadRun, NOW_MS);
            }
            const runs = [...target.runs.values()];
            expect(target.free).toEqual(addDemand(target.entry.capacity, target.used, -1));
            expect(target.runsFiller).toBe(runs.some(({ step }) => step.spec.isFiller));
            expect(target.runsLatencySensitive).toBe(
              runs.some(({ step: { spec } }) => spec.policy.kind === 'standing'),
            );
            expect(spread.countRunsOn(target.id)).toBe(
              spread.getRuns().filter(({ targetId }) => targetId === target.id).length,
            );
          });
        },
      ),
      PROPERTY,
    );
  });
});
