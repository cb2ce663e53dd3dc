/**
 * Seven of nine nodes are lost at once and for good, the owner among them. The two others are sound, and so are the
 * store and the workers. Accepted submissions get no answer, and their tasks that last are not started again.
 */

import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { call, createConfig, isTrouble, main, now, sleep, Worker } from '../lib-3/fleet.mjs';

const NODE_COUNT = 9;
const LOST_COUNT = Number(process.env.LOST_COUNT ?? 7);
const SUBMISSION_COUNT = 4;

/** The end of the traffic after the loss, and `finish_s` after that. */
const TRAFFIC_MS = 5_000;
const FINISH_MS = 14_000;
const TRIES = 4;

/** A task that lasts is owed from 6 s after its last run, for 3 s. */
const OWED_AFTER_MS = 6_000;
const IDLE_LIMIT_MS = 3_000;

const BODY = JSON.stringify({
  spec: 'lasts',
  steps: [{ count: 2, cpu: 1_000, 'mem-mb': 512, 'est-ms': 300, 'long-running': true }],
});

async function play({ record, store, workers, nodes, host }) {
  store.put('op', 'config', createConfig());
  for (let number = 1; number <= 6; number += 1) {
    const worker = new Worker(`w${number}`, store, record);
    workers.push(worker);
    await worker.start(host);
  }
  for (let number = 1; number <= NODE_COUNT; number += 1) await nodes.add(`n${number}`);
  const owner = await nodes.awaitReady();
  const others = nodes.all.filter((node) => node !== owner);
  const ids = [];
  for (let number = 0; number < SUBMISSION_COUNT; number += 1) {
    const id = (0xd000 + number).toString(16).padStart(16, '0');
    const { status, text } = await call(others[7].front, 'POST', `/jobs/${id}`, { body: BODY });
    record.add(`POST ${id}: ${status || text}`);
    if (status === 200) ids.push(id);
  }
  // Long enough for the owner to know all nodes.
  await sleep(10_000);
  const lost = [owner, ...others].slice(0, LOST_COUNT);
  const left = nodes.all.filter((node) => !lost.includes(node));
  record.add(
    `lost: ${lost.map(({ name }) => name).join(', ')}; left: ${left.map(({ name }) => name).join(', ')}`,
  );
  if (isTrouble) lost.forEach((node) => nodes.signal(node, 'SIGKILL'));
  const lostAtMs = now();
  await sleep(TRAFFIC_MS + FINISH_MS);

  const broken = [];
  const askedAtMs = now();
  for (const id of ids) {
    let state;
    for (let number = 0; number < TRIES && state === undefined; number += 1) {
      const node = left[number % left.length];
      const { status, text } = await call(node.front, 'GET', `/jobs/${id}`);
      record.add(`GET ${id} at ${node.name}: ${status || ''} ${text}`);
      if (status === 200) ({ state } = JSON.parse(text));
      else await sleep(500);
    }
    if (state === undefined)
      broken.push(`LOST: ${id} gets no answer ${now() - lostAtMs} ms after the loss`);
  }
  const runs = workers.flatMap((worker) => worker.runs);
  new Set(runs.map(({ task }) => task)).forEach((task) => {
    const ends = runs.filter((run) => run.task === task).map(({ endMs = now() }) => endMs);
    const idleMs = askedAtMs - Math.max(...ends);
    if (idleMs > OWED_AFTER_MS + IDLE_LIMIT_MS)
      broken.push(`LOST: ${task} has not run for ${idleMs} ms, with room on all workers`);
  });
  const untilMs = lostAtMs + Number(process.env.WATCH_MS ?? 0);
  while (now() < untilMs) {
    const { status } = await call(left[0].front, 'GET', `/jobs/${ids[0]}`);
    record.add(`GET ${ids[0]}: ${status}`);
    if (status === 200) break;
    await sleep(1_000);
  }
  return broken;
}

await main(dirname(fileURLToPath(import.meta.url)), play);
