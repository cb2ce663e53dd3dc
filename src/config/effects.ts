/** What the configuration's duties want done, and what a peer's answer belongs to. */

import type { PlatformCall } from '../platform/types';
import type { SchedulerCall } from '../rpc/types';
import type { ConfigVersion, MemberId } from '../types/ids';
import type { ConfigOrigin } from './rows';

/** Which peer call a result belongs to. */
export type ConfigPeerOrigin =
  | { readonly kind: 'configFetch' }
  | {
      readonly kind: 'configOffer';
      readonly processId: MemberId;
      readonly version: ConfigVersion;
    };

/** What the configuration's duties want done. */
export type ConfigEffect =
  | { readonly kind: 'callPlatform'; readonly origin: ConfigOrigin; readonly call: PlatformCall }
  | {
      readonly kind: 'callPeer';
      readonly origin: ConfigPeerOrigin;
      readonly address: string;
      readonly call: SchedulerCall;
    }
  | { readonly kind: 'replyCall'; readonly callId: number; readonly value: unknown }
  /** A newer configuration is in force in this process. */
  | { readonly kind: 'configChanged' };
