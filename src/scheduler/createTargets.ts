/** Converts the platform's VM list to the targets of the pool. */

import { getTargetShard } from '../lease/shards';
import type { Target } from '../placement/types';
import type { Vm } from '../platform/types';
import { toId } from '../types/ids';
import type { TargetId } from '../types/ids';

/**
 * Creates the targets of a VM list.
 * @param vms - VMs listed by the platform
 * @param shardsPerDataCentre - number of target shards of each data centre, from the sheet
 * @returns the VMs with the target role, each with its shard
 */
export function createTargets(vms: readonly Vm[], shardsPerDataCentre: number): readonly Target[] {
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
