// Two workers run a step of many short tasks while the store is down for 4.5 s. A worker lists 500 of its ends at a time.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { hasTrouble, runCase, sleep } from '../lib/deployment.mjs';
import { checkTwice } from '../lib/rules.mjs';

const ID = '5c0e7a21d94b36f8';
const TASK_COUNT = 6_000;
const WORK_MS = 400;
const OUTAGE_MS = 4_500;
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

const createWorker = (number) => ({
  ...{ id: `worker-${number}`, service: 'desk', zone: 'zone', labels: ['a', `rack-${number}`] },
  capacity: { cpu: 64_000, 'mem-mb': 131_072, gpu: 0 },
  getPlan: () => ({ workMs: WORK_MS, how: 'done' }),
});

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment) => {
  const { record } = deployment;
  await deployment.start({
    config: CONFIG,
    nodeCount: 3,
    workers: [createWorker(1), createWorker(2)],
  });
  const path = `/checks/${ID}`;
  const steps = [{ count: TASK_COUNT, cpu: 100, 'mem-mb': 64, 'est-ms': WORK_MS }];
  await deployment.send({
    method: 'POST',
    path,
    ...QUEUE,
    body: { spec: 'many short tasks', steps },
  });
  await sleep(1_000);
  if (hasTrouble) {
    record.add('store-down');
    deployment.store.fault = 'busy';
    await sleep(OUTAGE_MS);
    deployment.store.fault = 'none';
    record.add('store-back');
  }
  await deployment.waitUntil('succeeded', 60_000, async () => {
    await sleep(500);
    const reply = await deployment.send({ method: 'GET', path, ...QUEUE });
    return reply.body?.state === 'succeeded';
  });
  await sleep(2_000);
  const starts = record.entries.filter(({ kind }) => kind === 'start').length;
  console.log(`${TASK_COUNT} tasks, ${starts} starts`);
  return checkTwice(record.entries);
});
