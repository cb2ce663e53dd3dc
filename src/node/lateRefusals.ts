/**
 * Refuses submissions that cannot be in time by the owner's forecast. It answers an overload that lasts, in which
 * callers would otherwise wait for work that is never started.
 *
 * A refusal states that the submission never runs, so it is given only for an id of which nothing is known: no write in
 * progress at this node, none in the store, and none at the owner. In doubt the submission is processed as usual.
 */

import { AdmissionControl } from '../admission/admissionDecision';
import type { AdmissionDecision } from '../admission/admissionDecision';
import { tryGetFacts } from '../admission/submissionFacts';
import type { Metrics } from '../observe/metrics';
import type { SubmissionView } from '../owner/types';
import type { Clock } from '../types/clock';
import type { SubmissionId, TeamId } from '../types/ids';
import { Random } from '../types/random';
import type { Submission } from '../work/types';
import type { AcceptanceWriter } from './acceptance';
import { SUBMISSIONS_TABLE } from './tables';

/** Checks at the same time. The store answers in 4 ms, so these suffice for 1,000 refusals per second. */
const MAX_CHECKS = 8;

/** A check that takes longer delays the submission more than processing it does. */
const CHECK_TIMEOUT_MS = 250;

/**
 * After the store was slow, a write of another node may still be repeated for this long: up to 2.4 s, the last time
 * with a transaction of up to 2 s.
 */
const QUIET_AFTER_SLOW_STORE_MS = 5_000;

const UINT32_RANGE = 4_294_967_296;

/** Dependencies of the refusals at one node. */
export interface LateRefusalPorts {
  readonly acceptance: Pick<AcceptanceWriter, 'watch' | 'endWatch'>;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Epoch of the owner that the node follows or is; undefined when there is none that it can rely on. */
  getServingEpoch(): number | undefined;
  /** Whether the store answers late, so that rows may be stored long after they were sent. */
  isStoreSlow(): boolean;
  /** Asks the owner; undefined when none has answered. */
  getView(submissionId: SubmissionId, teamId: TeamId): Promise<SubmissionView | undefined>;
  /** Looks the submission up in the store; undefined when that is uncertain. */
  isStored(submissionId: SubmissionId): Promise<boolean | undefined>;
}

type UnknownView = Extract<SubmissionView, { kind: 'unknown' }>;

/** A decision to refuse. */
export type LateRefusal = Extract<AdmissionDecision, { kind: 'refuse' }>;

function resolveAfter(durationMs: number): Promise<undefined> {
  return new Promise((resolve) => {
    setTimeout(() => resolve(undefined), durationMs).unref();
  });
}

/** Decides on the submissions that arrive at one node. */
export class LateRefusals {
  #ports: LateRefusalPorts;

  #control: AdmissionControl;

  #checkCount = 0;

  #storeSlowAtMs = Number.NEGATIVE_INFINITY;

  /**
   * @param ports - store, owner and clock
   * @param random - source of jitter
   */
  constructor(ports: LateRefusalPorts, random = new Random(Math.random() * UINT32_RANGE)) {
    this.#ports = ports;
    this.#control = new AdmissionControl(random);
  }

  /**
   * Takes the load summary of the owner.
   * @param load - as received; undefined when the owner sends none
   */
  onLoad(load: unknown): void {
    this.#noteStore();
    this.#control.onSummary(load, this.#ports.clock.nowMs());
  }

  /**
   * Decides on a submission before it is written.
   * @param submission - the submission
   * @returns undefined when it is processed as usual
   */
  async tryRefuse(submission: Submission): Promise<LateRefusal | undefined> {
    const { clock, metrics } = this.#ports;
    const nowMs = clock.nowMs();
    const ageMs = this.#control.getAgeMs(nowMs);
    const facts = ageMs === undefined ? undefined : tryGetFacts(submission);
    if (ageMs === undefined || facts === undefined) return undefined;
    metrics.record('admission_summary_age', ageMs);
    const decision = this.#control.decide(facts, this.#ports.getServingEpoch(), nowMs);
    if (decision.kind === 'admit') return undefined;
    const view = await this.#tryGetUnknown(submission);
    if (view === undefined) metrics.count('admission_would_refuse_unknown');
    if (view === undefined || (decision.isForExcess && view.isOverRate !== true)) return undefined;
    metrics.count('admission_refused');
    return decision;
  }

  #noteStore(): void {
    if (this.#ports.isStoreSlow()) this.#storeSlowAtMs = this.#ports.clock.nowMs();
  }

  /** Gets the owner's word that it does not know a submission; undefined when it is known or that is uncertain. */
  async #tryGetUnknown({ id, teamId }: Submission): Promise<UnknownView | undefined> {
    const { acceptance, clock } = this.#ports;
    this.#noteStore();
    if (clock.nowMs() < this.#storeSlowAtMs + QUIET_AFTER_SLOW_STORE_MS) return undefined;
    if (this.#checkCount >= MAX_CHECKS) return undefined;
    const watch = acceptance.watch(SUBMISSIONS_TABLE, id);
    const view = await Promise.race([this.#look(id, teamId), resolveAfter(CHECK_TIMEOUT_MS)]);
    acceptance.endWatch(SUBMISSIONS_TABLE, id, watch);
    return watch.hasWrite ? undefined : view;
  }

  async #look(submissionId: SubmissionId, teamId: TeamId): Promise<UnknownView | undefined> {
    this.#checkCount += 1;
    try {
      const [view, isStored] = await Promise.all([
        this.#ports.getView(submissionId, teamId),
        this.#ports.isStored(submissionId),
      ]);
      return view?.kind === 'unknown' && isStored === false ? view : undefined;
    } finally {
      this.#checkCount -= 1;
    }
  }
}
