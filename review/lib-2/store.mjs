/**
 * Stand-in of the platform's row store. Each caller has a door (a port of its own), so that a test can cut off, slow
 * down or falsify the network of one caller alone. Loses nothing that it has acknowledged.
 */

import http from 'node:http';

const MAX_PAGE_ROWS = 500;
const LAPSE_BEATS = 3;
const LAPSE_CHECK_MS = 50;

const toBase64 = (text) => Buffer.from(text, 'utf8').toString('base64');
const fromBase64 = (text) => Buffer.from(text, 'base64').toString('utf8');
const toRowId = ({ table, part, key }) => JSON.stringify([table, part ?? '', key]);

export function sleep(durationMs) {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

async function readBody(message) {
  const chunks = [];
  for await (const chunk of message) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
}

function send(response, status, value) {
  if (response.destroyed) return;
  const body = JSON.stringify(value);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
}

/** One caller's way to the store. */
class Door {
  constructor(store, name) {
    this.store = store;
    this.name = name;
    /** While true, calls are neither performed nor answered. */
    this.isCut = false;
    /** Delay of each call before it is performed. */
    this.delayMs = 2;
    /** Translates addresses in what the caller reads. */
    this.translate = (text) => text;
    /** Decides about a transaction: undefined, or `{ lateMs }`: performed so much later and not answered. */
    this.onTransaction = () => undefined;
    this.sockets = new Set();
    this.server = http.createServer((message, response) => {
      this.handle(message, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
      socket.on('error', () => undefined);
    });
  }

  listen() {
    return new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', () => {
        this.address = `127.0.0.1:${this.server.address().port}`;
        resolve(this.address);
      });
    });
  }

  /** Cuts the caller off silently, or lets it reach the store again over new connections. */
  setCut(isCut) {
    this.isCut = isCut;
    if (!isCut) this.reset();
  }

  reset() {
    this.sockets.forEach((socket) => socket.resetAndDestroy());
  }

  async handle(message, response) {
    const url = new URL(message.url, 'http://store');
    const body = await readBody(message);
    if (this.isCut) return;
    await sleep(this.delayMs);
    if (this.isCut) return;
    const reply = (status, value) => {
      if (!this.isCut) send(response, status, value);
    };
    if (url.pathname === '/api/rows-tx') {
      const transaction = JSON.parse(body);
      const fate = this.onTransaction(transaction);
      if (fate?.lateMs !== undefined) {
        setTimeout(() => this.store.transact(transaction), fate.lateMs);
        return;
      }
      const { status, value } = this.store.transact(transaction);
      if (fate?.isAnswerLost !== true) reply(status, this.translateRows(value));
    } else if (url.pathname === '/api/rows-get') {
      reply(200, this.translateRows(this.store.get(url.searchParams)));
    } else if (url.pathname === '/api/rows-feed') {
      const value = await this.store.follow(url.searchParams);
      reply(200, this.translateRows(value));
    } else reply(404, {});
  }

  translateRows(value) {
    if (value.rows === undefined) return value;
    const rows = value.rows.map((row) =>
      row.value === undefined
        ? row
        : { ...row, value: toBase64(this.translate(fromBase64(row.value))) },
    );
    return { ...value, rows };
  }

  close() {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }
}

export class Store {
  rows = new Map();

  /** Rows by table and part, with their order once it has been asked for. */
  parts = new Map();

  history = [];

  version = 1;

  waiting = new Set();

  doors = [];

  beats = new Map();

  /** @param beatMs - interval at which workers write their entries */
  constructor(beatMs) {
    this.beatMs = beatMs;
    this.timer = setInterval(() => this.checkBeats(), LAPSE_CHECK_MS);
  }

  async openDoor(name) {
    const door = new Door(this, name);
    this.doors.push(door);
    await door.listen();
    return door;
  }

  get nowMs() {
    return Math.round(performance.now());
  }

  transact({ precondition = [], puts = [], remove = [] }) {
    const current = precondition.map((row) => {
      const stored = this.rows.get(toRowId(row));
      return { ...row, ver: stored?.ver ?? 0, ...(stored ? { value: stored.value } : {}) };
    });
    const isMet = precondition.every(({ ver }, index) => ver === current[index].ver);
    const stamp = () => ({ ver: this.version, 'now-ms': this.nowMs });
    if (!isMet) return { status: 412, value: { rows: current, ...stamp() } };
    this.version += 1;
    puts.forEach((row) => this.write(row));
    remove.forEach((row) => this.drop(row));
    this.notify();
    return { status: 200, value: stamp() };
  }

