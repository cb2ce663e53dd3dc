/**
 * A connection of a client. Passes the input to the parser of Node.js one request at a time: the next request is not
 * parsed before the response to the last one has been written. Input beyond that stays in its raw form, and beyond what
 * one read returns it stays in the kernel. Counts what the connection holds.
 */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { createDiagnostic } from '../types/diagnostics';
import type { BodyBuffer } from './bodyBuffer';
import { getContentLength } from './bodyRead';
import type { BodyRead } from './bodyRead';
import type { BudgetShare, ClientLimit } from './budgetShare';
import { releaseBuffer } from './bufferMemory';
import type { ConnectionBudget } from './connectionBudget';
import { HeldInput } from './heldInput';
import type { InputTurns } from './inputTurns';

/**
 * Memory of a request beside its head and body: message, response, body reader, promises. 1,500 connections with a
 * request at a handler took 11 KB of resident memory each more than idle ones.
 */
export const REQUEST_BYTES = 10_240;

/** Memory of a header beside its text: two strings, and the places in the arrays that hold them. */
const HEADER_BYTES = 96;

/** Headers are held as raw text, and a second time once they have been looked up. */
const HEAD_COPIES = 2;

const HEAD_END = '\r\n\r\n';

/** Input of a chunked body that is parsed at once. */
const CHUNKED_SLICE_BYTES = 4_096;

/** Memory of trailers relative to their text: the shortest take more, but the number of headers is limited. */
const TRAILER_COPIES = 4;

/** A paused socket still keeps what its next read returns, at most this. */
const READ_BYTES = 65_536;

/** Time over which the input of a connection is compared with `maxInputBytesPerSecond`. */
const INPUT_RATE_INTERVAL_MS = 1_000;

/** Limits of a connection. */
export interface ConnectionLimits {
  /**
   * Input in one second beyond which the connection is closed with its next response. The kernel enlarges the receive
   * buffer of a connection that is read fast, up to some megabytes that the client may fill later.
   */
  readonly maxInputBytesPerSecond: number;
  /** Time for the body of a request, from the end of its head. */
  readonly bodyTimeoutMs: number;
  /** Time for the client to take a response. */
  readonly responseTimeoutMs: number;
}

/** A request of the connection and its response. */
export interface OpenRequest {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: BodyRead;
}

/** What the connections of a listener share. */
export interface ConnectionContext {
  readonly budget: ConnectionBudget;
  readonly bodies: BodyBuffer;
  readonly turns: InputTurns;
  readonly limits: ConnectionLimits;
  /** Answers a request; the next one follows when its response has closed. */
  serve(connection: ClientConnection, request: OpenRequest): void;
}

type PendingRequest = Pick<OpenRequest, 'message' | 'response'>;

/** Holds back input and counts what is held. */
export class ClientConnection {
  #context: ConnectionContext;

  #socket: Socket;

  #parse: (input: Buffer) => void;

  #share: BudgetShare;

  /** Input that has not been parsed. */
  #input = new HeldInput();

  #countedInputBytes = 0;

  /** Input parsed since the last request began. */
  #headBytes = 0;

  #countedHeadBytes = 0;

  #request: OpenRequest | undefined;

  /** Requests whose heads were parsed in one slice with the end of the one before; at most one. */
  #queue: PendingRequest[] = [];

  /** Memory counted for the present request, beside its body. */
  #requestBytes = 0;

  #responseBytes = 0;

  /** Input since `#recentSinceMs`. */
  #recentInputBytes = 0;

  #recentSinceMs = 0;

  #isInputTooFast = false;

  #isHeld = false;

  #isTurnPending = false;

  /** The response will close the connection; further input is ignored. */
  #isDiscarding = false;

