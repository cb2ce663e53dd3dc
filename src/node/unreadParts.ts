/**
 * What an owner does not know while parts of the store have not been read since its takeover.
 *
 * A row of a submission may be in any of three parts, and so may its cancellation. So a submission of which nothing is
 * known may exist as long as one of its parts of `submissions` has not been read, and a known one may have been
 * cancelled as long as one of its parts of `cancels` has not: it takes no starts until then. A cancellation that is
 * stored after the takeover is reported by the feed, whatever its part.
 *
 * Progress is in the owner's own part, so that of submissions that come late is known from the start, and stays as it
 * is: only the owner writes it, and only of known submissions.
 */

import type { Logger } from '../observe/logger';
import type { Metrics } from '../observe/metrics';
import type { ClockReadings, LoadedSubmission, OwnerEvent } from '../owner/types';
import type { StoredRow } from '../store/types';
import type { Clock } from '../types/clock';
import type { DistributiveOmit } from '../types/distributiveOmit';
import type { Epoch, SubmissionId } from '../types/ids';
import type { PartReader, TablePart } from './partReader';
import { getExtraRowKey } from './progressRows';
import type { Submission } from '../work/types';
import { CANCELS_TABLE, getSubmissionParts, SUBMISSIONS_TABLE } from './tables';
import { TakeoverLoader } from './takeoverLoader';

/** Interval of the lines that tell which parts are still missing. */
const LOG_INTERVAL_MS = 5_000;

/** Submissions that a log line names. */
const MAX_LOGGED_IDS = 10;

type EventOf<K extends OwnerEvent['kind']> = DistributiveOmit<
  Extract<OwnerEvent, { kind: K }>,
  keyof ClockReadings
>;

/** A row of a submission. */
export interface ReadSubmission {
  readonly id: SubmissionId;
  /** Its stored form. */
  readonly text: string;
  /** Undefined when its steps cannot be decoded, which does not matter once it has ended. */
  readonly submission: Submission | undefined;
}

/** What the log needs. */
export interface UnreadPartsPorts {
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly clock: Clock;
}

/** Follows the parts that have not been read, and keeps what their submissions will need. */
export class UnreadParts {
  #ports: UnreadPartsPorts;

  #epoch: Epoch;

  #parts: PartReader;

  #sinceMs: number;

  #nextLogAtMs: number;

  /** Rows of progress of submissions that are not known. */
  #progressRows: Map<string, StoredRow>;

  /** Known submissions that may have been cancelled. */
  #heldIds = new Set<SubmissionId>();

  /**
   * @param ports - clock, logger and metrics
   * @param epoch - the ownership
   * @param parts - reads the parts
   * @param progressRows - all rows of progress
   */
  constructor(
    ports: UnreadPartsPorts,
    epoch: Epoch,
    parts: PartReader,
    progressRows: readonly StoredRow[],
  ) {
    this.#ports = ports;
    this.#epoch = epoch;
    this.#parts = parts;
    this.#progressRows = new Map(progressRows.map((row) => [row.key, row]));
    this.#sinceMs = ports.clock.nowMs();
    this.#nextLogAtMs = this.#sinceMs + LOG_INTERVAL_MS;
  }

  /** Whether all parts have been read. */
  get isEmpty(): boolean {
    return this.#parts.unread.length === 0;
  }

  /** Whether all parts of submissions have been read. */
  get areSubmissionsRead(): boolean {
    return this.#parts.getUnreadParts(SUBMISSIONS_TABLE).length === 0;
  }

  /**
   * @param submissionId - a submission
   * @returns whether a row of it may be in a part that has not been read
   */
  mayHoldSubmission(submissionId: SubmissionId): boolean {
    return this.#mayHold(SUBMISSIONS_TABLE, submissionId);
  }

  /**
   * @param submissionId - a submission
   * @returns whether its cancellation may be in a part that has not been read
   */
  mayHoldCancellation(submissionId: SubmissionId): boolean {
    return this.#mayHold(CANCELS_TABLE, submissionId);
  }

