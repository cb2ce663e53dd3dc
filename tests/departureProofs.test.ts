/** Guards against a silence that is taken for a departure, and against a departure that is taken for a silence. */

import { DEFAULT_REGISTRY_LAPSE_MS } from '../src/owner/constants';
import { Departures } from '../src/owner/departures';
import { OwnerState } from '../src/owner/ownerState';
import type { TargetState } from '../src/owner/targetState';
import { toEpoch } from '../src/types/ids';
import { createTarget } from './support/ownerParts';

const NO_RECORD = { isComplete: true, targets: [], malformed: [] };

const START_MS = 100_000;

/** Age of the last entry of a target that leaves; targets renew their entries three times before these lapse. */
const BEAT_MS = DEFAULT_REGISTRY_LAPSE_MS / 3;

/** An owner's view of the registry and of targets that drain. */
class Scenario {
  readonly state: OwnerState;

  readonly departures: Departures;

  #suspendedMs = 0;

  constructor(registryLapseMs = DEFAULT_REGISTRY_LAPSE_MS) {
    this.state = new OwnerState(toEpoch(1), 10_000, NO_RECORD, registryLapseMs);
    this.departures = new Departures(this.state);
    this.runUntil(START_MS);
  }

  /** Advances the clocks to a time of the steady clock. */
  runUntil(steadyMs: number): void {
    const nowMs = steadyMs + this.#suspendedMs;
    this.state.setClocks({ nowMs, wallMs: nowMs, steadyMs });
  }

  /** The process is suspended, which the steady clock does not count. */
  suspend(durationMs: number): void {
    this.#suspendedMs += durationMs;
    this.runUntil(this.state.steadyMs);
  }

  /** Adds a target whose latest entry has just been written, and which has answered so far. */
  addTarget(number: number, isDraining = true): TargetState {
    const target = createTarget(number, { isDraining });
    target.isContacted = true;
    target.isRegistered = true;
    target.ownEntries.add(isDraining, this.state.steadyMs);
    target.ownEntries.add(isDraining, this.state.steadyMs);
    this.state.addTarget(target);
    return target;
  }

  remove(removed: TargetState): void {
    const target = removed;
    target.isRegistered = false;
    this.departures.onRemoved(target);
  }

  get departedIds(): readonly string[] {
    return this.departures.takeDeparted().map(({ id }) => id);
  }
}

function createLeft(scenario: Scenario, ageMs = BEAT_MS): TargetState {
  const target = scenario.addTarget(1);
  scenario.runUntil(START_MS + ageMs);
  target.isResponding = false;
  scenario.remove(target);
  return target;
}

test('a draining target whose entry goes sooner than silence could remove it has left', () => {
  const scenario = new Scenario();
  const { id } = createLeft(scenario);
  expect(scenario.departedIds).toEqual([id]);
  expect(scenario.departedIds).toEqual([]);
});

test('a target that still answers when its removal is read has left once it falls silent', () => {
  const scenario = new Scenario();
  const target = scenario.addTarget(1);
  scenario.runUntil(START_MS + BEAT_MS);
  scenario.remove(target);
  expect(scenario.departedIds).toEqual([]);
  target.isResponding = false;
  expect(scenario.departedIds).toEqual([target.id]);
});

test('a draining target is not taken for gone when its entry may have lapsed', () => {
  const scenario = new Scenario();
  createLeft(scenario, DEFAULT_REGISTRY_LAPSE_MS);
  expect(scenario.departedIds).toEqual([]);
});

test('a target that does not drain is not taken for gone', () => {
  const scenario = new Scenario();
  const target = scenario.addTarget(1, false);
  scenario.runUntil(START_MS + BEAT_MS);
  target.isResponding = false;
  scenario.remove(target);
  expect(scenario.departedIds).toEqual([]);
});

test('a target is not taken for gone when it is not known when its entry was written', () => {
  const scenario = new Scenario();
  const target = scenario.addTarget(1);
  target.ownEntries.clear();
  target.isResponding = false;
  scenario.remove(target);
  expect(scenario.departedIds).toEqual([]);
});

test('a target is not taken for gone where it is not known when the registry drops silent ones', () => {
  const scenario = new Scenario(0);
  createLeft(scenario, 0);
  expect(scenario.departedIds).toEqual([]);
});

test('a target is not taken for gone after a suspension in which its entry may have lapsed', () => {
  const scenario = new Scenario();
  const target = scenario.addTarget(1);
  scenario.runUntil(START_MS + 100);
  scenario.suspend(DEFAULT_REGISTRY_LAPSE_MS);
  scenario.runUntil(START_MS + 200);
  target.isResponding = false;
  scenario.remove(target);
  expect(scenario.departedIds).toEqual([]);
});

test('a suspension before the last entry does not hide a departure', () => {
  const scenario = new Scenario();
  scenario.suspend(DEFAULT_REGISTRY_LAPSE_MS);
  scenario.runUntil(START_MS + 1);
  const target = scenario.addTarget(1);
  scenario.runUntil(START_MS + BEAT_MS);
  target.isResponding = false;
  scenario.remove(target);
  expect(scenario.departedIds).toEqual([target.id]);
});

test.each([
  ['before', true],
  ['after', false],
])('a removal proves nothing when a live target is dropped right %s it', (_when, isBefore) => {
  const scenario = new Scenario();
  const alive = scenario.addTarget(2, false);
  const target = scenario.addTarget(1);
  scenario.runUntil(START_MS + BEAT_MS);
  target.isResponding = false;
  if (isBefore) scenario.remove(alive);
  scenario.remove(target);
  if (!isBefore) scenario.remove(alive);
  expect(scenario.departedIds).toEqual([]);
});

test('a target that registers again has not left', () => {
  const scenario = new Scenario();
  const target = scenario.addTarget(1);
  scenario.runUntil(START_MS + BEAT_MS);
  scenario.remove(target);
  target.setEntry({ ...target.entry, revision: 1 });
  target.isResponding = false;
  expect(scenario.departedIds).toEqual([]);
  expect(target.leftAtMs).toBeUndefined();
});

test('a target that has been replaced by another incarnation is not reported', () => {
  const scenario = new Scenario();
  const target = createLeft(scenario);
  scenario.state.addTarget(createTarget(1, { incarnationStartMs: 2 }));
  expect(scenario.departedIds).toEqual([]);
  expect(scenario.state.targets.get(target.id)).not.toBe(target);
});

test('one entry that says that a target drains does not prove that it has left, as another writer may have written it', () => {
  const scenario = new Scenario();
  const target = scenario.addTarget(1);
  target.ownEntries.clear();
  target.ownEntries.add(true, scenario.state.steadyMs);
  target.isResponding = false;
  scenario.remove(target);
  expect(scenario.departedIds).toEqual([]);
});