  /**
   * @param socket - the connection, which the HTTP server has already set up
   * @param context - what the connections of the listener share
   */
  constructor(socket: Socket, context: ConnectionContext) {
    this.#context = context;
    this.#socket = socket;
    this.#parse = this.#takeOverInput();
    const address = socket.remoteAddress ?? '';
    this.#share = context.budget.open(address, performance.now(), (limit) => this.#drop(limit));
    socket.once('close', () => this.#onClosed());
  }

  get address(): string {
    return this.#share.address;
  }

  /** Whether the client has sent more in a second than its limit. */
  get isInputTooFast(): boolean {
    return this.#isInputTooFast;
  }

  /**
   * Counts what a handler makes of a body.
   * @param body - the complete body
   * @param handlerBytes - memory that the handler takes beside the body
   * @returns whether the request may be handed on; when not, it has to be refused
   */
  tryHand(body: BodyRead, handlerBytes: number): boolean {
    this.#addRequestBytes(handlerBytes);
    if (this.#share.isClosed || this.#context.budget.isExceeded) return false;
    this.#share.stage = 'handed';
    this.#share.pin(this.#requestBytes + body.countedBytes);
    return true;
  }

  /**
   * Counts further memory that the handler takes for the request.
   * @param bytes - the memory
   */
  addHandlerBytes(bytes: number): void {
    if (this.#share.stage === 'handed') this.#share.addPinned(bytes);
  }

  /**
   * Replaces what the request holds by its response, which is sent now.
   * @param body - the body of the request
   * @param responseBytes - size of the response
   * @param isClosing - the connection closes after the response
   */
  beginResponse(body: BodyRead, responseBytes: number, isClosing: boolean): void {
    const share = this.#share;
    if (share.stage === 'handed') {
      share.unpin();
      share.add(body.countedBytes);
    } else share.add(-this.#requestBytes);
    this.#requestBytes = 0;
    body.release();
    if (isClosing) this.#discardInput();
    share.stage = 'answering';
    share.sinceMs = performance.now();
    this.#responseBytes = responseBytes;
    share.add(responseBytes);
  }

  /**
   * Called for each request that was parsed.
   * @param message - the request
   * @param response - its response
   */
  begin(message: IncomingMessage, response: ServerResponse): void {
    if (this.#request === undefined && this.#queue.length === 0) this.#start({ message, response });
    else this.#queue.push({ message, response });
  }

  /**
   * Ends what takes too long.
   * @param nowMs - the time
   */
  checkTime(nowMs: number): void {
    const { limits, budget } = this.#context;
    if (this.#request === undefined) return;
    const { stage, sinceMs } = this.#share;
    const ageMs = nowMs - sinceMs;
    if (stage === 'reading' && ageMs >= limits.bodyTimeoutMs && !this.#request.body.isSettled) {
      budget.report('body_time', this.address);
      this.#request.body.abort(createDiagnostic('bodyTimeout'));
    }
    if (stage === 'answering' && ageMs >= limits.responseTimeoutMs) {
      budget.report('response_time', this.address);
      this.#socket.destroy();
    }
  }

  /**
   * Takes the place of the server's listener, which keeps the server from reading the socket natively, in pieces of up
   * to 64 KB that may have thousands of requests.
   */
  #takeOverInput(): (input: Buffer) => void {
    const socket = this.#socket;
    const listeners = socket.listeners('data') as ((input: Buffer) => void)[];
    socket.on('data', (input: Buffer) => this.#receive(input));
    listeners.forEach((listener) => socket.removeListener('data', listener));
    // The server resumes the socket whenever a body is read on, also while input is held back.
    const resume = socket.resume.bind(socket);
    socket.resume = () => {
      if (!this.#isHeld) resume();
      return socket;
    };
    return (input) => listeners.forEach((listener) => listener.call(socket, input));
  }

  #receive(input: Buffer): void {
    if (this.#isDiscarding) {
      releaseBuffer(input);
      return;
    }
    this.#countInputRate(input.length);
    this.#input.add(input);
    this.#pump();
  }

  #countInputRate(bytes: number): void {
    const nowMs = performance.now();
    if (nowMs - this.#recentSinceMs >= INPUT_RATE_INTERVAL_MS) {
      this.#recentSinceMs = nowMs;
      this.#recentInputBytes = 0;
    }
    this.#recentInputBytes += bytes;
    const { budget, limits } = this.#context;
    if (this.#isInputTooFast || this.#recentInputBytes <= limits.maxInputBytesPerSecond) return;
    this.#isInputTooFast = true;
    budget.report('input_rate', this.address);
  }

  #pump(): void {
    let isOver = false;
    while (!isOver && !this.#input.isEmpty && this.#canParse()) {
      const request = this.#request;
      const isChunked = request !== undefined && this.#getMissingBytes(request.body) === undefined;
      this.#input.parseSlice(this.#getSliceBytes(), (slice) => this.#parseSlice(slice));
      isOver = isChunked && !this.#input.isEmpty;
    }
    if (isOver && this.#canParse()) this.#waitForTurn();
    this.#holdInput();
  }

  #waitForTurn(): void {
    this.#isTurnPending = true;
    this.#context.turns.add(this.#takeTurn);
  }

  #takeTurn = (): void => {
    this.#isTurnPending = false;
    const next = this.#request === undefined ? this.#queue.shift() : undefined;
    if (next !== undefined) this.#start(next);
    this.#pump();
  };

  #canParse(): boolean {
    if (this.#socket.destroyed || this.#isTurnPending) return false;
    if (this.#request === undefined) return this.#queue.length === 0;
    return this.#queue.length === 0 && !this.#request.message.complete;
  }

  #parseSlice(slice: Buffer): void {
    const { message, body } = this.#request ?? {};
    if (body === undefined) this.#headBytes += slice.length;
    const parsedBytes = body?.parsedBytes;
    this.#parse(slice);
    const isTrailer = message?.complete === false && body?.parsedBytes === parsedBytes;
    if (isTrailer) this.#addRequestBytes(TRAILER_COPIES * slice.length);
  }

  /** Number of bytes until the end of the body; undefined when that is not known. */
  #getMissingBytes(body: BodyRead): number | undefined {
    const message = this.#request?.message;
    const lengthBytes = (message && getContentLength(message)) ?? 0;
    const missingBytes = lengthBytes - body.parsedBytes;
    return missingBytes > 0 ? missingBytes : undefined;
  }

  /** Size of input that has the end of at most one request, so that no further ones are parsed with it. */
  #getSliceBytes(): number {
    const request = this.#request;
    const missingBytes = request && this.#getMissingBytes(request.body);
    if (missingBytes !== undefined) return missingBytes;
    const input = this.#input.first;
    const headEnd = input.indexOf(HEAD_END);
    const endBytes = headEnd < 0 ? input.length : headEnd + HEAD_END.length;
    return request === undefined ? endBytes : Math.min(endBytes, CHUNKED_SLICE_BYTES);
  }

  /** Pauses the socket while there is input that must not be parsed yet, and counts what is held. */
  #holdInput(): void {
    const isHeld = !this.#input.isEmpty && !this.#isDiscarding;
    if (isHeld !== this.#isHeld) {
      this.#isHeld = isHeld;
      if (isHeld) this.#socket.pause();
      else this.#socket.resume();
    }
    const inputBytes = this.#input.memoryBytes + (isHeld ? READ_BYTES : 0);
    const headBytes = this.#request === undefined ? HEAD_COPIES * this.#headBytes : 0;
    const change = inputBytes - this.#countedInputBytes + headBytes - this.#countedHeadBytes;
    this.#countedInputBytes = inputBytes;
    this.#countedHeadBytes = headBytes;
    this.#share.add(change);
  }

  #start({ message, response }: PendingRequest): void {
    const share = this.#share;
    const { bodies } = this.#context;
    share.stage = 'reading';
    share.sinceMs = performance.now();
    response.once('close', () => this.#onAnswered());
    const body = bodies.read(message, (bytes) => share.add(bytes));
    this.#request = { message, response, body };
    const headBytes = HEAD_COPIES * this.#headBytes + HEADER_BYTES * message.rawHeaders.length;
    this.#headBytes = 0;
    this.#addRequestBytes(REQUEST_BYTES + headBytes);
    body.reserve();
    this.#context.serve(this, this.#request);
  }

  #addRequestBytes(bytes: number): void {
    this.#requestBytes += bytes;
    this.#share.add(bytes);
  }

  #onAnswered(): void {
    this.#request = undefined;
    this.#share.add(-this.#responseBytes);
    this.#responseBytes = 0;
    this.#share.sinceMs = performance.now();
    if (this.#share.stage === 'answering') this.#share.stage = 'reading';
    // Without a turn, all requests of the held input would be answered before the event loop goes on.
    if (this.#queue.length > 0 || !this.#input.isEmpty) this.#waitForTurn();
  }

  #discardInput(): void {
    this.#isDiscarding = true;
    this.#input.clear();
    this.#queue = [];
    this.#holdInput();
  }

  /** Refuses a request that has not been handed on, or closes the connection. */
  #drop(limit: ClientLimit): void {
    const isReading = this.#request !== undefined && !this.#request.body.isSettled;
    if (limit === 'held_bytes' && isReading) {
      this.#request?.body.abort(createDiagnostic('overloaded'));
      this.#discardInput();
    } else this.#socket.destroy();
  }

  #onClosed(): void {
    this.#context.turns.remove(this.#takeTurn);
    this.#input.clear();
    this.#queue = [];
    this.#share.close();
  }
}
