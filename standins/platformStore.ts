/** In-memory stand-in of the platform: rows with versions, objects and a VM list, with faults. */

import type {
  JsonValue,
  PlatformCall,
  PlatformResult,
  Row,
  Transaction,
  Vm,
} from '../src/platform/types';
import { assertNever } from '../src/types/debug';

/** Faults that a test or the demo can switch on. */
export interface PlatformFaults {
  /** Every call fails without taking effect. */
  readonly isDown: boolean;
  /** Each answer waits this long. */
  readonly delayMs: number;
  /** This many coming writes take effect and lose their answer. */
  readonly loseAnswerCount: number;
}

/** The platform working as it should. */
export const NO_FAULTS: PlatformFaults = { isDown: false, delayMs: 0, loseAnswerCount: 0 };

interface StoredRow {
  version: number;
  value: JsonValue;
}

/** Counts of what callers did, for measurements. */
export interface PlatformCounts {
  readonly readCount: number;
  readonly writeCount: number;
  readonly writtenRowCount: number;
}

/** Executes platform calls one at a time, so that each transaction is atomic. */
export class PlatformStore {
  #rows = new Map<string, StoredRow>();

  #objects = new Map<string, string>();

  #vms: readonly Vm[] = [];

  #faults: PlatformFaults = NO_FAULTS;

  #readCount = 0;

  #writeCount = 0;

  #writtenRowCount = 0;

  /** Faults in force. */
  get faults(): PlatformFaults {
    return this.#faults;
  }

  /** Names of the objects kept. */
  get objectNames(): readonly string[] {
    return [...this.#objects.keys()];
  }

  /** Calls so far. */
  get counts(): PlatformCounts {
    return {
      readCount: this.#readCount,
      writeCount: this.#writeCount,
      writtenRowCount: this.#writtenRowCount,
    };
  }

  /**
   * Switches faults.
   * @param faults - the fields to change
   */
  setFaults(faults: Partial<PlatformFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
  }

  /**
   * Replaces the VM list.
   * @param vms - what `listVms` answers from now on
   */
  setVms(vms: readonly Vm[]): void {
    this.#vms = vms;
  }

  /**
   * Executes one call.
   * @param call - what to do
   * @param storeTimeMs - the store's clock
   * @returns the result; `unavailable` when down or when the answer is lost after taking effect
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
    const current = transaction.checks.map((check) => this.#getRow(check.key));
    const isCurrent = transaction.checks.every(
      (check, index) => current[index]?.version === check.version,
    );
    if (!isCurrent) return { kind: 'conflict', rows: current, storeTimeMs };
    const rows = transaction.writes.map(({ key, value }) => {
      // A deleted row keeps its version, so that a check against an old version never passes again.
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
