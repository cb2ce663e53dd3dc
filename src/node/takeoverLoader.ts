/** Reads and decodes the stored state when a new owner takes over. */

import * as E from 'fp-ts/Either';
import { OddRowLog } from '../observe/oddRowLog';
import { isCancelledBy } from '../owner/earlyCancellations';
import type {
  CancellationSource,
  LoadedSubmission,
  StoredTargetRecord,
  TargetEntry,
} from '../owner/types';
import { mergeSnapshots, readPartSnapshot } from '../store/tableFollower';
import type { PartSnapshot } from '../store/tableFollower';
import type { StoredRow } from '../store/types';
import type { Epoch, TargetId } from '../types/ids';
import type { StoredProgress } from '../work/storedProgress';
import { decodeFinishedSubmission, decodeSubmission } from '../work/submissionSchema';
import { decodeCancellations, tryParseCancellationKey } from './cancellationRows';
import { decodeFormerActsUntilMs } from './ownerRows';
import { PartReader } from './partReader';
import type { PartRead } from './partReader';
import type { NodePorts } from './ports';
import { decodeProgressRows } from './progressRows';
import {
  SUBMISSION_PARTS,
  CANCELS_TABLE,
  OWNER_PART,
  OWNERSHIP_TABLE,
  PROGRESS_TABLE,
  SUBMISSIONS_TABLE,
  USED_TARGETS_TABLE,
} from './tables';
import { decodeTargetRecord } from './usedTargetRows';

/** Timeout for reading one page. */
const LOAD_TIMEOUT_MS = 2_000;

/**
 * A takeover goes on without the parts that have not been read after this time, or after so many times the time that
 * the owner's own part has taken, whichever is later.
 */
const MIN_PART_WAIT_MS = 600;
const PART_WAIT_FACTOR = 1.5;

/** Most rows of progress need not be decoded to know that they hold no reports of crashes. */
const MAY_HOLD_REPORTS = /"crashes"|"rowCount"/;

/** The rows that a takeover reads. */
export interface LoadedRows {
  /** Those of the parts that have answered. */
  readonly submissions: PartSnapshot;
  readonly cancels: PartSnapshot;
  /** Goes on reading the other parts. */
  readonly parts: PartReader;
  readonly progress: PartSnapshot;
  readonly registry: PartSnapshot;
  readonly usedTargets: PartSnapshot;
  readonly ownership: PartSnapshot;
}

/** The decoded entries of the target registry. */
export interface DecodedRegistry {
  readonly entries: readonly TargetEntry[];
  /** Targets whose entries cannot be decoded; each may be alive, and writes its entry again then. */
  readonly unreadableIds: readonly TargetId[];
}

/**
 * Counts the rows that a takeover has read.
 * @param rows - the loaded rows
 * @returns row counts and store versions by table, for the log
 */
export function summarizeLoadedRows(
  rows: Omit<LoadedRows, 'parts'>,
): Readonly<Record<string, number>> {
  const { submissions, cancels, progress, registry } = rows;
  const submissionIds = new Set(submissions.rows.map(({ key }) => key));
  const isUnmatched = ({ key }: StoredRow) =>
    !submissionIds.has(tryParseCancellationKey(key) ?? '');
  return {
    submissionRowCount: submissions.rows.length,
    submissionsVersion: submissions.version,
    cancelCount: cancels.rows.length,
    cancelsVersion: cancels.version,
    unmatchedCancelCount: cancels.rows.filter(isUnmatched).length,
    progressCount: progress.rows.length,
    progressVersion: progress.version,
    registryCount: registry.rows.length,
    registryVersion: registry.version,
  };
}

/**
 * Decodes what is stored of former owners and of the targets that they have used.
 * @param epoch - the epoch of the new owner
 * @param rows - the loaded rows
 * @param sentAtMs - when the load began, on the owner's clock
 * @returns the record
 */
export function decodeLoadedRecord(
  epoch: Epoch,
  { usedTargets, ownership }: Pick<LoadedRows, 'usedTargets' | 'ownership'>,
  sentAtMs: number,
): StoredTargetRecord {
  const { storeMs } = usedTargets;
  const readAt = storeMs === undefined ? undefined : { storeMs, sentAtMs };
  return {
    ...decodeTargetRecord(epoch, usedTargets.rows, ownership.rows, readAt),
    formerActsUntilMs: decodeFormerActsUntilMs(ownership.rows),
  };
}

