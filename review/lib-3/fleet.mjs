/**
 * Stand-ins of the platform for the scripts of the third review: the metadata store, workers that register there,
 * and requesters. They are written from the users' pages (PROTOCOL, DEPLOY) and run in the process of the script;
 * the nodes of the project are separate processes, started with the command of the deploy file.
 */

import { spawn } from 'node:child_process';
import { createServer, request } from 'node:http';
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer as createTcpServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

/** Bounds of the installation `spz-hemlock`. */
export const BOUNDS = {
  'hold-max-ms': 10_000,
  'grace-s': 6,
  cancelMs: 3_000,
  stopMs: 200,
  settleMs: 3_000,
  ackMs: 4_000,
  visibleMs: 3_000,
};

export const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, Math.max(0, ms));
  });

const startedAtMs = performance.now();

/** Milliseconds since the script began; all records use it. */
export const now = () => Math.round(performance.now() - startedAtMs);

/** What was sent, answered and run, in the order in which the stand-ins saw it. */
export class Record {
  lines = [];

  add(text) {
    this.lines.push(`${String(now()).padStart(7)} ms  ${text}`);
  }

  write(folder) {
    writeFileSync(join(folder, 'record.txt'), `${this.lines.join('\n')}\n`);
  }
}

async function readJson(message) {
  const chunks = [];
  for await (const chunk of message) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : JSON.parse(text);
}

function answer(response, status, body) {
  if (response.destroyed) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

function listen(server, host, port = 0) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve(server.address().port));
  });
}

const toId = ({ table, part = '', key }) => `${table}\n${part}\n${key}`;

/** The platform's metadata store: rows, transactions, ranges and feeds. */
export class Store {
  rows = new Map();

  /** All changes by table, oldest first. */
  changes = new Map();

  ver = 1;

  /** Transactions of a part are performed one after another. */
  #partFreeAt = new Map();

  #feeds = new Set();

  #server;

  /** Duration of a transaction, and of an answer beside it. */
  txMs = 3;

  answerMs = 2;

  /** Called before a call is performed; returns true when it has taken the call over. */
  intercept = undefined;

