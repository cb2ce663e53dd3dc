/** HTTP server with a single handler, buffered and bounded request bodies, and graceful shutdown. */

import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { createDiagnostic } from '../types/diagnostics';
import type { Diagnostic } from '../types/diagnostics';
import { BodyBuffer } from './bodyBuffer';

const MAX_HEADER_BYTES = 16_384;
const HEADERS_TIMEOUT_MS = 10_000;
const BASE_URL = 'http://localhost';

/** A request with its complete body. */
export interface HttpRequest {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: IncomingMessage['headers'];
  readonly body: Buffer;
  /** Aborts when the caller disconnects before the response was sent. */
  readonly disconnectSignal: AbortSignal;
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

function send(response: ServerResponse, answer: HttpResponse, isClosing: boolean): void {
  if (response.destroyed || response.writableEnded) return;
  const body = typeof answer.body === 'string' ? Buffer.from(answer.body) : answer.body;
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

  /**
   * @param handler - answers each request
   * @param limits - limits of request bodies and idle connections
   * @param onError - called with an unexpected error; the request is answered as one whose outcome is unknown
   */
  constructor(
    handler: HttpHandler,
    limits: ListenerLimits,
    onError: (error: unknown) => void = writeError,
  ) {
    this.#handler = handler;
    this.#onError = onError;
    this.#bodies = new BodyBuffer(limits);
    this.#server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MS,
      keepAlive: true,
      ...(limits.idleTimeoutMs === undefined ? {} : { keepAliveTimeout: limits.idleTimeoutMs }),
    });
    this.#server.on('request', (message, response) => {
      this.#serve(message, response).catch((error: unknown) => this.#onError(error));
    });
    this.#server.on('clientError', (_error, socket) => socket.destroy());
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
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, () => {
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
  }

  async #serve(message: IncomingMessage, response: ServerResponse): Promise<void> {
    this.#openCount += 1;
    try {
      const answer = await this.#getAnswer(message, response).catch((error: unknown) => {
        this.#onError(error);
        return this.#handler.refuse(createDiagnostic('outcomeUnknown'));
      });
      // `complete` is only meaningful after the body has been read.
      const isComplete = message.complete;
      send(response, answer, this.#isClosing || !isComplete);
      if (!isComplete) response.once('finish', () => message.destroy());
    } finally {
      this.#bodies.release(message);
      this.#openCount -= 1;
    }
  }

  async #getAnswer(message: IncomingMessage, response: ServerResponse): Promise<HttpResponse> {
    const body = await this.#bodies.read(message);
    if (body.kind === 'error') return this.#handler.refuse(body.diagnostic);
    const disconnectController = new AbortController();
    response.on('close', () => {
      if (!response.writableFinished) disconnectController.abort();
    });
    if (!URL.canParse(message.url ?? '/', BASE_URL)) {
      return this.#handler.refuse(createDiagnostic('unknownPath'));
    }
    const url = new URL(message.url ?? '/', BASE_URL);
    return this.#handler.handle({
      method: message.method ?? 'GET',
      path: url.pathname,
      query: url.searchParams,
      headers: message.headers,
      body: body.value,
      disconnectSignal: disconnectController.signal,
    });
  }
}
