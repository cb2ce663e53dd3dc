/** Calls from outside, and the events and effects of the gate's reducer. */

import type { AcceptedConfig, ConfigChange } from '../config/types';
import type { JobSpec } from '../jobs/types';
import type { RpcResult, Routes, SchedulerCall } from '../rpc/types';
import type { Diagnostic } from '../types/diagnostics';
import type { JobId, MemberId, QueueId, RequestId, SchedulerId } from '../types/ids';

/** A call that passed the parser; keys and queues are not checked yet. */
export type GateCall =
  | {
      readonly kind: 'request';
      readonly token: string;
      readonly queueId: QueueId;
      readonly requestId: RequestId;
      readonly windowMs: number;
      readonly isIdempotent: boolean;
      readonly serviceName: string;
      readonly contentType: string;
      readonly body: Buffer;
    }
  | { readonly kind: 'submitJob'; readonly token: string; readonly spec: JobSpec }
  | { readonly kind: 'getJob'; readonly token: string; readonly jobId: JobId }
  | { readonly kind: 'listJobs'; readonly token: string }
  | { readonly kind: 'cancelJob'; readonly token: string; readonly jobId: JobId }
  | { readonly kind: 'getConfig'; readonly token: string }
  | {
      readonly kind: 'changeConfig';
      readonly token: string;
      readonly change: ConfigChange;
      /** From the operator, so that a repeated call has one effect; empty for a new one. */
      readonly operationId: string;
    }
  | { readonly kind: 'dumpState'; readonly token: string }
  | { readonly kind: 'drain'; readonly token: string; readonly schedulerId: SchedulerId }
  | { readonly kind: 'metrics' }
  | { readonly kind: 'health' };

/** What the gate answers to a call. */
export interface GateAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer | string;
  readonly headers: Readonly<Record<string, string>>;
}

/** Which call to a scheduler a result belongs to. */
export type GateOrigin =
  | { readonly kind: 'routes'; readonly address: string; readonly sentMs: number }
  | { readonly kind: 'config' }
  | { readonly kind: 'forward'; readonly callId: number; readonly attempt: number }
  | { readonly kind: 'gather'; readonly callId: number; readonly memberId: MemberId }
  | { readonly kind: 'oneWay' };

/** Everything that can happen to a gate. */
export type GateEvent =
  | { readonly kind: 'tick'; readonly nowMs: number }
  | {
      readonly kind: 'arrived';
      readonly nowMs: number;
      readonly callId: number;
      readonly call: GateCall;
    }
  | { readonly kind: 'callerGone'; readonly nowMs: number; readonly callId: number }
  | {
      readonly kind: 'schedulerReplied';
      readonly nowMs: number;
      readonly origin: GateOrigin;
      readonly result: RpcResult<unknown>;
    }
  | { readonly kind: 'drainRequested'; readonly nowMs: number };

/** Everything that a gate's reducer can want done. */
export type GateEffect =
  | {
      readonly kind: 'callScheduler';
      readonly origin: GateOrigin;
      readonly address: string;
      readonly call: SchedulerCall;
      readonly timeoutMs: number;
    }
  | { readonly kind: 'respond'; readonly callId: number; readonly answer: GateAnswer }
  | { readonly kind: 'count'; readonly name: string }
  | { readonly kind: 'log'; readonly message: string; readonly detail: string };

/** What the gate knows of the schedulers. */
export interface GateView {
  readonly routes: Routes;
  readonly config: AcceptedConfig;
}

/** A parsed call or what was wrong with it. */
export type ParsedCall =
  | { readonly kind: 'call'; readonly call: GateCall }
  | { readonly kind: 'refused'; readonly diagnostic: Diagnostic };
