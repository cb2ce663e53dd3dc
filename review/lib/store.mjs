// Stand-in of the platform's metadata store: versioned rows, transactions, range reads and feeds, as PROTOCOL.md says.
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';

const MAX_PAGE_ROWS = 500;
const MAX_ROW_BYTES = 65_536;
const MAX_CALL_BYTES = 1_000_000;
const MAX_ENTRIES = 100;
const TRANSACTION_MS = 3;
const READ_MS = 1;

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
const toRowId = ({ table, part = '', key }) => `${table}\n${part}\n${key}`;

export class Store {
  #rows = new Map();

  #history = [];

  #version = 1;

  #feeds = new Set();

  #partTails = new Map();

  #server = createServer((message, response) => {
    this.#handle(message, response).catch(() => response.destroy());
  });

  /** 'none'; 'busy' answers 503 and does nothing; 'silent' drops what arrives and does nothing. */
  fault = 'none';

  listen(host, port) {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes a row of the operator or of a worker; refused while the store is away. */
  put(table, key, value) {
    if (this.fault !== 'none') return false;
    this.#version += 1;
    this.#write({
      table,
      part: '',
      key,
      value: Buffer.from(JSON.stringify(value)).toString('base64'),
    });
    this.#notify();
    return true;
  }

  remove(table, key) {
    if (this.fault !== 'none') return false;
    this.#version += 1;
    this.#delete({ table, part: '', key });
    this.#notify();
    return true;
  }

  async #handle(message, response) {
    const url = new URL(message.url ?? '/', 'http://store');
    const chunks = [];
    for await (const chunk of message) chunks.push(chunk);
    if (this.#isRefused(response)) return;
    if (url.pathname === '/api/rows-tx') {
      const body = Buffer.concat(chunks);
      if (body.length > MAX_CALL_BYTES) this.#send(response, 400, {});
      else await this.#transact(JSON.parse(body.toString('utf8')), response);
    } else if (url.pathname === '/api/rows-get') {
      await sleep(READ_MS);
      if (!this.#isRefused(response)) this.#get(url.searchParams, response);
    } else if (url.pathname === '/api/rows-feed') this.#feed(url.searchParams, response);
    else this.#send(response, 404, {});
  }

  #isRefused(response) {
    if (this.fault === 'busy') this.#send(response, 503, {});
    return this.fault !== 'none';
  }

  #send(response, status, value) {
    if (this.fault === 'silent') return;
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify({ ...value, 'now-ms': Math.floor(performance.now()) }));
  }

  /** The transactions of one part are performed one after another. */
  async #transact({ precondition = [], puts = [], remove = [] }, response) {
    const all = [...precondition, ...puts, ...remove];
    const parts = new Set(all.map(({ part = '' }) => part));
    const isTooLarge = puts.some(
      ({ value = '' }) => Buffer.from(value, 'base64').length > MAX_ROW_BYTES,
    );
    if (parts.size > 1 || all.length > MAX_ENTRIES || isTooLarge) {
      this.#send(response, 400, {});
      return;
    }
    const [part] = parts;
    const turn = (this.#partTails.get(part) ?? Promise.resolve()).then(() => sleep(TRANSACTION_MS));
    this.#partTails.set(part, turn);
    await turn;
    if (this.#isRefused(response)) return;
    const rows = precondition.map((row) => ({
      ...row,
      ver: this.#rows.get(toRowId(row))?.ver ?? 0,
    }));
    if (!precondition.every(({ ver }, index) => ver === rows[index].ver)) {
      this.#send(response, 412, { rows, ver: this.#version });
      return;
    }
    this.#version += 1;
    puts.forEach((row) => this.#write(row));
    remove.forEach((row) => this.#delete(row));
    this.#notify();
    this.#send(response, 200, { ver: this.#version });
  }

  #get(query, response) {
    const [table, part = ''] = [query.get('table'), query.get('part') ?? ''];
    const [from, target] = [query.get('from') ?? '', query.get('target')];
    const limit = Math.min(Number(query.get('limit') ?? MAX_PAGE_ROWS), MAX_PAGE_ROWS);
    const rows = [...this.#rows.values()]
      .filter((row) => row.table === table && row.part === part)
      .filter(({ key }) => key >= from && (target === null || key < target))
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    const body = { rows: rows.slice(0, limit), 'more-pages': rows.length > limit };
    this.#send(response, 200, { ...body, ver: this.#version });
  }

  #feed(query, response) {
    const table = query.get('table');
    const after = Number(query.get('after'));
    const tryAnswer = (isLast) => {
      if (this.fault !== 'none') {
        this.#send(response, 503, {});
        return true;
      }
      const rows = this.#history.filter((row) => row.table === table && row.ver > after);
      if (rows.length === 0 && !isLast) return false;
      this.#send(response, 200, { rows, ver: this.#version });
      return true;
    };
    if (tryAnswer(false)) return;
    const onChange = () => tryAnswer(false) && this.#feeds.delete(onChange);
    this.#feeds.add(onChange);
    setTimeout(
      () => this.#feeds.delete(onChange) && tryAnswer(true),
      Number(query.get('wait-ms') ?? 0),
    );
  }

  #write(row) {
    const stored = { part: '', ...row, ver: this.#version };
    this.#rows.set(toRowId(stored), stored);
    this.#history.push(stored);
  }

  #delete(row) {
    this.#rows.delete(toRowId(row));
    this.#history.push({ part: '', ...row, ver: this.#version, removed: true });
  }

  #notify() {
    [...this.#feeds].forEach((onChange) => onChange());
  }
}
