/**
 * Guards against a planned handover that costs as much as a failure: the leaving owner knows which targets are silent,
 * also those that have just fallen silent, and what they can hold.
 */

import { createHandovers, LossHistory } from './support/takeoverHistories';
import type { Loss } from './support/takeoverHistories';

/** Each successor reads the rows, asks the targets and asks for advice before it starts a task. */
const ALLOWANCE_PER_TAKEOVER_MS = 300;

/** Planning passes without a preceding change are this far apart. */
const PLANNING_PASS_MS = 200;

/** A target's polls are pending for different times at its loss. */
const PHASE_STEP_MS = 67;

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];

/** How long before the handover the target has fallen silent. */
const SILENT_FOR_MS = [0, 40, 100, 200, 400, 600, 800, 1_000];

/** Planned handovers 2 s apart, as entry Vms are restarted one after another. */
const SERIES_MS: readonly (readonly number[])[] = [
  [0, 2_000, 4_000, 6_000, 8_000],
  [300, 2_300, 4_300, 6_300, 8_300],
  [800, 2_800, 4_800, 6_800, 8_800],
];

const KINDS: readonly Loss['kind'][] = ['crash', 'cut'];

/** Plays the same loss without and with handovers; returns what is wrong. */
function findViolations(loss: Loss, allTimesMs: readonly (readonly number[])[]): string[] {
  const undisturbed = new LossHistory(loss).play([]);
  return allTimesMs.flatMap((timesMs) => {
    const { idleMs, broken } = new LossHistory(loss).play(createHandovers(timesMs));
    const limitMs =
      undisturbed.idleMs + timesMs.length * ALLOWANCE_PER_TAKEOVER_MS + PLANNING_PASS_MS;
    const name = `seed ${loss.seed}, ${loss.kind}, [${timesMs.join(', ')}]`;
    const lost = `${name}: LOST for ${idleMs} ms instead of ${limitMs} ms`;
    return [...broken.map((line) => `${name}: ${line}`), ...(idleMs > limitMs ? [lost] : [])];
  });
}

function createLoss(seed: number, kind: Loss['kind']): Loss {
  const phaseMs = seed * PHASE_STEP_MS;
  return { seed, kind, lostWork: 'run', haveRestarted: false, phaseMs };
}

// The successor waited 7.5 s from its own takeover for a target that had been silent for less than a second (LOST).
test.each(KINDS)(
  'a planned handover right after a target has fallen silent adds nothing to the wait for it (%s)',
  (kind) => {
    const timesMs = SILENT_FOR_MS.map((atMs) => [atMs]);
    const violations = SEEDS.flatMap((seed) => findViolations(createLoss(seed, kind), timesMs));
    expect(violations).toEqual([]);
  },
);

test.each(KINDS)(
  'planned handovers 2 s apart add nothing to the wait for a silent target (%s)',
  (kind) => {
    const violations = SEEDS.flatMap((seed) => findViolations(createLoss(seed, kind), SERIES_MS));
    expect(violations).toEqual([]);
  },
);
