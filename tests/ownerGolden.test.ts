/** Compares the owner's effects in fixed scenarios with golden files: takeover, store outage, gang, cancellation. */

import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { OwnerEffect } from '../src/owner/types';
import { createSubmission, NO_FAULTS, OwnerWorld, toSubmissionId } from './support/ownerWorld';

const RECORDED_KINDS: readonly OwnerEffect['kind'][] = [
  'startRun',
  'stopRun',
  'askAdvice',
  'writeProgress',
  'deleteSubmissions',
  'stepDown',
  'log',
];

/** Runs a scenario and records the owners' effects, except polls and metrics. */
function recordSession(scenario: (world: OwnerWorld) => void): unknown {
  const world = new OwnerWorld({ seed: 3, targetCount: 3, faults: NO_FAULTS });
  const session: unknown[] = [];
  world.onEffect = (epoch, effect) => {
    if (!RECORDED_KINDS.includes(effect.kind)) return;
    session.push({ atMs: Math.round(world.time.nowMs), epoch, effect });
  };
  world.takeOver();
  scenario(world);
  expect(world.broken).toEqual([]);
  return JSON.parse(JSON.stringify(session));
}

function expectGolden(name: string, session: unknown): void {
  const file = join(__dirname, 'golden', `owner.${name}.golden.json`);
  if (process.env.ACCEPT_GOLDEN === '1') {
    writeFileSync(file, `${JSON.stringify(session, undefined, 2)}\n`);
  }
  expect(session).toEqual(JSON.parse(readFileSync(file, 'utf8')));
}

describe('effects of the owner match the golden file', () => {
  test('for a takeover while tasks run', () => {
    const session = recordSession((world) => {
      world.submit(createSubmission(1, [{ taskCount: 3 }, { taskCount: 1, after: [0] }]));
      world.run(500);
      world.takeOver();
      world.run(3_000);
      expect(world.getState(toSubmissionId(1))).toBe('succeeded');
    });
    expectGolden('takeover', session);
  });

  test('for a store outage', () => {
    const session = recordSession((world) => {
      world.submit(createSubmission(1, [{ taskCount: 2 }, { taskCount: 1, after: [0] }]));
      world.run(500);
      world.isStoreAvailable = false;
      world.run(3_000);
      world.isStoreAvailable = true;
      world.run(3_000);
      expect(world.getState(toSubmissionId(1))).toBe('succeeded');
    });
    expectGolden('outage', session);
  });

  test('for a gang', () => {
    const policy = { kind: 'gang', isSameRack: false } as const;
    const session = recordSession((world) => {
      world.submit(createSubmission(1, [{ taskCount: 4, policy }], { advice: 'cheap' }));
      world.run(3_000);
      expect(world.getState(toSubmissionId(1))).toBe('succeeded');
    });
    expectGolden('gang', session);
  });

  test('for a cancellation', () => {
    const session = recordSession((world) => {
      world.submit(createSubmission(1, [{ taskCount: 2, estimateMs: 20_000 }]));
      world.run(500);
      world.cancel(toSubmissionId(1));
      world.run(1_500);
      expect(world.getState(toSubmissionId(1))).toBe('cancelled');
    });
    expectGolden('cancel', session);
  });
});
