/** Parses HTTP requests into typed calls and refuses malformed ones. */

import type { IncomingHttpHeaders } from 'node:http';
import { tryGetBearerToken } from '../config/keys';
import { tryParseChange } from '../config/sheetSchema';
import { tryParseJobSpec } from '../jobs/jobSchema';
import { MAX_WINDOW_MS } from '../requests/constants';
import { isUuidV7 } from '../requests/requestId';
import type { HttpRequest } from '../rpc/httpListener';
import { createDiagnostic } from '../types/diagnostics';
import type { Diagnostic } from '../types/diagnostics';
import { toId } from '../types/ids';
import type { JobId, QueueId, RequestId, SchedulerId } from '../types/ids';
import { fail, ok } from '../types/outcomes';
import type { Result } from '../types/outcomes';
import type { GateCall, ParsedCall } from './types';

const REQUEST_ID_PATTERN = /^[A-Za-z0-9._-]{1,128}$/;
const NAME_PATTERN = /^[A-Za-z0-9._-]{1,128}$/;

function refuse(diagnostic: Diagnostic): ParsedCall {
  return { kind: 'refused', diagnostic };
}

function accept(call: GateCall): ParsedCall {
  return { kind: 'call', call };
}

function getHeader(headers: IncomingHttpHeaders, name: string): string {
  const value = headers[name];
  return typeof value === 'string' ? value : '';
}

function tryParseJson(body: Buffer): Result<unknown> {
  try {
    return ok(JSON.parse(body.toString('utf8')));
  } catch {
    return fail(createDiagnostic('badJson'));
  }
}

function parseRequest(request: HttpRequest, token: string, queueId: string): ParsedCall {
  const { headers } = request;
  const requestId = getHeader(headers, 'request-id');
  const windowMs = Number(getHeader(headers, 'request-window-ms'));
  const idempotent = getHeader(headers, 'request-idempotent');
  const serviceName = getHeader(headers, 'request-service');
  if (!REQUEST_ID_PATTERN.test(requestId))
    return refuse(createDiagnostic('badHeader', 'Request-Id'));
  if (!Number.isInteger(windowMs) || windowMs < 1 || windowMs > MAX_WINDOW_MS) {
    return refuse(createDiagnostic('badHeader', 'Request-Window-Ms'));
  }
  if (!['true', 'false'].includes(idempotent)) {
    return refuse(createDiagnostic('badHeader', 'Request-Idempotent'));
  }
  if (serviceName !== '' && !NAME_PATTERN.test(serviceName)) {
    return refuse(createDiagnostic('badHeader', 'Request-Service'));
  }
  const isIdempotent = idempotent === 'true';
  // After a takeover, the new home scheduler needs the issue time that a UUIDv7 contains.
  if (!isIdempotent && !isUuidV7(requestId)) {
    return refuse(createDiagnostic('badRequestId'));
  }
  return accept({
    kind: 'request',
    token,
    queueId: toId<QueueId>(queueId),
    // UUIDs are case-insensitive, and the choice of the home shard must not depend on the case.
    requestId: toId<RequestId>(isIdempotent ? requestId : requestId.toLowerCase()),
    windowMs,
    isIdempotent,
    serviceName,
    contentType: getHeader(headers, 'content-type') || 'application/octet-stream',
    body: request.body,
  });
}

function parseJobCall(request: HttpRequest, token: string, jobIdText: string): ParsedCall {
  const jobId = toId<JobId>(jobIdText);
  if (request.method === 'GET' && jobIdText !== '') return accept({ kind: 'getJob', token, jobId });
  if (request.method === 'GET') return accept({ kind: 'listJobs', token });
  if (request.method === 'DELETE' && jobIdText !== '') {
    return accept({ kind: 'cancelJob', token, jobId });
  }
  if (request.method !== 'POST' || jobIdText !== '') return refuse(createDiagnostic('unknownPath'));
  const json = tryParseJson(request.body);
  if (json.kind === 'error') return refuse(json.diagnostic);
  const spec = tryParseJobSpec(json.value);
  if (spec.kind === 'error') return refuse(spec.diagnostic);
  return accept({ kind: 'submitJob', token, spec: spec.value });
}

function parseOperatorCall(request: HttpRequest, token: string, path: string): ParsedCall {
  if (request.method === 'GET' && path === 'config') return accept({ kind: 'getConfig', token });
  if (request.method === 'GET' && path === 'state') return accept({ kind: 'dumpState', token });
  if (request.method !== 'POST') return refuse(createDiagnostic('unknownPath'));
  if (path.startsWith('drain/')) {
    const schedulerId = toId<SchedulerId>(path.slice('drain/'.length));
    return accept({ kind: 'drain', token, schedulerId });
  }
  if (path !== 'config/changes') return refuse(createDiagnostic('unknownPath'));
  const json = tryParseJson(request.body);
  if (json.kind === 'error') return refuse(json.diagnostic);
  const change = tryParseChange(json.value);
  if (change.kind === 'error') return refuse(change.diagnostic);
  const operationId = getHeader(request.headers, 'idempotency-key');
  if (operationId !== '' && !NAME_PATTERN.test(operationId)) {
    return refuse(createDiagnostic('badHeader', 'idempotency-key'));
  }
  return accept({ kind: 'changeConfig', token, change: change.value, operationId });
}

/**
 * Parses one HTTP request.
 * @param request - the request with its complete body
 * @returns the typed call, or a diagnostic
 */
export function parseCall(request: HttpRequest): ParsedCall {
  const [, version = '', resource = '', name = '', ...rest] = request.path.split('/');
  if (request.path === '/metrics') return accept({ kind: 'metrics' });
  if (request.path === '/health') return accept({ kind: 'health' });
  if (version !== 'v1') return refuse(createDiagnostic('unknownPath'));
  const token = tryGetBearerToken(request.headers.authorization) ?? '';
  switch (resource) {
    case 'queues':
      if (request.method !== 'POST' || rest.join('/') !== 'requests' || !NAME_PATTERN.test(name)) {
        return refuse(createDiagnostic('unknownPath'));
      }
      return parseRequest(request, token, name);
    case 'jobs':
      if (rest.length > 0 || (name !== '' && !NAME_PATTERN.test(name))) {
        return refuse(createDiagnostic('unknownPath'));
      }
      return parseJobCall(request, token, name);
    case 'operator':
      return parseOperatorCall(request, token, [name, ...rest].join('/'));
    default:
      return refuse(createDiagnostic('unknownPath'));
  }
}
