/** Fake row store with the HTTP protocol of the platform: transactions, range reads and a change feed, with faults. */

import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

const MAX_PAGE_ROWS = 500;

/** A row as transferred in JSON. */
export interface WireRow {
  readonly table: string;
  readonly part: string;
  readonly key: string;
  readonly value?: string;
  readonly ver?: number;
  readonly removed?: boolean;
}

/** Injected fault: respond with 503, never respond, or commit transactions without responding. */
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

/** Row store that keeps its rows in memory and serves them over HTTP. */
export class RowStoreStandIn {
  #rows = new Map<string, WireRow>();

  #history = new Map<string, WireRow[]>();

  #version = 1;

  #server: Server;

  #waiting = new Set<() => void>();

  fault: StoreFault = 'none';

  /** Delay of each response. */
  delayMs = 0;

  /** The feed answers 410 when asked for changes after a version below this one. */
  forgottenVersion = 0;

  constructor() {
    this.#server = createServer((message, response) => {
      this.#serve(message, response).catch(() => response.destroy());
    });
  }

  /** Returns the rows of one table with decoded values. */
  getRows(table: string): readonly { readonly key: string; readonly value: string }[] {
    return [...this.#rows.values()]
      .filter((row) => row.table === table)
      .map(({ key, value = '' }) => ({
        key,
        value: Buffer.from(value, 'base64').toString('utf8'),
      }));
  }

  /** Writes a row on behalf of an operator or a worker. */
  put(table: string, key: string, value: unknown): void {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    this.#version += 1;
    this.#write({ table, part: '', key, value: Buffer.from(text).toString('base64') });
    this.#wake();
  }

  /** Removes a row on behalf of an operator. */
  remove(table: string, key: string): void {
    this.#version += 1;
    this.#drop({ table, part: '', key });
    this.#wake();
  }

  /** Starts listening on a free port and returns its `ip:port`. */
  listen(): Promise<string> {
    return new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', () => {
        resolve(`127.0.0.1:${(this.#server.address() as AddressInfo).port}`);
      });
    });
  }

  /** Stops listening and closes all connections. */
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

  /** Returns the changes of a table after a version, in ascending order of versions. */
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
