/**
 * Regression of the logarithm of the duration on that of the caller's estimate, for the steps of one group. Logarithms
 * are used because the errors of estimates are factors. The state has a fixed size: moments that decay with each
 * observation.
 */

/** Bounds of the durations and estimates that are learnt from; values outside are clamped. */
const MIN_DURATION_MS = 1;
const MAX_DURATION_MS = 86_400_000;

/** A forecast differs from the caller's estimate by at most this factor, so that a wrong one does limited harm. */
export const MAX_FORECAST_FACTOR = 10;

const MAX_FORECAST_LOG = Math.log(MAX_FORECAST_FACTOR);

/** Differences from a wider group beyond this change no forecast. */
const MAX_DIFFERENCE_LOG = 2 * MAX_FORECAST_LOG;

/** Weight that remains of an observation after another one; the weight is halved after 64 of them. */
const DECAY = 0.5 ** (1 / 64);

/** Effective observations from which on a group answers; fewer tell less than the caller's estimate. */
export const MIN_WEIGHT = 8;

/**
 * Weight of the wider group's line against a group's own differences from it, in observations, and as a sum of squares
 * of x for the slope. From 8 to 64 the mean error in the replays of `npm run bench -- durations` differs by under 0.01;
 * a lower weight follows a difference of one team sooner.
 */
const PRIOR_WEIGHT = 16;
const PRIOR_SQUARES = 16;

/** The same for the widest group against the caller's estimates, of which more is known to be wrong. */
const ESTIMATE_WEIGHT = 2;
const ESTIMATE_SQUARES = 2;

/** Slopes outside these bounds are accidents of few observations. */
const MIN_SLOPE = 0;
const MAX_SLOPE = 1.2;

/** Deviation that is assumed before there are observations: estimates are off by a factor of up to 2.5. */
const INITIAL_DEVIATION = 0.7;

/** Deviations beyond this many standard deviations are reduced to it, so that single very long steps count little. */
const MAX_DEVIATIONS = 3;

/** Ratio of the standard deviation to the mean absolute one of a normal distribution. */
const DEVIATION_FACTOR = Math.sqrt(Math.PI / 2);

/** Smallest and largest share of a new observation in the averages of deviations and errors. */
const MIN_RATE = 1 / 64;
const INITIAL_COUNT = 4;

/** The upper quantile that is learnt beside the expected value, and that of a normal distribution for the start. */
const QUANTILE = 0.9;
const NORMAL_QUANTILE = 1.28;

/** Step of the quantile's search relative to the deviation; a larger one follows faster and varies more. */
const QUANTILE_STEP = 2;

/** A group whose forecasts have been worse than the estimates by more than this factor answers with the estimates. */
export const MAX_ERROR_RATIO = 1.1;

/** What is known of the steps of one group. x is the logarithm of the estimate, y that of the duration. */
export interface DurationMoments {
  /** Number of observations, decayed. */
  readonly weight: number;
  readonly meanX: number;
  /** Mean of y minus the wider group's line, so that a change that is seen there is followed by all groups. */
  readonly meanDifference: number;
  /** Decayed sums around the means: of the squares of x, and of the products of x and the difference. */
  readonly squares: number;
  readonly products: number;
  /** Standard deviation of y around its forecast. */
  readonly deviation: number;
  /** The 0.9 quantile of y minus its forecast. */
  readonly quantile: number;
  /** Mean absolute error of the caller's estimate and of the forecast, as logarithms. */
  readonly estimateError: number;
  readonly learntError: number;
}

/** A line through a point. */
export interface Line {
  readonly x: number;
  readonly y: number;
  readonly slope: number;
}

/** A forecast of y. */
export interface LogForecast {
  readonly expected: number;
  readonly quantile: number;
  /** Standard deviation of y around the expected value. */
  readonly deviation: number;
}

/** The duration is expected to be the estimate. */
export const ESTIMATE_LINE: Line = { x: 0, y: 0, slope: 1 };

const EMPTY: DurationMoments = {
  ...{ weight: 0, meanX: 0, meanDifference: 0, squares: 0, products: 0 },
  deviation: INITIAL_DEVIATION,
  quantile: INITIAL_DEVIATION * NORMAL_QUANTILE,
  ...{ estimateError: 0, learntError: 0 },
};

function clamp(value: number, min: number, max: number): number {
  return Math.min(Math.max(value, min), max);
}

/**
 * Gets the logarithm of a duration or estimate.
 * @param durationMs - any number; values that are no durations count as the shortest one
 * @returns a finite number
 */
export function toLog(durationMs: number): number {
  return Math.log(clamp(durationMs || 0, MIN_DURATION_MS, MAX_DURATION_MS));
}

/**
 * Limits a forecast to the bounds around the caller's estimate.
 * @param y - the forecast
 * @param x - the estimate
 * @returns a forecast within the bounds; the estimate in place of a value that is no number
 */
