/** Commits operators' changes to the platform, each exactly once, and announces them to peers. */

import type { PlatformResult, Row } from '../platform/types';
import type { SchedulerCall } from '../rpc/types';
import { createDiagnostic } from '../types/diagnostics';
import type { Diagnostic } from '../types/diagnostics';
import { toConfigVersion } from '../types/ids';
import type { ConfigVersion, MemberId, OperationId } from '../types/ids';
import { fail, ok } from '../types/outcomes';
import { applyChange } from './applyChange';
import { isAcceptedConfig } from './configHolder';
import type { ConfigHolder } from './configHolder';
import { ANNOUNCEMENT_TIMEOUT_MS } from './configMembers';
import type { ConfigMembers } from './configMembers';
import type { ConfigEffect } from './effects';
import {
  CONFIG_HEAD_KEY,
  CONFIG_KEY,
  getConfigMemberKey,
  getOperationKey,
  getTrimmedVersion,
  getVersionKey,
  isConfigOperationRow,
  isConfigVersionRow,
  toJson,
} from './rows';
import type { ConfigOrigin } from './rows';
import { getSheetDiff, renderDifference } from './sheetDiff';
import { EMPTY_CONFIG } from './types';
import type { AcceptedConfig, ChangeResponse, ChangeReport, ConfigChange } from './types';

/** A change not committed within this time is refused, or its outcome is reported as unknown. */
const CHANGE_TIMEOUT_MS = 4_000;
const RETRY_INTERVAL_MS = 200;
const OFFER_INTERVAL_MS = 1_000;
const MAX_PENDING_CHANGES = 64;
const MAX_LISTED_DIFFERENCES = 10;

type ChangeCall = Extract<SchedulerCall, { kind: 'changeConfig' }>;
type ChangeWriteOrigin = Extract<ConfigOrigin, { kind: 'configChangeWrite' }>;

interface PendingChange {
  readonly callId: number;
  readonly change: ConfigChange;
  readonly operationId: OperationId;
  readonly deadlineMs: number;
  attempt: number;
  isCalling: boolean;
  retryAtMs: number;
  /** True if the outcome of a write is unknown. */
  isUncertain: boolean;
}

/** A committed change whose operator waits until the other processes have it. */
interface Announcement {
  readonly callId: number;
  readonly report: ChangeReport;
  readonly deadlineMs: number;
  nextOfferAtMs: number;
}

/** Rows on which the decision about a change is based. */
interface ChangeRows {
  readonly current: Row;
  readonly operation: Row;
  readonly self: Row;
  readonly trimmed: Row;
  readonly base: Row | undefined;
}

function getBaseVersion(change: ConfigChange): ConfigVersion {
  return change.kind === 'applySheet' ? change.basedOnVersion : toConfigVersion(0);
}

function describeConflict(rows: ChangeRows, config: AcceptedConfig, change: ConfigChange): string {
  const summary = `based on ${getBaseVersion(change)}, current is ${config.version}`;
  const base = rows.base?.value;
  if (!isConfigVersionRow(base)) return summary;
  const differences = getSheetDiff(base.config.sheet, config.sheet).map(renderDifference);
  if (differences.length === 0) return summary;
  const listed = differences.slice(0, MAX_LISTED_DIFFERENCES).join(', ');
  const isTruncated = differences.length > MAX_LISTED_DIFFERENCES;
  return `${summary}; changed since: ${listed}${isTruncated ? ' and more' : ''}`;
}

function scheduleRetry(pending: PendingChange, retryAtMs: number): readonly ConfigEffect[] {
  pending.retryAtMs = retryAtMs;
  return [];
}

function createWriteCall(
  pending: PendingChange,
  rows: ChangeRows,
  config: AcceptedConfig,
  report: ChangeReport,
): ConfigEffect {
  const { attempt, operationId } = pending;
  const trimmed = rows.trimmed.value;
  const trimmedKeys = isConfigVersionRow(trimmed)
    ? [rows.trimmed.key, getOperationKey(trimmed.operationId)]
    : [];
  return {
    kind: 'callPlatform',
    origin: { kind: 'configChangeWrite', attempt, config, report },
    call: {
      kind: 'transact',
      transaction: {
        operationId,
        // While its own row is unchanged, the other processes still need this process's replies to
        // confirm their version, so none of them admits work for long without the change.
        checks: [rows.current, rows.operation, rows.self].map(({ key, version }) => ({
          key,
          version,
        })),
        writes: [
          { key: CONFIG_KEY, value: toJson(config) },
          { key: CONFIG_HEAD_KEY, value: { version: config.version } },
          { key: getVersionKey(config.version), value: toJson({ operationId, config }) },
          { key: rows.operation.key, value: toJson({ report }) },
          ...trimmedKeys.map((key) => ({ key, value: null })),
        ],
      },
    },
  };
}

