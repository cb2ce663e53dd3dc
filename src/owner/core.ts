/** The owner's reducer: schedules the runs of all targets during one epoch. */

import type { Epoch, QueueId, SubmissionId, TargetId } from '../types/ids';
import { assertNever } from '../types/debug';
import { AdviceDispatcher } from './adviceDispatcher';
import { BeliefMonitor } from './beliefMonitor';
import { DEFAULT_MAX_LEASE_MS, OUTCOME_RETENTION_MS } from './constants';
import { EarlyCancellations, isCancelledBy } from './earlyCancellations';
import { HandoverPreparation } from './handoverPreparation';
import { Incarnations } from './incarnations';
import { LoadSampler } from './loadSampler';
import { InventoryReconciler } from './inventoryReconciler';
import { TargetPoller } from './targetPoller';
import { Occurrences } from './occurrences';
import { OwnerState } from './ownerState';
import { getPlanIntervalMs, STOPPED } from './passTiming';
import type { Stopwatch } from './passTiming';
import { Planner } from './planner';
import { createLearntStates, LearntStates } from './learntStates';
import { RunManager } from './runManager';
import { RunResponses } from './runResponses';
import type { SchedulingOptions } from './schedulingOptions';
import { createStateDump } from './stateDump';
import { SubmissionQueues } from './submissionQueues';
import { SubmissionRecord } from './submissionRecord';
import { TargetRecorder } from './targetRecorder';
import { TargetTable } from './targetTable';
import type {
  LoadedSubmission,
  ClockReadings,
  HandedAdvice,
  OwnerEffect,
  OwnerEvent,
  StoredTargetRecord,
  SubmissionView,
} from './types';
import { UnseenRuns } from './unseenRuns';
import { WaitMonitor } from './waitMonitor';

/** Maximum submissions per deletion; finished ones are deleted once callers no longer query them. */
const MAX_DELETE_BATCH = 25;

/** Interval between checks for expired submissions. */
const CLEANUP_INTERVAL_MS = 5_000;

/** Interval of planning passes that run without a preceding change. */
const REPLAN_INTERVAL_MS = 200;

/** Without a record, every registered target may hold runs of a former owner. */
const NO_RECORD: StoredTargetRecord = { isComplete: false, targets: [], malformed: [] };

/** Schedules the runs of the fleet, that is, of all targets. */
export class OwnerCore {
  /** Builds the load summary for the gates. */
  readonly load: LoadSampler;

  /** How long former owners could act after the takeover on targets that had not answered this owner. */
  readonly formerOwnersRemainingMs: number;

  #state: OwnerState;

  #runManager: RunManager;

  #runResponses: RunResponses;

  #targets: TargetTable;

  #reconciler: InventoryReconciler;

  #planner: Planner;

  #poller: TargetPoller;

  #recorder: TargetRecorder;

  #handover: HandoverPreparation;

  #unseenRuns: UnseenRuns;

  #occurrences: Occurrences;

  #queues: SubmissionQueues;

  #learnt: LearntStates;

  #waitMonitor: WaitMonitor;

  #beliefMonitor: BeliefMonitor;

  #adviceDispatcher: AdviceDispatcher;

  #earlyCancellations: EarlyCancellations;

  #nextCleanupAtMs = 0;

  #nextReplanAtMs = 0;

  #nextPlanAtMs = 0;

  #stopwatch: Stopwatch;

  #areTeamRatesSet = false;

