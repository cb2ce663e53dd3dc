/** The configuration that a process has in force, which only ever moves to a higher version. */

import { toConfigVersion } from '../types/ids';
import type { ConfigVersion, KeyId, QueueId, TeamId } from '../types/ids';
import type { NotRunReason } from '../types/outcomes';
import { EMPTY_CONFIG } from './types';
import type { AcceptedConfig, Queue } from './types';

/** For this long after a confirmation the configuration counts as the newest. */
export const CONFIG_FRESH_MS = 6_000;

/**
 * Asks whether a stored value is a configuration.
 * @param value - of a row
 * @returns true for a configuration
 */
export function isAcceptedConfig(value: unknown): value is AcceptedConfig {
  return typeof value === 'object' && value !== null && 'version' in value && 'sheet' in value;
}

/** Configuration of one process. */
export class ConfigHolder {
  #config: AcceptedConfig = EMPTY_CONFIG;

  #startedMs = Number.NEGATIVE_INFINITY;

  #confirmedMs = Number.NEGATIVE_INFINITY;

  /** The configuration in force. */
  get config(): AcceptedConfig {
    return this.#config;
  }

  /** Its version. */
  get version(): ConfigVersion {
    return this.#config.version;
  }

  /** When no newer configuration was in force for certain, on this process's clock. */
  get confirmedMs(): number {
    return this.#confirmedMs;
  }

  /**
   * Sets when the process started. A confirmation from before is ignored, so that a restarted
   * process never admits by a version older than its predecessor did.
   * @param startedMs - this process's clock
   */
  begin(startedMs: number): void {
    this.#startedMs = startedMs;
  }

  /**
   * Adopts a configuration unless it is older.
   * @param config - what the platform or a peer has
   * @returns true when it was newer and is now in force
   */
  tryAdopt(config: AcceptedConfig): boolean {
    if (config.version <= this.#config.version) return false;
    this.#config = config;
    return true;
  }

  /**
   * Records that no newer configuration was in force at a time.
   * @param atMs - this process's clock
   */
  confirm(atMs: number): void {
    if (atMs < this.#startedMs) return;
    this.#confirmedMs = Math.max(this.#confirmedMs, atMs);
  }

  /**
   * Gets until when the configuration may be used to admit work.
   * @returns the end on this process's clock
   */
  getFreshUntilMs(): number {
    if (this.version === toConfigVersion(0)) return Number.NEGATIVE_INFINITY;
    return this.#confirmedMs + CONFIG_FRESH_MS;
  }

  /**
   * Asks whether work may be taken now.
   * @param teamId - whose work
   * @param keyId - the key that came with it
   * @param queueId - the queue it is for
   * @returns the queue, or why the work is refused
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
