/** Keys of the steps and tasks of submissions. */

import type { StepKey, SubmissionId, TaskKey } from '../types/ids';

/** The components of a task key. */
export interface TaskKeyParts {
  readonly submissionId: SubmissionId;
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

const TASK_KEY_PATTERN = /^([0-9a-f]{16})\.(\d{1,9})\.(\d{1,6})\.(\d{1,7})$/;

/**
 * Builds the key of a step.
 * @param submissionId - the submission
 * @param occurrence - number of the occurrence, from 0
 * @param step - number of the step, from 0
 * @returns the key
 */
export function toStepKey(submissionId: SubmissionId, occurrence: number, step: number): StepKey {
  return `${submissionId}.${occurrence}.${step}` as StepKey;
}

/**
 * Builds the key of a task.
 * @param stepKey - its step
 * @param index - its number within the step, from 0
 * @returns the key
 */
export function toTaskKey(stepKey: StepKey, index: number): TaskKey {
  return `${stepKey}.${index}` as TaskKey;
}

/**
 * Parses the key of a task.
 * @param text - the key as listed by a target
 * @returns its components, or undefined when the text is not a task key
 */
export function tryParseTaskKey(text: string): TaskKeyParts | undefined {
  const match = TASK_KEY_PATTERN.exec(text);
  if (match === null) return undefined;
  const [, submissionId, occurrence, step, index] = match;
  return {
    submissionId: submissionId as SubmissionId,
    occurrence: Number(occurrence),
    step: Number(step),
    index: Number(index),
  };
}
