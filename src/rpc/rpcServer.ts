/** Answers JSON-RPC 2.0 calls on an HTTP listener. */

import { createJSONRPCErrorResponse, isJSONRPCRequest, JSONRPCServer } from 'json-rpc-2.0';
import { Diagnostics } from '../types/diagnostics';
import { tryParseJson } from '../types/json';
import type { HttpHandler, HttpRequest, HttpResponse } from './httpListener';
import { RPC_PATH } from './rpcClient';
import type { SchedulerCall } from './types';

const PARSE_ERROR_CODE = -32_700;
const INVALID_REQUEST_CODE = -32_600;

/** Supported methods. Calls of other methods are answered with the JSON-RPC error for unknown methods. */
const METHODS: readonly SchedulerCall['kind'][] = [
  'heartbeat',
  'getRoutes',
  'getConfig',
  'offerConfig',
  'changeConfig',
  'startRequest',
  'cancelRequest',
  'submitJob',
  'getJob',
  'listJobs',
  'cancelJob',
  'askTasks',
  'tellTasks',
  'dumpState',
  'drain',
];

/** Answers HTTP requests outside of the RPC path, such as the metrics page. */
export type NonRpcHandler = (request: HttpRequest) => HttpResponse;

function createJsonResponse(status: number, value: unknown): HttpResponse {
  return { status, contentType: 'application/json', body: JSON.stringify(value) };
}

function createErrorResponse(code: number, message: string): HttpResponse {
  return createJsonResponse(200, createJSONRPCErrorResponse(null, code, message));
}

/**
 * Creates the HTTP handler of a scheduler.
 * @param handleCall - answers RPC calls
 * @param handleNonRpc - answers requests outside of the RPC path
 * @returns the handler
 */
export function createRpcHandler(
  handleCall: (call: SchedulerCall) => Promise<unknown>,
  handleNonRpc: NonRpcHandler,
): HttpHandler {
  const server = new JSONRPCServer({ errorListener: () => undefined });
  METHODS.forEach((method) => {
    server.addMethod(method, (params: object) =>
      handleCall({ ...params, kind: method } as SchedulerCall),
    );
  });
  return {
    async handle(request) {
      if (request.path !== RPC_PATH) return handleNonRpc(request);
      const message = tryParseJson(request.body.toString('utf8'));
      if (message === undefined)
        return createErrorResponse(PARSE_ERROR_CODE, Diagnostics.badJson.code);
      if (!isJSONRPCRequest(message)) {
        return createErrorResponse(INVALID_REQUEST_CODE, Diagnostics.badBody.code);
      }
      return createJsonResponse(200, await server.receive(message));
    },
    refuse(diagnostic) {
      const { httpStatus, code } = Diagnostics[diagnostic.name];
      return createJsonResponse(httpStatus, { code, detail: diagnostic.detail ?? '' });
    },
  };
}
