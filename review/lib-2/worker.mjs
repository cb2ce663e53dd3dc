/**
 * Stand-in of a worker, a process of its own: `node worker.mjs JSON`. It keeps leases, fences, run numbers and ends as
 * PROTOCOL.md says, and tells on standard output what it starts and ends, one JSON line for each event.
 *
 * What a task does stands in its `spec`, a JSON text: `{"workMs":N}` or `{"lasts":true}`. A task that lasts may fail
 * soon after each start until some time: `{"lasts":true,"failsUntilMs":T,"failAfterMs":N}`.
 */

import http from 'node:http';

const options = JSON.parse(process.argv[2]);
const { id, host, port, beatMs, holdMaxMs, startupMs = 50, clockRate = 1 } = options;
const STOP_MS = 20;
const LEASE_CHECK_MS = 10;

const bornMs = Date.now();
const startedMs = performance.now();
const running = new Map();
const latestRuns = new Map();
const waiters = new Set();
let ended = [];
let endCount = 0;
let fence = 0;
let deadlineMs = 0;
let sequence = 0;

/** Share of orders that are not answered and carried out late; set on standard input. */
let lateShare = 0;
const LATE_MIN_MS = 2_000;
const LATE_MAX_MS = 12_000;

const getClockMs = () => Math.floor((performance.now() - startedMs) * clockRate);

function tell(event, fields = {}) {
  process.stdout.write(`${JSON.stringify({ atMs: Date.now(), worker: id, event, ...fields })}\n`);
}

function end(entry, how) {
  if (running.get(entry.key) !== entry) return;
  clearTimeout(entry.timer);
  running.delete(entry.key);
  endCount += 1;
  ended.push([endCount, entry.task, entry.run, how, '']);
  latestRuns.set(entry.task, Math.max(latestRuns.get(entry.task) ?? 0, entry.run));
  tell('ended', { task: entry.task, run: entry.run, how });
  [...waiters].forEach((waiter) => waiter());
}

function extendLease(untilMs) {
  if (untilMs === undefined) return;
  deadlineMs = Math.max(deadlineMs, Math.min(untilMs, getClockMs() + holdMaxMs));
}

function getPercent({ atMs, spec }) {
  const ageMs = performance.now() - atMs;
  if (spec.lasts) return ageMs >= startupMs ? 100 : 0;
  return Math.min(99, Math.floor((100 * ageMs) / spec.workMs));
}

function start(body) {
  const key = `${body.task}/${body.run}`;
  if (running.has(key)) return [200, {}];
  extendLease(body['deadline-ms']);
  if (body.run <= (latestRuns.get(body.task) ?? 0)) return [409, { reason: 'old' }];
  if (body['deadline-ms'] <= getClockMs()) return [409, { reason: 'late' }];
  const spec = JSON.parse(body.spec);
  const entry = { key, task: body.task, run: body.run, spec, atMs: performance.now() };
  running.set(key, entry);
  if (!spec.lasts) {
    const how = Math.random() < (spec.failShare ?? 0) ? 'failed' : 'done';
    entry.timer = setTimeout(() => end(entry, how), spec.workMs);
  }
  if (spec.lasts && Date.now() < (spec.failsUntilMs ?? 0))
    entry.timer = setTimeout(() => end(entry, 'failed'), spec.failAfterMs);
  tell('started', { task: body.task, run: body.run, fence: body.fence });
  return [200, {}];
}

function stop(body) {
  latestRuns.set(body.task, Math.max(latestRuns.get(body.task) ?? 0, body.run));
  const entry = running.get(`${body.task}/${body.run}`);
  if (entry !== undefined) setTimeout(() => end(entry, 'stopped'), STOP_MS);
  return [200, {}];
}

async function hold(body) {
  extendLease(body['deadline-ms']);
  const kept = ended.filter(([number]) => number > (body['last-seen'] ?? 0));
  if (kept.length < ended.length) {
    const taken = ended.slice(0, ended.length - kept.length);
    tell('taken note of', { ends: taken.map(([, task, run, how]) => `${task}/${run} ${how}`) });
  }
  ended = kept;
  const waitMs = body['wait-ms'] ?? 0;
  if (ended.length === 0 && waitMs > 0) {
    await new Promise((resolve) => {
      const done = () => {
        clearTimeout(timer);
        waiters.delete(done);
        resolve();
      };
      const timer = setTimeout(done, waitMs);
      waiters.add(done);
    });
  }
  const list = [...running.values()].map((entry) => [
    ...[entry.task, entry.run, '', getPercent(entry), 0],
  ]);
  return [200, { running: list, ended: ended.slice(0, 500) }];
}

async function answer(path, headers, body) {
  const instance = headers['expect-instance'];
  if (instance !== undefined && instance !== id) return [421, {}];
  const given = body.fence ?? 0;
  if (given < fence) return [409, { reason: 'fence' }];
  if (given > fence) tell('fence', { fence: given });
  fence = given;
  if (path === '/api/run-start') return start(body);
  if (path === '/api/run-stop') return stop(body);
  if (path === '/api/hold') return hold(body);
  return [404, {}];
}

const server = http.createServer(async (message, response) => {
  const chunks = [];
  for await (const chunk of message) chunks.push(chunk);
  const body = JSON.parse(Buffer.concat(chunks).toString('utf8') || '{}');
  if (Math.random() < lateShare) {
    const lateMs = LATE_MIN_MS + Math.random() * (LATE_MAX_MS - LATE_MIN_MS);
    setTimeout(() => answer(message.url, message.headers, { ...body, 'wait-ms': 0 }), lateMs);
    return;
  }
  const [status, value] = await answer(message.url, message.headers, body);
  const text = JSON.stringify({ 'clock-ms': getClockMs(), born: bornMs, ...value });
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
});
server.keepAliveTimeout = 60_000;

setInterval(() => {
  if (running.size === 0 || getClockMs() <= deadlineMs) return;
  [...running.values()].forEach((entry) => end(entry, 'lapsed'));
}, LEASE_CHECK_MS);

function beat() {
  sequence += 1;
  tell('beat', {
    entry: {
      ...{ service: options.service, addr: `${host}:${port}`, zone: options.zone, version: '1' },
      ...{ slots: 8, state: 'ready', 'cold-left-ms': 0, seq: sequence, born: bornMs },
      capacity: { cpu: options.cpu, 'mem-mb': options.memMb, gpu: 0 },
      labels: options.labels,
    },
  });
}

process.stdin.setEncoding('utf8');
process.stdin.on('data', (text) => {
  const lines = text.split('\n').filter((line) => line !== '');
  lines.forEach((line) => {
    lateShare = JSON.parse(line).lateShare ?? lateShare;
  });
});

server.listen(port, host, () => {
  tell('up', { bornMs });
  beat();
  setInterval(beat, beatMs);
});
