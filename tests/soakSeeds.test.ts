/** Rounds of the soak whose seeds once broke a promise, and one that never did. */

import { SoakRound } from '../bench/soakRound';

describe('soak rounds', () => {
  test('seed 1 breaks no promise', () => {
    expect(new SoakRound(1).run().violations).toEqual([]);
  });

  test('seed 1055 finishes each task of a gang once', () => {
    expect(new SoakRound(1_055).run().violations).toEqual([]);
  });
});
