/** State of one incarnation of a target: its runs, capacity, clock, lease and unacknowledged ends. */

import type { SubmissionId, TargetId } from '../types/ids';
import { addDemand, NO_DEMAND } from '../work/types';
import type { TaskDemand } from '../work/types';
import {
  MAX_QUARANTINE_MS,
  QUARANTINE_THRESHOLD,
  INITIAL_QUARANTINE_MS,
  SLOWDOWN_SMOOTHING_FACTOR,
  STOP_RETRY_DELAY_MS,
} from './constants';
import { toIncarnation } from './incarnationName';
import { isUseDifferent } from './registrationUse';
import { OwnEntries } from './ownEntries';
import type { Run, RunKey } from './run';
import type { SubmissionRecord } from './submissionRecord';
import { TargetClock } from './targetClock';
import { TargetLease } from './targetLease';
import type { TargetWatch } from './targetWatch';
import type { Trial } from './trial';
import type { TargetEntry } from './types';
import { UnacknowledgedEnds } from './unacknowledgedEnds';

/** A change that makes a report about the runs of a target void once it is durable. */
interface VoidedReport {
  readonly record: SubmissionRecord;
  readonly change: number;
}

/** One incarnation of a target. */
export class TargetState {
  #entry: TargetEntry;

  #runs = new Map<RunKey, Run>();

  #orphanRuns = new Set<RunKey>();

  #orphanStopSentAtMs = new Map<RunKey, number>();

  #used: TaskDemand = NO_DEMAND;

  #free: TaskDemand;

  #incarnation: string;

  #fillerCount = 0;

  #latencySensitiveCount = 0;

  #watch: TargetWatch | undefined;

  #isContacted = false;

  #isResponding = true;

  #isVerificationDue = false;

  #isRegistered = true;

  #isRecorded = false;

  #mayNeedStops = true;

  #mayHaveUnsettledRuns = true;

  #trial: Trial | undefined;

  #voidedReports: readonly VoidedReport[] = [];

  #isReportUnread = false;

  #pollSentAtMs: number | undefined;

  #ends = new UnacknowledgedEnds();

  /** Start times of the incarnations that it has replaced. */
  #formerStartsMs: readonly number[];

  #failedSubmissions = new Set<SubmissionId>();

  #quarantineMs = INITIAL_QUARANTINE_MS;

  readonly clock = new TargetClock();

  readonly lease = new TargetLease(this.clock);

  /** The target reports runs of submissions that this owner has not read yet. */
  hasUnreadRuns = false;

  /** The target holds ends that it has not listed yet, or that cannot be processed yet. */
  hasUnseenEnds = false;

  /** When the target last answered a poll or a start. */
  lastAnsweredAtMs = 0;

  /** A time at which the incarnation was certainly alive, by its renewed entries, on the steady clock. */
  aliveAtMs = Number.NEGATIVE_INFINITY;

  readonly ownEntries = new OwnEntries();

  /** When the registry dropped it while it drained and too soon for silence; undefined if it may be alive. */
  leftAtMs: number | undefined;

  /** When contact was lost; undefined while the target responds. */
  lostAtMs: number | undefined;

  /** Whether its host closed or refused a connection since contact was lost, as after the end of the process. */
  wasConnectionClosed = false;

  /** Whether all runs have been reported since contact was lost. */
  areRunsReported = false;

  /** Whether the planning pass in progress may start runs here, apart from a pause. */
  isPlannable = false;

  /** Since when no runs may be started there; undefined while they may. */
  unplannableSinceMs: number | undefined;

  /** Its position in the table of targets, which decides between targets of equal cost. */
  position = 0;

  /** When the last poll was answered. */
  pollAnsweredAtMs: number | undefined;

  /** Earliest time of the next poll. */
  nextPollAtMs = 0;

  /** A probe is pending. */
  isProbeInFlight = false;

  /** Earliest time of the next probe. */
  nextProbeAtMs = 0;

  /** Since when the target runs nothing and only has ends to acknowledge. */
  idleSinceMs: number | undefined;

  /** No runs are started before this time. */
  pausedUntilMs = 0;

  /** Ends up to this sequence number have been acknowledged. */
  acknowledgedSequence = 0;

  /** The acknowledgement in the pending poll, and the highest one in a poll that was answered. */
  sentAcknowledgement = 0;

  confirmedAcknowledgement = 0;

  /** Moving average of run durations relative to the mean of their steps; 1 for an average target. */
  slowdown = 1;

