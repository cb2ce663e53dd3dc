/** State shared by the components of the owner's reducer. */

import type { Epoch, QueueId, SubmissionId, TargetId } from '../types/ids';
import type { OperatorState } from '../work/types';
import {
  DEFAULT_REGISTRY_LAPSE_MS,
  LEASE_EXPIRY_MARGIN_MS,
  LEASE_MS,
  MAX_CALL_DELAY_MS,
  MAX_CLOCK_DRIFT,
  MAX_START_TIMEOUT_MS,
  OWNER_AUTHORITY_MS,
  STOP_RETRY_DELAY_MS,
  STORE_CONFIRMED_MS,
  STORELESS_END_DELAY_MS,
} from './constants';
import { AdviceUsage } from './adviceUsage';
import { CapacityShares } from './capacityShares';
import { EligibleTargets } from './eligibleTargets';
import { LearntDurations } from './learntDurations';
import { ResponseTimes } from './responseTimes';
import { ProgressWriter } from './progressWriter';
import { DEFAULT_SCHEDULING_OPTIONS } from './schedulingOptions';
import type { SchedulingOptions } from './schedulingOptions';
import type { StepState } from './stepState';
import { StepOrder } from './stepOrder';
import { StoreClock } from './storeClock';
import type { SubmissionRecord } from './submissionRecord';
import { TargetRecord } from './targetRecord';
import { TargetSpeeds } from './targetSpeeds';
import type { TargetState } from './targetState';
import { TargetWatch } from './targetWatch';
import { TeamLimits } from './teamLimits';
import { TeamRates } from './teamRates';
import { TeamUsage } from './teamUsage';
import type {
  ClockReadings,
  OwnerEffect,
  StoreClockReading,
  StoredTargetRecord,
  TargetEntry,
} from './types';

/** A shorter suspension makes no difference to what is concluded from elapsed time. */
const MIN_SUSPENSION_MS = 50;

/** What former owners have recorded of a silent target. Times are on the steady clock of this owner. */
export interface FormerSilence {
  readonly incarnationStartMs: number;
  /** Since when it has not answered; may be before the start of the process. */
  readonly sinceMs: number;
  /** From then on it holds no runs of any owner. */
  readonly untilMs: number;
}

/** A target that was removed from the table while it held nothing. */
interface VacatedTarget {
  readonly incarnationStartMs: number;
  /** When it was removed, on the owner's steady clock. */
  readonly atMs: number;
}

/** State of an owner during one epoch. */
export class OwnerState {
  #effects: OwnerEffect[] = [];

  #targets = new Map<TargetId, TargetState>();

  #targetPosition = 0;

  readonly watch = new TargetWatch();

  /** Index of {@link OwnerState.targets}, which it follows. */
  readonly eligibleTargets = new EligibleTargets(this);

  /** The latest registration of each target, which may be that of a former incarnation. */
  readonly latestEntries = new Map<TargetId, TargetEntry>();

  readonly records = new Map<SubmissionId, SubmissionRecord>();

  /** Submissions without an outcome. */
  readonly open = new Set<SubmissionRecord>();

  /** The submissions among these with occurrences that are not due yet, and some that have ended or have none. */
  readonly scheduled = new Set<SubmissionRecord>();

  /** The submissions among these with several steps, and some that have ended. */
  readonly chained = new Set<SubmissionRecord>();

  /** Ready steps with waiting tasks. */
  readonly ready = new Set<StepState>();

  /** Steps with runs that are to be moved off targets that drain. */
  readonly relocatingSteps = new Set<StepState>();

  /** Steps that could not be planned, with the time from which they are planned again. */
  readonly setAsideUntilMs = new Map<StepState, number>();

  readonly teamUsage = new TeamUsage();

  /** Follows {@link OwnerState.teamUsage}. */
  readonly teamLimits = new TeamLimits(this);

  readonly teamRates = new TeamRates();

  /** Shares of the teams while they compete for capacity. */
  readonly capacityShares = new CapacityShares(this);

  readonly stepOrder = new StepOrder(this);

  readonly speeds = new TargetSpeeds(this.targets);

  readonly adviceUsage = new AdviceUsage(this);

  readonly writer = new ProgressWriter();

  readonly responseTimes = new ResponseTimes();

  /** What is learnt of durations; undefined when that is turned off. */
  readonly durations: LearntDurations | undefined;

  /** The durable record of the targets that owners use. */
  readonly record: TargetRecord;

  readonly storeClock = new StoreClock();

  #formerSilences = new Map<TargetId, FormerSilence>();

  /** Targets that held nothing when they were removed from the table, while the record has rows of them. */
  readonly vacated = new Map<TargetId, VacatedTarget>();

  /** Targets on which a former owner may have started runs that have not been reported yet. */
  readonly unresolvedTargets = new Set<TargetId>();

  /** Queues whose tasks are suspected of having crashed targets, with the time of the latest such crash. */
  readonly crashingQueues = new Map<QueueId, number>();

