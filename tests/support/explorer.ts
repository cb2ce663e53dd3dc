/** Bounded model checker: explores every interleaving of a model's actions, each state once. */

import hash from 'object-hash';

/** A model that runs the real reducers, with message delivery and time as explicit actions. */
export interface ExplorerModel<Action> {
  /** Every action that is possible in the current state. */
  getActions(): readonly Action[];
  apply(action: Action): void;
  /** All state that future behaviour depends on, as plain data. */
  getState(): object;
  /** Description of the invariant that the current state violates, if any. */
  findViolation(): string | undefined;
}

/** The result of an exploration. */
export interface ExplorerReport<Action> {
  readonly stateCount: number;
  readonly transitionCount: number;
  readonly depth: number;
  /** Whether the state space was exhausted within the depth. */
  readonly isComplete: boolean;
  readonly violation: { readonly detail: string; readonly path: readonly Action[] } | undefined;
}

function replay<Action>(
  createModel: () => ExplorerModel<Action>,
  path: readonly Action[],
): ExplorerModel<Action> {
  const model = createModel();
  path.forEach((action) => model.apply(action));
  return model;
}

/**
 * Explores a model breadth first. The reducers keep private state and cannot be copied, so each
 * state is reached by replaying its shortest path. States are distinguished by the hash of their
 * plain data.
 * @param createModel - creates the model in its initial state
 * @param depth - maximum path length
 * @returns the counts of the exploration, and the shortest path to the first violation if any
 */
export function explore<Action>(
  createModel: () => ExplorerModel<Action>,
  depth: number,
): ExplorerReport<Action> {
  const visitedHashes = new Set([hash(createModel().getState())]);
  let frontier: (readonly Action[])[] = [[]];
  let transitionCount = 0;
  for (let level = 0; level < depth && frontier.length > 0; level += 1) {
    const nextFrontier: (readonly Action[])[] = [];
    for (const path of frontier) {
      for (const action of replay(createModel, path).getActions()) {
        transitionCount += 1;
        const model = replay(createModel, path);
        model.apply(action);
        const nextPath = [...path, action];
        const detail = model.findViolation();
        if (detail !== undefined) {
          const violation = { detail, path: nextPath };
          return {
            stateCount: visitedHashes.size,
            transitionCount,
            depth: level + 1,
            isComplete: false,
            violation,
          };
        }
        const stateHash = hash(model.getState());
        if (visitedHashes.has(stateHash)) continue;
        visitedHashes.add(stateHash);
        nextFrontier.push(nextPath);
      }
    }
    frontier = nextFrontier;
  }
  return {
    stateCount: visitedHashes.size,
    transitionCount,
    depth,
    isComplete: frontier.length === 0,
    violation: undefined,
  };
}