  /**
   * @param entry - the registration
   * @param former - the incarnation that it replaces
   */
  constructor(entry: TargetEntry, former: TargetState | undefined = undefined) {
    this.#entry = entry;
    this.#free = entry.capacity;
    this.#incarnation = toIncarnation(entry.address, entry.incarnationStartMs);
    this.#formerStartsMs =
      former === undefined ? [] : [...former.#formerStartsMs, former.entry.incarnationStartMs];
  }

  /**
   * Checks whether a registration is that of an incarnation which has ended.
   * @param entry - the registration
   * @returns true when this incarnation, or one before it, has taken its place
   */
  hasReplaced(entry: TargetEntry): boolean {
    return this.#formerStartsMs.includes(entry.incarnationStartMs);
  }

  get id(): TargetId {
    return this.#entry.id;
  }

  /** Identifies the incarnation, also for a later owner: a new one at the address has another start time. */
  get incarnation(): string {
    return this.#incarnation;
  }

  /**
   * Enters the table of targets.
   * @param watch - where the target enters itself while it needs attention
   * @param position - its position in the table
   */
  join(watch: TargetWatch, position: number): void {
    this.#watch = watch;
    this.position = position;
    this.isPlannable = false;
    watch.registrationCount += 1;
    watch.unusual.add(this);
    watch.unpolled.add(this);
    watch.unchecked.add(this);
    this.#setDraining();
  }

  #setDraining(): void {
    if (this.#entry.isDraining) this.#watch?.draining.add(this);
    else this.#watch?.draining.delete(this);
  }

  /** Leaves the table of targets. */
  leave(): void {
    this.#watch?.remove(this);
    this.#watch = undefined;
  }

  /** Whether nothing about it needs attention, so that any work may be started on it. */
  get isUsual(): boolean {
    return (
      this.#isContacted &&
      this.#isResponding &&
      !this.#isVerificationDue &&
      this.#isRegistered &&
      this.#isRecorded &&
      !this.#mayHaveUnsettledRuns &&
      this.#trial === undefined &&
      this.#voidedReports.length === 0 &&
      !this.#isReportUnread &&
      this.#orphanRuns.size === 0
    );
  }

  #setUnusual(isUnusual: boolean): void {
    if (isUnusual) this.#watch?.unusual.add(this);
  }

  /** The target has answered a poll in the current epoch. */
  get isContacted(): boolean {
    return this.#isContacted;
  }

  set isContacted(isContacted: boolean) {
    this.#isContacted = isContacted;
    this.#setUnusual(!isContacted);
  }

  /** The last poll or start was answered. */
  get isResponding(): boolean {
    return this.#isResponding;
  }

  set isResponding(isResponding: boolean) {
    this.#isResponding = isResponding;
    this.#setUnusual(!isResponding);
  }

  /** A poll has to tell which incarnation is alive, as the registry or an answer has shown another one. */
  get isVerificationDue(): boolean {
    return this.#isVerificationDue;
  }

  set isVerificationDue(isDue: boolean) {
    this.#isVerificationDue = isDue;
    this.#setUnusual(isDue);
  }

  /** The target is in the registry. */
  get isRegistered(): boolean {
    return this.#isRegistered;
  }

