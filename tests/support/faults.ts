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
  readonly magnitude: number;
};

function setPartitionFromAll(world: World, index: number, isPartitioned: boolean): void {
  world.processes.forEach((other) => {
    if (other.index !== index) world.setPeerPartition(index, other.index, isPartitioned);
  });
}

function restartIfDown(world: World, index: number): void {
  if (world.processes[index]?.isDown) world.restart(index);
}

function injectFault(world: World, fault: Fault): void {
  const { index, otherIndex, durationMs, magnitude } = fault;
  switch (fault.kind) {
    case 'kill':
      world.kill(index);
      break;
    case 'killWithVm':
      setPartitionFromAll(world, index, true);
      world.kill(index);
      break;
    case 'pause':
      world.pause(index, durationMs);
      break;
    case 'platformPartition':
      world.setPlatformPartition(index, true);
      break;
    case 'peerPartition':
      if (index !== otherIndex) world.setPeerPartition(index, otherIndex, true);
      break;
    case 'platformOutage':
      world.store.setFaults({ isDown: true });
      break;
    case 'slowPlatform':
      world.store.setFaults({ delayMs: magnitude * 400 });
      break;
    case 'lostResponses':
      world.store.setFaults({ loseAnswerCount: magnitude });
      break;
    default:
  }
}

function endFault(world: World, fault: Fault): void {
  const { index, otherIndex } = fault;
  switch (fault.kind) {
    case 'kill':
      restartIfDown(world, index);
      break;
    case 'killWithVm':
      setPartitionFromAll(world, index, false);
      restartIfDown(world, index);
      break;
    case 'platformPartition':
      world.setPlatformPartition(index, false);
      break;
    case 'peerPartition':
      if (index !== otherIndex) world.setPeerPartition(index, otherIndex, false);
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
export function arbitraryFaults(
  memberCount: number,
  windowMs: number,
  maxDurationMs: number,
): fc.Arbitrary<Fault[]> {
  const arbitraryIndex = fc.nat({ max: memberCount - 1 });
  const arbitraryFault = fc.record({
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
    atMs: fc.nat({ max: windowMs }),
    durationMs: fc.integer({ min: 100, max: maxDurationMs }),
    index: arbitraryIndex,
    otherIndex: arbitraryIndex,
    magnitude: fc.integer({ min: 1, max: 6 }),
  });
  return fc.array(arbitraryFault, { minLength: 1, maxLength: 8 });
}

/** Schedules the start and the end of each fault relative to the current time. */
export function scheduleFaults(world: World, faults: readonly Fault[]): void {
  faults.forEach((fault) => {
    world.schedule(fault.atMs, () => injectFault(world, fault));
    world.schedule(fault.atMs + fault.durationMs, () => endFault(world, fault));
  });
}
