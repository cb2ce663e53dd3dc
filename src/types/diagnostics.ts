/** Every refusal and error that callers and operators can see. Codes are stable across versions. */

export interface DiagnosticRow {
  readonly code: string;
  readonly httpStatus: number;
  readonly message: string;
}

function row(code: string, httpStatus: number, message: string): DiagnosticRow {
  return { code, httpStatus, message };
}

/** All diagnostics by name. */
export const Diagnostics = {
  badJson: row('HW1001', 400, 'the body is not valid JSON'),
  badBody: row('HW1002', 400, 'the body does not match its schema'),
  bodyTooLarge: row('HW1003', 413, 'the body is larger than the limit'),
  badHeader: row('HW1004', 400, 'a header is missing or malformed'),
  unknownPath: row('HW1005', 404, 'no such path or method'),
  bodyTimeout: row('HW1006', 408, 'the body did not arrive within the time allowed'),
  badRequestId: row('HW1007', 400, 'a non-idempotent request needs a UUIDv7 as its id'),
  unauthorized: row('HW2001', 401, 'the key is unknown or withdrawn'),
  queueForbidden: row('HW2002', 403, "the queue does not take this team's work"),
  unknownQueue: row('HW2003', 404, 'no such queue'),
  operatorOnly: row('HW2004', 403, 'this call needs the operator token'),
  windowExpired: row('HW3001', 504, 'not run: the window passed before a start'),
  noCapacity: row('HW3002', 503, 'not run: no target can take it within the window'),
  limitReached: row('HW3003', 429, "not run: the team's upper limit is reached"),
  noOwner: row('HW3004', 503, 'not run: no scheduler owns a suitable target'),
  draining: row('HW3005', 503, 'not run: this process is stopping'),
  configStale: row('HW3006', 503, 'not run: the configuration could not be confirmed'),
  overloaded: row('HW3007', 503, 'not run: the expected wait passes the window'),
  unknownService: row('HW3008', 404, 'not run: no such service is running'),
  cancelled: row('HW3009', 499, 'not run: the caller cancelled or went away'),
  duplicateRunning: row('HW3010', 409, 'the request with this id is running'),
  targetRefused: row('HW3011', 503, 'not run: the target refused the start'),
  expectedLate: row('HW3012', 429, 'not accepted: it is expected to end too late to count'),
  tooManyCancellations: row(
    'HW3013',
    503,
    'not cancelled: too many cancellations of submissions that do not exist',
  ),
  failedAfterStart: row('HW4001', 502, 'the request started and its target failed'),
  outcomeUnknown: row('HW4002', 504, 'the request may have run; its answer is lost'),
  alreadyRan: row('HW4003', 409, 'the request has run; its answer is no longer kept'),
  unknownJob: row('HW5001', 404, 'no such job'),
  duplicateJob: row('HW5002', 409, 'a different job with this id exists'),
  jobUnplaceable: row('HW5003', 422, 'no target could ever run this job'),
  notDurable: row('HW5004', 503, 'not accepted: the job could not be made durable'),
  configConflict: row('HW6001', 409, 'the sheet is based on an older version'),
  configRefused: row('HW6002', 503, 'the configuration cannot be changed now'),
  unknownKey: row('HW6003', 404, 'no such key'),
  unknownDataCentre: row('HW6004', 404, 'no such data centre'),
  configUnknown: row('HW6005', 504, 'the change may take effect; repeat it under the same id'),
  badSettings: row('HW7001', 500, 'the settings file has mistakes'),
  badSheet: row('HW7002', 400, 'the sheet cannot be used'),
  badJob: row('HW7003', 400, 'the job description cannot be used'),
  internal: row('HW9001', 500, 'an internal error'),
} as const;

export type DiagnosticName = keyof typeof Diagnostics;

/** An occurrence of a diagnostic. */
export interface Diagnostic {
  readonly name: DiagnosticName;
  readonly detail?: string;
}

/**
 * Creates an occurrence of a diagnostic.
 * @param name - name in {@link Diagnostics}
 * @param detail - further information for the caller; must not contain secrets
 * @returns the occurrence
 */
export function createDiagnostic(name: DiagnosticName, detail?: string): Diagnostic {
  return detail === undefined ? { name } : { name, detail };
}
