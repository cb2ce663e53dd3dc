/** Answers of the advice service for one step. */

import type { TargetId, Ticket } from '../types/ids';
import type { AdviceCosts } from '../work/types';
import { MIN_TICKET_LIFE_AFTER_STOP_MS, TICKET_MARGIN_MS } from './constants';
import type { HandedAdvice, TicketGrant } from './types';

/**
 * Gets how long a ticket has to be valid for a run to be stopped for its use.
 * @param costs - the properties of the queue's advice
 * @returns the time; shorter where tickets are not valid for long, as none would do otherwise
 */
export function getMinLifeAfterStopMs({ ticketValidMs }: AdviceCosts): number {
  return Math.min(MIN_TICKET_LIFE_AFTER_STOP_MS, (ticketValidMs - TICKET_MARGIN_MS) / 2);
}

/** A ticket for one incarnation of a target. */
interface HeldTicket {
  readonly ticket: Ticket;
  readonly incarnationStartMs: number;
  readonly usableUntilMs: number;
  /** When this owner has received it. */
  readonly receivedAtMs: number;
}

/**
 * Tickets of one step, and the targets that are refused for it. Approvals and refusals hold for an incarnation of a
 * target, as the next one may be of another kind; tickets expire.
 */
export class StepAdvice {
  #tickets = new Map<TargetId, HeldTicket>();

  /** No ticket is valid after this time. */
  #latestUsableUntilMs = Number.NEGATIVE_INFINITY;

  /** Start times of the approved and of the refused incarnations. */
  #approved = new Map<TargetId, number>();

  #refused = new Map<TargetId, number>();

  /** Whether a call for this step is in progress. */
  isCallPending = false;

  /** Time of the last call; undefined before the first one. */
  lastCallAtMs: number | undefined;

