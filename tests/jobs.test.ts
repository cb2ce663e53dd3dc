/** Jobs under faults: no task in two places, nothing planned lost or doubled. */

import fc from 'fast-check';
import { createSpec, JobWorld } from './support/jobWorld';

const FAULT_TIME_MS = 20_000;
const CALM_TIME_MS = 60_000;

type Fault =
  | {
      readonly kind: 'kill' | 'pause' | 'cutPlatform';
      readonly index: number;
      readonly forMs: number;
    }
  | { readonly kind: 'cutPeers'; readonly index: number; readonly forMs: number }
  | { readonly kind: 'outage' | 'slow' | 'loseAnswers'; readonly forMs: number }
  | { readonly kind: 'blackHole'; readonly index: number; readonly forMs: number };

interface TimedFault {
  readonly atMs: number;
  readonly fault: Fault;
}

const duration = fc.integer({ min: 200, max: 9_000 });
const member = fc.integer({ min: 0, max: 2 });
const fault = fc.oneof(
  fc.record({
    kind: fc.constantFrom('kill', 'pause', 'cutPlatform', 'cutPeers'),
    index: member,
    forMs: duration,
  }),
  fc.record({ kind: fc.constantFrom('outage', 'slow', 'loseAnswers'), forMs: duration }),
  fc.record({
    kind: fc.constant('blackHole'),
    index: fc.integer({ min: 0, max: 7 }),
    forMs: duration,
  }),
);
const timedFaults = fc.array(
  fc.record({ atMs: fc.integer({ min: 0, max: FAULT_TIME_MS }), fault }),
  { minLength: 1, maxLength: 6 },
);

/** Begins a fault and schedules its end. */
function inject({ world }: JobWorld, { kind, forMs, ...where }: Fault): void {
  const index = 'index' in where ? where.index : 0;
  const later = (run: () => void) => world.schedule(forMs, run);
  switch (kind) {
    case 'kill':
      if (world.processes[index]?.isDown) return;
      world.kill(index);
      later(() => world.restart(index));
      return;
    case 'pause':
      world.pause(index, forMs);
      return;
    case 'cutPlatform':
      world.setPlatformPartition(index, true);
      later(() => world.setPlatformPartition(index, false));
      return;
    case 'cutPeers':
      world.setPeerPartition(index, (index + 1) % 3, true);
      later(() => world.setPeerPartition(index, (index + 1) % 3, false));
      return;
    case 'outage':
      world.store.setFaults({ isDown: true });
      later(() => world.store.setFaults({ isDown: false }));
      return;
    case 'slow':
      world.store.setFaults({ delayMs: 1_000 });
      later(() => world.store.setFaults({ delayMs: 0 }));
      return;
    case 'loseAnswers':
      world.store.setFaults({ loseAnswerCount: 8 });
      return;
    default: {
      const target = [...world.targets.values()][index];
      target?.setFaults({ isBlackHole: true });
      later(() => target?.setFaults({ isBlackHole: false }));
    }
  }
}

