/** The monitor of beliefs with an owner's state that a test sets by hand. */

import { BeliefMonitor } from '../../src/owner/beliefMonitor';
import { OwnerState } from '../../src/owner/ownerState';
import type { StepState } from '../../src/owner/stepState';
import type { OwnerEffect } from '../../src/owner/types';
import { UnseenRuns } from '../../src/owner/unseenRuns';
import { toEpoch } from '../../src/types/ids';
import type { StepSpec } from '../../src/work/types';
import { createStep, createTarget } from './ownerParts';

/** A monitor with one step and one target, which a test changes between its checks. */
export class MonitorParts {
  readonly state: OwnerState;

  readonly step: StepState;

  readonly target = createTarget(1);

  readonly monitor: BeliefMonitor;

  #effects: OwnerEffect[] = [];

  constructor(spec: Partial<StepSpec>) {
    this.step = createStep(spec);
    const record = { isComplete: false, targets: [], malformed: [] };
    this.state = new OwnerState(toEpoch(1), 10_000, record);
    this.target.isContacted = true;
    this.state.addTarget(this.target);
    this.state.ready.add(this.step);
    this.step.readyAtMs = 0;
    this.monitor = new BeliefMonitor(this.state, new UnseenRuns(this.state));
  }

  checkAt(nowMs: number): void {
    this.state.setClocks({ nowMs, wallMs: nowMs, steadyMs: nowMs });
    this.monitor.check();
    this.#effects.push(...this.state.takeEffects());
  }

  getFields(message: string): readonly object[] {
    return this.#effects.flatMap((effect) =>
      effect.kind === 'log' && effect.message === message ? [effect.fields] : [],
    );
  }

  get metrics(): readonly string[] {
    return this.#effects.flatMap((effect) => (effect.kind === 'record' ? [effect.name] : []));
  }
}
