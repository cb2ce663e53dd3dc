/** HTTP server with a single handler, buffered and bounded request bodies, and graceful shutdown. */

import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { createDiagnostic } from '../types/diagnostics';
import type { Diagnostic } from '../types/diagnostics';
import { BodyBuffer } from './bodyBuffer';
import type { ClientLimit } from './budgetShare';
import { ClientConnection } from './clientConnection';
import type { ConnectionContext, OpenRequest } from './clientConnection';
import { ConnectionBudget } from './connectionBudget';
import { InputTurns } from './inputTurns';

const BASE_URL = 'http://localhost';
const HTTP_1_1 = '1.1';

const DEFAULT_MAX_HEAD_BYTES = 16_384;
const DEFAULT_HEAD_TIMEOUT_MS = 10_000;
const DEFAULT_RESPONSE_TIMEOUT_MS = 30_000;
const DEFAULT_MAX_HEADERS = 200;

/** Interval at which time limits are checked, at most; a quarter of the time limit of bodies if that is shorter. */
const CHECK_INTERVAL_MS = 500;

/** Limit of Node.js on the time for a whole request, which the listener's own limits come before. */
const BACKSTOP_MS = 60_000;

/**
 * Memory of a body at the handler beside the body itself, relative to its size: its text and what is decoded from it.
 * Submissions of 1,000 steps with all fields took 3.0 times their size.
 */
const HANDLER_COPIES = 3;

/** Limits that the parser of Node.js reports, by error code. */
const PARSER_LIMITS: Readonly<Record<string, ClientLimit>> = {
  HPE_HEADER_OVERFLOW: 'head_bytes',
  ERR_HTTP_REQUEST_TIMEOUT: 'head_time',
};

/** A request with its complete body. */
export interface HttpRequest {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: IncomingMessage['headers'];
  readonly body: Buffer;
  /** Aborts when the caller disconnects before the response was sent. */
  readonly disconnectSignal: AbortSignal;
  /** Checks whether the caller has closed its side of the connection, as far as that has been read. */
  readonly isClientGone?: () => boolean;
  /** Counts memory that the handler takes beside some copies of the body, until it has answered. */
  readonly countMemory?: (bytes: number) => void;
}

export interface HttpResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer | string;
  readonly headers?: Readonly<Record<string, string>>;
}

export interface ListenerLimits {
  readonly maxBodyBytes: number;
  readonly bodyTimeoutMs: number;
  /** Maximum total size of the bodies of all open requests; unlimited when omitted. */
  readonly maxBufferedBytes?: number;
  /** Idle connections are closed after this time; the default of Node.js applies when omitted. */
  readonly idleTimeoutMs?: number;
  /** Limit of the head of a request, and of the trailers of its body. */
  readonly maxHeadBytes?: number;
  readonly maxHeaders?: number;
  readonly headTimeoutMs?: number;
  /** Time for a client to take a response. */
  readonly responseTimeoutMs?: number;
  /** Limit of the input of one connection, which is closed with its next response; unlimited when omitted. */
  readonly maxInputBytesPerSecond?: number;
  /** Number of connections that may wait to be accepted; the default of Node.js, 511, when omitted. */
  readonly listenBacklog?: number;
}

/** Answers requests. `refuse` is called instead of `handle` when the request could not be read. */
export interface HttpHandler {
  handle(request: HttpRequest): Promise<HttpResponse>;
  refuse(diagnostic: Diagnostic): HttpResponse;
}

function writeError(error: unknown): void {
  const text = error instanceof Error ? error.stack : String(error);
  process.stderr.write(`request not answered because of an unexpected error: ${text}\n`);
}

function send(
  response: ServerResponse,
  answer: HttpResponse,
  body: Buffer,
  isClosing: boolean,
): void {
  if (response.destroyed || response.writableEnded) return;
  response.writeHead(answer.status, {
    'content-type': answer.contentType,
    'content-length': body.length,
    ...(isClosing ? { connection: 'close' } : {}),
    ...answer.headers,
  });
  response.end(body);
}

/** Serves HTTP on one address. */
export class HttpListener {
  #handler: HttpHandler;

