/** The advice service of simulations. */

import * as E from 'fp-ts/Either';
import type { Advice, AdviceFailure } from '../../src/owner/types';
import type { StepKey, TargetId } from '../../src/types/ids';
import { getAdvice } from './worldChecks';

/** An answer and the time after which it arrives. */
interface ModelAnswer {
  readonly result: E.Either<AdviceFailure, Advice>;
  readonly delayMs: number;
}

/** Answers calls after a delay that tests choose. */
export class AdviceModel {
  isAvailable = true;

  /** Time until the service decides. */
  callMs = 30;

  perTargetMs = 0;

  /** Time that an answer takes to arrive, beside the decision. */
  transitMs = 0;

  ticketValidMs = 2_500;

  /** Number of calls by step. */
  readonly callCounts = new Map<StepKey, number>();

  /** Decides a call. */
  answer(stepKey: StepKey, targetIds: readonly TargetId[]): ModelAnswer {
    this.callCounts.set(stepKey, (this.callCounts.get(stepKey) ?? 0) + 1);
    const delayMs = this.callMs + this.perTargetMs * targetIds.length + this.transitMs;
    if (!this.isAvailable) return { result: E.left({ kind: 'busy' }), delayMs };
    const { grants } = getAdvice(stepKey, targetIds);
    return { result: E.right({ grants, validMs: this.ticketValidMs }), delayMs };
  }
}
