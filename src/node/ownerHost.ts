/** Runs the owner's scheduler on the owner node: loads the stored state and performs its effects. */

import * as E from 'fp-ts/Either';
import { OwnerCore } from '../owner/core';
import type {
  ClockReadings,
  HandedAdvice,
  LoadedSubmission,
  OwnerEffect,
  OwnerEvent,
  SubmissionView,
} from '../owner/types';
import { TableFollower } from '../store/tableFollower';
import type { FollowedTable, FollowerEvent } from '../store/tableFollower';
import type { StoredRow } from '../store/types';
import { assertNever, throwRejection } from '../types/debug';
import type { Epoch, NodeId, QueueId, SubmissionId, TargetId, TeamId } from '../types/ids';
import type { DistributiveOmit } from '../types/distributiveOmit';
import { decodeFinishedSubmission, decodeSubmission } from '../work/submissionSchema';
import { CancellationLog } from './cancellationLog';
import type { CancellationWay } from './cancellationLog';
import { FormerOwners } from './formerOwners';
import { readLearntRows } from './learntRows';
import type { OperatorSnapshot } from './operatorSnapshot';
import { OwnerCancellations } from './ownerCancellations';
import { getEffectWork, OwnerLoad } from './ownerLoad';
import type { OwnerHostCallbacks } from './ownerHostCallbacks';
import { performMeasure } from './ownerMeasures';
import type { DeliveredNotice } from './ownerNotifier';
import { OwnerWrites } from './ownerWrites';
import type { PartRead, PartReader } from './partReader';
import { countExtraRows } from './progressRows';
import type { NodePorts } from './ports';
import { CANCELS_TABLE, SUBMISSION_PARTS, SUBMISSIONS_TABLE } from './tables';
import { decodeLoadedRecord, summarizeLoadedRows, TakeoverLoader } from './takeoverLoader';
import type { LoadedRows } from './takeoverLoader';
import { callTarget } from './targetCalls';
import type { TargetCallEffect } from './targetCalls';
import { UnconfirmedSubmissions } from './unconfirmedSubmissions';
import { UnreadParts } from './unreadParts';
import type { ReadSubmission } from './unreadParts';

/** Interval of tick events; planning that was deferred resumes within it. */
const TICK_INTERVAL_MS = 10;

/** Delay before a failed load is retried. */
const LOAD_RETRY_DELAY_MS = 100;

/** Pause between reads of the registry; draining targets must get no more starts within 2 s. */
const REGISTRY_PAUSE_MS = 300;

/** Pause between reads of submissions and cancellations, for those of which no gate notified the owner. */
const SUBMISSIONS_PAUSE_MS = 500;

/** Processor capacity of a Vm of unknown size. */
const DEFAULT_PROCESSOR_MILLIS = 1_000;

type EventBody = DistributiveOmit<OwnerEvent, keyof ClockReadings>;

/** Runs the scheduler for one epoch of ownership. */
export class OwnerHost {
  #ports: NodePorts;

  #callbacks: OwnerHostCallbacks;

  #epoch: Epoch;

  #loader: TakeoverLoader;

  #writes: OwnerWrites;

  #core: OwnerCore | undefined;

  #submissionsFollower: TableFollower | undefined;

  #parts: PartReader | undefined;

  /** What is not known of submissions; set with the core. */
  #unread: UnreadParts | undefined;

  #formerOwners: FormerOwners;

  #followers: TableFollower[] = [];

  #timer: NodeJS.Timeout | undefined;

  #isStopped = false;

  #operator: OperatorSnapshot;

  #laneIds: readonly NodeId[] = [];

  /** Changes that arrive before the stored state is loaded. */
  #pendingChanges: (() => void)[] = [];

  #unconfirmed: UnconfirmedSubmissions;

  #cancellations: OwnerCancellations;

  #load: OwnerLoad;

  #callsInFlightCount = 0;

  /** Evaluated right before a call to a target is written; true cancels the call. */
  #isTooLate = () => this.#isStopped || !this.#callbacks.isAuthorized();

