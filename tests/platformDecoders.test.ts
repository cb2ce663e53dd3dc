/** Decoders of data from the platform: malformed input yields an error and never throws. */

import * as fc from 'fast-check';
import * as E from 'fp-ts/Either';
import { operatorRows } from '../platform/operatorRows';
import { decodeSubmissionBody } from '../platform/submissionBody';
import { targetRegistry } from '../platform/targetRegistry';
import { decodeProgress } from '../src/work/storedProgress';
import { decodeSubmission, encodeSubmission } from '../src/work/submissionSchema';
import { CONFIG } from './support/platformDeployment';
import { createSubmission } from './support/ownerWorld';

const ENTRY = {
  ...{ service: 's', addr: '10.0.0.1:80', zone: 'z', version: 'v1', slots: 8, state: 'ready' },
  ...{ capacity: { cpu: 16_000, 'mem-mb': 32_768 }, labels: ['a', 'r1-3'], born: 17, seq: 4 },
};

const BODY = {
  spec: 'text',
  steps: [
    { count: 4, cpu: 500, 'mem-mb': 256, 'est-ms': 900, affinity: 'r1-3' },
    { count: 20, cpu: 2_000, 'est-ms': 7_000, after: [0], checkpoints: true, gang: true },
  ],
};

function toRow(table: string, key: string, value: string) {
  return { table, part: '', key, value, version: 1 };
}

const DECODERS: readonly ((text: string) => E.Either<string, unknown>)[] = [
  (text) => operatorRows.decode(toRow('op', 'config', text)),
  (text) => targetRegistry.decode(toRow('servers', 'i-1', text)),
  decodeSubmissionBody,
  decodeSubmission,
  decodeProgress,
];

const SAMPLES = [CONFIG, ENTRY, BODY, createSubmission(1, [{}])];

/** Samples with a random part replaced, so that the input is nearly valid. */
const corruptedText = fc
  .tuple(fc.constantFrom(...SAMPLES), fc.nat(400), fc.nat(20), fc.string())
  .map(([sample, at, length, replacement]) => {
    const text = JSON.stringify(sample);
    return text.slice(0, at) + replacement + text.slice(at + length);
  });

describe('decoders', () => {
  test('decode or reject any text, with a description of the error', () => {
    fc.assert(
      fc.property(fc.oneof(corruptedText, fc.json(), fc.string()), (text) => {
        DECODERS.forEach((decode) => {
          const decoded = decode(text);
          if (E.isLeft(decoded)) expect(decoded.left.length).toBeGreaterThan(0);
        });
      }),
      { numRuns: 2_000 },
    );
  });

  test('decode a registry entry', () => {
    const decoded = targetRegistry.decode(toRow('servers', 'i-1', JSON.stringify(ENTRY)));
    expect(decoded).toMatchObject(
      E.right({ id: 'i-1', rack: 'r1-3', isDraining: false, incarnationStartMs: 17 }),
    );
  });

  test('decode a submission with its steps, absent fields as 0, false or empty', () => {
    const decoded = decodeSubmissionBody(JSON.stringify(BODY));
    expect(decoded).toMatchObject(
      E.right({
        schedule: { kind: 'once' },
        steps: [
          { taskCount: 4, dataRack: 'r1-3', policy: { kind: 'batch', isSpeculative: false } },
          { after: [0], hasCheckpoints: true, policy: { kind: 'gang', isSameRack: false } },
        ],
      }),
    );
  });

  test('reject steps that depend on later ones', () => {
    const steps = [{ count: 1, after: [1] }, { count: 1 }];
    expect(E.isLeft(decodeSubmissionBody(JSON.stringify({ steps })))).toBe(true);
  });

  test('decode an encoded submission', () => {
    const submission = createSubmission(3, [{ taskCount: 4 }, { after: [0] }], { advice: 'cheap' });
    expect(decodeSubmission(encodeSubmission(submission))).toEqual(E.right(submission));
  });

  test('decode an evacuated data centre', () => {
    const decoded = operatorRows.decode(toRow('op', 'evacuate/zone-a', '{}'));
    expect(decoded).toEqual(E.right({ kind: 'closedDataCentre', dataCentreId: 'zone-a' }));
  });
});
