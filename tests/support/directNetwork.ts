/** Network without connections: a request reaches only the incarnation that was alive when it was sent. */

import * as E from 'fp-ts/Either';
import type { TargetId } from '../../src/types/ids';
import type { Random } from '../../src/types/random';
import { LINK_LATENCY_MS } from './networkModel';
import type { Network, TargetCall } from './networkModel';
import type { VirtualTime } from './virtualTime';
import type { WorldFaults } from './worldFaults';

/** Delivers each request at once or late, or loses its response. */
export class DirectNetwork implements Network {
  #time: VirtualTime;

  #random: Random;

  #faults: WorldFaults;

  #isCut: (targetId: TargetId) => boolean;

  constructor(
    time: VirtualTime,
    random: Random,
    faults: WorldFaults,
    isCut: (targetId: TargetId) => boolean,
  ) {
    this.#time = time;
    this.#random = random;
    this.#faults = faults;
    this.#isCut = isCut;
  }

  call({ target, effect, findObstacle, perform, onAnswered }: TargetCall): void {
    let isAnswered = false;
    const answer = (result: E.Either<unknown, unknown>) => {
      if (isAnswered) return;
      isAnswered = true;
      onAnswered(result);
    };
    const obstacle = findObstacle();
    if (obstacle !== undefined) {
      this.#time.after(0, () => answer(E.left({ kind: 'notSent', detail: obstacle })));
      return;
    }
    this.#time.after(effect.timeoutMs, () => answer(E.left({ kind: 'lost', detail: 'timeout' })));
    if (target === undefined) return;
    if (target.isRefusing && !this.#isCut(target.id)) {
      const refused = { kind: 'notSent', detail: 'refused', isConnectionClosed: true };
      this.#time.after(LINK_LATENCY_MS, () => answer(E.left(refused)));
      return;
    }
    const { lateCalls, lostAnswers } = this.#faults;
    const isLate = this.#random.nextFraction() < lateCalls;
    const isLost = isLate || this.#random.nextFraction() < lostAnswers;
    // A delayed request is dropped when the target restarts before it is performed.
    const { incarnationStartMs } = target.entry;
    const delayMs = isLate ? 2_000 + this.#random.nextInt(6_000) : LINK_LATENCY_MS;
    this.#time.after(delayMs, () => {
      if (
        !target.isUp ||
        target.entry.incarnationStartMs !== incarnationStartMs ||
        (!isLate && this.#isCut(target.id))
      )
        return;
      perform(target, (result) => {
        if (isLost || this.#isCut(target.id)) return;
        this.#time.after(LINK_LATENCY_MS, () => answer(result));
      });
    });
  }
}
