/** Membership rows of the schedulers, and the local views of them. */

import type { DataCentreId, MemberId, VmId } from '../types/ids';

/** Row of a member's session in the platform's table. Each renewal changes the row's version. */
export interface MemberRow {
  readonly memberId: MemberId;
  readonly address: string;
  readonly vmId: VmId;
  readonly dataCentreId: DataCentreId;
  readonly region: string;
  readonly isLeaving: boolean;
  /**
   * Members whose promises keep this member's session valid while the platform is unavailable. A
   * successor needs one of them to have ended its promise, unless this member is proven dead.
   */
  readonly standbyIds: readonly MemberId[];
}

/** A member's row as this process last read it. */
export interface MemberView {
  readonly row: MemberRow;
  readonly rowVersion: number;
  /** When this process first read this version of the row, on its monotonic clock. */
  readonly versionSeenMs: number;
  /** When this process first read a row of the member, on its monotonic clock. */
  readonly firstSeenMs: number;
}
