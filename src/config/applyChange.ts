/** Computes the next configuration from the current one and an operator's change. */

import { createDiagnostic } from '../types/diagnostics';
import { toConfigVersion } from '../types/ids';
import type { ConfigVersion, DataCentreId, KeyId } from '../types/ids';
import { assertNever } from '../types/debug';
import { fail, ok } from '../types/outcomes';
import type { Result } from '../types/outcomes';
import type { AcceptedConfig, ChangeReport, ConfigChange, Sheet, TeamKey } from './types';

/** The next configuration and the report for the operator. */
export interface AppliedChange {
  readonly config: AcceptedConfig;
  readonly report: ChangeReport;
}

function getNextVersion(config: AcceptedConfig): ConfigVersion {
  return toConfigVersion(config.version + 1);
}

function createReport(version: ConfigVersion, details: Partial<ChangeReport> = {}): ChangeReport {
  return {
    version,
    ignoredKeyIds: [],
    keptKeyIds: [],
    droppedKeyIds: [],
    stillOutDataCentreIds: [],
    ...details,
  };
}

/** Gets the keys granted by command since the export of the sheet whose teams it still lists. */
function getKeptKeys(config: AcceptedConfig, sheet: Sheet): readonly TeamKey[] {
  const grantedKeyIds = new Set(config.grants.map((grant) => grant.keyId));
  const listedKeyIds = new Set(sheet.keys.map((key) => key.keyId));
  const listedTeamIds = new Set(sheet.teams.map((team) => team.teamId));
  return config.sheet.keys.filter(
    (key) =>
      grantedKeyIds.has(key.keyId) && !listedKeyIds.has(key.keyId) && listedTeamIds.has(key.teamId),
  );
}

function applySheet(config: AcceptedConfig, sheet: Sheet): AppliedChange {
  const version = getNextVersion(config);
  const withdrawnKeyIds = new Set(config.tombstones.map((tombstone) => tombstone.keyId));
  const closedDataCentreIds = new Set(config.closures.map((closure) => closure.dataCentreId));
  const listedKeys = sheet.keys.filter((key) => !withdrawnKeyIds.has(key.keyId));
  const keptKeys = getKeptKeys(config, sheet);
  const keptIdSet = new Set(keptKeys.map((key) => key.keyId));
  const keys = [...listedKeys, ...keptKeys];
  const resultingKeyIds = new Set<KeyId>(keys.map((key) => key.keyId));
  const isClosed = (dataCentreId: DataCentreId) => closedDataCentreIds.has(dataCentreId);
  const dataCentres = sheet.dataCentres.map((dataCentre) =>
    isClosed(dataCentre.dataCentreId) ? { ...dataCentre, inService: false } : dataCentre,
  );
  const report = createReport(version, {
    ignoredKeyIds: sheet.keys.map((key) => key.keyId).filter((keyId) => withdrawnKeyIds.has(keyId)),
    keptKeyIds: [...keptIdSet],
    droppedKeyIds: config.sheet.keys
      .map((key) => key.keyId)
      .filter((id) => !resultingKeyIds.has(id)),
    stillOutDataCentreIds: sheet.dataCentres
      .filter((dataCentre) => dataCentre.inService && isClosed(dataCentre.dataCentreId))
      .map((dataCentre) => dataCentre.dataCentreId),
  });
  const grants = config.grants.filter((grant) => keptIdSet.has(grant.keyId));
  return { config: { ...config, version, sheet: { ...sheet, keys, dataCentres }, grants }, report };
}

function grantKey(config: AcceptedConfig, key: TeamKey): Result<AppliedChange> {
  if (!config.sheet.teams.some((team) => team.teamId === key.teamId)) {
    return fail(createDiagnostic('badBody', `key.teamId: expected a listed team`));
  }
  const version = getNextVersion(config);
  const others = config.sheet.keys.filter((other) => other.keyId !== key.keyId);
  const otherGrants = config.grants.filter((grant) => grant.keyId !== key.keyId);
  const next: AcceptedConfig = {
    ...config,
    version,
    sheet: { ...config.sheet, keys: [...others, key] },
    tombstones: config.tombstones.filter((tombstone) => tombstone.keyId !== key.keyId),
    grants: [...otherGrants, { keyId: key.keyId, grantedInVersion: version }],
  };
  return ok({ config: next, report: createReport(version) });
}

function withdrawKey(config: AcceptedConfig, keyId: KeyId): Result<AppliedChange> {
  if (!config.sheet.keys.some((key) => key.keyId === keyId)) {
    // Withdrawal is idempotent: the key is already withdrawn, as the operator wants.
    const isWithdrawn = config.tombstones.some((tombstone) => tombstone.keyId === keyId);
    if (!isWithdrawn) return fail(createDiagnostic('unknownKey', keyId));
    return ok({ config, report: createReport(config.version) });
  }
  const version = getNextVersion(config);
  const next: AcceptedConfig = {
    ...config,
    version,
    sheet: { ...config.sheet, keys: config.sheet.keys.filter((key) => key.keyId !== keyId) },
    tombstones: [...config.tombstones, { keyId, withdrawnInVersion: version }],
    grants: config.grants.filter((grant) => grant.keyId !== keyId),
  };
  return ok({ config: next, report: createReport(version) });
}

function setDataCentre(
  config: AcceptedConfig,
  dataCentreId: DataCentreId,
  inService: boolean,
): Result<AppliedChange> {
  if (!config.sheet.dataCentres.some((known) => known.dataCentreId === dataCentreId)) {
    return fail(createDiagnostic('unknownDataCentre', dataCentreId));
  }
  const version = getNextVersion(config);
  const dataCentres = config.sheet.dataCentres.map((known) =>
    known.dataCentreId === dataCentreId ? { ...known, inService } : known,
  );
  const otherClosures = config.closures.filter((closure) => closure.dataCentreId !== dataCentreId);
  const closures = inService
    ? otherClosures
    : [...otherClosures, { dataCentreId, closedInVersion: version }];
  const sheet = { ...config.sheet, dataCentres };
  return ok({ config: { ...config, version, sheet, closures }, report: createReport(version) });
}

/**
 * Applies a change to a configuration. Withdrawals, grants and closures by command take precedence
 * over a sheet that was exported earlier: only another command undoes them.
 * @param config - the current configuration
 * @param change - the change requested by the operator
 * @returns the next configuration with the version incremented, the current configuration if the
 *   change has no effect, or a diagnostic
 */
export function applyChange(config: AcceptedConfig, change: ConfigChange): Result<AppliedChange> {
  switch (change.kind) {
    case 'applySheet': {
      if (change.basedOnVersion !== config.version) {
        const detail = `based on ${change.basedOnVersion}, current is ${config.version}`;
        return fail(createDiagnostic('configConflict', detail));
      }
      return ok(applySheet(config, change.sheet));
    }
    case 'grantKey':
      return grantKey(config, change.key);
    case 'withdrawKey':
      return withdrawKey(config, change.keyId);
    case 'setDataCentre':
      return setDataCentre(config, change.dataCentreId, change.inService);
    default:
      return assertNever(change);
  }
}
