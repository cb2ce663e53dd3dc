/** The configuration that a process has in force, which only ever moves to a higher version. */

import { toConfigVersion, toId } from '../types/ids';
import type { ConfigVersion, KeyId, OperationId, QueueId, TeamId } from '../types/ids';
import type { PlatformCall, PlatformResult, Row } from '../platform/types';
import type { NotRunReason } from '../types/outcomes';
import { EMPTY_CONFIG } from './types';
import type { AcceptedConfig, Queue } from './types';

/** Key of the row that holds the newest configuration. */
export const CONFIG_KEY = 'config/current';

/** For this long after a confirmation the configuration counts as the newest. */
export const CONFIG_FRESH_MS = 6_000;

function isAcceptedConfig(value: unknown): value is AcceptedConfig {
  return typeof value === 'object' && value !== null && 'version' in value && 'sheet' in value;
}

/** Configuration of one process. */
export class ConfigHolder {
  #config: AcceptedConfig = EMPTY_CONFIG;

  #confirmedMs = Number.NEGATIVE_INFINITY;

  #rowVersion = 0;

  /** The configuration in force. */
  get config(): AcceptedConfig {
    return this.#config;
  }

  /** Its version. */
  get version(): ConfigVersion {
    return this.#config.version;
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
   * Takes in a read of the configuration row.
   * @param rows - the row
   * @param sentMs - when the read was sent
   * @returns true when a newer configuration is now in force
   */
  applyRead(rows: readonly Row[], sentMs: number): boolean {
    const row = rows[0];
    if (row === undefined) return false;
    this.#rowVersion = row.version;
    this.confirm(sentMs);
    return isAcceptedConfig(row.value) && this.tryAdopt(row.value);
  }

  /**
   * Records that no newer configuration existed at a time.
   * @param atMs - this process's clock
   */
  confirm(atMs: number): void {
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
   * Builds the transaction that makes a configuration the current one.
   * @param config - the next configuration
   * @param operationId - of the change
   * @returns the call; it conflicts when the row has changed since it was read
   */
  createWrite(config: AcceptedConfig, operationId: OperationId): PlatformCall {
    const value = JSON.parse(JSON.stringify({ ...config, operationId }));
    return {
      kind: 'transact',
      transaction: {
        operationId,
        checks: [{ key: CONFIG_KEY, version: this.#rowVersion }],
        writes: [{ key: CONFIG_KEY, value }],
      },
    };
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

  /**
   * Reads the version that a platform result shows, for a write that lost against another.
   * @param result - of the write
   * @returns the version of the conflicting row, 0 when there is none
   */
  static getConflictVersion(result: PlatformResult): ConfigVersion {
    if (result.kind !== 'conflict') return toConfigVersion(0);
    const value = result.rows[0]?.value;
    return isAcceptedConfig(value) ? value.version : toConfigVersion(0);
  }
}

/** Operation ids of configuration changes start with this. */
export const CONFIG_OPERATION_PREFIX = toId<OperationId>('config/');
