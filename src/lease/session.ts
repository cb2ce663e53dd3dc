/** This member's session: its row, the promises of its standbys, and until when both hold. */

import type { MemberRow } from '../membership/types';
import { getMemberKey } from '../membership/memberTable';
import type { PlatformCall, PlatformResult } from '../platform/types';
import type { MemberId, OperationId } from '../types/ids';
import { CLOCK_MARGIN_MS, SESSION_MS } from './constants';

/** What came of a renewal. */
export type RenewOutcome = 'renewed' | 'retry' | 'unknown' | 'evicted';

/** A renewal that is in flight or whose answer was lost. */
interface UnconfirmedRenewal {
  readonly checkedVersion: number;
  readonly standbyIds: readonly MemberId[];
}

function getStandbyIds(value: unknown): readonly MemberId[] {
  return (value as MemberRow).standbyIds;
}

/** One incarnation's authority to start work. */
export class Session {
  readonly memberId: MemberId;

  #rowVersion = 0;

  #tableUntilMs = Number.NEGATIVE_INFINITY;

  #rowStandbyIds: readonly MemberId[] = [];

  #unconfirmed: UnconfirmedRenewal[] = [];

  #promisedUntilMs = new Map<MemberId, number>();

  /** Standbys that died while their promise held, so that they can never have ended it. */
  #deadStandbyIds = new Set<MemberId>();

  #seenMs = Number.NEGATIVE_INFINITY;

  /** Until when every standby promises; kept, as each start asks for it. */
  #promisedUntilAllMs = Number.NEGATIVE_INFINITY;

  /**
   * @param memberId - this incarnation; never used again once its row is gone
   */
  constructor(memberId: MemberId) {
    this.memberId = memberId;
  }

  /** The end of what the last confirmed renewal gives. */
  get tableUntilMs(): number {
    return this.#tableUntilMs;
  }

  /**
   * Records that the process runs; a session that promises extend ends when the process pauses.
   * @param nowMs - this process's clock
   */
  markRunning(nowMs: number): void {
    this.#seenMs = nowMs;
  }

  /** Until when this incarnation may start work, on this process's clock. */
  get untilMs(): number {
    return Math.max(
      this.#tableUntilMs,
      Math.min(this.#promisedUntilAllMs, this.#seenMs + SESSION_MS - CLOCK_MARGIN_MS),
    );
  }

  /**
   * Lists the members whose promises hold.
   * @param nowMs - this process's clock
   * @returns candidates for standbys
   */
  getPromisedBy(nowMs: number): readonly MemberId[] {
    return [...this.#promisedUntilMs.keys()]
      .filter((id) => !this.#deadStandbyIds.has(id))
      .filter((id) => nowMs < this.#getPromisedUntilMs(id));
  }

  /**
   * Takes in a promise.
   * @param standbyId - who gave it
   * @param sentMs - when the heartbeat that it answers was sent
   * @param promiseMs - for how long; 0 for none
   */
  applyPromise(standbyId: MemberId, sentMs: number, promiseMs: number): void {
    if (promiseMs <= 0) return;
    const untilMs = sentMs + promiseMs - CLOCK_MARGIN_MS;
    const knownMs = this.#promisedUntilMs.get(standbyId) ?? Number.NEGATIVE_INFINITY;
    this.#promisedUntilMs.set(standbyId, Math.max(knownMs, untilMs));
    this.#updatePromisedUntilAll();
  }

  /**
   * Takes in a proof that a standby is dead. Only one that died while its promise held is done
   * without: another may have ended its promise, and its eviction of this member may be under way.
   * @param standbyId - who is dead
   * @param nowMs - this process's clock
   */
  applyDeath(standbyId: MemberId, nowMs: number): void {
    if (nowMs < this.#getPromisedUntilMs(standbyId)) this.#deadStandbyIds.add(standbyId);
    this.#promisedUntilMs.delete(standbyId);
    this.#updatePromisedUntilAll();
  }

  /**
   * Builds the renewal of the row.
   * @param row - its next value
   * @param operationId - of this write
   * @returns the call; it conflicts when the row has changed or gone
   */
  createRenewal(row: MemberRow, operationId: OperationId): PlatformCall {
    const key = getMemberKey(this.memberId);
    const { standbyIds } = row;
    this.#unconfirmed.push({ checkedVersion: this.#rowVersion, standbyIds });
    this.#updatePromisedUntilAll();
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
   * Takes in what came of the renewal that was sent last.
   * @param sentMs - when it was sent
   * @param result - what came of it
   * @returns what it means for the session
   */
  applyRenewal(sentMs: number, result: PlatformResult): RenewOutcome {
    if (result.kind === 'committed') {
      this.#confirm(result.rows[0]?.version ?? this.#rowVersion, this.#getLastStandbyIds());
      this.#tableUntilMs = sentMs + SESSION_MS - CLOCK_MARGIN_MS;
      return 'renewed';
    }
    if (result.kind !== 'conflict') return 'unknown';
    const current = result.rows[0];
    if (current === undefined || current.value === null) return 'evicted';
    // A store that forgets a deleted row's version lets a delayed first write make the row anew.
    if (current.version < this.#rowVersion) return 'evicted';
    // An earlier renewal took effect and its answer was lost.
    this.#confirm(current.version, getStandbyIds(current.value));
    return 'retry';
  }

  /** A renewal that checked an older version can no longer take effect. */
  #confirm(rowVersion: number, standbyIds: readonly MemberId[]): void {
    this.#rowVersion = rowVersion;
    this.#rowStandbyIds = standbyIds;
    this.#unconfirmed = this.#unconfirmed.filter((renewal) => renewal.checkedVersion >= rowVersion);
    this.#updatePromisedUntilAll();
  }

  /** Each row that may be the current one counts with all of its standbys. */
  #updatePromisedUntilAll(): void {
    const rows = [this.#rowStandbyIds, ...this.#unconfirmed.map((renewal) => renewal.standbyIds)];
    // A row without standbys may be evicted by anyone once it has expired.
    const hasOpenRow = rows.some((standbyIds) => standbyIds.length === 0);
    this.#promisedUntilAllMs = hasOpenRow
      ? Number.NEGATIVE_INFINITY
      : Math.min(...rows.flat().map((id) => this.#getPromisedUntilMs(id)));
  }

  #getLastStandbyIds(): readonly MemberId[] {
    return this.#unconfirmed[this.#unconfirmed.length - 1]?.standbyIds ?? [];
  }

  #getPromisedUntilMs(standbyId: MemberId): number {
    if (this.#deadStandbyIds.has(standbyId)) return Number.POSITIVE_INFINITY;
    return this.#promisedUntilMs.get(standbyId) ?? Number.NEGATIVE_INFINITY;
  }

  /**
   * Gets the state as plain data.
   * @returns times on this process's clock
   */
  dump() {
    return {
      memberId: this.memberId,
      rowVersion: this.#rowVersion,
      tableUntilMs: this.#tableUntilMs,
      untilMs: this.untilMs,
      standbyIds: this.#rowStandbyIds,
      unconfirmed: this.#unconfirmed,
      promisedUntilMs: [...this.#promisedUntilMs],
      deadStandbyIds: [...this.#deadStandbyIds],
      seenMs: this.#seenMs,
    };
  }
}
