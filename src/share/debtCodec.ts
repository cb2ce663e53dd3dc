/**
 * Stored form of the debts of teams, so that a takeover in the middle of a burst does not clear them.
 *
 * Load answered: losses of nodes that overlap with hot teams. Without the row debts start at 0; the shares then follow
 * from the running work alone.
 */

import { z } from 'zod';
import type { TeamDebt } from './teamShares';

const FORMAT_VERSION = 1;

/** With names of 30 characters a row of this many debts takes some 45,000 bytes; the store allows 65,536. */
const MAX_DEBT_COUNT = 1_000;

/** Upper bound of the encoded text, as names may be longer. */
const MAX_BYTES = 48_000;

/** Debts are kept to thousandths. */
const PRECISION = 1_000;

const DEBTS_SCHEMA = z.object({
  version: z.literal(FORMAT_VERSION),
  /** By service and team. */
  debts: z.record(z.string(), z.record(z.string(), z.number().min(0))),
});

function toText(debts: readonly TeamDebt[]): string {
  const byService: Record<string, Record<string, number>> = {};
  debts.forEach(({ serviceName, teamId, debt }) => {
    byService[serviceName] ??= {};
    const ofService = byService[serviceName];
    if (ofService !== undefined) ofService[teamId] = Math.round(debt * PRECISION) / PRECISION;
  });
  return JSON.stringify({ version: FORMAT_VERSION, debts: byService });
}

/**
 * Encodes debts; the smallest ones are left out where there are too many.
 * @param debts - the debts
 * @returns the text, of at most 48,000 bytes
 */
export function encodeDebts(debts: readonly TeamDebt[]): string {
  let kept = [...debts]
    .filter(({ debt }) => debt * PRECISION >= 1)
    .sort((left, right) => right.debt - left.debt)
    .slice(0, MAX_DEBT_COUNT);
  let text = toText(kept);
  while (Buffer.byteLength(text) > MAX_BYTES) {
    kept = kept.slice(0, Math.floor(kept.length / 2));
    text = toText(kept);
  }
  return text;
}

function tryParse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/**
 * Decodes debts.
 * @param text - the stored text; undefined when there is no row
 * @returns the debts, and whether the text could be read; none when it is missing, malformed or of another version
 */
export function decodeDebts(text: string | undefined): {
  readonly debts: readonly TeamDebt[];
  readonly isMalformed: boolean;
} {
  if (text === undefined) return { debts: [], isMalformed: false };
  const isTooLong = Buffer.byteLength(text) > MAX_BYTES;
  const parsed = DEBTS_SCHEMA.safeParse(isTooLong ? undefined : tryParse(text));
  if (!parsed.success) return { debts: [], isMalformed: true };
  const debts = Object.entries(parsed.data.debts).flatMap(([serviceName, byTeam]) =>
    Object.entries(byTeam).map(([teamId, debt]) => ({ serviceName, teamId, debt })),
  );
  return { debts: debts.slice(0, MAX_DEBT_COUNT), isMalformed: false };
}
