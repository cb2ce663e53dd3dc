// A service is full, so its route is moved to a second service, where a waiting submission starts, and later moved back. Then
// the worker is cut off and the owner is restarted as planned: the next owner does not wait for the second service.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { hasTrouble, NotRun, runCase, sleep } from '../lib/deployment.mjs';
import { checkTwice } from '../lib/rules.mjs';

const ID = '5c0e7a21d94b36f8';
const CUT_MS = 5_500;
const RESTART_AFTER_MS = 300;
const WORK_MS = 15_000;
const BUSY_ID = '4c0e7a21d94b36f8';
const BUSY_MS = 4_000;
const QUEUE = { host: 'checks.example', key: 'key-a' };
const SERVICES = ['desk-a', 'desk-b'];

const createConfig = (version, service) => ({
  version,
  routes: [
    {
      ...{ name: 'checks', host: QUEUE.host, 'path-prefix': '/checks/', service },
      ...{ 'timeout-ms': 3_000, 'target-duration-ms': 250, priority: 0, attempts: 3, stretch: 1.5 },
    },
  ],
  services: SERVICES.map((name) => ({ name, 'enforces-capacity': false })),
  tenants: [
    {
      name: 'team-a',
      'api-keys': [QUEUE.key],
      weight: 5,
      'max-count': { cpu: 0, 'mem-mb': 0, gpu: 0 },
    },
  ],
});

const createWorker = (service, number) => ({
  ...{ id: `${service}-${number}`, service, zone: 'zone', labels: ['a', `rack-${number}`] },
  capacity: { cpu: 64_000, 'mem-mb': 131_072, gpu: 0 },
  getPlan: ({ task }) => ({ workMs: task.startsWith(BUSY_ID) ? BUSY_MS : WORK_MS, how: 'done' }),
});

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment) => {
  const { record } = deployment;
  await deployment.start({
    ...{ config: createConfig(3, 'desk-a'), nodeCount: 3 },
    workers: SERVICES.flatMap((service) =>
      [1, 2, 3].map((number) => createWorker(service, number)),
    ),
  });
  const submit = (id, count, workMs) => {
    const steps = [{ count, cpu: 5_000, 'mem-mb': 1_024, 'est-ms': workMs }];
    return deployment.send({
      method: 'POST',
      path: `/checks/${id}`,
      ...QUEUE,
      body: { spec: 'a plan', steps },
    });
  };
  await submit(BUSY_ID, 36, BUSY_MS);
  await submit(ID, 8, WORK_MS);
  const change = async (version, service) => {
    await sleep(2_500);
    deployment.store.put('op', 'config', createConfig(version, service));
    record.add('desired-state', { version, service });
  };
  await change(4, 'desk-b');
  await change(7, 'desk-a');
  await sleep(2_500);
  const used = deployment.workers.filter(({ runs }) => runs.size > 0);
  if (used.length !== 1) throw new NotRun('the tasks do not run on one worker');
  const owner = await deployment.findOwner();
  if (hasTrouble) {
    used.forEach((worker) => worker.setCut(true));
    setTimeout(() => used.forEach((worker) => worker.setCut(false)), CUT_MS);
    await sleep(RESTART_AFTER_MS);
    owner.signal('SIGTERM');
  }
  await sleep(20_000);
  return checkTwice(record.entries);
});
