/**
 * A node freezes for 4 s. A requester hands a submission in there, gets no answer within its time limit, leaves and
 * cancels the submission at another node, which answers. The frozen node wakes, and reads the request.
 */

import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import {
  BOUNDS,
  call,
  createConfig,
  isTrouble,
  main,
  now,
  sleep,
  Worker,
} from '../lib-3/fleet.mjs';

const FREEZE_MS = 4_000;
const TIME_LIMIT_MS = 3_000;
const WATCH_MS = 25_000;

const BATCH = {
  spec: 'ms=4000',
  steps: [
    { count: 2, cpu: 1_000, 'mem-mb': 512, 'est-ms': 4_000 },
    { count: 2, cpu: 1_000, 'mem-mb': 512, 'est-ms': 4_000, after: [0] },
  ],
};
const LASTING = {
  spec: 'lasts',
  steps: [{ count: 2, cpu: 1_000, 'mem-mb': 512, 'est-ms': 300, 'long-running': true }],
};
const SUBMISSIONS = [
  ['00000000000000b1', BATCH],
  ['00000000000000c1', LASTING],
];

async function play({ record, store, workers, nodes, host }) {
  store.put('op', 'config', createConfig());
  for (let number = 1; number <= 4; number += 1) {
    const worker = new Worker(`w${number}`, store, record);
    workers.push(worker);
    await worker.start(host);
  }
  for (const name of ['n1', 'n2', 'n3']) await nodes.add(name);
  const owner = await nodes.awaitReady();
  const [frozen, other] = nodes.all.filter((node) => node !== owner);
  await sleep(3_500);
  record.add(`the owner is ${owner.name}; the requests go to ${frozen.name}`);

  if (isTrouble) nodes.signal(frozen, 'SIGSTOP');
  const frozenAtMs = now();
  await sleep(300);
  const sent = SUBMISSIONS.map(async ([id, body]) => {
    record.add(`POST ${id} at ${frozen.name}`);
    const options = { body: JSON.stringify(body), waitMs: TIME_LIMIT_MS };
    const { status, text } = await call(frozen.front, 'POST', `/jobs/${id}`, options);
    record.add(`POST ${id}: ${status || text}`);
    return status;
  });
  await Promise.all(sent);
  const cancelledAtMs = new Map();
  for (const [id] of SUBMISSIONS) {
    record.add(`DELETE ${id} at ${other.name}`);
    const { status, text } = await call(other.front, 'DELETE', `/jobs/${id}`);
    record.add(`DELETE ${id}: ${status || text}`);
    if (status !== 200 && status !== 410) throw new Error('the cancelling was not acknowledged');
    cancelledAtMs.set(id, now());
  }
  await sleep(frozenAtMs + FREEZE_MS - now());
  if (isTrouble) nodes.signal(frozen, 'SIGCONT');
  await sleep(WATCH_MS);

  const endMs = now();
  for (const [id] of SUBMISSIONS) {
    const { status, text } = await call(other.front, 'GET', `/jobs/${id}`);
    record.add(`GET ${id}: ${status} ${text}`);
  }
  const broken = [];
  workers.forEach((worker) =>
    worker.runs.forEach(({ task, run, beginMs, endMs: endedMs = endMs }) => {
      const atMs = cancelledAtMs.get(task.slice(0, 16));
      const name = `${task} run ${run} on ${worker.id}`;
      if (beginMs > atMs + BOUNDS.cancelMs)
        broken.push(
          `UNASKED: ${name} starts ${beginMs - atMs} ms after the cancelling was answered`,
        );
      else if (endedMs > atMs + BOUNDS.cancelMs + BOUNDS.stopMs)
        broken.push(
          `UNASKED: ${name} runs on ${endedMs - atMs} ms after the cancelling was answered`,
        );
    }),
  );
  return broken;
}

await main(dirname(fileURLToPath(import.meta.url)), play);
