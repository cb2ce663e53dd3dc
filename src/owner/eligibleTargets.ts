/** Index of the targets that tasks may use, by service and label. It is kept while the registrations stay the same. */

import type { OperatorState } from '../work/types';
import { isTargetInUse } from './placement';
import type { StepState } from './stepState';
import type { TargetState } from './targetState';
import type { TargetWatch } from './targetWatch';

/** Targets and operator decisions that the index depends on. */
export interface EligibleTargetsSource {
  readonly targets: ReadonlyMap<string, TargetState>;
  readonly operator: OperatorState;
  readonly watch: TargetWatch;
}

/** Looks up the targets that the tasks of a step may use, regardless of their capacity and state. */
export class EligibleTargets {
  #source: EligibleTargetsSource;

  #registrationCount = -1;

  #operator: OperatorState | undefined;

  #inUse: readonly TargetState[] = [];

  #byService = new Map<string, Map<string, readonly TargetState[]>>();

  /**
   * @param source - the owner's state
   */
  constructor(source: EligibleTargetsSource) {
    this.#source = source;
  }

  /**
   * Gets the targets of a step.
   * @param step - the step
   * @returns the targets whose service, label, data centre and registration allow its tasks, in the order of the table;
   *   the same array for all steps with this service and label until the registrations change
   */
  get(step: StepState): readonly TargetState[] {
    this.#refresh();
    const { serviceName } = step.record.queue;
    const { requiredLabel } = step.spec;
    const byLabel = this.#byService.get(serviceName) ?? new Map<string, readonly TargetState[]>();
    const known = byLabel.get(requiredLabel);
    if (known !== undefined) return known;
    const targets = this.#inUse.filter(
      ({ entry }) =>
        entry.serviceName === serviceName &&
        (requiredLabel === '' || entry.labels.includes(requiredLabel)),
    );
    this.#byService.set(serviceName, byLabel.set(requiredLabel, targets));
    return targets;
  }

  /** Follows changes of the registrations and of the operator's decisions. */
  #refresh(): void {
    const { targets, operator, watch } = this.#source;
    if (operator === this.#operator && watch.registrationCount === this.#registrationCount) return;
    this.#operator = operator;
    this.#registrationCount = watch.registrationCount;
    this.#byService.clear();
    this.#inUse = [...targets.values()].filter((target) => isTargetInUse(this.#source, target));
  }
}
