// Starts a small deployment: nodes as the deploy file says, with stand-ins of store, workers and clients, on loopback
// addresses. Everything that is sent, answered and run goes into the record.
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { performance } from 'node:perf_hooks';
import { fileURLToPath } from 'node:url';
import { Store } from './store.mjs';
import { Worker } from './worker.mjs';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const FRONT_PORT = 8183;
const READY_PORT = 8184;
const PEER_PORT = 7420;
const OBSERVE_PORT = 9464;
const STORE_PORT = 8182;
const WORKER_PORT = 8190;
const RESTART_DELAY_MS = 200;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;
const MAX_DURATION_MS = 118_000;

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
export const hasTrouble = process.env.TROUBLE !== '0';

/** What was sent, answered and run, in order. */
export class Record {
  #startedAt = performance.now();

  entries = [];

  add(kind, fields = {}) {
    const atMs = Math.round((performance.now() - this.#startedAt) * 10) / 10;
    this.entries.push({ atMs, kind, ...fields });
  }

  get nowMs() {
    return performance.now() - this.#startedAt;
  }

  write(path) {
    const lines = this.entries.map(({ atMs, kind, ...fields }) => {
      const texts = Object.entries(fields)
        .filter(([, value]) => value !== undefined)
        .map(
          ([name, value]) => `${name}=${typeof value === 'object' ? JSON.stringify(value) : value}`,
        );
      return `${atMs.toFixed(1).padStart(9)} ${kind} ${texts.join(' ')}`;
    });
    writeFileSync(path, `${lines.join('\n')}\n`);
  }
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Finds a range of loopback addresses on which nothing listens. */
async function findNetwork() {
  for (let count = 0; count < 50; count += 1) {
    const pick = () => 1 + Math.floor(Math.random() * 250);
    const network = `127.${pick()}.${pick()}`;
    const ports = [FRONT_PORT, READY_PORT, PEER_PORT, OBSERVE_PORT, STORE_PORT];
    const free = await Promise.all(ports.map((port) => isFree(`${network}.1`, port)));
    if (free.every(Boolean)) return network;
  }
  throw new Error('no free loopback addresses');
}

function getValue(fields, path) {
  return path.split('.').reduce((value, name) => value?.[name], fields) ?? null;
}

/** Fills in the settings template of the repository, as the platform does. */
function renderSettings(fields) {
  const template = readFileSync(join(ROOT, 'platform/settings.template.json'), 'utf8');
  return template.replace(/\{\{([a-z0-9.-]+)\|json\}\}/g, (_, path) =>
    JSON.stringify(getValue(fields, path)),
  );
}

/** The command of the deploy file. */
function getCommand() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const command = /^run = "(.*)"$/m.exec(text)?.[1];
  if (command === undefined) throw new Error('no command in the deploy file');
  return command.split(' ');
}

/** One node of the system, restarted a short time after its end. */
class Node {
  #record;

  #child;

  #isEnding = false;

  log = '';

  constructor(record, name, host, settingsPath) {
    this.#record = record;
    this.name = name;
    this.host = host;
    this.settingsPath = settingsPath;
  }

  start() {
    const [program, ...args] = getCommand();
    const { PATH, HOME, LANG } = process.env;
    this.#child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, HEMLOCKWAY_SETTINGS: this.settingsPath },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const child = this.#child;
    this.#record.add('node-start', { node: this.name });
    const addLog = (data) => {
      this.log += data;
    };
    child.stdout.on('data', addLog);
    child.stderr.on('data', addLog);
    child.on('exit', (code, signal) => {
      this.#record.add('node-exit', { node: this.name, code, signal });
      if (!this.#isEnding) setTimeout(() => !this.#isEnding && this.start(), RESTART_DELAY_MS);
    });
  }

  signal(name) {
    this.#record.add('signal', { node: this.name, signal: name });
    this.#child.kill(name);
  }

  end() {
    this.#isEnding = true;
    this.#child?.kill('SIGKILL');
  }

  /** The state dump for operators; undefined when the node does not answer. */
  async getState() {
    const reply = await call({
      host: this.host,
      port: OBSERVE_PORT,
      method: 'GET',
      path: '/state',
      timeoutMs: 500,
    });
    return reply.status === 200 ? reply.body : undefined;
  }
}

/** One HTTP call on a connection of its own; the status is 0 when there was no answer. */
export function call({ host, port, method, path, headers = {}, body, timeoutMs }) {
  return new Promise((resolve) => {
    const text = body === undefined ? '' : JSON.stringify(body);
    const sent = request(
      {
        ...{ host, port, method, path, agent: false, timeout: timeoutMs },
        headers: {
          ...headers,
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(text),
        },
      },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', () => resolve({ status: 0 }));
        response.on('end', () => {
          try {
            resolve({
              status: response.statusCode,
              body: JSON.parse(Buffer.concat(chunks).toString('utf8')),
            });
          } catch {
            resolve({ status: response.statusCode });
          }
        });
      },
    );
    const timer = setTimeout(() => sent.destroy(), timeoutMs);
    sent.on('close', () => clearTimeout(timer));
    sent.on('error', () => resolve({ status: 0 }));
    sent.end(text);
  });
}

export class Deployment {
  record = new Record();

  nodes = [];

  workers = [];

  #directory = mkdtempSync(join(tmpdir(), 'review-'));

  #nextNode = 0;

  /** @param options - config: the desired state; nodeCount; workers: options of each worker */
  async start({ config, nodeCount, workers }) {
    this.network = await findNetwork();
    this.store = new Store();
    const storeHost = `${this.network}.200`;
    await this.store.listen(storeHost, STORE_PORT);
    this.store.put('op', 'config', config);
    for (const [index, options] of workers.entries()) {
      const host = `${this.network}.${100 + index}`;
      const worker = new Worker(this.store, this.record, { host, port: WORKER_PORT, ...options });
      this.workers.push(worker);
      await worker.start();
    }
    for (let index = 1; index <= nodeCount; index += 1) {
      const host = `${this.network}.${index}`;
      const name = `edge-zone-${index}`;
      const path = join(this.#directory, `${name}.json`);
      writeFileSync(
        path,
        renderSettings(this.#getFields(name, host, `${storeHost}:${STORE_PORT}`)),
      );
      this.nodes.push(new Node(this.record, name, host, path));
    }
    this.nodes.forEach((node) => node.start());
    await this.waitUntil('all nodes ready', 15_000, async () => {
      const ready = await Promise.all(
        this.nodes.map(({ host }) =>
          call({ host, port: READY_PORT, method: 'GET', path: '/api/ready', timeoutMs: 500 }),
        ),
      );
      return ready.every(({ status }) => status === 200) && (await this.findOwner()) !== undefined;
    });
    this.record.add('ready');
  }

  #getFields(name, host, storeAddress) {
    return {
      ...{ node: name, zone: 'zone', ip: host, 'port-range': [PEER_PORT, PEER_PORT + 15] },
      listen: { front: `${host}:${FRONT_PORT}`, ready: `${host}:${READY_PORT}` },
      platform: { addr: storeAddress },
      limits: { 'cpu-share': 0.675, cores: 1 },
      bounds: { 'hold-max-ms': 10_000, 'grace-s': 6 },
    };
  }

  async findOwner() {
    const states = await Promise.all(this.nodes.map((node) => node.getState()));
    return this.nodes[
      states.findIndex((state) => state?.ownership?.kind === 'owning' && state.owner !== undefined)
    ];
  }

  async waitUntil(what, timeoutMs, check) {
    const endAt = performance.now() + timeoutMs;
    while (performance.now() < endAt) {
      if (await check()) return;
      await sleep(50);
    }
    throw new NotRun(`waited in vain for: ${what}`);
  }

  /** Sends a client's request, again at the next node while it is refused or not answered, as a sound client does. */
  async send({ method, path, host, key, body, tries = 8, avoid }) {
    for (let count = 0; count < tries; count += 1) {
      const nodes = this.nodes.filter((node) => node !== avoid);
      const node = nodes[this.#nextNode % nodes.length];
      this.#nextNode += 1;
      this.record.add('sent', { method, path, node: node.name });
      const reply = await call({
        ...{ host: node.host, port: FRONT_PORT, method, path, body, timeoutMs: 3_000 },
        headers: { host, ...(key === undefined ? {} : { authorization: `Bearer ${key}` }) },
      });
      const text = reply.body === undefined ? '' : JSON.stringify(reply.body);
      this.record.add('answered', {
        method,
        path,
        node: node.name,
        status: reply.status,
        body: text,
      });
      const isFinal = reply.status !== 0 && reply.status < 500 && reply.status !== 429;
      if (isFinal) return reply;
      await sleep(250);
    }
    throw new NotRun(`no final answer to ${method} ${path}`);
  }

  end() {
    this.nodes.forEach((node) => node.end());
    this.workers.forEach((worker) => worker.stop());
    this.store?.close();
    rmSync(this.#directory, { recursive: true, force: true });
  }
}

/** The case could not be played. */
export class NotRun extends Error {}

/**
 * Plays a case and exits: 0 when the rule held, 1 when it was broken, 2 when the case could not be played.
 * @param folder - where the record goes
 * @param play - plays the case and returns what broke the rule
 */
export async function runCase(folder, play) {
  const deployment = new Deployment();
  let code = EXIT_NOT_RUN;
  process.on('exit', () => deployment.nodes.forEach((node) => node.end()));
  ['SIGINT', 'SIGTERM'].forEach((signal) => process.on(signal, () => process.exit(EXIT_NOT_RUN)));
  process.on('uncaughtException', (error) => {
    console.log(`not run: ${error.stack}`);
    process.exit(EXIT_NOT_RUN);
  });
  setTimeout(() => process.exit(EXIT_NOT_RUN), MAX_DURATION_MS).unref();
  try {
    const broken = await play(deployment);
    code = broken.length > 0 ? EXIT_BROKEN : 0;
    broken.slice(0, 10).forEach((text) => deployment.record.add('BROKEN', { text }));
    console.log(
      broken.length === 0 ? 'the rule held' : `the rule was broken ${broken.length} times`,
    );
    broken.slice(0, 3).forEach((text) => console.log(text));
  } catch (error) {
    console.log(`not run: ${error instanceof NotRun ? error.message : error.stack}`);
    deployment.record.add('not-run', { text: String(error) });
  }
  deployment.end();
  deployment.record.write(join(folder, 'record.txt'));
  if (process.env.REVIEW_LOGS !== undefined) {
    deployment.nodes.forEach(({ name, log }) =>
      writeFileSync(join(process.env.REVIEW_LOGS, `${name}.log`), log),
    );
  }
  process.exit(code);
}
