/**
 * Runs of former owners that no target has listed yet. After a takeover a step waits only for targets on which a former
 * owner may have started its tasks and that have not listed their runs; the wait is bounded.
 */

import type { SubmissionId, TargetId } from '../types/ids';
import type { OwnerState } from './ownerState';
import type { StepState } from './stepState';
import type { SubmissionRecord } from './submissionRecord';
import type { TargetState } from './targetState';

/** Targets that a log line names. */
const MAX_LOGGED_SILENCES = 20;

/** What a target may have been started with. */
interface TargetTraits {
  readonly serviceNames: readonly string[];
  readonly labels: readonly string[];
}

/** Why a step is held back. */
interface Hold {
  /** The targets that may run its tasks unseen. */
  readonly targetIds: readonly TargetId[];
  /** When the wait ends at the latest, on the steady clock; infinite when nothing bounds it. */
  readonly untilMs: number;
}

/** Holds back tasks that may be running unseen. */
export class UnseenRuns {
  #state: OwnerState;

  /** When each target that is waited for became unresolved. */
  #unresolvedSinceMs = new Map<TargetId, number>();

  #startedAtMs: number;

  #isStartLogged = false;

  #heldCount = 0;

  /** Whether any step may be held back. */
  #mayHold = false;

  /**
   * @param state - the shared state of the owner
   */
  constructor(state: OwnerState) {
    this.#state = state;
    this.#startedAtMs = state.nowMs;
  }

  /** Releases the steps whose tasks can run on no unresolved target, and ends the wait when its time is up. */
  check(): void {
    this.#logStart();
    this.#observeTargets();
    this.#endWaits();
    this.#releaseSteps();
  }

  /**
   * Gets what a step is held back by.
   * @param step - a step that may run unseen
   * @returns the targets, and the latest end of the wait for them if none of them is heard from any more
   */
  getHold(step: StepState): Hold {
    const { unresolvedTargets, targets } = this.#state;
    const targetIds = [...unresolvedTargets].filter((id) =>
      UnseenRuns.#mayRunOn(step, this.#getTraits(id)),
    );
    const untilMs = targetIds
      .map((id) => this.#getWaitEndMs(targets.get(id)))
      .reduce((latestMs, endMs) => Math.max(latestMs, endMs), Number.NEGATIVE_INFINITY);
    return { targetIds, untilMs };
  }

  /**
   * A silent target holds nothing of former owners after some time. One that has answered may hold ends that it has not
   * listed yet; these count until its lease has ended.
   */
  #getWaitEndMs(target: TargetState | undefined): number {
    if (!target?.hasUnseenEnds) return this.#state.getUnresolvedUntilMs(target?.entry);
    if (target.isResponding) return Number.POSITIVE_INFINITY;
    return Math.max(this.#state.unresolvedUntilMs, target.lease.getExpiryMs());
  }

  #endWaits(): void {
    const { unresolvedTargets, targets } = this.#state;
    if (unresolvedTargets.size === 0) return;
    const { provenMs } = this.#state;
    const targetIds = [...unresolvedTargets].filter(
      (id) => provenMs >= this.#getWaitEndMs(targets.get(id)),
    );
    if (targetIds.length === 0) return;
    this.#state.log(
      'stopped waiting for targets that have not reported their runs',
      { targetIds, stepCount: this.#heldCount },
      'warn',
    );
    this.#state.count('targets_not_waited_for', targetIds.length);
    targetIds.forEach((id) => unresolvedTargets.delete(id));
    this.#observeTargets();
  }

  /**
   * Checks whether a former owner that was not fenced off yet may have started a submission that this owner had not
   * read. Targets that have listed it have to list their runs again.
   * @param submissionId - the submission, which has just been read
   * @returns true when its tasks have to wait
   */
  mayHaveBegun(submissionId: SubmissionId): boolean {
    const { unreadSubmissions, unresolvedTargets, targets } = this.#state;
    const listingTargetIds = unreadSubmissions.get(submissionId);
    unreadSubmissions.delete(submissionId);
    listingTargetIds?.forEach((targetId) => {
      const target = targets.get(targetId);
      if (target === undefined) return;
      // It may hold a lease of this owner, so that the time of the takeover says nothing about its runs.
      target.hasUnseenEnds = true;
      target.isContacted = false;
      target.nextPollAtMs = this.#state.nowMs;
      unresolvedTargets.add(targetId);
    });
    return unresolvedTargets.size > 0;
  }

  /**
   * Handles a step whose occurrence is due.
   * @param step - the step
   */
  onStepOpened(step: StepState): void {
    if (step.mayRunUnseen) this.#mayHold = true;
  }

  /**
   * Handles a row of a submission. One that was stored after the authority of former owners waits for nothing.
   * @param submitted - the submission
   * @param rowVersion - version of the row; 0 when a gate has announced the submission
   */
  onRowRead(submitted: SubmissionRecord, rowVersion: number): void {
    const record = submitted;
    // Another row may lie in a second part, and its version says nothing about the first one.
    if (rowVersion > 0) record.firstRowVersion ??= rowVersion;
    this.#releaseIfLater(record);
  }

