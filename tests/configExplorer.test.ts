/** Racing operators, lost answers and lost pushes: every interleaving, and one recorded session. */

import { readFileSync, writeFileSync } from 'node:fs';
import { Race } from './support/configRace';
import type { Action } from './support/configRace';
import { explore } from './support/explorer';

const DEPTH = Number(process.env.EXPLORE_DEPTH ?? 8);
const GOLDEN_FILE = 'tests/golden/config.golden.json';

test('racing changes take effect once, are answered truly and never go back', () => {
  const report = explore(() => new Race(), DEPTH);
  expect(report.violation).toBeUndefined();
  expect(report.stateCount).toBeGreaterThan(2_000);
});

/** The second change's write takes effect first; the first change's answer is then lost. */
const SESSION: readonly Action[] = [
  { kind: 'ask', index: 0 },
  { kind: 'ask', index: 1 },
  { kind: 'deliver', index: 0 },
  { kind: 'deliver', index: 0 },
  { kind: 'deliver', index: 1 },
  { kind: 'lose', index: 1 },
  { kind: 'deliver', index: 0 },
  { kind: 'tick', index: 0 },
  { kind: 'deliver', index: 0 },
  { kind: 'lose', index: 0 },
  { kind: 'tick', index: 0 },
  { kind: 'deliver', index: 0 },
  { kind: 'deliver', index: 0 },
  ...Array.from({ length: 4 }, () => ({ kind: 'tick', index: 1 }) as const),
];

test('a session of racing changes goes as recorded', () => {
  const race = new Race();
  race.session.length = 0;
  SESSION.forEach((action) => race.apply(action));
  const isOpen = () => race.getActions().some((action) => action.kind === 'deliver');
  while (isOpen()) race.apply({ kind: 'deliver', index: 0 });
  expect(race.findViolation()).toBeUndefined();
  if (process.env.ACCEPT_GOLDEN === '1') {
    writeFileSync(GOLDEN_FILE, `${JSON.stringify(race.session, null, 2)}\n`);
  }
  expect(race.session).toEqual(JSON.parse(readFileSync(GOLDEN_FILE, 'utf8')));
});
