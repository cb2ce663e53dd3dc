/** Turns the platform's VM list into the targets of the pool. */

import { getTargetShard } from '../lease/shards';
import type { Target } from '../placement/types';
import type { Vm } from '../platform/types';
import { toId } from '../types/ids';
import type { TargetId } from '../types/ids';

/**
 * Gets the targets of a VM list.
 * @param vms - the list
 * @param shardsPerDataCentre - from the sheet
 * @returns every target with its shard
 */
export function getTargets(vms: readonly Vm[], shardsPerDataCentre: number): readonly Target[] {
  return vms
    .filter((vm) => vm.role === 'target')
    .map((vm): Target => ({
      targetId: toId<TargetId>(vm.vmId),
      shardId: getTargetShard(vm.dataCentreId, vm.vmId, shardsPerDataCentre),
      address: vm.address,
      dataCentreId: vm.dataCentreId,
      rack: vm.rack,
      capacity: vm.capacity,
      isLeaving: vm.leaving,
    }));
}
