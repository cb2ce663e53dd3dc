/** State of the ownership state machine that belongs to its current mode. */

import type { Epoch, NodeId } from '../types/ids';
import { toEpoch } from '../types/ids';
import type { OwnerRow, OwnershipMode } from './ownershipTypes';
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

/**
 * Gets the owner of an epoch that a node knows but does not hear.
 * @param mode - mode of the node
 * @param epoch - the epoch
 * @returns its address; undefined when the node does not know it, or knows that it resigns
 */
export function tryGetUnheardAddress(mode: OwnershipMode, epoch: Epoch): string | undefined {
  const isKnown = mode.kind === 'following' || mode.kind === 'suspecting';
  if (!isKnown || mode.row.epoch !== epoch || mode.row.address === '') return undefined;
  const isResigning = mode.kind === 'suspecting' && mode.suspicion === 'resigned';
  return isResigning ? undefined : mode.row.address;
}
