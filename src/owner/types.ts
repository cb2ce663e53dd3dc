/** Events and effects of the owner's reducer, and what it keeps of each run. */

import type * as E from 'fp-ts/Either';
import type {
  Checkpoint,
  DataCentreId,
  Epoch,
  NodeId,
  StepKey,
  SubmissionId,
  TargetId,
  TaskKey,
  Ticket,
} from '../types/ids';
import type {
  EndKind,
  OperatorState,
  Submission,
  SubmissionState,
  TaskDemand,
} from '../work/types';
import type { StoredProgress } from '../work/storedProgress';

/** A target as it registered itself. */
export interface TargetEntry {
  readonly id: TargetId;
  readonly serviceName: string;
  readonly address: string;
  readonly dataCentreId: DataCentreId;
  readonly capacity: TaskDemand;
  readonly labels: readonly string[];
  /** Label that names its rack; empty when it has none. */
  readonly rack: string;
  readonly isDraining: boolean;
  /** Milliseconds since 1970 of its start; tells two lives under one id apart. */
  readonly bornAtMs: number;
}

/** One run that a target lists as running. */
export interface RunningRow {
  readonly taskKey: TaskKey;
  readonly run: number;
  readonly checkpoint: Checkpoint | undefined;
  readonly percent: number;
}

/** One run that a target lists as ended. */
export interface EndedRow {
  /** Place in the target's list, rising from 1 in each life. */
  readonly sequence: number;
  readonly taskKey: TaskKey;
  readonly run: number;
  readonly how: EndKind;
  readonly checkpoint: Checkpoint | undefined;
}

/** What a target runs and what has ended there. */
export interface Inventory {
  /** The target's own steady clock. */
  readonly clockMs: number;
  /** Undefined when the target did not say. */
  readonly bornAtMs: number | undefined;
  readonly running: readonly RunningRow[];
  readonly ended: readonly EndedRow[];
}

/** Why a target did not do what it was asked. */
export type TargetFailure =
  /** It refuses a fencing token lower than one it has seen. */
  | { readonly kind: 'fenced' }
  /** It has seen a run of this task that is not lower. */
  | { readonly kind: 'staleRun' }
  | { readonly kind: 'late' }
  | { readonly kind: 'noRoom' }
  | { readonly kind: 'badTicket' }
  /** Another life answers at the address. */
  | { readonly kind: 'otherLife' }
  /** It refused for a reason of its own; nothing ran. */
  | { readonly kind: 'refused'; readonly status: number }
  /** No byte of the call left. */
  | { readonly kind: 'notSent'; readonly detail: string }
  /** The call may have been carried out, or may be later. */
  | { readonly kind: 'lost'; readonly detail: string };

/** A target's answer to a start, a stop or a change of pace. */
export interface TargetAnswer {
  readonly clockMs: number;
}

/** A target that may run a step. */
export interface TicketGrant {
  readonly targetId: TargetId;
  readonly ticket: Ticket;
}

/** What the advice service said of the targets that were named. */
export interface Advice {
  readonly grants: readonly TicketGrant[];
  readonly validMs: number;
}

/** Why there is no advice. */
export type AdviceFailure =
  { readonly kind: 'busy' } | { readonly kind: 'failed'; readonly detail: string };

/** Why a transaction of the owner did not take effect. */
export type WriteFailure =
  /** Another owner has been named. */
  | { readonly kind: 'superseded' }
  /** Other versions are stored than were thought. */
  | { readonly kind: 'conflict'; readonly versions: readonly ProgressVersion[] }
  | { readonly kind: 'unavailable'; readonly detail: string };

/** Version of one stored row of progress; 0 when there is none. */
export interface ProgressVersion {
  readonly submissionId: SubmissionId;
  readonly version: number;
}

/** One row of progress to write. */
export interface ProgressRow {
  readonly submissionId: SubmissionId;
  readonly expectedVersion: number;
  readonly value: StoredProgress;
}

/** One stored submission as a new owner reads it. */
export interface LoadedSubmission {
  readonly submission: Submission;
  readonly isCancelled: boolean;
  readonly progress: StoredProgress | undefined;
  readonly progressVersion: number;
}

/** Moment of an event on the process's own clocks. */
export interface Moment {
  /** Elapsed time of the process. */
  readonly nowMs: number;
  /** Milliseconds since 1970. */
  readonly wallMs: number;
  /** Elapsed time that has certainly passed: what others must have noticed is judged by it. */
  readonly steadyMs: number;
}

