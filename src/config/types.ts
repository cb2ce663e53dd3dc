/** The operators' sheet and the accepted configuration that is derived from it. */

import type { ConfigVersion, DataCentreId, KeyId, MemberId, QueueId, TeamId } from '../types/ids';

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

/** Keeps a key that was granted by command until a sheet has listed it once. */
export interface KeyGrant {
  readonly keyId: KeyId;
  readonly grantedInVersion: ConfigVersion;
}

/** Keeps a data centre out of service that was taken out by command, whatever a sheet says. */
export interface DataCentreClosure {
  readonly dataCentreId: DataCentreId;
  readonly closedInVersion: ConfigVersion;
}

/** A configuration that the platform has committed. Versions only grow. */
export interface AcceptedConfig {
  readonly version: ConfigVersion;
  readonly sheet: Sheet;
  readonly tombstones: readonly KeyTombstone[];
  readonly grants: readonly KeyGrant[];
  readonly closures: readonly DataCentreClosure[];
}

/** What became of a change, told to the operator and kept with the version. */
export interface ChangeReport {
  readonly version: ConfigVersion;
  /** Keys of the sheet that stay withdrawn. */
  readonly ignoredKeyIds: readonly KeyId[];
  /** Keys granted by command that the sheet does not list and that stay. */
  readonly keptKeyIds: readonly KeyId[];
  /** Keys that the sheet no longer lists, or whose team it no longer lists. */
  readonly droppedKeyIds: readonly KeyId[];
  /** Data centres that the sheet has in service and that stay out by command. */
  readonly stillOutDataCentreIds: readonly DataCentreId[];
}

/** What an operator's accepted change is answered with. */
export interface ChangeAnswer extends ChangeReport {
  /** Processes that did not confirm it; each stops admitting until it has it. */
  readonly unreachedProcessIds: readonly MemberId[];
}

/** What processes tell each other about their configuration in every heartbeat. */
export interface ConfigGossip {
  /** This run of the process; unlike its member id it never changes. */
  readonly processId: MemberId;
  readonly address: string;
  readonly version: ConfigVersion;
  /** How long ago the version was last confirmed as the newest; null when it never was. */
  readonly confirmedAgeMs: number | null;
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
  grants: [],
  closures: [],
};
