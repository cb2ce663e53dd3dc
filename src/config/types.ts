/** The sheet exported by operators and the accepted configuration derived from it. */

import type { ConfigVersion, DataCentreId, KeyId, MemberId, QueueId, TeamId } from '../types/ids';

/** A group of users with its share of a fully loaded fleet and its upper limit. */
export interface Team {
  readonly teamId: TeamId;
  /** Weight in the weighted max-min fair division of a fully loaded fleet. */
  readonly shareWeight: number;
  /** Maximum number of slots that the team may use across the whole fleet. */
  readonly limitSlots: number;
}

/** A key for submitting work; only the digest of its secret is stored. */
export interface TeamKey {
  readonly keyId: KeyId;
  readonly teamId: TeamId;
  /** SHA-256 of the secret, in hex. */
  readonly secretDigest: string;
}

/** Teams whose work a queue accepts. */
export type QueueAccess =
  { readonly kind: 'open' } | { readonly kind: 'team'; readonly teamId: TeamId };

/** A named entry point for work. */
export interface Queue {
  readonly queueId: QueueId;
  readonly access: QueueAccess;
  /** Urgent queues are served before others when capacity is scarce. */
  readonly urgency: 'urgent' | 'normal' | 'background';
}

/** A group of targets that operators take out of service as a whole. */
export interface DataCentre {
  readonly dataCentreId: DataCentreId;
  readonly region: string;
  readonly inService: boolean;
}

/** The configuration that planners export every morning. */
export interface Sheet {
  readonly teams: readonly Team[];
  readonly keys: readonly TeamKey[];
  readonly queues: readonly Queue[];
  readonly dataCentres: readonly DataCentre[];
  /** Number of separately owned shards into which the targets of a data centre are divided. */
  readonly shardsPerDataCentre: number;
}

/** Marks a key as withdrawn, so that a sheet from an older export does not restore it. */
export interface KeyTombstone {
  readonly keyId: KeyId;
  readonly withdrawnInVersion: ConfigVersion;
}

/** Retains a key that was granted by command until a sheet lists it. */
export interface KeyGrant {
  readonly keyId: KeyId;
  readonly grantedInVersion: ConfigVersion;
}

/** Keeps a data centre that was closed by command out of service, regardless of the sheet. */
export interface DataCentreClosure {
  readonly dataCentreId: DataCentreId;
  readonly closedInVersion: ConfigVersion;
}

/** A configuration committed on the platform. Versions only increase. */
export interface AcceptedConfig {
  readonly version: ConfigVersion;
  readonly sheet: Sheet;
  readonly tombstones: readonly KeyTombstone[];
  readonly grants: readonly KeyGrant[];
  readonly closures: readonly DataCentreClosure[];
}

/** Result of a change, returned to the operator and stored with the version. */
export interface ChangeReport {
  readonly version: ConfigVersion;
  /** Keys listed in the sheet that remain withdrawn. */
  readonly ignoredKeyIds: readonly KeyId[];
  /** Keys granted by command that are retained although the sheet does not list them. */
  readonly keptKeyIds: readonly KeyId[];
  /** Keys removed because the sheet no longer lists them or their team. */
  readonly droppedKeyIds: readonly KeyId[];
  /** Data centres that are in service in the sheet but remain closed by command. */
  readonly stillOutDataCentreIds: readonly DataCentreId[];
}

/** Response to an operator whose change was accepted. */
export interface ChangeResponse extends ChangeReport {
  /** Processes that did not confirm the change; each stops admitting work until it has it. */
  readonly unreachedProcessIds: readonly MemberId[];
}

/** Configuration state that processes exchange in every heartbeat. */
export interface ConfigGossip {
  /** Incarnation of the process; unlike its member id it never changes. */
  readonly processId: MemberId;
  readonly address: string;
  readonly version: ConfigVersion;
  /** Time since the version was last confirmed as the newest; null if it never was. */
  readonly confirmedAgeMs: number | null;
}

/** A change that an operator can request. */
export type ConfigChange =
  | { readonly kind: 'applySheet'; readonly basedOnVersion: ConfigVersion; readonly sheet: Sheet }
  | { readonly kind: 'grantKey'; readonly key: TeamKey }
  | { readonly kind: 'withdrawKey'; readonly keyId: KeyId }
  | {
      readonly kind: 'setDataCentre';
      readonly dataCentreId: DataCentreId;
      readonly inService: boolean;
    };

/** Initial configuration, before any sheet is applied. */
export const EMPTY_CONFIG: AcceptedConfig = {
  version: 0 as ConfigVersion,
  sheet: { teams: [], keys: [], queues: [], dataCentres: [], shardsPerDataCentre: 1 },
  tombstones: [],
  grants: [],
  closures: [],
};
