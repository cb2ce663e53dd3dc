/** Fake row store with the HTTP protocol of the platform: transactions, range reads and a change feed, with faults. */

import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

const MAX_PAGE_ROWS = 500;

/** A steady clock with a zero point of its own. */
function getSteadyMs(): number {
  return Math.round(performance.now());
}

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

function toRowId({ table, part, key }: WireRow): string {
  return `${table}\n${part}\n${key}`;
}

async function readBody(message: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of message) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}

function sendJson(response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(value));
}

/** Row store that keeps its rows in memory and serves them over HTTP. */
export class FakeRowStore {
  #rows = new Map<string, WireRow>();

  #historyByTable = new Map<string, WireRow[]>();

  #version = 1;

  #server: Server;

  #pendingFeeds = new Set<() => void>();

  fault: StoreFault = 'none';

  /** Delay of each response. */
  delayMs = 0;

  /** The feed answers 410 when asked for changes after a version below this one. */
  compactedVersion = 0;

  constructor() {
    this.#server = createServer((message, response) => {
      this.#handle(message, response).catch(() => response.destroy());
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
  put(table: string, key: string, value: unknown, part = ''): void {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    this.#version += 1;
    this.#writeRow({ table, part, key, value: Buffer.from(text).toString('base64') });
    this.#notifyPendingFeeds();
  }

  /** Removes a row on behalf of an operator. */
  remove(table: string, key: string): void {
    this.#version += 1;
    this.#removeRow({ table, part: '', key });
    this.#notifyPendingFeeds();
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

  async #handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(message.url ?? '/', 'http://store');
    const body = await readBody(message);
    if (this.fault === 'silent') return;
    if (this.fault === 'refuses') {
      sendJson(response, 503, {});
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
    else sendJson(response, 404, {});
  }

  #transact(
    body: { precondition: WireRow[]; puts: WireRow[]; remove: WireRow[] },
    response: ServerResponse,
  ): void {
    const parts = new Set(
      [...body.precondition, ...body.puts, ...body.remove].map(({ part }) => part),
    );
    if (parts.size > 1) {
      sendJson(response, 400, { reason: 'rows of several parts' });
      return;
    }
    const currentRows = body.precondition.map((condition) => ({
      ...condition,
      ver: this.#rows.get(toRowId(condition))?.ver ?? 0,
    }));
    const arePreconditionsMet = body.precondition.every(
      ({ ver }, index) => ver === currentRows[index]?.ver,
    );
    if (!arePreconditionsMet) {
      sendJson(response, 412, { rows: currentRows, ver: this.#version });
      return;
    }
    this.#version += 1;
    body.puts.forEach((row) => this.#writeRow(row));
    body.remove.forEach((row) => this.#removeRow(row));
    this.#notifyPendingFeeds();
    if (this.fault === 'losesAnswers') return;
    sendJson(response, 200, { ver: this.#version, 'now-ms': getSteadyMs() });
  }

  #get(query: URLSearchParams, response: ServerResponse): void {
    const from = query.get('from') ?? '';
    const limit = Math.min(Number(query.get('limit') ?? MAX_PAGE_ROWS), MAX_PAGE_ROWS);
    const rows = [...this.#rows.values()]
      .filter((row) => row.table === query.get('table') && row.part === (query.get('part') ?? ''))
      .filter((row) => row.key >= from)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    const page = rows.slice(0, limit);
    sendJson(response, 200, {
      ...{ rows: page, 'more-pages': rows.length > limit },
      ...{ ver: this.#version, 'now-ms': getSteadyMs() },
    });
  }

  #feed(query: URLSearchParams, response: ServerResponse): void {
    const after = Number(query.get('after'));
    if (after < this.compactedVersion) {
      sendJson(response, 410, {});
      return;
    }
    const tryRespond = (isLast: boolean) => {
      const rows = this.#getChanges(query.get('table') ?? '', after);
      if (rows.length === 0 && !isLast) return false;
      sendJson(response, 200, { rows, ver: this.#version, 'now-ms': getSteadyMs() });
      return true;
    };
    if (tryRespond(false)) return;
    const onChange = () => {
      if (tryRespond(false)) this.#pendingFeeds.delete(onChange);
    };
    this.#pendingFeeds.add(onChange);
    const waitMs = Number(query.get('wait-ms') ?? 0);
    setTimeout(() => {
      if (this.#pendingFeeds.delete(onChange)) tryRespond(true);
    }, waitMs).unref();
  }

  #writeRow(row: WireRow): void {
    const stored = { ...row, ver: this.#version };
    this.#rows.set(toRowId(row), stored);
    this.#appendToHistory(stored);
  }

  #removeRow(row: WireRow): void {
    this.#rows.delete(toRowId(row));
    this.#appendToHistory({ ...row, ver: this.#version, removed: true });
  }

  #appendToHistory(change: WireRow): void {
    const history = this.#historyByTable.get(change.table) ?? [];
    history.push(change);
    this.#historyByTable.set(change.table, history);
  }

  /** Returns the changes of a table after a version, in ascending order of versions. */
  #getChanges(table: string, after: number): readonly WireRow[] {
    const history = this.#historyByTable.get(table) ?? [];
    let position = history.length;
    while (position > 0 && (history[position - 1]?.ver ?? 0) > after) position -= 1;
    return history.slice(position);
  }

  #notifyPendingFeeds(): void {
    [...this.#pendingFeeds].forEach((onChange) => onChange());
  }
}
