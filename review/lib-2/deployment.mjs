/**
 * A small deployment: nodes of the product as separate processes, started with the command of the deploy file, workers
 * as separate processes, and the store in this process. All addresses are loopback ones.
 */

import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Proxy } from './proxy.mjs';
import { sleep, Store } from './store.mjs';

export { sleep } from './store.mjs';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const WORKER = join(ROOT, 'review', 'lib-2', 'worker.mjs');

export const HOST = 'nony24.example';
export const KEY = 'key-of-a';
export const SERVICE = 'boekingsdienst';

/** Figures of the site's settings. */
const BEAT_MS = 1_500;
const HOLD_MAX_MS = 10_000;
const GRACE_S = 6;

const FRONT_PORT = 8_183;
const READY_PORT = 8_184;
const PEER_PORT = 7_420;
const OBSERVE_PORT = 9_464;
const WORKER_PORT = 8_200;

export const DEFAULT_ROUTE = {
  ...{ name: 'watch', host: HOST, 'path-prefix': '/watch/', service: SERVICE },
  ...{ 'timeout-ms': 3_000, priority: 1, attempts: 3, stretch: 2.2, 'target-duration-ms': 0 },
};

export const DEFAULT_CONFIG = {
  version: 1,
  routes: [DEFAULT_ROUTE],
  services: [{ name: SERVICE, 'enforces-capacity': false }],
  tenants: [
    { name: 'a', 'api-keys': [KEY], weight: 10, 'max-count': { cpu: 0, 'mem-mb': 0, gpu: 0 } },
  ],
  limits: { 'max-body-bytes': 262_144 },
};

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Finds a range of loopback addresses on which the first node's and the first worker's ports are free. */
async function findNetwork() {
  for (let attempt = 0; attempt < 50; attempt += 1) {
    const part = () => 1 + Math.floor(Math.random() * 250);
    const network = `127.${part()}.${part()}`;
    const isUsable =
      (await isFree(`${network}.1`, PEER_PORT)) && (await isFree(`${network}.101`, WORKER_PORT));
    if (isUsable) return network;
  }
  throw new Error('no free loopback addresses');
}

function readCommand() {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const line = /^run = "([^"]+)"$/m.exec(text);
  return line[1].split(' ');
}

function fillTemplate(fields) {
  const text = readFileSync(join(ROOT, 'platform', 'settings.template.json'), 'utf8');
  return text.replace(/\{\{([^|}]+)\|json\}\}/g, (_all, name) => {
    const value = name.split('.').reduce((found, part) => found?.[part], fields);
    return JSON.stringify(value ?? null);
  });
}

function eachLine(stream, onLine) {
  let rest = '';
  stream.setEncoding('utf8');
  stream.on('data', (chunk) => {
    const lines = (rest + chunk).split('\n');
    rest = lines.pop();
    lines.forEach(onLine);
  });
}

/** Runs a deployment. Whatever it has started is ended by {@link Deployment.close}. */
export class Deployment {
  nodes = [];

  workers = [];

  /** What workers have told. */
  events = [];

  pending = new Set();

  isClosing = false;

  /**
   * @param recordPath - file to which all that is sent, answered and run is appended
   * @param isTranslated - whether each process reaches the others over proxies of its own, so that it can be cut off
   */
  constructor(recordPath, isTranslated = false) {
    this.recordPath = recordPath;
    this.isTranslated = isTranslated;
    this.startMs = Date.now();
    this.folder = mkdtempSync(join(tmpdir(), 'hemlockway-review-'));
    this.store = new Store(BEAT_MS);
    writeFileSync(recordPath, '');
  }

  record(what, fields = {}, atMs = Date.now()) {
    const seconds = ((atMs - this.startMs) / 1_000).toFixed(3).padStart(8);
    appendFileSync(this.recordPath, `${seconds} ${what} ${JSON.stringify(fields)}\n`);
  }

