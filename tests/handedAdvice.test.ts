/** Guards against a planned handover after which every waiting step waits for a new call for advice. */

import { decodeHandedAdvice } from '../src/node/handedAdvice';
import { MAX_HANDED_ADVICE, TICKET_MARGIN_MS } from '../src/owner/constants';
import { StepAdvice } from '../src/owner/stepAdvice';
import type { HandedAdvice } from '../src/owner/types';
import type { StepKey, TargetId, Ticket } from '../src/types/ids';
import { NO_DEMAND } from '../src/work/types';
import { createSubmission, NO_FAULTS, OwnerWorld } from './support/ownerWorld';

const STEP_KEY = '0000000000000001.0.0' as StepKey;

const GRANTED_ID = 'target-1' as TargetId;
const REFUSED_ID = 'target-2' as TargetId;

/** Advice about two targets, the first of which is granted until 1,000 ms. */
function createAdvice(): StepAdvice {
  const advice = new StepAdvice();
  const grants = [{ targetId: GRANTED_ID, ticket: 'ticket-1' as Ticket }];
  advice.addAnswer(0, [GRANTED_ID, REFUSED_ID], grants, 1_000, () => 7);
  return advice;
}

function hand(advice: StepAdvice, nowMs: number): HandedAdvice {
  return { stepKey: STEP_KEY, ...advice.getHanded(nowMs) };
}

describe('advice that is handed over', () => {
  test('holds for the same incarnations and for the time that is left', () => {
    const successor = new StepAdvice();
    // The clock of the successor's process began at another time.
    successor.adoptHanded(hand(createAdvice(), 400), 50_000);
    const usableMs = 600 - TICKET_MARGIN_MS;
    expect(successor.getTicket(GRANTED_ID, 7, 50_000 + usableMs - 1)).toBe('ticket-1');
    expect(successor.hasUsableTicket(50_000 + usableMs - 1)).toBe(true);
    expect(successor.getTicket(GRANTED_ID, 7, 50_000 + usableMs)).toBeUndefined();
    expect(successor.getTicket(GRANTED_ID, 8, 50_000)).toBeUndefined();
    expect(successor.isRefused(REFUSED_ID, 7)).toBe(true);
    expect(successor.isRefused(REFUSED_ID, 8)).toBe(false);
  });

  test('has no tickets that have expired', () => {
    expect(createAdvice().getHanded(1_000 - TICKET_MARGIN_MS).tickets).toEqual([]);
  });

  test('does not replace what the successor has been told itself', () => {
    const successor = new StepAdvice();
    const grants = [{ targetId: REFUSED_ID, ticket: 'ticket-2' as Ticket }];
    successor.addAnswer(0, [GRANTED_ID, REFUSED_ID], grants, 9_000, () => 7);
    successor.adoptHanded(hand(createAdvice(), 400), 400);
    expect(successor.getTicket(GRANTED_ID, 7, 500)).toBeUndefined();
    expect(successor.getTicket(REFUSED_ID, 7, 500)).toBe('ticket-2');
    expect(successor.isRefused(REFUSED_ID, 7)).toBe(false);
  });

  test('is decoded, and left out when it is not as expected', () => {
    const handed = [hand(createAdvice(), 400)];
    expect(decodeHandedAdvice(JSON.parse(JSON.stringify(handed)))).toEqual(handed);
    const odd = [undefined, null, 'text', [{ stepKey: STEP_KEY }], [{ ...handed[0], refused: 1 }]];
    odd.forEach((value) => expect(decodeHandedAdvice(value)).toEqual([]));
    const refused = Array.from({ length: MAX_HANDED_ADVICE + 1 }, () => ({
      ...{ targetId: REFUSED_ID, incarnationStartMs: 7 },
    }));
    expect(decodeHandedAdvice([{ stepKey: STEP_KEY, tickets: [], refused }])).toEqual([]);
  });
});

/** A step that needs advice waits for room while its owner hands over; counts the calls of the successor. */
function playHandover(waitedMs: number): { readonly askedCount: number; readonly isRun: boolean } {
  const world = new OwnerWorld({ seed: 1, targetCount: 6, faults: NO_FAULTS });
  world.takeOver();
  world.run(3_000);
  const capacity = [...world.targets.values()][0]?.entry.capacity ?? NO_DEMAND;
  world.submit(
    createSubmission(1, [
      { taskCount: 6, maxTasksPerTarget: 1, demand: capacity, estimateMs: 400 },
    ]),
  );
  world.run(50);
  world.submit(createSubmission(2, [{}], { advice: 'cheap' }));
  world.run(60);
  let askedCount = 0;
  world.onEffect = (epoch, effect) => {
    if (epoch === 2 && effect.kind === 'askAdvice') askedCount += 1;
  };
  world.handovers.request();
  world.run(waitedMs);
  expect(world.broken).toEqual([]);
  return { askedCount, isRun: world.getState(createSubmission(2, []).id) !== 'pending' };
}

// Each waiting step had to wait for a call of the new owner (SHORT).
test('a successor starts waiting tasks with the tickets of its predecessor', () => {
  expect(playHandover(1_500)).toEqual({ askedCount: 0, isRun: true });
});
