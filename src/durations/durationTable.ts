/** The groups whose durations are learnt: from narrow ones, which differ, to wide ones, which know more steps. */

import * as E from 'fp-ts/Either';
import * as z from 'zod';
import { getHash } from '../types/hash';
import { tryParseJson } from '../types/json';
import {
  ESTIMATE_LINE,
  forecast,
  getLine,
  isSufficient,
  observe,
  observeBound,
} from './durationModel';
import type { DurationMoments, Line, LogForecast } from './durationModel';

/** Groups that are kept; the least recently used one is removed first. */
export const MAX_GROUPS = 256;

/** Size of the encoded state; the store takes rows of 65,536 bytes. */
export const MAX_STATE_BYTES = 48_000;

/** Version of the encoded state; another one is not read. */
const FORMAT = 1;

/** A longer name of a group is shortened, so that a state of many groups is not filled by names. */
const MAX_NAME_LENGTH = 96;

/** Digits after the point in the encoded state; thousandths of a logarithm are thousandths of a duration. */
const DIGITS = 4;

/** What tells the groups of a step. */
export interface StepKind {
  readonly queueId: string;
  readonly step: number;
  readonly image: string;
  readonly teamId: string;
}

/** Names of the groups of a step, the narrowest first. */
export type GroupNames = readonly string[];

/** A group with its line. */
export interface GroupAnswer {
  readonly moments: DurationMoments;
  readonly line: Line;
}

/** Errors of a group, for the log; as logarithms. */
export interface GroupErrors {
  readonly group: string;
  readonly weight: number;
  readonly estimateError: number;
  readonly learntError: number;
}

interface Group {
  readonly moments: DurationMoments;
  readonly usedAt: number;
}

/** Bounds of stored numbers; what is learnt stays far within them. */
const MAX_WEIGHT = 100;
const MAX_LOG = 20;
const MAX_SUM = 100_000;

const logSchema = z.number().min(0).max(MAX_LOG);

const stateSchema = z.object({
  format: z.literal(FORMAT),
  groups: z
    .array(
      z.tuple([
        z.string().max(MAX_NAME_LENGTH),
        z.number().min(0).max(MAX_WEIGHT),
        logSchema,
        z.number().min(-MAX_LOG).max(MAX_LOG),
        z.number().min(0).max(MAX_SUM),
        z.number().min(-MAX_SUM).max(MAX_SUM),
        ...([logSchema, logSchema, logSchema, logSchema] as const),
      ]),
    )
    .max(MAX_GROUPS),
});

type StoredGroup = z.infer<typeof stateSchema>['groups'][number];

function toName(parts: readonly (string | number)[]): string {
  const name = parts.map((part) => String(part).replace(/[|%]/g, encodeURIComponent)).join('|');
  if (name.length <= MAX_NAME_LENGTH) return name;
  const hash = getHash(name).toString(16);
  return `${name.slice(0, MAX_NAME_LENGTH - hash.length - 1)}#${hash}`;
}

/**
 * Gets the names of the groups of a step.
 * @param kind - the step
 * @returns the names, the narrowest group first
 */
export function getGroupNames({ queueId, step, image, teamId }: StepKind): GroupNames {
  return [
    toName([queueId, step, image, teamId]),
    toName([queueId, step, image]),
    toName([queueId]),
  ];
}

function round(value: number): number {
  return Number(value.toFixed(DIGITS));
}

function toStored(name: string, { moments }: Group): StoredGroup {
  const { weight, meanX, meanDifference, squares, products } = moments;
  return [
    ...([name, round(weight), round(meanX), round(meanDifference)] as const),
    ...([round(squares), round(products), round(moments.deviation)] as const),
    ...([
      round(moments.quantile),
      round(moments.estimateError),
      round(moments.learntError),
    ] as const),
  ];
}

function toMoments(stored: StoredGroup): DurationMoments {
  const [, weight, meanX, meanDifference, squares, products, deviation, quantile] = stored;
  const [, , , , , , , , estimateError, learntError] = stored;
  return {
    ...{ weight, meanX, meanDifference, squares, products },
    ...{ deviation, quantile, estimateError, learntError },
  };
}

/** Learnt durations by group. */
export class DurationTable {
  #groups = new Map<string, Group>();

  #useCount = 0;

  #droppedCount = 0;

  /** Number of groups. */
  get size(): number {
    return this.#groups.size;
  }

  /** Number of groups that were removed for others. */
  get droppedCount(): number {
    return this.#droppedCount;
  }

