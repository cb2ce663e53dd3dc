/**
 * Configuration under faults: freshness during platform outages, changes with lost responses and
 * races, targets that leave, and data centres that return to service.
 */

import { ConfigHolder } from '../src/config/configHolder';
import { EMPTY_CONFIG } from '../src/config/types';
import type { ConfigChange, TeamKey } from '../src/config/types';
import type { RequestStart } from '../src/rpc/types';
import { toConfigVersion, toId } from '../src/types/ids';
import { getDigest } from '../src/config/keys';
import { RAMP_UP_STEP_COUNT, RAMP_UP_STEP_INTERVAL_MS } from '../src/scheduler/dataCentreRampUp';
import { ConfigWorld, createConfigSheet } from './support/configWorld';

const TEN_MINUTES_MS = 600_000;
const WITHDRAW: ConfigChange = { kind: 'withdrawKey', keyId: toId('key-team-a') };
const CLOSE_DELFT: ConfigChange = {
  kind: 'setDataCentre',
  dataCentreId: toId('delft'),
  inService: false,
};
const OPEN_DELFT: ConfigChange = { ...CLOSE_DELFT, inService: true };

function getFreshnessMs(config: ConfigWorld): readonly number[] {
  return config.world.processes
    .filter((process) => !process.isDown)
    .map((process) => process.core.dump(config.world.nowMs).configFreshForMs);
}

function isFresh(config: ConfigWorld): boolean {
  return getFreshnessMs(config).every((freshForMs) => freshForMs > 0);
}

function getOutcomes(config: ConfigWorld): readonly string[] {
  return config.outcomes.map((outcome) =>
    outcome.kind === 'ok' ? `version ${outcome.value.version}` : outcome.diagnostic.name,
  );
}

describe('a platform outage', () => {
  test('of ten minutes does not stop admission, even after a process is killed', () => {
    const config = new ConfigWorld(1);
    config.world.store.setFaults({ isDown: true });
    for (let passedMs = 0; passedMs < TEN_MINUTES_MS; passedMs += 500) {
      config.world.runFor(500);
      if (passedMs === 60_000) config.world.kill(1);
      expect(isFresh(config)).toBe(true);
    }
  });

  test('stops admission within 6 s if a registered process is unreachable', () => {
    const config = new ConfigWorld(2);
    config.world.store.setFaults({ isDown: true });
    config.world.runFor(20_000);
    config.world.setPeerPartition(0, 2, true);
    config.world.setPeerPartition(1, 2, true);
    config.world.runFor(6_000);
    expect(getFreshnessMs(config).every((freshForMs) => freshForMs <= 0)).toBe(true);
    config.world.setPeerPartition(0, 2, false);
    config.world.setPeerPartition(1, 2, false);
    config.world.runFor(2_500);
    expect(isFresh(config)).toBe(true);
  });

  test('makes a restarted process fetch the newest version from peers before admission', () => {
    const config = new ConfigWorld(3);
    config.change(0, WITHDRAW);
    config.world.runFor(2_000);
    config.world.store.setFaults({ isDown: true });
    config.world.restart(2);
    const dump = () => config.world.processes[2]?.core.dump(config.world.nowMs);
    expect(dump()?.configFreshForMs).toBe(Number.NEGATIVE_INFINITY);
    config.world.runFor(4_000);
    expect(dump()).toMatchObject({ configVersion: 2 });
    expect(isFresh(config)).toBe(true);
  });

  test('that affects one process is compensated by its peers', () => {
    const config = new ConfigWorld(4);
    config.world.setPlatformPartition(1, true);
    config.world.runFor(30_000);
    expect(isFresh(config)).toBe(true);
    config.change(0, WITHDRAW);
    config.world.runFor(2_000);
    expect(config.world.processes[1]?.core.dump(config.world.nowMs).configVersion).toBe(2);
  });

  test('leaves a paused process without admission when it resumes', () => {
    const config = new ConfigWorld(5);
    config.world.pause(1, 20_000);
    config.world.runFor(10_000);
    config.change(0, WITHDRAW);
    config.world.runFor(9_990);
    const paused = config.world.processes[1];
    expect(paused?.core.dump(config.world.nowMs).configVersion).toBe(1);
    expect(paused?.core.dump(config.world.nowMs).configFreshForMs).toBeLessThan(0);
    config.runFor(10_000);
    expect(config.violations).toEqual([]);
  });
});

