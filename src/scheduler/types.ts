/** Events and effects of the scheduler's reducer. */

import type { EscrowOrigin } from '../escrow/types';
import type { JournalOrigin } from '../journal/types';
import type { TaskOrigin } from '../jobs/taskCalls';
import type { LeaseOrigin } from '../lease/types';
import type { PlatformCall, PlatformResult } from '../platform/types';
import type { RequestOrigin } from '../requests/types';
import type { HeartbeatReply, RpcResult, SchedulerCall, TaskAcknowledgement } from '../rpc/types';
import type { TargetCall, TargetResult } from '../target/types';
import type { ConfigPeerOrigin } from '../config/effects';
import type { ConfigOrigin } from '../config/rows';
import type { AcceptedConfig } from '../config/types';
import type { Epoch, MemberId, ShardId, TargetId } from '../types/ids';

/** Which platform call a result belongs to. */
export type PlatformOrigin =
  | LeaseOrigin
  | EscrowOrigin
  | JournalOrigin
  | ConfigOrigin
  | { readonly kind: 'vmList'; readonly sentMs: number };

/** Which target call a result belongs to. */
export type TargetOrigin =
  | RequestOrigin
  | TaskOrigin
  | {
      readonly kind: 'report';
      readonly targetId: TargetId;
      readonly shardId: ShardId;
      readonly epoch: Epoch;
      readonly sentMs: number;
    }
  | { readonly kind: 'renew'; readonly targetId: TargetId };

/** Which peer call a result belongs to. */
export type PeerOrigin =
  | {
      readonly kind: 'heartbeat';
      /** Incarnation that it is sent to. */
      readonly memberId: MemberId;
      /** Incarnation that sends it. */
      readonly sentById: MemberId;
      readonly address: string;
      readonly sentMs: number;
    }
  | ConfigPeerOrigin
  | { readonly kind: 'tellTasks' }
  | { readonly kind: 'oneWay' };

/** Everything that can happen to a scheduler. Times are on the process's own clock. */
export type SchedulerEvent =
  | { readonly kind: 'tick'; readonly nowMs: number; readonly wallMs: number }
  | {
      readonly kind: 'platformReplied';
      readonly nowMs: number;
      readonly origin: PlatformOrigin;
      readonly result: PlatformResult;
    }
  | {
      readonly kind: 'targetReplied';
      readonly nowMs: number;
      readonly origin: TargetOrigin;
      readonly result: TargetResult;
    }
  | {
      readonly kind: 'peerReplied';
      readonly nowMs: number;
      readonly origin: PeerOrigin;
      readonly result: RpcResult<HeartbeatReply | AcceptedConfig | TaskAcknowledgement>;
    }
  | {
      readonly kind: 'called';
      readonly nowMs: number;
      readonly wallMs: number;
      readonly callId: number;
      readonly call: SchedulerCall;
    }
  | { readonly kind: 'drainRequested'; readonly nowMs: number };

/** Everything that a scheduler's reducer can want done. */
export type SchedulerEffect =
  | {
      readonly kind: 'callPlatform';
      readonly origin: PlatformOrigin;
      readonly call: PlatformCall;
    }
  | {
      readonly kind: 'callTarget';
      readonly origin: TargetOrigin;
      readonly address: string;
      readonly call: TargetCall;
      readonly timeoutMs: number;
      readonly notAfterMs: number;
    }
  | {
      readonly kind: 'callPeer';
      readonly origin: PeerOrigin;
      readonly address: string;
      readonly call: SchedulerCall;
    }
  | { readonly kind: 'replyCall'; readonly callId: number; readonly value: unknown }
  | { readonly kind: 'count'; readonly name: string }
  | { readonly kind: 'log'; readonly message: string; readonly fields: LogFields };

/** Fields of one log line; never a secret. */
export interface LogFields {
  readonly [field: string]: string | number | boolean;
}
