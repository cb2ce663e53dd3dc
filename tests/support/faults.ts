/** Faults that a property test draws and applies to a world of schedulers. */

import * as fc from 'fast-check';
import type { World } from './world';

/** One fault; each ends by itself. */
export type Fault = {
  readonly kind:
    'kill' | 'vanish' | 'pause' | 'platformCut' | 'peerCut' | 'outage' | 'slow' | 'loseAnswers';
  readonly atMs: number;
  readonly durationMs: number;
  readonly index: number;
  readonly otherIndex: number;
  readonly size: number;
};

function setCutFromAll(world: World, index: number, isCut: boolean): void {
  world.processes.forEach((other) => {
    if (other.index !== index) world.setPeerPartition(index, other.index, isCut);
  });
}

function restartIfDown(world: World, index: number): void {
  if (world.processes[index]?.isDown) world.restart(index);
}

function begin(world: World, fault: Fault): void {
  const { index, otherIndex, durationMs, size } = fault;
  switch (fault.kind) {
    case 'kill':
      world.kill(index);
      break;
    case 'vanish':
      setCutFromAll(world, index, true);
      world.kill(index);
      break;
    case 'pause':
      world.pause(index, durationMs);
      break;
    case 'platformCut':
      world.setPlatformPartition(index, true);
      break;
    case 'peerCut':
      if (index !== otherIndex) world.setPeerPartition(index, otherIndex, true);
      break;
    case 'outage':
      world.store.setFaults({ isDown: true });
      break;
    case 'slow':
      world.store.setFaults({ delayMs: size * 400 });
      break;
    case 'loseAnswers':
      world.store.setFaults({ loseAnswerCount: size });
      break;
    default:
  }
}

function end(world: World, fault: Fault): void {
  const { index, otherIndex } = fault;
  switch (fault.kind) {
    case 'kill':
      restartIfDown(world, index);
      break;
    case 'vanish':
      setCutFromAll(world, index, false);
      restartIfDown(world, index);
      break;
    case 'platformCut':
      world.setPlatformPartition(index, false);
      break;
    case 'peerCut':
      if (index !== otherIndex) world.setPeerPartition(index, otherIndex, false);
      break;
    case 'outage':
      world.store.setFaults({ isDown: false });
      break;
    case 'slow':
      world.store.setFaults({ delayMs: 0 });
      break;
    default:
  }
}

/**
 * Draws faults over a span of time.
 * @param memberCount - schedulers of the world
 * @param spanMs - within which they begin
 * @param maxDurationMs - how long each lasts at most
 */
export function drawFaults(
  memberCount: number,
  spanMs: number,
  maxDurationMs: number,
): fc.Arbitrary<Fault[]> {
  const index = fc.nat({ max: memberCount - 1 });
  const fault = fc.record({
    kind: fc.constantFrom<Fault['kind']>(
      'kill',
      'vanish',
      'pause',
      'platformCut',
      'peerCut',
      'outage',
      'slow',
      'loseAnswers',
    ),
    atMs: fc.nat({ max: spanMs }),
    durationMs: fc.integer({ min: 100, max: maxDurationMs }),
    index,
    otherIndex: index,
    size: fc.integer({ min: 1, max: 6 }),
  });
  return fc.array(fault, { minLength: 1, maxLength: 8 });
}

/** Schedules faults from now on; each is over after its duration. */
export function scheduleFaults(world: World, faults: readonly Fault[]): void {
  faults.forEach((fault) => {
    world.schedule(fault.atMs, () => begin(world, fault));
    world.schedule(fault.atMs + fault.durationMs, () => end(world, fault));
  });
}