  #mayHold(table: string, submissionId: SubmissionId): boolean {
    const unread = this.#parts.getUnreadParts(table);
    if (unread.length === 0) return false;
    return getSubmissionParts(submissionId).some((part) => unread.includes(part));
  }

  /**
   * Marks a submission that may have been cancelled.
   * @param loaded - the submission, which becomes known now
   * @returns the submission, with the mark if it needs one
   */
  hold(loaded: LoadedSubmission): LoadedSubmission {
    const { id } = loaded.submission;
    if (loaded.isCancelled || !this.mayHoldCancellation(id)) return loaded;
    this.#heldIds.add(id);
    return { ...loaded, isCancellationUnread: true };
  }

  /** @returns the submissions that were held and whose cancellations would have been read by now */
  takeReleased(): readonly SubmissionId[] {
    const released = [...this.#heldIds].filter((id) => !this.mayHoldCancellation(id));
    released.forEach((id) => this.#heldIds.delete(id));
    return released;
  }

  /**
   * Forgets the stored progress of submissions that are known now.
   * @param submissionIds - the submissions
   */
  forgetProgress(submissionIds: readonly SubmissionId[]): void {
    submissionIds.forEach((id) => {
      this.#progressRows.delete(id);
      let number = 1;
      while (this.#progressRows.delete(getExtraRowKey(id, number))) number += 1;
    });
  }

  /** Rows of progress by key, of submissions that are not known. */
  get progressRows(): ReadonlyMap<string, StoredRow> {
    return this.#progressRows;
  }

  /**
   * Describes to the scheduler what has not been read.
   * @returns the event
   */
  describe(): EventOf<'partsUnread'> {
    const areSubmissionsUnread = !this.areSubmissionsRead;
    return {
      kind: 'partsUnread',
      areSubmissionsUnread,
      areCancellationsUnread: this.#parts.getUnreadParts(CANCELS_TABLE).length > 0,
      reportedIncarnations: areSubmissionsUnread
        ? TakeoverLoader.getReportedIncarnations(this.#progressRows)
        : [],
    };
  }

  /** Logs which parts are missing after the load. */
  logStart(): void {
    const { logger, metrics } = this.#ports;
    metrics.count('takeover_parts_unread', this.#parts.unread.length);
    logger.warn(this.#getFields(), 'takeover goes on without parts of the store');
  }

  /** Logs, now and then, which parts are still missing. */
  check(): void {
    const nowMs = this.#ports.clock.nowMs();
    if (this.isEmpty || nowMs < this.#nextLogAtMs) return;
    this.#nextLogAtMs = nowMs + LOG_INTERVAL_MS;
    this.#ports.logger.warn(this.#getFields(), 'parts of the store are still not read');
  }

  /**
   * Logs that a part has been read.
   * @param address - the part
   * @param rowCount - number of its rows
   */
  logRead({ table, part }: TablePart, rowCount: number): void {
    const { logger, metrics, clock } = this.#ports;
    const durationMs = clock.nowMs() - this.#sinceMs;
    metrics.record('takeover_part_late', durationMs);
    const fields = { table, part, rowCount, lateByMs: Math.round(durationMs), epoch: this.#epoch };
    logger.info(fields, 'part of the store read late');
    if (this.isEmpty) logger.info(this.#getFields(), 'all parts of the store are read');
  }

  #getFields(): Readonly<Record<string, unknown>> {
    const heldIds = [...this.#heldIds];
    return {
      epoch: this.#epoch,
      missing: this.#parts.unread.map(({ table, part }) => `${table}/${part}`),
      missingForMs: Math.round(this.#ports.clock.nowMs() - this.#sinceMs),
      heldCount: heldIds.length,
      heldIds: heldIds.slice(0, MAX_LOGGED_IDS),
      unknownProgressCount: this.#progressRows.size,
    };
  }
}
