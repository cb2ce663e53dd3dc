/** This member's session: its row, the promises of its standbys, and when both end. */

import type { MemberRow } from '../membership/types';
import { getMemberKey } from '../membership/memberTable';
import type { PlatformCall, PlatformResult } from '../platform/types';
import type { MemberId, OperationId } from '../types/ids';
import { CLOCK_DRIFT_MARGIN_MS, SESSION_TIMEOUT_MS } from './constants';

/** Result of a renewal for the session. */
export type RenewalOutcome = 'renewed' | 'retry' | 'unknown' | 'evicted';

/** A renewal that is in flight or whose response was lost. */
interface UnconfirmedRenewal {
  readonly checkedVersion: number;
  readonly standbyIds: readonly MemberId[];
}

function getStandbyIds(value: unknown): readonly MemberId[] {
  return (value as MemberRow).standbyIds;
}

/** Tracks until when one incarnation may start work. */
export class Session {
  readonly memberId: MemberId;

  #rowVersion = 0;

  #renewedUntilMs = Number.NEGATIVE_INFINITY;

  #confirmedStandbyIds: readonly MemberId[] = [];

  #unconfirmedRenewals: UnconfirmedRenewal[] = [];

  #promisedUntilMs = new Map<MemberId, number>();

  /** Standbys that died while their promise was in force, and so can never have ended it. */
  #deadStandbyIds = new Set<MemberId>();

  #lastRunningMs = Number.NEGATIVE_INFINITY;

  /** When the first promise of a standby ends; cached because every start reads it. */
  #allPromisedUntilMs = Number.NEGATIVE_INFINITY;

  /**
   * @param memberId - this incarnation; not reused once its row is deleted
   */
  constructor(memberId: MemberId) {
    this.memberId = memberId;
  }

  /** End of the session that the last confirmed renewal granted. */
  get renewedUntilMs(): number {
    return this.#renewedUntilMs;
  }

  /**
   * Records that the process is running. A session that is extended by promises ends if the process
   * pauses.
   * @param nowMs - the current time on this process's clock
   */
  markRunning(nowMs: number): void {
    this.#lastRunningMs = nowMs;
  }

  /** When this incarnation's authority to start work ends, on this process's clock. */
  get authorityUntilMs(): number {
    return Math.max(
      this.#renewedUntilMs,
      Math.min(
        this.#allPromisedUntilMs,
        this.#lastRunningMs + SESSION_TIMEOUT_MS - CLOCK_DRIFT_MARGIN_MS,
      ),
    );
  }

