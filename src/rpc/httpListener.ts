/** A small HTTP server: whole bodies within a size and a time, one handler, a graceful stop. */

import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { createDiagnostic } from '../types/diagnostics';
import type { Diagnostic } from '../types/diagnostics';
import { BodyBuffer } from './bodyBuffer';

const MAX_HEADER_BYTES = 16_384;
const HEADERS_TIMEOUT_MS = 10_000;
const BASE_URL = 'http://localhost';

/** One request with its whole body. */
export interface HttpRequest {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: IncomingMessage['headers'];
  readonly body: Buffer;
  /** Aborts when the caller goes away before its answer. */
  readonly gone: AbortSignal;
}

/** What to answer. */
export interface HttpResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer | string;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Limits of a listener. */
export interface ListenerLimits {
  readonly maxBodyBytes: number;
  readonly bodyTimeoutMs: number;
  /** Bodies of all requests that are not answered yet, without a limit when left out. */
  readonly maxBufferedBytes?: number;
  /** Idle connections are closed after this; Node's own default when left out. */
  readonly idleTimeoutMs?: number;
}

/** Answers requests, also those whose body never became whole. */
export interface HttpHandler {
  handle(request: HttpRequest): Promise<HttpResponse>;
  refuse(diagnostic: Diagnostic): HttpResponse;
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

/** Listens on one address. */
export class HttpListener {
  #handler: HttpHandler;

  #bodies: BodyBuffer;

  #server: Server;

  #openCount = 0;

  #isClosing = false;

  /**
   * @param handler - answers each request
   * @param limits - of each body
   */
  constructor(handler: HttpHandler, limits: ListenerLimits) {
    this.#handler = handler;
    this.#bodies = new BodyBuffer(limits);
    this.#server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MS,
      keepAlive: true,
      ...(limits.idleTimeoutMs === undefined ? {} : { keepAliveTimeout: limits.idleTimeoutMs }),
    });
    this.#server.on('request', (message, response) => {
      this.#serve(message, response).catch((error: unknown) => {
        process.emit(
          'uncaughtException',
          error instanceof Error ? error : new Error(String(error)),
        );
      });
    });
    this.#server.on('clientError', (_error, socket) => socket.destroy());
  }

  /** Requests that are not answered yet. */
  get openCount(): number {
    return this.#openCount;
  }

  /** Bytes of the bodies of requests that are not answered yet. */
  get bufferedBytes(): number {
    return this.#bodies.totalBytes;
  }

  /**
   * Starts to listen.
   * @param host - IP number
   * @param port - port, 0 for any free one
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

  /** Closes each connection with its next answer; new ones are still accepted. */
  beginDrain(): void {
    this.#isClosing = true;
  }

  /** Stops accepting connections; answers still go out, each closing its connection. */
  stopAccepting(): void {
    this.#isClosing = true;
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  /** Ends every connection at once. */
  closeAll(): void {
    this.stopAccepting();
    this.#server.closeAllConnections();
  }

  async #serve(message: IncomingMessage, response: ServerResponse): Promise<void> {
    this.#openCount += 1;
    try {
      const answer = await this.#getAnswer(message, response);
      // Whether the body became whole is known only once it was read.
      const isWhole = message.complete;
      send(response, answer, this.#isClosing || !isWhole);
      if (!isWhole) response.once('finish', () => message.destroy());
    } finally {
      this.#bodies.release(message);
      this.#openCount -= 1;
    }
  }

  async #getAnswer(message: IncomingMessage, response: ServerResponse): Promise<HttpResponse> {
    const body = await this.#bodies.read(message);
    if (body.kind === 'error') return this.#handler.refuse(body.diagnostic);
    const gone = new AbortController();
    response.on('close', () => {
      if (!response.writableFinished) gone.abort();
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
      gone: gone.signal,
    });
  }
}