  set isRegistered(isRegistered: boolean) {
    if (this.#watch !== undefined && isRegistered !== this.#isRegistered)
      this.#watch.registrationCount += 1;
    this.#isRegistered = isRegistered;
    this.#setUnusual(!isRegistered);
  }

  /** The durable record tells a later owner that the target may hold runs. */
  get isRecorded(): boolean {
    return this.#isRecorded;
  }

  set isRecorded(isRecorded: boolean) {
    this.#isRecorded = isRecorded;
    this.#setUnusual(!isRecorded);
  }

  /** Whether runs are being stopped, or an answer to a poll has not been searched for stalled runs yet. */
  get mayNeedStops(): boolean {
    return this.#mayNeedStops;
  }

  set mayNeedStops(mayNeedStops: boolean) {
    this.#mayNeedStops = mayNeedStops;
    if (mayNeedStops) this.#watch?.unchecked.add(this);
    else this.#watch?.unchecked.delete(this);
  }

  /** Whether runs may be unconfirmed or are being stopped. */
  get mayHaveUnsettledRuns(): boolean {
    return this.#mayHaveUnsettledRuns;
  }

  set mayHaveUnsettledRuns(mayHaveUnsettledRuns: boolean) {
    this.#mayHaveUnsettledRuns = mayHaveUnsettledRuns;
    this.#setUnusual(mayHaveUnsettledRuns);
  }

  /** Finds out whether runs are unconfirmed or are being stopped. */
  checkUnsettledRuns(): void {
    this.#mayHaveUnsettledRuns = false;
    for (const { phase } of this.#runs.values()) {
      if (phase === 'unconfirmed' || phase === 'stopping') this.#mayHaveUnsettledRuns = true;
    }
  }

  /** The trial of a suspected task for which no other run is started here. */
  get trial(): Trial | undefined {
    return this.#trial;
  }

  set trial(trial: Trial | undefined) {
    this.#trial = trial;
    this.#setUnusual(trial !== undefined);
  }

  /** Changes that have to be durable before anything is started here, because reports about its runs are void. */
  get voidedReports(): readonly VoidedReport[] {
    return this.#voidedReports;
  }

  set voidedReports(voidedReports: readonly VoidedReport[]) {
    this.#voidedReports = voidedReports;
    this.#setUnusual(voidedReports.length > 0);
  }

  /** Stored progress that has not been taken over yet names its runs, and would be wrong once others start. */
  get isReportUnread(): boolean {
    return this.#isReportUnread;
  }

  set isReportUnread(isReportUnread: boolean) {
    this.#isReportUnread = isReportUnread;
    this.#setUnusual(isReportUnread);
  }

  /** When the pending poll was sent; undefined when none is pending. */
  get pollSentAtMs(): number | undefined {
    return this.#pollSentAtMs;
  }

  set pollSentAtMs(pollSentAtMs: number | undefined) {
    this.#pollSentAtMs = pollSentAtMs;
    if (pollSentAtMs === undefined) this.#watch?.unpolled.add(this);
    else this.#watch?.unpolled.delete(this);
  }

  /** The latest registration. */
  get entry(): TargetEntry {
    return this.#entry;
  }

  /** Runs whose demand is charged to this target. */
  get runs(): ReadonlyMap<RunKey, Run> {
    return this.#runs;
  }

  /** Reported runs that match no task; their demand is not known. */
  get orphanRuns(): ReadonlySet<RunKey> {
    return this.#orphanRuns;
  }

  /** Whether the target has answered at its address, to this owner or to the one that reported its runs. */
  get isAddressProven(): boolean {
    return this.isContacted || this.lastAnsweredAtMs > 0;
  }

  /** Whether the target has listed one of its runs. */
  get hasListedRuns(): boolean {
    return [...this.#runs.values()].some(({ isListed }) => isListed);
  }

  /** Total demand of all charged runs. */
  get used(): TaskDemand {
    return this.#used;
  }

  /** Remaining capacity. */
  get free(): TaskDemand {
    return this.#free;
  }

  /** Whether it runs tasks that use only spare processor time. */
  get runsFiller(): boolean {
    return this.#fillerCount > 0;
  }

  /** Whether it runs tasks whose response times have an upper bound. */
  get runsLatencySensitive(): boolean {
    return this.#latencySensitiveCount > 0;
  }

  /** Number of reported ends that are not acknowledged yet. */
  get unacknowledgedEndCount(): number {
    return this.#ends.count;
  }

  /**
   * Has the target polled soon, also while it is idle, as something has shown another incarnation.
   * @param nowMs - current time on the owner's clock
   */
  requestVerification(nowMs: number): void {
    this.isVerificationDue = true;
    this.nextPollAtMs = Math.min(this.nextPollAtMs, nowMs);
  }

  /**
   * Applies a newer registration of the same incarnation.
   * @param entry - the registration
   */
  setEntry(entry: TargetEntry): void {
    const isUseChanged = isUseDifferent(this.#entry, entry);
    this.#entry = entry;
    this.#incarnation = toIncarnation(entry.address, entry.incarnationStartMs);
    this.isRegistered = true;
    if (this.#watch !== undefined && isUseChanged) this.#watch.registrationCount += 1;
    this.#setDraining();
    this.#updateFree();
  }

  /**
   * Has the target polled at once after a change of its address; answers to earlier polls are not waited for.
   * @param nowMs - current time on the owner's clock
   */
  restartPolls(nowMs: number): void {
    this.pollSentAtMs = undefined;
    this.isProbeInFlight = false;
    this.nextPollAtMs = Math.min(this.nextPollAtMs, nowMs);
  }

  /**
   * Adds a run and charges its demand.
   * @param run - the run
   */
  addRun(run: Run): void {
    if (this.#runs.has(run.key)) return;
    this.#runs.set(run.key, run);
    this.#used = addDemand(this.#used, run.charge);
    this.#countKinds(run, 1);
    if (this.#pollSentAtMs === undefined) this.#watch?.unpolled.add(this);
    this.#updateFree();
  }

  /**
   * Removes a run and frees its demand.
   * @param key - the key of the run
   * @returns the run, if it was charged
   */
  removeRun(key: RunKey): Run | undefined {
    const run = this.#runs.get(key);
    if (run === undefined) return undefined;
    this.#runs.delete(key);
    this.#used = this.#runs.size === 0 ? NO_DEMAND : addDemand(this.#used, run.charge, -1);
    this.#countKinds(run, -1);
    this.#updateFree();
    return run;
  }

  #countKinds({ step }: Run, change: 1 | -1): void {
    if (step.spec.isFiller) this.#fillerCount += change;
    if (step.isLatencySensitive) this.#latencySensitiveCount += change;
  }

  #updateFree(): void {
    this.#free = addDemand(this.#entry.capacity, this.#used, -1);
  }

  /**
   * Replaces the set of runs that match no task.
   * @param keys - the keys in the current inventory
   */
  setOrphanRuns(keys: readonly RunKey[]): void {
    this.#orphanRuns = new Set(keys);
    this.#setUnusual(keys.length > 0);
    this.#orphanStopSentAtMs.forEach((_sentAtMs, key) => {
      if (!this.#orphanRuns.has(key)) this.#orphanStopSentAtMs.delete(key);
    });
  }

  /**
   * Checks whether a run that matches no task has to be stopped now, and if so records the stop.
   * @param key - the run
   * @param nowMs - current time on the owner's clock
   * @returns false while an earlier stop may still take effect
   */
  takeOrphanStop(key: RunKey, nowMs: number): boolean {
    const sentAtMs = this.#orphanStopSentAtMs.get(key);
    if (sentAtMs !== undefined && nowMs < sentAtMs + STOP_RETRY_DELAY_MS) return false;
    this.#orphanStopSentAtMs.set(key, nowMs);
    return true;
  }

  /**
   * Records a reported end.
   * @param sequence - its sequence number
   * @param record - the submission whose progress it changed, if any
   */
  addEnd(sequence: number, record: SubmissionRecord | undefined): void {
    if (this.isEndProcessed(sequence)) return;
    this.#ends.add(sequence, record);
  }

  /**
   * @param sequence - a sequence number in the target's list
   * @returns true when this end has been processed
   */
  isEndProcessed(sequence: number): boolean {
    if (sequence > (this.#ends.lastSequence ?? this.acknowledgedSequence)) return false;
    return !this.#ends.isDeferred(sequence);
  }

  /**
   * Records an end of a submission that has not been read yet.
   * @param sequence - its sequence number
   */
  deferEnd(sequence: number): void {
    if (!this.isEndProcessed(sequence)) this.#ends.defer(sequence);
  }

  /** True when all ends can be acknowledged without a further write. */
  get areAllEndsDurable(): boolean {
    return this.#ends.areAllDurable;
  }

  /** Highest sequence number that can be acknowledged: all ends up to it are durable. */
  get acknowledgeableSequence(): number {
    return this.#ends.durableSequence ?? this.acknowledgedSequence;
  }

  /** Records that the pending poll was answered. */
  setAcknowledgementConfirmed(): void {
    this.confirmedAcknowledgement = Math.max(
      this.confirmedAcknowledgement,
      this.sentAcknowledgement,
    );
  }

  /** Whether no answered poll has carried the latest acknowledgement. */
  get isAcknowledgementPending(): boolean {
    return this.acknowledgedSequence > this.confirmedAcknowledgement;
  }

  /**
   * Records an acknowledgement.
   * @param sequence - ends up to this sequence number are acknowledged
   */
  setAcknowledged(sequence: number): void {
    this.acknowledgedSequence = Math.max(this.acknowledgedSequence, sequence);
    this.#ends.remove(sequence);
  }

  /** Records a successful run, which ends the suspicion against the target. */
  addSuccess(): void {
    this.#failedSubmissions.clear();
    this.#quarantineMs = INITIAL_QUARANTINE_MS;
  }

  /**
   * Records the duration of a run.
   * @param ratio - the duration divided by the mean of the step
   */
  addDuration(ratio: number): void {
    this.slowdown += SLOWDOWN_SMOOTHING_FACTOR * (ratio - this.slowdown);
  }

  /**
   * Records a failed run. Failures of several submissions without a success in between put the target
   * into quarantine.
   * @param submissionId - the submission of the failed run
   * @param nowMs - current time on the owner's clock
   * @returns the duration of the quarantine that begins, or 0
   */
  addFailure(submissionId: SubmissionId, nowMs: number): number {
    this.#failedSubmissions.add(submissionId);
    if (this.#failedSubmissions.size < QUARANTINE_THRESHOLD) return 0;
    return this.quarantine(nowMs);
  }

  /**
   * Puts the target into quarantine.
   * @param nowMs - current time on the owner's clock
   * @returns the duration of the quarantine
   */
  quarantine(nowMs: number): number {
    const durationMs = this.#quarantineMs;
    this.pausedUntilMs = Math.max(this.pausedUntilMs, nowMs + durationMs);
    this.#quarantineMs = Math.min(durationMs * 2, MAX_QUARANTINE_MS);
    return durationMs;
  }

  /** True when a run has failed here since the last success. */
  get isSuspect(): boolean {
    return this.#failedSubmissions.size > 0;
  }
}
