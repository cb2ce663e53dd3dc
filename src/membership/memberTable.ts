/** Tracks the members' rows; a session expires when its row stops changing, measured on this process's clock. */

import type { Row } from '../platform/types';
import type { MemberId } from '../types/ids';
import type { MemberRow, MemberView } from './types';

/** Prefix of the keys of all members' rows. */
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

/** Members found by the last scan of the platform's table. */
export class MemberTable {
  #views = new Map<MemberId, MemberView>();

  #scanSentMs = Number.NEGATIVE_INFINITY;

  /** When the last successful scan was sent. */
  get scanSentMs(): number {
    return this.#scanSentMs;
  }

  /** Views of all members that have a row. */
  get views(): readonly MemberView[] {
    return [...this.#views.values()];
  }

  /**
   * Applies a scan of the table.
   * @param rows - all rows under the prefix
   * @param sentMs - when the scan was sent; later changes may be missing from it
   * @param nowMs - when its result arrived
   */
  updateFromScan(rows: readonly Row[], sentMs: number, nowMs: number): void {
    const updatedViews = new Map<MemberId, MemberView>();
    rows.forEach((row) => {
      if (!isMemberRow(row.value)) return;
      const previous = this.#views.get(row.value.memberId);
      const isUnchanged = previous !== undefined && previous.rowVersion === row.version;
      const versionSeenMs = isUnchanged ? previous.versionSeenMs : nowMs;
      const firstSeenMs = previous?.firstSeenMs ?? nowMs;
      updatedViews.set(row.value.memberId, {
        row: row.value,
        rowVersion: row.version,
        versionSeenMs,
        firstSeenMs,
      });
    });
    this.#views = updatedViews;
    this.#scanSentMs = sentMs;
  }

  /**
   * Gets the view of a member.
   * @param memberId - the member
   * @returns its view, or undefined if it has no row
   */
  get(memberId: MemberId): MemberView | undefined {
    return this.#views.get(memberId);
  }

  /**
   * Determines whether a member's session has expired, because its row has not changed for longer
   * than the timeout.
   * @param view - view of the member
   * @param timeoutMs - time for which an unchanged row counts as live
   * @param nowMs - current time of this process's monotonic clock
   * @returns true if the session has certainly expired
   */
  isExpired(view: MemberView, timeoutMs: number, nowMs: number): boolean {
    // Measured up to the last scan instead of the current time: the row may have changed since that scan.
    return this.#scanSentMs - view.versionSeenMs > timeoutMs && nowMs >= this.#scanSentMs;
  }
}
