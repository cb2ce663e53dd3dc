/** Runs the owner's reducer on the node that owns the fleet: loads it, performs its effects. */

import * as E from 'fp-ts/Either';
import { OwnerCore } from '../owner/core';
import type { Advice, AdviceFailure, Moment, OwnerEffect, OwnerEvent } from '../owner/types';
import { TableFollower } from '../store/tableFollower';
import type { FollowedTable, FollowerEvent } from '../store/tableFollower';
import type { StoredRow } from '../store/types';
import { assertNever, throwRejection } from '../types/debug';
import type { Epoch, NodeId, StepKey, SubmissionId, TargetId } from '../types/ids';
import type { DistributiveOmit } from '../types/distributiveOmit';
import { decodeSubmission } from '../work/submissionSchema';
import type { OperatorSnapshot } from './operatorSnapshot';
import { OwnerWrites } from './ownerWrites';
import type { NodePorts } from './ports';
import { ACCEPTED_PARTS, CANCELS_TABLE, SUBMISSIONS_TABLE } from './tables';
import { TakeoverLoader } from './takeoverLoader';
import type { LoadedRows } from './takeoverLoader';

/** How often time alone is applied: a plan that had to wait is made up for within this. */
const TICK_MS = 10;

/** Pause before a failed load is repeated. */
const LOAD_RETRY_MS = 100;

/** Pause between reads of the registry; draining targets have to be left within 2 s. */
const REGISTRY_PAUSE_MS = 300;

/** Pause between reads of submissions that no gate has told of. */
const SUBMISSIONS_PAUSE_MS = 500;

/** What the host needs of its node. */
export interface OwnerHostLinks {
  /** True while this node may act as the owner. */
  isAuthorized(): boolean;
  /** Asks the advice service through a node. */
  advise(
    nodeId: NodeId,
    stepKey: StepKey,
    targetIds: readonly TargetId[],
    timeoutMs: number,
  ): Promise<E.Either<AdviceFailure, Advice>>;
  /** Another owner has been named. */
  onSuperseded(reason: string): void;
}

type EventBody = DistributiveOmit<OwnerEvent, keyof Moment>;

/** One ownership from its beginning to its end. */
export class OwnerHost {
  #ports: NodePorts;

  #links: OwnerHostLinks;

  #epoch: Epoch;

  #loader: TakeoverLoader;

  #writes: OwnerWrites;

  #core: OwnerCore | undefined;

  #followers: TableFollower[] = [];

  #timer: NodeJS.Timeout | undefined;

  #isStopped = false;

  #operator: OperatorSnapshot;

  #laneIds: readonly NodeId[] = [];

  #early: EventBody[] = [];

  /** Asked right before a call to a target is written. */
  #isTooLate = () => this.#isStopped || !this.#links.isAuthorized();

  /**
   * @param ports - store, targets, registry, clock and log
   * @param links - the node
   * @param epoch - the fence of every call
   * @param rowVersion - version of the owner row, a condition of every write
   * @param operator - what operators have decided
   */
  constructor(
    ports: NodePorts,
    links: OwnerHostLinks,
    epoch: Epoch,
    rowVersion: number,
    operator: OperatorSnapshot,
  ) {
    this.#ports = ports;
    this.#links = links;
    this.#epoch = epoch;
    this.#loader = new TakeoverLoader(ports);
    this.#writes = new OwnerWrites(ports.store, rowVersion);
    this.#operator = operator;
  }

  /** The reducer, once everything is loaded. */
  get core(): OwnerCore | undefined {
    return this.#core;
  }