/** Reads the tables that a new owner needs. */
export class TakeoverLoader {
  #ports: NodePorts;

  #oddEntries: OddRowLog;

  /**
   * @param ports - store, registry and logger
   */
  constructor(ports: NodePorts) {
    this.#ports = ports;
    this.#oddEntries = new OddRowLog(ports.logger, ports.metrics);
  }

  /**
   * Reads the tables. Parts of submissions and cancellations that do not answer in time are left to be read later.
   * @returns the rows, or undefined when the owner's part or all parts of a table have not been read
   */
  async load(): Promise<LoadedRows | undefined> {
    const { store, registry, clock } = this.#ports;
    const startedAtMs = clock.nowMs();
    const tables = [SUBMISSIONS_TABLE, CANCELS_TABLE];
    const options = { tables, parts: SUBMISSION_PARTS, timeoutMs: LOAD_TIMEOUT_MS };
    const parts = new PartReader(store, options);
    parts.start();
    const read = (table: string, part: string) =>
      readPartSnapshot(store, table, part, LOAD_TIMEOUT_MS);
    const [progress, targets, usedTargets, ownership] = await Promise.all([
      read(PROGRESS_TABLE, OWNER_PART),
      read(registry.table, registry.part),
      read(USED_TARGETS_TABLE, OWNER_PART),
      read(OWNERSHIP_TABLE, OWNER_PART),
    ]);
    const isOwnPartRead = [progress, targets, usedTargets, ownership].every(E.isRight);
    if (isOwnPartRead) await TakeoverLoader.#waitForParts(parts, clock.nowMs() - startedAtMs);
    const reads = parts.takeReads();
    const submissions = TakeoverLoader.#mergeParts(reads, SUBMISSIONS_TABLE);
    const cancels = TakeoverLoader.#mergeParts(reads, CANCELS_TABLE);
    if (E.isLeft(progress) || E.isLeft(targets) || E.isLeft(usedTargets) || E.isLeft(ownership)) {
      parts.stop();
      return undefined;
    }
    if (submissions === undefined || cancels === undefined) {
      parts.stop();
      return undefined;
    }
    return {
      ...{ submissions, cancels, parts },
      progress: progress.right,
      registry: targets.right,
      usedTargets: usedTargets.right,
      ownership: ownership.right,
    };
  }

