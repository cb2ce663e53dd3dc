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
      world.setPlatformCut(index, true);
      later(() => world.setPlatformCut(index, false));
      return;
    case 'cutPeers':
      world.setPeerCut(index, (index + 1) % 3, true);
      later(() => world.setPeerCut(index, (index + 1) % 3, false));
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
        jobs.submit(createSpec('svc', { kind: 'service', serviceName: 'svc', replicas: 3 }));
        (faults as readonly TimedFault[]).forEach((timed) =>
          jobs.world.schedule(timed.atMs, () => inject(jobs, timed.fault)),
        );
        jobs.world.runFor(FAULT_TIME_MS + CALM_TIME_MS);
        expect(jobs.violations).toEqual([]);
        batches.forEach(({ jobId }) => {
          expect(jobs.query(jobId)).toMatchObject({ phase: 'finished', finishedCount: 5 });
        });
        const replicas = jobs.getRunning().filter((runId) => runId.startsWith('svc/'));
        expect(replicas).toHaveLength(3);
      }),
      { seed: 7, numRuns: 12 },
    );
  });
});