  async start(host) {
    this.#server = createServer((message, response) => {
      this.#handle(message, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 60_000;
    const port = await listen(this.#server, host);
    this.address = `${host}:${port}`;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** A write of the operator or of a worker, which is acknowledged when this returns. */
  put(table, key, value, part = '') {
    this.ver += 1;
    this.#write({ table, part, key, value: Buffer.from(JSON.stringify(value)).toString('base64') });
    this.#wake();
  }

  remove(table, key, part = '') {
    this.ver += 1;
    this.#remove({ table, part, key });
    this.#wake();
  }

  read(table, key, part = '') {
    const row = this.rows.get(toId({ table, part, key }));
    return row && JSON.parse(Buffer.from(row.value, 'base64').toString('utf8'));
  }

  #write(row) {
    const stored = { table: row.table, part: row.part ?? '', key: row.key, value: row.value };
    stored.ver = this.ver;
    this.rows.set(toId(stored), stored);
    this.#note(stored);
  }

  #remove(row) {
    if (!this.rows.delete(toId(row))) return;
    this.#note({
      table: row.table,
      part: row.part ?? '',
      key: row.key,
      ver: this.ver,
      removed: true,
    });
  }

  #note(change) {
    const list = this.changes.get(change.table) ?? [];
    list.push(change);
    this.changes.set(change.table, list);
  }

  #wake() {
    [...this.#feeds].forEach((check) => check());
  }

  async #handle(message, response) {
    const url = new URL(message.url, 'http://store');
    const body = await readJson(message);
    const perform = () => this.#perform(url, body, response);
    if (this.intercept?.({ url, body, response, perform }) === true) return;
    await perform();
  }

  async #perform(url, body, response) {
    const query = url.searchParams;
    switch (url.pathname) {
      case '/api/rows-tx':
        await this.#transact(body, response);
        return;
      case '/api/rows-get':
        await sleep(this.answerMs);
        this.#get(query, response);
        return;
      case '/api/rows-feed':
        this.#feed(query, response);
        return;
      default:
        answer(response, 404, {});
    }
  }

  /** Applies a transaction; returns the status and the body of its answer. */
  async commit({ precondition = [], puts = [], remove = [], across = false }) {
    const all = [...precondition, ...puts, ...remove];
    const parts = [...new Set(all.map(({ part = '' }) => part))];
    if (parts.length > 1 && !across) return [400, { reason: 'part' }];
    if (all.length > 100) return [400, { reason: 'entries' }];
    const freeAt = Math.max(performance.now(), ...parts.map((p) => this.#partFreeAt.get(p) ?? 0));
    const doneAt = freeAt + this.txMs * (parts.length > 1 ? 2 : 1);
    parts.forEach((part) => this.#partFreeAt.set(part, doneAt));
    await sleep(doneAt - performance.now());
    const current = precondition.map((row) => {
      const known = this.rows.get(toId(row));
      return known ?? { table: row.table, part: row.part ?? '', key: row.key, ver: 0 };
    });
    if (current.some((row, index) => row.ver !== precondition[index].ver))
      return [412, { rows: current, ver: this.ver, 'now-ms': now() }];
    this.ver += 1;
    puts.forEach((row) => this.#write(row));
    remove.forEach((row) => this.#remove(row));
    this.#wake();
    return [200, { ver: this.ver, 'now-ms': now() }];
  }

  async #transact(body, response) {
    const [status, result] = await this.commit(body);
    await sleep(this.answerMs);
    answer(response, status, result);
  }

  #get(query, response) {
    const [from, to] = [query.get('from') ?? '', query.get('target')];
    const limit = Math.min(500, Number(query.get('limit') ?? 500));
    const rows = [...this.rows.values()]
      .filter(
        ({ table, part }) => table === query.get('table') && part === (query.get('part') ?? ''),
      )
      .filter(({ key }) => key >= from && (to === null || key < to))
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    const more = rows.length > limit;
    answer(response, 200, {
      ...{ rows: rows.slice(0, limit), 'more-pages': more, ver: this.ver, 'now-ms': now() },
    });
  }

  #feed(query, response) {
    const after = Number(query.get('after'));
    const table = query.get('table');
    let timer;
    const check = (isOver) => {
      const rows = (this.changes.get(table) ?? []).filter(({ ver }) => ver > after);
      if (rows.length === 0 && !isOver) return;
      this.#feeds.delete(check);
      clearTimeout(timer);
      const page = rows.slice(0, 500);
      const ver = page.length < rows.length ? page.at(-1).ver : this.ver;
      answer(response, 200, { rows: page, ver, 'now-ms': now() });
    };
    this.#feeds.add(check);
    timer = setTimeout(() => check(true), Number(query.get('wait-ms') ?? 0));
    response.on('close', () => {
      this.#feeds.delete(check);
      clearTimeout(timer);
    });
    check(false);
  }
}

/** How a task runs, read from the text of its submission: `ms=1200` or `lasts`. */
function readSpec(spec) {
  const lasts = /\blasts\b/.test(spec);
  const workMs = Number(/\bms=(\d+)/.exec(spec)?.[1] ?? 500);
  return { lasts, workMs };
}

const STARTUP_MS = 300;

/** One worker: a lifetime after another at the same address and under the same id. */
export class Worker {
  #server;

  #store;

  #record;

  #beat;

  #check;

  #waits = new Set();

  #entries = new Map();

  isUp = false;

  state = 'ready';

  /** Called after a task has been started. */
  onStart = undefined;

  /** All runs of all lifetimes: task, run, when it began, when and how it ended. */
  runs = [];

  constructor(id, store, record, options = {}) {
    Object.assign(this, { id, capacity: { cpu: 16_000, 'mem-mb': 32_768, gpu: 0 } });
    Object.assign(this, { labels: ['a', 'r1-1'], service: 'work', zone: 'z1', beatMs: 1_500 });
    Object.assign(this, { slowClock: 1, saveMs: 1_000, restoreMs: 100 }, options);
    this.#store = store;
    this.#record = record;
  }

  async start(host) {
    this.host = host;
    this.#server = createServer((message, response) => {
      this.#handle(message, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 60_000;
    this.port = await listen(this.#server, host, this.port ?? 0);
    Object.assign(this, { isUp: true, state: 'ready', born: Date.now(), seq: 0, fence: 0 });
    Object.assign(this, { deadline: 0, ends: [], endCount: 0, highest: new Map() });
    this.bornAt = performance.now();
    this.live = new Map();
    this.register();
    this.#beat = setInterval(() => this.register(), this.beatMs);
    this.#check = setInterval(() => this.#advance(), 20);
    this.#record.add(`${this.id} starts`);
  }

  /** The process ends; it says nothing to the store. */
  crash(why = 'crashes') {
    if (!this.isUp) return;
    this.isUp = false;
    clearInterval(this.#beat);
    clearInterval(this.#check);
    this.live.forEach((run) => this.#end(run, 'crash'));
    this.#server.close();
    this.#server.closeAllConnections();
    this.#record.add(`${this.id} ${why}`);
  }

  stop() {
    clearInterval(this.#beat);
    clearInterval(this.#check);
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  get clock() {
    return Math.round((performance.now() - this.bornAt) * this.slowClock);
  }

  register() {
    this.seq += 1;
    const { service, zone, state, capacity, labels, born, seq } = this;
    const addr = `${this.host}:${this.port}`;
    const fixed = { version: 'v1', slots: 8, 'cold-left-ms': 0, 'clock-ms': this.clock };
    this.#store.put('servers', this.id, {
      ...{ service, addr, zone, state, capacity, labels, born, seq },
      ...fixed,
    });
  }

  /** Ends a run from outside, as a task that fails by itself does. */
  endRun(run, how) {
    this.#end(run, how);
  }

  /** Ends what is done, and everything when the lease has run out. */
  #advance() {
    if (this.live.size > 0 && this.clock > this.deadline)
      this.live.forEach((run) => this.#end(run, 'lapsed'));
    this.live.forEach((run) => {
      const workedMs = this.#getWorked(run);
      if (run.lasts || run.gangWaits || workedMs < run.workMs) return;
      this.#end(run, run.fails ? 'failed' : 'done');
    });
  }

  #getWorked(run) {
    return run.savedMs + Math.max(0, performance.now() - run.beganAt - run.restoreMs);
  }

  #getSave(run) {
    if (!run.checkpoints) return '';
    const savedMs = Math.floor(this.#getWorked(run) / this.saveMs) * this.saveMs;
    return savedMs === 0 ? '' : `${String(savedMs).padStart(8, '0')}${run.task.slice(0, 8)}`;
  }

  #end(run, how) {
    this.live.delete(run.task);
    Object.assign(run.entry, { endMs: now(), how });
    this.#record.add(`${this.id} ${run.task} run ${run.run} ends ${how}`);
    if (how === 'crash' && run.gang !== undefined) this.#endGang(run);
    if (how === 'crash') return;
    this.#noteHighest(run.task, run.run);
    this.endCount += 1;
    const saved = how === 'done' ? '' : this.#getSave(run);
    this.ends.push([this.endCount, run.task, run.run, how, saved]);
    [...this.#waits].forEach((resolve) => resolve());
    if (run.gang !== undefined) this.#endGang(run, how);
  }

  /** The members of a gang end together: all `done`, or the others `broken`. */
  #endGang(run, how = 'crash') {
    const { gang } = run;
    if (gang.isOver) return;
    gang.isOver = true;
    gang.members.forEach(({ w: worker, run: member }) => {
      if (worker.live.get(member.task) === member)
        worker.endRun(member, how === 'done' ? 'done' : 'broken');
    });
  }

  #noteHighest(task, run) {
    this.highest.set(task, Math.max(run, this.highest.get(task) ?? 0));
  }

  async #handle(message, response) {
    const body = await readJson(message);
    if (!this.isUp) {
      response.destroy();
      return;
    }
    if ((message.headers['expect-instance'] ?? this.id) !== this.id) {
      answer(response, 421, {});
      return;
    }
    if (
      this.intercept?.({
        path: message.url,
        body,
        response,
        perform: () => this.#perform(message, body, response),
      }) === true
    )
      return;
    await this.#perform(message, body, response);
  }

  async #perform(message, body, response) {
    const refuse = (reason) => answer(response, 409, { 'clock-ms': this.clock, reason });
    const fence = body.fence ?? 0;
    if (fence < this.fence) {
      refuse('fence');
      return;
    }
    this.fence = fence;
    switch (message.url) {
      case '/api/run-start':
        this.#startRun(body, response, refuse);
        return;
      case '/api/run-stop':
        this.#noteHighest(body.task, body.run);
        if (this.live.get(body.task)?.run === body.run) {
          const run = this.live.get(body.task);
          setTimeout(() => this.live.get(run.task) === run && this.#end(run, 'stopped'), 50);
        }
        answer(response, 200, { 'clock-ms': this.clock });
        return;
      case '/api/hold':
        await this.#hold(body, response);
        return;
      default:
        answer(response, 404, {});
    }
  }

  #extend(deadlineMs) {
    if (deadlineMs === undefined) return;
    const latest = this.clock + BOUNDS['hold-max-ms'];
    this.deadline = Math.max(this.deadline, Math.min(deadlineMs, latest));
  }

  #startRun(body, response, refuse) {
    const { task, run, spec = '' } = body;
    if (body['deadline-ms'] <= this.clock) {
      refuse('late');
      return;
    }
    this.#extend(body['deadline-ms']);
    const known = this.live.get(task);
    if (known?.run === run) {
      answer(response, 200, { 'clock-ms': this.clock });
      return;
    }
    if (known !== undefined || run <= (this.highest.get(task) ?? 0)) {
      refuse('old');
      return;
    }
    const save = body['last-save'] ?? '';
    const savedMs = save === '' ? 0 : Number(save.slice(0, 8));
    const entry = { worker: this.id, born: this.born, task, run, spec, save, beginMs: now() };
    const { lasts, workMs } = readSpec(spec);
    const checkpoints = /\bsaves\b/.test(spec);
    const started = { task, run, entry, lasts, workMs, savedMs, checkpoints };
    Object.assign(started, { beganAt: performance.now(), restoreMs: save === '' ? 0 : 100 });
    this.live.set(task, started);
    this.runs.push(entry);
    this.#entries.set(`${task} ${run}`, entry);
    this.#record.add(`${this.id} ${task} run ${run} starts${save === '' ? '' : ` from ${save}`}`);
    answer(response, 200, { 'clock-ms': this.clock });
    this.onStart?.(entry, started);
  }

  async #hold(body, response) {
    this.#extend(body['deadline-ms']);
    const lastSeen = body['last-seen'] ?? 0;
    const forgotten = this.ends.filter(([number]) => number <= lastSeen);
    forgotten.forEach(([, task, run]) => {
      const entry = this.#entries.get(`${task} ${run}`);
      if (entry !== undefined) entry.seenMs ??= now();
    });
    this.ends = this.ends.filter(([number]) => number > lastSeen);
    const waitMs = body['wait-ms'] ?? 0;
    if (waitMs > 0 && this.ends.length === 0) {
      await new Promise((resolve) => {
        const finish = () => {
          this.#waits.delete(finish);
          resolve();
        };
        this.#waits.add(finish);
        setTimeout(finish, waitMs);
      });
    }
    if (!this.isUp) return;
    const running = [...this.live.values()].map((run) => {
      const workedMs = this.#getWorked(run);
      const whole = run.lasts ? STARTUP_MS : run.workMs;
      const percent = Math.min(run.lasts ? 100 : 99, Math.floor((100 * workedMs) / whole));
      return [run.task, run.run, this.#getSave(run), percent, 1];
    });
    const ended = this.ends.slice(0, 500);
    answer(response, 200, { 'clock-ms': this.clock, born: this.born, running, ended });
  }
}

