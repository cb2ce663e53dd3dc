/** What the advice service has said for one step. */

import type { TargetId, Ticket } from '../types/ids';
import { TICKET_MARGIN_MS } from './constants';
import type { TicketGrant } from './types';

/** A ticket of one target. */
interface HeldTicket {
  readonly ticket: Ticket;
  readonly bornAtMs: number;
  readonly usableUntilMs: number;
}

/** Tickets of one step, and the targets that may not run it. An answer never changes; a ticket ends. */
export class StepAdvice {
  #tickets = new Map<TargetId, HeldTicket>();

  #good = new Set<TargetId>();

  #refused = new Set<TargetId>();

  /** A call for this step waits for its answer. */
  isAsked = false;

  /** When the last call left. */
  askedAtMs = 0;

  /**
   * Takes an answer.
   * @param namedIds - the targets that were named
   * @param grants - those that may run the step
   * @param usableUntilMs - end of the tickets on our clock
   * @param getBornAtMs - the life of a target that the ticket holds for
   */
  addAnswer(
    namedIds: readonly TargetId[],
    grants: readonly TicketGrant[],
    usableUntilMs: number,
    getBornAtMs: (targetId: TargetId) => number,
  ): void {
    const granted = new Set(grants.map(({ targetId }) => targetId));
    namedIds.forEach((targetId) => {
      if (!granted.has(targetId)) this.#refused.add(targetId);
    });
    grants.forEach(({ targetId, ticket }) => {
      this.#good.add(targetId);
      this.#tickets.set(targetId, {
        ticket,
        bornAtMs: getBornAtMs(targetId),
        usableUntilMs: usableUntilMs - TICKET_MARGIN_MS,
      });
    });
  }

  /**
   * @param targetId - the target
   * @param bornAtMs - its present life
   * @param nowMs - our clock
   * @returns a ticket that can be used now, if there is one
   */
  getTicket(targetId: TargetId, bornAtMs: number, nowMs: number): Ticket | undefined {
    const held = this.#tickets.get(targetId);
    if (held === undefined || held.bornAtMs !== bornAtMs) return undefined;
    return held.usableUntilMs > nowMs ? held.ticket : undefined;
  }

  /**
   * @param nowMs - our clock
   * @returns the targets whose tickets can be used now
   */
  getUsableIds(nowMs: number): TargetId[] {
    return [...this.#tickets]
      .filter(([, held]) => held.usableUntilMs > nowMs)
      .map(([targetId]) => targetId);
  }

  /**
   * @param targetId - the target
   * @returns true when the service has said that it may not run the step
   */
  isRefused(targetId: TargetId): boolean {
    return this.#refused.has(targetId);
  }

  /**
   * @param targetId - the target
   * @returns true when the service has said that it may run the step
   */
  isGood(targetId: TargetId): boolean {
    return this.#good.has(targetId);
  }

  /**
   * Forgets a ticket that a target has refused.
   * @param targetId - the target
   */
  dropTicket(targetId: TargetId): void {
    this.#tickets.delete(targetId);
  }
}
