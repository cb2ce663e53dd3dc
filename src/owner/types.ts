/** Events and effects of the owner's reducer, and the types that describe targets, runs and progress. */

import type * as E from 'fp-ts/Either';
import type {
  Checkpoint,
  DataCentreId,
  Epoch,
  NodeId,
  QueueId,
  StepKey,
  SubmissionId,
  TargetId,
  TaskKey,
  TeamId,
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

/** A target's entry in the registry. */
export interface TargetEntry {
  readonly id: TargetId;
  readonly serviceName: string;
  readonly address: string;
  readonly dataCentreId: DataCentreId;
  readonly capacity: TaskDemand;
  readonly labels: readonly string[];
  /** Label of the rack; empty when the target has none. */
  readonly rack: string;
  readonly isDraining: boolean;
  /** Start time of the target in Unix milliseconds; distinguishes incarnations that share an id. */
  readonly incarnationStartMs: number;
  /** Counts the entries of an incarnation; an entry with a lower number is an earlier one. */
  readonly revision: number;
}

/** A run that a target reports as running. */
export interface RunningEntry {
  readonly taskKey: TaskKey;
  readonly run: number;
  readonly checkpoint: Checkpoint | undefined;
  readonly percent: number;
}

/** A run that a target reports as ended. */
export interface EndedEntry {
  /** Sequence number in the target's list of ends; starts at 1 in each incarnation and increases. */
  readonly sequence: number;
  readonly taskKey: TaskKey;
  readonly run: number;
  readonly how: EndKind;
  readonly checkpoint: Checkpoint | undefined;
}

/** The running and ended runs that a target reports. */
export interface Inventory {
  /** Reading of the target's monotonic clock. */
  readonly clockMs: number;
  /** Undefined when the target did not report it. */
  readonly incarnationStartMs: number | undefined;
  readonly running: readonly RunningEntry[];
  readonly ended: readonly EndedEntry[];
  /** Whether these are all ends that have not been acknowledged; otherwise later ones are not listed yet. */
  readonly areEndsComplete: boolean;
}

/** Reason why a target did not perform a request. */
export type TargetFailure =
  /** The fencing token is lower than one that the target has already seen. */
  | { readonly kind: 'fenced' }
  /** The target has already seen a run of this task with an equal or higher number. */
  | { readonly kind: 'staleRun' }
  | { readonly kind: 'late' }
  | { readonly kind: 'noRoom' }
  | { readonly kind: 'badTicket' }
  /** Another incarnation responds at the address. */
  | { readonly kind: 'otherLife' }
  /** The target refused for another reason; nothing ran. */
  | { readonly kind: 'refused'; readonly status: number }
  /** No byte of the request was sent. */
  | { readonly kind: 'notSent'; readonly detail: string; readonly isConnectionClosed?: boolean }
  /**
   * The request may have been performed, or may still be performed later. `isConnectionClosed` tells a
   * connection that was closed or refused, as by the end of the process, from silence.
   */
  | { readonly kind: 'lost'; readonly detail: string; readonly isConnectionClosed?: boolean };

/** A target's response to a start or a stop. */
export interface TargetResponse {
  readonly clockMs: number;
}

/** Permission of the advice service to run a step on a target. */
export interface TicketGrant {
  readonly targetId: TargetId;
  readonly ticket: Ticket;
}

/** Response of the advice service for the targets that it was asked about. */
export interface Advice {
  readonly grants: readonly TicketGrant[];
  readonly validMs: number;
}

/** An incarnation of a target. */
export interface IncarnationRef {
  readonly targetId: TargetId;
  readonly incarnationStartMs: number;
}

/** A ticket that an owner hands over. */
export interface HandedTicket extends IncarnationRef {
  readonly ticket: Ticket;
  /** How long it can be used from the sending of the message on. */
  readonly remainingMs: number;
}

/** What the advice service has told an owner about a step, for its successor. */
export interface HandedAdvice {
  readonly stepKey: StepKey;
  readonly tickets: readonly HandedTicket[];
  readonly refused: readonly IncarnationRef[];
}

/** Reason why a call for advice failed. */
export type AdviceFailure =
  { readonly kind: 'busy' } | { readonly kind: 'failed'; readonly detail: string };

/** Reason why a transaction of the owner was not committed. */
export type WriteFailure =
  /** Another node has become the owner. */
  | { readonly kind: 'superseded' }
  /** The stored versions differ from the expected ones. */
  | { readonly kind: 'conflict'; readonly versions: readonly ProgressVersion[] }
  /** The store does not take these rows, however often they are sent. */
  | { readonly kind: 'rejected'; readonly detail: string }
  | { readonly kind: 'unavailable'; readonly detail: string };

/** Version of a stored progress row; 0 when the row does not exist. */
export interface ProgressVersion {
  readonly submissionId: SubmissionId;
  readonly version: number;
}

/** A progress row to write. */
export interface ProgressRow {
  readonly submissionId: SubmissionId;
  readonly expectedVersion: number;
  readonly value: StoredProgress;
}

/** A stored submission as read by a new owner at takeover. */
export interface LoadedSubmission {
  readonly submission: Submission;
  readonly isCancelled: boolean;
  readonly progress: StoredProgress | undefined;
  readonly progressVersion: number;
  /** Whether its cancellation may be in a part of the store that has not been read. */
  readonly isCancellationUnread?: boolean;
}

/** A row of the record of targets that owners use; it outlives the registration. */
export interface RecordedTarget {
  readonly id: TargetId;
  readonly address: string;
  /** Services of its incarnations, the latest last. */
  readonly serviceNames: readonly string[];
  /** Labels of its incarnations. */
  readonly labels: readonly string[];
  readonly dataCentreId: DataCentreId;
  /** Start time of the recorded incarnation; a later one needs a new row only if runs of this one are reported. */
  readonly incarnationStartMs: number;
  /** Whether a call for an earlier incarnation may have granted this one the longest lease. */
  readonly mayHoldLongLease: boolean;
  /** Set while it answers no owner. It is granted no lease and gets no start until the row is written without it. */
  readonly silence?: TargetSilence | undefined;
}

/** What owners know of a target that answers none of them. Times are those of the store's steady clock. */
export interface TargetSilence {
  /** Epoch of the owner that has written it. */
  readonly epoch: Epoch;
  /** The incarnation, which may be a later one than that of the row. */
  readonly incarnationStartMs: number;
  /** Since when it has not answered, as far as the first owner that has missed it knew. */
  readonly sinceMs: number;
  /** From then on it holds no runs of any owner. */
  readonly endsAtMs: number;
}

/** The record of targets as read by a new owner at takeover. */
export interface StoredTargetRecord {
  /** Whether it names every target that may hold runs of a former owner. */
  readonly isComplete: boolean;
  readonly targets: readonly { readonly target: RecordedTarget; readonly version: number }[];
  /** Rows that cannot be decoded; with one of them the record is not complete. */
  readonly malformed: readonly RecordVersion[];
  /** The store's clock when the record was read; undefined when it is not known. */
  readonly readAt?: StoreClockReading | undefined;
  /**
   * On the store's clock: until then former owners may act on targets that have not answered a later one. Infinite when
   * it is not known; undefined when they end with the usual authority.
   */
  readonly formerActsUntilMs?: number | undefined;
}

/** A reading of the store's steady clock. */
export interface StoreClockReading {
  readonly storeMs: number;
  /** When the call was sent that has returned it, on the owner's clock. */
  readonly sentAtMs: number;
}

/** Version of a row of the record; 0 when the row does not exist. */
export interface RecordVersion {
  readonly targetId: TargetId;
  readonly version: number;
}

/** A row of the record to write. */
export interface RecordRow {
  readonly target: RecordedTarget;
  readonly expectedVersion: number;
}

/** Reason why a change of the record was not committed. */
export type RecordFailure =
  /** Another node has become the owner. */
  | { readonly kind: 'superseded' }
  /** The stored versions differ from the expected ones. */
  | { readonly kind: 'conflict'; readonly versions: readonly RecordVersion[] }
  /** The store does not take these rows, however often they are sent. */
  | { readonly kind: 'rejected'; readonly detail: string }
  /** It may have been performed, or may be performed later while its conditions hold. */
  | { readonly kind: 'unavailable'; readonly detail: string };

/** Who has cancelled a submission, as far as that still has to be checked against the submission. */
export type CancellationSource =
  /** Someone who may, by the stored submission. */
  | { readonly kind: 'checked' }
  | { readonly kind: 'team'; readonly teamId: TeamId }
  /** Anyone, in a public queue. */
  | { readonly kind: 'queue'; readonly queueId: QueueId };

/** A row with a cancellation that was stored ahead of its submission. */
export interface StoredCancellation {
  readonly submissionId: SubmissionId;
  readonly part: string;
  readonly key: string;
  /** Wall clock of the gate that has stored it, in Unix milliseconds. */
  readonly cancelledAtMs: number;
}

/** Readings of the process's clocks at the time of an event. */
export interface ClockReadings {
  /** Elapsed time of the process; jumps ahead after a suspension or a forward step of the system clock. */
  readonly nowMs: number;
  /** Wall clock in Unix milliseconds. */
  readonly wallMs: number;
  /** Lower bound of the elapsed time; decides whether a deadline has passed for other processes too. */
  readonly steadyMs: number;
  /** How long ago the call was sent by which the store has confirmed this owner last; 0 when omitted. */
  readonly storeUnconfirmedForMs?: number | undefined;
}

/** A row of what owners learn. */
export interface LearntRow {
  readonly key: string;
  readonly value: string;
}

/** Input events of the owner's reducer. */
export type OwnerEvent = ClockReadings &
  (
    | { readonly kind: 'tick' }
    | { readonly kind: 'storeClockRead'; readonly reading: StoreClockReading }
    | { readonly kind: 'operatorChanged'; readonly operator: OperatorState }
    | {
        readonly kind: 'targetsListed';
        readonly entries: readonly TargetEntry[];
        /** Targets whose entries cannot be read; what was known of them holds. */
        readonly unreadableIds?: readonly TargetId[];
      }
    | {
        readonly kind: 'targetChanged';
        readonly entry: TargetEntry;
        /** Lower bound of the time at which the registry has stored it, on the steady clock. */
        readonly writtenAfterMs?: number | undefined;
      }
    /** Another writer has replaced the entry of a target by one that cannot be read; what was known of it holds. */
    | { readonly kind: 'targetEntryUnreadable'; readonly targetId: TargetId }
    | { readonly kind: 'targetRemoved'; readonly targetId: TargetId }
    | {
        readonly kind: 'submitted';
        readonly submission: Submission;
        /** Version of its row; undefined when a gate has announced it, or when it may have an earlier row. */
        readonly rowVersion?: number;
        /** What former owners have stored of it, if its row has been read late or in a second part. */
        readonly stored?: Pick<LoadedSubmission, 'progress' | 'progressVersion'>;
        readonly isCancellationUnread?: boolean;
      }
    /** The former owner has confirmed that neither it nor one before it acts any more. */
    | { readonly kind: 'formerAuthorityEnded' }
    /** The takeover goes on without parts of the store, or another one of these has been read. */
    | {
        readonly kind: 'partsUnread';
        readonly areSubmissionsUnread: boolean;
        readonly areCancellationsUnread: boolean;
        /** Target incarnations whose runs are named by the progress of submissions that have not been read. */
        readonly reportedIncarnations: readonly string[];
      }
    /** All parts have been read that may hold cancellations of these submissions. */
    | { readonly kind: 'cancellationsRead'; readonly submissionIds: readonly SubmissionId[] }
    /** No former owner may act any more; every row of a later version was written after that. */
    | { readonly kind: 'formerOwnersEnded'; readonly storeVersion: number }
    /** All rows of submissions up to the end of the authority of former owners have been reported. */
    | { readonly kind: 'submissionsRead' }
    | {
        readonly kind: 'cancelled';
        readonly submissionId: SubmissionId;
        /** Omitted for a cancellation that was checked against the stored submission. */
        readonly source?: CancellationSource;
        /** Its row, if it was stored ahead of the submission. */
        readonly stored?: StoredCancellation | undefined;
      }
    | { readonly kind: 'cancellationsDeleted'; readonly rows: readonly StoredCancellation[] }
    | { readonly kind: 'lanesChanged'; readonly nodeIds: readonly NodeId[] }
    | {
        readonly kind: 'pollAnswered';
        readonly targetId: TargetId;
        /** Where the poll was sent; omitted when it is known to be the target's present address. */
        readonly address?: string;
        readonly incarnationStartMs: number;
        readonly isProbe: boolean;
        readonly sentAtMs: number;
        readonly result: E.Either<TargetFailure, Inventory>;
      }
    | {
        readonly kind: 'startAnswered';
        readonly targetId: TargetId;
        /** The incarnation that the start was meant for; another one may have carried it out. */
        readonly incarnationStartMs: number;
        readonly taskKey: TaskKey;
        readonly run: number;
        readonly sentAtMs: number;
        readonly result: E.Either<TargetFailure, TargetResponse>;
      }
    | {
        readonly kind: 'stopAnswered';
        readonly targetId: TargetId;
        /** The incarnation that the stop was meant for. */
        readonly incarnationStartMs: number;
        readonly taskKey: TaskKey;
        readonly run: number;
        readonly sentAtMs: number;
        readonly result: E.Either<TargetFailure, TargetResponse>;
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
    | {
        readonly kind: 'targetsRecorded';
        /** The version of the written rows. */
        readonly result: E.Either<RecordFailure, number>;
      }
    /** What former owners have learnt has been read, or is not waited for any longer. */
    | { readonly kind: 'learntRead'; readonly result: E.Either<string, readonly LearntRow[]> }
    | { readonly kind: 'learntWritten'; readonly result: E.Either<string, number> }
    | { readonly kind: 'submissionsDeleted'; readonly submissionIds: readonly SubmissionId[] }
    /** The former owner has handed its advice over. */
    | {
        readonly kind: 'adviceHandedOver';
        readonly advice: readonly HandedAdvice[];
        /** When it was received, on this owner's clock. */
        readonly receivedAtMs: number;
      }
    /** This owner is about to hand over; `handoverPrepared` answers it. */
    | { readonly kind: 'handoverRequested' }
  );

/** Effects that the owner's reducer requests from its host. */
export type OwnerEffect =
  /** Polls a target's inventory, renews its lease and acknowledges its ends. */
  | {
      readonly kind: 'poll';
      readonly targetId: TargetId;
      readonly address: string;
      readonly incarnationStartMs: number;
      readonly fence: Epoch;
      /** Expiry of the lease on the target's clock; undefined leaves the lease unchanged. */
      readonly leaseUntilMs: number | undefined;
      /** The target drops ends up to and including this sequence number. */
      readonly acknowledgedSequence: number;
      readonly waitMs: number;
      readonly timeoutMs: number;
      /** Sent while a long poll is pending, to learn the state of a run without waiting for an end. */
      readonly isProbe: boolean;
    }
  | {
      readonly kind: 'startRun';
      readonly targetId: TargetId;
      readonly address: string;
      readonly incarnationStartMs: number;
      readonly taskKey: TaskKey;
      readonly run: number;
      readonly payload: string;
      readonly fence: Epoch;
      /** Deadline on the target's clock after which the target refuses the start. */
      readonly notAfterMs: number;
      readonly checkpoint: Checkpoint | undefined;
      readonly ticket: Ticket | undefined;
      readonly timeoutMs: number;
    }
  | {
      readonly kind: 'stopRun';
      readonly targetId: TargetId;
      readonly address: string;
      readonly incarnationStartMs: number;
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
  /** Changes the record of used targets; one such transaction is in flight at a time. */
  | {
      readonly kind: 'recordTargets';
      readonly puts: readonly RecordRow[];
      readonly removals: readonly RecordVersion[];
      /** Declares the record complete up to this owner's epoch. */
      readonly isComplete: boolean;
    }
  /** Replaces rows of what the owner learns; one such transaction is in flight at a time. */
  | { readonly kind: 'writeLearnt'; readonly rows: readonly LearntRow[] }
  | { readonly kind: 'deleteSubmissions'; readonly submissionIds: readonly SubmissionId[] }
  | { readonly kind: 'deleteCancellations'; readonly rows: readonly StoredCancellation[] }
  /** Another node is the owner; this one must not act any further. */
  | { readonly kind: 'stepDown'; readonly reason: string }
  /** What a successor has to know is stored, or has not been in time; the owner may resign and goes on until then. */
  | { readonly kind: 'handoverPrepared' }
  | { readonly kind: 'count'; readonly name: string; readonly step: number }
  /** Sets a gauge. */
  | { readonly kind: 'set'; readonly name: string; readonly value: number }
  | { readonly kind: 'record'; readonly name: string; readonly durationMs: number }
  | {
      readonly kind: 'log';
      readonly level: 'info' | 'warn';
      readonly message: string;
      readonly fields: Readonly<Record<string, unknown>>;
    };

/** State of a run as known to the owner. */
export type RunPhase =
  /** The start request is pending. */
  | 'starting'
  /** The start got no response; the run may exist or may still begin. */
  | 'unconfirmed'
  | 'running'
  /** A stop was sent; the capacity is freed once the target reports the end. */
  | 'stopping';

/** State of a submission as reported to callers. */
export type SubmissionView =
  | { readonly kind: 'known'; readonly state: SubmissionState; readonly submission: Submission }
  | {
      readonly kind: 'unknown';
      /** Whether a submission of the team that was asked for would exceed its rate; earlier builds do not tell it. */
      readonly isOverRate?: boolean | undefined;
    };
