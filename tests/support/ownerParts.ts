/** Parts of the owner's state for tests of single algorithms. */

import type { Run } from '../../src/owner/run';
import { toRunKey } from '../../src/owner/run';
import type { StepState } from '../../src/owner/stepState';
import { SubmissionRecord } from '../../src/owner/submissionRecord';
import { TargetState } from '../../src/owner/targetState';
import type { TargetEntry } from '../../src/owner/types';
import type { DataCentreId, TargetId } from '../../src/types/ids';
import { toTaskKey } from '../../src/work/taskKeys';
import type { StepSpec, Submission } from '../../src/work/types';
import { createSubmission } from './ownerSubmissions';

let submissionCount = 0;

/** Creates the state of a step of a submission of its own. */
export function createStep(
  spec: Partial<StepSpec>,
  overrides: Parameters<typeof createSubmission>[2] = {},
  queue: Partial<Submission['queue']> = {},
): StepState {
  submissionCount += 1;
  const created = createSubmission(submissionCount, [spec], overrides);
  const submission = { ...created, queue: { ...created.queue, ...queue } };
  const record = new SubmissionRecord(
    { submission, isCancelled: false, progress: undefined, progressVersion: 0 },
    false,
  );
  const [step] = record.openDueOccurrences(0);
  if (step === undefined) throw new Error('a submission has at least one step');
  return step;
}

/** Creates a registration with defaults for everything that is not given. */
export function createEntry(number: number, overrides: Partial<TargetEntry> = {}): TargetEntry {
  return {
    id: `target-${number}` as TargetId,
    serviceName: 'service',
    address: `10.0.0.${number}:80`,
    dataCentreId: 'dc-a' as DataCentreId,
    capacity: { cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0 },
    labels: [],
    rack: '',
    isDraining: false,
    incarnationStartMs: 1,
    revision: 0,
    ...overrides,
  };
}

/** Creates a target that may be used by a planning pass. */
export function createTarget(number: number, overrides: Partial<TargetEntry> = {}): TargetState {
  const target = new TargetState(createEntry(number, overrides));
  target.position = number;
  target.isPlannable = true;
  return target;
}

/** Charges a run of a task to a target and to its step. */
export function addRun(
  step: StepState,
  index: number,
  target: TargetState,
  overrides: Partial<Run> = {},
): Run {
  const run = step.allocateRunNumber(1);
  const taskKey = toTaskKey(step.key, index);
  const added: Run = {
    ...{ key: toRunKey(taskKey, run), taskKey, run, step, index, targetId: target.id },
    ...{ charge: step.charge, fence: undefined, phase: 'running', isListed: true },
    ...{
      formerIncarnations: [],
      doubtSinceMs: undefined,
      callEndedAtMs: undefined,
      sentSteadyMs: 0,
      sentAtMs: 0,
    },
    ...{ confirmedAtMs: 0, stopSentAtMs: 0, stopConfirmedAtMs: undefined, percent: 0 },
    ...{ percentReportedAtMs: 0, percentChangedAtMs: 0, checkpoint: undefined },
    ...overrides,
  };
  target.addRun(added);
  step.addRun(added);
  return added;
}
