/** Compares a session of the escrow ledger and the target budgets with its golden file. */

import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { EscrowLedger } from '../src/escrow/escrowLedger';
import type { EscrowContext, EscrowEffect } from '../src/escrow/types';
import { TargetPool } from '../src/placement/targetPool';
import type { Charge, Target } from '../src/placement/types';
import { toId } from '../src/types/ids';
import type { ShardId, TargetId, TeamId } from '../src/types/ids';
import { NO_RESOURCES } from '../src/types/resources';
import { FakePlatform } from '../standins/fakePlatform';

const GOLDEN = join(__dirname, 'golden', 'capacity.golden.json');
const TEAM: TeamId = toId('team');
const SHARD: ShardId = toId('targets.delft.0');
const TARGET_ID: TargetId = toId('vm-1');
const DEMAND = { ...NO_RESOURCES, cpuMillis: 1_000, slots: 1 };

function runSession(): readonly unknown[] {
  const lines: unknown[] = [];
  const store = new FakePlatform();
  const ledger = new EscrowLedger();
  const pool = new TargetPool(ledger);
  const target: Target = {
    targetId: TARGET_ID,
    shardId: SHARD,
    address: 'vm-1:1',
    dataCentreId: toId('delft'),
    rack: 'r',
    capacity: { ...NO_RESOURCES, cpuMillis: 5_000, slots: 8 },
    isLeaving: false,
  };
  pool.updateTargets([target]);
  const context: EscrowContext = {
    memberId: toId('s0#1'),
    shardCount: 4,
    getUsedSlots: (shardId, teamId) => pool.getTeamSlots(shardId, teamId),
    getTeamsInUse: (shardId) => pool.getTeamsInUse(shardId),
    tryGetLeaseCheck: () => ({ key: 'shard/targets.delft.0', version: 0 }),
  };
  const perform = (nowMs: number, effects: readonly EscrowEffect[]) => {
    effects.forEach((effect) => {
      lines.push({ nowMs, effect });
      if (effect.kind !== 'callPlatform') return;
      const result = store.perform(effect.call, nowMs);
      lines.push({ nowMs, result });
      perform(nowMs, ledger.applyResult(nowMs, effect.origin, result, context));
    });
  };
  const charges: Charge[] = [];
  const start = (nowMs: number, count: number) => {
    for (let attempt = 0; attempt < count; attempt += 1) {
      const result = pool.tryCharge(TARGET_ID, TEAM, DEMAND);
      lines.push({ nowMs, start: result.kind });
      if (result.kind === 'charged') charges.push(result.charge);
    }
  };
  const setLimit = (nowMs: number, limitSlots: number) => {
    lines.push({ nowMs, limitSlots });
    ledger.updateTeams([{ teamId: TEAM, shareWeight: 1, limitSlots }]);
  };
  setLimit(0, 8);
  ledger.addShard(SHARD);
  start(0, 1);
  perform(100, ledger.tick(100, context));
  start(200, 4);
  // The response to the transaction that raises the allotment is lost.
  store.setFaults({ loseAnswerCount: 1 });
  perform(1_500, ledger.tick(1_500, context));
  start(1_600, 2);
  perform(3_000, ledger.tick(3_000, context));
  start(3_100, 4);
  // A lowered limit applies to new starts immediately; excess work is stopped after the grace period.
  setLimit(4_000, 2);
  start(4_000, 1);
  perform(4_100, ledger.tick(4_100, context));
  store.setFaults({ isDown: true });
  perform(6_200, ledger.tick(6_200, context));
  perform(7_000, ledger.tick(7_000, context));
  charges.splice(0, 4).forEach((charge) => pool.release(charge));
  start(7_100, 2);
  return lines;
}

test('the session matches the golden file', () => {
  const session: unknown = JSON.parse(JSON.stringify(runSession()));
  if (process.env.ACCEPT_GOLDEN === '1') {
    writeFileSync(GOLDEN, `${JSON.stringify(session, undefined, 2)}\n`);
  }
  expect(session).toEqual(JSON.parse(readFileSync(GOLDEN, 'utf8')));
});
