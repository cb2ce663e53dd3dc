/** Names of steps and tasks of a submission. */

import type { StepKey, SubmissionId, TaskKey } from '../types/ids';

/** The parts of a task's name. */
export interface TaskName {
  readonly submissionId: SubmissionId;
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

const TASK_NAME = /^([0-9a-f]{16})\.(\d{1,9})\.(\d{1,6})\.(\d{1,7})$/;

/**
 * Builds a step's name.
 * @param submissionId - the submission
 * @param occurrence - number of the occurrence, from 0
 * @param step - number of the step, from 0
 * @returns the name
 */
export function toStepKey(submissionId: SubmissionId, occurrence: number, step: number): StepKey {
  return `${submissionId}.${occurrence}.${step}` as StepKey;
}

/**
 * Builds a task's name.
 * @param stepKey - its step
 * @param index - its number within the step, from 0
 * @returns the name
 */
export function toTaskKey(stepKey: StepKey, index: number): TaskKey {
  return `${stepKey}.${index}` as TaskKey;
}

/**
 * Splits a task's name.
 * @param text - the name as a target lists it
 * @returns its parts, or undefined when it is no such name
 */
export function tryParseTaskKey(text: string): TaskName | undefined {
  const match = TASK_NAME.exec(text);
  if (match === null) return undefined;
  const [, submissionId, occurrence, step, index] = match;
  return {
    submissionId: submissionId as SubmissionId,
    occurrence: Number(occurrence),
    step: Number(step),
    index: Number(index),
  };
}
