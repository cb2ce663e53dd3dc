/** The operator's decisions with the place in the store's history at which they were read. */

import type { OperatorState } from '../work/types';

/** What operators had decided at one version of the store. */
export interface OperatorSnapshot {
  /** Version of the newest change that is taken in. */
  readonly changeVersion: number;
  readonly operator: OperatorState;
}
