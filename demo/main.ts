/** `npm run demo`: a small deployment under load, with one scheduler killed. */

import { setTimeout as sleep } from 'node:timers/promises';
import { getDigest } from '../src/config/keys';
import { Metrics } from '../src/observe/metrics';
import type { TargetViolation } from '../standins/targetModel';
import { Deployment } from './deployment';
import { Load } from './load';

const OPERATOR_TOKEN = 'demo-operator';
const TEAMS = ['team-a', 'team-b', 'team-c', 'team-d', 'team-e', 'team-f'];
const LOAD_MS = 20_000;
const KILL_AFTER_MS = 6_000;
const REQUESTS_PER_SECOND = 150;

const sheet = {
  teams: TEAMS.map((teamId, index) => ({
    teamId,
    shareWeight: index < 2 ? 4 : 1,
    limitSlots: index < 2 ? 120 : 60,
  })),
  keys: TEAMS.map((teamId) => ({
    keyId: `key-${teamId}`,
    teamId,
    secretDigest: getDigest(`secret-${teamId}`),
  })),
  queues: TEAMS.map((teamId) => ({
    queueId: teamId,
    access: { kind: 'team', teamId },
    urgency: 'normal',
  })),
  dataCentres: ['rotterdam', 'kijfhoek', 'amsterdam', 'delft'].map((dataCentreId) => ({
    dataCentreId,
    region: 'west',
    inService: true,
  })),
  shardsPerDataCentre: 3,
};

interface TargetSummary {
  readonly violations: readonly TargetViolation[];
  readonly startedCount: number;
}

async function callGate(
  deployment: Deployment,
  method: 'GET' | 'POST',
  path: string,
  token: string,
  body?: unknown,
): Promise<{ status: number; value: unknown }> {
  const result = await deployment.caller.perform({
    method,
    address: deployment.gateAddresses[0] ?? '',
    path,
    headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
    body: body === undefined ? '' : JSON.stringify(body),
    timeoutMs: 8_000,
  });
  if (result.kind !== 'response') return { status: 0, value: result.detail };
  return { status: result.status, value: JSON.parse(result.body.toString('utf8')) };
}

async function applySheet(deployment: Deployment): Promise<void> {
  for (let attempt = 0; attempt < 100; attempt += 1) {
    const change = { kind: 'applySheet', basedOnVersion: 0, sheet };
    const path = '/v1/operator/config/changes';
    const answer = await callGate(deployment, 'POST', path, OPERATOR_TOKEN, change);
    if (answer.status === 200) return;
    await sleep(200);
  }
  throw new Error('the sheet was not accepted');
}

async function waitForHealth(deployment: Deployment): Promise<void> {
  for (let attempt = 0; attempt < 100; attempt += 1) {
    const state = await callGate(deployment, 'GET', '/v1/operator/state', OPERATOR_TOKEN);
    const dump = state.value as { schedulers?: { status: { freeSlots: number } }[] };
    const freeSlots = (dump.schedulers ?? []).map((scheduler) => scheduler.status.freeSlots);
    if (freeSlots.length === 3 && freeSlots.reduce((sum, free) => sum + free, 0) >= 240) return;
    await sleep(200);
  }
  throw new Error('the targets were not all owned');
}

async function submitJobs(deployment: Deployment): Promise<readonly string[]> {
  const jobs = Array.from({ length: 6 }, (_, index) => ({
    jobId: `plan-${index}`,
    queueId: 'team-a',
    policy: { kind: 'batch', taskCount: 4 },
    demand: { cpuMillis: 2_000, memoryMb: 1_024 },
    expectedRunMs: 3_000,
  }));
  const answers = await Promise.all(
    jobs.map((job) => callGate(deployment, 'POST', '/v1/jobs', 'key-team-a:secret-team-a', job)),
  );
  return jobs.filter((_, index) => answers[index]?.status === 200).map((job) => job.jobId);
}

async function main(): Promise<void> {
  const deployment = new Deployment({
    basePort: 21_000,
    memberCount: 3,
    groups: [
      { dataCentreId: 'rotterdam', count: 8, targetsPerRack: 6 },
      { dataCentreId: 'kijfhoek', count: 8, targetsPerRack: 6 },
      { dataCentreId: 'amsterdam', count: 7, targetsPerRack: 6 },
      { dataCentreId: 'delft', count: 7, targetsPerRack: 6 },
    ],
    capacity: {
      cpuMillis: 64_000,
      memoryMb: 131_072,
      accelerators: 0,
      slots: 8,
      connections: 64,
    },
    operatorToken: OPERATOR_TOKEN,
  });
  const metrics = new Metrics();
  let exitCode = 1;
  try {
    await deployment.start();
    await applySheet(deployment);
    await waitForHealth(deployment);
    const acknowledged = await submitJobs(deployment);
    const load = new Load(
      deployment.caller,
      {
        gateAddresses: deployment.gateAddresses,
        keys: TEAMS.map((teamId) => `key-${teamId}:secret-${teamId}`),
        requestsPerSecond: REQUESTS_PER_SECOND,
        durationMs: LOAD_MS,
        windowMs: 3_000,
        serviceMs: 20,
      },
      metrics,
    );
    const running = load.run();
    await sleep(KILL_AFTER_MS);
    deployment.signal('scheduler-2', 'SIGKILL');
    const report = await running;
    const runs = (await deployment.post(
      deployment.targetAddresses[0] ?? '',
      '/control/runs',
      null,
    )) as [string, number][];
    const runCounts = new Map(runs);
    const doubled = report.nonIdempotentIds.filter((id) => (runCounts.get(id) ?? 0) > 1);
    const falselyNotRun = report.notRunIds.filter((id) => runCounts.has(id));
    const summaries = (await Promise.all(
      deployment.targetAddresses.map((address) =>
        deployment.post(address, '/control/summary', null),
      ),
    )) as TargetSummary[];
    const violations = summaries.flatMap((summary) => summary.violations);
    const listed = await callGate(deployment, 'GET', '/v1/jobs', 'key-team-a:secret-team-a');
    const { counters, latencies } = metrics.dump();
    counters.forEach(({ name, value }) => console.log(`${name.padEnd(28)} ${value}`));
    latencies.forEach((latency) => {
      console.log(
        `${latency.name.padEnd(28)} p50 ${latency.p50Ms} ms  p99 ${latency.p99Ms} ms  max ${latency.maxMs} ms`,
      );
    });
    console.log(`jobs acknowledged            ${acknowledged.length}`);
    console.log(`jobs listed                  ${JSON.stringify(listed.value)}`);
    console.log(`non-idempotent run twice     ${doubled.length}`);
    console.log(`said not run, but ran        ${falselyNotRun.length}`);
    console.log(`overcommitted                ${violations.length}`);
    console.log(`crossed, cut or missing      ${report.faults.length}`);
    report.faults.slice(0, 5).forEach((fault) => console.log(JSON.stringify(fault)));
    const broken = doubled.length + falselyNotRun.length + violations.length + report.faults.length;
    exitCode = broken === 0 ? 0 : 1;
  } finally {
    await deployment.stop();
  }
  process.exit(exitCode);
}

main().catch((error: unknown) => {
  console.error(error);
  process.exit(1);
});
