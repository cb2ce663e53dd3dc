/** The stored record of the targets that owners use, as one part of the platform's store keeps it. */

import * as E from 'fp-ts/Either';
import { isRecordComplete } from '../../src/owner/targetRecord';
import type {
  OwnerEffect,
  RecordedTarget,
  RecordFailure,
  StoreClockReading,
  StoredTargetRecord,
} from '../../src/owner/types';
import { toEpoch } from '../../src/types/ids';
import type { Epoch, TargetId } from '../../src/types/ids';
import { Random } from '../../src/types/random';
import type { VirtualTime } from './virtualTime';

type RecordTargetsEffect = Extract<OwnerEffect, { kind: 'recordTargets' }>;
type RecordResult = E.Either<RecordFailure, number>;

const FIRST_VERSION = 10;
const LATENCY_MS = 4;

/** The clock of the store. */
const STORE_CLOCK_OFFSET_MS = 7_000_000;
const CLOCK_INTERVAL_MS = 1_000;

/** After this time the caller does not wait any longer. */
const TIMEOUT_MS = 1_500;

/** Keeps the rows and performs transactions, also late and without an answer. */
export class RecordStore {
  #time: VirtualTime;

  #random: Random;

  #version = FIRST_VERSION;

  #completeEpoch: Epoch | undefined;

  readonly rows = new Map<TargetId, { target: RecordedTarget; version: number }>();

  /** Targets whose rows cannot be decoded. */
  readonly malformedIds = new Set<TargetId>();

  /** Targets whose rows the store does not take. */
  readonly rejectedIds = new Set<TargetId>();

  /** Whether answers carry the store's clock; without it, owners do not record silent targets. */
  hasClock = true;

  /** Rate of the store's clock relative to that of owners. */
  clockRate = 0.985;

  /** Time until a transaction is performed, beyond the usual one. */
  extraDelayMs = 0;

  areAnswersLost = false;

  /** Fraction of the answers that are lost. */
  lostAnswerFraction = 0;

  constructor(time: VirtualTime, seed: number) {
    this.#time = time;
    this.#random = new Random(seed);
  }

  /** Reads the record for the owner of an epoch. */
  load(epoch: number): StoredTargetRecord {
    const reading = { storeMs: this.storeMs, sentAtMs: this.#time.nowMs };
    const readAt = this.hasClock ? reading : undefined;
    const isDeclared = isRecordComplete(toEpoch(epoch), this.#completeEpoch);
    const rows = [...this.rows.values()];
    const targets = rows.filter(({ target }) => !this.malformedIds.has(target.id));
    const malformed = rows
      .filter(({ target }) => this.malformedIds.has(target.id))
      .map(({ target, version }) => ({ targetId: target.id, version }));
    return { isComplete: isDeclared && malformed.length === 0, targets, malformed, readAt };
  }

  /** The store's steady clock, which has a zero point and a rate of its own. */
  get storeMs(): number {
    return STORE_CLOCK_OFFSET_MS + this.#time.nowMs * this.clockRate;
  }

  /** Reports the clock as the answers of a feed do. */
  followClock(isAvailable: () => boolean, onReading: (reading: StoreClockReading) => void): void {
    if (this.hasClock && isAvailable())
      onReading({ storeMs: this.storeMs, sentAtMs: this.#time.nowMs });
    this.#time.after(CLOCK_INTERVAL_MS, () => this.followClock(isAvailable, onReading));
  }

  /** An owner that keeps no record leaves the rows of others as they are, and declares nothing. */
  forgetDeclaration(): void {
    this.#completeEpoch = undefined;
  }

  /** Performs a transaction unless the store is away or the owner has been replaced by then. */
  write(
    epoch: number,
    effect: RecordTargetsEffect,
    getObstacle: () => RecordFailure | undefined,
    onAnswered: (result: RecordResult) => void,
  ): void {
    let isAnswered = false;
    const answer = (result: RecordResult) => {
      if (isAnswered) return;
      isAnswered = true;
      onAnswered(result);
    };
    const isAnswerLost =
      this.areAnswersLost || this.#random.nextFraction() < this.lostAnswerFraction;
    const delayMs = LATENCY_MS / 2 + this.extraDelayMs;
    this.#time.after(delayMs, () => {
      const obstacle = getObstacle();
      const result =
        obstacle === undefined ? this.#perform(toEpoch(epoch), effect) : E.left(obstacle);
      if (!isAnswerLost) this.#time.after(LATENCY_MS / 2, () => answer(result));
    });
    const isKnownLost = isAnswerLost ? delayMs + LATENCY_MS / 2 : TIMEOUT_MS;
    this.#time.after(Math.min(isKnownLost, TIMEOUT_MS), () =>
      answer(E.left({ kind: 'unavailable', detail: 'no answer' })),
    );
  }

  #perform(epoch: Epoch, { puts, removals, isComplete }: RecordTargetsEffect): RecordResult {
    const conditions = [
      ...puts.map(({ target, expectedVersion }) => ({ id: target.id, version: expectedVersion })),
      ...removals.map(({ targetId, version }) => ({ id: targetId, version })),
    ];
    if (puts.some(({ target }) => this.rejectedIds.has(target.id)))
      return E.left({ kind: 'rejected', detail: 'status 400' });
    const getVersion = (id: TargetId) => this.rows.get(id)?.version ?? 0;
    if (conditions.some(({ id, version }) => version !== getVersion(id))) {
      const versions = conditions.map(({ id }) => ({ targetId: id, version: getVersion(id) }));
      return E.left({ kind: 'conflict', versions });
    }
    this.#version += 1;
    const version = this.#version;
    puts.forEach(({ target }) => {
      this.rows.set(target.id, { target, version });
      this.malformedIds.delete(target.id);
    });
    removals.forEach(({ targetId }) => this.rows.delete(targetId));
    if (isComplete) this.#completeEpoch = epoch;
    return E.right(version);
  }
}
