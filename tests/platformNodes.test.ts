/** End-to-end tests of nodes with the platform adapter, against stand-ins: takeovers and outages. */

import {
  callFront as call,
  CONFIG,
  PlatformDeployment,
  sleep,
  waitFor,
} from './support/platformDeployment';

const TEST_TIMEOUT_MS = 30_000;

/** Time after a takeover by which no former owner may act. */
const FORMER_OWNERS_END_MS = 2_800;

function toPath(number: number): string {
  return `/checks/${number.toString(16).padStart(16, '0')}`;
}

const TWO_STEPS = JSON.stringify({
  spec: 'text',
  steps: [
    { count: 4, cpu: 2_000, 'mem-mb': 512, 'est-ms': 300 },
    { count: 2, cpu: 2_000, 'mem-mb': 512, 'est-ms': 300, after: [0] },
  ],
});

describe('nodes on the platform', () => {
  let deployment: PlatformDeployment;

  async function startDeployment(workMs: number, nodeCount = 3): Promise<void> {
    deployment = new PlatformDeployment(workMs);
    await deployment.start(4, nodeCount);
    await waitFor(() => deployment.owner !== undefined, 5_000);
    await waitFor(() => deployment.nodes.every(({ node }) => node.isReady), 5_000);
  }

  async function isSucceeded(address: string, number: number): Promise<boolean> {
    const answer = await call(address, 'GET', toPath(number));
    return answer.status === 200 && answer.body.includes('succeeded');
  }

  afterEach(() => deployment.stop());

  test(
    'run a submission exactly once when it is posted to several nodes',
    async () => {
      await startDeployment(100);
      const [first, second, third] = deployment.nodes;
      const addresses = [first, second, third].map((node) => node?.address ?? '');
      const answers = await Promise.all(
        addresses.map((address) => call(address, 'POST', toPath(1), TWO_STEPS)),
      );
      expect(answers.map(({ status }) => status)).toEqual([200, 200, 200]);
      await waitFor(() => isSucceeded(addresses[1] ?? '', 1), 5_000);
      expect(deployment.startCounts.size).toBe(6);
      expect([...deployment.startCounts.values()].every((count) => count === 1)).toBe(true);
    },
    TEST_TIMEOUT_MS,
  );

  test(
    'answer invalid requests as the protocol specifies',
    async () => {
      await startDeployment(100, 1);
      const address = deployment.nodes[0]?.address ?? '';
      expect((await call(address, 'POST', '/other/0000000000000001', TWO_STEPS)).status).toBe(404);
      expect((await call(address, 'POST', toPath(1), TWO_STEPS, 'no-key')).status).toBe(401);
      expect((await call(address, 'POST', toPath(1), '{"steps":[]}')).status).toBe(400);
      expect((await call(address, 'POST', toPath(1), 'no json')).status).toBe(400);
      expect((await call(address, 'POST', '/checks/zz', TWO_STEPS)).status).toBe(404);
      expect((await call(address, 'GET', toPath(9))).status).toBe(410);
      expect((await call(address, 'DELETE', toPath(9))).status).toBe(410);
      expect((await call(address, 'GET', '/checks/')).body).toBe('{"waiting":0}');
    },
    TEST_TIMEOUT_MS,
  );

  test(
    'hand the ownership over to a much stronger node without starting a task twice',
    async () => {
      await startDeployment(2_500, 2);
      const address = deployment.nodes[0]?.address ?? '';
      expect((await call(address, 'POST', toPath(1), TWO_STEPS)).status).toBe(200);
      const strong = await deployment.addNode('node-9', 1_350);
      await waitFor(() => deployment.owner === strong, 8_000);
      await waitFor(() => isSucceeded(address, 1), 10_000);
      expect([...deployment.startCounts.values()].every((count) => count === 1)).toBe(true);
    },
    TEST_TIMEOUT_MS,
  );

  // The successor knew nothing of a target that had just gone, nor that its predecessor had ended (LOST).
  test(
    'prepare a planned stop of the owner, which confirms its end to the successor',
    async () => {
      await startDeployment(8_000);
      const former = deployment.owner;
      const address = deployment.nodes.find((node) => node !== former)?.address ?? '';
      expect((await call(address, 'POST', toPath(1), TWO_STEPS)).status).toBe(200);
      await waitFor(() => deployment.startCounts.size === 4, 2_000);
      // By then the first owner knows that none before it may act.
      await sleep(FORMER_OWNERS_END_MS);
      deployment.workers[0]?.stop();
      former?.node.beginStop();
      const isSucceededBy = () => deployment.owner !== undefined && deployment.owner !== former;
      expect(await waitFor(isSucceededBy, 3_000)).toBeLessThan(1_000);
      const formerLog = former?.logLines.join('') ?? '';
      expect(formerLog).toMatch(/"silentCount":1,.*"isRecordWritten":true,.*handover prepared/);
      expect(formerLog.indexOf('handover prepared')).toBeLessThan(
        formerLog.indexOf('ownership handed over'),
      );
      const isLogged = (message: string) =>
        deployment.owner?.logLines.some((line) => line.includes(message)) === true;
      await waitFor(() => isLogged('former owners have ended'), 2_000);
      await waitFor(() => isLogged('silent targets are known from former owners'), 2_000);
    },
    TEST_TIMEOUT_MS,
  );

  test(
    'replace a stopped owner within one second without starting a task twice',
    async () => {
      await startDeployment(1_500);
      const former = deployment.owner;
      const other = deployment.nodes.find((node) => node !== former);
      const address = other?.address ?? '';
      expect((await call(address, 'POST', toPath(1), TWO_STEPS)).status).toBe(200);
      await waitFor(() => deployment.startCounts.size === 4, 2_000);
      former?.stop();
      deployment.nodes.splice(deployment.nodes.indexOf(former as never), 1);
      const elapsedMs = await waitFor(() => deployment.owner !== undefined, 3_000);
      expect(elapsedMs).toBeLessThan(1_000);
      await waitFor(() => isSucceeded(address, 1), 8_000);
      expect([...deployment.startCounts.values()].every((count) => count === 1)).toBe(true);
    },
    TEST_TIMEOUT_MS,
  );

  test(
    'refuse submissions with a retry delay during a store outage, and finish running work',
    async () => {
      await startDeployment(300);
      const address = deployment.nodes[0]?.address ?? '';
      await call(address, 'POST', toPath(1), TWO_STEPS);
      await waitFor(() => deployment.startCounts.size === 4, 2_000);
      deployment.store.fault = 'refuses';
      const refused = await call(address, 'POST', toPath(2), TWO_STEPS);
      expect(refused.status).toBe(503);
      expect(Number(refused.retryAfter)).toBeGreaterThan(0);
      await waitFor(() => deployment.done.size === 6, 5_000);
      expect(await isSucceeded(address, 1)).toBe(false);
      deployment.store.fault = 'none';
      await waitFor(() => isSucceeded(address, 1), 5_000);
    },
    TEST_TIMEOUT_MS,
  );

  test(
    'report an unknown outcome when the answer of the store is lost',
    async () => {
      await startDeployment(100, 1);
      const address = deployment.nodes[0]?.address ?? '';
      deployment.store.fault = 'losesAnswers';
      const answer = await call(address, 'POST', toPath(1), TWO_STEPS);
      expect([200, 504]).toContain(answer.status);
      deployment.store.fault = 'none';
      expect((await call(address, 'POST', toPath(1), TWO_STEPS)).status).toBe(200);
      await waitFor(() => isSucceeded(address, 1), 8_000);
    },
    TEST_TIMEOUT_MS,
  );

  test(
    'apply a new desired state within 2 s and never revert to an older one',
    async () => {
      await startDeployment(100, 2);
      const address = deployment.nodes[1]?.address ?? '';
      const tenants = [{ name: 'team-a', 'api-keys': ['key-b'], weight: 5 }];
      deployment.store.put('op', 'config', { ...CONFIG, version: 8, tenants });
      const isConfigApplied = async () =>
        (await call(address, 'GET', toPath(1), '', 'key-a')).status === 401;
      expect(await waitFor(isConfigApplied, 2_000)).toBeLessThan(2_000);
      deployment.store.put('op', 'config', CONFIG);
      await sleep(300);
      expect((await call(address, 'GET', toPath(1), '', 'key-a')).status).toBe(401);
    },
    TEST_TIMEOUT_MS,
  );

  test(
    'start nothing on draining workers, and ignore malformed registry entries',
    async () => {
      await startDeployment(100, 1);
      const address = deployment.nodes[0]?.address ?? '';
      deployment.store.put('servers', 'i-strange', '{"service":7}');
      deployment.store.put('servers', 'i-broken', 'no json');
      deployment.workers.slice(1).forEach((worker) => {
        const draining = worker;
        draining.state = 'draining';
        draining.register();
      });
      await sleep(800);
      await call(address, 'POST', toPath(1), TWO_STEPS);
      await waitFor(() => isSucceeded(address, 1), 5_000);
      expect(deployment.workers.slice(1).every(({ target }) => target.entry.id !== '')).toBe(true);
      expect(deployment.workers[0]?.target.runs.size).toBe(0);
      expect(deployment.done.size).toBe(6);
    },
    TEST_TIMEOUT_MS,
  );

  test(
    'read a full snapshot again when the store has lost its change history',
    async () => {
      await startDeployment(100, 1);
      const address = deployment.nodes[0]?.address ?? '';
      deployment.store.compactedVersion = 1_000_000;
      deployment.store.put('op', 'config', { ...CONFIG, version: 9, tenants: [] });
      const isConfigApplied = async () => (await call(address, 'GET', toPath(1))).status === 401;
      await waitFor(isConfigApplied, 3_000);
    },
    TEST_TIMEOUT_MS,
  );
});
