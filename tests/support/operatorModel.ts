/** The operator's decisions in simulations of the owner. */

import type { QueueId } from '../../src/types/ids';
import type { OperatorState, Queue, Team } from '../../src/work/types';
import { createOperator } from './ownerSubmissions';

/** Keeps the present configuration. */
export class OperatorModel {
  #queues = new Map<QueueId, Queue>();

  #version = 1;

  constructor(readonly teams: readonly Team[]) {}

  /** The configuration as a node reads it now. */
  get state(): OperatorState {
    return createOperator(this.teams, [...this.#queues.values()], this.#version);
  }

  /** Sets the configuration of queues. */
  setQueues(queues: readonly Queue[]): void {
    queues.forEach((queue) => this.#queues.set(queue.id, queue));
    this.#version += 1;
  }

  /** Nodes that start from now on do not know the queues until they are set again. */
  forgetQueues(): void {
    this.#queues.clear();
  }
}