  /**
   * Lists the members whose promises are in force.
   * @param nowMs - the current time on this process's clock
   * @returns the candidates for standbys
   */
  getPromisingIds(nowMs: number): readonly MemberId[] {
    return [...this.#promisedUntilMs.keys()]
      .filter((id) => !this.#deadStandbyIds.has(id))
      .filter((id) => nowMs < this.#getPromisedUntilMs(id));
  }

  /**
   * Records a promise.
   * @param standbyId - the member that granted it
   * @param sentMs - when the heartbeat was sent whose reply carried the promise
   * @param promiseMs - the duration; 0 for no promise
   */
  recordPromise(standbyId: MemberId, sentMs: number, promiseMs: number): void {
    if (promiseMs <= 0) return;
    const untilMs = sentMs + promiseMs - CLOCK_DRIFT_MARGIN_MS;
    const previousUntilMs = this.#promisedUntilMs.get(standbyId) ?? Number.NEGATIVE_INFINITY;
    this.#promisedUntilMs.set(standbyId, Math.max(previousUntilMs, untilMs));
    this.#updateAllPromisedUntil();
  }

  /**
   * Records that a standby is proven dead. Its promise counts as permanent only if it was still in
   * force: otherwise the standby may have ended the promise and sent an eviction of this member
   * that is still in flight.
   * @param standbyId - the dead standby
   * @param nowMs - the current time on this process's clock
   */
  recordStandbyDeath(standbyId: MemberId, nowMs: number): void {
    if (nowMs < this.#getPromisedUntilMs(standbyId)) this.#deadStandbyIds.add(standbyId);
    this.#promisedUntilMs.delete(standbyId);
    this.#updateAllPromisedUntil();
  }

  /**
   * Creates the call that renews the member row.
   * @param row - the new row
   * @param operationId - the id of this write
   * @returns the call; it conflicts if the row has changed or was deleted
   */
  createRenewal(row: MemberRow, operationId: OperationId): PlatformCall {
    const key = getMemberKey(this.memberId);
    const { standbyIds } = row;
    this.#unconfirmedRenewals.push({ checkedVersion: this.#rowVersion, standbyIds });
    this.#updateAllPromisedUntil();
    return {
      kind: 'transact',
      transaction: {
        operationId,
        checks: [{ key, version: this.#rowVersion }],
        writes: [{ key, value: { ...row } }],
      },
    };
  }

  /**
   * Applies the result of the most recently sent renewal.
   * @param sentMs - when it was sent
   * @param result - its result
   * @returns the outcome for the session
   */
  applyRenewal(sentMs: number, result: PlatformResult): RenewalOutcome {
    if (result.kind === 'committed') {
      this.#confirm(result.rows[0]?.version ?? this.#rowVersion, this.#getLastSentStandbyIds());
      this.#renewedUntilMs = sentMs + SESSION_TIMEOUT_MS - CLOCK_DRIFT_MARGIN_MS;
      return 'renewed';
    }
    if (result.kind !== 'conflict') return 'unknown';
    const current = result.rows[0];
    if (current === undefined || current.value === null) return 'evicted';
    // If the store does not keep versions of deleted rows, a delayed first write recreates the row.
    if (current.version < this.#rowVersion) return 'evicted';
    // An earlier renewal was committed, but its response was lost.
    this.#confirm(current.version, getStandbyIds(current.value));
    return 'retry';
  }

  /** Sets the current row. Renewals that checked an older version can no longer be committed. */
  #confirm(rowVersion: number, standbyIds: readonly MemberId[]): void {
    this.#rowVersion = rowVersion;
    this.#confirmedStandbyIds = standbyIds;
    this.#unconfirmedRenewals = this.#unconfirmedRenewals.filter(
      (renewal) => renewal.checkedVersion >= rowVersion,
    );
    this.#updateAllPromisedUntil();
  }

  /** Takes the standbys of every row into account that may be the current one. */
  #updateAllPromisedUntil(): void {
    const possibleStandbyIds = [
      this.#confirmedStandbyIds,
      ...this.#unconfirmedRenewals.map((renewal) => renewal.standbyIds),
    ];
    // Any member may evict a row without standbys once the row has expired.
    const hasRowWithoutStandbys = possibleStandbyIds.some((standbyIds) => standbyIds.length === 0);
    this.#allPromisedUntilMs = hasRowWithoutStandbys
      ? Number.NEGATIVE_INFINITY
      : Math.min(...possibleStandbyIds.flat().map((id) => this.#getPromisedUntilMs(id)));
  }

  #getLastSentStandbyIds(): readonly MemberId[] {
    return this.#unconfirmedRenewals[this.#unconfirmedRenewals.length - 1]?.standbyIds ?? [];
  }

  #getPromisedUntilMs(standbyId: MemberId): number {
    if (this.#deadStandbyIds.has(standbyId)) return Number.POSITIVE_INFINITY;
    return this.#promisedUntilMs.get(standbyId) ?? Number.NEGATIVE_INFINITY;
  }

  /**
   * Returns the state as plain data.
   * @returns the state; times are on this process's clock
   */
  dump() {
    return {
      memberId: this.memberId,
      rowVersion: this.#rowVersion,
      renewedUntilMs: this.#renewedUntilMs,
      authorityUntilMs: this.authorityUntilMs,
      standbyIds: this.#confirmedStandbyIds,
      unconfirmedRenewals: this.#unconfirmedRenewals,
      promisedUntilMs: [...this.#promisedUntilMs],
      deadStandbyIds: [...this.#deadStandbyIds],
      lastRunningMs: this.#lastRunningMs,
    };
  }
}
