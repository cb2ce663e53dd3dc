/** Tests which placements an owner starts, which statuses it reports, and when it considers a run ended. */

import { TargetPool } from '../src/placement/targetPool';
import type { Target } from '../src/placement/types';
import { TargetLeaseTracker } from '../src/jobs/targetLeaseTracker';
import type { TaskEffect } from '../src/jobs/taskCalls';
import { TaskRunner } from '../src/jobs/taskRunner';
import type { TaskCommand } from '../src/jobs/types';
import type { StartGuard } from '../src/requests/types';
import type { TargetReport } from '../src/target/types';
import { toEpoch, toId } from '../src/types/ids';
import type { ShardId } from '../src/types/ids';
import { TargetModel } from '../standins/targetModel';

const SHARD = toId<ShardId>('targets.delft.0');
const EPOCH = toEpoch(5);
const CAPACITY = { cpuMillis: 2_000, memoryMb: 2_000, accelerators: 0, slots: 2, connections: 2 };
const TARGET: Target = {
  targetId: toId('t1'),
  shardId: SHARD,
  address: 't1',
  dataCentreId: toId('delft'),
  rack: 'r1',
  capacity: CAPACITY,
  isLeaving: false,
};
const PERMIT = { epoch: EPOCH, untilMs: Number.MAX_SAFE_INTEGER };

function createCommand(
  kind: 'start' | 'reserve',
  taskId: string,
  epoch = EPOCH,
  attempt = 1,
): TaskCommand {
  const start = {
    taskId,
    jobId: 'job',
    placement: { attempt, shardId: SHARD, epoch },
    teamId: 'team',
    queueId: 'queue',
    serviceName: '',
    demand: { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 0, slots: 1, connections: 0 },
    runMs: 1_000,
    resumeFraction: 0,
  };
  return { kind, start } as unknown as TaskCommand;
}

/** Creates a runner with one target of two slots whose calls complete immediately. */
function createRunner() {
  const pool = new TargetPool({ getAllottedSlots: () => 100 } as never);
  pool.updateTargets([TARGET]);
  const guard: StartGuard = {
    tryGetPermit: () => PERMIT,
    tryGetOwnerPermit: () => PERMIT,
    getCandidates: () => [TARGET],
    getReplicas: () => [],
  };
  const leaseTracker = new TargetLeaseTracker();
  leaseTracker.syncShards(new Map([[SHARD, EPOCH]]), 0);
  const runner = new TaskRunner(pool, guard, { tryGetEpoch: () => EPOCH }, leaseTracker);
  const model = new TargetModel(CAPACITY);
  const perform = (nowMs: number, effects: readonly TaskEffect[]): readonly TaskEffect[] =>
    effects.flatMap((effect) => {
      if (effect.kind !== 'callTarget') return [effect];
      const result = model.perform(effect.call as never, nowMs);
      return perform(nowMs, runner.applyTargetResult(nowMs, effect.origin, result));
    });
  const send = (nowMs: number, command: TaskCommand) =>
    perform(nowMs, runner.handleCommand(nowMs, command)).map((effect) =>
      effect.kind === 'tellHome' ? effect.news.state : 'call',
    );
  const report = (nowMs: number) => {
    const token = { shardId: SHARD, epoch: EPOCH };
    const result = model.perform({ kind: 'report', token }, nowMs);
    const content = (result as unknown as { readonly report: TargetReport }).report;
    const effects = runner.applyReport(nowMs, TARGET, PERMIT, content, nowMs);
    return perform(nowMs, effects).map((effect) =>
      effect.kind === 'tellHome' ? effect.news.state : 'call',
    );
  };
  return { runner, model, send, report };
}

describe('TaskRunner', () => {
  test('a refused placement never starts, even after capacity becomes free', () => {
    const { send, report, model } = createRunner();
    expect(send(0, createCommand('start', 'a'))).toEqual(['running']);
    expect(send(0, createCommand('start', 'b'))).toEqual(['running']);
    expect(send(0, createCommand('start', 'c'))).toEqual(['refused']);
    expect(report(2_000)).toEqual(['finished', 'finished']);
    expect(send(2_100, createCommand('start', 'c'))).toEqual(['absent']);
    expect(send(2_200, createCommand('start', 'c', EPOCH, 2))).toEqual(['running']);
    expect(model.startedCount).toBe(3);
  });

  test('a placement of another epoch is never started', () => {
    const { send, model } = createRunner();
    expect(send(0, createCommand('start', 'a', toEpoch(4)))).toEqual([]);
    expect(send(0, createCommand('start', 'a', toEpoch(6)))).toEqual([]);
    expect(model.startedCount).toBe(0);
  });

  test('the end of a finished task is not lost when a stop arrives after it', () => {
    const { send, report } = createRunner();
    send(0, createCommand('start', 'a'));
    const placement = { attempt: 1, shardId: SHARD, epoch: EPOCH };
    const stop = {
      kind: 'stop',
      taskId: 'a',
      jobId: 'job',
      placement,
      isResumed: false,
    } as unknown as TaskCommand;
    expect(send(1_500, stop)).toEqual([]);
    expect(report(1_600)).toEqual(['finished']);
  });

  test('a run that finished while its owner was paused is not considered lost', () => {
    const { send, report, runner } = createRunner();
    send(0, createCommand('start', 'a'));
    expect(runner.tick(19_000)).toEqual([]);
    expect(runner.tick(24_000)).toEqual([]);
    expect(report(24_100)).toEqual(['finished']);
  });

  test('a run on a target that stops reporting ends after its lease expires', () => {
    const { send, runner } = createRunner();
    send(0, createCommand('start', 'a'));
    expect(runner.tick(19_000)).toEqual([]);
    expect(runner.tick(20_500)).toEqual([]);
    expect(runner.tick(22_000)).toMatchObject([{ kind: 'tellHome', news: { state: 'stopped' } }]);
  });

  test('a reservation holds capacity, starts no task, and expires', () => {
    const { send, runner, model } = createRunner();
    expect(send(0, createCommand('reserve', 'a'))).toEqual(['reserved']);
    expect(send(0, createCommand('reserve', 'b'))).toEqual(['reserved']);
    expect(send(0, createCommand('start', 'c'))).toEqual(['refused']);
    expect(model.startedCount).toBe(0);
    runner.tick(3_000);
    expect(send(3_000, createCommand('start', 'a'))).toEqual(['running']);
    runner.tick(10_000);
    expect(send(10_000, createCommand('start', 'b'))).toEqual(['absent']);
    expect(send(10_000, createCommand('start', 'c', EPOCH, 2))).toEqual(['running']);
  });
});
