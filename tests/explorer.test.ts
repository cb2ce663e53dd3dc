/** Tests the explorer on a grid whose states can be counted by hand. */

import { explore } from './support/explorer';
import type { ExplorerModel } from './support/explorer';

type Step = 'left' | 'right';

function createGridModel(forbidden: string): ExplorerModel<Step> {
  const position = { left: 0, right: 0 };
  return {
    getActions: () => ['left', 'right'],
    apply(step) {
      position[step] += 1;
    },
    getState: () => ({ ...position }),
    findViolation() {
      return `${position.left},${position.right}` === forbidden ? forbidden : undefined;
    },
  };
}

describe('explore', () => {
  test('visits each state of a bounded grid once', () => {
    const report = explore(() => createGridModel('none'), 3);
    expect(report).toMatchObject({ stateCount: 10, transitionCount: 12, isComplete: false });
  });

  test('returns the shortest path to a violation', () => {
    const report = explore(() => createGridModel('1,1'), 5);
    expect(report.violation).toEqual({ detail: '1,1', path: ['left', 'right'] });
  });
});
