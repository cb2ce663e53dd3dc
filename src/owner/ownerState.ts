/** State shared by the components of the owner's reducer. */

import type { Epoch, QueueId, SubmissionId, TargetId } from '../types/ids';
import type { OperatorState } from '../work/types';
import { ResponseTimes } from './responseTimes';
import { ProgressWriter } from './progressWriter';
import type { StepState } from './stepState';
import type { SubmissionRecord } from './submissionRecord';
import type { TargetState } from './targetState';
import { TeamRates } from './teamRates';
import { TeamUsage } from './teamUsage';
import type { ClockReadings, OwnerEffect } from './types';

/** State of an owner during one epoch. */
export class OwnerState {
  #effects: OwnerEffect[] = [];

  readonly targets = new Map<TargetId, TargetState>();

  readonly records = new Map<SubmissionId, SubmissionRecord>();

  /** Submissions without an outcome. */
  readonly open = new Set<SubmissionRecord>();

  /** Ready steps with waiting tasks. */
  readonly ready = new Set<StepState>();

  readonly teamUsage = new TeamUsage();

  readonly teamRates = new TeamRates();

  readonly writer = new ProgressWriter();

  readonly responseTimes = new ResponseTimes();

  /** Targets on which a former owner may have started runs that have not been reported yet. */
  readonly unresolvedTargets = new Set<TargetId>();

  /** Queues whose tasks are suspected of having crashed targets, with the time of the latest such crash. */
  readonly crashingQueues = new Map<QueueId, number>();

  /** Until this time a target that has never responded may hold runs of a former owner. */
  unresolvedUntilMs = 0;

  /**
   * Submissions that targets have reported but this owner has not read yet. A former owner may have
   * started them after the rows were read; their runs and ends are deferred until the submission is known.
   */
  readonly unreadSubmissions = new Map<SubmissionId, Set<TargetId>>();

  /** After this time a submission that has still not been read does not exist. */
  unreadSubmissionsUntilMs = 0;

  /** Submissions whose rows are of a later version cannot have been started by a former owner. */
  lastFormerVersion = Number.POSITIVE_INFINITY;

  operator: OperatorState = { config: undefined, closedDataCentreIds: [] };

  nowMs = 0;

  wallMs = 0;

  /** Lower bound of the elapsed time. */
  steadyMs = 0;

  /** True after a change that may allow a task to start. */
  isPlanDue = true;

  /**
   * @param epoch - the fencing token of all requests
   */
  constructor(readonly epoch: Epoch) {}

  /**
   * Sets the clocks.
   * @param clocks - readings at the time of the event
   */
  setClocks(clocks: ClockReadings): void {
    this.nowMs = clocks.nowMs;
    this.wallMs = clocks.wallMs;
    this.steadyMs = clocks.steadyMs;
  }

  /**
   * Adds an effect for the host to perform.
   * @param effect - the effect
   */
  emit(effect: OwnerEffect): void {
    this.#effects.push(effect);
  }

  /**
   * Increments a counter.
   * @param name - name of the counter
   * @param step - the increment
   */
  count(name: string, step = 1): void {
    this.emit({ kind: 'count', name, step });
  }

  /**
   * Writes a log line.
   * @param message - the message
   * @param fields - structured context
   * @param level - the severity
   */
  log(
    message: string,
    fields: Readonly<Record<string, unknown>>,
    level: 'info' | 'warn' = 'info',
  ): void {
    this.emit({ kind: 'log', level, message, fields: { ...fields, epoch: this.epoch } });
  }

  /** @returns the effects added since the last call */
  takeEffects(): OwnerEffect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }
}