  #bodies: BodyBuffer;

  #server: Server;

  #openCount = 0;

  #isClosing = false;

  #onError: (error: unknown) => void;

  #budget: ConnectionBudget;

  #maxHeaders: number;

  #context: ConnectionContext;

  #connections = new Map<Socket, ClientConnection>();

  #checkIntervalMs: number;

  #checkTimer: NodeJS.Timeout | undefined;

  #listenBacklog: number | undefined;

  /**
   * @param handler - answers each request
   * @param limits - limits of requests and idle connections
   * @param onError - called with an unexpected error; the request is answered as one whose outcome is unknown
   * @param budget - limits of all connections together, shared by the listeners of a process; unlimited when omitted
   */
  constructor(
    handler: HttpHandler,
    limits: ListenerLimits,
    onError: (error: unknown) => void = writeError,
    budget: ConnectionBudget = new ConnectionBudget({
      maxConnections: Number.POSITIVE_INFINITY,
      maxHeldBytes: Number.POSITIVE_INFINITY,
    }),
  ) {
    this.#handler = handler;
    this.#onError = onError;
    this.#budget = budget;
    this.#bodies = new BodyBuffer(limits);
    this.#maxHeaders = limits.maxHeaders ?? DEFAULT_MAX_HEADERS;
    this.#listenBacklog = limits.listenBacklog;
    const { bodyTimeoutMs, responseTimeoutMs = DEFAULT_RESPONSE_TIMEOUT_MS } = limits;
    const { maxInputBytesPerSecond = Number.POSITIVE_INFINITY } = limits;
    this.#checkIntervalMs = Math.min(CHECK_INTERVAL_MS, Math.ceil(bodyTimeoutMs / 4));
    this.#context = {
      ...{ budget, bodies: this.#bodies, turns: new InputTurns() },
      limits: { maxInputBytesPerSecond, bodyTimeoutMs, responseTimeoutMs },
      serve: (connection, request) => {
        this.#serve(connection, request).catch((error: unknown) => this.#onError(error));
      },
    };
    this.#server = this.#createServer(limits);
  }

  /** Number of requests that have not been answered yet. */
  get openCount(): number {
    return this.#openCount;
  }

  /** Total body size of the requests that have not been answered yet. */
  get bufferedBytes(): number {
    return this.#bodies.totalBytes;
  }