  /**
   * Handles the end of the authority of former owners.
   * @param storeVersion - rows of later versions were written after that
   */
  onFormerOwnersEnded(storeVersion: number): void {
    this.#state.lastFormerVersion = storeVersion;
    this.#state.open.forEach((record) => this.#releaseIfLater(record));
  }

  #releaseIfLater(record: SubmissionRecord): void {
    if (record.isLoaded || (record.firstRowVersion ?? 0) <= this.#state.lastFormerVersion) return;
    record.clearUnseenRuns();
    this.#state.isPlanDue = true;
  }

  /** The targets of the takeover are known by the first tick. */
  #logStart(): void {
    if (this.#isStartLogged) return;
    this.#isStartLogged = true;
    const { targets, unresolvedTargets, record } = this.#state;
    this.#state.count('targets_unresolved', unresolvedTargets.size);
    this.#state.log('targets are asked for runs of former owners', {
      targetCount: targets.size,
      unresolvedCount: unresolvedTargets.size,
      isRecordComplete: record.isLoadedComplete,
      stepCount: this.#getHeldSteps().length,
    });
    this.#logKnownSilences();
  }

  #logKnownSilences(): void {
    const { steadyMs, formerSilences } = this.#state;
    if (formerSilences.size === 0) return;
    const named = [...formerSilences].slice(0, MAX_LOGGED_SILENCES);
    this.#state.log('silent targets are known from former owners', {
      targetCount: formerSilences.size,
      targets: named.map(([targetId, { sinceMs, untilMs }]) => ({
        targetId,
        silentForMs: Math.round(steadyMs - sinceMs),
        endsInMs: Math.max(0, Math.round(untilMs - steadyMs)),
      })),
    });
  }

  #observeTargets(): void {
    const { nowMs, unresolvedTargets } = this.#state;
    unresolvedTargets.forEach((targetId) => {
      if (!this.#unresolvedSinceMs.has(targetId)) this.#unresolvedSinceMs.set(targetId, nowMs);
    });
    this.#unresolvedSinceMs.forEach((sinceMs, targetId) => {
      if (unresolvedTargets.has(targetId)) return;
      this.#unresolvedSinceMs.delete(targetId);
      const durationMs = nowMs - sinceMs;
      this.#state.emit({ kind: 'record', name: 'target_unresolved', durationMs });
    });
  }

  #getHeldSteps(): readonly StepState[] {
    return [...this.#state.open].flatMap((record) =>
      [...record.steps].filter(({ mayRunUnseen }) => mayRunUnseen),
    );
  }

  #releaseSteps(): void {
    if (!this.#mayHold || this.#isRegistryUnknown) return;
    const unresolved = [...this.#state.unresolvedTargets].map((id) => this.#getTraits(id));
    const held = this.#getHeldSteps();
    const released = held.filter(
      (step) => !unresolved.some((traits) => UnseenRuns.#mayRunOn(step, traits)),
    );
    this.#heldCount = held.length - released.length;
    this.#mayHold = this.#heldCount > 0;
    if (released.length === 0) return;
    released.forEach((step) => this.#releaseStep(step));
    this.#state.isPlanDue = true;
    if (this.#heldCount > 0) return;
    this.#state.log('work of former owners is known', { stepCount: released.length });
  }

  /** Without a complete record, an empty registry says nothing about the targets that former owners have used. */
  get #isRegistryUnknown(): boolean {
    const { targets, steadyMs, unresolvedUntilMs, record } = this.#state;
    return targets.size === 0 && steadyMs < unresolvedUntilMs && !record.isLoadedComplete;
  }

  #releaseStep(released: StepState): void {
    const step = released;
    step.mayRunUnseen = false;
    if (step.readyAtMs === undefined || step.waiting.size === 0) return;
    const durationMs = this.#state.nowMs - Math.max(step.readyAtMs, this.#startedAtMs);
    this.#state.emit({ kind: 'record', name: 'step_hold', durationMs });
  }

  /** The registration and the record of a target; undefined when they do not tell what it may run. */
  #getTraits(targetId: TargetId): TargetTraits | undefined {
    const { record, targets } = this.#state;
    const recorded = record.get(targetId);
    const entry = targets.get(targetId)?.entry;
    if (!record.isLoadedComplete || recorded === undefined || entry === undefined) return undefined;
    return {
      serviceNames: [...recorded.serviceNames, entry.serviceName],
      labels: [...recorded.labels, ...entry.labels],
    };
  }

  /** A step that cannot be read would end the ownership of each node in turn, so it waits for all targets. */
  static #mayRunOn(step: StepState, traits: TargetTraits | undefined): boolean {
    if (traits === undefined) return true;
    try {
      return UnseenRuns.#isMatching(step, traits);
    } catch {
      return true;
    }
  }

  static #isMatching({ record, spec }: StepState, { serviceNames, labels }: TargetTraits): boolean {
    if (!record.mayUseServices(serviceNames)) return false;
    return spec.requiredLabel === '' || labels.includes(spec.requiredLabel);
  }
}