  /**
   * @param epoch - the fencing token of all requests
   * @param loaded - all stored submissions
   * @param clocks - readings when ownership was acquired
   * @param maxLeaseMs - longest lease that a target grants, on its own clock
   * @param record - the stored record of the targets that former owners used
   * @param registryLapseMs - time of silence after which the registry drops a target at the earliest; 0 if not known
   * @param stopwatch - measures the duration of planning passes
   * @param options - the features that are on
   */
  constructor(
    epoch: Epoch,
    loaded: readonly LoadedSubmission[],
    clocks: ClockReadings,
    maxLeaseMs = DEFAULT_MAX_LEASE_MS,
    record: StoredTargetRecord = NO_RECORD,
    registryLapseMs: number | undefined = undefined,
    stopwatch: Stopwatch = STOPPED,
    options?: SchedulingOptions,
  ) {
    this.#stopwatch = stopwatch;
    this.#state = new OwnerState(epoch, maxLeaseMs, record, registryLapseMs, options);
    this.#state.setClocks(clocks);
    this.formerOwnersRemainingMs = this.#state.setFormerOwners(record);
    if (record.readAt !== undefined) this.#state.adoptSilences(record.readAt);
    this.#earlyCancellations = new EarlyCancellations(this.#state);
    this.#runManager = new RunManager(this.#state);
    const incarnations = new Incarnations(this.#state, this.#runManager);
    this.#runResponses = new RunResponses(this.#state, this.#runManager, incarnations);
    this.#targets = new TargetTable(this.#state, this.#runManager, incarnations);
    this.#unseenRuns = new UnseenRuns(this.#state);
    this.#queues = new SubmissionQueues(this.#state);
    this.#learnt = new LearntStates(this.#state, createLearntStates(this.#state));
    this.load = new LoadSampler(this.#state);
    this.#waitMonitor = new WaitMonitor(this.#state);
    this.#beliefMonitor = new BeliefMonitor(this.#state, this.#unseenRuns);
    this.#occurrences = new Occurrences(this.#state, this.#runManager, this.#unseenRuns);
    this.#reconciler = new InventoryReconciler(
      ...([this.#state, this.#runManager, incarnations, this.#occurrences] as const),
    );
    this.#planner = new Planner(this.#state, this.#runManager);
    this.#poller = new TargetPoller(this.#state);
    this.#recorder = new TargetRecorder(this.#state, incarnations, this.#runManager.crashTracker);
    this.#handover = new HandoverPreparation(
      ...([this.#state, this.#poller, this.#recorder, this.#runManager.crashTracker] as const),
    );
    this.#adviceDispatcher = new AdviceDispatcher(this.#state);
    loaded.forEach((submission) => this.#tryAddRecord(submission, true, true));
  }

  /** The fencing token of all requests. */
  get epoch(): Epoch {
    return this.#state.epoch;
  }

  /** Number of steps with tasks that wait for a start. */
  get readyStepCount(): number {
    return this.#state.ready.size;
  }

  /**
   * Applies an event.
   * @param event - the event
   * @returns the effects to perform
   */
  reduce(event: OwnerEvent): readonly OwnerEffect[] {
    this.#state.setClocks(event);
    this.#tryApply(event);
    this.#runFollowUps(event);
    return this.#state.takeEffects();
  }

  /**
   * Gets the state of a submission for a caller.
   * @param submissionId - the submission
   * @returns its state; an outcome is visible only once it is durable
   */
  getView(submissionId: SubmissionId): SubmissionView {
    const record = this.#state.records.get(submissionId);
    if (record === undefined) return { kind: 'unknown' };
    return { kind: 'known', state: record.state, submission: record.submission };
  }

  /**
   * Counts the waiting submissions of a queue.
   * @param queueId - the queue
   * @returns the number of accepted submissions that have not started a run
   */
  getWaitingCount(queueId: QueueId): number {
    return this.#queues.countWaiting(queueId);
  }

  /**
   * Checks whether an incarnation is the one that the owner knows, so that calls meant for it may be written.
   * @param targetId - the target
   * @param incarnationStartMs - the incarnation that a call is meant for
   * @returns false once another incarnation has taken its place
   */
  isCurrentTarget(targetId: TargetId, incarnationStartMs: number): boolean {
    return this.#state.targets.get(targetId)?.entry.incarnationStartMs === incarnationStartMs;
  }

  /**
   * Gets the advice that a successor can use.
   * @param nowMs - current time on the owner's clock
   * @returns tickets and refusals by step, of bounded size
   */
  getHandedAdvice(nowMs: number): readonly HandedAdvice[] {
    return this.#adviceDispatcher.getHanded(nowMs);
  }

  /** @returns a state dump for operators: waiting steps, targets and unresolved targets */
  dump(): unknown {
    return createStateDump(
      ...([this.#state, this.#runManager.crashTracker, this.#planner] as const),
    );
  }

  /**
   * An answer that causes an unexpected error would end the ownership of each node that polls the target in turn.
   * The target is treated as one that does not answer, so that its tasks are started elsewhere once its lease ends.
   */
  #tryApply(event: OwnerEvent): void {
    const target = 'result' in event && 'targetId' in event ? event.targetId : undefined;
    if (target === undefined) {
      this.#apply(event);
      return;
    }
    try {
      this.#apply(event);
    } catch (error) {
      this.#state.count('answers_unusable');
      this.#state.log(
        'answer of a target caused an unexpected error; the target counts as silent',
        { targetId: target, event: event.kind, reason: String(error) },
        'warn',
      );
      this.#targets.setSilent(target);
    }
  }

  #apply(event: OwnerEvent): void {
    switch (event.kind) {
      case 'tick':
        this.#onTick();
        return;
      case 'storeClockRead':
        this.#state.storeClock.addReading(event.reading, event.steadyMs);
        return;
      case 'operatorChanged':
        this.#onOperatorChanged(event.operator);
        return;
      case 'targetsListed':
        this.#targets.onTargetsListed(event.entries, event.unreadableIds);
        this.#recorder.addUnregistered();
        return;
      case 'targetChanged':
        this.#targets.onTargetChanged(event.entry, event.writtenAfterMs);
        return;
      case 'targetEntryUnreadable':
        this.#targets.onEntryUnreadable(event.targetId);
        return;
      case 'targetRemoved':
        this.#targets.onTargetRemoved(event.targetId);
        return;
      case 'submitted':
        this.#onSubmitted(event);
        return;
      case 'partsUnread':
        this.#onPartsUnread(event);
        return;
      case 'cancellationsRead':
        this.#onCancellationsRead(event.submissionIds);
        return;
      case 'formerAuthorityEnded':
        this.#onFormerAuthorityEnded();
        return;
      case 'formerOwnersEnded':
        this.#unseenRuns.onFormerOwnersEnded(event.storeVersion);
        return;
      case 'submissionsRead':
        this.#onSubmissionsRead();
        return;
      case 'cancelled':
        this.#onCancelled(event);
        return;
      case 'cancellationsDeleted':
        this.#earlyCancellations.onDeleted(event.rows);
        return;
      case 'lanesChanged':
        this.#adviceDispatcher.setLanes(event.nodeIds);
        return;
      case 'pollAnswered':
        this.#reconciler.onPollAnswered(event);
        return;
      case 'startAnswered':
        this.#runResponses.onStartAnswered(event);
        return;
      case 'stopAnswered':
        this.#runResponses.onStopAnswered(event);
        return;
      case 'advised':
        this.#adviceDispatcher.onAdvised(event);
        return;
      case 'progressWritten':
        this.#onProgressWritten(event);
        return;
      case 'targetsRecorded':
        this.#recorder.onRecorded(event);
        return;
      case 'learntRead':
        this.#learnt.adopt(event.result);
        return;
      case 'learntWritten':
        this.#learnt.onWritten(event.result);
        return;
      case 'submissionsDeleted':
        event.submissionIds.forEach((id) => this.#state.records.delete(id));
        return;
      case 'adviceHandedOver':
        this.#adviceDispatcher.adoptHanded(event.advice, event.receivedAtMs);
        return;
      case 'handoverRequested':
        this.#handover.onRequested();
        return;
      default:
        assertNever(event);
    }
  }

  /** Work that is due after every event: planning, polls and writes. */
  #runFollowUps(event: OwnerEvent): void {
    const { nowMs, writer } = this.#state;
    if (nowMs >= this.#nextReplanAtMs) {
      this.#nextReplanAtMs = nowMs + REPLAN_INTERVAL_MS;
      this.#state.isPlanDue = true;
    }
    if (this.#state.isPlanDue && nowMs >= this.#nextPlanAtMs) {
      this.#nextPlanAtMs = nowMs + getPlanIntervalMs(this.#state.ready.size);
      this.#runPass();
    }
    this.#pollTargets(event);
    this.#handover.check(event.kind);
    const write = writer.tryCreateBatch(nowMs);
    if (write !== undefined) this.#state.emit(write);
  }

  #runPass(): void {
    const startedAtMs = this.#stopwatch();
    this.#state.isPlanDue = false;
    this.#recorder.refresh();
    this.#state.durations?.refresh();
    this.#planner.plan();
    this.#adviceDispatcher.dispatch();
    const durationMs = this.#stopwatch() - startedAtMs;
    this.#state.emit({ kind: 'record', name: 'planning_pass', durationMs });
  }

  /** Polls all targets on a tick; between ticks only the target of the event. */
  #pollTargets(event: OwnerEvent): void {
    if (event.kind === 'tick') {
      this.#poller.pollDueTargets();
      return;
    }
    const target = 'targetId' in event ? this.#state.targets.get(event.targetId) : undefined;
    if (target !== undefined) this.#poller.pollIfDue(target);
  }

  #onTick(): void {
    this.#occurrences.openAllDue();
    this.#targets.check();
    this.#unseenRuns.check();
    this.#queues.observe();
    this.#waitMonitor.check();
    this.#beliefMonitor.check();
    this.load.check();
    this.#recorder.write();
    this.#state.durations?.check();
    this.#learnt.write();
    this.#deleteExpiredSubmissions();
  }

  #deleteExpiredSubmissions(): void {
    const { nowMs, wallMs, records } = this.#state;
    // Rows and cancellations of submissions may still be read that would be forgotten by then.
    if (this.#state.areSubmissionPartsUnread || this.#state.areCancellationPartsUnread) return;
    if (nowMs < this.#nextCleanupAtMs) return;
    this.#nextCleanupAtMs = nowMs + CLEANUP_INTERVAL_MS;
    this.#earlyCancellations.deleteExpired();
    const expired = [...records.values()].filter(
      (record) =>
        record.durableOutcome !== undefined && wallMs > record.outcomeAtMs + OUTCOME_RETENTION_MS,
    );
    if (expired.length === 0) return;
    const submissionIds = expired.slice(0, MAX_DELETE_BATCH).map(({ submission }) => submission.id);
    this.#state.emit({ kind: 'deleteSubmissions', submissionIds });
  }

  #onOperatorChanged(operator: OwnerState['operator']): void {
    this.#state.operator = operator;
    this.#state.isPlanDue = true;
    const { config } = operator;
    if (config === undefined) return;
    this.#state.teamUsage.setTeams(config.teams);
    this.#state.teamRates.setTeams(config.teams);
    if (!this.#areTeamRatesSet) this.#classifyLoadedSubmissions();
    this.#queues.apply(config);
    this.#state.log('configuration adopted', {
      version: config.version,
      closedDataCentreIds: operator.closedDataCentreIds,
    });
  }

