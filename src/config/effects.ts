/** Effects of configuration handling, and the origins that match peer responses to calls. */

import type { PlatformCall } from '../platform/types';
import type { SchedulerCall } from '../rpc/types';
import type { ConfigVersion, MemberId } from '../types/ids';
import type { ConfigOrigin } from './rows';

/** Identifies the peer call to which a result belongs. */
export type ConfigPeerOrigin =
  | { readonly kind: 'configFetch' }
  | {
      readonly kind: 'configOffer';
      readonly processId: MemberId;
      readonly version: ConfigVersion;
    };

/** An effect that the caller has to perform. */
export type ConfigEffect =
  | { readonly kind: 'callPlatform'; readonly origin: ConfigOrigin; readonly call: PlatformCall }
  | {
      readonly kind: 'callPeer';
      readonly origin: ConfigPeerOrigin;
      readonly address: string;
      readonly call: SchedulerCall;
    }
  | { readonly kind: 'replyCall'; readonly callId: number; readonly value: unknown }
  /** A newer configuration has become active in this process. */
  | { readonly kind: 'configChanged' };
