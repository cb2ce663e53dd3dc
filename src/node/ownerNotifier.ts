/**
 * Tells the owner of stored submissions and cancellations.
 *
 * The owner also reads the tables, but not while the store is away. So a notice is repeated until an owner has taken
 * it, and again for the next owner, which may have read the tables before the row was written.
 */

import type { Logger } from '../observe/logger';
import type { Metrics } from '../observe/metrics';
import type { PeerLinkHandle } from '../peer/types';
import { assertNever } from '../types/debug';
import type { Epoch, SubmissionId } from '../types/ids';
import type { StoredText } from '../store/types';

/** Delays between attempts to deliver a notice; doubled each time, as an owner that is late has much to do. */
const FIRST_RETRY_DELAY_MS = 250;
const MAX_RETRY_DELAY_MS = 2_000;

/** A notice that no owner has taken is given up after this time; a takeover or the table then tells of the row. */
const NOTICE_LIFETIME_MS = 30_000;

/** A delivered notice is kept this long, as its owner may have been replaced without knowing it yet. */
const DELIVERED_RETENTION_MS = 5_000;

/** Maximum notices that are kept; the oldest ones make way. */
const MAX_NOTICES = 1_000;

/** Notices that are in flight at the same time. */
const MAX_IN_FLIGHT = 32;

/** A delivery after this delay is logged. */
const LATE_DELIVERY_MS = 1_000;

/** A row that the owner should know of. */
export type OwnerNotice =
  | { readonly kind: 'submitted'; readonly submissionId: SubmissionId; readonly text: string }
  | { readonly kind: 'cancelled'; readonly submissionId: SubmissionId }
  | {
      readonly kind: 'cancelledAhead';
      readonly submissionId: SubmissionId;
      readonly row: StoredText;
    };

/** What a notice carries to the owner. */
export type DeliveredNotice =
  | { readonly kind: 'submitted'; readonly text: string }
  | { readonly kind: 'cancelled'; readonly submissionId: SubmissionId }
  | { readonly kind: 'cancelledAhead'; readonly row: StoredText };

/** The owner as this node knows it. */
export interface NotifiedOwner {
  readonly epoch: Epoch;
  /**
   * Resolves with the epoch of the owner that has taken the notice, which may be a former one; rejects when none has,
   * or may not have.
   */
  deliver(notice: OwnerNotice): Promise<Epoch>;
}

function callOwner(link: PeerLinkHandle, notice: OwnerNotice, timeoutMs: number) {
  const { submissionId } = notice;
  switch (notice.kind) {
    case 'submitted':
      return link.call('submitted', { text: notice.text }, timeoutMs);
    case 'cancelled':
      return link.call('cancelled', { submissionId }, timeoutMs);
    case 'cancelledAhead':
      return link.call('cancelledAhead', { row: notice.row }, timeoutMs);
    default:
      return assertNever(notice);
  }
}

/**
 * Addresses the owner on another node.
 * @param link - the connection to it
 * @param epoch - the epoch that this node believes it to own
 * @param timeoutMs - timeout of a notice
 * @returns the owner
 */
export function toNotifiedOwner(
  link: PeerLinkHandle,
  epoch: Epoch,
  timeoutMs: number,
): NotifiedOwner {
  return {
    epoch,
    deliver: async (notice) => {
      const reply = await callOwner(link, notice, timeoutMs);
      return reply.epoch ?? epoch;
    },
  };
}

/** Dependencies of the notifier. */
export interface NotifierPorts {
  /** @returns this node or the connected one, or undefined while no owner is known */
  getOwner(): NotifiedOwner | undefined;
  /** @returns elapsed time of this process in milliseconds */
  getNowMs(): number;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** State of the delivery of a notice. */
type DeliveryState =
  | { readonly kind: 'waiting'; readonly dueAtMs: number; readonly retryDelayMs: number }
  | { readonly kind: 'inFlight' }
  | { readonly kind: 'delivered'; readonly epoch: Epoch; readonly atMs: number };

interface PendingNotice {
  readonly key: string;
  readonly notice: OwnerNotice;
  readonly createdAtMs: number;
  attemptCount: number;
  state: DeliveryState;
}

/** Delivers notices to the owner. */
export class OwnerNotifier {
  #ports: NotifierPorts;

  #notices = new Map<string, PendingNotice>();

  #inFlightCount = 0;

  /**
   * @param ports - the owner, clock, logger and metrics
   */
  constructor(ports: NotifierPorts) {
    this.#ports = ports;
  }

