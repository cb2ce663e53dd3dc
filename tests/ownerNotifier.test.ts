/** Notices of stored rows reach an owner that is away, late or replaced when they are sent. */

import { PassThrough } from 'node:stream';
import fc from 'fast-check';
import { OwnerNotifier } from '../src/node/ownerNotifier';
import type { NotifiedOwner, OwnerNotice } from '../src/node/ownerNotifier';
import { createLogger } from '../src/observe/logger';
import { Metrics } from '../src/observe/metrics';
import { toEpoch } from '../src/types/ids';
import { toSubmissionId } from './support/ownerWorld';

const CHECK_INTERVAL_MS = 50;

function createCancellation(number: number): OwnerNotice {
  return { kind: 'cancelled', submissionId: toSubmissionId(number) };
}

/** A gate whose owners are away, refuse notices or take them. */
class GateModel {
  nowMs = 0;

  owner: NotifiedOwner | undefined;

  readonly metrics = new Metrics();

  readonly notifier = new OwnerNotifier({
    getOwner: () => this.owner,
    getNowMs: () => this.nowMs,
    logger: createLogger('test', 'node-1', 'info', new PassThrough()),
    metrics: this.metrics,
  });

  async run(durationMs: number): Promise<void> {
    if (durationMs <= 0) return;
    this.nowMs += CHECK_INTERVAL_MS;
    this.notifier.check();
    // Lets the deliveries that were started settle.
    await new Promise(setImmediate);
    await this.run(durationMs - CHECK_INTERVAL_MS);
  }
}

function createOwner(epoch: number, failureCount = 0) {
  const taken: OwnerNotice[] = [];
  let remainingFailures = failureCount;
  const owner: NotifiedOwner = {
    epoch: toEpoch(epoch),
    deliver: async (notice) => {
      remainingFailures -= 1;
      if (remainingFailures >= 0) throw new Error('no answer');
      taken.push(notice);
      return toEpoch(epoch);
    },
  };
  return { owner, taken };
}

describe('a notice', () => {
  test('waits for an owner', async () => {
    const gate = new GateModel();
    gate.notifier.notify(createCancellation(1));
    await gate.run(4_000);
    const { owner, taken } = createOwner(2);
    gate.owner = owner;
    await gate.run(100);
    expect(taken).toEqual([createCancellation(1)]);
    expect(gate.notifier.undeliveredCount).toBe(0);
  });

  test('is repeated until an owner takes it, and then no more', async () => {
    const gate = new GateModel();
    const { owner, taken } = createOwner(2, 3);
    gate.owner = owner;
    gate.notifier.notify(createCancellation(1));
    await gate.run(10_000);
    expect(taken).toEqual([createCancellation(1)]);
  });

  test('is repeated for the next owner, which may have read the tables before', async () => {
    const gate = new GateModel();
    const former = createOwner(2);
    gate.owner = former.owner;
    gate.notifier.notify(createCancellation(1));
    await gate.run(1_000);
    const next = createOwner(3);
    gate.owner = next.owner;
    await gate.run(1_000);
    expect(former.taken).toHaveLength(1);
    expect(next.taken).toEqual([createCancellation(1)]);
  });

  test('that a former owner has taken is repeated, also when it seemed to be the present one', async () => {
    const gate = new GateModel();
    const former = createOwner(2);
    gate.owner = { ...former.owner, epoch: toEpoch(3) };
    gate.notifier.notify(createCancellation(1));
    await gate.run(100);
    const next = createOwner(3);
    gate.owner = next.owner;
    await gate.run(1_000);
    expect(next.taken).toEqual([createCancellation(1)]);
  });

  test('is given up after a while, so that a gate without an owner keeps a bounded number', async () => {
    const gate = new GateModel();
    for (let number = 1; number <= 3_000; number += 1)
      gate.notifier.notify(createCancellation(number));
    expect(gate.notifier.undeliveredCount).toBeLessThanOrEqual(1_000);
    await gate.run(40_000);
    expect(gate.notifier.undeliveredCount).toBe(0);
    const counters = gate.metrics.dump().counters.filter(({ name }) => name.includes('given_up'));
    expect(counters).toEqual([{ name: 'owner_notices_given_up', value: 3_000 }]);
  });
});

test('every notice reaches the last owner, whichever owners are away, silent or replaced before', async () => {
  const phase = fc.record({
    kind: fc.constantFrom('away' as const, 'silent' as const, 'owner' as const),
    durationMs: fc.integer({ min: 50, max: 3_000 }),
    noticeCount: fc.integer({ min: 0, max: 5 }),
  });
  await fc.assert(
    fc.asyncProperty(fc.array(phase, { maxLength: 8 }), async (phases) => {
      const gate = new GateModel();
      let number = 0;
      let epoch = 1;
      await phases.reduce(async (previous, { kind, durationMs, noticeCount }) => {
        await previous;
        epoch += 1;
        const failureCount = kind === 'silent' ? Number.POSITIVE_INFINITY : 0;
        gate.owner = kind === 'away' ? undefined : createOwner(epoch, failureCount).owner;
        for (let count = 0; count < noticeCount; count += 1) {
          number += 1;
          gate.notifier.notify(createCancellation(number));
        }
        await gate.run(durationMs);
      }, Promise.resolve());
      const last = createOwner(epoch + 1);
      gate.owner = last.owner;
      await gate.run(3_000);
      expect(gate.notifier.undeliveredCount).toBe(0);
    }),
    { numRuns: 40 },
  );
});