/** A request of a client; no answer, a broken channel and a time-out are told apart from answers. */
export function call(address, method, path, options = {}) {
  const [host, port] = address.split(':');
  const { body = '', key = 'key-a', site = 'site.example', waitMs = 3_000 } = options;
  const headers = { host: site, authorization: `Bearer ${key}`, 'deadline-ms': String(waitMs) };
  if (body !== '') Object.assign(headers, { 'content-type': 'application/json' });
  return new Promise((resolve) => {
    const sent = request({ host, port, method, path, headers, agent: false }, (response) => {
      let text = '';
      response.on('data', (chunk) => {
        text += chunk;
      });
      response.on('end', () => resolve({ status: response.statusCode, text }));
      response.on('error', () => resolve({ status: 0, text: 'broken' }));
    });
    const timer = setTimeout(() => {
      resolve({ status: 0, text: 'no answer' });
      sent.destroy();
    }, waitMs);
    sent.on('close', () => clearTimeout(timer));
    sent.on('error', (error) => resolve({ status: 0, text: error.code ?? 'broken' }));
    sent.end(body);
  });
}

function render(template, fields) {
  return template.replace(/\{\{([^}|]+)\|json\}\}/g, (_, path) =>
    JSON.stringify(path.split('.').reduce((value, name) => value?.[name], fields) ?? null),
  );
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createTcpServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** The nodes of a small deployment, each a process with an address of its own. */
export class Nodes {
  all = [];

