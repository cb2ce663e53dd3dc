/** Renders outcomes and diagnostics as HTTP responses. */

import { Diagnostics } from '../types/diagnostics';
import type { Diagnostic } from '../types/diagnostics';
import { assertNever } from '../types/debug';
import type { RequestOutcome, Result } from '../types/outcomes';
import type { GateResponse } from './types';

const JSON_TYPE = 'application/json';

/**
 * Renders a value as JSON.
 * @param value - value of the response body
 * @param status - HTTP status
 * @param headers - additional headers
 * @returns the response
 */
export function renderJson(
  value: unknown,
  status = 200,
  headers: Readonly<Record<string, string>> = {},
): GateResponse {
  return { status, contentType: JSON_TYPE, body: JSON.stringify(value), headers };
}

/**
 * Renders a diagnostic with its stable code.
 * @param diagnostic - the diagnostic
 * @param outcome - value of the `Request-Outcome` header, empty to omit it
 * @returns the response
 */
export function renderDiagnostic(diagnostic: Diagnostic, outcome = ''): GateResponse {
  const { code, httpStatus, message } = Diagnostics[diagnostic.name];
  const body = { code, name: diagnostic.name, message, detail: diagnostic.detail ?? '' };
  const headers: Record<string, string> = outcome === '' ? {} : { 'request-outcome': outcome };
  return renderJson(body, httpStatus, headers);
}

/**
 * Renders a result.
 * @param result - a value or a diagnostic
 * @returns the value as JSON, or the diagnostic
 */
export function renderResult(result: Result<unknown>): GateResponse {
  if (result.kind === 'error') return renderDiagnostic(result.diagnostic);
  return renderJson(result.value);
}

/**
 * Renders the outcome of a request.
 * @param outcome - final outcome of the request
 * @returns the target's response, or a diagnostic
 */
export function renderOutcome(outcome: RequestOutcome): GateResponse {
  switch (outcome.kind) {
    case 'answered':
      return {
        status: outcome.status,
        contentType: outcome.contentType,
        body: Buffer.from(outcome.bodyBase64, 'base64'),
        headers: { 'request-outcome': 'answered', 'target-id': outcome.targetId },
      };
    case 'refusedNotRun': {
      const { reason, detail } = outcome;
      const diagnostic = detail === undefined ? { name: reason } : { name: reason, detail };
      return renderDiagnostic(diagnostic, 'refused-not-run');
    }
    case 'duplicateRunning':
      return renderDiagnostic({ name: 'duplicateRunning' }, 'duplicate-running');
    case 'alreadyRan': {
      const detail = `status ${outcome.status}`;
      return renderDiagnostic({ name: 'alreadyRan', detail }, 'already-ran');
    }
    case 'failed':
      return renderDiagnostic({ name: 'failedAfterStart', detail: outcome.detail }, 'failed');
    case 'unknown':
      return renderDiagnostic({ name: 'outcomeUnknown', detail: outcome.detail }, 'unknown');
    default:
      return assertNever(outcome);
  }
}
