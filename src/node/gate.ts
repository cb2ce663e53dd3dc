/** Answers callers' requests: routing, authorization, submission, state queries and cancellation. */

import { setImmediate } from 'node:timers/promises';
import * as E from 'fp-ts/Either';
import type { Logger } from '../observe/logger';
import type { Metrics } from '../observe/metrics';
import { DEFAULT_SCHEDULING_OPTIONS } from '../owner/schedulingOptions';
import type { SchedulingOptions } from '../owner/schedulingOptions';
import type { SubmissionView } from '../owner/types';
import type { RowStore } from '../store/types';
import type { Clock } from '../types/clock';
import type { Random } from '../types/random';
import { createDiagnostic } from '../types/diagnostics';
import type { DiagnosticName } from '../types/diagnostics';
import type { QueueId, SubmissionId, TeamId } from '../types/ids';
import { assertNever } from '../types/debug';
import { decodeFinishedSubmission, encodeSubmission } from '../work/submissionSchema';
import type { Submission } from '../work/types';
import type { AcceptanceWriter, AcceptOutcome } from './acceptance';
import type { CallerAnswer, CallerCall } from './callerTypes';
import { CancellationLimit } from './cancellationLimit';
import { encodeEarlyCancellation, getRequester, getRequesterName } from './cancellationRows';
import { LateRefusals } from './lateRefusals';
import type { LateRefusal } from './lateRefusals';
import { tryParseSubmissionId } from './router';
import type { OwnerNotice } from './ownerNotifier';
import { getObjectiveMs, getRetryDelayMs } from './retryDelay';
import type { RoutedCall, Router } from './router';
import { CANCELS_TABLE, getSubmissionPart, getSubmissionParts, SUBMISSIONS_TABLE } from './tables';

/** Retry delay given to callers when a request was refused for a temporary reason. */
const RETRY_AFTER_MS = 1_000;

/** How long requests wait for the first configuration after a start; a slow store takes 0.6 s to return it. */
const CONFIG_WAIT_MS = 800;

/** Maximum number of requests that wait for the first configuration; others are refused at once. */
const MAX_CALLS_AWAITING_CONFIG = 500;

/** Timeout for looking up in the store a submission that the owner does not know. */
const CHECK_TIMEOUT_MS = 800;

/** Access to the owner, on this or another node. */
export interface OwnerAccess {
  /**
   * @returns the view, or undefined when no owner answered; if the submission is not known and a team is given, the
   *   view tells whether that is over its rate
   */
  getView(submissionId: SubmissionId, teamId?: TeamId): Promise<SubmissionView | undefined>;
  /** @returns the count, or undefined when no owner answered */
  getWaitingCount(queueId: QueueId): Promise<number | undefined>;
  /** Tells the owner, now or later, of a stored submission or cancellation. */
  notify(notice: OwnerNotice): void;
}

/** Dependencies of a gate. */
export interface GatePorts {
  readonly store: Pick<RowStore, 'readRange'>;
  readonly acceptance: AcceptanceWriter;
  readonly owner: OwnerAccess;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Scheduling features; the defaults apply when omitted. */
  readonly scheduling?: SchedulingOptions;
  /** Epoch of the owner that the node follows or is; undefined when there is none that it can rely on. */
  getServingEpoch(): number | undefined;
  /** Whether the store answers late, so that rows may be stored long after they were sent. */
  isStoreSlow(): boolean;
  /** How long the store has not been reached, in milliseconds; 0 while it is. */
  getStoreLostForMs(): number;
  /** Number of nodes; 1 when omitted. */
  getNodeCount?(): number;
  /** Source of jitter; omitted outside tests. */
  readonly random?: Random;
}

/** What the store has of a submission. */
type StoredSubmission =
  | { readonly kind: 'none' }
  | { readonly kind: 'readable'; readonly submission: Submission }
  | { readonly kind: 'unreadable' };

