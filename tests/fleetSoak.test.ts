/** A short soak of real node processes, and its check. `npm run soak:fleet` plays longer ones. */

import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { build } from 'esbuild';
import { LostCheck } from '../bench/fleet/lostCheck';
import type { ObservedTask } from '../bench/fleet/lostCheck';
import { SoakRound } from '../bench/fleet/round';

const SEED = 1;
const SECONDS = 20;
const TEST_TIMEOUT_MS = 90_000;

const TASK: ObservedTask = {
  task: 'task',
  hasRun: false,
  placeCount: 2,
  isTeamBelowHalf: true,
};

/** Observes a task each 100 ms, from the moment of its last run on. */
function observe(
  durationMs: number,
  getTask: (atMs: number) => Partial<ObservedTask> = () => ({}),
  isCalm: (atMs: number) => boolean = () => true,
): LostCheck {
  const check = new LostCheck();
  for (let atMs = 0; atMs <= durationMs; atMs += 100)
    check.observe(atMs, isCalm(atMs), [{ ...TASK, hasRun: atMs === 0, ...getTask(atMs) }]);
  return check;
}

describe('the check of lasting tasks', () => {
  test('finds a task without a run for 3 s, from 6 s after its last one', () => {
    expect(observe(8_900).lost).toEqual([]);
    expect(observe(9_000).lost).toEqual([{ task: 'task', fromMs: 6_000, placeCount: 2 }]);
  });

  test.each<[string, (atMs: number) => Partial<ObservedTask>]>([
    ['has a run', (atMs) => ({ hasRun: atMs === 8_000 })],
    ['has room once only', () => ({ placeCount: 1 })],
    ['had no room for a moment', (atMs) => ({ placeCount: atMs === 8_000 ? 0 : 2 })],
    ['is of a team near its limit', () => ({ isTeamBelowHalf: false })],
  ])('does not find one that %s', (_name, getTask) => {
    expect(observe(10_900, getTask).lost).toEqual([]);
  });

  test('counts only from 4 s after an impairment', () => {
    const isCalm = (atMs: number) => atMs > 5_000;
    expect(observe(11_900, undefined, isCalm).lost).toEqual([]);
    expect(observe(12_000, undefined, isCalm).lost).toHaveLength(1);
  });
});

describe('real node processes', () => {
  let directory: string;

  beforeAll(async () => {
    directory = mkdtempSync(join(tmpdir(), 'hemlockway-soak-build-'));
    await build({
      ...{ entryPoints: ['platform/main.ts'], outfile: join(directory, 'node.js') },
      ...{ bundle: true, platform: 'node', target: 'node20', format: 'cjs', logLevel: 'warning' },
      external: ['dtrace-provider', 'mv', 'safe-json-stringify'],
    });
  });

  afterAll(() => rmSync(directory, { recursive: true, force: true }));

  test(
    'start lasting tasks again after their targets have crashed',
    async () => {
      const report = await new SoakRound({
        ...{ seed: SEED, seconds: SECONDS, program: join(directory, 'node.js') },
        ...{ nodeCount: 3, targetCount: 16, load: 0.5, storeDelayMs: 0 },
      }).run();
      expect(report.lost).toEqual([]);
      expect(report.exitCount).toBe(0);
      expect(report.lastingTaskCount).toBeGreaterThan(10);
      expect(report.events.join()).toContain('targets crash');
    },
    TEST_TIMEOUT_MS,
  );
});
