/** Soak rounds with seeds that once violated an invariant, and with one that never did. */

import { SoakRound } from '../bench/soakRound';

describe('soak rounds', () => {
  test('seed 1 violates no invariant', () => {
    expect(new SoakRound(1).run().violations).toEqual([]);
  });

  test('seed 1055 finishes each task of a gang once', () => {
    expect(new SoakRound(1_055).run().violations).toEqual([]);
  });
});