  /** Errors of all groups, those with the most observations first. */
  get errors(): readonly GroupErrors[] {
    return [...this.#groups]
      .map(
        ([
          group,
          {
            moments: { weight, estimateError, learntError },
          },
        ]) => ({
          ...{ group, weight, estimateError, learntError },
        }),
      )
      .sort((left, right) => right.weight - left.weight);
  }

  /**
   * Finds the group that answers for steps, which is the narrowest one with enough observations.
   * @param names - their groups
   * @returns the group and its line; undefined when none has enough observations
   */
  getAnswer(names: GroupNames): GroupAnswer | undefined {
    let answer: GroupAnswer | undefined;
    for (let index = names.length - 1; index >= 0; index -= 1) {
      const moments = this.#groups.get(names[index] ?? '')?.moments;
      if (moments !== undefined && isSufficient(moments))
        answer = { moments, line: getLine(moments, answer?.line ?? ESTIMATE_LINE) };
    }
    return answer;
  }

  /**
   * Forecasts the duration of a step.
   * @param names - its groups
   * @param x - logarithm of the caller's estimate
   * @returns the forecast of the group that answers; undefined when the estimate is to be used
   */
  getForecast(names: GroupNames, x: number): LogForecast | undefined {
    const answer = this.getAnswer(names);
    return answer && forecast(answer.moments, answer.line, x);
  }

  /**
   * Adds the observation of a step to all its groups.
   * @param names - its groups
   * @param x - logarithm of the caller's estimate
   * @param y - logarithm of the duration, or of its lower bound
   * @param isBound - whether it is a lower bound
   */
  observe(names: GroupNames, x: number, y: number, isBound = false): void {
    this.#useCount += 1;
    let wider: Line = ESTIMATE_LINE;
    for (let index = names.length - 1; index >= 0; index -= 1) {
      const name = names[index] ?? '';
      const known = this.#groups.get(name)?.moments;
      const moments = (isBound ? observeBound : observe)(known, wider, x, y);
      if (moments !== undefined) this.#set(name, moments);
      // Differences from a wider group mean nothing before that group is known, as its own change would count twice.
      if (known === undefined || !isSufficient(known)) return;
      // The narrower group is judged by what was known before the observation.
      wider = getLine(known, wider);
    }
  }

  #set(name: string, moments: DurationMoments): void {
    if (!this.#groups.has(name) && this.#groups.size >= MAX_GROUPS) this.#dropOldest();
    this.#groups.set(name, { moments, usedAt: this.#useCount });
  }

  #dropOldest(): void {
    let oldest: string | undefined;
    let oldestUse = Number.POSITIVE_INFINITY;
    this.#groups.forEach(({ usedAt }, name) => {
      if (usedAt >= oldestUse) return;
      oldest = name;
      oldestUse = usedAt;
    });
    if (oldest !== undefined) this.#groups.delete(oldest);
    this.#droppedCount += 1;
  }

  /**
   * Encodes the groups. The least recently used ones are left out if they do not fit.
   * @param maxBytes - size of the text
   * @returns the text
   */
  encode(maxBytes = MAX_STATE_BYTES): string {
    const newestFirst = [...this.#groups].sort(([, left], [, right]) => right.usedAt - left.usedAt);
    const head = `{"format":${FORMAT},"groups":[`;
    let byteCount = head.length + 2;
    const texts: string[] = [];
    for (const [name, group] of newestFirst) {
      const text = JSON.stringify(toStored(name, group));
      byteCount += Buffer.byteLength(text) + 1;
      if (byteCount > maxBytes) break;
      texts.push(text);
    }
    return `${head}${texts.join(',')}]}`;
  }

  /**
   * Adopts encoded groups. A group that has been observed since keeps the state with the more observations.
   * @param text - the text
   * @returns the number of groups, or why the text is not valid
   */
  adopt(text: string): E.Either<string, number> {
    const parsed = stateSchema.safeParse(tryParseJson(text));
    if (!parsed.success) return E.left(z.prettifyError(parsed.error));
    const { groups } = parsed.data;
    // The most recently used group comes first in the text.
    [...groups].reverse().forEach((stored) => {
      const moments = toMoments(stored);
      const known = this.#groups.get(stored[0]);
      if (known !== undefined && known.moments.weight >= moments.weight) return;
      this.#useCount += 1;
      this.#set(stored[0], moments);
    });
    return E.right(groups.length);
  }
}