function refuse(name: DiagnosticName, retryAfterMs?: number, detail?: string): CallerAnswer {
  return { kind: 'refused', diagnostic: createDiagnostic(name, detail), retryAfterMs };
}

function toLateAnswer({ kind: _kind, retryAfterMs, ...forecast }: LateRefusal): CallerAnswer {
  const { endMs, objectiveMs } = forecast;
  const [endSeconds, objectiveSeconds] = [endMs, objectiveMs].map((ms) => (ms / 1_000).toFixed(1));
  const detail = `expected to end after ${endSeconds} s; the objective is ${objectiveSeconds} s`;
  const diagnostic = createDiagnostic('expectedLate', detail);
  return { kind: 'refused', diagnostic, retryAfterMs, forecast };
}

/** Answers the requests that arrive at one node. */
export class Gate {
  #ports: GatePorts;

  #router: Router | undefined;

  #callsAwaitingConfig = new Set<() => void>();

  #lateRefusals: LateRefusals | undefined;

  #cancellationLimit: CancellationLimit;

  /**
   * @param ports - store, owner, clock and logger
   */
  constructor(ports: GatePorts) {
    this.#ports = ports;
    this.#cancellationLimit = new CancellationLimit(ports.clock, () => ports.getNodeCount?.() ?? 1);
    const { refusesLateSubmissions } = ports.scheduling ?? DEFAULT_SCHEDULING_OPTIONS;
    if (!refusesLateSubmissions) return;
    this.#lateRefusals = new LateRefusals(
      {
        ...{ acceptance: ports.acceptance, clock: ports.clock, metrics: ports.metrics },
        getServingEpoch: () => ports.getServingEpoch(),
        isStoreSlow: () => ports.isStoreSlow(),
        getView: (submissionId, teamId) => ports.owner.getView(submissionId, teamId),
        isStored: async (submissionId) => {
          const found = await this.#findStored(submissionId);
          return found === undefined ? undefined : found.kind !== 'none';
        },
      },
      ports.random,
    );
  }

  /**
   * Takes the load summary of the owner.
   * @param load - as received; undefined when the owner sends none
   */
  onLoad(load: unknown): void {
    this.#lateRefusals?.onLoad(load);
  }

  /**
   * Sets the configuration in force and releases the requests that wait for the first one.
   * @param router - lookup tables of the configuration
   */
  setRouter(router: Router): void {
    this.#router = router;
    const calls = this.#callsAwaitingConfig;
    this.#callsAwaitingConfig = new Set();
    calls.forEach((proceed) => proceed());
  }

  /**
   * Answers one request.
   * @param call - the request
   * @returns the answer; rejects only when an invariant is violated
   */
  async answer(call: CallerCall): Promise<CallerAnswer> {
    const startedAtMs = this.#ports.clock.nowMs();
    const answer = await this.#answer(call);
    const durationMs = this.#ports.clock.nowMs() - startedAtMs;
    this.#ports.metrics.count(`calls_${call.verb}_${answer.kind}`);
    this.#ports.metrics.record(`call_${call.verb}`, durationMs);
    if (call.verb !== 'read' || answer.kind === 'refused') this.#log(call, answer, durationMs);
    return answer;
  }

  #log(call: CallerCall, answer: CallerAnswer, durationMs: number): void {
    this.#ports.logger.info(
      {
        path: call.path,
        verb: call.verb,
        configVersion: this.#router?.config.version,
        outcome: answer.kind,
        ...('diagnostic' in answer
          ? { reason: answer.diagnostic.name, detail: answer.diagnostic.detail }
          : {}),
        ...('forecast' in answer ? { forecast: answer.forecast } : {}),
        durationMs: Math.round(durationMs),
      },
      'call answered',
    );
  }

  async #answer(call: CallerCall): Promise<CallerAnswer> {
    if (this.#router === undefined) await this.#waitForRouter();
    if (this.#router === undefined) return refuse('configStale', RETRY_AFTER_MS);
    const routed = this.#router.route(call.host, call.path, call.key);
    if (E.isLeft(routed)) return refuse(routed.left.name);
    if (call.verb === 'read' && routed.right.remainingPath === '')
      return this.#readQueue(routed.right);
    const submissionId = tryParseSubmissionId(routed.right.remainingPath);
    if (submissionId === undefined) return refuse('unknownQueue');
    switch (call.verb) {
      case 'submit':
        return this.#submit(call, routed.right, submissionId);
      case 'read':
        return this.#readState(routed.right, submissionId);
      case 'cancel':
        return this.#cancel(routed.right, submissionId);
      default:
        return assertNever(call.verb);
    }
  }

  /**
   * Resolves when the first configuration arrives or the wait times out, and at once when too many
   * requests are waiting already.
   */
  #waitForRouter(): Promise<void> {
    if (this.#callsAwaitingConfig.size >= MAX_CALLS_AWAITING_CONFIG) return Promise.resolve();
    return new Promise((resolve) => {
      const proceed = () => {
        this.#callsAwaitingConfig.delete(proceed);
        resolve();
      };
      setTimeout(proceed, CONFIG_WAIT_MS);
      this.#callsAwaitingConfig.add(proceed);
    });
  }

  async #submit(
    call: CallerCall,
    { queue, teamId }: RoutedCall,
    id: SubmissionId,
  ): Promise<CallerAnswer> {
    const spec = call.decodeSpec();
    if (E.isLeft(spec)) return refuse('badBody', undefined, spec.left);
    const acceptedAtMs = this.#ports.clock.wallMs();
    const submission: Submission = { id, queue, teamId, acceptedAtMs, spec: spec.right };
    const refusal = await this.#lateRefusals?.tryRefuse(submission);
    if (refusal !== undefined) return toLateAnswer(refusal);
    if (await this.#isAbandoned(call)) return refuse('cancelled');
    const text = encodeSubmission(submission);
    const outcome = await this.#ports.acceptance.write(SUBMISSIONS_TABLE, id, text);
    if (outcome.kind === 'stored')
      this.#ports.owner.notify({ kind: 'submitted', submissionId: id, text });
    const retryDelayMs = getRetryDelayMs(
      this.#ports.getStoreLostForMs(),
      getObjectiveMs(submission),
    );
    return Gate.#toAnswer(outcome, { kind: 'accepted' }, retryDelayMs);
  }

  /**
   * A node that was suspended finds requests in its sockets whose callers have left. The end of a connection is read in
   * the turn of the event loop after its last data.
   */
  async #isAbandoned(call: CallerCall): Promise<boolean> {
    if (call.isCallerGone === undefined) return false;
    await setImmediate();
    await setImmediate();
    if (!call.isCallerGone()) return false;
    this.#ports.metrics.count('submissions_abandoned');
    return true;
  }

  async #readState(routed: RoutedCall, submissionId: SubmissionId): Promise<CallerAnswer> {
    const view = await this.#ports.owner.getView(submissionId);
    if (view === undefined) return refuse('noOwner', RETRY_AFTER_MS);
    if (view.kind === 'known') {
      if (!Gate.#isVisible(routed, view.submission)) return { kind: 'noSubmission' };
      return { kind: 'state', state: view.state };
    }
    const found = await this.#findStored(submissionId);
    if (found === undefined) return refuse('noOwner', RETRY_AFTER_MS);
    return Gate.#isStoredVisible(routed, found)
      ? { kind: 'state', state: 'pending' }
      : { kind: 'noSubmission' };
  }

  async #cancel(routed: RoutedCall, submissionId: SubmissionId): Promise<CallerAnswer> {
    const view = await this.#ports.owner.getView(submissionId);
    if (view?.kind === 'known' && !Gate.#isVisible(routed, view.submission)) {
      return { kind: 'noSubmission' };
    }
    if (view?.kind !== 'known') {
      const found = await this.#findStored(submissionId);
      if (found === undefined) return refuse('noOwner', RETRY_AFTER_MS);
      // Without an owner the team of a row that cannot be read is not known; the cancellation then holds for its own.
      if (found.kind !== 'readable') return this.#cancelAhead(routed, submissionId);
      if (!Gate.#isVisible(routed, found.submission)) return { kind: 'noSubmission' };
    }
    const outcome = await this.#ports.acceptance.write(CANCELS_TABLE, submissionId, '');
    if (outcome.kind === 'stored') this.#ports.owner.notify({ kind: 'cancelled', submissionId });
    return Gate.#toAnswer(outcome, { kind: 'cancelled' });
  }

  /**
   * The submission may be on its way, in a connection of another node, in a transaction or at another committer. So the
   * cancellation is stored for when it comes.
   */
  async #cancelAhead(routed: RoutedCall, submissionId: SubmissionId): Promise<CallerAnswer> {
    const requester = getRequester(routed);
    const waitMs = this.#cancellationLimit.take(getRequesterName(requester));
    if (waitMs > 0) {
      this.#ports.metrics.count('early_cancellations_refused');
      return refuse('tooManyCancellations', Math.max(RETRY_AFTER_MS, waitMs));
    }
    const wallMs = this.#ports.clock.wallMs();
    const { key, value } = encodeEarlyCancellation(submissionId, requester, wallMs);
    const outcome = await this.#ports.acceptance.write(CANCELS_TABLE, submissionId, value, key);
    if (outcome.kind === 'stored') {
      const row = { part: getSubmissionPart(submissionId), key, value };
      this.#ports.owner.notify({ kind: 'cancelledAhead', submissionId, row });
    }
    this.#ports.logger.info(
      { submissionId, requester, outcome: outcome.kind },
      'cancellation of a submission that is not known stored ahead of it',
    );
    return Gate.#toAnswer(outcome, { kind: 'noSubmission' });
  }

  async #readQueue({ queue }: RoutedCall): Promise<CallerAnswer> {
    const count = await this.#ports.owner.getWaitingCount(queue.id);
    return count === undefined ? refuse('noOwner', RETRY_AFTER_MS) : { kind: 'waiting', count };
  }

  static #isStoredVisible(routed: RoutedCall, found: StoredSubmission): boolean {
    switch (found.kind) {
      case 'none':
        return false;
      case 'readable':
        return Gate.#isVisible(routed, found.submission);
      case 'unreadable':
        return true;
      default:
        return assertNever(found);
    }
  }

  /** A team sees only its own submissions, except in public queues. */
  static #isVisible({ queue, teamId }: RoutedCall, submission: Submission): boolean {
    return queue.isPublic || submission.teamId === teamId;
  }

  static #toAnswer(
    outcome: AcceptOutcome,
    stored: CallerAnswer,
    retryDelayMs = RETRY_AFTER_MS,
  ): CallerAnswer {
    switch (outcome.kind) {
      case 'stored':
        return stored;
      case 'notStored':
        return refuse('notDurable', retryDelayMs, outcome.detail);
      case 'unknown':
        return {
          kind: 'uncertain',
          diagnostic: createDiagnostic('outcomeUnknown', outcome.detail),
        };
      default:
        return assertNever(outcome);
    }
  }

  /** Looks a submission up in the store; undefined when the store did not answer. */
  async #findStored(submissionId: SubmissionId): Promise<StoredSubmission | undefined> {
    const pages = await Promise.all(
      getSubmissionParts(submissionId).map((part) =>
        this.#ports.store.readRange(
          { table: SUBMISSIONS_TABLE, part, fromKey: submissionId, limit: 1 },
          CHECK_TIMEOUT_MS,
        ),
      ),
    );
    const rows = pages.flatMap((page) => (E.isRight(page) ? page.right.rows : []));
    const row = rows.find(({ key }) => key === submissionId);
    if (row === undefined) return pages.some(E.isLeft) ? undefined : { kind: 'none' };
    const decoded = decodeFinishedSubmission(row.value);
    return E.isRight(decoded)
      ? { kind: 'readable', submission: decoded.right }
      : { kind: 'unreadable' };
  }
}
