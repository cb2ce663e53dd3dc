/** Order of the teams when the fleet is fully utilized. */

import fc from 'fast-check';
import { decodeShares, encodeShares, FairShare } from '../src/placement/fairShare';
import { TargetPool } from '../src/placement/targetPool';
import type { Target } from '../src/placement/types';
import { FairQueue } from '../src/requests/fairQueue';
import type { WaitingRequest } from '../src/requests/fairQueue';
import { toConfigVersion, toId } from '../src/types/ids';
import type { TeamId } from '../src/types/ids';
import { NO_RESOURCES } from '../src/types/resources';

const URGENCIES = ['urgent', 'normal', 'background'] as const;
const TEAM_IDS = ['a', 'b', 'c'].map((name) => toId<TeamId>(name));

const requestArbitrary = fc.record({
  team: fc.nat(2),
  urgency: fc.constantFrom(...URGENCIES),
  deadlineMs: fc.nat(1_000),
});

function createShares(capacitySlots: number): { pool: TargetPool; shares: FairShare } {
  const target: Target = {
    targetId: toId('t'),
    shardId: toId('s'),
    address: 't',
    dataCentreId: toId('d'),
    rack: 'r',
    capacity: { ...NO_RESOURCES, slots: capacitySlots, cpuMillis: 1_000 },
    isLeaving: false,
  };
  const pool = new TargetPool({
    getAllottedSlots: () => capacitySlots,
    recordShortage: () => undefined,
  });
  pool.updateTargets([target]);
  const shares = new FairShare(pool);
  const teams = TEAM_IDS.map((teamId, index) => ({
    teamId,
    shareWeight: index + 1,
    limitSlots: capacitySlots,
  }));
  shares.updateConfig(teams, toConfigVersion(1));
  return { pool, shares };
}

describe('fair share', () => {
  test('encodes a share in two characters and decodes it to the nearest step', () => {
    fc.assert(
      fc.property(fc.array(fc.double({ min: 0, max: 1, noNaN: true })), (shares) => {
        const text = encodeShares(shares);
        expect(text).toHaveLength(2 * shares.length);
        decodeShares(text).forEach((share, index) => {
          expect(Math.abs(share - (shares[index] as number))).toBeLessThan(1 / 8_000);
        });
      }),
      { seed: 2, numRuns: 500 },
    );
  });

  test('ranks teams by dominant share per weight, including usage reported by other schedulers', () => {
    const { pool, shares } = createShares(60);
    const [a, b, c] = TEAM_IDS as [TeamId, TeamId, TeamId];
    const target = pool.targets[0] as Target;
    pool.chargeUnchecked(target, a, { ...NO_RESOURCES, slots: 6 });
    pool.chargeUnchecked(target, b, { ...NO_RESOURCES, slots: 6, cpuMillis: 300 });
    expect(shares.getPriority(a)).toBeCloseTo(0.1);
    expect(shares.getPriority(b)).toBeCloseTo(0.15);
    expect(shares.getPriority(c)).toBe(0);
    const teamShares = encodeShares([0, 0, 0.9]);
    for (let tick = 0; tick < 200; tick += 1) {
      shares.updateReports([
        { configVersion: toConfigVersion(1), teamShares },
        { configVersion: toConfigVersion(2), teamShares: encodeShares([0.9, 0.9, 0.9]) },
      ]);
    }
    expect(shares.getPriority(c)).toBeCloseTo(0.3, 2);
    expect(shares.getPriority(a)).toBeCloseTo(0.1);
    expect(shares.getPriority(toId('unknown'))).toBe(Number.POSITIVE_INFINITY);
  });

  test('serves the team that currently ranks first among the most urgent waiting requests', () => {
    fc.assert(
      fc.property(
        fc.array(requestArbitrary, { maxLength: 30 }),
        fc.array(fc.record({ priorities: fc.tuple(fc.nat(3), fc.nat(3), fc.nat(3)) })),
        (requests, turns) => {
          let priorities: readonly number[] = [0, 0, 0];
          const getPriority = (teamId: TeamId) => priorities[TEAM_IDS.indexOf(teamId)] ?? 0;
          const queue = new FairQueue({ getPriority });
          const waiting = new Map<number, WaitingRequest>();
          requests.forEach(({ team, urgency, deadlineMs }, callId) => {
            const teamId = TEAM_IDS[team] as TeamId;
            const request = { callId, teamId, urgency, deadlineMs };
            queue.push(request);
            waiting.set(callId, request);
          });
          turns.forEach((turn) => {
            priorities = turn.priorities;
            const callId = queue.peek();
            if (callId === undefined) {
              expect(waiting.size).toBe(0);
              return;
            }
            const next = waiting.get(callId) as WaitingRequest;
            const rank = ({ urgency, teamId, deadlineMs }: WaitingRequest) =>
              URGENCIES.indexOf(urgency) * 1e6 + getPriority(teamId) * 1e4 + deadlineMs;
            waiting.forEach((other) => expect(rank(next)).toBeLessThanOrEqual(rank(other)));
            queue.remove(callId);
            waiting.delete(callId);
            expect(queue.size).toBe(waiting.size);
          });
        },
      ),
      { seed: 4, numRuns: 500 },
    );
  });
});
