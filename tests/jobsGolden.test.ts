/** Compares a session of jobs, from submission through a crash of their home to completion, with a golden file. */

import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { SchedulerEffect } from '../src/scheduler/types';
import { createSpec, JobWorld } from './support/jobWorld';

const GOLDEN_FILE = join(__dirname, 'golden', 'jobs.golden.json');

/** Selects effects that concern jobs: journal writes, calls between homes and owners, and calls to targets. */
function isJobEffect(effect: SchedulerEffect): boolean {
  switch (effect.kind) {
    case 'callPlatform':
      return effect.origin.kind === 'journalWrite';
    case 'callPeer':
      return effect.call.kind === 'askTasks' || effect.call.kind === 'tellTasks';
    case 'callTarget':
      return ['startTask', 'stop', 'acknowledge'].includes(effect.call.kind);
    default:
      return false;
  }
}

function recordSession(): unknown {
  const jobs = new JobWorld(4);
  const { world } = jobs;
  const session: unknown[] = [];
  world.onEvent = (process, _, effects) => {
    effects.filter(isJobEffect).forEach((effect) => {
      session.push({ atMs: Math.round(world.nowMs), process: process.index, effect });
    });
  };
  jobs.submit(createSpec('plan', { kind: 'batch', taskCount: 2 }, { expectedRunMs: 3_000 }));
  jobs.submit(createSpec('gang', { kind: 'gang', taskCount: 3 }, { expectedRunMs: 3_000 }));
  world.runFor(2_000);
  const home = jobs.getHomeIndex('gang') ?? 0;
  world.kill(home);
  world.runFor(8_000);
  world.restart(home);
  world.runFor(8_000);
  expect(jobs.violations).toEqual([]);
  expect(jobs.query('plan')).toMatchObject({ phase: 'finished' });
  expect(jobs.query('gang')).toMatchObject({ phase: 'finished' });
  return JSON.parse(JSON.stringify(session));
}

describe('job session', () => {
  test('of a batch job and a gang whose home crashes matches the golden file', () => {
    const session = recordSession();
    if (process.env.ACCEPT_GOLDEN === '1') {
      writeFileSync(GOLDEN_FILE, `${JSON.stringify(session, undefined, 2)}\n`);
    }
    expect(session).toEqual(JSON.parse(readFileSync(GOLDEN_FILE, 'utf8')));
  });
});
