/** The rows of the store that concern the ownership, and what happens to calls. */

import * as E from 'fp-ts/Either';
import type { OwnerRow, OwnershipEffect } from '../../src/node/ownershipTypes';
import { decodeVoterSet } from '../../src/node/voterSet';
import type { Committed, StoreOutcome } from '../../src/store/types';
import type { NodeId } from '../../src/types/ids';
import { toEpoch } from '../../src/types/ids';

/** When the ownership of an epoch was taken. */
export interface Takeover {
  readonly epoch: number;
  readonly nodeId: NodeId;
  readonly committedAtMs: number;
  /** Whether it took place without votes, so that the former owner may go on for longer. */
  readonly isVoteless: boolean;
}

type Claim = Extract<OwnershipEffect, { kind: 'claim' }>;
type Written = E.Either<{ readonly kind: 'conflict' }, number>;

/** Rows with versions from one counter. */
export class OwnershipStore {
  #version = 1;

  #owner: { nodeId: NodeId; epoch: number; version: number } | undefined;

  #aliveVersion = 0;

  #voters = { value: '', version: 0 };

  readonly takeovers: Takeover[] = [];

  /** What the last claim without votes has left for later owners. */
  formerActsUntilMs: number | undefined;

  read(storeMs: number): OwnerRow | undefined {
    if (this.#owner === undefined) return undefined;
    const { nodeId, epoch, version } = this.#owner;
    return {
      ...{ nodeId, address: nodeId, epoch: toEpoch(epoch), version },
      aliveVersion: this.#aliveVersion,
      voterSet: decodeVoterSet(this.#voters),
      storeMs,
    };
  }

  claim(nodeId: NodeId, claim: Claim, nowMs: number): Written {
    const { epoch, expectedVersion, votersVersion, voteless } = claim;
    const isCurrent = (this.#owner?.version ?? 0) === expectedVersion;
    const isVoted = votersVersion === undefined || votersVersion === this.#voters.version;
    const isUnchanged = voteless === undefined || voteless.aliveVersion === this.#aliveVersion;
    if (!isCurrent || !isVoted || !isUnchanged) return E.left({ kind: 'conflict' });
    this.#owner = { nodeId, epoch, version: this.#getNextVersion() };
    const isVoteless = voteless !== undefined;
    if (isVoteless) this.formerActsUntilMs = voteless.formerActsUntilMs;
    this.takeovers.push({ epoch, nodeId, committedAtMs: nowMs, isVoteless });
    return E.right(this.#owner.version);
  }

  renew(rowVersion: number): Written {
    if (this.#owner?.version !== rowVersion) return E.left({ kind: 'conflict' });
    this.#aliveVersion = this.#getNextVersion();
    return E.right(this.#aliveVersion);
  }

  writeVoters(rowVersion: number, expected: number, value: string): StoreOutcome<Committed> {
    if (this.#owner?.version !== rowVersion || this.#voters.version !== expected) {
      const row = { table: 'ownership', part: 'p', key: 'voters', ...this.#voters };
      return E.left({ kind: 'conflict', rows: [row] });
    }
    this.#voters = { value, version: this.#getNextVersion() };
    return E.right({ version: this.#voters.version });
  }

  #getNextVersion(): number {
    this.#version += 1;
    return this.#version;
  }
}