  /** Without any part of a table nothing can start, so that one is waited for as long as a page may take. */
  static async #waitForParts(parts: PartReader, ownPartMs: number): Promise<void> {
    const untilMs = Math.max(MIN_PART_WAIT_MS, PART_WAIT_FACTOR * ownPartMs);
    await parts.waitUntil(() => parts.isComplete, Math.max(0, untilMs - ownPartMs));
    await parts.waitUntil(
      () => parts.hasRead(SUBMISSIONS_TABLE) && parts.hasRead(CANCELS_TABLE),
      Math.max(0, LOAD_TIMEOUT_MS - untilMs),
    );
  }

  /**
   * Changes are followed from the oldest version of the parts that have been read. One that is read later has a later
   * version, so that no change of it is missed.
   */
  static #mergeParts(reads: readonly PartRead[], table: string): PartSnapshot | undefined {
    const snapshots = reads.filter((read) => read.table === table);
    if (snapshots.length === 0) return undefined;
    const merged = mergeSnapshots(snapshots.map(({ snapshot }) => E.right(snapshot)));
    return E.isRight(merged) ? merged.right : undefined;
  }

  /**
   * Decodes submissions with their cancellations and progress. Rows that cannot be decoded are logged
   * and skipped.
   * @param rows - the loaded rows
   * @returns the decoded submissions
   */
  decodeSubmissions({
    submissions,
    cancels,
    progress,
  }: Omit<LoadedRows, 'usedTargets' | 'ownership' | 'parts'>): LoadedSubmission[] {
    const sources = new Map<string, CancellationSource[]>();
    decodeCancellations(cancels.rows).forEach(({ submissionId, source }) =>
      sources.set(submissionId, [...(sources.get(submissionId) ?? []), source]),
    );
    const progressRows = new Map(progress.rows.map((row) => [row.key, row]));
    // A row may be in two parts, as the store did not answer for one of them when it was written.
    const uniqueRows = [...new Map(submissions.rows.map((row) => [row.key, row])).values()];
    return uniqueRows.flatMap((row) => {
      const loaded = this.decodeSubmission(row, progressRows, sources.get(row.key));
      return loaded === undefined ? [] : [loaded];
    });
  }

  /**
   * Decodes a submission with its progress.
   * @param row - its key and its stored form
   * @param progressRows - rows of progress by key
   * @param cancelledBy - who has cancelled it, or another submission of the same id
   * @returns the submission, or undefined when it has to be left out
   */
  decodeSubmission(
    row: Pick<StoredRow, 'key' | 'value'>,
    progressRows: ReadonlyMap<string, StoredRow>,
    cancelledBy: readonly CancellationSource[] = [],
  ): LoadedSubmission | undefined {
    const progressRow = progressRows.get(row.key);
    const progress = this.#decodeProgress(progressRow, progressRows);
    // Without its progress the submission would be taken for new and run again.
    if (progressRow !== undefined && progress === undefined) return undefined;
    const decode = progress?.outcome === undefined ? decodeSubmission : decodeFinishedSubmission;
    const submission = decode(row.value);
    if (E.isLeft(submission)) {
      this.#ports.logger.error(
        { key: row.key, reason: submission.left },
        'cannot decode submission',
      );
      return undefined;
    }
    const progressVersion = progressRow?.version ?? 0;
    const isCancelled = cancelledBy.some((source) => isCancelledBy(source, submission.right));
    return { submission: submission.right, isCancelled, progress, progressVersion };
  }

  /**
   * Gets the target incarnations whose runs are named by reports in stored progress.
   * @param progressRows - rows of progress by key
   * @returns the incarnations
   */
  static getReportedIncarnations(progressRows: ReadonlyMap<string, StoredRow>): readonly string[] {
    const rows = [...progressRows.values()].filter(({ value }) => MAY_HOLD_REPORTS.test(value));
    const incarnations = rows.flatMap((row) => {
      const decoded = decodeProgressRows(row, (key) => progressRows.get(key)?.value);
      if (E.isLeft(decoded) || decoded.right.outcome !== undefined) return [];
      return Object.values(decoded.right.steps ?? {}).flatMap(({ crashes = {} }) =>
        Object.values(crashes).flatMap((reports) => reports.map(({ incarnation }) => incarnation)),
      );
    });
    return [...new Set(incarnations)];
  }

  #decodeProgress(
    row: StoredRow | undefined,
    rows: ReadonlyMap<string, StoredRow>,
  ): StoredProgress | undefined {
    if (row === undefined) return undefined;
    const decoded = decodeProgressRows(row, (key) => rows.get(key)?.value);
    if (E.isRight(decoded)) return decoded.right;
    this.#ports.logger.error(
      { key: row.key, reason: decoded.left },
      'cannot decode progress; its submission is left out',
    );
    return undefined;
  }

  /**
   * Decodes entries of the target registry. Those that cannot be decoded, such as the ones of other writers, are
   * counted and logged.
   * @param rows - the entries
   * @returns the decoded targets, and the ids of the other entries
   */
  decodeRegistry(rows: readonly StoredRow[]): DecodedRegistry {
    const entries: TargetEntry[] = [];
    const unreadableIds: TargetId[] = [];
    rows.forEach((row) => {
      const decoded = this.#ports.registry.decode(row, this.#ports.clock.wallMs());
      if (E.isRight(decoded)) {
        this.#oddEntries.clear(row.key);
        entries.push(decoded.right);
        return;
      }
      unreadableIds.push(row.key as TargetId);
      this.#oddEntries.add(
        'registry_malformed',
        row.key,
        decoded.left,
        'cannot decode registry entry; the one before it holds',
      );
    });
    return { entries, unreadableIds };
  }
}