  #getUnconfirmedForMs = (nowMs: number) => this.#callbacks.getStoreUnconfirmedForMs?.(nowMs) ?? 0;

  /**
   * @param ports - store, targets, registry, clock and logger
   * @param callbacks - the node
   * @param epoch - fencing token of every call to a target
   * @param rowVersion - version of the owner row, a precondition of every change of a progress row
   * @param operator - the operator state
   * @param processorMillis - processor capacity of the Vm, in thousandths of a core
   */
  constructor(
    ports: NodePorts,
    callbacks: OwnerHostCallbacks,
    epoch: Epoch,
    rowVersion: number,
    operator: OperatorSnapshot,
    processorMillis = DEFAULT_PROCESSOR_MILLIS,
  ) {
    this.#ports = ports;
    this.#callbacks = callbacks;
    this.#epoch = epoch;
    this.#load = new OwnerLoad({
      ...{ logger: ports.logger, metrics: ports.metrics, epoch, processorMillis },
      getBacklog: () => ({
        callsInFlightCount: this.#callsInFlightCount,
        readyStepCount: this.#core?.readyStepCount ?? 0,
      }),
    });
    this.#loader = new TakeoverLoader(ports);
    this.#writes = new OwnerWrites(ports.store, epoch, rowVersion);
    this.#cancellations = new OwnerCancellations({
      log: new CancellationLog(ports.logger, epoch),
      whenLoaded: (apply) => this.#whenLoaded(apply),
      getView: (submissionId) => this.#core?.getView(submissionId) ?? { kind: 'unknown' },
      dispatch: (event) => this.#dispatch(event),
    });
    this.#unconfirmed = new UnconfirmedSubmissions({
      ...{ epoch, logger: ports.logger, metrics: ports.metrics },
      nowMs: () => ports.clock.nowMs(),
      getUnconfirmedForMs: () => this.#getUnconfirmedForMs(ports.clock.nowMs()),
    });
    this.#operator = operator;
    this.#formerOwners = new FormerOwners(ports.store, {
      onConfirmed: () => this.#dispatch({ kind: 'formerAuthorityEnded' }),
      onVersionKnown: (storeVersion) => this.#dispatch({ kind: 'formerOwnersEnded', storeVersion }),
    });
  }

  /** The fencing token of this ownership. */
  get epoch(): Epoch {
    return this.#epoch;
  }

  /** Whether no owner before this one may act any more. */
  get areFormerOwnersEnded(): boolean {
    return this.#formerOwners.areEnded;
  }

  /** The scheduler; undefined until the stored state is loaded. */
  get core(): OwnerCore | undefined {
    return this.#core;
  }

  /** Loads the stored state and starts scheduling; retries until the load succeeds. */
  async start(): Promise<void> {
    const startedAtMs = this.#ports.clock.nowMs();
    const learnt = readLearntRows(this.#ports.store, () => this.#isStopped);
    const loaded = await this.#loader.load();
    if (this.#isStopped) return;
    if (loaded === undefined) {
      setTimeout(() => this.#restart(), LOAD_RETRY_DELAY_MS);
      return;
    }
    const unread = new UnreadParts(this.#ports, this.#epoch, loaded.parts, loaded.progress.rows);
    this.#parts = loaded.parts;
    this.#unread = unread;
    const submissions = this.#loader
      .decodeSubmissions(loaded)
      .map((submission) => unread.hold(submission));
    unread.forgetProgress(submissions.map(({ submission }) => submission.id));
    this.#writes.setExtraRowCounts(countExtraRows(loaded.progress.rows));
    const { maxLeaseMs } = this.#ports.targets;
    const record = decodeLoadedRecord(this.#epoch, loaded, startedAtMs);
    const clocks = this.#getClockReadings();
    const lapseMs = this.#ports.registry.lapseMs ?? 0;
    this.#core = new OwnerCore(
      ...([this.#epoch, submissions, clocks, maxLeaseMs, record, lapseMs] as const),
      () => performance.now(),
      this.#ports.scheduling,
    );
    if (!unread.isEmpty) {
      unread.logStart();
      this.#dispatch(unread.describe());
    }
    this.#dispatch({ kind: 'operatorChanged', operator: this.#operator.operator });
    this.#dispatch({ kind: 'lanesChanged', nodeIds: this.#laneIds });
    this.#cancellations.onLoaded(loaded.cancels.rows, submissions);
    this.#dispatch({
      kind: 'targetsListed',
      ...this.#loader.decodeRegistry(loaded.registry.rows),
    });
    this.#pendingChanges.forEach((apply) => apply());
    this.#pendingChanges = [];
    this.#follow(loaded);
    loaded.parts.follow((read) => this.#onPartRead(read));
    this.#timer = setInterval(() => this.#tick(), TICK_INTERVAL_MS);
    const { formerOwnersRemainingMs } = this.#core;
    this.#formerOwners.start(formerOwnersRemainingMs);
    this.#dispatchResult(learnt, (result) => ({ kind: 'learntRead', result }));
    const durationMs = Math.round(this.#ports.clock.nowMs() - startedAtMs);
    this.#ports.logger.info(
      {
        ...{ epoch: this.#epoch, submissionCount: submissions.length, durationMs },
        ...summarizeLoadedRows(loaded),
        ...{ recordedCount: record.targets.length, isRecordComplete: record.isComplete },
        formerOwnersRemainingMs: Math.round(formerOwnersRemainingMs),
        malformedTargetIds: record.malformed.map(({ targetId }) => targetId),
      },
      'takeover loaded',
    );
    this.#ports.metrics.record('takeover_load', durationMs);
  }

  /** Stops scheduling; calls not yet written are cancelled. */
  stop(): void {
    this.#isStopped = true;
    clearInterval(this.#timer);
    this.#load.stop();
    this.#ports.metrics.set('duration_groups', 0);
    this.#parts?.stop();
    this.#formerOwners.stop();
    this.#followers.forEach((follower) => follower.stop());
  }

  /**
   * Applies a new operator state.
   * @param operator - the newest state
   */
  setOperator(operator: OperatorSnapshot): void {
    this.#operator = operator;
    if (this.#core !== undefined) {
      this.#dispatch({ kind: 'operatorChanged', operator: operator.operator });
    }
  }

  /**
   * Adopts the advice of the former owner.
   * @param advice - what it has handed over
   * @param receivedAtMs - when it was received
   */
  adoptAdvice(advice: readonly HandedAdvice[], receivedAtMs: number): void {
    this.#whenLoaded(() => this.#dispatch({ kind: 'adviceHandedOver', advice, receivedAtMs }));
  }

  /** Has what a successor needs stored before this owner resigns. One that still loads knows nothing of its own. */
  prepareHandover(): void {
    if (this.#core === undefined) this.#callbacks.onHandoverPrepared();
    else this.#dispatch({ kind: 'handoverRequested' });
  }

  /**
   * Sets the advice lanes, which are the nodes that can query the advice service.
   * @param nodeIds - this node and all connected nodes
   */
  setLanes(nodeIds: readonly NodeId[]): void {
    this.#laneIds = nodeIds;
    if (this.#core !== undefined) this.#dispatch({ kind: 'lanesChanged', nodeIds });
  }

  /**
   * Adds a stored submission.
   * @param text - the submission in its stored form
   * @param rowVersion - version of its row; omitted when a gate announces it
   */
  submit(text: string, rowVersion?: number): void {
    const decoded = decodeSubmission(text);
    const finished = E.isRight(decoded) ? decoded : decodeFinishedSubmission(text);
    if (E.isLeft(finished)) {
      this.#ports.logger.warn({ reason: finished.left }, 'cannot decode stored submission');
      return;
    }
    const { id } = finished.right;
    const submission = E.isRight(decoded) ? decoded.right : undefined;
    this.#whenLoaded(() =>
      this.#unconfirmed.add(id, () => this.#addSubmission({ id, text, submission }, rowVersion)),
    );
  }

  /**
   * Its row may be a second one, of a submission whose first row is in a part that has not been read. So its stored
   * progress is looked for, and the version of the row tells nothing then.
   */
  #addSubmission({ id, text, submission: decoded }: ReadSubmission, rowVersion?: number): void {
    const unread = this.#unread;
    if (unread === undefined) return;
    const isFirstRow = rowVersion !== undefined && !unread.mayHoldSubmission(id);
    const version = isFirstRow ? { rowVersion } : {};
    const isNew = decoded !== undefined && !unread.progressRows.has(id);
    const loaded = isNew
      ? { submission: decoded, isCancelled: false, progress: undefined, progressVersion: 0 }
      : this.#loader.decodeSubmission({ key: id, value: text }, unread.progressRows);
    if (loaded === undefined) return;
    const isKnown = this.#core?.getView(id).kind === 'known';
    const held: LoadedSubmission = isKnown ? loaded : unread.hold(loaded);
    const { submission, progress, progressVersion, isCancellationUnread } = held;
    this.#dispatch({
      ...{ kind: 'submitted', submission, ...version },
      ...(progress === undefined ? {} : { stored: { progress, progressVersion } }),
      ...(isCancellationUnread === undefined ? {} : { isCancellationUnread }),
    });
    if (progress !== undefined) unread.forgetProgress([id]);
  }

  /**
   * Gets the state of a submission for a caller.
   * @param submissionId - the submission
   * @param teamId - team whose rate is told if the submission is not known
   * @returns its state; undefined while that is not known, as a part of the store has not been read
   */
  getView(submissionId: SubmissionId, teamId?: TeamId): SubmissionView | undefined {
    const view = this.#core?.getView(submissionId);
    if (view === undefined || this.#unread === undefined) return undefined;
    if (view.kind === 'unknown' && this.#unread.mayHoldSubmission(submissionId)) return undefined;
    if (view.kind === 'unknown')
      return teamId === undefined
        ? view
        : { ...view, ...this.#core?.load.getRate(teamId, submissionId) };
    const isFinal = view.state !== 'pending' && view.state !== 'running';
    return isFinal || !this.#unread.mayHoldCancellation(submissionId) ? view : undefined;
  }

  /**
   * Counts the waiting submissions of a queue.
   * @param queueId - the queue
   * @returns the number; undefined while a part of the store that may hold some has not been read
   */
  getWaitingCount(queueId: QueueId): number | undefined {
    if (this.#unread?.areSubmissionsRead !== true) return undefined;
    return this.#core?.getWaitingCount(queueId);
  }

  /**
   * Applies the cancellation of a submission that its gate knew.
   * @param submissionId - the cancelled submission
   * @param way - how it has become known
   */
  cancel(submissionId: SubmissionId, way: CancellationWay = 'notified'): void {
    this.#cancellations.onKnown(submissionId, way);
  }

  /**
   * Applies what a gate reports.
   * @param notice - a stored submission or cancellation
   * @returns the epoch of this ownership
   */
  take(notice: DeliveredNotice): Epoch {
    switch (notice.kind) {
      case 'submitted':
        this.submit(notice.text);
        break;
      case 'cancelled':
        this.cancel(notice.submissionId);
        break;
      case 'cancelledAhead':
        this.#cancellations.onRows([notice.row], 'notified');
        break;
      default:
        assertNever(notice);
    }
    return this.#epoch;
  }

  /** Handles the confirmation of the former owner that neither it nor one before it acts any more. */
  confirmFormerOwnersEnded(): void {
    this.#formerOwners.confirm((apply) => this.#whenLoaded(apply));
  }

  /** Until the feed has passed the last version of former owners, a submission that is not known may still come. */
  #checkSubmissionsRead(): void {
    const isRead = this.#unread?.areSubmissionsRead === true;
    const version = isRead ? (this.#submissionsFollower?.version ?? 0) : undefined;
    if (this.#formerOwners.takeSubmissionsRead(version))
      this.#dispatch({ kind: 'submissionsRead' });
  }

  /** Its submissions come in as at the takeover, and wait for targets that may run them. */
  #onPartRead({ table, part, snapshot }: PartRead): void {
    if (this.#isStopped || this.#unread === undefined) return;
    if (table === CANCELS_TABLE) this.#cancellations.onPartRead(snapshot.rows);
    else snapshot.rows.forEach((row) => this.submit(row.value, row.version));
    const submissionIds = this.#unread.takeReleased();
    if (submissionIds.length > 0) this.#dispatch({ kind: 'cancellationsRead', submissionIds });
    this.#dispatch(this.#unread.describe());
    this.#unread.logRead({ table, part }, snapshot.rows.length);
  }

  #restart(): void {
    if (this.#isStopped) return;
    this.start().catch(throwRejection);
  }

  #follow(loaded: LoadedRows): void {
    const { store, registry } = this.#ports;
    const follow = (
      followed: FollowedTable,
      version: number,
      onEvent: (event: FollowerEvent) => void,
    ) => {
      const follower = new TableFollower(store, followed, onEvent, () =>
        this.#ports.clock.steadyMs(),
      );
      this.#followers.push(follower);
      follower.start(version);
      return follower;
    };
    const { table, part } = registry;
    const registryFollower = follow(
      { table, parts: [part], pauseMs: REGISTRY_PAUSE_MS },
      loaded.registry.version,
      (event) => this.#onRegistry(event),
    );
    registryFollower.storeClockListener = {
      getNowMs: () => this.#ports.clock.nowMs(),
      onReading: (storeMs, sentAtMs) =>
        this.#dispatch({ kind: 'storeClockRead', reading: { storeMs, sentAtMs } }),
    };
    const accepted = { parts: SUBMISSION_PARTS, pauseMs: SUBMISSIONS_PAUSE_MS };
    this.#submissionsFollower = follow(
      { ...accepted, table: SUBMISSIONS_TABLE },
      loaded.submissions.version,
      (event) => OwnerHost.#getRows(event).forEach((row) => this.submit(row.value, row.version)),
    );
    follow({ ...accepted, table: CANCELS_TABLE }, loaded.cancels.version, (event) =>
      this.#cancellations.onRows(OwnerHost.#getRows(event), 'feed'),
    );
  }

  static #getRows(event: FollowerEvent): readonly StoredRow[] {
    if (event.kind === 'snapshot') return event.rows;
    return event.changes.flatMap((change) => (change.kind === 'put' ? [change.row] : []));
  }

  #onRegistry(event: FollowerEvent): void {
    if (event.kind === 'snapshot') {
      this.#dispatch({ kind: 'targetsListed', ...this.#loader.decodeRegistry(event.rows) });
      return;
    }
    event.changes.forEach((change) => {
      if (change.kind === 'removed') {
        this.#dispatch({ kind: 'targetRemoved', targetId: change.address.key as TargetId });
        return;
      }
      const { entries, unreadableIds } = this.#loader.decodeRegistry([change.row]);
      entries.forEach((entry) =>
        this.#dispatch({ kind: 'targetChanged', entry, writtenAfterMs: event.changedAfterMs }),
      );
      unreadableIds.forEach((targetId) =>
        this.#dispatch({ kind: 'targetEntryUnreadable', targetId }),
      );
    });
  }

  #getClockReadings() {
    const { clock } = this.#ports;
    const nowMs = clock.nowMs();
    return {
      ...{ nowMs, wallMs: clock.wallMs(), steadyMs: clock.steadyMs() },
      storeUnconfirmedForMs: this.#getUnconfirmedForMs(nowMs),
    };
  }

  #whenLoaded(apply: () => void): void {
    if (this.#core === undefined) this.#pendingChanges.push(apply);
    else apply();
  }

  #tick(): void {
    this.#load.onTick(TICK_INTERVAL_MS);
    this.#unconfirmed.check();
    this.#checkSubmissionsRead();
    this.#unread?.check();
    this.#dispatch({ kind: 'tick' });
  }

  #dispatch(event: EventBody): void {
    if (this.#isStopped || this.#core === undefined) return;
    this.#load.beginWork();
    const effects = this.#tryReduce(this.#core, event);
    this.#load.endWork(`decide_${event.kind}`);
    effects.forEach((effect) => {
      this.#perform(effect);
      this.#load.endWork(getEffectWork(effect.kind));
    });
  }

  /**
   * An unexpected error ends this ownership, as the state may be inconsistent, but not the process: its gate goes on
   * and the next owner rebuilds the state from the store and the targets.
   */
  #tryReduce(core: OwnerCore, event: EventBody): readonly OwnerEffect[] {
    try {
      return core.reduce({ ...event, ...this.#getClockReadings() } as OwnerEvent);
    } catch (error) {
      this.#ports.logger.error(
        { err: error, event: event.kind, epoch: this.#epoch },
        'unexpected error in the scheduler; this ownership ends',
      );
      this.#ports.metrics.count('scheduler_errors');
      this.stop();
      this.#callbacks.onSuperseded(`unexpected error on ${event.kind}`);
      return [];
    }
  }

  /** A connection may open after a restart; a call for the former incarnation must not reach the new one. */
  #createTooLateCheck({ targetId, incarnationStartMs }: TargetCallEffect) {
    return () =>
      this.#isTooLate() || this.#core?.isCurrentTarget(targetId, incarnationStartMs) !== true;
  }

  #perform(effect: OwnerEffect): void {
    const { clock } = this.#ports;
    switch (effect.kind) {
      case 'poll':
      case 'startRun':
      case 'stopRun':
        this.#dispatchResult(
          callTarget(effect, this.#ports, this.#createTooLateCheck(effect)),
          (event) => event,
        );
        return;
      case 'askAdvice': {
        const { laneId, stepKey, targetIds, timeoutMs } = effect;
        const sentAtMs = clock.nowMs();
        this.#dispatchResult(
          this.#callbacks.advise(laneId, stepKey, targetIds, timeoutMs),
          (result) => ({
            ...{ kind: 'advised' as const, laneId, stepKey, targetIds, sentAtMs, result },
          }),
        );
        return;
      }
      case 'writeProgress':
        this.#dispatchResult(this.#writes.writeProgress(effect), (result) => ({
          ...{ kind: 'progressWritten' as const, batch: effect.batch, result },
        }));
        return;
      case 'recordTargets':
        this.#dispatchResult(this.#writes.recordTargets(effect), (result) => ({
          ...{ kind: 'targetsRecorded' as const, result },
        }));
        return;
      case 'writeLearnt':
        this.#dispatchResult(this.#writes.writeLearnt(effect), (result) => ({
          ...{ kind: 'learntWritten' as const, result },
        }));
        return;
      case 'deleteSubmissions':
        this.#dispatchResult(this.#writes.deleteSubmissions(effect.submissionIds), (isDone) =>
          isDone ? { kind: 'submissionsDeleted', submissionIds: effect.submissionIds } : undefined,
        );
        return;
      case 'deleteCancellations':
        this.#dispatchResult(this.#writes.deleteCancellations(effect.rows), (rows) => ({
          ...{ kind: 'cancellationsDeleted' as const, rows },
        }));
        return;
      case 'stepDown':
        this.#callbacks.onSuperseded(effect.reason);
        return;
      case 'handoverPrepared':
        this.#callbacks.onHandoverPrepared();
        return;
      default:
        performMeasure(effect, this.#ports);
    }
  }

  #dispatchResult<T>(call: Promise<T>, toEvent: (result: T) => EventBody | undefined): void {
    this.#callsInFlightCount += 1;
    call.then((result) => {
      this.#callsInFlightCount -= 1;
      const event = toEvent(result);
      if (event !== undefined) this.#dispatch(event);
    }, throwRejection);
  }
}
