/** Computes the differences between two sheets. */

import type { Sheet } from './types';

/** An entry that differs between two sheets. */
export interface SheetDifference {
  readonly kind: 'added' | 'removed' | 'changed';
  readonly section: 'teams' | 'keys' | 'queues' | 'dataCentres' | 'shardsPerDataCentre';
  readonly id: string;
  /** Fields that differ; empty unless `kind` is `changed`. */
  readonly fields: readonly string[];
}

type Section = Exclude<SheetDifference['section'], 'shardsPerDataCentre'>;

interface Entry {
  readonly id: string;
  readonly value: object;
}

const CHANGE_SYMBOLS = { added: '+', removed: '-', changed: '~' } as const;

function getEntries(sheet: Sheet, section: Section): readonly Entry[] {
  switch (section) {
    case 'teams':
      return sheet.teams.map((value) => ({ id: value.teamId, value }));
    case 'keys':
      return sheet.keys.map((value) => ({ id: value.keyId, value }));
    case 'queues':
      return sheet.queues.map((value) => ({ id: value.queueId, value }));
    default:
      return sheet.dataCentres.map((value) => ({ id: value.dataCentreId, value }));
  }
}

function getChangedFields(before: object, after: object): readonly string[] {
  const [fieldsBefore, fieldsAfter] = [
    new Map(Object.entries(before)),
    new Map(Object.entries(after)),
  ];
  const fields = new Set([...fieldsBefore.keys(), ...fieldsAfter.keys()]);
  return [...fields].filter(
    (field) => JSON.stringify(fieldsBefore.get(field)) !== JSON.stringify(fieldsAfter.get(field)),
  );
}

function diffSection(before: Sheet, after: Sheet, section: Section): readonly SheetDifference[] {
  const entriesBefore = new Map(getEntries(before, section).map(({ id, value }) => [id, value]));
  const entriesAfter = new Map(getEntries(after, section).map(({ id, value }) => [id, value]));
  const ids = [...new Set([...entriesBefore.keys(), ...entriesAfter.keys()])].sort();
  return ids.flatMap((id): readonly SheetDifference[] => {
    const [old, current] = [entriesBefore.get(id), entriesAfter.get(id)];
    if (old === undefined) return [{ kind: 'added', section, id, fields: [] }];
    if (current === undefined) return [{ kind: 'removed', section, id, fields: [] }];
    const fields = getChangedFields(old, current);
    return fields.length === 0 ? [] : [{ kind: 'changed', section, id, fields }];
  });
}

/**
 * Compares two sheets, ignoring the order of entries.
 * @param before - the older sheet
 * @param after - the newer sheet
 * @returns the entries that were added, removed or changed
 */
export function getSheetDiff(before: Sheet, after: Sheet): readonly SheetDifference[] {
  const sections: readonly Section[] = ['teams', 'keys', 'queues', 'dataCentres'];
  const entries = sections.flatMap((section) => diffSection(before, after, section));
  if (before.shardsPerDataCentre === after.shardsPerDataCentre) return entries;
  const section = 'shardsPerDataCentre';
  return [...entries, { kind: 'changed', section, id: section, fields: [section] }];
}

/**
 * Renders a difference on one line.
 * @param difference - the difference
 * @returns the line, for example `~ teams/planning (limitSlots)`
 */
export function renderDifference({ kind, section, id, fields }: SheetDifference): string {
  const suffix = fields.length === 0 ? '' : ` (${fields.join(', ')})`;
  return `${CHANGE_SYMBOLS[kind]} ${section}/${id}${suffix}`;
}
