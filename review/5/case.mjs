// An idle worker restarts under its id, and a start that was meant for its former life reaches the new one, whose clock
// begins anew: it grants a lease of 10 s. The owner knows that; the next one does not, and takes the lease for one of 5 s.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { hasTrouble, NotRun, runCase, sleep } from '../lib/deployment.mjs';
import { checkTwice } from '../lib/rules.mjs';

const ID = '5c0e7a21d94b36f8';
const WORK_MS = 20_000;
const FIRST_LIFE_MS = 13_000;
const DOWN_MS = 100;
const FIRST_BEAT_MS = 900;
const CUT_MS = 5_500;
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

const createWorker = (number, cpu) => ({
  ...{ id: `worker-${number}`, service: 'desk', zone: 'zone', labels: ['a', `rack-${number}`] },
  capacity: { cpu, 'mem-mb': 131_072, gpu: 0 },
  getPlan: () => ({ workMs: WORK_MS, how: 'done' }),
});

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment) => {
  const { record } = deployment;
  // The smaller worker is preferred, as the tasks leave less room there.
  await deployment.start({
    ...{ config: CONFIG, nodeCount: 3 },
    workers: [1, 2, 3, 4, 5, 6, 7, 8].map((number) =>
      createWorker(number, number === 1 ? 32_000 : 64_000),
    ),
  });
  const [first] = deployment.workers;
  await sleep(FIRST_LIFE_MS);
  if (hasTrouble) {
    first.crash();
    await sleep(DOWN_MS);
    await first.start(FIRST_BEAT_MS);
  }
  const steps = [{ count: 4, cpu: 5_000, 'mem-mb': 1_024, 'est-ms': WORK_MS }];
  const body = { spec: 'a plan', steps };
  await deployment.send({ method: 'POST', path: `/checks/${ID}`, ...QUEUE, body });
  await sleep(1_500);
  if (first.runs.size === 0) throw new NotRun('nothing runs on the worker that has restarted');
  if (hasTrouble) {
    const owner = await deployment.findOwner();
    owner.signal('SIGTERM');
    await sleep(300);
    first.setCut(true);
    setTimeout(() => first.setCut(false), CUT_MS);
  }
  await sleep(9_000);
  return checkTwice(record.entries);
});
