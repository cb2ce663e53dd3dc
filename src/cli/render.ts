/** Human-readable rendering of configurations, changes, jobs and state dumps. */

import { renderDifference } from '../config/sheetDiff';
import type { SheetDifference } from '../config/sheetDiff';
import type { AcceptedConfig, ChangeResponse, Queue } from '../config/types';

type Cell = string | number | boolean;

/** A column of a table. */
interface Column<T> {
  readonly title: string;
  getCell(row: T): Cell;
}

/**
 * Renders rows as a table with aligned columns.
 * @param columns - title and cell accessor of each column
 * @param rows - the rows
 * @returns the table, one line per row
 */
export function renderTable<T>(columns: readonly Column<T>[], rows: readonly T[]): string {
  const cells = rows.map((row) => columns.map((column) => String(column.getCell(row))));
  const titles = columns.map((column) => column.title);
  const widths = titles.map((title, index) =>
    Math.max(title.length, ...cells.map((line) => line[index]?.length ?? 0)),
  );
  return [titles, ...cells]
    .map((line) => line.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join('  '))
    .map((line) => line.trimEnd())
    .join('\n');
}

function formatAccess({ access }: Queue): string {
  return access.kind === 'open' ? '(open to all)' : access.teamId;
}

/**
 * Renders a configuration.
 * @param config - the configuration
 * @returns tables of teams, keys, queues and data centres; secret digests are omitted
 */
export function renderConfig(config: AcceptedConfig): string {
  const { sheet, version, grants, closures, tombstones } = config;
  const grantedKeyIds = new Set(grants.map((grant) => grant.keyId));
  const closedDataCentreIds = new Set(closures.map((closure) => closure.dataCentreId));
  return [
    `version ${version}`,
    renderTable(
      [
        { title: 'TEAM', getCell: (team) => team.teamId },
        { title: 'SHARE', getCell: (team) => team.shareWeight },
        { title: 'LIMIT', getCell: (team) => team.limitSlots },
      ],
      sheet.teams,
    ),
    renderTable(
      [
        { title: 'KEY', getCell: (key) => key.keyId },
        { title: 'TEAM', getCell: (key) => key.teamId },
        { title: 'FROM', getCell: (key) => (grantedKeyIds.has(key.keyId) ? 'command' : 'sheet') },
      ],
      sheet.keys,
    ),
    renderTable(
      [
        { title: 'QUEUE', getCell: (queue) => queue.queueId },
        { title: 'TEAM', getCell: formatAccess },
        { title: 'URGENCY', getCell: (queue) => queue.urgency },
      ],
      sheet.queues,
    ),
    renderTable(
      [
        { title: 'DATA CENTRE', getCell: (dataCentre) => dataCentre.dataCentreId },
        { title: 'REGION', getCell: (dataCentre) => dataCentre.region },
        {
          title: 'SERVICE',
          getCell: ({ dataCentreId, inService }) => {
            if (inService) return 'in';
            return closedDataCentreIds.has(dataCentreId) ? 'out (command)' : 'out (sheet)';
          },
        },
      ],
      sheet.dataCentres,
    ),
    `withdrawn keys: ${tombstones.map((tombstone) => tombstone.keyId).join(', ') || 'none'}`,
  ].join('\n\n');
}

/**
 * Renders the result of an accepted configuration change.
 * @param answer - answer of the gate
 * @returns the new version, followed by one line per note about keys, data centres or processes
 */
export function renderChange(answer: ChangeResponse): string {
  const notes: readonly (readonly [string, readonly string[]])[] = [
    ['still withdrawn, not restored', answer.ignoredKeyIds],
    ['granted by command, kept', answer.keptKeyIds],
    ['no longer listed, removed', answer.droppedKeyIds],
    ['still out of service by command', answer.stillOutDataCentreIds],
    ['unconfirmed, admitting no work until confirmed', answer.unreachedProcessIds],
  ];
  const nonEmptyNotes = notes.filter(([, ids]) => ids.length > 0);
  return [
    `version ${answer.version} accepted`,
    ...nonEmptyNotes.map(([note, ids]) => `${note}: ${ids.join(', ')}`),
  ].join('\n');
}

/**
 * Renders differences between two sheets.
 * @param differences - the entries that differ
 * @returns one line per entry, or `no differences`
 */
export function renderDiff(differences: readonly SheetDifference[]): string {
  return differences.map(renderDifference).join('\n') || 'no differences';
}

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function renderScalar(value: unknown): string {
  if (value === null || value === undefined) return '-';
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}

function isRecordList(value: unknown): value is readonly Readonly<Record<string, unknown>>[] {
  return Array.isArray(value) && value.length > 0 && value.every(isRecord);
}

function indent(text: string): string {
  return text.replace(/^/gm, '  ');
}

/**
 * Renders any JSON value: one line per field, arrays of objects as tables.
 * @param value - the value
 * @returns the text
 */
export function renderValue(value: unknown): string {
  if (isRecordList(value)) {
    const titles = [...new Set(value.flatMap((row) => Object.keys(row)))];
    const columns = titles.map((title) => ({
      title,
      getCell: (row: Readonly<Record<string, unknown>>) => renderScalar(row[title]),
    }));
    return renderTable(columns, value);
  }
  if (!isRecord(value))
    return Array.isArray(value) && value.length === 0 ? 'none' : renderScalar(value);
  return Object.entries(value)
    .map(([name, field]) => {
      const isNested = isRecord(field) || isRecordList(field);
      return isNested
        ? `${name}:\n${indent(renderValue(field))}`
        : `${name}: ${renderScalar(field)}`;
    })
    .join('\n');
}
