/** Seeded random histories with takeovers while parts of the store are silent. */

import type { SubmissionId, TargetId, TeamId } from '../../src/types/ids';
import { Random } from '../../src/types/random';
import type { Team } from '../../src/work/types';
import { createSubmission, NO_FAULTS, OwnerWorld, toSubmissionId } from './ownerWorld';
import { PART_COUNT } from './unreadRows';

const TARGET_COUNT = 5;
const ACTION_COUNT = 40;
const MAX_ACTION_INTERVAL_MS = 900;
const MAX_SILENCE_MS = 4_000;
const CALM_MS = 60_000;

const LIMIT = { cpuMillis: 20_000, memoryMb: 0, accelerators: 0 };
const TEAM: Team = { id: 'team-a' as TeamId, keys: [], weight: 1_000, limit: LIMIT };

/** What a history has shown. */
export interface PartHistory {
  readonly broken: readonly string[];
  /** Submissions without an outcome at the end. */
  readonly lost: readonly string[];
}

function submit(world: OwnerWorld, number: number, random: Random): void {
  const demand = { cpuMillis: 500 + random.nextInt(2_000), memoryMb: 16, accelerators: 0 };
  const isGang = random.nextFraction() < 0.15;
  const first = {
    ...{ demand, taskCount: 1 + random.nextInt(isGang ? 3 : 8) },
    estimateMs: 100 + random.nextInt(1_500),
    hasCheckpoints: random.nextFraction() < 0.3,
    ...(isGang ? { policy: { kind: 'gang' as const, isSameRack: false } } : {}),
  };
  const hasSecond = random.nextFraction() < 0.4;
  const second = { demand, taskCount: 1 + random.nextInt(3), estimateMs: 300, after: [0] };
  const teamId = random.nextFraction() < 0.5 ? 'team-a' : 'team-b';
  const steps = hasSecond ? [first, second] : [first];
  world.submit(createSubmission(number, steps, { teamId, priority: random.nextInt(2) }));
}

function silence(world: OwnerWorld, random: Random): void {
  const part = random.nextInt(PART_COUNT);
  const kind = random.nextInt(3);
  if (kind !== 1) world.parts.silent.submissions.add(part);
  if (kind !== 0) world.parts.silent.cancels.add(part);
}

/** Runs a history. */
export function runPartHistory(seed: number): PartHistory {
  const random = new Random(seed);
  const faults = { ...NO_FAULTS, failedRuns: 0.02, lostAnswers: 0.02 };
  const world = new OwnerWorld({ seed, targetCount: TARGET_COUNT, faults, teams: [TEAM] });
  world.takeOver();
  world.run(500);
  const ids: SubmissionId[] = [];
  for (let number = 1; number <= ACTION_COUNT; number += 1) {
    const course = random.nextFraction();
    if (course < 0.55) {
      submit(world, number, random);
      ids.push(toSubmissionId(number));
    } else if (course < 0.75) {
      silence(world, random);
      world.takeOver(random.nextFraction() < 0.3);
    } else if (course < 0.85) world.parts.answer(random.nextInt(PART_COUNT));
    else if (course < 0.92 && ids.length > 0) {
      const id = ids[random.nextInt(ids.length)];
      if (id !== undefined) world.cancel(id);
    } else {
      const targetId = `target-${random.nextInt(TARGET_COUNT)}` as TargetId;
      world.partition(targetId, random.nextInt(MAX_SILENCE_MS));
    }
    world.run(random.nextInt(MAX_ACTION_INTERVAL_MS));
  }
  for (let part = 0; part < PART_COUNT; part += 1) world.parts.answer(part);
  world.run(CALM_MS);
  const lost = ids.filter((id) => ['unknown', 'pending', 'running'].includes(world.getState(id)));
  return { broken: world.broken, lost };
}