  #folder = mkdtempSync(join(tmpdir(), 'review-'));

  #command;

  #template;

  constructor(store, record) {
    this.store = store;
    this.record = record;
    const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
    this.#command = /^run = "(.+)"$/m.exec(deploy)[1].split(' ');
    this.#template = readFileSync(join(ROOT, /^template = "(.+)"$/m.exec(deploy)[1]), 'utf8');
    this.net = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
    if (!existsSync(join(ROOT, this.#command.at(-1)))) throw new Error('the product is not built');
  }

  async add(name, options = {}) {
    const ip = `${this.net}.${10 + this.all.length}`;
    if (!(await isFree(ip, 9_464))) throw new Error(`port 9464 is not free on ${ip}`);
    const listening = { front: `${ip}:8183`, ready: `${ip}:8184`, control: `${ip}:8180` };
    const fields = {
      ...{ node: name, zone: options.zone ?? 'z1', ip, listen: listening },
      ...{ 'port-range': [7_420, 7_435], platform: { addr: this.store.address } },
      ...{ advice: options.advice ?? null, 'beat-ms': 1_500, bounds: BOUNDS },
      limits: { 'cpu-share': 0.675, cores: 1, 'memory-mb': 350, 'max-fds': 4_100 },
    };
    const path = join(this.#folder, `${name}.json`);
    writeFileSync(path, render(this.#template, fields));
    const node = { name, ip, path, front: listening.front, ready: listening.ready };
    this.all.push(node);
    this.launch(node);
    return node;
  }

  launch(launched) {
    const node = launched;
    const { PATH, HOME, LANG } = process.env;
    const env = { PATH, HOME, LANG, HEMLOCKWAY_SETTINGS: node.path };
    const [program, ...words] = this.#command;
    node.child = spawn(program, words, { cwd: ROOT, env, stdio: ['ignore', 'pipe', 'pipe'] });
    node.isUp = true;
    node.log ??= [];
    const keep = (chunk) => node.log.push(String(chunk));
    node.child.stdout.on('data', keep);
    node.child.stderr.on('data', keep);
    const { child } = node;
    child.on('exit', (code, signal) => {
      if (node.child === child) node.isUp = false;
      this.record.add(`${node.name} ends (${signal ?? code})`);
      node.ends = [...(node.ends ?? []), { code, signal, expected: child.expected === true }];
    });
    this.record.add(`${node.name} starts`);
  }

  signal(node, signal) {
    if (signal === 'SIGKILL' || signal === 'SIGTERM') Object.assign(node.child, { expected: true });
    node.child.kill(signal);
    this.record.add(`${node.name} gets ${signal}`);
  }

  async isReady(node) {
    return (await call(node.ready, 'GET', '/api/ready', { waitMs: 500 })).status === 200;
  }

  async isOwner(node) {
    const state = await call(`${node.ip}:9464`, 'GET', '/state', { waitMs: 500 });
    return state.status === 200 && JSON.parse(state.text).ownership?.kind === 'owning';
  }

  async findOwner() {
    for (const node of this.all) if (node.isUp && (await this.isOwner(node))) return node;
    return undefined;
  }

  async awaitReady(limitMs = 15_000) {
    const untilMs = now() + limitMs;
    for (;;) {
      const ready = await Promise.all(this.all.map((node) => this.isReady(node)));
      const owner = await this.findOwner();
      if (ready.every(Boolean) && owner !== undefined) return owner;
      if (now() > untilMs) throw new Error('the nodes are not ready');
      await sleep(100);
    }
  }

  async stop() {
    this.all.forEach(({ child, isUp }) => {
      if (!isUp) return;
      Object.assign(child, { expected: true });
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    });
    const untilMs = now() + 3_000;
    while (this.all.some(({ isUp }) => isUp) && now() < untilMs) await sleep(20);
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

/** The first desired state: one service, one route, one tenant without limits. */
export function createConfig(overrides = {}) {
  const route = {
    ...{ name: 'r-work', host: 'site.example', 'path-prefix': '/jobs/', kind: 'non_idempotent' },
    ...{ 'timeout-ms': 3_000, 'target-duration-ms': 250, priority: 0, service: 'work' },
    ...{ attempts: 3, stretch: 1.5, public: false },
  };
  return {
    ...{ version: 7, routes: [route], services: [{ name: 'work', 'enforces-capacity': false }] },
    tenants: [{ name: 'a', 'api-keys': ['key-a'], weight: 100, 'max-count': { cpu: 0 } }],
    limits: { 'max-body-bytes': 262_144 },
    ...overrides,
  };
}

/** Runs a script: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
export async function main(folder, play) {
  const record = new Record();
  const store = new Store();
  const workers = [];
  let nodes;
  let code = 2;
  try {
    nodes = new Nodes(store, record);
    await store.start(`${nodes.net}.2`);
    const broken = await play({ record, store, workers, nodes, host: `${nodes.net}.3` });
    broken.forEach((text) => record.add(`BROKEN ${text}`));
    record.add(broken.length === 0 ? 'the rule held' : 'the rule was broken');
    code = broken.length === 0 ? 0 : 1;
  } catch (error) {
    record.add(`could not run: ${error.stack}`);
  }
  await nodes?.stop();
  workers.forEach((worker) => worker.stop());
  store.stop();
  record.write(folder);
  if (process.env.LOGS !== undefined)
    nodes?.all.forEach(({ name, log }) =>
      writeFileSync(join(process.env.LOGS, `${name}.log`), log.join('')),
    );
  process.stdout.write(`${record.lines.slice(-6).join('\n')}\n`);
  process.exit(code);
}

export const isTrouble = process.env.TROUBLE !== '0';