  get(query) {
    const [table, part, from, to] = ['table', 'part', 'from', 'target'].map((name) =>
      query.get(name),
    );
    const limit = Math.min(Number(query.get('limit') ?? MAX_PAGE_ROWS), MAX_PAGE_ROWS);
    const rows = this.getSorted(table, part ?? '').filter(
      ({ key }) => key >= (from ?? '') && (to === null || key < to),
    );
    return {
      rows: rows.slice(0, limit),
      'more-pages': rows.length > limit,
      ver: this.version,
      'now-ms': this.nowMs,
    };
  }

  getSorted(table, part) {
    const held = this.parts.get(JSON.stringify([table, part]));
    if (held === undefined) return [];
    held.sorted ??= [...held.rows.values()].sort((left, right) => (left.key < right.key ? -1 : 1));
    return held.sorted;
  }

  /**
   * Adds rows as they are left from earlier, so that those who follow the table are not told of them.
   * @param added - rows with decoded values
   */
  preload(added) {
    this.version += 1;
    added.forEach(({ table, part, key, value }) => {
      this.store({ table, part, key, value: toBase64(value), ver: this.version });
    });
  }

  store(row) {
    this.rows.set(toRowId(row), row);
    const name = JSON.stringify([row.table, row.part]);
    const held = this.parts.get(name) ?? { rows: new Map() };
    held.rows.set(row.key, row);
    held.sorted = undefined;
    this.parts.set(name, held);
  }

  async follow(query) {
    const table = query.get('table');
    const after = Number(query.get('after'));
    const getChanges = () => this.history.filter((row) => row.table === table && row.ver > after);
    if (getChanges().length === 0) {
      await new Promise((resolve) => {
        const waiter = () => {
          if (getChanges().length > 0) done();
        };
        const timer = setTimeout(() => done(), Number(query.get('wait-ms') ?? 0));
        const done = () => {
          clearTimeout(timer);
          this.waiting.delete(waiter);
          resolve();
        };
        this.waiting.add(waiter);
      });
    }
    return { rows: getChanges(), ver: this.version, 'now-ms': this.nowMs };
  }

  /** Writes a row of the operator or of a worker. */
  put(table, key, value) {
    this.version += 1;
    this.write({ table, part: '', key, value: toBase64(JSON.stringify(value)) });
    this.notify();
  }

  /** Removes a row of the operator or of a worker. */
  remove(table, key) {
    if (!this.rows.has(toRowId({ table, key }))) return;
    this.version += 1;
    this.drop({ table, part: '', key });
    this.notify();
  }

  /** Handles the heartbeat of a worker. */
  beat(id, entry) {
    this.beats.set(id, performance.now());
    this.put('servers', id, entry);
  }

  /** A worker's entry is removed after three heartbeat intervals of silence. */
  checkBeats() {
    const limit = performance.now() - LAPSE_BEATS * this.beatMs;
    this.beats.forEach((atMs, id) => {
      if (atMs > limit) return;
      this.beats.delete(id);
      this.remove('servers', id);
    });
  }

  /** Gets the decoded rows of a table. */
  list(table) {
    return [...this.rows.values()]
      .filter((row) => row.table === table)
      .map(({ key, part, ver, value }) => ({ key, part, ver, value: fromBase64(value) }));
  }

  write(row) {
    const stored = { table: row.table, part: row.part ?? '', key: row.key, value: row.value };
    stored.ver = this.version;
    this.store(stored);
    this.history.push(stored);
  }

  drop(row) {
    const { table, part = '', key } = row;
    this.rows.delete(toRowId({ table, part, key }));
    const held = this.parts.get(JSON.stringify([table, part]));
    if (held?.rows.delete(key)) held.sorted = undefined;
    this.history.push({ table, part, key, ver: this.version, removed: true });
  }

  notify() {
    [...this.waiting].forEach((waiter) => waiter());
  }

  close() {
    clearInterval(this.timer);
    this.doors.forEach((door) => door.close());
  }
}
