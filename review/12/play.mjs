/**
 * One of eight workers crashes four times, each time right after it was given a task, and is back 2 s later. The seven
 * others are sound and have room. Tasks that never end `failed` are given up, and their submissions shown as `failed`.
 */

import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { call, createConfig, isTrouble, main, sleep, Worker } from '../lib-3/fleet.mjs';

const CRASH_COUNT = Number(process.env.CRASH_COUNT ?? 4);
const CRASH_AFTER_MS = 40;
const DOWN_MS = Number(process.env.DOWN_MS ?? 2_000);
const SUBMISSION_COUNT = Number(process.env.SUBMISSION_COUNT ?? 30);
const INTERVAL_MS = Number(process.env.INTERVAL_MS ?? 300);
const WORK_MS = 3_000;

const STEP = { count: 1, cpu: 2_000, 'mem-mb': 1_024, 'est-ms': WORK_MS };
const BODY = JSON.stringify({ spec: `ms=${WORK_MS}`, steps: [STEP] });

function crashOnStart(worker, host) {
  const bad = worker;
  let leftCount = CRASH_COUNT;
  bad.onStart = () => {
    if (leftCount === 0) return;
    leftCount -= 1;
    setTimeout(() => {
      bad.crash();
      setTimeout(() => bad.start(host), DOWN_MS);
    }, CRASH_AFTER_MS);
  };
}

async function play({ record, store, workers, nodes, host }) {
  store.put('op', 'config', createConfig());
  for (let number = 1; number <= 8; number += 1) {
    const worker = new Worker(`w${number}`, store, record);
    workers.push(worker);
    await worker.start(host);
  }
  for (const name of ['n1', 'n2', 'n3']) await nodes.add(name);
  await nodes.awaitReady();
  await sleep(3_500);
  const [{ front }] = nodes.all;
  if (isTrouble) crashOnStart(workers[0], host);
  const ids = [];
  for (let number = 0; number < SUBMISSION_COUNT; number += 1) {
    const id = (0xa000 + number).toString(16).padStart(16, '0');
    const { status, text } = await call(front, 'POST', `/work/${id}`, { body: BODY });
    record.add(`POST ${id}: ${status || text}`);
    if (status === 200) ids.push(id);
    await sleep(INTERVAL_MS);
  }
  await sleep(15_000);
  const broken = [];
  for (const id of ids) {
    const { status, text } = await call(front, 'GET', `/work/${id}`);
    const runs = workers.flatMap((worker) => worker.runs).filter(({ task }) => task.startsWith(id));
    const failedCount = runs.filter(({ how }) => how === 'failed').length;
    record.add(
      `GET ${id}: ${status || ''} ${text}; runs: ${runs.map(({ worker, how }) => `${worker} ${how}`).join(', ')}`,
    );
    if (text.includes('"failed"') && failedCount === 0)
      broken.push(
        `LOST: ${id} is shown as failed, and none of its ${runs.length} runs has ended failed`,
      );
  }
  return broken;
}

await main(dirname(fileURLToPath(import.meta.url)), play);
