/**
 * Connections and memory that the clients of all listeners of a process may hold together. Nothing is refused while
 * the budget suffices, however much one client holds. When it does not, connections are dropped: first those of client
 * addresses above an equal share, and of these the ones that have held the most for the longest time.
 */

import { BudgetShare, CONNECTION_BYTES, STAGES } from './budgetShare';
import type { ClientLimit } from './budgetShare';

/** Called when a client has met a limit and its request was refused or its connection closed. */
export type LimitListener = (limit: ClientLimit, address: string) => void;

/** Limits of all connections together. */
export interface BudgetLimits {
  readonly maxConnections: number;
  readonly maxHeldBytes: number;
}

/** After the budget was exceeded, connections are dropped until this part of it is free, to search less often. */
const FREED_FRACTION = 1 / 16;

/** Added to the age of what is held, so that size decides between connections that have just begun. */
const MIN_AGE_MS = 100;

/** Sums a property of shares by client address. */
function sumByAddress(
  shares: Iterable<BudgetShare>,
  getValue: (share: BudgetShare) => number,
): ReadonlyMap<string, number> {
  const sums = new Map<string, number>();
  [...shares].forEach((share) =>
    sums.set(share.address, (sums.get(share.address) ?? 0) + getValue(share)),
  );
  return sums;
}

/** Keeps the sums over all connections and drops connections when a sum exceeds its limit. */
export class ConnectionBudget {
  #limits: BudgetLimits;

  #onLimit: LimitListener;

  #shares = new Set<BudgetShare>();

  #heldBytes = 0;

  #isDropping = false;

  /**
   * @param limits - limits of all connections together
   * @param onLimit - called for each limit that a client meets
   */
  constructor(limits: BudgetLimits, onLimit: LimitListener = () => undefined) {
    this.#limits = limits;
    this.#onLimit = onLimit;
  }

  /** Number of open connections. */
  get connectionCount(): number {
    return this.#shares.size;
  }

  /** Memory that all connections and the requests of handlers hold. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Whether so much is held that nothing more may be handed to a handler. */
  get isExceeded(): boolean {
    return this.#heldBytes > this.#limits.maxHeldBytes;
  }

  /**
   * Counts a new connection. May drop others, or the new one when all others are being served.
   * @param address - address of the client
   * @param nowMs - the time
   * @param drop - refuses the request of the connection, or closes it
   * @returns the share of the connection
   */
  open(address: string, nowMs: number, drop: (limit: ClientLimit) => void): BudgetShare {
    const share = new BudgetShare(this, address, nowMs, drop);
    this.#shares.add(share);
    if (this.#shares.size > this.#limits.maxConnections) this.#dropConnections(share);
    this.change(CONNECTION_BYTES);
    return share;
  }

  /**
   * Reports that a client has met a limit.
   * @param limit - the limit
   * @param address - address of the client
   */
  report(limit: ClientLimit, address: string): void {
    this.#onLimit(limit, address);
  }

  /** Changes the sum of what is held; called by the shares. */
  change(bytes: number): void {
    this.#heldBytes += bytes;
    if (bytes > 0 && this.isExceeded && !this.#isDropping) this.#dropHolders();
  }

  /** Removes a closed connection; called by its share. */
  remove(share: BudgetShare): void {
    this.#shares.delete(share);
  }

  /** Drops the connections that have been idle, or reading a request, for the longest time. */
  #dropConnections(newcomer: BudgetShare): void {
    const { maxConnections } = this.#limits;
    const counts = sumByAddress(this.#shares, () => 1);
    const equalCount = maxConnections / counts.size;
    const candidates = [...this.#shares]
      .filter(
        ({ stage, address }) => stage === 'reading' && (counts.get(address) ?? 0) > equalCount,
      )
      .sort((left, right) => left.sinceMs - right.sinceMs);
    const excessCount = Math.ceil(maxConnections * FREED_FRACTION);
    const victims = candidates.filter((share) => share !== newcomer).slice(0, excessCount);
    (victims.length === 0 ? [newcomer] : victims).forEach((share) =>
      this.#drop(share, 'connections'),
    );
  }

  /** Drops the connections with the largest product of bytes and time, by stage. */
  #dropHolders(): void {
    this.#isDropping = true;
    const { maxHeldBytes } = this.#limits;
    const nowMs = performance.now();
    const sums = sumByAddress(this.#shares, ({ releasableBytes }) => releasableBytes);
    const equalBytes = [...sums.values()].reduce((sum, bytes) => sum + bytes, 0) / sums.size;
    const getScore = ({ releasableBytes, sinceMs }: BudgetShare) =>
      releasableBytes * (nowMs - sinceMs + MIN_AGE_MS);
    const candidates = [...this.#shares]
      .filter(
        ({ releasableBytes, address }) =>
          releasableBytes > 0 && (sums.get(address) ?? 0) >= equalBytes,
      )
      .map((share) => ({ share, rank: STAGES.indexOf(share.stage), score: getScore(share) }))
      .sort((left, right) => left.rank - right.rank || right.score - left.score);
    const aimBytes = maxHeldBytes * (1 - FREED_FRACTION);
    candidates.forEach(({ share, rank }) => {
      // Nothing more is freed than needed by dropping connections whose requests have been handed on.
      if (this.#heldBytes > (rank === 0 ? aimBytes : maxHeldBytes)) this.#drop(share, 'held_bytes');
    });
    this.#isDropping = false;
  }

  #drop(share: BudgetShare, limit: ClientLimit): void {
    this.report(limit, share.address);
    share.drop(limit);
  }
}
