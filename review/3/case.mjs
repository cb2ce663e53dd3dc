// A submission whose steps run every 100 ms. After 150 occurrences the owner is restarted as planned.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { hasTrouble, runCase, sleep } from '../lib/deployment.mjs';
import { checkTwice } from '../lib/rules.mjs';

const ID = '5c0e7a21d94b36f8';
const OCCURRENCE_COUNT = 250;
const INTERVAL_MS = 100;
const WORK_MS = 300;
const RESTART_AFTER_MS = 15_000;
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
  await deployment.start({ config: CONFIG, nodeCount: 3, workers: [1, 2].map(createWorker) });
  const path = `/checks/${ID}`;
  const steps = [{ count: 10, cpu: 1_000, 'mem-mb': 512, 'est-ms': WORK_MS }];
  const times = {
    repeats: OCCURRENCE_COUNT,
    'start-time-ms': Date.now(),
    'interval-ms': INTERVAL_MS,
  };
  await deployment.send({
    method: 'POST',
    path,
    ...QUEUE,
    body: { spec: 'a watch', steps, ...times },
  });
  await sleep(RESTART_AFTER_MS);
  const owner = await deployment.findOwner();
  if (hasTrouble) owner.signal('SIGTERM');
  await sleep(OCCURRENCE_COUNT * INTERVAL_MS - RESTART_AFTER_MS + 3_000);
  const starts = record.entries.filter(({ kind }) => kind === 'start').length;
  console.log(`${OCCURRENCE_COUNT * steps[0].count} tasks, ${starts} starts`);
  return checkTwice(record.entries);
});
