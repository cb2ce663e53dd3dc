/** A row store by the platform's published protocol: transactions, ranges, a feed, and its faults. */

import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

const MAX_PAGE_ROWS = 500;

/** One row on the wire. */
export interface WireRow {
  readonly table: string;
  readonly part: string;
  readonly key: string;
  readonly value?: string;
  readonly ver?: number;
  readonly removed?: boolean;
}

/** How the store misbehaves. */
export type StoreFault = 'none' | 'refuses' | 'silent' | 'losesAnswers';

function toName({ table, part, key }: WireRow): string {
  return `${table}\n${part}\n${key}`;
}

async function readBody(message: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of message) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}

function send(response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(value));
}

/** Keeps rows in memory and answers over HTTP. */
export class RowStoreStandIn {
  #rows = new Map<string, WireRow>();

  #history = new Map<string, WireRow[]>();

  #version = 1;

  #server: Server;

  #waiting = new Set<() => void>();

  fault: StoreFault = 'none';

  /** Delay of each answer. */
  delayMs = 0;

  /** Changes up to this version are forgotten. */
  forgottenVersion = 0;

  constructor() {
    this.#server = createServer((message, response) => {
      this.#serve(message, response).catch(() => response.destroy());
    });
  }

  /** Rows of one table, decoded. */
  getRows(table: string): readonly { readonly key: string; readonly value: string }[] {
    return [...this.#rows.values()]
      .filter((row) => row.table === table)
      .map(({ key, value = '' }) => ({
        key,
        value: Buffer.from(value, 'base64').toString('utf8'),
      }));
  }

  /** Writes a row as the operator or a worker does. */
  put(table: string, key: string, value: unknown): void {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    this.#version += 1;
    this.#write({ table, part: '', key, value: Buffer.from(text).toString('base64') });
    this.#wake();
  }

  /** Removes a row as the operator does. */
  remove(table: string, key: string): void {
    this.#version += 1;
    this.#drop({ table, part: '', key });
    this.#wake();
  }

  /** Starts to listen; returns `ip:port`. */
  listen(): Promise<string> {
    return new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', () => {
        resolve(`127.0.0.1:${(this.#server.address() as AddressInfo).port}`);
      });
    });
  }

  /** Ends every connection. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #serve(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(message.url ?? '/', 'http://store');
    const body = await readBody(message);
    if (this.fault === 'silent') return;
    if (this.fault === 'refuses') {
      send(response, 503, {});
      return;
    }
    if (this.delayMs > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, this.delayMs);
      });
    }
    if (url.pathname === '/api/rows-tx') this.#transact(JSON.parse(body), response);
    else if (url.pathname === '/api/rows-get') this.#get(url.searchParams, response);
    else if (url.pathname === '/api/rows-feed') this.#feed(url.searchParams, response);
    else send(response, 404, {});
  }

  #transact(
    body: { precondition: WireRow[]; puts: WireRow[]; remove: WireRow[] },
    response: ServerResponse,
  ): void {
    const found = body.precondition.map((condition) => ({
      ...condition,
      ver: this.#rows.get(toName(condition))?.ver ?? 0,
    }));
    const isMet = body.precondition.every(({ ver }, index) => ver === found[index]?.ver);
    if (!isMet) {
      send(response, 412, { rows: found, ver: this.#version });
      return;
    }
    this.#version += 1;
    body.puts.forEach((row) => this.#write(row));
    body.remove.forEach((row) => this.#drop(row));
    this.#wake();
    if (this.fault === 'losesAnswers') return;
    send(response, 200, { ver: this.#version, 'now-ms': 0 });
  }

  #get(query: URLSearchParams, response: ServerResponse): void {
    const from = query.get('from') ?? '';
    const limit = Math.min(Number(query.get('limit') ?? MAX_PAGE_ROWS), MAX_PAGE_ROWS);
    const rows = [...this.#rows.values()]
      .filter((row) => row.table === query.get('table') && row.part === (query.get('part') ?? ''))
      .filter((row) => row.key >= from)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    const page = rows.slice(0, limit);
    send(response, 200, { rows: page, 'more-pages': rows.length > limit, ver: this.#version });
  }

  #feed(query: URLSearchParams, response: ServerResponse): void {
    const after = Number(query.get('after'));
    if (after < this.forgottenVersion) {
      send(response, 410, {});
      return;
    }
    const respond = (isLast: boolean) => {
      const rows = this.#getChanges(query.get('table') ?? '', after);
      if (rows.length === 0 && !isLast) return false;
      send(response, 200, { rows, ver: this.#version, 'now-ms': 0 });
      return true;
    };
    if (respond(false)) return;
    const wake = () => {
      if (respond(false)) this.#waiting.delete(wake);
    };
    this.#waiting.add(wake);
    const waitMs = Number(query.get('wait-ms') ?? 0);
    setTimeout(() => {
      if (this.#waiting.delete(wake)) respond(true);
    }, waitMs).unref();
  }

  #write(row: WireRow): void {
    const stored = { ...row, ver: this.#version };
    this.#rows.set(toName(row), stored);
    this.#note(stored);
  }

  #drop(row: WireRow): void {
    this.#rows.delete(toName(row));
    this.#note({ ...row, ver: this.#version, removed: true });
  }

  #note(change: WireRow): void {
    const history = this.#history.get(change.table) ?? [];
    history.push(change);
    this.#history.set(change.table, history);
  }

  /** Newest changes of a table; versions ascend. */
  #getChanges(table: string, after: number): readonly WireRow[] {
    const history = this.#history.get(table) ?? [];
    let position = history.length;
    while (position > 0 && (history[position - 1]?.ver ?? 0) > after) position -= 1;
    return history.slice(position);
  }

  #wake(): void {
    [...this.#waiting].forEach((wake) => wake());
  }
}