  /** Loads what is stored and begins to decide. */
  async start(): Promise<void> {
    const startedAtMs = this.#ports.clock.nowMs();
    const loaded = await this.#loader.load();
    if (this.#isStopped) return;
    if (loaded === undefined) {
      setTimeout(() => this.#restart(), LOAD_RETRY_MS);
      return;
    }
    const submissions = this.#loader.decodeSubmissions(loaded);
    this.#core = new OwnerCore(this.#epoch, submissions, this.#getMoment());
    this.#dispatch({ kind: 'operatorChanged', operator: this.#operator.operator });
    this.#dispatch({ kind: 'lanesChanged', nodeIds: this.#laneIds });
    this.#dispatch({
      kind: 'targetsListed',
      entries: this.#loader.decodeEntries(loaded.registry.rows),
    });
    this.#early.forEach((event) => this.#dispatch(event));
    this.#early = [];
    this.#follow(loaded);
    this.#timer = setInterval(() => this.#dispatch({ kind: 'tick' }), TICK_MS);
    const durationMs = Math.round(this.#ports.clock.nowMs() - startedAtMs);
    this.#ports.logger.info(
      { epoch: this.#epoch, submissionCount: submissions.length, durationMs },
      'takeover loaded',
    );
    this.#ports.metrics.record('takeover_load', durationMs);
  }

  /** Ends it: nothing more is decided and no call leaves. */
  stop(): void {
    this.#isStopped = true;
    clearInterval(this.#timer);
    this.#followers.forEach((follower) => follower.stop());
  }

  /**
   * Takes what operators have decided.
   * @param operator - the newest state
   */
  setOperator(operator: OperatorSnapshot): void {
    this.#operator = operator;
    if (this.#core !== undefined) {
      this.#dispatch({ kind: 'operatorChanged', operator: operator.operator });
    }
  }

  /**
   * Takes the nodes that can ask the advice service.
   * @param nodeIds - this node and all that are connected
   */
  setLanes(nodeIds: readonly NodeId[]): void {
    this.#laneIds = nodeIds;
    if (this.#core !== undefined) this.#dispatch({ kind: 'lanesChanged', nodeIds });
  }

  /**
   * Takes a stored submission.
   * @param text - in its stored form
   */
  submit(text: string): void {
    const decoded = decodeSubmission(text);
    if (E.isLeft(decoded)) {
      this.#ports.logger.warn({ reason: decoded.left }, 'stored submission not usable');
      return;
    }
    this.#dispatchOrKeep({ kind: 'submitted', submission: decoded.right });
  }

  /**
   * Takes a stored cancellation.
   * @param submissionId - what is cancelled
   */
  cancel(submissionId: SubmissionId): void {
    this.#dispatchOrKeep({ kind: 'cancelled', submissionId });
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
      const follower = new TableFollower(store, followed, onEvent);
      this.#followers.push(follower);
      follower.start(version);
    };
    const { table, part } = registry;
    follow({ table, parts: [part], pauseMs: REGISTRY_PAUSE_MS }, loaded.registry.version, (event) =>
      this.#onRegistry(event),
    );
    const accepted = { parts: ACCEPTED_PARTS, pauseMs: SUBMISSIONS_PAUSE_MS };
    follow({ ...accepted, table: SUBMISSIONS_TABLE }, loaded.submissions.version, (event) => {
      OwnerHost.#getRows(event).forEach((row) => this.submit(row.value));
    });
    follow({ ...accepted, table: CANCELS_TABLE }, loaded.cancels.version, (event) => {
      OwnerHost.#getRows(event).forEach((row) => this.cancel(row.key as SubmissionId));
    });
  }

  static #getRows(event: FollowerEvent): readonly StoredRow[] {
    if (event.kind === 'snapshot') return event.rows;
    return event.changes.flatMap((change) => (change.kind === 'put' ? [change.row] : []));
  }

  #onRegistry(event: FollowerEvent): void {
    if (event.kind === 'snapshot') {
      this.#dispatch({ kind: 'targetsListed', entries: this.#loader.decodeEntries(event.rows) });
      return;
    }
    event.changes.forEach((change) => {
      if (change.kind === 'removed') {
        this.#dispatch({ kind: 'targetRemoved', targetId: change.address.key as TargetId });
        return;
      }
      this.#loader
        .decodeEntries([change.row])
        .forEach((entry) => this.#dispatch({ kind: 'targetChanged', entry }));
    });
  }

  #getMoment() {
    const { clock } = this.#ports;
    return { nowMs: clock.nowMs(), wallMs: clock.wallMs(), steadyMs: clock.steadyMs() };
  }

  #dispatchOrKeep(event: EventBody): void {
    if (this.#core === undefined) this.#early.push(event);
    else this.#dispatch(event);
  }

  #dispatch(event: EventBody): void {
    if (this.#isStopped || this.#core === undefined) return;
    const effects = this.#core.reduce({ ...event, ...this.#getMoment() } as OwnerEvent);
    effects.forEach((effect) => this.#perform(effect));
  }

  #perform(effect: OwnerEffect): void {
    const { targets, metrics, logger, clock } = this.#ports;
    switch (effect.kind) {
      case 'look': {
        const { targetId, bornAtMs, isProbe } = effect;
        const sentAtMs = clock.nowMs();
        this.#run(targets.look(effect, this.#isTooLate), (result) => ({
          ...{ kind: 'looked' as const, targetId, bornAtMs, isProbe, sentAtMs, result },
        }));
        return;
      }
      case 'startRun': {
        const { targetId, taskKey, run } = effect;
        const sentAtMs = clock.nowMs();
        this.#run(targets.start(effect, this.#isTooLate), (result) => ({
          ...{ kind: 'startAnswered' as const, targetId, taskKey, run, sentAtMs, result },
        }));
        return;
      }
      case 'stopRun': {
        const { targetId, taskKey, run } = effect;
        const sentAtMs = clock.nowMs();
        this.#run(targets.stop(effect, this.#isTooLate), (result) => ({
          ...{ kind: 'stopAnswered' as const, targetId, taskKey, run, sentAtMs, result },
        }));
        return;
      }
      case 'askAdvice': {
        const { laneId, stepKey, targetIds, timeoutMs } = effect;
        const sentAtMs = clock.nowMs();
        this.#run(this.#links.advise(laneId, stepKey, targetIds, timeoutMs), (result) => ({
          ...{ kind: 'advised' as const, laneId, stepKey, targetIds, sentAtMs, result },
        }));
        return;
      }
      case 'writeProgress':
        this.#run(this.#writes.writeProgress(effect), (result) => ({
          ...{ kind: 'progressWritten' as const, batch: effect.batch, result },
        }));
        return;
      case 'deleteSubmissions':
        this.#run(this.#writes.deleteSubmissions(effect.submissionIds), (isDone) =>
          isDone ? { kind: 'submissionsDeleted', submissionIds: effect.submissionIds } : undefined,
        );
        return;
      case 'stepDown':
        this.#links.onSuperseded(effect.reason);
        return;
      case 'count':
        metrics.count(effect.name, effect.step);
        return;
      case 'record':
        metrics.record(effect.name, effect.durationMs);
        return;
      case 'log':
        logger[effect.level](effect.fields, effect.message);
        return;
      default:
        assertNever(effect);
    }
  }

  #run<T>(call: Promise<T>, toEvent: (result: T) => EventBody | undefined): void {
    call.then((result) => {
      const event = toEvent(result);
      if (event !== undefined) this.#dispatch(event);
    }, throwRejection);
  }
}
