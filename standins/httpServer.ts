/** JSON over HTTP server of the stand-in processes. */

import { HttpListener } from '../src/rpc/httpListener';
import type { HttpRequest, HttpResponse } from '../src/rpc/httpListener';

const MAX_BODY_BYTES = 67_108_864;
const BODY_TIMEOUT_MS = 10_000;

/**
 * Builds a JSON response.
 * @param value - value to serialize
 * @param status - HTTP status
 * @returns the response
 */
export function createJsonResponse(value: unknown, status = 200): HttpResponse {
  return { status, contentType: 'application/json', body: JSON.stringify(value) };
}

/**
 * Starts an HTTP server that passes parsed JSON bodies to a handler.
 * @param host - IP address to listen on
 * @param port - port to listen on
 * @param handle - handles a request, given its path and parsed body; an empty body is passed as null
 * @returns the listener
 */
export async function listenJson(
  host: string,
  port: number,
  handle: (path: string, value: unknown, request: HttpRequest) => Promise<HttpResponse>,
): Promise<HttpListener> {
  const listener = new HttpListener(
    {
      async handle(request) {
        const text = request.body.toString('utf8');
        return handle(request.path, text === '' ? null : JSON.parse(text), request);
      },
      refuse: () => createJsonResponse({}, 400),
    },
    { maxBodyBytes: MAX_BODY_BYTES, bodyTimeoutMs: BODY_TIMEOUT_MS },
  );
  await listener.listen(host, port);
  return listener;
}
