/**
 * Compares the platform calls of two lease managers, from the first renewal through a takeover to
 * the restart of the killed process, with a golden file.
 */

import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { LeaseModel } from './support/leaseModel';

const GOLDEN_FILE = join(__dirname, 'golden', 'lease.golden.json');

function recordSession(): unknown {
  const model = new LeaseModel({
    processCount: 2,
    shardCount: 2,
    waitDurationsMs: [],
    actionKinds: [],
  });
  const session: unknown[] = [];
  model.onCall = (process, call, result) => {
    session.push({ atMs: model.nowMs, process, call, result });
  };
  model.settle(2);
  model.apply({ kind: 'kill', process: 0 });
  model.settle(2);
  model.apply({ kind: 'restart', process: 0 });
  model.settle(2);
  return JSON.parse(JSON.stringify(session));
}

describe('lease session', () => {
  test('of two members with a kill, a takeover and a restart matches the golden file', () => {
    const session = recordSession();
    if (process.env.ACCEPT_GOLDEN === '1') {
      writeFileSync(GOLDEN_FILE, `${JSON.stringify(session, undefined, 2)}\n`);
    }
    expect(session).toEqual(JSON.parse(readFileSync(GOLDEN_FILE, 'utf8')));
  });
});
