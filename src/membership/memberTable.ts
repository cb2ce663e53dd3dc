/** Judges members by whether their rows keep changing, on this process's own clock. */

import type { Row } from '../platform/types';
import type { MemberId } from '../types/ids';
import type { MemberRow, MemberView } from './types';

/** Prefix of the rows of all members. */
export const MEMBER_PREFIX = 'member/';

/**
 * Gets the key of a member's row.
 * @param memberId - the member
 * @returns the key
 */
export function getMemberKey(memberId: MemberId): string {
  return `${MEMBER_PREFIX}${memberId}`;
}

function isMemberRow(value: unknown): value is MemberRow {
  return typeof value === 'object' && value !== null && 'memberId' in value;
}

/** The members known from the last scan of the table. */
export class MemberTable {
  #views = new Map<MemberId, MemberView>();

  #scannedMs = Number.NEGATIVE_INFINITY;

  /** When the last scan that succeeded was sent. */
  get scannedMs(): number {
    return this.#scannedMs;
  }

  /** Every member with a row. */
  get views(): readonly MemberView[] {
    return [...this.#views.values()];
  }

  /**
   * Takes in a scan of the table.
   * @param rows - every row under the prefix
   * @param sentMs - when the scan was sent; a row cannot be newer than that by this clock
   * @param nowMs - when its answer came
   */
  updateFromScan(rows: readonly Row[], sentMs: number, nowMs: number): void {
    const next = new Map<MemberId, MemberView>();
    rows.forEach((row) => {
      if (!isMemberRow(row.value)) return;
      const known = this.#views.get(row.value.memberId);
      const isSame = known !== undefined && known.rowVersion === row.version;
      const versionSeenMs = isSame ? known.versionSeenMs : nowMs;
      const firstSeenMs = known?.firstSeenMs ?? nowMs;
      next.set(row.value.memberId, {
        row: row.value,
        rowVersion: row.version,
        versionSeenMs,
        firstSeenMs,
      });
    });
    this.#views = next;
    this.#scannedMs = sentMs;
  }

  /**
   * Gets one member.
   * @param memberId - which
   * @returns its view, or undefined when it has no row
   */
  get(memberId: MemberId): MemberView | undefined {
    return this.#views.get(memberId);
  }

  /**
   * Asks whether a member's row has stopped changing for longer than its session lasts.
   * @param view - the member
   * @param silentMs - how long an unchanged row counts as live
   * @param nowMs - this process's clock
   * @returns true when the session has certainly ended
   */
  isExpired(view: MemberView, silentMs: number, nowMs: number): boolean {
    // Without a newer scan the row may have changed unseen.
    return this.#scannedMs - view.versionSeenMs > silentMs && nowMs >= this.#scannedMs;
  }
}