/** Everything that the owner's reducer reacts to. */
export type OwnerEvent = Moment &
  (
    | { readonly kind: 'tick' }
    | { readonly kind: 'operatorChanged'; readonly operator: OperatorState }
    | { readonly kind: 'targetsListed'; readonly entries: readonly TargetEntry[] }
    | { readonly kind: 'targetChanged'; readonly entry: TargetEntry }
    | { readonly kind: 'targetRemoved'; readonly targetId: TargetId }
    | { readonly kind: 'submitted'; readonly submission: Submission }
    | { readonly kind: 'cancelled'; readonly submissionId: SubmissionId }
    | { readonly kind: 'lanesChanged'; readonly nodeIds: readonly NodeId[] }
    | {
        readonly kind: 'looked';
        readonly targetId: TargetId;
        readonly bornAtMs: number;
        readonly isProbe: boolean;
        readonly sentAtMs: number;
        readonly result: E.Either<TargetFailure, Inventory>;
      }
    | {
        readonly kind: 'startAnswered';
        readonly targetId: TargetId;
        readonly taskKey: TaskKey;
        readonly run: number;
        readonly sentAtMs: number;
        readonly result: E.Either<TargetFailure, TargetAnswer>;
      }
    | {
        readonly kind: 'stopAnswered';
        readonly targetId: TargetId;
        readonly taskKey: TaskKey;
        readonly run: number;
        readonly sentAtMs: number;
        readonly result: E.Either<TargetFailure, TargetAnswer>;
      }
    | {
        readonly kind: 'advised';
        readonly laneId: NodeId;
        readonly stepKey: StepKey;
        readonly targetIds: readonly TargetId[];
        readonly sentAtMs: number;
        readonly result: E.Either<AdviceFailure, Advice>;
      }
    | {
        readonly kind: 'progressWritten';
        readonly batch: number;
        readonly result: E.Either<WriteFailure, number>;
      }
    | { readonly kind: 'submissionsDeleted'; readonly submissionIds: readonly SubmissionId[] }
  );

/** Everything that the owner's reducer asks to be done. */
export type OwnerEffect =
  | {
      readonly kind: 'look';
      readonly targetId: TargetId;
      readonly address: string;
      readonly bornAtMs: number;
      readonly fence: Epoch;
      /** Time on the target's clock until which its runs may go on; undefined leaves it as it is. */
      readonly leaseUntilMs: number | undefined;
      /** Ends up to this place in the list are forgotten by the target. */
      readonly acknowledgedSequence: number;
      readonly waitMs: number;
      readonly timeoutMs: number;
      /** Sent beside a look that waits, to settle a run without waiting for an end. */
      readonly isProbe: boolean;
    }
  | {
      readonly kind: 'startRun';
      readonly targetId: TargetId;
      readonly address: string;
      readonly taskKey: TaskKey;
      readonly run: number;
      readonly payload: string;
      readonly fence: Epoch;
      /** Time on the target's clock after which the target refuses the start. */
      readonly notAfterMs: number;
      readonly checkpoint: Checkpoint | undefined;
      readonly ticket: Ticket | undefined;
      readonly timeoutMs: number;
    }
  | {
      readonly kind: 'stopRun';
      readonly targetId: TargetId;
      readonly address: string;
      readonly taskKey: TaskKey;
      readonly run: number;
      readonly fence: Epoch;
      readonly timeoutMs: number;
    }
  | {
      readonly kind: 'askAdvice';
      readonly laneId: NodeId;
      readonly stepKey: StepKey;
      readonly targetIds: readonly TargetId[];
      readonly timeoutMs: number;
    }
  | {
      readonly kind: 'writeProgress';
      readonly batch: number;
      readonly rows: readonly ProgressRow[];
    }
  | { readonly kind: 'deleteSubmissions'; readonly submissionIds: readonly SubmissionId[] }
  /** Another owner has been named; this one must do nothing more. */
  | { readonly kind: 'stepDown'; readonly reason: string }
  | { readonly kind: 'count'; readonly name: string; readonly step: number }
  | { readonly kind: 'record'; readonly name: string; readonly durationMs: number }
  | {
      readonly kind: 'log';
      readonly level: 'info' | 'warn';
      readonly message: string;
      readonly fields: Readonly<Record<string, unknown>>;
    };

/** What is known of one run on one target. */
export type RunPhase =
  /** The start has been sent and not been answered. */
  | 'starting'
  /** The start was lost; the run may exist or may yet begin. */
  | 'unconfirmed'
  | 'running'
  /** A stop has been sent; room is free once the target lists the end. */
  | 'stopping';

/** A caller's view of one submission. */
export type SubmissionView =
  | { readonly kind: 'known'; readonly state: SubmissionState; readonly submission: Submission }
  | { readonly kind: 'unknown' };
