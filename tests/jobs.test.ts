/** Jobs under faults: no task runs twice at once, and no accepted job is lost or run twice. */

import fc from 'fast-check';
import { createSpec, JobWorld } from './support/jobWorld';

const FAULT_WINDOW_MS = 20_000;
const RECOVERY_TIME_MS = 60_000;

type Fault =
  | {
      readonly kind: 'kill' | 'pause' | 'partitionPlatform';
      readonly index: number;
      readonly forMs: number;
    }
  | { readonly kind: 'partitionPeers'; readonly index: number; readonly forMs: number }
  | { readonly kind: 'outage' | 'slow' | 'loseAnswers'; readonly forMs: number }
  | { readonly kind: 'blackHole'; readonly index: number; readonly forMs: number };

interface TimedFault {
  readonly atMs: number;
  readonly fault: Fault;
}

const arbitraryDurationMs = fc.integer({ min: 200, max: 9_000 });
const arbitraryMemberIndex = fc.integer({ min: 0, max: 2 });
const arbitraryFault = fc.oneof(
  fc.record({
    kind: fc.constantFrom('kill', 'pause', 'partitionPlatform', 'partitionPeers'),
    index: arbitraryMemberIndex,
    forMs: arbitraryDurationMs,
  }),
  fc.record({ kind: fc.constantFrom('outage', 'slow', 'loseAnswers'), forMs: arbitraryDurationMs }),
  fc.record({
    kind: fc.constant('blackHole'),
    index: fc.integer({ min: 0, max: 7 }),
    forMs: arbitraryDurationMs,
  }),
);
const arbitraryTimedFaults = fc.array(
  fc.record({ atMs: fc.integer({ min: 0, max: FAULT_WINDOW_MS }), fault: arbitraryFault }),
  { minLength: 1, maxLength: 6 },
);

/** Injects a fault and schedules its end. */
function injectFault({ world }: JobWorld, { kind, forMs, ...where }: Fault): void {
  const index = 'index' in where ? where.index : 0;
  const scheduleEnd = (run: () => void) => world.schedule(forMs, run);
  switch (kind) {
    case 'kill':
      if (world.processes[index]?.isDown) return;
      world.kill(index);
      scheduleEnd(() => world.restart(index));
      return;
    case 'pause':
      world.pause(index, forMs);
      return;
    case 'partitionPlatform':
      world.setPlatformPartition(index, true);
      scheduleEnd(() => world.setPlatformPartition(index, false));
      return;
    case 'partitionPeers':
      world.setPeerPartition(index, (index + 1) % 3, true);
      scheduleEnd(() => world.setPeerPartition(index, (index + 1) % 3, false));
      return;
    case 'outage':
      world.store.setFaults({ isDown: true });
      scheduleEnd(() => world.store.setFaults({ isDown: false }));
      return;
    case 'slow':
      world.store.setFaults({ delayMs: 1_000 });
      scheduleEnd(() => world.store.setFaults({ delayMs: 0 }));
      return;
    case 'loseAnswers':
      world.store.setFaults({ loseAnswerCount: 8 });
      return;
    default: {
      const target = [...world.targets.values()][index];
      target?.setFaults({ isBlackHole: true });
      scheduleEnd(() => target?.setFaults({ isBlackHole: false }));
    }
  }
}

describe('jobs in virtual time', () => {
  test('a batch job runs each task to completion exactly once', () => {
    const jobs = new JobWorld(1);
    jobs.submit(createSpec('plan', { kind: 'batch', taskCount: 20 }));
    jobs.world.runFor(10_000);
    expect(jobs.query('plan')).toMatchObject({ phase: 'finished', finishedCount: 20 });
    expect(jobs.attempts.size).toBe(20);
    expect([...jobs.attempts.values()].every((attempts) => attempts.size === 1)).toBe(true);
    expect(jobs.getRunning()).toEqual([]);
  });

  test('a task on an unresponsive target is not started elsewhere while its lease is valid', () => {
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

  test('the end of a task reported during a store outage survives the crash of its home', () => {
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

  test('gangs that compete for the same capacity run one after the other, each as a whole', () => {
    const jobs = new JobWorld(5);
    const gangs = ['g1', 'g2', 'g3', 'g4', 'g5', 'g6'];
    gangs.forEach((jobId) => jobs.submit(createSpec(jobId, { kind: 'gang', taskCount: 40 })));
    jobs.world.runFor(60_000);
    gangs.forEach((jobId) => {
      expect(jobs.query(jobId)).toMatchObject({ phase: 'finished', finishedCount: 40 });
      expect(jobs.peakRunningCounts.get(jobId)).toBe(40);
      const { firstRunningAtMs, peakAtMs } = jobs.rampUps.get(jobId) ?? {
        firstRunningAtMs: 0,
        peakAtMs: 0,
      };
      expect(peakAtMs - firstRunningAtMs).toBeLessThan(1_000);
    });
    expect(jobs.violations).toEqual([]);
  });

  test('a job that no target could ever run is reported as unplaceable within a second and blocks no other', () => {
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

  test('a batch job that fails on every target ends as failed, and other jobs finish', () => {
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

  test('a cancelled job stops its running tasks and starts no more', () => {
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

  test('draining and restarting schedulers one by one starts no task twice', () => {
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

  test('tasks leave a data centre that is taken out of service and resume from their checkpoints', () => {
    const jobs = new JobWorld(10);
    jobs.submit(createSpec('long', { kind: 'batch', taskCount: 12 }, { expectedRunMs: 20_000 }));
    jobs.submit(createSpec('svc', { kind: 'service', serviceName: 'svc', replicas: 4 }));
    jobs.world.runFor(10_000);
    const countRunningIn = (dataCentreId: string) =>
      [...jobs.world.targets]
        .filter(([address]) => address.includes(dataCentreId))
        .reduce(
          (sum, [, target]) => sum + target.getTaskIds('running', jobs.world.nowMs).length,
          0,
        );
    expect(countRunningIn('delft')).toBeGreaterThan(0);
    const change = { kind: 'setDataCentre', dataCentreId: 'delft', inService: false };
    const call = { kind: 'changeConfig', change, operationId: 'op-2' };
    jobs.world.call(1, call as never, () => undefined);
    jobs.world.runFor(9_000);
    expect(countRunningIn('delft')).toBe(0);
    expect(jobs.getRunning().filter((runId) => runId.startsWith('svc/'))).toHaveLength(4);
    // Restarted from the beginning, the moved tasks would need another 20 s.
    jobs.world.runFor(9_000);
    expect(jobs.query('long')).toMatchObject({ phase: 'finished', finishedCount: 12 });
    expect(jobs.violations).toEqual([]);
  });

  test('under random faults no task runs twice at once and every acknowledged job finishes', () => {
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 1_000_000 }), arbitraryTimedFaults, (seed, faults) => {
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
          jobs.world.schedule(timed.atMs, () => injectFault(jobs, timed.fault)),
        );
        jobs.world.runFor(FAULT_WINDOW_MS + RECOVERY_TIME_MS);
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
