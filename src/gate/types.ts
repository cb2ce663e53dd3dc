/** Calls to the gate, and the events and effects of its reducer. */

import type { AcceptedConfig, ConfigChange } from '../config/types';
import type { JobSpec } from '../jobs/types';
import type { RpcResult, Routes, SchedulerCall } from '../rpc/types';
import type { Diagnostic } from '../types/diagnostics';
import type { JobId, MemberId, QueueId, RequestId, SchedulerId } from '../types/ids';

/** A parsed call whose key and queue have not been checked. */
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
      /**
       * Idempotency key from the operator, so that a repeated change is applied once; empty to
       * generate one.
       */
      readonly operationId: string;
    }
  | { readonly kind: 'dumpState'; readonly token: string }
  | { readonly kind: 'drain'; readonly token: string; readonly schedulerId: SchedulerId }
  | { readonly kind: 'metrics' }
  | { readonly kind: 'health' };

/** Response of the gate to a call. */
export interface GateResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer | string;
  readonly headers: Readonly<Record<string, string>>;
}

/** Identifies the scheduler call that a result belongs to. */
export type GateOrigin =
  | { readonly kind: 'routes'; readonly address: string; readonly sentMs: number }
  | { readonly kind: 'config' }
  | { readonly kind: 'forward'; readonly callId: number; readonly attempt: number }
  | { readonly kind: 'gather'; readonly callId: number; readonly memberId: MemberId }
  | { readonly kind: 'oneWay' };

/** Event that the gate's reducer handles. */
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

/** Effect that the gate's reducer requests. */
export type GateEffect =
  | {
      readonly kind: 'callScheduler';
      readonly origin: GateOrigin;
      readonly address: string;
      readonly call: SchedulerCall;
      readonly timeoutMs: number;
    }
  | { readonly kind: 'respond'; readonly callId: number; readonly answer: GateResponse }
  | { readonly kind: 'count'; readonly name: string }
  | { readonly kind: 'log'; readonly message: string; readonly detail: string };

/** Routes and configuration known to the gate. */
export interface GateView {
  readonly routes: Routes;
  readonly config: AcceptedConfig;
}

/** A parsed call, or a diagnostic. */
export type ParsedCall =
  | { readonly kind: 'call'; readonly call: GateCall }
  | { readonly kind: 'refused'; readonly diagnostic: Diagnostic };
