/** Index of the targets that tasks may use, by service and label. It is kept while the registrations stay the same. */

import type { OperatorState } from '../work/types';
import { isTargetInUse } from './placement';
import type { StepState } from './stepState';
import type { TargetState } from './targetState';
import type { TargetEntry } from './types';

/** What the index knows of one target. */
interface Registration {
  readonly target: TargetState;
  readonly entry: TargetEntry;
  readonly isRegistered: boolean;
}

/** Targets and operator decisions that the index depends on. */
export interface EligibleTargetsSource {
  readonly targets: ReadonlyMap<string, TargetState>;
  readonly operator: OperatorState;
}

function isCurrent(
  targets: ReadonlyMap<string, TargetState>,
  registrations: readonly Registration[],
): boolean {
  if (targets.size !== registrations.length) return false;
  let position = 0;
  for (const target of targets.values()) {
    const known = registrations[position];
    if (known?.target !== target || known.entry !== target.entry) return false;
    if (known.isRegistered !== target.isRegistered) return false;
    position += 1;
  }
  return true;
}

/** Looks up the targets that the tasks of a step may use, regardless of their capacity and state. */
export class EligibleTargets {
  #registrations: readonly Registration[] = [];

  #operator: OperatorState | undefined;

  /** What has to be compared with the index before its next use. */
  #source: EligibleTargetsSource | undefined;

  #inUse: readonly TargetState[] = [];

  #byService = new Map<string, Map<string, readonly TargetState[]>>();

  /**
   * Has the next use follow changes of the registrations and of the operator's decisions.
   * @param source - the owner's state
   */
  invalidate(source: EligibleTargetsSource): void {
    this.#source = source;
  }

  /**
   * Gets the targets of a step.
   * @param step - the step
   * @returns the targets whose service, label, data centre and registration allow its tasks, in the order of the table;
   *   the same array for all steps with this service and label until the registrations change
   */
  get(step: StepState): readonly TargetState[] {
    if (this.#source !== undefined) this.#refresh(this.#source);
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

  #refresh(source: EligibleTargetsSource): void {
    this.#source = undefined;
    const { targets, operator } = source;
    if (operator === this.#operator && isCurrent(targets, this.#registrations)) return;
    this.#operator = operator;
    this.#byService.clear();
    this.#registrations = [...targets.values()].map((known, position) => {
      const target = known;
      target.position = position;
      return { target, entry: target.entry, isRegistered: target.isRegistered };
    });
    this.#inUse = [...targets.values()].filter((target) => isTargetInUse(source, target));
  }
}
