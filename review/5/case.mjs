// One worker of four has a fault: it ends a moment after it has begun a task, and comes back. The others are sound. The task
// never fails; its submission must not be shown as failed, as only ends `failed` count as attempts.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { hasTrouble, runCase, sleep } from '../lib/deployment.mjs';

const ID = '5c0e7a21d94b36f8';
const WORK_MS = 2_000;
const OTHER_ID = '4c0e7a21d94b36f8';
const OTHER_MS = 60_000;
const MAX_CRASHES = 4;
const CRASH_AFTER_MS = 40;
const DOWN_MS = 4_500;
const QUEUE = { host: 'checks.example', key: 'key-a' };

const CONFIG = {
  version: 3,
  routes: [
    {
      ...{ name: 'checks', host: QUEUE.host, 'path-prefix': '/checks/', service: 'desk' },
      ...{ 'timeout-ms': 3_000, 'target-duration-ms': 250, priority: 0, attempts: 3, stretch: 1.5 },
    },
  ],
  services: [{ name: 'desk', 'enforces-capacity': false }],
  tenants: [
    {
      name: 'team-a',
      'api-keys': [QUEUE.key],
      weight: 5,
      'max-count': { cpu: 0, 'mem-mb': 0, gpu: 0 },
    },
  ],
};

let crashCount = 0;

/** The worker with the fault: the first one that is given the task. */
let faulty;

/** A crash takes the worker down for a while; another life then begins at its address under its id. */
function crash(worker) {
  setTimeout(() => {
    worker.crash();
    setTimeout(() => worker.start(), DOWN_MS);
  }, CRASH_AFTER_MS);
}

const createWorker = (number) => ({
  ...{ id: `worker-${number}`, service: 'desk', zone: 'zone', labels: ['a', `rack-${number}`] },
  capacity: { cpu: 64_000, 'mem-mb': 131_072, gpu: 0 },
  getPlan: ({ worker, task }) => {
    if (task.startsWith(OTHER_ID)) return { workMs: OTHER_MS, how: 'done' };
    faulty ??= worker;
    if (hasTrouble && worker === faulty && crashCount < MAX_CRASHES) {
      crashCount += 1;
      crash(worker);
    }
    return { workMs: WORK_MS, how: 'done' };
  },
});

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment) => {
  const { record } = deployment;
  await deployment.start({ config: CONFIG, nodeCount: 3, workers: [1, 2, 3, 4].map(createWorker) });
  const path = `/checks/${ID}`;
  const submit = (id, step) =>
    deployment.send({
      ...{ method: 'POST', path: `/checks/${id}`, ...QUEUE },
      body: { spec: 'a check', steps: [step] },
    });
  const other = { count: 3, cpu: 50_000, 'mem-mb': 1_024, 'est-ms': OTHER_MS, 'anti-affinity': 1 };
  await submit(OTHER_ID, other);
  await sleep(1_000);
  await submit(ID, { count: 1, cpu: 5_000, 'mem-mb': 1_024, 'est-ms': WORK_MS });
  let state = '';
  await deployment.waitUntil('an outcome', 60_000, async () => {
    await sleep(300);
    state = (await deployment.send({ method: 'GET', path, ...QUEUE })).body?.state;
    return state === 'succeeded' || state === 'failed' || state === 'cancelled';
  });
  const failedEnds = record.entries.filter(({ kind, how }) => kind === 'end' && how === 'failed');
  return state === 'succeeded' || failedEnds.length >= 3
    ? []
    : [
        `${ID} is shown as ${state} after ${failedEnds.length} ends failed; its queue has 3 attempts`,
      ];
});
