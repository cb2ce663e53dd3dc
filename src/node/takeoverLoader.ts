/** Reads and decodes the stored state when a new owner takes over. */

import * as E from 'fp-ts/Either';
import type { LoadedSubmission, TargetEntry } from '../owner/types';
import { mergeSnapshots, readPartSnapshot } from '../store/tableFollower';
import type { PartSnapshot } from '../store/tableFollower';
import type { StoredRow } from '../store/types';
import { decodeProgress } from '../work/storedProgress';
import type { StoredProgress } from '../work/storedProgress';
import { decodeFinishedSubmission, decodeSubmission } from '../work/submissionSchema';
import type { NodePorts } from './ports';
import {
  SUBMISSION_PARTS,
  CANCELS_TABLE,
  OWNER_PART,
  OWNERSHIP_TABLE,
  PROGRESS_TABLE,
  SUBMISSIONS_TABLE,
  USED_TARGETS_TABLE,
} from './tables';

/** Timeout for reading one page. */
const LOAD_TIMEOUT_MS = 2_000;

/** The rows that a takeover reads. */
export interface LoadedRows {
  readonly submissions: PartSnapshot;
  readonly cancels: PartSnapshot;
  readonly progress: PartSnapshot;
  readonly registry: PartSnapshot;
  readonly usedTargets: PartSnapshot;
  readonly ownership: PartSnapshot;
}

/** Reads the tables that a new owner needs. */
export class TakeoverLoader {
  #ports: NodePorts;

  /**
   * @param ports - store, registry and logger
   */
  constructor(ports: NodePorts) {
    this.#ports = ports;
  }

  /** @returns all rows, or undefined when any read failed */
  async load(): Promise<LoadedRows | undefined> {
    const { store, registry } = this.#ports;
    const read = (table: string, part: string) =>
      readPartSnapshot(store, table, part, LOAD_TIMEOUT_MS);
    const readParts = async (table: string) =>
      mergeSnapshots(await Promise.all(SUBMISSION_PARTS.map((part) => read(table, part))));
    const [submissions, cancels, progress, targets, usedTargets, ownership] = await Promise.all([
      readParts(SUBMISSIONS_TABLE),
      readParts(CANCELS_TABLE),
      read(PROGRESS_TABLE, OWNER_PART),
      read(registry.table, registry.part),
      read(USED_TARGETS_TABLE, OWNER_PART),
      read(OWNERSHIP_TABLE, OWNER_PART),
    ]);
    if (E.isLeft(submissions) || E.isLeft(cancels) || E.isLeft(progress)) return undefined;
    if (E.isLeft(targets) || E.isLeft(usedTargets) || E.isLeft(ownership)) return undefined;
    return {
      submissions: submissions.right,
      cancels: cancels.right,
      progress: progress.right,
      registry: targets.right,
      usedTargets: usedTargets.right,
      ownership: ownership.right,
    };
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
  }: Omit<LoadedRows, 'usedTargets' | 'ownership'>): LoadedSubmission[] {
    const cancelled = new Set(cancels.rows.map(({ key }) => key));
    const progressRows = new Map(progress.rows.map((row) => [row.key, row]));
    // A row may be in two parts, as the store did not answer for one of them when it was written.
    const uniqueRows = [...new Map(submissions.rows.map((row) => [row.key, row])).values()];
    return uniqueRows.flatMap((row) => {
      const progressRow = progressRows.get(row.key);
      const stored = this.#decodeProgress(progressRow);
      // Without its progress the submission would be taken for new and run again.
      if (progressRow !== undefined && stored === undefined) return [];
      const decode = stored?.outcome === undefined ? decodeSubmission : decodeFinishedSubmission;
      const submission = decode(row.value);
      if (E.isLeft(submission)) {
        this.#ports.logger.error(
          { key: row.key, reason: submission.left },
          'cannot decode submission',
        );
        return [];
      }
      return {
        submission: submission.right,
        isCancelled: cancelled.has(row.key),
        progress: stored,
        progressVersion: progressRow?.version ?? 0,
      };
    });
  }

  #decodeProgress(row: StoredRow | undefined): StoredProgress | undefined {
    if (row === undefined) return undefined;
    const decoded = decodeProgress(row.value);
    if (E.isRight(decoded)) return decoded.right;
    this.#ports.logger.error(
      { key: row.key, reason: decoded.left },
      'cannot decode progress; its submission is left out',
    );
    return undefined;
  }

  /**
   * Decodes entries of the target registry. Entries that cannot be decoded, such as those of other
   * writers, are counted, logged and skipped.
   * @param rows - the entries
   * @returns the decoded targets
   */
  decodeTargetEntries(rows: readonly StoredRow[]): TargetEntry[] {
    return rows.flatMap((row) => {
      const decoded = this.#ports.registry.decode(row);
      if (E.isRight(decoded)) return [decoded.right];
      this.#ports.metrics.count('registry_malformed');
      this.#ports.logger.warn(
        { key: row.key, reason: decoded.left },
        'cannot decode registry entry',
      );
      return [];
    });
  }
}