export function limitForecast(y: number, x: number): number {
  return Number.isNaN(y) ? x : clamp(y, x - MAX_FORECAST_LOG, x + MAX_FORECAST_LOG);
}

function getValue({ x, y, slope }: Line, at: number): number {
  return y + slope * (at - x);
}

/**
 * Gets the line of a group, shrunk towards that of the wider one.
 * @param moments - the group
 * @param wider - line of the wider group
 * @returns the line
 */
export function getLine(moments: DurationMoments, wider: Line): Line {
  const { weight, meanX, meanDifference, squares, products } = moments;
  const isWidest = wider === ESTIMATE_LINE;
  const priorWeight = isWidest ? ESTIMATE_WEIGHT : PRIOR_WEIGHT;
  const priorSquares = isWidest ? ESTIMATE_SQUARES : PRIOR_SQUARES;
  const slope = wider.slope + products / (squares + priorSquares);
  const y = getValue(wider, meanX) + (weight * meanDifference) / (weight + priorWeight);
  return { x: meanX, y, slope: clamp(slope, MIN_SLOPE, MAX_SLOPE) };
}

/**
 * Checks whether a group may answer.
 * @param moments - the group
 * @returns true when it has enough observations
 */
export function isSufficient({ weight }: DurationMoments): boolean {
  return weight >= MIN_WEIGHT;
}

/**
 * Forecasts the duration of a step.
 * @param moments - the group, which has enough observations
 * @param line - its line
 * @param x - logarithm of the caller's estimate
 * @returns the forecast; undefined while the group's forecasts are worse than the estimates
 */
export function forecast(moments: DurationMoments, line: Line, x: number): LogForecast | undefined {
  const { estimateError, learntError, deviation, quantile } = moments;
  if (learntError > estimateError * MAX_ERROR_RATIO) return undefined;
  const expected = limitForecast(getValue(line, x), x);
  return { expected, quantile: limitForecast(expected + quantile, x), deviation };
}

/**
 * Adds an observation.
 * @param known - the group; undefined before its first observation
 * @param wider - line of the wider group
 * @param x - logarithm of the caller's estimate
 * @param y - logarithm of the duration
 * @returns the group with the observation
 */
export function observe(
  known: DurationMoments | undefined,
  wider: Line,
  x: number,
  y: number,
): DurationMoments {
  const moments = known ?? EMPTY;
  const forecastY = limitForecast(getValue(getLine(moments, wider), x), x);
  const limit = MAX_DEVIATIONS * moments.deviation;
  const difference = clamp(y - forecastY, -limit, limit);
  const limited = clamp(
    forecastY + difference - getValue(wider, x),
    -MAX_DIFFERENCE_LOG,
    MAX_DIFFERENCE_LOG,
  );
  const weight = moments.weight * DECAY + 1;
  const fromMeanX = x - moments.meanX;
  const meanX = moments.meanX + fromMeanX / weight;
  const fromMeanDifference = limited - moments.meanDifference;
  const meanDifference = moments.meanDifference + fromMeanDifference / weight;
  const rate = Math.max(MIN_RATE, 1 / (weight + INITIAL_COUNT));
  const errorRate = Math.max(MIN_RATE, 1 / weight);
  const isBelow = difference <= moments.quantile;
  const quantileStep = QUANTILE_STEP * rate * moments.deviation * (QUANTILE - Number(isBelow));
  return {
    ...{ weight, meanX, meanDifference },
    squares: moments.squares * DECAY + fromMeanX * (x - meanX),
    products: moments.products * DECAY + fromMeanX * (limited - meanDifference),
    deviation: Math.min(
      moments.deviation + rate * (DEVIATION_FACTOR * Math.abs(difference) - moments.deviation),
      MAX_FORECAST_LOG,
    ),
    quantile: clamp(moments.quantile + quantileStep, 0, MAX_FORECAST_LOG),
    estimateError: moments.estimateError + errorRate * (Math.abs(y - x) - moments.estimateError),
    learntError: moments.learntError + errorRate * (Math.abs(y - forecastY) - moments.learntError),
  };
}

/**
 * Adds a lower bound of a duration, as of a run that was stopped. One that is above the forecast counts as an
 * observation at the bound; a lower one tells nothing about the forecast.
 * @param known - the group; undefined before its first observation
 * @param wider - line of the wider group
 * @param x - logarithm of the caller's estimate
 * @param bound - logarithm of the lower bound
 * @returns the group
 */
export function observeBound(
  known: DurationMoments | undefined,
  wider: Line,
  x: number,
  bound: number,
): DurationMoments | undefined {
  const line = known === undefined ? wider : getLine(known, wider);
  return bound > getValue(line, x) ? observe(known, wider, x, bound) : known;
}
