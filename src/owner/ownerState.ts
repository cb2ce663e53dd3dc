/** The tables that the parts of the owner share within one reducer. */

import type { Epoch, SubmissionId, TargetId } from '../types/ids';
import type { OperatorState } from '../work/types';
import { AnswerTimes } from './answerTimes';
import { ProgressWriter } from './progressWriter';
import type { StepState } from './stepState';
import type { SubmissionRecord } from './submissionRecord';
import type { TargetState } from './targetState';
import { TeamRates } from './teamRates';
import { TeamUsage } from './teamUsage';
import type { Moment, OwnerEffect } from './types';

/** State of one owner under one epoch. */
export class OwnerState {
  #effects: OwnerEffect[] = [];

  readonly targets = new Map<TargetId, TargetState>();

  readonly records = new Map<SubmissionId, SubmissionRecord>();

  /** Submissions without an outcome. */
  readonly open = new Set<SubmissionRecord>();

  /** Steps that are ready and have tasks waiting. */
  readonly ready = new Set<StepState>();

  readonly teamUse = new TeamUsage();

  readonly teamRates = new TeamRates();

  readonly writer = new ProgressWriter();

  readonly answerTimes = new AnswerTimes();

  /** Targets on which a former owner may have started work that is not listed yet. */
  readonly unresolved = new Set<TargetId>();

  /** Until then a target that has never answered may hold work of a former owner. */
  unresolvedUntilMs = 0;

  /**
   * Submissions that targets have named and that this owner has not read yet. A former owner may have
   * started them after the rows were read; their runs and ends wait until the submission is known.
   */
  readonly unread = new Map<SubmissionId, Set<TargetId>>();

  /** After this a submission that is still not read does not exist. */
  unreadUntilMs = 0;

  operator: OperatorState = { config: undefined, closedDataCentreIds: [] };

  nowMs = 0;

  wallMs = 0;

  /** Elapsed time that has certainly passed. */
  steadyMs = 0;

  /** Something has changed that may let a task start. */
  isPlanDue = true;

  /**
   * @param epoch - the fence of every call
   */
  constructor(readonly epoch: Epoch) {}

  /**
   * Moves the clocks on.
   * @param moment - of the event that is reduced
   */
  setMoment(moment: Moment): void {
    this.nowMs = moment.nowMs;
    this.wallMs = moment.wallMs;
    this.steadyMs = moment.steadyMs;
  }

  /**
   * Asks for something to be done.
   * @param effect - what
   */
  emit(effect: OwnerEffect): void {
    this.#effects.push(effect);
  }

  /**
   * Counts something.
   * @param name - name of the counter
   * @param step - how much
   */
  count(name: string, step = 1): void {
    this.emit({ kind: 'count', name, step });
  }

  /**
   * Writes a log line.
   * @param message - what happened
   * @param fields - what decided it
   * @param level - how much attention it needs
   */
  log(
    message: string,
    fields: Readonly<Record<string, unknown>>,
    level: 'info' | 'warn' = 'info',
  ): void {
    this.emit({ kind: 'log', level, message, fields: { ...fields, epoch: this.epoch } });
  }

  /** @returns the effects since the last call */
  takeEffects(): OwnerEffect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }
}
