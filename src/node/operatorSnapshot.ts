/** The operator state, with the store version at which it was read. */

import type { OperatorState } from '../work/types';

/** The operator state at one version of the store. */
export interface OperatorSnapshot {
  /** Version of the newest change that is included. */
  readonly changeVersion: number;
  readonly operator: OperatorState;
}
