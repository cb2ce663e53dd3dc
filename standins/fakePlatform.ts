/** In-memory fake of the platform: versioned rows, objects and a VM list, with fault injection. */

import type {
  JsonValue,
  PlatformCall,
  PlatformResult,
  Row,
  Transaction,
  Vm,
} from '../src/platform/types';
import { assertNever } from '../src/types/debug';

/** Faults that a test can inject. */
export interface PlatformFaults {
  /** All calls fail without taking effect. */
  readonly isDown: boolean;
  /** Delay of each response. */
  readonly delayMs: number;
  /** Number of upcoming transactions that are committed but whose response is lost. */
  readonly loseAnswerCount: number;
}

/** No faults. */
export const NO_FAULTS: PlatformFaults = { isDown: false, delayMs: 0, loseAnswerCount: 0 };

interface StoredRow {
  version: number;
  value: JsonValue;
}

/** Call counters for measurements. */
export interface PlatformCounts {
  readonly readCount: number;
  readonly writeCount: number;
  readonly writtenRowCount: number;
}

/** Executes platform calls sequentially, which makes each transaction atomic. */
export class FakePlatform {
  #rows = new Map<string, StoredRow>();

  #objects = new Map<string, string>();

  #vms: readonly Vm[] = [];

  #faults: PlatformFaults = NO_FAULTS;

  #readCount = 0;

  #writeCount = 0;

  #writtenRowCount = 0;

  /** Currently injected faults. */
  get faults(): PlatformFaults {
    return this.#faults;
  }

  /** Names of the stored objects. */
  get objectNames(): readonly string[] {
    return [...this.#objects.keys()];
  }

  /** Counters since creation. */
  get counts(): PlatformCounts {
    return {
      readCount: this.#readCount,
      writeCount: this.#writeCount,
      writtenRowCount: this.#writtenRowCount,
    };
  }

  /**
   * Changes the injected faults.
   * @param faults - the fields to change
   */
  setFaults(faults: Partial<PlatformFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
  }

  /**
   * Replaces the VM list.
   * @param vms - VMs that `listVms` returns from now on
   */
  setVms(vms: readonly Vm[]): void {
    this.#vms = vms;
  }

  /**
   * Executes one call.
   * @param call - the call
   * @param storeTimeMs - current time of the store's clock
   * @returns the result; `unavailable` when the platform is down, or when the response of a commit is lost
   */
  perform(call: PlatformCall, storeTimeMs: number): PlatformResult {
    if (this.#faults.isDown) return { kind: 'unavailable', detail: 'down' };
    switch (call.kind) {
      case 'read':
        this.#readCount += 1;
        return { kind: 'rows', rows: call.keys.map((key) => this.#getRow(key)), storeTimeMs };
      case 'range':
        this.#readCount += 1;
        return {
          kind: 'rows',
          rows: this.#getRange(call.prefix, call.after, call.limit),
          storeTimeMs,
        };
      case 'transact':
        return this.#transact(call.transaction, storeTimeMs);
      case 'putObject':
        this.#writeCount += 1;
        this.#objects.set(call.name, call.body);
        return { kind: 'committed', rows: [], storeTimeMs };
      case 'getObject':
        this.#readCount += 1;
        return { kind: 'object', body: this.#objects.get(call.name) ?? null, storeTimeMs };
      case 'deleteObject':
        this.#writeCount += 1;
        this.#objects.delete(call.name);
        return { kind: 'committed', rows: [], storeTimeMs };
      case 'listVms':
        this.#readCount += 1;
        return { kind: 'vms', vms: this.#vms, storeTimeMs };
      default:
        return assertNever(call);
    }
  }

  #getRow(key: string): Row {
    const stored = this.#rows.get(key);
    if (stored === undefined) return { key, version: 0, value: null };
    return { key, version: stored.version, value: stored.value };
  }

  #getRange(prefix: string, after: string, limit: number): readonly Row[] {
    return [...this.#rows.keys()]
      .filter((key) => key.startsWith(prefix) && key > after)
      .sort()
      .map((key) => this.#getRow(key))
      .filter((row) => row.value !== null)
      .slice(0, limit);
  }

  #transact(transaction: Transaction, storeTimeMs: number): PlatformResult {
    this.#writeCount += 1;
    const currentRows = transaction.checks.map((check) => this.#getRow(check.key));
    const isCurrent = transaction.checks.every(
      (check, index) => currentRows[index]?.version === check.version,
    );
    if (!isCurrent) return { kind: 'conflict', rows: currentRows, storeTimeMs };
    const rows = transaction.writes.map(({ key, value }) => {
      // A deleted row keeps its version, so that a check against an earlier version can never pass again.
      const version = this.#getRow(key).version + 1;
      this.#rows.set(key, { version, value });
      return { key, version };
    });
    this.#writtenRowCount += rows.length;
    if (this.#faults.loseAnswerCount > 0) {
      this.setFaults({ loseAnswerCount: this.#faults.loseAnswerCount - 1 });
      return { kind: 'unavailable', detail: 'answer lost' };
    }
    return { kind: 'committed', rows, storeTimeMs };
  }
}