  /** Number of notices that no owner has taken yet. */
  get undeliveredCount(): number {
    return [...this.#notices.values()].filter(({ state }) => state.kind !== 'delivered').length;
  }

  /**
   * Adds a notice and delivers it at once if an owner is known.
   * @param notice - the row that has been stored
   */
  notify(notice: OwnerNotice): void {
    const nowMs = this.#ports.getNowMs();
    const { kind, submissionId } = notice;
    const key = `${kind}/${kind === 'cancelledAhead' ? notice.row.key : submissionId}`;
    const known = this.#notices.get(key);
    if (known !== undefined && known.state.kind !== 'delivered') return;
    const state = { kind: 'waiting', dueAtMs: nowMs, retryDelayMs: FIRST_RETRY_DELAY_MS } as const;
    this.#notices.set(key, { key, notice, createdAtMs: nowMs, attemptCount: 0, state });
    this.#removeExcess();
    this.check();
  }

  /** Delivers the notices that are due. */
  check(): void {
    if (this.#notices.size === 0) return;
    const nowMs = this.#ports.getNowMs();
    const owner = this.#ports.getOwner();
    this.#notices.forEach((pending) => this.#checkNotice(pending, owner, nowMs));
  }

  #checkNotice(checked: PendingNotice, owner: NotifiedOwner | undefined, nowMs: number): void {
    const pending = checked;
    const { state } = pending;
    switch (state.kind) {
      case 'inFlight':
        return;
      case 'delivered':
        if (nowMs > state.atMs + DELIVERED_RETENTION_MS) this.#notices.delete(pending.key);
        else if (owner !== undefined && owner.epoch > state.epoch) this.#tryDeliver(pending, owner);
        return;
      case 'waiting':
        if (nowMs > pending.createdAtMs + NOTICE_LIFETIME_MS) this.#giveUp(pending, 'no owner');
        else if (owner !== undefined && nowMs >= state.dueAtMs) this.#tryDeliver(pending, owner);
        return;
      default:
        assertNever(state);
    }
  }

  #tryDeliver(delivered: PendingNotice, owner: NotifiedOwner): void {
    if (this.#inFlightCount >= MAX_IN_FLIGHT) return;
    const pending = delivered;
    const { state } = pending;
    const retryDelayMs = state.kind === 'waiting' ? state.retryDelayMs : FIRST_RETRY_DELAY_MS;
    pending.state = { kind: 'inFlight' };
    pending.attemptCount += 1;
    this.#inFlightCount += 1;
    owner
      .deliver(pending.notice)
      .then((epoch) => this.#onDelivered(pending, epoch))
      .catch(() => this.#onFailed(pending, retryDelayMs))
      .finally(() => {
        this.#inFlightCount -= 1;
      });
  }

  #onDelivered(delivered: PendingNotice, epoch: Epoch): void {
    const pending = delivered;
    const nowMs = this.#ports.getNowMs();
    const delayMs = Math.round(nowMs - pending.createdAtMs);
    pending.state = { kind: 'delivered', epoch, atMs: nowMs };
    this.#ports.metrics.record('owner_notice', delayMs);
    if (delayMs < LATE_DELIVERY_MS) return;
    this.#ports.metrics.count('owner_notices_late');
    const { kind, submissionId } = pending.notice;
    this.#ports.logger.info(
      { kind, submissionId, delayMs, attemptCount: pending.attemptCount, epoch },
      'owner was told late of a stored row',
    );
  }

  #onFailed(failed: PendingNotice, retryDelayMs: number): void {
    const pending = failed;
    pending.state = {
      kind: 'waiting',
      dueAtMs: this.#ports.getNowMs() + retryDelayMs,
      retryDelayMs: Math.min(2 * retryDelayMs, MAX_RETRY_DELAY_MS),
    };
    this.#ports.metrics.count('owner_notices_failed');
  }

  /** Bounds the memory of a gate while there is no owner. */
  #removeExcess(): void {
    if (this.#notices.size <= MAX_NOTICES) return;
    const [oldest] = this.#notices.values();
    if (oldest === undefined) return;
    if (oldest.state.kind === 'delivered') this.#notices.delete(oldest.key);
    else this.#giveUp(oldest, 'too many notices');
  }

  #giveUp(pending: PendingNotice, reason: string): void {
    this.#notices.delete(pending.key);
    this.#ports.metrics.count('owner_notices_given_up');
    const { kind, submissionId } = pending.notice;
    this.#ports.logger.warn(
      { kind, submissionId, reason, attemptCount: pending.attemptCount },
      'owner was not told of a stored row; it learns of it from the store',
    );
  }
}
