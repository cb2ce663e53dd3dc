/** Visits every interleaving of a small model's actions to a bounded depth, each state once. */

import hash from 'object-hash';

/** A model made of real reducers, with the messages between them as explicit actions. */
export interface ExplorerModel<Action> {
  /** Every action that could happen next. */
  getActions(): readonly Action[];
  apply(action: Action): void;
  /** Everything that future behaviour depends on, as plain data. */
  getState(): object;
  /** What is broken in this state, if anything. */
  findViolation(): string | undefined;
}

/** What an exploration found. */
export interface ExplorerReport<Action> {
  readonly stateCount: number;
  readonly transitionCount: number;
  readonly depth: number;
  /** True when no state was left to expand before the depth was reached. */
  readonly isComplete: boolean;
  readonly violation: { readonly detail: string; readonly path: readonly Action[] } | undefined;
}

function replay<Action>(
  create: () => ExplorerModel<Action>,
  path: readonly Action[],
): ExplorerModel<Action> {
  const model = create();
  path.forEach((action) => model.apply(action));
  return model;
}

/**
 * Explores breadth first. The reducers keep private state and cannot be copied, so each state is
 * reached by replaying its shortest path; states are told apart by the hash of their plain data.
 * @param create - builds the model in its initial state
 * @param depth - the longest path
 * @returns what was visited, with the shortest path to the first violation
 */
export function explore<Action>(
  create: () => ExplorerModel<Action>,
  depth: number,
): ExplorerReport<Action> {
  const seen = new Set([hash(create().getState())]);
  let frontier: (readonly Action[])[] = [[]];
  let transitionCount = 0;
  for (let level = 0; level < depth && frontier.length > 0; level += 1) {
    const next: (readonly Action[])[] = [];
    for (const path of frontier) {
      for (const action of replay(create, path).getActions()) {
        transitionCount += 1;
        const model = replay(create, path);
        model.apply(action);
        const nextPath = [...path, action];
        const detail = model.findViolation();
        if (detail !== undefined) {
          const violation = { detail, path: nextPath };
          return {
            stateCount: seen.size,
            transitionCount,
            depth: level + 1,
            isComplete: false,
            violation,
          };
        }
        const key = hash(model.getState());
        if (seen.has(key)) continue;
        seen.add(key);
        next.push(nextPath);
      }
    }
    frontier = next;
  }
  return {
    stateCount: seen.size,
    transitionCount,
    depth,
    isComplete: frontier.length === 0,
    violation: undefined,
  };
}
