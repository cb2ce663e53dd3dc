/**
 * What the owner tells all nodes about its load, so that each can refuse at once what cannot be run in time. It answers
 * an overload at which a question to the owner for each submission would add to the load.
 */

import * as z from 'zod';
import { MAX_WAIT_MS } from './forecast';
import type { QueueForecast, WaitForecast } from './forecast';

/** Largest summary in JSON form, so that the replies to the heartbeats of 43 nodes take under 0.5 MB/s. */
export const MAX_SUMMARY_BYTES = 2_048;

export const MAX_SUMMARY_QUEUES = 64;
export const MAX_SUMMARY_TEAMS = 256;

/** Learnt durations stay within this factor of the callers' estimates. */
const MAX_DURATION_FACTOR = 10;

const MAX_ID_LENGTH = 128;

const waitSchema = z.number().min(0).max(MAX_WAIT_MS);

const queueSchema = z.object({
  id: z.string().min(1).max(MAX_ID_LENGTH),
  /** Mean objective of the submissions that wait. */
  goal: z.number().min(0).max(MAX_WAIT_MS),
  /** Expected duration of tasks, relative to the estimates of the callers. */
  factor: z
    .number()
    .min(1 / MAX_DURATION_FACTOR)
    .max(MAX_DURATION_FACTOR),
  /** Least demand of a task that waits: thousandths of a core, megabytes. */
  min: z.tuple([z.number().min(0), z.number().min(0)]),
  /** Number of waiting steps, and the longest wait of one that counts: within the rate of its team, and over it. */
  waiting: z.tuple([z.int().min(0), z.number().min(0), z.number().min(0)]),
  /** For teams within their rate: waits while in time and once late, and the time of work that no longer counts. */
  within: z.tuple([waitSchema, waitSchema, waitSchema]),
  /** The same for submissions that exceed the rate of their team. */
  whole: z.tuple([waitSchema, waitSchema, waitSchema]),
});

const teamSchema = z.tuple([z.string().min(1).max(MAX_ID_LENGTH), z.number().min(0).max(1)]);

const summarySchema = z.object({
  epoch: z.int().min(1),
  sequence: z.int().min(1),
  queues: z.array(z.unknown()).max(MAX_SUMMARY_QUEUES),
  teams: z.array(z.unknown()).max(MAX_SUMMARY_TEAMS),
});

/** Load of a queue in its transmitted form. */
export type QueueLoad = z.infer<typeof queueSchema>;

/** A team with submissions over its rate, and the fraction of these among its recent ones. */
export type TeamOverRate = Readonly<z.infer<typeof teamSchema>>;

/** A load summary in its transmitted form. Queues without waits, and those that did not fit, are left out. */
export interface LoadSummary {
  readonly epoch: number;
  readonly sequence: number;
  readonly queues: readonly QueueLoad[];
  readonly teams: readonly TeamOverRate[];
}

/** What the owner knows of a queue besides the forecast. */
export interface QueueFigures {
  readonly id: string;
  readonly objectiveMs: number;
  readonly durationFactor: number;
  readonly minCpuMillis: number;
  readonly minMemoryMb: number;
  readonly waitingCount: number;
  /** Longest wait of a step that still counts and is within the rate of its team, and of one that is over it. */
  readonly longestWithinMs: number;
  readonly longestExcessMs: number;
}

function clamp(value: number, low: number, high: number): number {
  return Math.min(high, Math.max(low, value));
}

function toWaits({ inTimeMs, lateMs, lostMs }: WaitForecast): QueueLoad['within'] {
  return [Math.round(inTimeMs), Math.round(lateMs), Math.round(lostMs)];
}

/**
 * Encodes the load of a queue.
 * @param figures - what is known of the queue
 * @param forecast - the forecast of its waits
 * @returns the load in its transmitted form
 */
export function toQueueLoad(figures: QueueFigures, { within, whole }: QueueForecast): QueueLoad {
  const factor = clamp(figures.durationFactor, 1 / MAX_DURATION_FACTOR, MAX_DURATION_FACTOR);
  return {
    id: figures.id,
    goal: Math.round(clamp(figures.objectiveMs, 0, MAX_WAIT_MS)),
    factor: Number(factor.toFixed(2)),
    min: [Math.round(figures.minCpuMillis), Math.round(figures.minMemoryMb)],
    waiting: [
      figures.waitingCount,
      Math.round(Math.max(0, figures.longestWithinMs)),
      Math.round(Math.max(0, figures.longestExcessMs)),
    ],
    within: toWaits(within),
    whole: toWaits(whole),
  };
}

function getSize(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value) ?? '');
}

/** Keeps the first entries that fit, so that what is left out has no forecast and is admitted. */
function takeFitting<T>(entries: readonly T[], maxCount: number, maxBytes: number): T[] {
  let bytes = 0;
  const taken: T[] = [];
  for (const entry of entries.slice(0, maxCount)) {
    bytes += getSize(entry) + 1;
    if (bytes > maxBytes) return taken;
    taken.push(entry);
  }
  return taken;
}

/**
 * Creates a summary within the size limit.
 * @param epoch - epoch of the owner
 * @param sequence - number of the summary, from 1
 * @param queues - loads of the queues that have a forecast
 * @param teams - teams with submissions over their rates, those furthest over first
 * @returns the summary; the longest waits and the teams furthest over their rates are kept first
 */
export function createLoadSummary(
  epoch: number,
  sequence: number,
  queues: readonly QueueLoad[],
  teams: readonly TeamOverRate[],
): LoadSummary {
  const waiting = queues
    .filter(({ within, whole }) => Math.max(within[1], whole[1]) > 0)
    .sort((left, right) => right.whole[1] - left.whole[1]);
  const empty = { epoch, sequence, queues: [], teams: [] };
  const freeBytes = MAX_SUMMARY_BYTES - getSize(empty);
  // Half of the space is kept for queues; a team that is left out is judged as one within its rate.
  const keptTeams = takeFitting(teams, MAX_SUMMARY_TEAMS, freeBytes / 2);
  const queueBytes = freeBytes - getSize(keptTeams);
  return {
    ...empty,
    queues: takeFitting(waiting, MAX_SUMMARY_QUEUES, queueBytes),
    teams: keptTeams,
  };
}

function parseEach<T>(schema: z.ZodType<T>, values: readonly unknown[]): T[] {
  return values.flatMap((value) => {
    const parsed = schema.safeParse(value);
    return parsed.success ? [parsed.data] : [];
  });
}

/**
 * Decodes a summary from another node.
 * @param value - as received
 * @returns the summary without odd entries; undefined when it is not one or too large
 */
export function decodeLoadSummary(value: unknown): LoadSummary | undefined {
  const parsed = summarySchema.safeParse(value);
  if (!parsed.success || getSize(value) > MAX_SUMMARY_BYTES) return undefined;
  const { epoch, sequence, queues, teams } = parsed.data;
  return {
    epoch,
    sequence,
    queues: parseEach(queueSchema, queues),
    teams: parseEach(teamSchema, teams),
  };
}
