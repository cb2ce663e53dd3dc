/** Works out the next configuration from the current one and an operator's change. */

import { createDiagnostic } from '../types/diagnostics';
import { toConfigVersion } from '../types/ids';
import { assertNever } from '../types/debug';
import { fail, ok } from '../types/outcomes';
import type { Result } from '../types/outcomes';
import type { AcceptedConfig, ConfigChange, KeyTombstone, Sheet, TeamKey } from './types';

function getNextVersion(config: AcceptedConfig) {
  return toConfigVersion(config.version + 1);
}

function withSheet(config: AcceptedConfig, sheet: Sheet): AcceptedConfig {
  const withdrawn = new Set(config.tombstones.map((tombstone) => tombstone.keyId));
  const keys = sheet.keys.filter((key) => !withdrawn.has(key.keyId));
  return {
    version: getNextVersion(config),
    sheet: { ...sheet, keys },
    tombstones: config.tombstones,
  };
}

function grantKey(config: AcceptedConfig, key: TeamKey): Result<AcceptedConfig> {
  if (!config.sheet.teams.some((team) => team.teamId === key.teamId)) {
    return fail(createDiagnostic('badBody', `key.teamId: expected a listed team`));
  }
  const others = config.sheet.keys.filter((other) => other.keyId !== key.keyId);
  return ok({
    version: getNextVersion(config),
    sheet: { ...config.sheet, keys: [...others, key] },
    tombstones: config.tombstones.filter((tombstone) => tombstone.keyId !== key.keyId),
  });
}

function withdrawKey(config: AcceptedConfig, keyId: TeamKey['keyId']): Result<AcceptedConfig> {
  if (!config.sheet.keys.some((key) => key.keyId === keyId)) {
    return fail(createDiagnostic('unknownKey', keyId));
  }
  const version = getNextVersion(config);
  const tombstone: KeyTombstone = { keyId, withdrawnInVersion: version };
  return ok({
    version,
    sheet: { ...config.sheet, keys: config.sheet.keys.filter((key) => key.keyId !== keyId) },
    tombstones: [...config.tombstones, tombstone],
  });
}

/**
 * Applies a change to a configuration. A withdrawn key comes back only by an explicit grant: the
 * sheet's keys that have a tombstone are left out.
 * @param config - the current configuration
 * @param change - what the operator asked for
 * @returns the next configuration, one version higher, or why there is none
 */
export function applyChange(config: AcceptedConfig, change: ConfigChange): Result<AcceptedConfig> {
  switch (change.kind) {
    case 'applySheet': {
      if (change.basedOnVersion !== config.version) {
        const detail = `based on ${change.basedOnVersion}, current is ${config.version}`;
        return fail(createDiagnostic('configConflict', detail));
      }
      return ok(withSheet(config, change.sheet));
    }
    case 'grantKey':
      return grantKey(config, change.key);
    case 'withdrawKey':
      return withdrawKey(config, change.keyId);
    case 'setDataCentre': {
      const { dataCentreId, inService } = change;
      if (!config.sheet.dataCentres.some((known) => known.dataCentreId === dataCentreId)) {
        return fail(createDiagnostic('unknownDataCentre', dataCentreId));
      }
      const dataCentres = config.sheet.dataCentres.map((known) =>
        known.dataCentreId === dataCentreId ? { ...known, inService } : known,
      );
      return ok({
        ...config,
        version: getNextVersion(config),
        sheet: { ...config.sheet, dataCentres },
      });
    }
    default:
      return assertNever(change);
  }
}