  #unresolvedUntilMs = Number.POSITIVE_INFINITY;

  #longUnresolvedUntilMs = Number.POSITIVE_INFINITY;

  /**
   * Submissions that targets have reported but this owner has not read yet. A former owner may have
   * started them after the rows were read; their runs and ends are deferred until the submission is known.
   */
  readonly unreadSubmissions = new Map<SubmissionId, Set<TargetId>>();

  /** Whether every submission that a former owner may have started has been read; any other one does not exist. */
  areSubmissionsRead = false;

  /** Whether a part of the store has not been read that may hold submissions of former owners. */
  areSubmissionPartsUnread = false;

  /** Whether that has been so since the takeover. */
  wereSubmissionPartsUnread = false;

  /** The same as {@link OwnerState.areSubmissionPartsUnread} for cancellations. */
  areCancellationPartsUnread = false;

  /** Target incarnations whose runs are named by the progress of submissions in those parts. */
  unreadReports: ReadonlySet<string> = new Set();

  /** Submissions whose rows are of a later version cannot have been started by a former owner. */
  lastFormerVersion = Number.POSITIVE_INFINITY;

  operator: OperatorState = { config: undefined, closedDataCentreIds: [] };

  nowMs = 0;

  wallMs = 0;

  /** Lower bound of the elapsed time. */
  steadyMs = 0;

  /**
   * The steady time up to which the silence of a target is proof that its lease has ended. It falls behind while the
   * store does not confirm this owner, as a successor may renew the lease; see voterSet.ts.
   */
  provenMs = 0;

  /** How long a start that was meant for a former incarnation can hold a lease on a silent one. */
  readonly maxInheritedLeaseMs: number;

  /** How long after its sending an unlisted start can hold a lease on a target that is silent but registered. */
  readonly maxUnlistedMs: number;

  /** When the process last resumed after a suspension that the steady clock has not counted, on that clock. */
  resumedAtMs = Number.NEGATIVE_INFINITY;

  #clockOffsetMs: number | undefined;

  /** A handover is being prepared or has just been: what a successor has to know is stored without delay. */
  isHandingOver = false;

  /** True after a change that may allow a task to start. */
  isPlanDue = true;

