/**
 * Concurrent changes with lost responses and lost announcements: all interleavings up to a depth,
 * and one recorded session.
 */

import { readFileSync, writeFileSync } from 'node:fs';
import { ConfigRaceModel } from './support/configRaceModel';
import type { RaceAction } from './support/configRaceModel';
import { explore } from './support/explorer';

const DEPTH = Number(process.env.EXPLORE_DEPTH ?? 8);
const GOLDEN_FILE = 'tests/golden/config.golden.json';

test('concurrent changes take effect once, are reported correctly and never lower a version', () => {
  const report = explore(() => new ConfigRaceModel(), DEPTH);
  expect(report.violation).toBeUndefined();
  expect(report.stateCount).toBeGreaterThan(2_000);
});

/** The second change is committed first; then the response to the first one's write is lost. */
const SESSION: readonly RaceAction[] = [
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

test('a session of concurrent changes matches the recording', () => {
  const race = new ConfigRaceModel();
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
