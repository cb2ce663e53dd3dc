/** What one connection holds of the budget of all connections. */

/** Limits that a client can meet; part of the names of metrics. */
export type ClientLimit =
  | 'connections'
  | 'held_bytes'
  | 'body_bytes'
  | 'body_time'
  | 'input_rate'
  | 'response_time'
  | 'head_bytes'
  | 'head_time'
  | 'header_count'
  | 'malformed';

/**
 * Memory of an open connection that holds nothing else: socket, stream, parser and their native parts. 1,500 idle
 * connections took 10 to 14 KB of resident memory each.
 */
export const CONNECTION_BYTES = 14_336;

/** What a connection is doing, in the order in which connections are dropped. */
export const STAGES = ['reading', 'answering', 'handed'] as const;

/**
 * `reading`: idle, or its request has not arrived completely; `handed`: the handler has the request; `answering`: the
 * response has not been taken by the client.
 */
export type Stage = (typeof STAGES)[number];

/** The budget that a share is part of. */
interface ShareOwner {
  /** Changes the sum of what is held. */
  change(bytes: number): void;
  /** Removes a closed connection. */
  remove(share: BudgetShare): void;
}

/** Part of the budget that one connection holds. */
export class BudgetShare {
  readonly address: string;

  readonly drop: (limit: ClientLimit) => void;

  stage: Stage = 'reading';

  /** Start of the present request, or of the pause after the last one. */
  sinceMs: number;

  #budget: ShareOwner;

  #heldBytes = CONNECTION_BYTES;

  #pinnedBytes = 0;

  #isClosed = false;

  constructor(
    budget: ShareOwner,
    address: string,
    nowMs: number,
    drop: (limit: ClientLimit) => void,
  ) {
    this.#budget = budget;
    this.address = address;
    this.sinceMs = nowMs;
    this.drop = drop;
  }

  get isClosed(): boolean {
    return this.#isClosed;
  }

  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** What would be released if the connection were closed; what a handler uses stays. */
  get releasableBytes(): number {
    return this.#heldBytes - CONNECTION_BYTES - this.#pinnedBytes;
  }

  /**
   * Counts memory as held, or as released. May drop connections, this one included.
   * @param bytes - the change
   */
  add(bytes: number): void {
    if (this.#isClosed || bytes === 0) return;
    this.#heldBytes += bytes;
    this.#budget.change(bytes);
  }

  /**
   * Marks memory that a handler uses until `unpin`, even when the connection closes before.
   * @param bytes - a part of what is held
   */
  pin(bytes: number): void {
    this.#pinnedBytes = bytes;
  }

  /**
   * Counts further memory that a handler uses until `unpin`.
   * @param bytes - the memory
   */
  addPinned(bytes: number): void {
    this.#pinnedBytes += bytes;
    this.#heldBytes += bytes;
    this.#budget.change(bytes);
  }

  /** Releases what was pinned. */
  unpin(): void {
    const bytes = this.#pinnedBytes;
    this.#pinnedBytes = 0;
    this.#heldBytes -= bytes;
    this.#budget.change(-bytes);
  }

  /** Releases everything that is not pinned. */
  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#budget.remove(this);
    this.#budget.change(this.#pinnedBytes - this.#heldBytes);
    this.#heldBytes = this.#pinnedBytes;
  }
}
