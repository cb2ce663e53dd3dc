// One client's schedule has many occurrences; another client hands in a small submission while it runs. With TROUBLE=0 the
// schedule is short. There is no other difference, and no impairment.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { hasTrouble, runCase, sleep } from '../lib/deployment.mjs';
import { checkTwice } from '../lib/rules.mjs';

const SCHEDULE_ID = '5c0e7a21d94b36f8';
const SMALL_ID = '6c0e7a21d94b36f8';
const OCCURRENCE_COUNT = hasTrouble ? 20_000 : 1_000;
const INTERVAL_MS = 10;
const WORK_MS = 20;
const SMALL_AFTER_MS = 45_000;
const SMALL_WORK_MS = 500;
const SMALL_WAIT_MS = 20_000;
const QUEUE = { host: 'checks.example' };
const KEYS = ['key-a', 'key-b'];

const CONFIG = {
  version: 3,
  routes: [
    {
      ...{ name: 'checks', host: QUEUE.host, 'path-prefix': '/checks/', service: 'desk' },
      ...{ 'timeout-ms': 3_000, 'target-duration-ms': 250, priority: 0, attempts: 3, stretch: 1.5 },
    },
  ],
  services: [{ name: 'desk', 'enforces-capacity': false }],
  tenants: KEYS.map((key) => ({
    ...{ name: `team-${key}`, 'api-keys': [key], weight: 5 },
    'max-count': { cpu: 0, 'mem-mb': 0, gpu: 0 },
  })),
};

const createWorker = (number) => ({
  ...{ id: `worker-${number}`, service: 'desk', zone: 'zone', labels: ['a', `rack-${number}`] },
  capacity: { cpu: 64_000, 'mem-mb': 131_072, gpu: 0 },
  getPlan: ({ task }) => ({
    workMs: task.startsWith(SMALL_ID) ? SMALL_WORK_MS : WORK_MS,
    how: 'done',
  }),
});

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment) => {
  const { record } = deployment;
  await deployment.start({ config: CONFIG, nodeCount: 3, workers: [1, 2].map(createWorker) });
  const [schedulePath, smallPath] = [`/checks/${SCHEDULE_ID}`, `/checks/${SMALL_ID}`];
  const scheduleSteps = [{ count: 1, cpu: 1_000, 'mem-mb': 512, 'est-ms': WORK_MS }];
  const times = {
    repeats: OCCURRENCE_COUNT,
    'start-time-ms': Date.now(),
    'interval-ms': INTERVAL_MS,
  };
  await deployment.send({
    ...{ method: 'POST', path: schedulePath, ...QUEUE, key: KEYS[0] },
    body: { spec: 'a schedule', steps: scheduleSteps, ...times },
  });
  await sleep(SMALL_AFTER_MS);
  const smallSteps = [{ count: 10, cpu: 1_000, 'mem-mb': 512, 'est-ms': SMALL_WORK_MS }];
  const small = { method: 'POST', path: smallPath, ...QUEUE, key: KEYS[1] };
  await deployment.send({ ...small, body: { spec: 'ten tasks', steps: smallSteps } });
  await sleep(SMALL_WAIT_MS);
  const { body } = await deployment.send({ ...small, method: 'GET' });
  console.log(
    `${SMALL_WAIT_MS} ms after its acceptance the small submission is shown as ${body?.state}`,
  );
  await deployment.send({ method: 'DELETE', path: schedulePath, ...QUEUE, key: KEYS[0] });
  await sleep(10_000);
  const ends = record.entries.filter(({ kind }) => kind === 'end').length;
  const seen = record.entries.filter(({ kind }) => kind === 'end-seen').length;
  console.log(`${ends} ends listed, ${seen} taken note of`);
  return checkTwice(record.entries);
});
