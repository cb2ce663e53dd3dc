/** Generates faults for property tests and injects them into a simulated cluster of schedulers. */

import * as fc from 'fast-check';
import type { World } from './world';

/** A fault that ends after its duration. */
export type Fault = {
  readonly kind:
    | 'kill'
    | 'killWithVm'
    | 'pause'
    | 'platformPartition'
    | 'peerPartition'
    | 'platformOutage'
    | 'slowPlatform'
    | 'lostResponses';
  readonly atMs: number;
  readonly durationMs: number;
  readonly index: number;
  readonly otherIndex: number;
  readonly size: number;
};

function setCutFromAll(world: World, index: number, isCut: boolean): void {
  world.processes.forEach((other) => {
    if (other.index !== index) world.setPeerCut(index, other.index, isCut);
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
    case 'killWithVm':
      setCutFromAll(world, index, true);
      world.kill(index);
      break;
    case 'pause':
      world.pause(index, durationMs);
      break;
    case 'platformPartition':
      world.setPlatformCut(index, true);
      break;
    case 'peerPartition':
      if (index !== otherIndex) world.setPeerCut(index, otherIndex, true);
      break;
    case 'platformOutage':
      world.store.setFaults({ isDown: true });
      break;
    case 'slowPlatform':
      world.store.setFaults({ delayMs: size * 400 });
      break;
    case 'lostResponses':
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
    case 'killWithVm':
      setCutFromAll(world, index, false);
      restartIfDown(world, index);
      break;
    case 'platformPartition':
      world.setPlatformCut(index, false);
      break;
    case 'peerPartition':
      if (index !== otherIndex) world.setPeerCut(index, otherIndex, false);
      break;
    case 'platformOutage':
      world.store.setFaults({ isDown: false });
      break;
    case 'slowPlatform':
      world.store.setFaults({ delayMs: 0 });
      break;
    default:
  }
}

/**
 * Creates an arbitrary that generates one to eight faults.
 * @param memberCount - number of schedulers in the cluster
 * @param windowMs - all faults start within this time
 * @param maxDurationMs - maximum duration of each fault
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
      'killWithVm',
      'pause',
      'platformPartition',
      'peerPartition',
      'platformOutage',
      'slowPlatform',
      'lostResponses',
    ),
    atMs: fc.nat({ max: spanMs }),
    durationMs: fc.integer({ min: 100, max: maxDurationMs }),
    index,
    otherIndex: index,
    size: fc.integer({ min: 1, max: 6 }),
  });
  return fc.array(fault, { minLength: 1, maxLength: 8 });
}

/** Schedules the start and the end of each fault relative to the current time. */
export function scheduleFaults(world: World, faults: readonly Fault[]): void {
  faults.forEach((fault) => {
    world.schedule(fault.atMs, () => begin(world, fault));
    world.schedule(fault.atMs + fault.durationMs, () => end(world, fault));
  });
}