  /**
   * Applies an answer.
   * @param receivedAtMs - elapsed time of this process
   * @param queriedTargetIds - the targets about which the service was queried
   * @param grants - the approved targets with their tickets
   * @param usableUntilMs - expiry of the tickets, in elapsed time of this process
   * @param getIncarnationStartMs - gets the incarnation of a target for which its ticket is valid
   */
  addAnswer(
    receivedAtMs: number,
    queriedTargetIds: readonly TargetId[],
    grants: readonly TicketGrant[],
    usableUntilMs: number,
    getIncarnationStartMs: (targetId: TargetId) => number,
  ): void {
    const granted = new Set(grants.map(({ targetId }) => targetId));
    queriedTargetIds.forEach((targetId) => {
      if (!granted.has(targetId)) this.#refused.set(targetId, getIncarnationStartMs(targetId));
    });
    this.#latestUsableUntilMs = Math.max(
      this.#latestUsableUntilMs,
      usableUntilMs - TICKET_MARGIN_MS,
    );
    grants.forEach(({ targetId, ticket }) => {
      this.#approved.set(targetId, getIncarnationStartMs(targetId));
      this.#tickets.set(targetId, {
        ticket,
        incarnationStartMs: getIncarnationStartMs(targetId),
        usableUntilMs: usableUntilMs - TICKET_MARGIN_MS,
        receivedAtMs,
      });
    });
  }

  /**
   * Gets what a successor can use.
   * @param nowMs - elapsed time of this process
   * @returns the tickets that are valid, and the refused targets
   */
  getHanded(nowMs: number): Pick<HandedAdvice, 'tickets' | 'refused'> {
    const tickets = [...this.#tickets].flatMap(([targetId, held]) => {
      const { ticket, incarnationStartMs, usableUntilMs } = held;
      const remainingMs = usableUntilMs - nowMs;
      return remainingMs > 0 ? [{ targetId, incarnationStartMs, ticket, remainingMs }] : [];
    });
    const refused = [...this.#refused].map(([targetId, incarnationStartMs]) => ({
      targetId,
      incarnationStartMs,
    }));
    return { tickets, refused };
  }

  /**
   * Adopts what a former owner has handed over; what this owner knows by itself holds.
   * @param handed - the tickets and the refused targets
   * @param sentAtMs - when they were sent at the latest, in elapsed time of this process
   */
  adoptHanded({ tickets, refused }: HandedAdvice, sentAtMs: number): void {
    const ownIds = new Set([...this.#approved.keys(), ...this.#refused.keys()]);
    refused.forEach(({ targetId, incarnationStartMs }) => {
      if (!ownIds.has(targetId)) this.#refused.set(targetId, incarnationStartMs);
    });
    tickets.forEach(({ targetId, incarnationStartMs, ticket, remainingMs }) => {
      if (ownIds.has(targetId)) return;
      const usableUntilMs = sentAtMs + remainingMs;
      this.#approved.set(targetId, incarnationStartMs);
      this.#tickets.set(targetId, {
        ...{ ticket, incarnationStartMs, usableUntilMs },
        receivedAtMs: sentAtMs,
      });
      this.#latestUsableUntilMs = Math.max(this.#latestUsableUntilMs, usableUntilMs);
    });
  }

  /**
   * @param targetId - the target
   * @param incarnationStartMs - its current incarnation
   * @param nowMs - elapsed time of this process
   * @returns a valid ticket, if there is one
   */
  getTicket(targetId: TargetId, incarnationStartMs: number, nowMs: number): Ticket | undefined {
    const held = this.#tickets.get(targetId);
    if (held === undefined || held.incarnationStartMs !== incarnationStartMs) return undefined;
    return held.usableUntilMs > nowMs ? held.ticket : undefined;
  }

  /**
   * @param targetId - the target
   * @param incarnationStartMs - its current incarnation
   * @param nowMs - elapsed time of this process
   * @returns how long its ticket can still be used; 0 when there is none
   */
  getTicketLifeMs(targetId: TargetId, incarnationStartMs: number, nowMs: number): number {
    const held = this.#tickets.get(targetId);
    if (held === undefined || held.incarnationStartMs !== incarnationStartMs) return 0;
    return Math.max(0, held.usableUntilMs - nowMs);
  }

  /**
   * @param targetId - the target
   * @param nowMs - elapsed time of this process
   * @returns how long ago its ticket was received, if there is one
   */
  getTicketAgeMs(targetId: TargetId, nowMs: number): number | undefined {
    const held = this.#tickets.get(targetId);
    return held && nowMs - held.receivedAtMs;
  }

  /**
   * @param nowMs - elapsed time of this process
   * @returns the targets with valid tickets
   */
  getUsableTicketTargetIds(nowMs: number): TargetId[] {
    return [...this.#tickets]
      .filter(([, held]) => held.usableUntilMs > nowMs)
      .map(([targetId]) => targetId);
  }

  /** Number of tickets, some of which may have expired. */
  get ticketCount(): number {
    return this.#tickets.size;
  }

  /**
   * @param nowMs - elapsed time of this process
   * @returns true when there is a valid ticket
   */
  hasUsableTicket(nowMs: number): boolean {
    if (this.#latestUsableUntilMs <= nowMs) return false;
    for (const held of this.#tickets.values()) {
      if (held.usableUntilMs > nowMs) return true;
    }
    return false;
  }

  /**
   * Visits the targets with valid tickets, which may be for former incarnations.
   * @param nowMs - elapsed time of this process
   * @param visit - called for each target
   */
  forEachUsableTicket(nowMs: number, visit: (targetId: TargetId) => void): void {
    if (this.#latestUsableUntilMs <= nowMs) return;
    this.#tickets.forEach((held, targetId) => {
      if (held.usableUntilMs > nowMs) visit(targetId);
    });
  }

  /**
   * @param targetId - the target
   * @param incarnationStartMs - its current incarnation
   * @returns true when the service has refused the target for the step
   */
  isRefused(targetId: TargetId, incarnationStartMs: number): boolean {
    return this.#refused.get(targetId) === incarnationStartMs;
  }

  /**
   * @param targetId - the target
   * @param incarnationStartMs - its current incarnation
   * @returns true when the service has approved the target for the step
   */
  isApproved(targetId: TargetId, incarnationStartMs: number): boolean {
    return this.#approved.get(targetId) === incarnationStartMs;
  }

  /**
   * Removes a ticket that a target has rejected.
   * @param targetId - the target
   */
  dropTicket(targetId: TargetId): void {
    this.#tickets.delete(targetId);
  }
}