describe('jobs in virtual time', () => {
  test('a batch job runs each task to its end once', () => {
    const jobs = new JobWorld(1);
    jobs.submit(createSpec('plan', { kind: 'batch', taskCount: 20 }));
    jobs.world.runFor(10_000);
    expect(jobs.query('plan')).toMatchObject({ phase: 'finished', finishedCount: 20 });
    expect(jobs.attempts.size).toBe(20);
    expect([...jobs.attempts.values()].every((attempts) => attempts.size === 1)).toBe(true);
    expect(jobs.getRunning()).toEqual([]);
  });

  test('a task on a target that does not answer is not started elsewhere while its lease lasts', () => {
    const jobs = new JobWorld(3);
    jobs.submit(createSpec('long', { kind: 'batch', taskCount: 6 }, { expectedRunMs: 40_000 }));
    jobs.world.runFor(4_000);
    jobs.world.targets.forEach((target, address) => {
      if (address.includes('rotterdam')) target.setFaults({ isBlackHole: true });
    });
    jobs.world.kill(0);
    jobs.world.runFor(12_000);
    jobs.world.targets.forEach((target) => target.setFaults({ isBlackHole: false }));
    jobs.world.runFor(90_000);
    expect(jobs.violations).toEqual([]);
    expect(jobs.query('long')).toMatchObject({ phase: 'finished', finishedCount: 6 });
  });

  test('an end that was told in an outage is not lost with its home', () => {
    [1, 2, 3].forEach((seed) => {
      const jobs = new JobWorld(seed);
      jobs.submit(createSpec('short', { kind: 'batch', taskCount: 6 }));
      jobs.world.runFor(1_600);
      expect(jobs.getRunning()).toHaveLength(6);
      const home = jobs.getHomeIndex('short') ?? 0;
      jobs.world.store.setFaults({ isDown: true });
      jobs.world.runFor(4_000);
      jobs.world.kill(home);
      jobs.world.store.setFaults({ isDown: false });
      jobs.world.schedule(500, () => jobs.world.restart(home));
      jobs.world.runFor(40_000);
      expect(jobs.violations).toEqual([]);
      expect(jobs.query('short')).toMatchObject({ phase: 'finished', finishedCount: 6 });
    });
  });

  test('gangs that want the same room run one after the other, each whole', () => {
    const jobs = new JobWorld(5);
    const gangs = ['g1', 'g2', 'g3', 'g4', 'g5', 'g6'];
    gangs.forEach((jobId) => jobs.submit(createSpec(jobId, { kind: 'gang', taskCount: 40 })));
    jobs.world.runFor(60_000);
    gangs.forEach((jobId) => {
      expect(jobs.query(jobId)).toMatchObject({ phase: 'finished', finishedCount: 40 });
      expect(jobs.peaks.get(jobId)).toBe(40);
      const { firstMs, wholeMs } = jobs.spreads.get(jobId) ?? { firstMs: 0, wholeMs: 0 };
      expect(wholeMs - firstMs).toBeLessThan(1_000);
    });
    expect(jobs.violations).toEqual([]);
  });

  test('a job that no target could ever run is named so within a second and blocks nobody', () => {
    const jobs = new JobWorld(6);
    const demand = { cpuMillis: 1, memoryMb: 1, accelerators: 9, slots: 1, connections: 0 };
    jobs.submit(createSpec('never', { kind: 'batch', taskCount: 1 }, { demand }));
    jobs.submit(createSpec('wide', { kind: 'gang', taskCount: 65 }));
    jobs.submit(createSpec('plan', { kind: 'batch', taskCount: 4 }));
    jobs.world.runFor(1_000);
    expect(jobs.query('never')).toMatchObject({ phase: 'unplaceable' });
    expect(jobs.query('wide')).toMatchObject({ phase: 'unplaceable' });
    jobs.world.runFor(5_000);
    expect(jobs.query('plan')).toMatchObject({ phase: 'finished' });
  });

  test('a batch job that fails everywhere is failed, and others finish', () => {
    const jobs = new JobWorld(11);
    jobs.world.targets.forEach((target) => target.setFaults({ isFailingEverything: true }));
    jobs.submit(createSpec('bad', { kind: 'batch', taskCount: 2 }));
    jobs.world.runFor(25_000);
    expect(jobs.query('bad')).toMatchObject({ phase: 'failed' });
    jobs.world.targets.forEach((target) => target.setFaults({ isFailingEverything: false }));
    jobs.submit(createSpec('good', { kind: 'batch', taskCount: 2 }));
    jobs.world.runFor(6_000);
    expect(jobs.query('good')).toMatchObject({ phase: 'finished' });
    expect(jobs.getRunning()).toEqual([]);
  });

  test('a cancelled job stops what it runs and starts nothing more', () => {
    const jobs = new JobWorld(8);
    jobs.submit(createSpec('svc', { kind: 'service', serviceName: 'svc', replicas: 6 }));
    jobs.world.runFor(4_000);
    expect(jobs.getRunning()).toHaveLength(6);
    let isDone = false;
    jobs.cancel('svc', () => {
      isDone = true;
    });
    jobs.world.runFor(4_000);
    expect(isDone).toBe(true);
    expect(jobs.getRunning()).toEqual([]);
    expect(jobs.query('svc')).toMatchObject({ phase: 'cancelled' });
  });

  test('a planned stop of each scheduler in turn starts no task twice', () => {
    const jobs = new JobWorld(9);
    jobs.submit(createSpec('long', { kind: 'batch', taskCount: 12 }, { expectedRunMs: 50_000 }));
    jobs.world.runFor(3_000);
    [0, 1].forEach((index) => {
      jobs.world.call(index, { kind: 'drain' }, () => undefined);
      jobs.world.runFor(8_000);
      expect(jobs.world.processes[index]?.core.isDrained).toBe(true);
      jobs.world.kill(index);
      jobs.world.runFor(2_000);
      jobs.world.restart(index);
      jobs.world.runFor(4_000);
    });
    jobs.world.runFor(40_000);
    expect(jobs.query('long')).toMatchObject({ phase: 'finished', finishedCount: 12 });
    expect([...jobs.attempts.values()].every((attempts) => attempts.size === 1)).toBe(true);
  });

  test('work leaves a data centre that is taken out, and resumes from its checkpoint', () => {
    const jobs = new JobWorld(10);
    jobs.submit(createSpec('long', { kind: 'batch', taskCount: 12 }, { expectedRunMs: 20_000 }));
    jobs.submit(createSpec('svc', { kind: 'service', serviceName: 'svc', replicas: 4 }));
    jobs.world.runFor(10_000);
    const countIn = (dataCentreId: string) =>
      [...jobs.world.targets]
        .filter(([address]) => address.includes(dataCentreId))
        .reduce(
          (sum, [, target]) => sum + target.getTaskIds('running', jobs.world.nowMs).length,
          0,
        );
    expect(countIn('delft')).toBeGreaterThan(0);
    const change = { kind: 'setDataCentre', dataCentreId: 'delft', inService: false };
    const call = { kind: 'changeConfig', change, operationId: 'op-2' };
    jobs.world.call(1, call as never, () => undefined);
    jobs.world.runFor(9_000);
    expect(countIn('delft')).toBe(0);
    expect(jobs.getRunning().filter((runId) => runId.startsWith('svc/'))).toHaveLength(4);
    // Started anew instead of resumed, the moved tasks would need 20 s from here.
    jobs.world.runFor(9_000);
    expect(jobs.query('long')).toMatchObject({ phase: 'finished', finishedCount: 12 });
    expect(jobs.violations).toEqual([]);
  });

  test('under any faults no task runs twice at once and every acknowledged job ends', () => {
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 1_000_000 }), timedFaults, (seed, faults) => {
        const jobs = new JobWorld(seed);
        const batches = ['b1', 'b2', 'b3'].map((jobId) =>
          createSpec(jobId, { kind: 'batch', taskCount: 5 }, { expectedRunMs: 4_000 }),
        );
        batches.forEach((spec, index) =>
          jobs.world.schedule(index * 3_000, () => jobs.submit(spec)),
        );
        const gang = createSpec('gang', { kind: 'gang', taskCount: 30 }, { expectedRunMs: 3_000 });
        jobs.world.schedule(1_000, () => jobs.submit(gang));
        jobs.submit(createSpec('svc', { kind: 'service', serviceName: 'svc', replicas: 3 }));
        (faults as readonly TimedFault[]).forEach((timed) =>
          jobs.world.schedule(timed.atMs, () => inject(jobs, timed.fault)),
        );
        jobs.world.runFor(FAULT_TIME_MS + CALM_TIME_MS);
        expect(jobs.violations).toEqual([]);
        batches.forEach(({ jobId }) => {
          expect(jobs.query(jobId)).toMatchObject({ phase: 'finished', finishedCount: 5 });
        });
        expect(jobs.query('gang')).toMatchObject({ phase: 'finished', finishedCount: 30 });
        const replicas = jobs.getRunning().filter((runId) => runId.startsWith('svc/'));
        expect(replicas).toHaveLength(3);
      }),
      { seed: 7, numRuns: 12, endOnFailure: true },
    );
  });
});