  /**
   * Starts the nodes and waits until all are ready.
   * @param specs - for each node its `zone` and optionally its `processorShare`
   * @param config - the desired state
   */
  async startNodes(specs, config = DEFAULT_CONFIG) {
    await this.prepareNodes(specs, config);
    await this.startPrepared(this.nodes);
  }

  /** Prepares the settings and the network of nodes. */
  async prepareNodes(specs, config = DEFAULT_CONFIG) {
    this.network = await findNetwork();
    this.store.put('op', 'config', config);
    for (const [index, spec] of specs.entries()) await this.prepareNode(index, spec);
    await this.connectNodes();
  }

  /** Starts nodes that are prepared and waits until all of them are ready. */
  async startPrepared(nodes) {
    nodes.forEach((node) => this.startNode(node));
    await this.waitFor('nodes are ready', 20_000, async () => {
      const states = await Promise.all(nodes.map((node) => this.isReady(node)));
      return states.every((isReady) => isReady);
    });
  }

  /** Resets all open channels between the nodes; new ones work at once. */
  resetPeerChannels() {
    this.nodes.forEach(({ peers }) => peers.forEach((proxy) => proxy.reset()));
  }

  async prepareNode(index, { zone, processorShare = 0.675 }) {
    const name = `edge-${String(index + 1).padStart(2, '0')}-${zone}`;
    const host = `${this.network}.${index + 1}`;
    const door = await this.store.openDoor(name);
    const node = { index, name, zone, host, door, peers: new Map(), ways: new Map() };
    node.settingsPath = join(this.folder, `${name}.json`);
    const settings = {
      ...{ node: name, zone, ip: host },
      listen: { front: `${host}:${FRONT_PORT}`, ready: `${host}:${READY_PORT}` },
      'port-range': [PEER_PORT, PEER_PORT + 15],
      platform: { addr: door.address },
      limits: { 'cpu-share': processorShare, cores: 1 },
      bounds: { 'hold-max-ms': HOLD_MAX_MS, 'grace-s': GRACE_S },
      'beat-ms': BEAT_MS,
    };
    writeFileSync(node.settingsPath, fillTemplate(settings));
    door.translate = (text) => this.translateFor(node, text);
    this.nodes.push(node);
  }

  /** Each node reaches each other one over a proxy of its own. */
  async connectNodes() {
    if (!this.isTranslated) return;
    for (const from of this.nodes) {
      for (const to of this.nodes.filter((node) => node !== from)) {
        const proxy = new Proxy({ host: to.host, port: PEER_PORT }, (text) =>
          this.translateFor(to, text),
        );
        await proxy.listen();
        from.peers.set(to.name, proxy);
      }
    }
  }

  /** Puts the addresses of the reader's own proxies in the place of those of other processes. */
  translateFor(reader, text) {
    if (!this.isTranslated) return text;
    let translated = text;
    this.nodes.forEach((node) => {
      const proxy = reader.peers.get(node.name);
      if (proxy === undefined) return;
      translated = translated.replaceAll(`"${node.host}:${PEER_PORT}"`, `"${proxy.address}"`);
    });
    this.workers.forEach((worker) => {
      const proxy = reader.ways.get(worker.id);
      if (proxy === undefined) return;
      translated = translated.replaceAll(`"${worker.host}:${WORKER_PORT}"`, `"${proxy.address}"`);
    });
    return translated;
  }

