/** Submissions for simulations of the owner. */

import type { StoredTargetRecord, TargetEntry } from '../../src/owner/types';
import { toConfigVersion } from '../../src/types/ids';
import type { SubmissionId, TeamId } from '../../src/types/ids';
import type { OperatorState, Queue, StepSpec, Submission, Team } from '../../src/work/types';

/** Wall clock at the start of each simulation, in Unix milliseconds. */
export const WALL_START_MS = 1_700_000_000_000;

/** Creates the operator's decisions, which set only the teams and queues. */
export function createOperator(
  teams: readonly Team[],
  queues: readonly Queue[] = [],
  version = 1,
): OperatorState {
  const config = { version: toConfigVersion(version), queues, services: [], teams };
  return { closedDataCentreIds: [], config: { ...config, maxBodyBytes: 1 } };
}

/** Gets the id of the submission with a given number. */
export function toSubmissionId(number: number): SubmissionId {
  return number.toString(16).padStart(16, '0') as SubmissionId;
}

/** Advice costs of an urgent queue, and of a queue with a high cost per target. */
const CHEAP_ADVICE = { callMs: 20, perTargetMs: 0.3, ticketValidMs: 2_500 };
const COSTLY_ADVICE = { callMs: 450, perTargetMs: 6.5, ticketValidMs: 2_500 };

/** Creates a submission with defaults for everything that is not given. */
export function createSubmission(
  number: number,
  steps: readonly Partial<StepSpec>[],
  overrides: {
    priority?: number;
    attemptLimit?: number;
    teamId?: string;
    advice?: 'cheap' | 'costly';
    serviceName?: string;
  } = {},
): Submission {
  const { priority = 1, attemptLimit = 3, teamId = 'team-a', advice } = overrides;
  const { serviceName = 'service' } = overrides;
  const costs = advice === 'costly' ? COSTLY_ADVICE : CHEAP_ADVICE;
  return {
    id: toSubmissionId(number),
    teamId: teamId as TeamId,
    acceptedAtMs: WALL_START_MS,
    queue: {
      id: `queue-${priority}` as Submission['queue']['id'],
      host: 'host',
      pathPrefix: '/q/',
      serviceName,
      priority,
      attemptLimit,
      stretchFactor: 2,
      latencyGoalMs: 1_000,
      timeoutMs: 3_000,
      advice: advice === undefined ? undefined : costs,
      isPublic: false,
    },
    spec: {
      payload: `payload-${number}`,
      schedule: { kind: 'once' },
      steps: steps.map((step) => ({
        taskCount: 1,
        demand: { cpuMillis: 4_000, memoryMb: 4_096, accelerators: 0 },
        estimateMs: 1_000,
        after: [],
        hasCheckpoints: false,
        policy: { kind: 'batch', isSpeculative: false },
        requiredLabel: '',
        dataRack: '',
        maxTasksPerTarget: 0,
        image: '',
        isFiller: false,
        ...step,
      })),
    },
  };
}

/** Creates the record of targets that a former owner has used; it does not tell whether there were others. */
export function createRecord(entries: readonly TargetEntry[]): StoredTargetRecord {
  const targets = entries.map(({ id, address, serviceName, labels, ...entry }) => ({
    target: {
      ...{ id, address, labels, serviceNames: [serviceName] },
      ...{ dataCentreId: entry.dataCentreId, incarnationStartMs: entry.incarnationStartMs },
      mayHoldLongLease: false,
    },
    version: 1,
  }));
  return { isComplete: false, targets, malformed: [] };
}
