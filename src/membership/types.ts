/** Rows and views of the schedulers that take part. */

import type { DataCentreId, MemberId, VmId } from '../types/ids';

/** A member's session in the platform's table; each renewal changes the row's version. */
export interface MemberRow {
  readonly memberId: MemberId;
  readonly address: string;
  readonly vmId: VmId;
  readonly dataCentreId: DataCentreId;
  readonly region: string;
  readonly isLeaving: boolean;
  /**
   * Members whose promises the owner counts on while the platform is out. A successor needs one of
   * them to have ended its promise.
   */
  readonly standbyIds: readonly MemberId[];
}

/** A member as this process sees it. */
export interface MemberView {
  readonly row: MemberRow;
  readonly rowVersion: number;
  /** When this process first saw the row at this version, on its own clock. */
  readonly versionSeenMs: number;
  /** When this process first saw the member, on its own clock. */
  readonly firstSeenMs: number;
}
