/** Tests real processes under load: after SIGTERM, no request is lost and none runs twice. */

import { execFileSync } from 'node:child_process';
import { setTimeout as sleep } from 'node:timers/promises';
import { Deployment } from '../demo/deployment';
import { LoadGenerator } from '../demo/loadGenerator';
import { createDemoSheet, OperatorClient, OPERATOR_TOKEN } from '../demo/operatorClient';
import { Metrics } from '../src/observe/metrics';

const TEAMS = ['team-a', 'team-b'];
const DATA_CENTRES = ['rotterdam', 'delft'];
const TARGETS_PER_DATA_CENTRE = 6;
const SLOTS_PER_TARGET = 8;

test('draining a gate and a scheduler loses no request and runs none twice', async () => {
  execFileSync(process.execPath, ['tools/build.mjs', '--quiet']);
  const deployment = new Deployment({
    basePort: 25_000,
    memberCount: 3,
    groups: DATA_CENTRES.map((dataCentreId) => ({
      dataCentreId,
      count: TARGETS_PER_DATA_CENTRE,
      targetsPerRack: 6,
    })),
    capacity: {
      cpuMillis: 64_000,
      memoryMb: 131_072,
      accelerators: 0,
      slots: SLOTS_PER_TARGET,
      connections: 64,
    },
    operatorToken: OPERATOR_TOKEN,
  });
  try {
    await deployment.start();
    const operator = new OperatorClient(deployment);
    await operator.applySheet(createDemoSheet(TEAMS, DATA_CENTRES));
    await operator.waitForSlots(DATA_CENTRES.length * TARGETS_PER_DATA_CENTRE * SLOTS_PER_TARGET);
    const [first = '', stopping = '', third = ''] = deployment.gateAddresses;
    const metrics = new Metrics();
    const loadOptions = { teamIds: TEAMS, requestsPerSecond: 40, windowMs: 15_000, serviceMs: 300 };
    const steadyLoad = new LoadGenerator(
      deployment.httpClient,
      { ...loadOptions, gateAddresses: [first, third], durationMs: 4_000 },
      metrics,
    ).run();
    // Like a load balancer, this load stops within the grace period that follows the failing health check.
    const drainedGateLoad = new LoadGenerator(
      deployment.httpClient,
      { ...loadOptions, gateAddresses: [stopping], durationMs: 1_500 },
      metrics,
    ).run();
    await sleep(1_000);
    deployment.signal('gate-1', 'SIGTERM');
    deployment.signal('scheduler-2', 'SIGTERM');
    const reports = await Promise.all([steadyLoad, drainedGateLoad]);
    const runs = (await deployment.post(
      deployment.targetAddresses[0] ?? '',
      '/control/runs',
      null,
    )) as readonly [string, number][];
    const runCounts = new Map(runs);
    const nonIdempotentIds = reports.flatMap((report) => report.nonIdempotentIds);
    const notRunIds = reports.flatMap((report) => report.notRunIds);
    const answeredIds = reports.flatMap((report) => report.answeredIds);
    expect(reports.flatMap((report) => report.violations)).toEqual([]);
    expect(nonIdempotentIds.filter((id) => (runCounts.get(id) ?? 0) > 1)).toEqual([]);
    expect(notRunIds.filter((id) => runCounts.has(id))).toEqual([]);
    // Every request that ran was answered.
    expect(runs.filter(([id]) => !answeredIds.includes(id))).toEqual([]);
    expect(answeredIds.length).toBeGreaterThan(100);
  } finally {
    await deployment.stop();
  }
}, 60_000);