  /**
   * @param epoch - the fencing token of all requests
   * @param maxLeaseMs - longest lease that a target grants, on its own clock
   * @param stored - the record of targets
   * @param registryLapseMs - time of silence after which the registry drops a target at the earliest; 0 if not known
   * @param options - the features that are on
   */
  constructor(
    readonly epoch: Epoch,
    maxLeaseMs: number,
    stored: StoredTargetRecord,
    readonly registryLapseMs = DEFAULT_REGISTRY_LAPSE_MS,
    readonly options: SchedulingOptions = DEFAULT_SCHEDULING_OPTIONS,
  ) {
    this.record = new TargetRecord(stored);
    this.durations = options.learnsDurations ? new LearntDurations(this) : undefined;
    this.maxInheritedLeaseMs =
      MAX_START_TIMEOUT_MS + maxLeaseMs * (1 + MAX_CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN_MS;
    this.maxUnlistedMs = MAX_CALL_DELAY_MS + this.maxInheritedLeaseMs;
  }

  /** Until this time a target that has never responded may hold runs of a former owner, unless its lease is longer. */
  get unresolvedUntilMs(): number {
    return this.#unresolvedUntilMs;
  }

  /** Until this time it may hold them with the longest lease. */
  get longUnresolvedUntilMs(): number {
    return this.#longUnresolvedUntilMs;
  }

  /**
   * Sets how long former owners may act on targets that have not answered this owner.
   * @param record - what has been read at the takeover
   * @returns the time from now on, in milliseconds
   */
  setFormerOwners({ readAt, formerActsUntilMs }: StoredTargetRecord): number {
    if (readAt !== undefined) this.storeClock.addReading(readAt, this.steadyMs);
    const reachedMs =
      formerActsUntilMs === undefined || !Number.isFinite(formerActsUntilMs)
        ? undefined
        : this.storeClock.getReachedMs(formerActsUntilMs);
    // The store's clock may have been set back since.
    const limitMs = this.steadyMs + STORELESS_END_DELAY_MS;
    const latestMs = Math.min(reachedMs ?? limitMs, limitMs);
    const usualMs = this.steadyMs + OWNER_AUTHORITY_MS;
    const endMs = formerActsUntilMs === undefined ? usualMs : Math.max(usualMs, latestMs);
    this.setFormerAuthorityEnd(endMs);
    return endMs - this.steadyMs;
  }

  /**
   * Sets when former owners sent their last calls. Whatever these have granted ends a lease later, also when a call is
   * carried out late, as it names the end of the lease.
   * @param endMs - the latest time, on the steady clock
   */
  setFormerAuthorityEnd(endMs: number): void {
    const leaseEndMs = endMs + LEASE_MS * (1 + MAX_CLOCK_DRIFT) + STOP_RETRY_DELAY_MS;
    this.#unresolvedUntilMs = Math.min(this.#unresolvedUntilMs, leaseEndMs);
    const longEndMs = Math.max(leaseEndMs, endMs + this.maxInheritedLeaseMs);
    this.#longUnresolvedUntilMs = Math.min(this.#longUnresolvedUntilMs, longEndMs);
  }

  /** The current incarnation of each target. */
  get targets(): ReadonlyMap<TargetId, TargetState> {
    return this.#targets;
  }

  /**
   * Adds a target to the table, in the place of its former incarnation if that is there.
   * @param target - the target
   */
  addTarget(target: TargetState): void {
    const former = this.#targets.get(target.id);
    former?.leave();
    this.#targetPosition += 1;
    target.isReportUnread = this.unreadReports.has(target.incarnation);
    target.join(this.watch, former?.position ?? this.#targetPosition);
    this.#targets.set(target.id, target);
  }

  /**
   * Removes a target from the table, unless another incarnation has taken its place.
   * @param target - the target
   */
  removeTarget(target: TargetState): void {
    if (this.#targets.get(target.id) !== target) return;
    target.leave();
    this.#targets.delete(target.id);
  }

  /**
   * Records that a target holds nothing as it is removed from the table, so that no later owner waits for it.
   * @param target - a target that has answered this owner, which refuses calls of former owners since then
   */
  setVacated({ id, entry: { incarnationStartMs } }: TargetState): void {
    if (this.record.getVersion(id) === 0) return;
    this.vacated.set(id, { incarnationStartMs, atMs: this.steadyMs });
  }

  /**
   * Adopts what former owners have recorded of silent targets.
   * @param readAt - the store's clock when the record was read
   */
  adoptSilences(readAt: StoreClockReading): void {
    this.storeClock.addReading(readAt, this.steadyMs);
    this.record.loaded.forEach(({ id, silence }) => {
      const untilMs = silence && this.storeClock.getReachedMs(silence.endsAtMs);
      if (silence === undefined || untilMs === undefined) return;
      const sinceMs = this.steadyMs - Math.max(0, readAt.storeMs - silence.sinceMs);
      this.#formerSilences.set(id, {
        sinceMs,
        untilMs,
        incarnationStartMs: silence.incarnationStartMs,
      });
    });
  }

  /**
   * Forgets what former owners have recorded of a target, as it has answered.
   * @param targetId - the target
   */
  endSilence(targetId: TargetId): void {
    this.#formerSilences.delete(targetId);
  }

  /** What former owners have recorded of targets that have not answered this owner, on its steady clock. */
  get formerSilences(): ReadonlyMap<TargetId, FormerSilence> {
    return this.#formerSilences;
  }

  /**
   * Gets the end of the wait for a target that has not responded to this owner. One that has not responded to former
   * owners either is not waited for anew.
   * @param entry - its registration, if it is known
   * @returns the time on the steady clock from which it holds no runs of former owners
   */
  getUnresolvedUntilMs(entry: TargetEntry | undefined): number {
    const untilMs = this.getFormerCallsUntilMs(entry);
    const vacated = entry && this.vacated.get(entry.id);
    if (vacated !== undefined && vacated.incarnationStartMs === entry?.incarnationStartMs)
      return Math.min(untilMs, vacated.atMs);
    const silence = entry && this.#formerSilences.get(entry.id);
    if (silence === undefined || silence.incarnationStartMs !== entry?.incarnationStartMs)
      return untilMs;
    return Math.min(untilMs, silence.untilMs);
  }

  /**
   * Gets the time until which calls of former owners can have an effect on a target that has not responded to this one,
   * going only by the time of the takeover.
   * @param entry - its registration, if it is known
   * @returns the time on the steady clock
   */
  getFormerCallsUntilMs(entry: TargetEntry | undefined): number {
    const isLong = entry !== undefined && this.record.isLongLeaseRecorded(entry);
    return isLong ? this.longUnresolvedUntilMs : this.unresolvedUntilMs;
  }

  /**
   * Sets the clocks.
   * @param clocks - readings at the time of the event
   */
  setClocks(clocks: ClockReadings): void {
    this.nowMs = clocks.nowMs;
    this.wallMs = clocks.wallMs;
    this.steadyMs = clocks.steadyMs;
    const unconfirmedMs = (clocks.storeUnconfirmedForMs ?? 0) - STORE_CONFIRMED_MS;
    this.provenMs = clocks.steadyMs - Math.max(0, unconfirmedMs);
    const offsetMs = clocks.nowMs - clocks.steadyMs;
    const isResumed = offsetMs > (this.#clockOffsetMs ?? offsetMs) + MIN_SUSPENSION_MS;
    if (isResumed) this.resumedAtMs = clocks.steadyMs;
    this.#clockOffsetMs = offsetMs;
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
