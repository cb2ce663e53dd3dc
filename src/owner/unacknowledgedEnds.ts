/** Ends that a target reports until they are acknowledged, which waits until what they have changed is durable. */

import type { SubmissionRecord } from './submissionRecord';

interface UnacknowledgedEnd {
  readonly sequence: number;
  /** The submission whose progress must be durable before the acknowledgement, if any. */
  readonly record: SubmissionRecord | undefined;
  /** Change count of that submission after the end was applied. */
  readonly change: number;
  /** It has not been applied, as its submission has not been read. */
  readonly isDeferred: boolean;
}

/**
 * Ends are acknowledged in order, so those of a submission whose progress the store rejects do not wait: those of all
 * others behind them would never be acknowledged. A later owner may then start its tasks again.
 */
function isDurable({ record, change, isDeferred }: UnacknowledgedEnd): boolean {
  if (isDeferred) return false;
  return record === undefined || record.isUnstorable || record.durableChangeCount >= change;
}

/** The unacknowledged ends of one target, in the order of their sequence numbers. */
export class UnacknowledgedEnds {
  #ends: UnacknowledgedEnd[] = [];

  get count(): number {
    return this.#ends.length;
  }

  /** Sequence number of the last end; undefined when there is none. */
  get lastSequence(): number | undefined {
    return this.#ends.at(-1)?.sequence;
  }

  /** Whether all ends that have been applied are durable. */
  get areAllDurable(): boolean {
    return this.#ends.every((end) => end.isDeferred || isDurable(end));
  }

  /** Sequence number up to which all ends are durable; undefined when not even the first one is, or there is none. */
  get durableSequence(): number | undefined {
    const firstPending = this.#ends.findIndex((end) => !isDurable(end));
    const last = firstPending < 0 ? this.#ends.at(-1) : this.#ends[firstPending - 1];
    return last?.sequence;
  }

  /**
   * Adds an end, or completes one that was deferred.
   * @param sequence - its sequence number
   * @param record - the submission whose progress it changed, if any
   */
  add(sequence: number, record: SubmissionRecord | undefined): void {
    this.#set({ sequence, record, change: record?.changeCount ?? 0, isDeferred: false });
  }

  /**
   * Adds an end that cannot be applied yet. It and the later ones are not acknowledged until it is.
   * @param sequence - its sequence number
   */
  defer(sequence: number): void {
    if (this.#ends.some((end) => end.sequence === sequence)) return;
    this.#set({ sequence, record: undefined, change: 0, isDeferred: true });
  }

  /**
   * @param sequence - a sequence number
   * @returns whether the end has not been applied yet
   */
  isDeferred(sequence: number): boolean {
    return this.#ends.some((end) => end.isDeferred && end.sequence === sequence);
  }

  #set(added: UnacknowledgedEnd): void {
    const position = this.#ends.findIndex(({ sequence }) => sequence === added.sequence);
    if (position < 0) this.#ends.push(added);
    else this.#ends[position] = added;
  }

  /**
   * Removes ends that have been acknowledged.
   * @param sequence - ends up to this sequence number
   */
  remove(sequence: number): void {
    this.#ends = this.#ends.filter((end) => end.sequence > sequence);
  }
}
