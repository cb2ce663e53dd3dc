/** Model of a store that runs the transactions of each part one after another, and can become many times slower. */

import * as E from 'fp-ts/Either';
import type { Committed, RowStore, RowTransaction, StoreOutcome } from '../../src/store/types';

const TRANSACTION_MS = 3;
const ANSWER_MS = 4;

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

function rejectCall() {
  return Promise.resolve(E.left({ kind: 'notDone', detail: 'not modelled' } as const));
}

/** Runs the transactions of each part one after another. */
export class SerialStore implements RowStore {
  factor = 1;

  #freeAtMs = new Map<string, number>();

  #rows = new Set<string>();

  async transact(transaction: RowTransaction, timeoutMs: number): Promise<StoreOutcome<Committed>> {
    const part = transaction.puts[0]?.part ?? '';
    const beginMs = Math.max(Date.now(), this.#freeAtMs.get(part) ?? 0);
    const endMs = beginMs + TRANSACTION_MS * this.factor;
    this.#freeAtMs.set(part, endMs);
    const durationMs = endMs - Date.now() + ANSWER_MS * this.factor;
    await sleep(Math.min(durationMs, timeoutMs));
    const keys = transaction.puts.map(({ table, key }) => `${table}/${key}`);
    const rows = transaction.puts.map((put, index) => ({
      ...put,
      version: this.#rows.has(keys[index] ?? '') ? 1 : 0,
    }));
    const isConflict = rows.some(({ version }) => version > 0);
    if (!isConflict) keys.forEach((key) => this.#rows.add(key));
    if (durationMs > timeoutMs) return E.left({ kind: 'unknown', detail: 'no answer' });
    return isConflict ? E.left({ kind: 'conflict', rows }) : E.right({ version: 1 });
  }

  readonly readRange = rejectCall;

  readonly follow = rejectCall;
}