  startNode(started) {
    const node = started;
    const [program, ...words] = readCommand();
    const { PATH, HOME, LANG } = process.env;
    node.process = spawn(program, words, {
      cwd: ROOT,
      env: { PATH, HOME, ...(LANG ? { LANG } : {}), HEMLOCKWAY_SETTINGS: node.settingsPath },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    node.log = node.log ?? [];
    const keep = (line) => {
      if (line !== '') node.log.push(line);
    };
    eachLine(node.process.stdout, keep);
    eachLine(node.process.stderr, keep);
    this.record('node started', { node: node.name, pid: node.process.pid });
    const child = node.process;
    child.on('exit', (code, signal) => {
      if (this.isClosing) return;
      this.record('node ended', { node: node.name, code, signal });
      this.onNodeEnded?.(node, child);
    });
  }

  async isReady({ host }) {
    const answer = await this.call(`${host}:${READY_PORT}`, 'GET', '/api/ready', undefined, 500);
    return answer.status === 200;
  }

  /** @returns the state dump of a node, or undefined */
  async getState({ host }) {
    const address = `${host}:${OBSERVE_PORT}`;
    const answer = await this.call(address, 'GET', '/state', undefined, 1_000);
    return answer.status === 200 ? answer.body : undefined;
  }

  /** @returns the node that owns the fleet according to itself, with the highest epoch; undefined when there is none */
  async findOwner() {
    const states = await Promise.all(this.nodes.map((node) => this.getState(node)));
    const owners = this.nodes
      .map((node, index) => ({ node, ownership: states[index]?.ownership }))
      .filter(({ ownership }) => ownership?.kind === 'owning')
      .sort((left, right) => right.ownership.epoch - left.ownership.epoch);
    return owners[0]?.node;
  }

  /**
   * Starts a worker.
   * @param spec - its `zone`, `cpu`, `labels` and so on
   */
  async startWorker({ zone, cpu = 8_000, memMb = 16_384, labels = ['a', 'r1'], ...rest }) {
    const index = this.workers.length;
    const id = `w${index + 1}`;
    const host = `${this.network}.${101 + index}`;
    const options = { id, host, port: WORKER_PORT, beatMs: BEAT_MS, holdMaxMs: HOLD_MAX_MS };
    const worker = { id, host, zone, isCut: false, lives: 0 };
    worker.options = { ...options, service: SERVICE, zone, cpu, memMb, labels, ...rest };
    if (this.isTranslated) {
      for (const node of this.nodes) {
        const proxy = new Proxy({ host, port: WORKER_PORT });
        await proxy.listen();
        node.ways.set(id, proxy);
      }
    }
    this.workers.push(worker);
    this.runWorker(worker);
    return worker;
  }

  runWorker(run) {
    const worker = run;
    worker.lives += 1;
    worker.isUp = false;
    worker.process = spawn(process.execPath, [WORKER, JSON.stringify(worker.options)], {
      stdio: ['pipe', 'pipe', 'inherit'],
    });
    eachLine(worker.process.stdout, (line) => this.onWorkerLine(worker, line));
    worker.process.stdin.on('error', () => undefined);
    worker.process.on('exit', () => {
      worker.isUp = false;
    });
  }

  onWorkerLine(told, line) {
    const worker = told;
    const event = JSON.parse(line);
    if (event.event === 'beat') {
      if (!worker.isCut && !this.isClosing) this.store.beat(worker.id, event.entry);
      return;
    }
    if (event.event === 'up') worker.isUp = true;
    const { atMs, event: name, ...fields } = event;
    this.events.push(event);
    this.record(`worker ${name}`, fields, atMs);
    this.onWorkerEvent?.(event, worker);
  }

  /** Has a worker leave a share of its orders unanswered and carry them out late. */
  setLateShare(worker, lateShare) {
    worker.process.stdin.write(`${JSON.stringify({ lateShare })}\n`);
  }

  /** Kills a worker; it registers again once it is started again. */
  crashWorker(worker) {
    worker.process.kill('SIGKILL');
    const event = { atMs: Date.now(), worker: worker.id, event: 'crashed' };
    this.events.push(event);
    this.record('worker crashed', { worker: worker.id }, event.atMs);
  }

  /**
   * Sends a request and records it with its answer.
   * @returns status and body; status 0 when there was no answer
   */
  async ask(node, method, path, body, timeoutMs = 3_000) {
    const atMs = Date.now();
    const answer = await this.call(`${node.host}:${FRONT_PORT}`, method, path, body, timeoutMs);
    const fields = { node: node.name, method, path, sentAtMs: atMs - this.startMs, ...answer };
    if (body !== undefined) fields.sent = body;
    this.record('request', fields);
    return answer;
  }

  call(address, method, path, body, timeoutMs) {
    const [host, port] = address.split(':');
    return new Promise((resolve) => {
      const headers = { host: HOST, authorization: `Bearer ${KEY}`, connection: 'close' };
      const text = body === undefined ? undefined : JSON.stringify(body);
      if (text !== undefined) {
        headers['content-type'] = 'application/json';
        headers['content-length'] = Buffer.byteLength(text);
      }
      const request = http.request({ host, port, method, path, headers, agent: false }, (reply) => {
        const chunks = [];
        reply.on('data', (chunk) => chunks.push(chunk));
        reply.on('error', () => resolve({ status: 0, detail: 'broken' }));
        reply.on('end', () => {
          const full = Buffer.concat(chunks).toString('utf8');
          let value = full;
          try {
            value = JSON.parse(full);
          } catch {
            // Kept as text.
          }
          resolve({ status: reply.statusCode, body: value });
        });
      });
      request.setTimeout(timeoutMs, () => request.destroy(new Error('timeout')));
      request.on('error', (error) => resolve({ status: 0, detail: String(error.message) }));
      request.end(text);
    });
  }

  async waitFor(what, timeoutMs, check) {
    const untilMs = Date.now() + timeoutMs;
    for (;;) {
      if (await check()) return;
      if (Date.now() > untilMs) throw new Error(`not in time: ${what}`);
      await sleep(50);
    }
  }

  /** Appends the log lines of the nodes that hold one of some texts. */
  recordLogs(texts) {
    this.nodes.forEach(({ name, log = [] }) => {
      log
        .filter((line) => texts.some((text) => line.includes(text)))
        .forEach((line) => {
          let fields;
          try {
            const { v, pid, hostname, time, msg, ...rest } = JSON.parse(line);
            fields = { msg, ...rest };
            this.record(`log of ${name}`, fields, Date.parse(time));
          } catch {
            this.record(`log of ${name}`, { line });
          }
        });
    });
  }

  /** Ends every process that this deployment has started, by its id. */
  async close() {
    this.isClosing = true;
    const children = [...this.nodes, ...this.workers].flatMap(({ process: child }) =>
      child === undefined || child.exitCode !== null || child.signalCode !== null ? [] : [child],
    );
    const ends = children.map(
      (child) =>
        new Promise((resolve) => {
          child.once('exit', resolve);
        }),
    );
    children.forEach((child) => child.kill('SIGKILL'));
    await Promise.all(ends);
    this.nodes.forEach(({ peers, ways }) => {
      [...peers.values(), ...ways.values()].forEach((proxy) => proxy.close());
    });
    this.store.close();
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/**
 * Runs a case and ends this process: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 * @param folder - folder of the case
 * @param run - gets the deployment and whether the disruption is to happen; returns what broke the rule, or undefined
 * @param options - see {@link Deployment}
 */
export async function runCase(folder, run, { isTranslated = false } = {}) {
  const deployment = new Deployment(join(folder, 'record.txt'), isTranslated);
  const isTroubled = process.env.TROUBLE !== '0';
  let code = 2;
  try {
    deployment.record('case begins', { isTroubled });
    const broken = await run(deployment, isTroubled);
    deployment.record(broken === undefined ? 'rule held' : 'rule broken', { broken });
    process.stdout.write(`${broken === undefined ? 'rule held' : `rule broken: ${broken}`}\n`);
    code = broken === undefined ? 0 : 1;
  } catch (error) {
    deployment.record('case could not run', { error: String(error) });
    process.stdout.write(`case could not run: ${error.stack}\n`);
  }
  await deployment.close().catch(() => undefined);
  process.exit(code);
}

/** Creates the id of a submission, 16 hexadecimal digits. */
export function createId() {
  return Array.from({ length: 16 }, () => Math.floor(Math.random() * 16).toString(16)).join('');
}