  /** Submissions from before the takeover are counted in the order of their acceptance. */
  #classifyLoadedSubmissions(): void {
    this.#areTeamRatesSet = true;
    [...this.#state.records.values()]
      .sort((left, right) => left.submission.acceptedAtMs - right.submission.acceptedAtMs)
      .forEach((record) => this.#classifySubmission(record, record.submission.acceptedAtMs));
  }

  #classifySubmission(record: SubmissionRecord, acceptedAtMs: number): void {
    const { teamId } = record.submission;
    const classified = record;
    classified.isExcess = this.#state.teamRates.isExcess(teamId, acceptedAtMs);
    if (classified.isExcess) this.#state.count('submissions_excess');
  }

  /** Until all parts of the store have been read, a submission that is not known may exist. */
  #onPartsUnread(event: Extract<OwnerEvent, { kind: 'partsUnread' }>): void {
    const state = this.#state;
    state.areSubmissionPartsUnread = event.areSubmissionsUnread;
    state.wereSubmissionPartsUnread ||= event.areSubmissionsUnread;
    state.areCancellationPartsUnread = event.areCancellationsUnread;
    state.unreadReports = new Set(event.reportedIncarnations);
    this.#runManager.crashTracker.addUnread(event.reportedIncarnations);
    state.targets.forEach((known) => {
      const target = known;
      target.isReportUnread = state.unreadReports.has(target.incarnation);
    });
    state.isPlanDue = true;
  }

  #onCancellationsRead(submissionIds: readonly SubmissionId[]): void {
    submissionIds.forEach((id) => {
      const record = this.#state.records.get(id);
      if (record !== undefined) record.isCancellationUnread = false;
    });
    this.#state.isPlanDue = true;
  }

  /**
   * Reports of crashes that come late may name targets in use: those take no starts until the reports are void, as the
   * runs that they name would be taken for all runs there.
   */
  #onReportsRead({ steps }: SubmissionRecord): void {
    const reports = [...steps].flatMap(({ progress }) => [...progress.crashes.values()].flat());
    if (reports.length === 0) return;
    const incarnations = new Set(reports.map(({ incarnation }) => incarnation));
    const { nowMs, targets } = this.#state;
    targets.forEach((reported) => {
      const target = reported;
      if (incarnations.has(target.incarnation)) {
        target.areRunsReported = true;
        target.requestVerification(nowMs);
      }
      this.#runManager.giveUp(this.#runManager.crashTracker.onRegistered(target));
    });
  }

  #onSubmitted(event: Extract<OwnerEvent, { kind: 'submitted' }>): void {
    const { submission, rowVersion = 0, stored, isCancellationUnread = false } = event;
    const known = this.#state.records.get(submission.id);
    if (known !== undefined) {
      this.#unseenRuns.onRowRead(known, rowVersion);
      return;
    }
    const isCancelled = this.#earlyCancellations.take(submission);
    if (isCancelled) this.#state.count('submissions_cancelled_before');
    const mayRunUnseen = this.#unseenRuns.mayHaveBegun(submission.id);
    const loaded = {
      ...{ submission: this.load.dateBack(submission), isCancelled, isCancellationUnread },
      ...(stored ?? { progress: undefined, progressVersion: 0 }),
    };
    const record = this.#tryAddRecord(loaded, mayRunUnseen, stored !== undefined);
    if (record === undefined) return;
    if (stored !== undefined) this.#onReportsRead(record);
    this.#unseenRuns.onRowRead(record, rowVersion);
    this.#classifySubmission(record, submission.acceptedAtMs);
    this.#state.log('submission taken', {
      isExcess: record.isExcess,
      submissionId: submission.id,
      queue: submission.queue.id,
      teamId: submission.teamId,
      stepCount: submission.spec.steps.length,
      ageMs: Math.round(this.#state.wallMs - submission.acceptedAtMs),
    });
  }

  /** A submission that cannot be represented is left out, so that it cannot stop the others. */
  #tryAddRecord(
    loaded: LoadedSubmission,
    mayHaveBegun: boolean,
    isLoaded = false,
  ): SubmissionRecord | undefined {
    let record: SubmissionRecord | undefined;
    try {
      record = new SubmissionRecord(loaded, mayHaveBegun, isLoaded, this.#state.durations);
      this.#addRecord(record);
      return record;
    } catch (error) {
      const { id } = loaded.submission;
      this.#state.records.delete(id);
      if (record !== undefined) this.#state.open.delete(record);
      this.#state.log('submission cannot be scheduled', {
        submissionId: id,
        reason: String(error),
      });
      this.#state.count('submissions_unschedulable');
      return undefined;
    }
  }

  #addRecord(added: SubmissionRecord): void {
    const record = added;
    const { submission } = record;
    this.#state.records.set(submission.id, record);
    if (record.outcome !== undefined) {
      // A cancellation may be stored without the time of its outcome; retention then starts now.
      if (record.outcomeAtMs === 0) record.outcomeAtMs = this.#state.wallMs;
      // Without a stored outcome, one whose cancellation is deleted before it would be read as new.
      if (record.progressVersion === 0) this.#state.writer.markDirty(record, this.#state.nowMs);
      return;
    }
    this.#queues.assign(record);
    this.#state.open.add(record);
    this.#state.scheduled.add(record);
    if (submission.spec.steps.length > 1) this.#state.chained.add(record);
    this.#occurrences.openDue(record);
  }

  /** The waits for leases of former owners were set for owners that go on unaware of their successor. */
  #onFormerAuthorityEnded(): void {
    const { steadyMs, targets } = this.#state;
    this.#state.setFormerAuthorityEnd(steadyMs);
    targets.forEach((target) => this.#runManager.limitInheritedLease(target));
    this.#state.log('former owners have ended', {
      leasesEndInMs: Math.round(this.#state.unresolvedUntilMs - steadyMs),
    });
  }

  /** From now on what targets list of other submissions does not exist. */
  #onSubmissionsRead(): void {
    this.#state.areSubmissionsRead = true;
    this.#state.log('all submissions of former owners are read', {
      listedUnreadCount: this.#state.unreadSubmissions.size,
    });
  }

  #onCancelled(event: Extract<OwnerEvent, { kind: 'cancelled' }>): void {
    const { submissionId, source = { kind: 'checked' }, stored } = event;
    const record = this.#state.records.get(submissionId);
    if (record === undefined || stored !== undefined)
      this.#earlyCancellations.add(submissionId, source, stored);
    if (record === undefined || record.outcome !== undefined) return;
    if (!isCancelledBy(source, record.submission)) {
      this.#state.log('cancellation of another team has no effect', { submissionId, source });
      return;
    }
    record.isCancelled = true;
    this.#runManager.closeSubmission(record, 'cancelled');
  }

  #onProgressWritten(event: Extract<OwnerEvent, { kind: 'progressWritten' }>): void {
    const outcome = this.#state.writer.onBatchWritten(event.batch, event.result, this.#state.nowMs);
    if (outcome.kind === 'rejected') this.#onProgressRejected(outcome.record, outcome.detail);
    if (outcome.kind !== 'superseded') return;
    this.#state.emit({ kind: 'stepDown', reason: 'the owner row names another owner' });
  }

  #onProgressRejected({ submission }: SubmissionRecord, detail: string): void {
    this.#state.count('progress_rows_rejected');
    this.#state.log(
      'store rejects the progress of a submission; it is written again later, the others at once',
      { submissionId: submission.id, detail },
      'warn',
    );
  }
}
