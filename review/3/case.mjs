// All nodes are killed while the store is down for 4.5 s. The node that takes over reads the desired state only after it
// has begun to start tasks, so that a tenant's `max-count` does not bind.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { hasTrouble, runCase, sleep } from '../lib/deployment.mjs';
import { checkQuota } from '../lib/rules.mjs';

const MAX_CPU = 40_000;
const QUOTA_OVER = 0.1;
const TASK_CPU = 5_000;
const OUTAGE_MS = 4_500;
const KILL_AFTER_MS = 1_700;
const IDS = ['5c0e7a21d94b36f8', '6c0e7a21d94b36f8'];
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
      ...{ name: 'team-a', 'api-keys': [QUEUE.key], weight: 5 },
      'max-count': { cpu: MAX_CPU, 'mem-mb': 0, gpu: 0 },
    },
  ],
};

const createWorker = (number) => ({
  ...{ id: `worker-${number}`, service: 'desk', zone: 'zone', labels: ['a', `rack-${number}`] },
  capacity: { cpu: 64_000, 'mem-mb': 131_072, gpu: 0 },
  getPlan: () => ({ workMs: 40_000, how: 'done' }),
});

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment) => {
  const { record } = deployment;
  await deployment.start({ config: CONFIG, nodeCount: 3, workers: [1, 2, 3].map(createWorker) });
  const steps = [{ count: MAX_CPU / TASK_CPU, cpu: TASK_CPU, 'mem-mb': 1_024, 'est-ms': 40_000 }];
  for (const id of IDS) {
    const path = `/checks/${id}`;
    await deployment.send({ method: 'POST', path, ...QUEUE, body: { spec: 'a plan', steps } });
    await sleep(1_000);
  }
  await sleep(1_000);
  if (hasTrouble) {
    record.add('store-down');
    deployment.store.fault = 'silent';
    await sleep(KILL_AFTER_MS);
    deployment.nodes.forEach((node) => node.signal('SIGKILL'));
    await sleep(OUTAGE_MS - KILL_AFTER_MS);
    deployment.store.fault = 'none';
    record.add('store-back');
  }
  await sleep(8_000);
  return checkQuota(record.entries, MAX_CPU, QUOTA_OVER, () => TASK_CPU);
});
