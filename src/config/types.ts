/** The operators' sheet and the accepted configuration that is derived from it. */

import type { ConfigVersion, DataCentreId, KeyId, QueueId, TeamId } from '../types/ids';

/** A customer's group with its share of a full fleet and its upper limit. */
export interface Team {
  readonly teamId: TeamId;
  /** Weight in the weighted max-min division of a full fleet. */
  readonly shareWeight: number;
  /** The most slots that the team may have running across the whole fleet. */
  readonly limitSlots: number;
}

/** A submitter's key; only the digest of its secret is kept. */
export interface TeamKey {
  readonly keyId: KeyId;
  readonly teamId: TeamId;
  /** SHA-256 of the secret, in hex. */
  readonly secretDigest: string;
}

/** Whose work a queue takes. */
export type QueueAccess =
  { readonly kind: 'open' } | { readonly kind: 'team'; readonly teamId: TeamId };

/** A named entry point for work. */
export interface Queue {
  readonly queueId: QueueId;
  readonly access: QueueAccess;
  /** Urgent queues go before the others when targets are scarce. */
  readonly urgency: 'urgent' | 'normal' | 'background';
}

/** A zone of targets that operators take out of service as a whole. */
export interface DataCentre {
  readonly dataCentreId: DataCentreId;
  readonly region: string;
  readonly inService: boolean;
}

/** What the planners export each morning. */
export interface Sheet {
  readonly teams: readonly Team[];
  readonly keys: readonly TeamKey[];
  readonly queues: readonly Queue[];
  readonly dataCentres: readonly DataCentre[];
  /** Into how many separately owned shards the targets of one data centre are divided. */
  readonly shardsPerDataCentre: number;
}

/** Keeps a withdrawn key from coming back with an older export. */
export interface KeyTombstone {
  readonly keyId: KeyId;
  readonly withdrawnInVersion: ConfigVersion;
}

/** A configuration that the platform has committed. Versions only grow. */
export interface AcceptedConfig {
  readonly version: ConfigVersion;
  readonly sheet: Sheet;
  readonly tombstones: readonly KeyTombstone[];
}

/** What an operator can ask to be changed. */
export type ConfigChange =
  | { readonly kind: 'applySheet'; readonly basedOnVersion: ConfigVersion; readonly sheet: Sheet }
  | { readonly kind: 'grantKey'; readonly key: TeamKey }
  | { readonly kind: 'withdrawKey'; readonly keyId: KeyId }
  | {
      readonly kind: 'setDataCentre';
      readonly dataCentreId: DataCentreId;
      readonly inService: boolean;
    };

/** The configuration before any sheet was applied. */
export const EMPTY_CONFIG: AcceptedConfig = {
  version: 0 as ConfigVersion,
  sheet: { teams: [], keys: [], queues: [], dataCentres: [], shardsPerDataCentre: 1 },
  tombstones: [],
};
