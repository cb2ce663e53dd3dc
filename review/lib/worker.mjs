// Stand-in of a worker, as PROTOCOL.md says: fencing, leases, run numbers, and ends that stay listed until they are seen.
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';

const BEAT_MS = 1_500;
const HOLD_MAX_MS = 10_000;
const MAX_LISTED_ENDS = 500;

export class Worker {
  #record;

  #store;

  #options;

  #server;

  #sockets = new Set();

  #beat;

  #isCut = false;

  runs = new Map();

  isUp = false;

  /**
   * @param options - id, host, port, service, zone, capacity, labels, stopMs and getPlan, which tells what a task does
   */
  constructor(store, record, options) {
    this.#store = store;
    this.#record = record;
    this.#options = { stopMs: 100, getPlan: () => ({ workMs: 1_000, how: 'done' }), ...options };
    this.id = options.id;
  }

  /** Begins a life: it holds and knows nothing of before. Its first entry comes after the delay. */
  async start(registerAfterMs = 0) {
    this.born = Date.now();
    this.bornAt = performance.now();
    this.seq = 0;
    this.fence = 0;
    this.leaseUntil = 0;
    this.ends = [];
    this.endCount = 0;
    this.closed = new Map();
    this.waiting = new Set();
    this.runs = new Map();
    this.isUp = true;
    this.#server = createServer((message, response) => {
      this.#handle(message, response).catch(() => response.destroy());
    });
    this.#server.on('connection', (socket) => this.#onConnection(socket));
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(this.#options.port, this.#options.host, resolve);
    });
    this.#record.add('worker-up', { worker: this.id, born: this.born });
    const begin = () => {
      this.register();
      this.#beat = setInterval(() => this.register(), BEAT_MS);
    };
    if (registerAfterMs === 0) begin();
    else setTimeout(begin, registerAfterMs);
  }

  /** The process ends: its runs end with it, and its host resets the connections. */
  crash() {
    this.#record.add('worker-crash', { worker: this.id, runs: [...this.runs.keys()] });
    this.isUp = false;
    clearInterval(this.#beat);
    this.runs.forEach((run) => clearTimeout(run.timer));
    this.runs.clear();
    clearTimeout(this.leaseTimer);
    this.#server.close();
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
    this.#sockets.clear();
  }

  /** Cuts the worker off from everybody, or heals the cut: what was sent meanwhile then arrives. */
  setCut(isCut) {
    this.#record.add(isCut ? 'worker-cut' : 'worker-healed', { worker: this.id });
    this.#isCut = isCut;
    this.#sockets.forEach((socket) => (isCut ? socket.pause() : socket.resume()));
    if (isCut) return;
    const held = this.heldAnswers ?? [];
    this.heldAnswers = [];
    held.forEach((send) => send());
  }

  register() {
    if (!this.isUp || this.#isCut) return;
    const { host, port, service, zone, capacity, labels, state = 'ready' } = this.#options;
    this.seq += 1;
    this.#store.put('servers', this.id, {
      ...{
        service,
        addr: `${host}:${port}`,
        zone,
        version: 'v1',
        slots: 8,
        state,
        'cold-left-ms': 0,
      },
      ...{ seq: this.seq, born: this.born, capacity, labels },
    });
  }

  stop() {
    clearInterval(this.#beat);
    clearTimeout(this.leaseTimer);
    this.runs.forEach((run) => clearTimeout(run.timer));
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  get clockMs() {
    return Math.floor(performance.now() - this.bornAt);
  }

  #onConnection(socket) {
    this.#sockets.add(socket);
    socket.on('close', () => this.#sockets.delete(socket));
    if (this.#isCut) socket.pause();
  }

  async #handle(message, response) {
    const chunks = [];
    for await (const chunk of message) chunks.push(chunk);
    const body = JSON.parse(Buffer.concat(chunks).toString('utf8'));
    const expected = message.headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      this.#send(response, 421, {});
      return;
    }
    const fence = body.fence ?? 0;
    if (fence < this.fence) {
      this.#send(response, 409, { reason: 'fence' });
      return;
    }
    this.fence = fence;
    if (message.url === '/api/run-start') this.#start(body, response);
    else if (message.url === '/api/run-stop') this.#stopRun(body, response);
    else if (message.url === '/api/hold') this.#hold(body, response);
    else this.#send(response, 404, {});
  }

  #send(response, status, value) {
    const send = () => {
      if (response.destroyed) return;
      response.writeHead(status, { 'content-type': 'application/json' });
      response.end(JSON.stringify({ 'clock-ms': this.clockMs, born: this.born, ...value }));
    };
    if (this.#isCut) (this.heldAnswers ??= []).push(send);
    else send();
  }

  #start({ task, run, spec, 'deadline-ms': deadlineMs, 'last-save': lastSave }, response) {
    const key = `${task}#${run}`;
    if (this.runs.has(key)) {
      this.#send(response, 200, {});
      return;
    }
    this.#extendLease(deadlineMs);
    const refuse = (reason) => {
      this.#record.add('start-refused', { worker: this.id, task, run, reason });
      this.#send(response, 409, { reason });
    };
    if (run <= (this.closed.get(task) ?? 0)) {
      refuse('old');
      return;
    }
    if (deadlineMs <= this.clockMs) {
      refuse('late');
      return;
    }
    const plan = this.#options.getPlan({ task, run, worker: this });
    const started = { task, run, startedAt: performance.now(), workMs: plan.workMs };
    started.timer = setTimeout(() => this.#end(key, plan.how ?? 'done'), plan.workMs);
    this.runs.set(key, started);
    this.#record.add('start', { worker: this.id, task, run, spec, lastSave });
    this.#send(response, 200, {});
    plan.onStarted?.(started);
  }

  #stopRun({ task, run }, response) {
    this.#record.add('stop', { worker: this.id, task, run });
    this.#close(task, run);
    this.runs.forEach((known, key) => {
      if (known.task !== task || known.run > run || known.isStopping) return;
      Object.assign(known, { isStopping: true });
      clearTimeout(known.timer);
      Object.assign(known, {
        timer: setTimeout(() => this.#end(key, 'stopped'), this.#options.stopMs),
      });
    });
    this.#send(response, 200, {});
  }

  #hold({ 'deadline-ms': deadlineMs, 'last-seen': lastSeen = 0, 'wait-ms': waitMs = 0 }, response) {
    if (deadlineMs !== undefined) this.#extendLease(deadlineMs);
    const seen = this.ends.filter(({ number }) => number <= lastSeen);
    seen.forEach((end) => this.#record.add('end-seen', { worker: this.id, ...end }));
    if (seen.length > 0) this.ends = this.ends.filter(({ number }) => number > lastSeen);
    const answer = () => this.#send(response, 200, this.#getLists());
    if (this.ends.length > 0 || waitMs === 0) {
      answer();
      return;
    }
    const answerOnce = () => {
      clearTimeout(timer);
      if (this.waiting.delete(answerOnce)) answer();
    };
    const timer = setTimeout(answerOnce, Math.min(waitMs, 2_000));
    this.waiting.add(answerOnce);
  }

  #getLists() {
    const nowAt = performance.now();
    const running = [...this.runs.values()].map(({ task, run, startedAt, workMs }) => {
      const percent = Math.min(99, Math.floor(((nowAt - startedAt) * 100) / workMs));
      return [task, run, '', percent, 0];
    });
    const ended = this.ends
      .slice(0, MAX_LISTED_ENDS)
      .map(({ number, task, run, how }) => [number, task, run, how, '']);
    return { running, ended };
  }

  #extendLease(deadlineMs) {
    const untilMs = Math.min(deadlineMs, this.clockMs + HOLD_MAX_MS);
    if (untilMs <= this.leaseUntil) return;
    this.leaseUntil = untilMs;
    clearTimeout(this.leaseTimer);
    this.leaseTimer = setTimeout(() => this.#lapse(), untilMs - this.clockMs);
  }

  #lapse() {
    this.#record.add('lease-lapsed', { worker: this.id });
    [...this.runs.keys()].forEach((key) => this.#end(key, 'lapsed'));
  }

  #close(task, run) {
    this.closed.set(task, Math.max(run, this.closed.get(task) ?? 0));
  }

  #end(key, how) {
    const ended = this.runs.get(key);
    if (ended === undefined) return;
    clearTimeout(ended.timer);
    this.runs.delete(key);
    this.#close(ended.task, ended.run);
    this.endCount += 1;
    const end = { number: this.endCount, task: ended.task, run: ended.run, how };
    this.ends.push(end);
    this.#record.add('end', { worker: this.id, ...end });
    [...this.waiting].forEach((answer) => answer());
  }
}
