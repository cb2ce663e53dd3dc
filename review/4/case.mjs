// A worker is cut off and runs on. A submission that runs there is cancelled, and then the owner is restarted as planned.
// The next owner does not count what still runs on the silent worker, and starts other work of the tenant.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { hasTrouble, NotRun, runCase, sleep } from '../lib/deployment.mjs';
import { checkQuota } from '../lib/rules.mjs';

const MAX_CPU = 40_000;
const QUOTA_OVER = 0.1;
const TASK_CPU = 5_000;
const CUT_MS = 5_500;
const SECOND_AFTER_MS = 2_700;
const FIRST_ID = '5c0e7a21d94b36f8';
const SECOND_ID = '6c0e7a21d94b36f8';
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
  const submit = (id, avoid) =>
    deployment.send({
      method: 'POST',
      path: `/checks/${id}`,
      ...QUEUE,
      avoid,
      body: { spec: 'a plan', steps },
    });
  await submit(FIRST_ID);
  await sleep(1_500);
  const used = deployment.workers.filter(({ runs }) => runs.size > 0);
  if (used.length === 0) throw new NotRun('nothing runs');
  const owner = await deployment.findOwner();
  if (hasTrouble) {
    used.forEach((worker) => worker.setCut(true));
    setTimeout(() => used.forEach((worker) => worker.setCut(false)), CUT_MS);
    await sleep(200);
  }
  await deployment.send({ method: 'DELETE', path: `/checks/${FIRST_ID}`, ...QUEUE });
  if (hasTrouble) owner.signal('SIGTERM');
  await sleep(SECOND_AFTER_MS);
  await submit(SECOND_ID, hasTrouble ? owner : undefined);
  record.add('second-accepted');
  await sleep(9_000);
  return checkQuota(record.entries, MAX_CPU, QUOTA_OVER, () => TASK_CPU);
});
