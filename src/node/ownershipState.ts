/** State of the ownership state machine that belongs to its current mode. */

import type { NodeId } from '../types/ids';
import { toEpoch } from '../types/ids';
import type { OwnerRow } from './ownershipTypes';
import { decodeVoterSet } from './voterSet';

/** An owner that has not reached the store for this long is replaced by a node that does. */
export const OWNER_STORE_TIMEOUT_MS = 900;

/** Mutable state that belongs to the current mode. */
export interface ModeState {
  enteredAtMs: number;
  lastContactAtMs: number;
  isConnected: boolean;
  /** The owner has answered a heartbeat, not only accepted the connection. */
  hasAnswered: boolean;
  nextAttemptAtMs: number;
  isReading: boolean;
  readSentAtMs: number;
  /** Since when this node has reached the store while the owner has not. */
  storeReachableSinceMs: number | undefined;
  /** Last confirmation by the store or by the voters. */
  confirmedAtMs: number;
  /** Last confirmation by the store. */
  storeConfirmedAtMs: number;
}

/**
 * Creates the state of a mode that is entered.
 * @param nowMs - current time
 * @returns the state
 */
export function createModeState(nowMs: number): ModeState {
  return {
    enteredAtMs: nowMs,
    lastContactAtMs: nowMs,
    isConnected: false,
    hasAnswered: false,
    nextAttemptAtMs: nowMs,
    isReading: false,
    readSentAtMs: nowMs,
    storeReachableSinceMs: undefined,
    confirmedAtMs: nowMs,
    storeConfirmedAtMs: nowMs,
  };
}

/**
 * Creates the row that stands for the owner while there has never been one.
 * @returns a row that any node may replace
 */
export function createVacantRow(): OwnerRow {
  return {
    ...{ nodeId: '' as NodeId, address: '', epoch: toEpoch(0), version: 0, aliveVersion: 0 },
    voterSet: decodeVoterSet(undefined),
  };
}