describe('a change', () => {
  test('whose response was lost is committed once and reported with its version', () => {
    const config = new ConfigWorld(6);
    for (let attempt = 0; attempt < 6; attempt += 1) {
      config.world.store.setFaults({ loseAnswerCount: 3 });
      config.change(attempt % 3, attempt % 2 === 0 ? CLOSE_DELFT : OPEN_DELFT);
      config.world.runFor(5_000);
    }
    expect(getOutcomes(config)).toEqual(
      [1, 2, 3, 4, 5, 6, 7].map((version) => `version ${version}`),
    );
    expect(config.getVersions().map((version) => version.version)).toEqual([1, 2, 3, 4, 5, 6, 7]);
  });

  test('retried with its id through another process takes effect once with the same result', () => {
    const config = new ConfigWorld(7);
    config.change(0, WITHDRAW, 'withdraw-1');
    config.change(1, WITHDRAW, 'withdraw-1');
    config.world.runFor(3_000);
    config.change(2, WITHDRAW, 'withdraw-1');
    config.world.runFor(3_000);
    expect(getOutcomes(config)).toEqual(['version 1', 'version 2', 'version 2', 'version 2']);
  });

  test('by command commutes with another one; a concurrent sheet is refused with a diff', () => {
    const config = new ConfigWorld(8);
    config.change(0, WITHDRAW);
    config.change(1, CLOSE_DELFT);
    const basedOnVersion = toConfigVersion(1);
    config.world.runFor(2_000);
    config.change(2, { kind: 'applySheet', basedOnVersion, sheet: createConfigSheet() });
    config.world.runFor(2_000);
    expect(getOutcomes(config).slice(1, 3).sort()).toEqual(['version 2', 'version 3']);
    const last = config.outcomes.at(-1);
    expect(last).toMatchObject({ kind: 'error', diagnostic: { name: 'configConflict' } });
    expect(JSON.stringify(last)).toContain('- keys/key-team-a, ~ dataCentres/delft (inService)');
  });

  test('by command is not undone by an older sheet, which the report states', () => {
    const config = new ConfigWorld(9);
    const secretDigest = getDigest('new');
    const key: TeamKey = { keyId: toId('key-new'), teamId: toId('team-b'), secretDigest };
    config.change(0, WITHDRAW);
    config.change(0, { kind: 'grantKey', key });
    config.change(0, CLOSE_DELFT);
    config.world.runFor(2_000);
    const basedOnVersion = toConfigVersion(4);
    config.change(1, { kind: 'applySheet', basedOnVersion, sheet: createConfigSheet() });
    config.world.runFor(2_000);
    expect(config.outcomes.at(-1)).toMatchObject({
      value: {
        version: 5,
        ignoredKeyIds: ['key-team-a'],
        keptKeyIds: ['key-new'],
        droppedKeyIds: [],
        stillOutDataCentreIds: ['delft'],
      },
    });
    const keys = config.getVersions().at(-1)?.sheet.keys ?? [];
    expect(keys.map((known) => known.keyId)).toEqual(['key-team-b', 'key-new']);
  });

  test('is active everywhere within 2 s, and within 9 s if a process is paused or cut off', () => {
    const getVersions = (config: ConfigWorld) =>
      config.world.processes.map((process) => process.core.dump(config.world.nowMs).configVersion);
    const unimpaired = new ConfigWorld(10, 6);
    unimpaired.change(0, WITHDRAW);
    unimpaired.world.runFor(2_000);
    expect(getVersions(unimpaired)).toEqual([2, 2, 2, 2, 2, 2]);
    const paused = new ConfigWorld(11, 6);
    paused.world.pause(3, 8_500);
    paused.change(0, WITHDRAW);
    paused.world.runFor(9_000);
    expect(getVersions(paused)).toEqual([2, 2, 2, 2, 2, 2]);
    expect(paused.outcomes.at(-1)).toMatchObject({ value: { unreachedProcessIds: ['s3#0'] } });
    const partitioned = new ConfigWorld(12, 6);
    partitioned.world.setPeerPartition(0, 3, true);
    partitioned.world.setPlatformPartition(3, true);
    partitioned.change(0, WITHDRAW);
    partitioned.world.runFor(9_000);
    expect(getVersions(partitioned)).toEqual([2, 2, 2, 2, 2, 2]);
  });

  test('reaches a process partitioned from all others through the platform', () => {
    const config = new ConfigWorld(17);
    config.world.setPeerPartition(2, 0, true);
    config.world.setPeerPartition(2, 1, true);
    config.change(0, WITHDRAW);
    config.world.runFor(2_000);
    const dump = config.world.processes[2]?.core.dump(config.world.nowMs);
    expect(dump?.configVersion).toBe(2);
    expect(dump?.configFreshForMs).toBeGreaterThan(0);
  });

  test('is refused by a process that has not met every registered process', () => {
    const config = new ConfigWorld(13);
    config.world.setPeerPartition(0, 1, true);
    config.world.restart(0);
    config.world.runFor(4_000);
    config.change(0, WITHDRAW);
    config.world.runFor(5_000);
    const last = config.outcomes.at(-1);
    expect(last).toMatchObject({ kind: 'error', diagnostic: { name: 'configRefused' } });
    expect(JSON.stringify(last)).toContain('s1#0');
  });
});

