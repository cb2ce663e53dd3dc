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

/** Identifies the platform call that a result belongs to. */
export type PlatformOrigin =
  | LeaseOrigin
  | EscrowOrigin
  | JournalOrigin
  | ConfigOrigin
  | { readonly kind: 'vmList'; readonly sentMs: number };

/** Identifies the target call that a result belongs to. */
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

/** Identifies the peer call that a result belongs to. */
export type PeerOrigin =
  | {
      readonly kind: 'heartbeat';
      /** Incarnation of the recipient. */
      readonly memberId: MemberId;
      /** Incarnation of the sender. */
      readonly sentById: MemberId;
      readonly address: string;
      readonly sentMs: number;
    }
  | ConfigPeerOrigin
  | { readonly kind: 'tellTasks' }
  | { readonly kind: 'oneWay' };

/** Event handled by a scheduler's reducer. `nowMs` is on the process's monotonic clock. */
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

/** Effect returned by a scheduler's reducer. */
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

/** Fields of a log line. They must not contain secrets. */
export interface LogFields {
  readonly [field: string]: string | number | boolean;
}
