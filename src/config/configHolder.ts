/** Holds the active configuration of a process; its version never decreases. */

import { toConfigVersion } from '../types/ids';
import type { ConfigVersion, KeyId, QueueId, TeamId } from '../types/ids';
import type { NotRunReason } from '../types/outcomes';
import { EMPTY_CONFIG } from './types';
import type { AcceptedConfig, Queue } from './types';

/** Time after a confirmation during which the configuration counts as the newest. */
export const CONFIG_FRESHNESS_LIFETIME_MS = 6_000;

/**
 * Determines whether a stored value is a configuration.
 * @param value - value of a row
 * @returns true for a configuration
 */
export function isAcceptedConfig(value: unknown): value is AcceptedConfig {
  return typeof value === 'object' && value !== null && 'version' in value && 'sheet' in value;
}

/** The active configuration of one process and the time of its last confirmation. */
export class ConfigHolder {
  #config: AcceptedConfig = EMPTY_CONFIG;

  #startedAtMs = Number.NEGATIVE_INFINITY;

  #confirmedAtMs = Number.NEGATIVE_INFINITY;

  /** The active configuration. */
  get config(): AcceptedConfig {
    return this.#config;
  }

  /** Version of the active configuration. */
  get version(): ConfigVersion {
    return this.#config.version;
  }

  /** Latest time at which certainly no newer configuration was in force. */
  get confirmedAtMs(): number {
    return this.#confirmedAtMs;
  }

  /**
   * Sets the start time of the process. Earlier confirmations are ignored, so that a restarted
   * process never admits work under an older version than its predecessor did.
   * @param startedAtMs - start time on this process's monotonic clock
   */
  setStartTime(startedAtMs: number): void {
    this.#startedAtMs = startedAtMs;
  }

  /**
   * Adopts a configuration unless it is older.
   * @param config - a configuration from the platform or a peer
   * @returns true if it was newer and is now active
   */
  tryAdopt(config: AcceptedConfig): boolean {
    if (config.version <= this.#config.version) return false;
    this.#config = config;
    return true;
  }

  /**
   * Records that no newer configuration was in force at a given time.
   * @param atMs - time on this process's monotonic clock
   */
  confirm(atMs: number): void {
    if (atMs < this.#startedAtMs) return;
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs, atMs);
  }

  /**
   * Gets the time until which the configuration may be used to admit work.
   * @returns the time on this process's monotonic clock; negative infinity before the first version
   */
  getFreshUntilMs(): number {
    if (this.version === toConfigVersion(0)) return Number.NEGATIVE_INFINITY;
    return this.#confirmedAtMs + CONFIG_FRESHNESS_LIFETIME_MS;
  }

  /**
   * Determines whether work may be admitted.
   * @param teamId - team that submits the work
   * @param keyId - key presented with the work
   * @param queueId - queue to which the work is submitted
   * @returns the queue, or the reason for the refusal
   */
  checkAdmission(teamId: TeamId, keyId: KeyId, queueId: QueueId): Queue | NotRunReason {
    const key = this.#config.sheet.keys.find((known) => known.keyId === keyId);
    if (key === undefined || key.teamId !== teamId) return 'unauthorized';
    const queue = this.#config.sheet.queues.find((known) => known.queueId === queueId);
    if (queue === undefined) return 'unknownQueue';
    if (queue.access.kind === 'team' && queue.access.teamId !== teamId) return 'queueForbidden';
    return queue;
  }
}