test('a waiting request is refused if its key is withdrawn meanwhile', () => {
  const config = new ConfigWorld(16);
  const { world } = config;
  const send = (requestId: string, serviceMs: string, onReply: (value: unknown) => void) => {
    const owner = world.processes.findIndex(({ core }) =>
      core.dump(world.nowMs).ownedShards.some(({ shardId }) => shardId.startsWith('targets')),
    );
    const call: RequestStart = {
      kind: 'startRequest',
      requestId: toId(requestId),
      cancelId: requestId,
      teamId: toId('team-a'),
      keyId: toId('key-team-a'),
      queueId: toId('open'),
      serviceName: '',
      isIdempotent: true,
      windowRemainingMs: 20_000,
      contentType: 'text/plain',
      bodyBase64: Buffer.from(serviceMs).toString('base64'),
    };
    world.call(owner, call, onReply);
  };
  for (let count = 0; count < 48; count += 1) send(`filler-${count}`, '5000', () => undefined);
  world.runFor(500);
  const outcomes: unknown[] = [];
  send('waiting', '10', (value) => outcomes.push(value));
  world.runFor(500);
  expect(outcomes).toEqual([]);
  config.change(0, WITHDRAW);
  world.runFor(2_000);
  expect(outcomes).toEqual([{ kind: 'refusedNotRun', reason: 'unauthorized' }]);
});

test('a confirmation from before the start of the process is ignored', () => {
  const holder = new ConfigHolder();
  holder.setStartTime(10_000);
  holder.tryAdopt({ ...EMPTY_CONFIG, version: toConfigVersion(3) });
  holder.confirm(9_999);
  expect(holder.getFreshUntilMs()).toBe(Number.NEGATIVE_INFINITY);
  holder.confirm(10_000);
  expect(holder.getFreshUntilMs()).toBe(16_000);
});

describe('targets', () => {
  test('that report that they are leaving get no new work while the VM list is stale', () => {
    const config = new ConfigWorld(14);
    const address = 'target-rotterdam-1';
    config.runFor(3_000);
    expect(config.world.requestRuns.some((run) => run.address === address)).toBe(true);
    config.world.targets.get(address)?.setFaults({ isLeaving: true });
    const leavingMs = config.world.nowMs;
    config.runFor(12_000);
    const lateRuns = config.world.requestRuns.filter((run) => run.atMs > leavingMs + 5_500);
    expect(lateRuns.length).toBeGreaterThan(50);
    expect(lateRuns.filter((run) => run.address === address)).toEqual([]);
  });

  test('of a data centre that returns to service are enabled in steps', () => {
    const config = new ConfigWorld(15);
    config.change(0, CLOSE_DELFT);
    config.runFor(9_000);
    config.change(0, OPEN_DELFT);
    const returnedMs = config.world.nowMs;
    config.runFor(RAMP_UP_STEP_COUNT * RAMP_UP_STEP_INTERVAL_MS + 2_000);
    const steps = ['target-delft-0', 'target-delft-1', 'target-delft-2'].map((address) => {
      const run = config.world.requestRuns.find(
        (known) => known.atMs > returnedMs && known.address === address,
      );
      return Math.floor(((run?.atMs ?? 0) - returnedMs) / RAMP_UP_STEP_INTERVAL_MS);
    });
    // The hash of a target's id determines its step; callers send requests every 400 ms.
    [7, 2, 7].forEach((step, index) => {
      expect(steps[index]).toBeGreaterThanOrEqual(step);
      expect(steps[index]).toBeLessThanOrEqual(step + 2);
    });
    expect(config.violations).toEqual([]);
  });
});