/** Processes the changes that operators requested from this process, one at a time. */
export class ConfigChanger {
  #processId: MemberId;

  #holder: ConfigHolder;

  #members: ConfigMembers;

  #pendingChanges: PendingChange[] = [];

  #announcements: Announcement[] = [];

  #attemptCount = 0;

  /**
   * @param processId - incarnation of this process
   * @param holder - holds the active configuration
   * @param members - processes to notify
   */
  constructor(processId: MemberId, holder: ConfigHolder, members: ConfigMembers) {
    this.#processId = processId;
    this.#holder = holder;
    this.#members = members;
  }

  /**
   * Enqueues a change; changes are decided one at a time.
   * @param nowMs - current time of this process's monotonic clock
   * @param callId - id of the call to reply to
   * @param call - the change
   * @returns the effects to perform
   */
  start(nowMs: number, callId: number, call: ChangeCall): readonly ConfigEffect[] {
    if (this.#pendingChanges.length >= MAX_PENDING_CHANGES) {
      const diagnostic = createDiagnostic('configRefused', 'too many changes are waiting');
      return [{ kind: 'replyCall', callId, value: fail(diagnostic) }];
    }
    this.#pendingChanges.push({
      callId,
      change: call.change,
      operationId: call.operationId,
      deadlineMs: nowMs + CHANGE_TIMEOUT_MS,
      attempt: 0,
      isCalling: false,
      retryAtMs: nowMs,
      isUncertain: false,
    });
    return this.tick(nowMs);
  }

  /**
   * Starts, retries, refuses and announces the changes for which this is due.
   * @param nowMs - current time of this process's monotonic clock
   * @returns the effects to perform
   */
  tick(nowMs: number): readonly ConfigEffect[] {
    return [
      ...this.#advanceAnnouncements(nowMs),
      ...this.#refuseExpired(nowMs),
      ...this.#readForNextChange(nowMs),
    ];
  }

  /**
   * Applies the rows on which the decision about a change is based.
   * @param nowMs - current time of this process's monotonic clock
   * @param attempt - number of the attempt that sent the read
   * @param result - the result of the read
   * @returns the effects to perform
   */
  applyReadResult(nowMs: number, attempt: number, result: PlatformResult): readonly ConfigEffect[] {
    const pending = this.#tryResume(attempt);
    if (pending === undefined) return [];
    if (result.kind !== 'rows') return scheduleRetry(pending, nowMs + RETRY_INTERVAL_MS);
    const [current, operation, self, trimmed, base] = result.rows;
    if (!current || !operation || !self || !trimmed) return scheduleRetry(pending, nowMs);
    return this.#decide(nowMs, pending, { current, operation, self, trimmed, base });
  }

  /**
   * Applies the result of the write. If its outcome is unknown, reading the rows again resolves it.
   * @param nowMs - current time of this process's monotonic clock
   * @param origin - identifies the write
   * @param result - the result of the write
   * @returns the effects to perform
   */
  applyWriteResult(
    nowMs: number,
    origin: ChangeWriteOrigin,
    result: PlatformResult,
  ): readonly ConfigEffect[] {
    const pending = this.#tryResume(origin.attempt);
    if (pending === undefined) return [];
    if (result.kind === 'committed') {
      return this.#complete(nowMs, pending, origin.config, origin.report);
    }
    if (result.kind === 'conflict') return scheduleRetry(pending, nowMs);
    pending.isUncertain = true;
    return scheduleRetry(pending, nowMs + RETRY_INTERVAL_MS);
  }

  /**
   * Returns the pending and announced changes for the state dump.
   * @param nowMs - current time of this process's monotonic clock
   * @returns the changes as plain data
   */
  dump(nowMs: number) {
    const waiting = this.#pendingChanges.map(
      ({ operationId, attempt, isCalling, isUncertain, retryAtMs }) => ({
        operationId,
        attempt,
        isCalling,
        isUncertain,
        retryInMs: retryAtMs - nowMs,
      }),
    );
    const announced = this.#announcements.map(({ report, deadlineMs }) => ({
      version: report.version,
      waitsForMs: deadlineMs - nowMs,
    }));
    return { waiting, announced };
  }

  #tryResume(attempt: number): PendingChange | undefined {
    const pending = this.#pendingChanges[0];
    if (pending === undefined || !pending.isCalling || pending.attempt !== attempt) {
      return undefined;
    }
    pending.isCalling = false;
    return pending;
  }

  #refuseExpired(nowMs: number): readonly ConfigEffect[] {
    const expired = this.#pendingChanges.filter((pending) => nowMs >= pending.deadlineMs);
    return expired.flatMap((pending) => {
      if (pending.isUncertain) return this.#refuse(pending, createDiagnostic('configUnknown'));
      const unmetProcessIds = this.#members.getUnmetProcessIds();
      const detail =
        unmetProcessIds.length > 0
          ? `not met since start: ${unmetProcessIds.join(', ')}`
          : 'the platform is out';
      return this.#refuse(pending, createDiagnostic('configRefused', detail));
    });
  }

  #readForNextChange(nowMs: number): readonly ConfigEffect[] {
    const pending = this.#pendingChanges[0];
    if (pending === undefined || pending.isCalling || nowMs < pending.retryAtMs) return [];
    if (this.#members.getUnmetProcessIds().length > 0) return [];
    pending.attempt = this.#getNextAttempt();
    pending.isCalling = true;
    const keys = [
      CONFIG_KEY,
      getOperationKey(pending.operationId),
      getConfigMemberKey(this.#processId),
      getVersionKey(getTrimmedVersion(toConfigVersion(this.#holder.version + 1))),
      getVersionKey(getBaseVersion(pending.change)),
    ];
    const origin = { kind: 'configChangeRead', attempt: pending.attempt } as const;
    return [{ kind: 'callPlatform', origin, call: { kind: 'read', keys } }];
  }

  #getNextAttempt(): number {
    this.#attemptCount += 1;
    return this.#attemptCount;
  }

  #decide(nowMs: number, pending: PendingChange, rows: ChangeRows): readonly ConfigEffect[] {
    const config = isAcceptedConfig(rows.current.value) ? rows.current.value : EMPTY_CONFIG;
    const stored = rows.operation.value;
    if (isConfigOperationRow(stored)) return this.#complete(nowMs, pending, config, stored.report);
    if (rows.self.value === null) return scheduleRetry(pending, nowMs + RETRY_INTERVAL_MS);
    const applied = applyChange(config, pending.change);
    if (applied.kind === 'error') {
      const { name } = applied.diagnostic;
      if (name !== 'configConflict') return this.#refuse(pending, applied.diagnostic);
      const detail = describeConflict(rows, config, pending.change);
      return this.#refuse(pending, createDiagnostic(name, detail));
    }
    const { config: next, report } = applied.value;
    if (next.version === config.version) return this.#complete(nowMs, pending, config, report);
    pending.isCalling = true;
    return [createWriteCall(pending, rows, next, report)];
  }

  #refuse(pending: PendingChange, diagnostic: Diagnostic): readonly ConfigEffect[] {
    this.#remove(pending);
    return [{ kind: 'replyCall', callId: pending.callId, value: fail(diagnostic) }];
  }

  #remove(pending: PendingChange): void {
    this.#pendingChanges = this.#pendingChanges.filter((other) => other !== pending);
  }

  #complete(
    nowMs: number,
    pending: PendingChange,
    config: AcceptedConfig,
    report: ChangeReport,
  ): readonly ConfigEffect[] {
    this.#remove(pending);
    const isNewer = this.#holder.tryAdopt(config);
    const deadlineMs = nowMs + ANNOUNCEMENT_TIMEOUT_MS;
    this.#announcements.push({
      callId: pending.callId,
      report,
      deadlineMs,
      nextOfferAtMs: nowMs,
    });
    return [...(isNewer ? [{ kind: 'configChanged' } as const] : []), ...this.tick(nowMs)];
  }

  #advanceAnnouncements(nowMs: number): readonly ConfigEffect[] {
    const effects: ConfigEffect[] = [];
    this.#announcements = this.#announcements.filter((announcement) => {
      const outdatedMembers = this.#members.getOutdatedMembers(announcement.report.version);
      if (outdatedMembers.length > 0 && nowMs < announcement.deadlineMs) {
        effects.push(...this.#offerIfDue(nowMs, announcement));
        return true;
      }
      const unreachedProcessIds = outdatedMembers.map((member) => member.processId);
      const response: ChangeResponse = { ...announcement.report, unreachedProcessIds };
      effects.push({ kind: 'replyCall', callId: announcement.callId, value: ok(response) });
      return false;
    });
    return effects;
  }

  #offerIfDue(nowMs: number, announcement: Announcement): readonly ConfigEffect[] {
    if (nowMs < announcement.nextOfferAtMs) return [];
    announcement.nextOfferAtMs = nowMs + OFFER_INTERVAL_MS;
    const { config } = this.#holder;
    return this.#members
      .getOutdatedMembers(announcement.report.version)
      .map(({ processId, address }) => ({
        kind: 'callPeer',
        origin: { kind: 'configOffer', processId, version: config.version },
        address,
        call: { kind: 'offerConfig', config },
      }));
  }
}