  /**
   * Starts listening.
   * @param host - IP address
   * @param port - port; 0 selects a free one
   * @returns the port in use
   */
  listen(host: string, port: number): Promise<number> {
    this.#checkTimer = setInterval(() => this.#checkTimes(), this.#checkIntervalMs).unref();
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      const backlog = this.#listenBacklog;
      this.#server.listen({ port, host, ...(backlog === undefined ? {} : { backlog }) }, () => {
        resolve((this.#server.address() as AddressInfo).port);
      });
    });
  }

  /** Makes each connection close after its next response. New connections are still accepted. */
  beginDrain(): void {
    this.#isClosing = true;
  }

  /** Stops accepting connections. Open requests are still answered; each response closes its connection. */
  stopAccepting(): void {
    this.#isClosing = true;
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  /** Closes all connections immediately. */
  closeAll(): void {
    this.stopAccepting();
    this.#server.closeAllConnections();
    clearInterval(this.#checkTimer);
  }

  #createServer(limits: ListenerLimits): Server {
    const headTimeoutMs = limits.headTimeoutMs ?? DEFAULT_HEAD_TIMEOUT_MS;
    const server = createServer({
      maxHeaderSize: limits.maxHeadBytes ?? DEFAULT_MAX_HEAD_BYTES,
      headersTimeout: headTimeoutMs,
      requestTimeout: headTimeoutMs + limits.bodyTimeoutMs + BACKSTOP_MS,
      connectionsCheckingInterval: CHECK_INTERVAL_MS,
      keepAlive: true,
      // Node.js would answer a request without a host by itself, so that it would not be counted.
      requireHostHeader: false,
      ...(limits.idleTimeoutMs === undefined ? {} : { keepAliveTimeout: limits.idleTimeoutMs }),
    });
    server.maxHeadersCount = this.#maxHeaders;
    server.on('connection', (socket) => this.#accept(socket));
    const begin = (message: IncomingMessage, response: ServerResponse) =>
      this.#connections.get(message.socket)?.begin(message, response);
    server.on('request', begin);
    server.on('checkExpectation', begin);
    server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      const connection = this.#connections.get(socket as Socket);
      // A connection that was reset has met no limit.
      const isParserError = error.code !== undefined && /^(HPE|ERR_HTTP)_/.test(error.code);
      if (connection !== undefined && isParserError)
        this.#budget.report(PARSER_LIMITS[error.code ?? ''] ?? 'malformed', connection.address);
      socket.destroy();
    });
    return server;
  }

  #accept(socket: Socket): void {
    this.#connections.set(socket, new ClientConnection(socket, this.#context));
    socket.once('close', () => this.#connections.delete(socket));
  }

  #checkTimes(): void {
    const nowMs = performance.now();
    this.#connections.forEach((connection) => connection.checkTime(nowMs));
  }

  async #serve(connection: ClientConnection, request: OpenRequest): Promise<void> {
    this.#openCount += 1;
    const { message, response, body } = request;
    try {
      const answer = await this.#getAnswer(connection, request).catch((error: unknown) => {
        this.#onError(error);
        return this.#handler.refuse(createDiagnostic('outcomeUnknown'));
      });
      // `complete` is only meaningful after the body has been read.
      const isComplete = message.complete && !body.isAborted;
      const isClosing = this.#isClosing || !isComplete || connection.isInputTooFast;
      const content = typeof answer.body === 'string' ? Buffer.from(answer.body) : answer.body;
      connection.beginResponse(body, content.length, isClosing);
      send(response, answer, content, isClosing);
      if (!isComplete) response.once('finish', () => message.destroy());
    } finally {
      body.release();
      this.#openCount -= 1;
    }
  }

  async #getAnswer(connection: ClientConnection, request: OpenRequest): Promise<HttpResponse> {
    const { message, response } = request;
    const isHeadBad = this.#isHeadBad(message, connection);
    const body = await request.body.result;
    if (body.kind === 'error') {
      if (body.diagnostic.name === 'bodyTooLarge')
        this.#budget.report('body_bytes', connection.address);
      return this.#handler.refuse(body.diagnostic);
    }
    if (isHeadBad) return this.#handler.refuse(createDiagnostic('badHeader'));
    if (!URL.canParse(message.url ?? '/', BASE_URL)) {
      return this.#handler.refuse(createDiagnostic('unknownPath'));
    }
    if (!connection.tryHand(request.body, HANDLER_COPIES * body.value.length)) {
      return this.#handler.refuse(createDiagnostic('overloaded'));
    }
    const disconnectController = new AbortController();
    response.on('close', () => {
      if (!response.writableFinished) disconnectController.abort();
    });
    const url = new URL(message.url ?? '/', BASE_URL);
    return this.#handler.handle({
      method: message.method ?? 'GET',
      path: url.pathname,
      query: url.searchParams,
      headers: message.headers,
      body: body.value,
      disconnectSignal: disconnectController.signal,
      isClientGone: () => message.socket.readableEnded || message.socket.destroyed,
      countMemory: (bytes) => connection.addHandlerBytes(bytes),
    });
  }

  /** Node.js leaves out headers beyond the limit, so that the rest cannot be relied on. */
  #isHeadBad(message: IncomingMessage, { address }: ClientConnection): boolean {
    const { headers, rawHeaders, httpVersion } = message;
    const isCountExceeded = rawHeaders.length / 2 >= this.#maxHeaders;
    if (isCountExceeded) this.#budget.report('header_count', address);
    const isHostMissing = httpVersion === HTTP_1_1 && headers.host === undefined;
    const isUnknownExpectation =
      headers.expect !== undefined && !/(?:^|\W)100-continue(?:$|\W)/i.test(headers.expect);
    return isCountExceeded || isHostMissing || isUnknownExpectation;
  }
}
