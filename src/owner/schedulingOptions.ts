/** Settings that turn single scheduling features off, to compare a deployment with and without them. */

/** The features; what each does is described in `docs/design`. */
export interface SchedulingOptions {
  /** Expected durations are learnt from ended runs; otherwise the callers' estimates are used. */
  readonly learnsDurations: boolean;
  /** Waiting steps are ordered by the shares of teams while a priority is contended. */
  readonly sharesContendedCapacity: boolean;
  /** Submissions are refused that cannot be in time by the owner's forecast. */
  readonly refusesLateSubmissions: boolean;
  /** Placement weighs the scarcity of resources, the sizes and the speeds of targets. */
  readonly weighsUnevenTargets: boolean;
}

/**
 * Features that are on unless the settings say otherwise; each takes effect only where the configuration calls for it.
 * Late submissions are refused only on request: the benchmark shows no more value in time with it, and a write of
 * another node for the same id may still be under way when the check finds none.
 */
export const DEFAULT_SCHEDULING_OPTIONS: SchedulingOptions = {
  learnsDurations: true,
  sharesContendedCapacity: true,
  refusesLateSubmissions: false,
  weighsUnevenTargets: true,
};
