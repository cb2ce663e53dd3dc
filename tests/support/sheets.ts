/** Builds small configurations for tests. */

import type { Sheet } from '../../src/config/types';
import { getDigest } from '../../src/config/keys';
import { toId } from '../../src/types/ids';

/** Capacity of one target in tests. */
export const TARGET_CAPACITY = {
  cpuMillis: 64_000,
  memoryMb: 131_072,
  accelerators: 0,
  slots: 8,
  connections: 64,
};

/** Builds a sheet with one key, `key-TEAM:secret-TEAM`, and one queue per team. */
export function createSheet(
  teamIds: readonly string[],
  dataCentreIds: readonly string[],
  overrides: { limitSlots?: number; shardsPerDataCentre?: number } = {},
): Sheet {
  return {
    teams: teamIds.map((teamId) => ({
      teamId: toId(teamId),
      shareWeight: 1,
      limitSlots: overrides.limitSlots ?? 100,
    })),
    keys: teamIds.map((teamId) => ({
      keyId: toId(`key-${teamId}`),
      teamId: toId(teamId),
      secretDigest: getDigest(`secret-${teamId}`),
    })),
    queues: teamIds.map((teamId) => ({
      queueId: toId(teamId),
      access: { kind: 'team', teamId: toId(teamId) },
      urgency: 'normal',
    })),
    dataCentres: dataCentreIds.map((dataCentreId) => ({
      dataCentreId: toId(dataCentreId),
      region: 'west',
      inService: true,
    })),
    shardsPerDataCentre: overrides.shardsPerDataCentre ?? 2,
  };
}
